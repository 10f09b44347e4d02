//! How long requests take and how fast they end: [`ServiceEstimates`].

use std::collections::BTreeMap;
use std::time::Duration;

use crate::units::Moment;

/// The weight of a new sample in a smoothed time, as a divisor.
const SAMPLE_DIVISOR: u32 = 8;
/// The samples over which the pause between two ends is averaged.
const PAUSE_SAMPLES: u32 = 32;
/// The deviations that an estimate keeps clear of, so that few requests take longer.
const DEVIATIONS: u32 = 2;

/// Smoothed times, by the size of the request.
#[derive(Clone, Debug, Default)]
pub struct ServiceEstimates {
    /// By the number of binary digits of the tokens. Invariant: at most 65 rows.
    sizes: BTreeMap<u32, TimeEstimate>,
    /// The pause between two ends while requests wait.
    pause: SmoothedTime,
    /// When the last request ended while others waited.
    last_end: Option<Moment>,
}

/// An average over the last samples: a plain mean until there are enough of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct SmoothedTime {
    mean: Duration,
    samples: u32,
}

impl SmoothedTime {
    /// Takes in a sample, which weighs one part in `limit` once there are so many.
    pub fn record(&mut self, sample: Duration, limit: u32) {
        self.samples = (self.samples + 1).min(limit.max(1));
        self.mean = (self.mean * (self.samples - 1) + sample) / self.samples;
    }

    /// The average, or `None` before the first sample.
    pub fn mean(&self) -> Option<Duration> {
        (self.samples > 0).then_some(self.mean)
    }
}

/// A smoothed time with its deviation.
#[derive(Clone, Copy, Debug, Default)]
struct TimeEstimate {
    mean: Duration,
    deviation: Duration,
}

impl ServiceEstimates {
    /// Notes that a request ended; `busy` tells whether others were waiting.
    pub fn record(&mut self, tokens: u64, took: Duration, busy: bool, now: Moment) {
        self.sizes.entry(size_class(tokens)).or_default().record(took);
        if !busy {
            self.last_end = None;
            return;
        }
        if let Some(last) = self.last_end {
            self.pause.record(now.since(last), PAUSE_SAMPLES);
        }
        self.last_end = Some(now);
    }

    /// Whether any request has ended so far.
    pub fn is_known(&self) -> bool {
        !self.sizes.is_empty()
    }

    /// The time that a request of this size takes, on the safe side; zero while nothing is known.
    pub fn expected(&self, tokens: u64) -> Duration {
        let class = size_class(tokens);
        let above = self.sizes.range(class..).next();
        let known = above.or_else(|| self.sizes.range(..class).next_back());
        known
            .map_or(Duration::ZERO, |(_, estimate)| estimate.mean + estimate.deviation * DEVIATIONS)
    }

    /// The time until this many requests have ended, by the measured rate; before it was measured,
    /// by the time that a request takes and the number that run at once.
    pub fn drain_time(&self, requests: u64, capacity: u32) -> Duration {
        if let Some(pause) = self.pause.mean() {
            return multiply(pause, requests);
        }
        let slowest = self.sizes.values().map(|estimate| estimate.mean).max();
        multiply(slowest.unwrap_or_default(), requests) / capacity.max(1)
    }
}

impl TimeEstimate {
    fn record(&mut self, took: Duration) {
        if self.mean.is_zero() {
            self.mean = took;
            self.deviation = took / 4;
            return;
        }
        let error = took.abs_diff(self.mean);
        self.deviation = (self.deviation * (SAMPLE_DIVISOR - 1) + error) / SAMPLE_DIVISOR;
        self.mean = (self.mean * (SAMPLE_DIVISOR - 1) + took) / SAMPLE_DIVISOR;
    }
}

fn size_class(tokens: u64) -> u32 {
    u64::BITS - tokens.leading_zeros()
}

fn multiply(time: Duration, count: u64) -> Duration {
    time.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
}
