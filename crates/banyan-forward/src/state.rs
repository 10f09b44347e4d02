//! What the daemon's tasks share: [`ForwardState`].
//!
//! Tables stand behind one short lock that is never held over an await.

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
use banyan_core::pipeline::comeback::ComebackTable;
use banyan_core::pipeline::fleet::FleetTable;
use banyan_core::pipeline::history::FleetHistory;
use banyan_core::pipeline::load::LoadTable;
use banyan_core::pipeline::load::LoadView;
use banyan_core::pipeline::load::PeerLoadTable;
use banyan_core::pipeline::readers::ReaderTable;
use banyan_core::pipeline::reroute::RerouteQuery;
use banyan_core::pipeline::reroute::reroute_chain;
use banyan_core::pipeline::retries::RetryShare;
use banyan_core::pipeline::routes::RouteTable;
use banyan_core::pipeline::suspicion::SuspicionTable;
use banyan_core::units::Moment;
use banyan_core::units::TokenCount;
use banyan_http::clock::RuntimeClock;

/// The time after the start for which requests wait for the first reads of the platform: a read takes
/// some milliseconds, and callers look for an answer for a second at least.
const START_TIME: Duration = Duration::from_millis(500);
/// With as many other instances or fewer, all that live are heard within the time that a digest counts.
const ALL_HEARD: usize = 32;

/// Whether the instance takes new requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DaemonPhase {
    /// It does.
    Serving,
    /// It tells the balancer that it will not, but still serves what arrives.
    Leaving,
    /// It refuses new requests and finishes those under way.
    Draining,
}

/// An order that an engine has been given.
#[derive(Clone, Copy, Debug)]
pub struct PendingOrder {
    /// The layers that it will hold, or `None` if it is only left alone for a while.
    pub range: Option<LayerRange>,
    /// When the engine is asked next whether it holds them.
    pub ask: Moment,
    /// When the order is taken as lost.
    pub until: Moment,
}

/// The tables that decisions run over.
#[derive(Debug, Default)]
pub struct ForwardTables {
    /// The configuration in force, once one is known.
    pub routes: Option<ConfigurationRecord>,
    /// The targets, once they were listed.
    pub fleet: FleetTable,
    /// Whether the platform told since the start which configuration is in force, if any.
    pub routes_known: bool,
    /// Whether the targets were listed since the start.
    pub fleet_known: bool,
    /// What the records of targets say, and what changed lately.
    pub history: FleetHistory,
    /// When the targets were last known to be as the platform's store has them.
    pub fleet_read: Moment,
    /// Which peers read the platform's store.
    pub readers: ReaderTable,
    /// Which targets are doubted.
    pub suspicions: SuspicionTable,
    /// What this instance has under way at targets.
    pub loads: LoadTable,
    /// What peers have under way at targets.
    pub peer_loads: PeerLoadTable,
    /// The number of other instances that announced themselves, once they were listed.
    pub peers_listed: Option<usize>,
    /// The chains of each service that serves a model.
    pub pools: BTreeMap<ServiceId, ChainPool>,
    /// This instance's part of the retry budget.
    pub retries: RetryShare,
    /// The times to come back that were given out.
    pub comebacks: ComebackTable,
    /// This instance's place among the live ones, as last heard.
    pub membership: Option<Membership>,
    /// Layers that were ordered by this instance or by the leader that it last heard, and that engines
    /// may still be loading.
    pub pending_orders: BTreeMap<TargetId, PendingOrder>,
    /// The highest generation in which an engine told this instance that it has been replaced.
    pub generation_fenced: u64,
    /// When a peer last said that it leads.
    pub leader_heard: Option<Moment>,
    /// The highest generation of the group that a peer told.
    pub generation_heard: u64,
    /// When the group last answered.
    pub membership_heard: Moment,
    /// When the platform's store last failed a call, here or at the peer that reads it for this instance.
    pub store_trouble: Option<Moment>,
    /// When the platform's store last failed a call of this instance.
    pub own_trouble: Option<Moment>,
    /// Kinds of calls to the store that fail, with the time of the last failure.
    pub failing_calls: BTreeMap<&'static str, Moment>,
    /// Requests that have been read and not been answered whole.
    pub active: u64,
    draws: u64,
}

impl ForwardTables {
    /// A number that differs from call to call, to spread choices.
    pub fn draw(&mut self) -> u64 {
        self.draws += 1;
        xxhash_rust::xxh3::xxh3_64(&self.draws.to_le_bytes())
    }

    /// How many instances each peer that was heard stands for.
    pub fn peer_scale(&self, now: Moment) -> f64 {
        let heard = self.peer_loads.heard(now).max(1);
        let listed = self.peers_listed.unwrap_or_default();
        if listed <= ALL_HEARD { 1.0 } else { listed as f64 / heard as f64 }
    }

    /// Forgets orders that should have been carried out by now, also those of a leader that is heard no
    /// longer: their engines would stay left out of chains.
    pub fn expire_orders(&mut self, now: Moment) {
        let before = self.pending_orders.len();
        self.pending_orders.retain(|_, order| now < order.until);
        if self.pending_orders.len() != before {
            self.sync_orders();
        }
    }

    /// Notes what an engine has been ordered, or that nothing is.
    pub fn put_order(&mut self, target: TargetId, order: Option<PendingOrder>) {
        match order {
            Some(order) => self.pending_orders.insert(target, order),
            None => self.pending_orders.remove(&target),
        };
        self.sync_orders();
    }

    /// The refusal of a request that has not run, where nothing can change for `wait`.
    pub fn not_run(&mut self, cause: NotRunCause, wait: Duration, now: Moment) -> Refusal {
        Refusal::NotRun(cause, self.comebacks.next(now + wait, now))
    }

    /// Tells the table of targets which layers have been ordered.
    pub fn sync_orders(&mut self) {
        let pending = &self.pending_orders;
        self.fleet.set_ordered(|id| pending.get(id).and_then(|order| order.range));
    }

    /// The configuration in force, once one is known.
    pub fn route_table(&self) -> Option<Arc<RouteTable>> {
        self.routes.as_ref().map(|record| record.table.clone())
    }

    /// Takes in how many other instances there are.
    pub fn set_peers(&mut self, count: usize) {
        self.peers_listed = Some(count);
        self.retries.share_among(count + 1);
    }

    /// The chain for a request that uses none of `avoided`.
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
        let heard = self.peer_loads.heard(now);
        pool.choose(&loads, &settings.zone, size, heard, avoided)
    }

    /// Whether an engine that a running request can leave was ordered to give up layers of its chain.
    pub fn is_losing_layers(&self, chain: &TargetChain) -> bool {
        let gives_up = |part: &ChainPart| {
            let ordered = self.fleet.rows.get(&part.target).and_then(|row| row.ordered);
            ordered.is_some_and(|kept| !kept.covers(part.range))
        };
        chain.parts.iter().skip(1).any(gives_up)
    }

    /// The chain with which a request that runs on `chain` goes on without engines that are doubted,
    /// avoided or giving its layers up, if there is one.
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

/// Everything that the daemon's tasks share.
#[derive(Debug)]
pub struct ForwardState<P> {
    /// The platform.
    pub platform: P,
    /// The clock for decisions.
    pub clock: RuntimeClock,
    /// Whether new requests are taken.
    pub phase: watch::Sender<DaemonPhase>,
    /// Told when something has changed for which layers may have to be ordered.
    pub plan_due: Notify,
    /// Whether this instance reads the platform's store itself, or lets a peer do so.
    pub reading: watch::Sender<bool>,
    /// Told when something was read that peers may not know, or when reading has failed.
    pub read_news: watch::Sender<()>,
    /// Whether the configuration and the targets were read since the start.
    known: watch::Sender<bool>,
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
            read_news: watch::Sender::new(()),
            known: watch::Sender::new(false),
            settings: Mutex::new(Arc::new(settings)),
            tables: Mutex::new(ForwardTables::default()),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<ForwardSettings> {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts new bounds in force; addresses and names stay as they were at the start.
    pub fn set_bounds(&self, bounds: ServiceBounds) {
        let mut settings = self.settings.lock().unwrap_or_else(PoisonError::into_inner);
        let mut changed = ForwardSettings::clone(&settings);
        changed.bounds = bounds;
        *settings = Arc::new(changed);
    }

    /// The tables, locked. The guard must not be held over an await.
    pub fn tables(&self) -> MutexGuard<'_, ForwardTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets requests go on that wait for the first reads, if those are done.
    pub fn note_known(&self) {
        let tables = self.tables();
        let known = tables.routes_known && tables.fleet_known;
        drop(tables);
        if known {
            self.known.send_replace(true);
        }
    }

    /// Waits until this instance reads the platform's store itself; tells whether it had to wait.
    pub async fn wait_for_turn(&self) -> bool {
        let mut reading = self.reading.subscribe();
        if *reading.borrow_and_update() {
            return false;
        }
        // The sender lives as long as this state does.
        let _ = reading.wait_for(|reading| *reading).await;
        true
    }

    /// How long ago this instance read the platform's store, if it does so itself.
    pub fn read_age(&self, tables: &ForwardTables, now: Moment) -> Option<Duration> {
        let reads = *self.reading.borrow() && tables.fleet_known;
        reads.then(|| now.since(tables.fleet_read))
    }

    /// Waits until the configuration and the targets were read once, or the start is over.
    pub async fn wait_for_start(&self) {
        let mut known = self.known.subscribe();
        let end = self.clock.instant(Moment::default() + START_TIME);
        // Either end of the wait is fine: what is not known by then is refused.
        let _ = tokio::time::timeout_at(end, known.wait_for(|known| *known)).await;
    }

    /// The time of the daemon's clock.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }
}
