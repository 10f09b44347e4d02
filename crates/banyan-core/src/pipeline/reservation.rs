//! Reserves room at chains for more urgent requests (trunk reservation): [`ReservationTable`].
//!
//! A request may use a chain only up to a fullness that is lower the larger the share of more
//! urgent requests in the recent demand is. A small part of this share is reserved as long as there
//! are such requests, the rest as far as they found no room, or hardly any. Without more urgent
//! requests nothing is reserved, and every priority may use all room.
//!
//! Every tenth new request against which room is reserved may use as much as the most urgent ones,
//! so that no priority starves. Since the others of its priority may use less, a less urgent
//! priority is still served less often. A repeated request counts only once; otherwise callers that
//! retry often would have more exemptions and a larger share of the demand.

use std::collections::BTreeMap;

use crate::ids::ServiceId;
use crate::pipeline::priority::EffectivePriority;
use crate::pipeline::returning::Arrival;
use crate::pipeline::target_chain::MAX_FULLNESS;
use crate::units::Moment;

/// The fullness up to which requests may use a chain where nothing is reserved.
pub const UNRESERVED_FULLNESS: f64 = MAX_FULLNESS;
/// The fullness above which an admitted request counts as nearly refused. The room above it is
/// what is left to more urgent requests until the reservation takes effect.
const NEARLY_FULL: f64 = 0.85 * MAX_FULLNESS;
/// The part of the more urgent requests' share in the demand that is reserved while they find room.
/// It lets them in until the reservation grows, when less urgent requests fill an idle fleet.
const STANDING_RESERVE: f64 = 0.25;
/// The largest fraction of the room that is reserved. The rest lets less urgent requests use an
/// idle fleet immediately after a shortage.
const MAX_RESERVED: f64 = 0.9;
/// The smallest fraction of the room that is reserved. Counts decay to ever smaller values, which
/// would otherwise reserve a little long after a shortage.
const MIN_RESERVED: f64 = 0.01;
/// The time constant in seconds with which counts decay: about the time that an answer of some
/// hundred tokens takes, since room occupied now becomes free within that time.
const DECAY_SECONDS: f64 = 4.0;
/// Each n-th request for which room is reserved is exempt from the reservation.
const EXEMPTION_INTERVAL: u32 = 10;
/// Added to the demand, so that a single request among few does not reserve most of the room.
const DEMAND_OFFSET: f64 = 1.0;

/// The outcome of a request's first query for room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RoomOutcome {
    /// It was admitted.
    Admitted {
        /// The fullness that the least full chain would have with it.
        least_fullness: f64,
    },
    /// No chain had room for it.
    Refused,
}

/// The recent demand of each priority at each service.
#[derive(Clone, Debug, Default)]
pub struct ReservationTable {
    services: BTreeMap<ServiceId, BTreeMap<EffectivePriority, PriorityDemand>>,
}

/// The recent demand of one priority at one service.
#[derive(Clone, Copy, Debug, Default)]
struct PriorityDemand {
    /// Requests that asked for room.
    asked: DecayingCount,
    /// Requests that were refused, or admitted while all chains were nearly full.
    short: DecayingCount,
    /// Requests for which room was reserved since the last one that was exempt.
    limited: u32,
}

/// A count whose entries lose weight as they age.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    value: f64,
    updated: Moment,
}

impl DecayingCount {
    fn get(&self, now: Moment) -> f64 {
        self.value * (-now.since(self.updated).as_secs_f64() / DECAY_SECONDS).exp()
    }

    fn add_one(&mut self, now: Moment) {
        self.value = self.get(now) + 1.0;
        self.updated = now;
    }
}

impl ReservationTable {
    /// The highest fullness up to which a request of a priority may use a chain.
    pub fn fullness_limit(
        &self,
        service: &ServiceId,
        priority: EffectivePriority,
        now: Moment,
    ) -> f64 {
        let Some(rows) = self.services.get(service) else { return UNRESERVED_FULLNESS };
        let more_urgent = || rows.range(..priority).map(|(_, row)| row);
        let short: f64 = more_urgent().map(|row| row.short.get(now)).sum();
        let asked: f64 = more_urgent().map(|row| row.asked.get(now)).sum();
        let all_asked: f64 = rows.values().map(|row| row.asked.get(now)).sum();
        let claimed = asked * STANDING_RESERVE + short;
        let reserved = (claimed / (all_asked + DEMAND_OFFSET)).min(MAX_RESERVED);
        if reserved < MIN_RESERVED {
            return UNRESERVED_FULLNESS;
        }
        UNRESERVED_FULLNESS * (1.0 - reserved)
    }

    /// The limit of [`Self::fullness_limit`] for a request that asks now, or the whole room if it
    /// is this request's turn to be exempt from the reservation.
    pub fn next_limit(
        &mut self,
        service: &ServiceId,
        priority: EffectivePriority,
        arrival: Arrival,
        now: Moment,
    ) -> f64 {
        let limit = self.fullness_limit(service, priority, now);
        if limit >= UNRESERVED_FULLNESS || arrival != Arrival::New {
            return limit;
        }
        let row = self.services.entry(service.clone()).or_default().entry(priority).or_default();
        row.limited += 1;
        if row.limited < EXEMPTION_INTERVAL {
            return limit;
        }
        row.limited = 0;
        UNRESERVED_FULLNESS
    }

    /// Records the outcome of a request. A repeated request was recorded when it was new, and further
    /// attempts of this instance are not recorded.
    pub fn record(
        &mut self,
        service: &ServiceId,
        priority: EffectivePriority,
        arrival: Arrival,
        outcome: RoomOutcome,
        now: Moment,
    ) {
        if arrival != Arrival::New {
            return;
        }
        let row = self.services.entry(service.clone()).or_default().entry(priority).or_default();
        row.asked.add_one(now);
        let is_short = match outcome {
            RoomOutcome::Admitted { least_fullness } => least_fullness > NEARLY_FULL,
            RoomOutcome::Refused => true,
        };
        if is_short {
            row.short.add_one(now);
        }
    }

    /// The share of requests that are more urgent than `priority` in the recent demand.
    pub fn urgent_share(
        &self,
        service: &ServiceId,
        priority: EffectivePriority,
        now: Moment,
    ) -> f64 {
        let Some(rows) = self.services.get(service) else { return 0.0 };
        let asked: f64 = rows.range(..priority).map(|(_, row)| row.asked.get(now)).sum();
        let all_asked: f64 = rows.values().map(|row| row.asked.get(now)).sum();
        asked / (all_asked + DEMAND_OFFSET)
    }

    /// Drops what is known about a service whose requests all have the same priority now.
    pub fn forget(&mut self, service: &ServiceId) {
        self.services.remove(service);
    }
}
