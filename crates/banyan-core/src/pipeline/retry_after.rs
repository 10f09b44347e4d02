//! Tells refused callers when to retry: [`RetryAfterTable`], and [`ReleaseTable`] where a service
//! ranks its requests.
//!
//! Callers that were refused for the same reason would all retry at the same time. Each gets a
//! delay of its own, spread over an interval after the earliest moment at which the reason may be
//! gone.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::ServiceId;
use crate::serving::estimate::SmoothedTime;
use crate::units::Moment;

/// Interval over which the retries of callers refused together are spread.
const SPREAD: Duration = Duration::from_millis(400);
/// Number of distinct delays in the interval.
const SPREAD_SLOTS: u64 = 16;
/// Distance between the slots of consecutive callers, coprime to the number of slots.
const SPREAD_STRIDE: u64 = 7;

/// The number of samples over which the interval between two ends of requests is averaged.
const RELEASE_SAMPLES: u32 = 32;
/// The longest interval between two ends that counts. In a longer one the service was idle, or so
/// few requests end that callers do not wait for it.
const MAX_INTERVAL: Duration = Duration::from_secs(5);
/// The shortest wait that is computed for a refused caller: about the time that a request needs to
/// return and be read.
const MIN_WAIT: Duration = Duration::from_millis(50);
/// The smallest share of the released room that a priority is taken to get. Requests that are
/// exempt from the reservation get about as much.
const MIN_ROOM_SHARE: f64 = 0.1;

/// Assigns retry delays to refused callers.
#[derive(Debug, Default)]
pub struct RetryAfterTable {
    issued: u64,
}

impl RetryAfterTable {
    /// The delay from `now` after which a caller should retry if the reason cannot change before
    /// `earliest`.
    pub fn next_delay(&mut self, earliest: Moment, now: Moment) -> Duration {
        self.spread(earliest.since(now), SPREAD)
    }

    /// A delay of at least `least`, spread over an interval of length `spread` after it.
    pub fn spread(&mut self, least: Duration, spread: Duration) -> Duration {
        let slot = (self.issued * SPREAD_STRIDE) % SPREAD_SLOTS;
        self.issued += 1;
        least + spread.mul_f64(slot as f64 / SPREAD_SLOTS as f64)
    }
}

/// How often requests of each service end at this instance and release their room.
#[derive(Clone, Debug, Default)]
pub struct ReleaseTable {
    services: BTreeMap<ServiceId, ReleaseRate>,
}

/// How often requests of one service end.
#[derive(Clone, Copy, Debug, Default)]
struct ReleaseRate {
    interval: SmoothedTime,
    last: Option<Moment>,
}

impl ReleaseTable {
    /// Records that a request ended.
    pub fn note_release(&mut self, service: &ServiceId, now: Moment) {
        let rate = self.services.entry(service.clone()).or_default();
        let interval = rate.last.map(|last| now.since(last));
        if let Some(interval) = interval.filter(|interval| *interval <= MAX_INTERVAL) {
            rate.interval.record(interval, RELEASE_SAMPLES);
        }
        rate.last = Some(now);
    }

    /// The time until there is room for a request that returns after `ahead` others, or `None`
    /// before it is known how often requests end. `urgent_share` is the share of more urgent
    /// requests in the demand; they take as much of the released room.
    pub fn wait(&self, service: &ServiceId, ahead: usize, urgent_share: f64) -> Option<Duration> {
        let interval = self.services.get(service)?.interval.mean()?;
        let room_share = (1.0 - urgent_share).max(MIN_ROOM_SHARE);
        let wait = interval.mul_f64((ahead + 1) as f64 / room_share);
        Some(wait.max(MIN_WAIT))
    }

    /// Drops what is known about a service.
    pub fn forget(&mut self, service: &ServiceId) {
        self.services.remove(service);
    }
}
