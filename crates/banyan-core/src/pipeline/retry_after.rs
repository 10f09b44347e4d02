//! Tells refused callers when to retry: [`RetryAfterTable`].
//!
//! Callers that were refused for the same reason would all retry at the same time. Each gets a
//! delay of its own, spread over an interval after the earliest moment at which the reason may be
//! gone.

use std::time::Duration;

use crate::units::Moment;

/// Interval over which the retries of callers refused together are spread.
const SPREAD: Duration = Duration::from_millis(400);
/// Number of distinct delays in the interval.
const SPREAD_SLOTS: u64 = 16;
/// Distance between the slots of consecutive callers, coprime to the number of slots.
const SPREAD_STRIDE: u64 = 7;

/// Assigns retry delays to refused callers.
#[derive(Debug, Default)]
pub struct RetryAfterTable {
    issued: u64,
}

impl RetryAfterTable {
    /// The delay from `now` after which a caller should retry if the reason cannot change before
    /// `earliest`.
    pub fn next_delay(&mut self, earliest: Moment, now: Moment) -> Duration {
        let slot = (self.issued * SPREAD_STRIDE) % SPREAD_SLOTS;
        self.issued += 1;
        earliest.since(now) + SPREAD.mul_f64(slot as f64 / SPREAD_SLOTS as f64)
    }
}
