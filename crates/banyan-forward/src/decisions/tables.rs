//! The tables on which routing and placement decisions are based: [`ForwardTables`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::callers::answer::NO_ROOM_RETRY_AFTER;
use crate::callers::answer::NotRunCause;
use crate::callers::answer::Refusal;
use crate::decisions::waiting::WaitingStreams;
use crate::edges::EngineState;
use crate::edges::Membership;
use crate::logs;
use crate::settings::ForwardSettings;
use crate::store::configuration_record::ConfigurationRecord;
use crate::store::membership::MEMBERSHIP_TTL;
use banyan_core::ids::InstanceId;
use banyan_core::ids::LayerRange;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::chain::ChainChoice;
use banyan_core::pipeline::chain::ChainFilter;
use banyan_core::pipeline::chain::ChainPool;
use banyan_core::pipeline::chain::RequestSize;
use banyan_core::pipeline::crashes::CrashTable;
use banyan_core::pipeline::duties::hears_all_peers;
use banyan_core::pipeline::engine_states::EngineStates;
use banyan_core::pipeline::fleet::FleetTable;
use banyan_core::pipeline::group::GroupTable;
use banyan_core::pipeline::history::FleetHistory;
use banyan_core::pipeline::load::LoadTable;
use banyan_core::pipeline::load::LoadView;
use banyan_core::pipeline::load::PeerLoadTable;
use banyan_core::pipeline::order_queue::OrderQueue;
use banyan_core::pipeline::prompt_order::PromptRequest;
use banyan_core::pipeline::prompt_order::Urgency;
use banyan_core::pipeline::readers::ReaderTable;
use banyan_core::pipeline::reroute::RerouteQuery;
use banyan_core::pipeline::reroute::reroute_chain;
use banyan_core::pipeline::reservation::ReservationTable;
use banyan_core::pipeline::reservation::UNRESERVED_FULLNESS;
use banyan_core::pipeline::retries::RetryShare;
use banyan_core::pipeline::retry_after::ReleaseTable;
use banyan_core::pipeline::retry_after::RetryAfterTable;
use banyan_core::pipeline::returning::RefusedTable;
use banyan_core::pipeline::routes::RouteTable;
use banyan_core::pipeline::suspicion::SuspicionTable;
use banyan_core::pipeline::target_chain::ChainPart;
use banyan_core::pipeline::target_chain::RejectionRule;
use banyan_core::pipeline::target_chain::TargetChain;
use banyan_core::pipeline::target_limits::InstanceRank;
use banyan_core::pipeline::target_limits::LimitTable;
use banyan_core::pipeline::unanswered::UnansweredTable;
use banyan_core::units::Moment;
use banyan_core::units::TokenCount;

/// The largest number of other instances with which digest rounds reach every live peer before its
/// previous digest expires.
const MAX_FULLY_COVERED_PEERS: usize = 32;

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
    /// When the engine accepted this instance's order, if it did.
    pub taken_at: Option<Moment>,
}

/// How much room of a service's engines a request may use.
#[derive(Clone, Copy, Debug)]
struct RoomBounds {
    /// Whether targets that recently rejected a request are skipped.
    rule: Option<RejectionRule>,
    /// The highest fullness that a chain may have with the request.
    max_fullness: f64,
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
    /// The last time at which the targets were known to match the platform's store. Set by
    /// [`ForwardTables::note_fleet_read`].
    pub fleet_read_at: Moment,
    /// Which peers read the platform's store.
    pub readers: ReaderTable,
    /// Which targets are suspected to have failed.
    pub suspicions: SuspicionTable,
    /// Which requests may crash targets.
    pub crashes: CrashTable,
    /// The attempts that ended without an answer.
    pub unanswered: UnansweredTable,
    /// The limits that targets have named.
    pub limits: LimitTable,
    /// This instance's active requests at each target.
    pub loads: LoadTable,
    /// The active requests of peers at each target.
    pub peer_loads: PeerLoadTable,
    /// The number of other instances that announced themselves, or `None` until they were listed.
    pub peers_listed: Option<usize>,
    /// The available chains for each service that serves a model.
    pub pools: BTreeMap<ServiceId, ChainPool>,
    /// The room that is kept free for more urgent requests of each service.
    pub reservations: ReservationTable,
    /// The requests that were refused and may be repeated, of services that rank them.
    pub refused: RefusedTable,
    /// The requests that wait for room, of services that rank them.
    pub waiting: BTreeMap<ServiceId, WaitingStreams>,
    /// How often requests end, of services that rank them.
    pub releases: ReleaseTable,
    /// This instance's share of the retry budget.
    pub retries: RetryShare,
    /// Assigns the retry delays that refused callers are given.
    pub retry_delays: RetryAfterTable,
    /// This instance's membership in the group, as last reported by the group.
    pub membership: Option<Membership>,
    /// Orders of this instance, or of the leader from which it last received a digest, that engines
    /// may still be carrying out.
    pub pending_orders: BTreeMap<TargetId, PendingOrder>,
    /// The instance of the same zone from which this instance gets the platform's data, if it does.
    pub followed: Option<InstanceId>,
    /// The announced instances, and the members of the group among them.
    pub group: GroupTable,
    /// The orders that wait to be sent, and the calls to engines in flight, while this instance
    /// orders layers.
    pub order_queue: OrderQueue,
    /// What is known about the orders that engines have accepted, while this instance orders
    /// layers.
    pub engine_states: EngineStates,
    /// The highest generation for which an engine rejected this instance's order because it had
    /// seen a higher fencing token.
    pub fenced_generation: u64,
    /// Whether this instance orders layers, as the leader or as its deputy.
    pub orders_layers: bool,
    /// When a peer last reported that it is the leader.
    pub leader_seen_at: Option<Moment>,
    /// The highest generation of the group that a peer reported.
    pub highest_seen_generation: u64,
    /// When the last membership call that the group answered was sent.
    pub membership_confirmed_at: Moment,
    /// When the targets could be read again after a time in which the records of running targets
    /// may have expired.
    pub store_returned_at: Option<Moment>,
    /// When this instance learned what the store held after it had come back from a copy.
    pub store_restored_at: Option<Moment>,
    /// When a call of this instance to the platform's store last failed, while some kind of call
    /// still fails.
    pub own_store_failure_at: Option<Moment>,
    /// The kinds of calls to the store whose last attempt failed, with the time of that failure.
    pub failing_calls: BTreeMap<&'static str, Moment>,
    /// The number of requests that were read and whose answer is not complete in memory.
    pub active: u64,
    /// The number of open connections of callers on which a request was read. During a stop they
    /// close once their last answer is written.
    pub used_connections: u64,
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

    /// Whether digests carry what members of the group state, because the fleet is so large that not
    /// every instance hears each member itself. While the instances could not be listed, those that
    /// sent digests tell the size.
    pub fn passes_statements_on(&self, now: Moment) -> bool {
        let heard = || self.readers.live_peers(now).count();
        !hears_all_peers(self.peers_listed.unwrap_or_else(heard))
    }

    /// The place of this instance among those that share limits. Instances of which nothing was
    /// heard yet are taken to be spread evenly among the others.
    pub fn instance_rank(&self, settings: &ForwardSettings, now: Moment) -> InstanceRank {
        let heard = self.readers.live_peers(now).count() + 1;
        let earlier = self.readers.live_peers(now).filter(|peer| **peer < settings.instance);
        let count = heard.max(self.peers_listed.unwrap_or_default() + 1);
        InstanceRank { index: earlier.count() * count / heard, count }
    }

    /// The targets that take no request of this instance now.
    pub fn closed_targets(
        &mut self,
        settings: &ForwardSettings,
        now: Moment,
    ) -> BTreeSet<TargetId> {
        if self.limits.is_empty() {
            return BTreeSet::new();
        }
        let rank = self.instance_rank(settings, now);
        self.limits.closed(rank, now)
    }

    /// The targets that a request avoids, and those that want no request of this instance now.
    fn with_paused(&self, avoided: &[TargetId], now: Moment) -> Vec<TargetId> {
        avoided.iter().chain(self.limits.paused(now)).cloned().collect()
    }

    /// The time until a request may be sent that limits or pauses keep from all targets of a
    /// service, or `None` if they keep it from none.
    pub fn limit_wait(
        &mut self,
        service: &ServiceId,
        settings: &ForwardSettings,
        now: Moment,
    ) -> Option<Duration> {
        let closed = self.closed_targets(settings, now);
        let of_service = |id: &&TargetId| {
            self.fleet.rows.get(*id).is_some_and(|row| row.report.service == *service)
        };
        let closed: Vec<&TargetId> = closed.iter().filter(of_service).collect();
        if closed.is_empty() {
            return None;
        }
        let rank = self.instance_rank(settings, now);
        Some(self.limits.next_free(closed, rank, now).unwrap_or(NO_ROOM_RETRY_AFTER))
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
            Some(order) => {
                self.fleet.set_ordered_of(&target, order.range);
                self.pending_orders.insert(target, order);
            }
            None => {
                self.fleet.set_ordered_of(&target, None);
                self.pending_orders.remove(&target);
            }
        }
    }

    /// The refusal of a request that has not run. The caller is told to retry no earlier than after
    /// `wait`, since the cause lasts at least that long.
    pub fn not_run_refusal(&mut self, cause: NotRunCause, wait: Duration, now: Moment) -> Refusal {
        Refusal::NotRun(cause, self.retry_delays.next_delay(now + wait, now))
    }

    /// Whether the group chose this instance as the leader and has not replaced it since. An
    /// instance that has been replaced must not keep a deputy from taking over.
    pub fn is_leader(&self) -> bool {
        let confirmed = self.membership_confirmed_at;
        self.membership.is_some_and(|membership| {
            let generation = membership.generation;
            membership.leads && !self.group.has_replaced(generation, confirmed, MEMBERSHIP_TTL)
        })
    }

    /// Records how many orders an engine has accepted by its own report.
    pub fn note_engine_state(&mut self, id: &TargetId, engine: &EngineState) {
        if engine.busy {
            self.engine_states.record_unsure(id);
        } else {
            self.engine_states.record_idle(id, engine.started_at, engine.accepted_orders);
        }
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

    /// Whether new requests of a service skip targets that recently rejected one for lack of room.
    /// `None` where all of its requests are equally urgent, and where the digests of all peers arrive
    /// in time, so that the room is known.
    fn rejection_rule(
        &self,
        routes: &RouteTable,
        service: &ServiceId,
        now: Moment,
    ) -> Option<RejectionRule> {
        let listed = self.peers_listed.unwrap_or_default();
        let in_effect =
            listed > MAX_FULLY_COVERED_PEERS && routes.has_competing_priorities(service);
        in_effect.then_some(RejectionRule { now })
    }

    /// Chooses, for a request, a chain without any of the `avoided` targets that is filled up to at
    /// most `max_fullness` with it.
    pub fn choose_chain(
        &mut self,
        service: &ServiceId,
        settings: &ForwardSettings,
        size: RequestSize,
        avoided: &[TargetId],
        max_fullness: f64,
        now: Moment,
    ) -> Option<ChainChoice> {
        let routes = self.route_table()?;
        let rule = self.rejection_rule(&routes, service, now);
        let bounds = RoomBounds { rule, max_fullness };
        self.choose_chain_within(bounds, service, settings, size, avoided, now)
    }

    /// Chooses a chain for a stream whose caller already has part of the answer. It may use engines
    /// that new requests leave alone, if there are no others.
    pub fn choose_chain_to_resume(
        &mut self,
        service: &ServiceId,
        settings: &ForwardSettings,
        size: RequestSize,
        avoided: &[TargetId],
        now: Moment,
    ) -> Option<ChainChoice> {
        let max_fullness = UNRESERVED_FULLNESS;
        let choice = self.choose_chain(service, settings, size, avoided, max_fullness, now);
        let bounds = RoomBounds { rule: None, max_fullness };
        choice.or_else(|| self.choose_chain_within(bounds, service, settings, size, avoided, now))
    }

    fn choose_chain_within(
        &mut self,
        bounds: RoomBounds,
        service: &ServiceId,
        settings: &ForwardSettings,
        size: RequestSize,
        avoided: &[TargetId],
        now: Moment,
    ) -> Option<ChainChoice> {
        let routes = self.route_table()?;
        let model = routes.services.get(service)?.model.clone()?;
        let closed = self.closed_targets(settings, now);
        let avoided = self.with_paused(avoided, now);
        let peer_scale = self.peer_scale(now);
        let pool = self.pools.entry(service.clone());
        let pool = pool.or_insert_with(|| ChainPool::for_instance(&settings.instance));
        let version = routes.version;
        if pool.refresh(&model, service, version, &self.fleet, &self.suspicions, now) {
            logs::chains_changed(service, pool.chains(), self.fleet.revision);
        }
        pool.set_rejection_rule(bounds.rule);
        pool.prompts.set_policy(routes.prompt_policy(service));
        let loads = LoadView { own: &self.loads, peers: &self.peer_loads, peer_scale };
        let live_peers = self.peer_loads.live_peer_count(now);
        let max_fullness = bounds.max_fullness;
        let filter = ChainFilter { avoided: &avoided, closed: &closed, max_fullness };
        pool.choose(&loads, &settings.zone, size, live_peers, filter)
    }

    /// Counts the prompt of a new request among the recent ones of its service.
    pub fn note_prompt(&mut self, service: &ServiceId, prompt: TokenCount) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.prompts.note_prompt(prompt);
        }
    }

    /// The urgency that engines are told for a request on the chain chosen for it.
    pub fn urgency(
        &self,
        service: &ServiceId,
        request: &PromptRequest,
        choice: &ChainChoice,
    ) -> Option<Urgency> {
        self.pools.get(service)?.prompts.urgency(request, choice)
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
        let avoided = self.with_paused(avoided, now);
        let peer_scale = self.peer_scale(now);
        let query = RerouteQuery {
            model: routes.services.get(service)?.model.as_ref()?,
            service,
            fleet: &self.fleet,
            suspicions: &self.suspicions,
            loads: LoadView { own: &self.loads, peers: &self.peer_loads, peer_scale },
            avoided: &avoided,
            total,
            now,
        };
        reroute_chain(&query, chain).map(Arc::new)
    }
}
