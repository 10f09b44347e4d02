//! The state shared by the daemon's tasks: [`ForwardState`].
//!
//! One mutex protects the tables. It is held briefly and never across an await point.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;

use crate::answer::NotRunCause;
use crate::answer::Refusal;
use crate::edges::ConfigurationRecord;
use crate::edges::Membership;
use crate::logs;
use crate::settings::ForwardSettings;
use crate::settings::ServiceBounds;
use banyan_core::ids::LayerRange;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::chain::ChainChoice;
use banyan_core::pipeline::chain::ChainPart;
use banyan_core::pipeline::chain::ChainPool;
use banyan_core::pipeline::chain::RequestSize;
use banyan_core::pipeline::chain::TargetChain;
use banyan_core::pipeline::fleet::FleetTable;
use banyan_core::pipeline::history::FleetHistory;
use banyan_core::pipeline::load::LoadTable;
use banyan_core::pipeline::load::LoadView;
use banyan_core::pipeline::load::PeerLoadTable;
use banyan_core::pipeline::readers::ReaderTable;
use banyan_core::pipeline::reroute::RerouteQuery;
use banyan_core::pipeline::reroute::reroute_chain;
use banyan_core::pipeline::retries::RetryShare;
use banyan_core::pipeline::retry_after::RetryAfterTable;
use banyan_core::pipeline::routes::RouteTable;
use banyan_core::pipeline::suspicion::SuspicionTable;
use banyan_core::units::Moment;
use banyan_core::units::TokenCount;
use banyan_http::clock::RuntimeClock;

/// The longest time after startup for which requests wait for the first reads of the platform. A
/// read takes a few milliseconds, and callers wait for an answer for at least a second.
const STARTUP_WAIT: Duration = Duration::from_millis(500);
/// The largest number of other instances with which digest rounds reach every live peer before its
/// previous digest expires.
const MAX_FULLY_COVERED_PEERS: usize = 32;

/// Whether the instance takes new requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DaemonPhase {
    /// It takes new requests.
    Serving,
    /// It reports to the load balancer that it is not ready, but still serves requests that arrive.
    Leaving,
    /// It refuses new requests and finishes the active ones.
    Draining,
}

/// An order that was sent to an engine and may still be in progress.
#[derive(Clone, Copy, Debug)]
pub struct PendingOrder {
    /// The layers that the engine will hold, or `None` if nothing was ordered and the entry only
    /// delays the next order.
    pub range: Option<LayerRange>,
    /// When the engine is next asked whether it holds the layers.
    pub next_check_at: Moment,
    /// When the order is considered lost.
    pub expires_at: Moment,
}

/// The tables on which routing and placement decisions are based.
#[derive(Debug, Default)]
pub struct ForwardTables {
    /// The active configuration, or `None` until one is known.
    pub configuration: Option<ConfigurationRecord>,
    /// The targets; empty until they have been listed.
    pub fleet: FleetTable,
    /// Whether it is known which configuration is active, or that none is.
    pub configuration_known: bool,
    /// Whether the targets were listed since startup.
    pub fleet_known: bool,
    /// The records of the targets and their recent changes.
    pub history: FleetHistory,
    /// The last time at which the targets were known to match the platform's store.
    pub fleet_read_at: Moment,
    /// Which peers read the platform's store.
    pub readers: ReaderTable,
    /// Which targets are suspected to have failed.
    pub suspicions: SuspicionTable,
    /// This instance's active requests at each target.
    pub loads: LoadTable,
    /// The active requests of peers at each target.
    pub peer_loads: PeerLoadTable,
    /// The number of other instances that announced themselves, or `None` until they were listed.
    pub peers_listed: Option<usize>,
    /// The available chains for each service that serves a model.
    pub pools: BTreeMap<ServiceId, ChainPool>,
    /// This instance's share of the retry budget.
    pub retries: RetryShare,
    /// Assigns the retry delays that refused callers are given.
    pub retry_delays: RetryAfterTable,
    /// This instance's membership in the group, as last reported by the group.
    pub membership: Option<Membership>,
    /// Orders of this instance, or of the leader from which it last received a digest, that engines
    /// may still be carrying out.
    pub pending_orders: BTreeMap<TargetId, PendingOrder>,
    /// The highest generation for which an engine rejected this instance's order because it had
    /// seen a higher fencing token.
    pub fenced_generation: u64,
    /// When a peer last reported that it is the leader.
    pub leader_seen_at: Option<Moment>,
    /// The highest generation of the group that a peer reported.
    pub highest_seen_generation: u64,
    /// When the last membership call that the group answered was sent.
    pub membership_confirmed_at: Moment,
    /// When a call to the platform's store last failed, on this instance or on the peer that reads
    /// the store for it.
    pub store_failure_at: Option<Moment>,
    /// When a call of this instance to the platform's store last failed.
    pub own_store_failure_at: Option<Moment>,
    /// The kinds of calls to the store whose last attempt failed, with the time of that failure.
    pub failing_calls: BTreeMap<&'static str, Moment>,
    /// The number of requests that were read but not completely answered.
    pub active: u64,
    random_count: u64,
}

impl ForwardTables {
    /// A pseudorandom number that differs on each call, used to spread choices.
    pub fn next_random(&mut self) -> u64 {
        self.random_count += 1;
        xxhash_rust::xxh3::xxh3_64(&self.random_count.to_le_bytes())
    }

    /// The factor by which the loads of live peers are scaled up to account for the other
    /// instances. 1.0 while there are so few that digests of every live peer arrive in time.
    pub fn peer_scale(&self, now: Moment) -> f64 {
        let live_peers = self.peer_loads.live_peer_count(now).max(1);
        let listed = self.peers_listed.unwrap_or_default();
        if listed <= MAX_FULLY_COVERED_PEERS { 1.0 } else { listed as f64 / live_peers as f64 }
    }

    /// Removes expired orders, including those of a leader that is gone. Otherwise their engines
    /// would stay excluded from chains.
    pub fn expire_orders(&mut self, now: Moment) {
        let previous_count = self.pending_orders.len();
        self.pending_orders.retain(|_, order| now < order.expires_at);
        if self.pending_orders.len() != previous_count {
            self.sync_orders();
        }
    }

    /// Sets the pending order of an engine, or removes it.
    pub fn set_pending_order(&mut self, target: TargetId, order: Option<PendingOrder>) {
        match order {
            Some(order) => self.pending_orders.insert(target, order),
            None => self.pending_orders.remove(&target),
        };
        self.sync_orders();
    }

    /// The refusal of a request that has not run. The caller is told to retry no earlier than after
    /// `wait`, since the cause lasts at least that long.
    pub fn not_run_refusal(&mut self, cause: NotRunCause, wait: Duration, now: Moment) -> Refusal {
        Refusal::NotRun(cause, self.retry_delays.next_delay(now + wait, now))
    }

    /// Updates the table of targets with the layers of the pending orders.
    pub fn sync_orders(&mut self) {
        let pending = &self.pending_orders;
        self.fleet.set_ordered(|id| pending.get(id).and_then(|order| order.range));
    }

    /// The active route table, or `None` until a configuration is known.
    pub fn route_table(&self) -> Option<Arc<RouteTable>> {
        self.configuration.as_ref().map(|record| record.table.clone())
    }

    /// Sets the number of other instances, and this instance's share of the retry budget with it.
    pub fn set_peers(&mut self, count: usize) {
        self.peers_listed = Some(count);
        self.retries.set_instance_count(count + 1);
    }

    /// Chooses, for a request, a chain without any of the `avoided` targets.
    pub fn choose_chain(
        &mut self,
        service: &ServiceId,
        settings: &ForwardSettings,
        size: RequestSize,
        avoided: &[TargetId],
        now: Moment,
    ) -> Option<ChainChoice> {
        let routes = self.route_table()?;
        let model = routes.services.get(service)?.model.clone()?;
        let peer_scale = self.peer_scale(now);
        let pool = self.pools.entry(service.clone());
        let pool = pool.or_insert_with(|| ChainPool::for_instance(&settings.instance));
        let version = routes.version;
        if pool.refresh(&model, service, version, &self.fleet, &self.suspicions, now) {
            logs::chains_changed(service, pool.chains(), self.fleet.revision);
        }
        let loads = LoadView { own: &self.loads, peers: &self.peer_loads, peer_scale };
        let live_peers = self.peer_loads.live_peer_count(now);
        pool.choose(&loads, &settings.zone, size, live_peers, avoided)
    }

    /// Whether an engine of the chain was ordered to unload layers that the chain uses. The first
    /// engine is not considered, since a running request cannot leave it.
    pub fn has_unloading_engine(&self, chain: &TargetChain) -> bool {
        let unloads_layers = |part: &ChainPart| {
            let ordered_range = self.fleet.rows.get(&part.target).and_then(|row| row.ordered);
            ordered_range.is_some_and(|range| !range.covers(part.range))
        };
        chain.parts.iter().skip(1).any(unloads_layers)
    }

    /// A chain on which a request that runs on `chain` can continue without engines that are
    /// suspected, avoided or unloading its layers, or `None` if there is none.
    pub fn reroute_chain(
        &self,
        service: &ServiceId,
        chain: &TargetChain,
        total: TokenCount,
        avoided: &[TargetId],
        now: Moment,
    ) -> Option<Arc<TargetChain>> {
        let routes = self.route_table()?;
        let peer_scale = self.peer_scale(now);
        let query = RerouteQuery {
            model: routes.services.get(service)?.model.as_ref()?,
            service,
            fleet: &self.fleet,
            suspicions: &self.suspicions,
            loads: LoadView { own: &self.loads, peers: &self.peer_loads, peer_scale },
            avoided,
            total,
            now,
        };
        reroute_chain(&query, chain).map(Arc::new)
    }
}

/// The state that all tasks of the daemon share.
#[derive(Debug)]
pub struct ForwardState<P> {
    /// The adapter through which the platform is accessed.
    pub platform: P,
    /// The clock that supplies the time for all decisions.
    pub clock: RuntimeClock,
    /// The daemon's phase, which determines whether new requests are taken.
    pub phase: watch::Sender<DaemonPhase>,
    /// Notified when a change may require new layer orders.
    pub plan_due: Notify,
    /// Whether this instance reads the platform's store itself. Otherwise a peer does so for it.
    pub reading: watch::Sender<bool>,
    /// Notified when data was read that peers may not have yet, or when a read failed.
    pub feed_changed: watch::Sender<()>,
    /// Whether the configuration and the targets were read since startup.
    initial_reads_done: watch::Sender<bool>,
    settings: Mutex<Arc<ForwardSettings>>,
    tables: Mutex<ForwardTables>,
}

impl<P> ForwardState<P> {
    /// The state of a daemon that starts now.
    pub fn new(settings: ForwardSettings, platform: P) -> Self {
        Self {
            platform,
            clock: RuntimeClock::start(),
            phase: watch::Sender::new(DaemonPhase::Serving),
            plan_due: Notify::new(),
            reading: watch::Sender::new(true),
            feed_changed: watch::Sender::new(()),
            initial_reads_done: watch::Sender::new(false),
            settings: Mutex::new(Arc::new(settings)),
            tables: Mutex::new(ForwardTables::default()),
        }
    }

    /// The current settings.
    pub fn settings(&self) -> Arc<ForwardSettings> {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Applies new bounds. Addresses and names keep their values from startup.
    pub fn set_bounds(&self, bounds: ServiceBounds) {
        let mut settings = self.settings.lock().unwrap_or_else(PoisonError::into_inner);
        let mut changed = ForwardSettings::clone(&settings);
        changed.bounds = bounds;
        *settings = Arc::new(changed);
    }

    /// Locks the tables. The guard must not be held across an await point.
    pub fn tables(&self) -> MutexGuard<'_, ForwardTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the requests that wait for the first reads continue once these are done.
    pub fn check_initial_reads(&self) {
        let tables = self.tables();
        let done = tables.configuration_known && tables.fleet_known;
        drop(tables);
        if done {
            self.initial_reads_done.send_replace(true);
        }
    }

    /// Waits until this instance reads the platform's store itself. Returns whether it had to wait.
    pub async fn wait_until_reading(&self) -> bool {
        let mut reading = self.reading.subscribe();
        if *reading.borrow_and_update() {
            return false;
        }
        // This cannot fail: `self` owns the sender.
        let _ = reading.wait_for(|reading| *reading).await;
        true
    }

    /// The time since this instance last read the targets from the platform's store, or `None` if
    /// it does not read the store itself or has not listed the targets yet.
    pub fn read_age(&self, tables: &ForwardTables, now: Moment) -> Option<Duration> {
        let has_read = *self.reading.borrow() && tables.fleet_known;
        has_read.then(|| now.since(tables.fleet_read_at))
    }

    /// Waits until the configuration and the targets were read, but no longer than `STARTUP_WAIT`
    /// after startup.
    pub async fn wait_for_initial_reads(&self) {
        let mut done = self.initial_reads_done.subscribe();
        let deadline = self.clock.instant(Moment::default() + STARTUP_WAIT);
        // A timeout is not an error: requests that need missing data are refused later.
        let _ = tokio::time::timeout_at(deadline, done.wait_for(|done| *done)).await;
    }

    /// The current time of the daemon's clock.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }
}
