//! Estimates of service times and of the completion rate: [`ServiceEstimates`].

use std::collections::BTreeMap;
use std::time::Duration;

use crate::units::Moment;

/// The weight of a new sample in a moving average, as a divisor.
const SAMPLE_DIVISOR: u32 = 8;
/// The number of samples over which the interval between two completions is averaged.
const COMPLETION_INTERVAL_SAMPLES: u32 = 32;
/// The number of mean deviations that is added to the average, so that few requests take longer
/// than estimated.
const DEVIATION_FACTOR: u32 = 2;

/// Average service times by size of the request, and the completion rate.
#[derive(Clone, Debug, Default)]
pub struct ServiceEstimates {
    /// The service times by the bit length of the number of tokens. Invariant: at most 65 rows.
    sizes: BTreeMap<u32, TimeEstimate>,
    /// The interval between two completions while requests wait.
    completion_interval: SmoothedTime,
    /// When the last request ended while others waited.
    last_completion: Option<Moment>,
}

/// A moving average, which is a plain mean until there are enough samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct SmoothedTime {
    mean: Duration,
    samples: u32,
}

impl SmoothedTime {
    /// Adds a sample. After `limit` samples, each new one has the weight 1 / `limit`.
    pub fn record(&mut self, sample: Duration, limit: u32) {
        self.samples = (self.samples + 1).min(limit.max(1));
        self.mean = (self.mean * (self.samples - 1) + sample) / self.samples;
    }

    /// The average, or `None` before the first sample.
    pub fn mean(&self) -> Option<Duration> {
        (self.samples > 0).then_some(self.mean)
    }
}

/// A moving average with its mean deviation.
#[derive(Clone, Copy, Debug, Default)]
struct TimeEstimate {
    mean: Duration,
    deviation: Duration,
}

impl ServiceEstimates {
    /// Records that a request ended; `others_waiting` tells whether other requests were waiting.
    pub fn record(&mut self, tokens: u64, elapsed: Duration, others_waiting: bool, now: Moment) {
        self.sizes.entry(size_class(tokens)).or_default().record(elapsed);
        if !others_waiting {
            self.last_completion = None;
            return;
        }
        if let Some(last) = self.last_completion {
            self.completion_interval.record(now.since(last), COMPLETION_INTERVAL_SAMPLES);
        }
        self.last_completion = Some(now);
    }

    /// Whether any request has ended so far.
    pub fn is_known(&self) -> bool {
        !self.sizes.is_empty()
    }

    /// A conservative estimate of the service time of a request of this size; zero before the first
    /// sample.
    pub fn expected(&self, tokens: u64) -> Duration {
        let class = size_class(tokens);
        let next_larger = self.sizes.range(class..).next();
        let estimate_row = next_larger.or_else(|| self.sizes.range(..class).next_back());
        estimate_row.map_or(Duration::ZERO, |(_, estimate)| {
            estimate.mean + estimate.deviation * DEVIATION_FACTOR
        })
    }

    /// The time until this many requests have ended, by the measured completion rate. Before that
    /// is measured, it follows from the longest average service time and the number of requests
    /// that run at once.
    pub fn drain_time(&self, requests: u64, capacity: u32) -> Duration {
        if let Some(interval) = self.completion_interval.mean() {
            return multiply(interval, requests);
        }
        let slowest = self.sizes.values().map(|estimate| estimate.mean).max();
        multiply(slowest.unwrap_or_default(), requests) / capacity.max(1)
    }
}

impl TimeEstimate {
    fn record(&mut self, elapsed: Duration) {
        if self.mean.is_zero() {
            self.mean = elapsed;
            self.deviation = elapsed / 4;
            return;
        }
        let error = elapsed.abs_diff(self.mean);
        self.deviation = (self.deviation * (SAMPLE_DIVISOR - 1) + error) / SAMPLE_DIVISOR;
        self.mean = (self.mean * (SAMPLE_DIVISOR - 1) + elapsed) / SAMPLE_DIVISOR;
    }
}

fn size_class(tokens: u64) -> u32 {
    u64::BITS - tokens.leading_zeros()
}

fn multiply(time: Duration, count: u64) -> Duration {
    time.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
}
