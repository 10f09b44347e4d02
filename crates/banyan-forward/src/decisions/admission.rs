//! Admits the first attempts of streams by priority, where a service's requests differ in it.

use std::time::Duration;

use crate::callers::answer::NO_ROOM_RETRY_AFTER;
use crate::decisions::tables::ForwardTables;
use crate::decisions::waiting::queue_priority;
use crate::settings::ForwardSettings;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::chain::ChainChoice;
use banyan_core::pipeline::chain::RequestSize;
use banyan_core::pipeline::priority::EffectivePriority;
use banyan_core::pipeline::reservation::RoomOutcome;
use banyan_core::pipeline::reservation::UNRESERVED_FULLNESS;
use banyan_core::pipeline::returning::Arrival;
use banyan_core::pipeline::returning::RefusedRequest;
use banyan_core::pipeline::target_chain::TargetChain;
use banyan_core::record::ContentDigest;
use banyan_core::units::Moment;
use banyan_core::units::TokenCount;

/// The spread of the waits of callers, as a fraction of the estimate. Other instances tell their
/// callers similar times.
const ESTIMATE_SPREAD: f64 = 0.25;

/// Callers wait for at most this fraction of the time left to them, even if `Retry-After` is longer.
const MAX_WAIT_FRACTION: f64 = 1.0 / 3.0;

/// A request that asks for room at a chain.
#[derive(Clone, Copy, Debug)]
pub struct RoomQuery<'a> {
    /// The service that serves it.
    pub service: &'a ServiceId,
    /// Its size.
    pub size: RequestSize,
    /// The targets that it avoids.
    pub avoided: &'a [TargetId],
    /// What its admission depends on, or `None` if it may use all room, as further attempts may.
    pub rank: Option<RequestRank>,
}

/// What the admission of a request depends on beside its size.
#[derive(Clone, Copy, Debug)]
pub struct RequestRank {
    /// Its priority.
    pub priority: EffectivePriority,
    /// The digest of its content, by which it is recognised if it was refused before.
    pub content: ContentDigest,
}

/// How the admission of a request was decided, for its log line.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionDecision {
    /// What the decision depended on.
    pub rank: RequestRank,
    /// Whether it was refused before.
    pub arrival: Arrival,
    /// The fullness up to which it could use a chain.
    pub limit: f64,
    /// Whether it is exempt from the reservation for more urgent requests.
    pub is_exempt: bool,
}

/// When the caller of a refused request returns.
#[derive(Clone, Copy, Debug)]
pub struct PlannedReturn {
    /// The refused requests, at least as urgent, that are expected to return before.
    pub ahead: usize,
    /// The estimated time until there is room for it, or `None` if nothing is known yet.
    pub estimate: Option<Duration>,
    /// How long the caller is told to wait.
    pub wait: Duration,
}

impl ForwardTables {
    /// Chooses a chain with room for a request. Room reserved for more urgent requests, or held for
    /// requests that were refused before, is not given to it, unless all requests of the service
    /// have the same priority. The decision is `None` if priorities had no part in it.
    pub fn admit_to_chain(
        &mut self,
        query: &RoomQuery<'_>,
        settings: &ForwardSettings,
        now: Moment,
    ) -> (Option<ChainChoice>, Option<AdmissionDecision>) {
        let RoomQuery { service, size, avoided, rank } = *query;
        let Some(rank) = rank.filter(|_| self.ranks_requests(service)) else {
            let limit = UNRESERVED_FULLNESS;
            return (self.choose_chain(service, settings, size, avoided, limit, now), None);
        };
        let RequestRank { priority, content } = rank;
        let arrival = self.refused.arrival(content, now);
        let limit = self.reservations.next_limit(service, priority, arrival, now);
        let needed = self.needed_size(service, priority, arrival, size, now);
        let is_exempt = limit > self.reservations.fullness_limit(service, priority, now);
        self.admit_waiting(service, settings, now);
        let queue_priority = queue_priority(priority, arrival, is_exempt);
        let choice = match self.others_wait_first(service, queue_priority) {
            true => None,
            false => self.choose_chain(service, settings, needed, avoided, limit, now),
        };
        let outcome = match &choice {
            Some(choice) => RoomOutcome::Admitted { least_fullness: choice.least_fullness },
            None => RoomOutcome::Refused,
        };
        // Where no engines hold the model, there is no room to reserve.
        if self.pools.get(service).is_some_and(|pool| !pool.chains().is_empty()) {
            self.reservations.record(service, priority, arrival, outcome, now);
        }
        match arrival {
            Arrival::New => self.refused.forget(content),
            Arrival::Early | Arrival::OnTime => self.refused.note_returned(content),
        }
        (choice, Some(AdmissionDecision { rank, arrival, limit, is_exempt }))
    }

    /// The room that must be free for a request: its own size, and the room that is held for
    /// requests that were refused before, unless it is one of them.
    pub(super) fn needed_size(
        &self,
        service: &ServiceId,
        priority: EffectivePriority,
        arrival: Arrival,
        size: RequestSize,
        now: Moment,
    ) -> RequestSize {
        let held = match arrival {
            Arrival::OnTime => TokenCount(0),
            Arrival::New | Arrival::Early => self.refused.held_tokens(service, priority, now),
        };
        RequestSize { total: TokenCount(size.total.0 + held.0), ..size }
    }

    /// How long the caller of a request without room is told to wait, and remembers when it
    /// returns. `time_left` is how much longer the caller waits for an answer.
    pub fn plan_return(
        &mut self,
        query: &RoomQuery<'_>,
        decision: &AdmissionDecision,
        time_left: Duration,
        now: Moment,
    ) -> PlannedReturn {
        let RequestRank { priority, content } = decision.rank;
        let service = query.service;
        let ahead = self.refused.expected_returns(service, priority, now);
        let urgent_share = self.reservations.urgent_share(service, priority, now);
        let estimate = self.releases.wait(service, ahead, urgent_share);
        let wait = match estimate {
            Some(estimate) => self.retry_delays.spread(estimate, estimate.mul_f64(ESTIMATE_SPREAD)),
            None => self.retry_delays.next_delay(now + NO_ROOM_RETRY_AFTER, now),
        };
        let request = RefusedRequest {
            service: service.clone(),
            priority,
            tokens: query.size.total,
            time: now + wait.min(time_left.mul_f64(MAX_WAIT_FRACTION)),
        };
        self.refused.note_refused(content, request, now);
        PlannedReturn { ahead, estimate, wait }
    }

    /// Counts a request on all engines of a chain.
    pub fn add_chain_load(&mut self, chain: &TargetChain, tokens: TokenCount) {
        for (index, part) in chain.parts.iter().enumerate() {
            self.loads.add(&part.target, tokens, part.range.count(), index == 0);
        }
    }

    /// Removes a request from all engines of a chain.
    pub(super) fn remove_chain_load(&mut self, chain: &TargetChain, tokens: TokenCount) {
        for (index, part) in chain.parts.iter().enumerate() {
            self.loads.remove(&part.target, tokens, part.range.count(), index == 0);
        }
    }

    /// Removes a request that did not run from all engines of a chain, and admits waiting ones to
    /// the room.
    pub fn cancel_chain(
        &mut self,
        chain: &TargetChain,
        tokens: TokenCount,
        settings: &ForwardSettings,
        now: Moment,
    ) {
        self.remove_chain_load(chain, tokens);
        let Some(row) = self.fleet.rows.get(&chain.parts[0].target) else { return };
        let service = row.report.service.clone();
        self.admit_waiting(&service, settings, now);
    }

    /// Removes a request that ran from all engines of a chain, and admits waiting ones to the room.
    pub fn release_chain(
        &mut self,
        chain: &TargetChain,
        tokens: TokenCount,
        settings: &ForwardSettings,
        now: Moment,
    ) {
        if let Some(row) = self.fleet.rows.get(&chain.parts[0].target) {
            let service = row.report.service.clone();
            if self.ranks_requests(&service) {
                self.releases.note_release(&service, now);
            }
        }
        self.cancel_chain(chain, tokens, settings, now);
    }

    /// Whether requests of a service can differ in priority. If not, the demand and the ends of
    /// requests that were counted under an earlier configuration are dropped.
    pub(super) fn ranks_requests(&mut self, service: &ServiceId) -> bool {
        let ranks =
            self.route_table().is_some_and(|routes| routes.has_competing_priorities(service));
        if !ranks {
            self.reservations.forget(service);
            self.releases.forget(service);
        }
        ranks
    }
}
