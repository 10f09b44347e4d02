//! Admits the first attempts of streams by priority, where a service's requests differ in it.

use crate::callers::answer::Refusal;
use crate::decisions::tables::ForwardTables;
use crate::settings::ForwardSettings;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::chain::ChainChoice;
use banyan_core::pipeline::chain::RequestSize;
use banyan_core::pipeline::priority::EffectivePriority;
use banyan_core::pipeline::reservation::RoomOutcome;
use banyan_core::pipeline::reservation::UNRESERVED_FULLNESS;
use banyan_core::record::ContentDigest;
use banyan_core::units::Moment;

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

impl ForwardTables {
    /// Chooses a chain with room for a request. Room reserved for more urgent requests is not
    /// given to it, unless all requests of the service have the same priority.
    pub fn admit_to_chain(
        &mut self,
        query: &RoomQuery<'_>,
        settings: &ForwardSettings,
        now: Moment,
    ) -> Option<ChainChoice> {
        let RoomQuery { service, size, avoided, rank } = *query;
        let routes = self.route_table()?;
        if !routes.ranks_requests(service) {
            self.reservations.forget(service);
            return self.choose_chain(service, settings, size, avoided, UNRESERVED_FULLNESS, now);
        }
        let Some(RequestRank { priority, content }) = rank else {
            return self.choose_chain(service, settings, size, avoided, UNRESERVED_FULLNESS, now);
        };
        let arrival = self.refused.arrival(content, now);
        let limit = self.reservations.next_limit(service, priority, arrival, now);
        let choice = self.choose_chain(service, settings, size, avoided, limit, now);
        let outcome = match &choice {
            Some(choice) => RoomOutcome::Admitted { least_fullness: choice.least_fullness },
            None => RoomOutcome::Refused,
        };
        // Where no engines hold the model, there is no room to reserve.
        if self.pools.get(service).is_some_and(|pool| !pool.chains().is_empty()) {
            self.reservations.record(service, priority, arrival, outcome, now);
        }
        if choice.is_some() {
            self.refused.remove(content);
        }
        choice
    }

    /// Remembers that a request was refused and when its caller was told to repeat it, if the
    /// service's requests differ in priority.
    pub fn note_refused(&mut self, query: &RoomQuery<'_>, refusal: Refusal, now: Moment) {
        let ranks_requests =
            self.route_table().is_some_and(|routes| routes.ranks_requests(query.service));
        if let (Some(rank), Refusal::NotRun(_, wait), true) = (query.rank, refusal, ranks_requests)
        {
            self.refused.note_refused(rank.content, now + wait, now);
        }
    }
}
