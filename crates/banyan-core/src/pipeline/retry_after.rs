//! When a refused caller should come back: [`RetryAfterTable`].
//!
//! Callers that were refused for the same reason would all return at once; each is told a time of its
//! own, spread over a while after the earliest moment at which the reason may be gone.

use std::time::Duration;

use crate::units::Moment;

/// The time over which callers that are refused together come back.
const SPREAD: Duration = Duration::from_millis(400);
/// Steps in which the spread is handed out.
const SPREAD_STEPS: u64 = 16;
/// The step from one caller's place to the next, coprime to the number of places.
const SPREAD_STRIDE: u64 = 7;

/// Hands out times to come back.
#[derive(Debug, Default)]
pub struct RetryAfterTable {
    given: u64,
}

impl RetryAfterTable {
    /// The time after `now` at which a caller should come back when nothing can change before
    /// `earliest`.
    pub fn next_delay(&mut self, earliest: Moment, now: Moment) -> Duration {
        let place = (self.given * SPREAD_STRIDE) % SPREAD_STEPS;
        self.given += 1;
        earliest.since(now) + SPREAD.mul_f64(place as f64 / SPREAD_STEPS as f64)
    }
}
