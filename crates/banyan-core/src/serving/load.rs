//! Load and link estimates of a target: [`LoadHistory`] and [`LinkEstimate`].
//!
//! A report shows the load of a target some time ago. To correct it, this instance's own load at
//! that time is subtracted and its current load is added. The load of other instances stays as old
//! as the report.

use std::collections::VecDeque;
use std::time::Duration;

use crate::units::Moment;

/// The number of samples kept per target.
const MAX_SAMPLES: usize = 32;
/// The shortest time between two samples, in microseconds. Earlier changes update the last sample.
const MIN_SAMPLE_INTERVAL_MICROS: u64 = 25_000;
/// The number of answers whose fastest is taken as the time without queueing.
const WINDOW_ANSWERS: u32 = 8;

/// The number of steps for which even the fastest of several answers may be queued in an overload.
const MAX_QUEUED_STEPS: u32 = 2;
/// The age up to which an observation of a link is used, made here or by a peer.
const MAX_OBSERVATION_AGE: Duration = Duration::from_secs(5);

/// Recent samples of this instance's own load at a target.
#[derive(Clone, Debug, Default)]
pub struct LoadHistory {
    /// The samples, oldest first. Invariant: at most [`MAX_SAMPLES`].
    samples: VecDeque<LoadSample>,
}

/// This instance's own load at a target at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadSample {
    /// When the sample was taken.
    pub at: Moment,
    /// Steps or calls in flight.
    pub steps: u32,
    /// Streams assigned to the target.
    pub streams: u32,
}

impl LoadHistory {
    /// Records the load from this moment on.
    pub fn record(&mut self, sample: LoadSample) {
        if let Some(last) = self.samples.back_mut()
            && sample.at.0 < last.at.0 + MIN_SAMPLE_INTERVAL_MICROS
        {
            last.steps = sample.steps;
            last.streams = sample.streams;
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// The load at `moment`, or the oldest known load if the moment is before all samples.
    pub fn at(&self, moment: Moment) -> LoadSample {
        let newest_first = self.samples.iter().rev();
        let sample = newest_first.into_iter().find(|sample| sample.at <= moment);
        sample.or(self.samples.front()).copied().unwrap_or_default()
    }
}

/// The observed response time of a target beyond its step time, which is an estimate of the link's
/// latency.
///
/// Queueing and long prompts can only make an answer slower, so the fastest of the recent answers
/// is closest to the latency of the link.
#[derive(Clone, Debug, Default)]
pub struct LinkEstimate {
    /// The fastest answer of the previous window.
    previous_fastest: Option<Duration>,
    /// The fastest answer of the current window.
    fastest: Option<Duration>,
    /// The number of answers in the current window.
    answers: u32,
    /// Whether an answer arrived since the last load report.
    answered_since_report: bool,
    /// When the last answer arrived.
    last_answer: Option<Moment>,
    /// The response time beyond the step time that a peer observed, and when.
    peer_excess: Option<(Duration, Moment)>,
}

impl LinkEstimate {
    /// Records the response time of an answer.
    pub fn record(&mut self, elapsed: Duration, now: Moment) {
        self.answered_since_report = true;
        self.last_answer = Some(now);
        self.fastest = Some(self.fastest.map_or(elapsed, |fastest| fastest.min(elapsed)));
        self.answers += 1;
        if self.answers == WINDOW_ANSWERS {
            self.previous_fastest = self.fastest.take();
            self.answers = 0;
        }
    }

    /// Reduces an estimate that no answer renewed, so that a target that is avoided for a slow link
    /// is tried again. Called with each load report.
    pub fn decay(&mut self) {
        if !self.answered_since_report {
            self.previous_fastest = self.previous_fastest.map(decay_once);
            self.fastest = self.fastest.map(decay_once);
        }
        self.answered_since_report = false;
    }

    /// The fastest recent answer, or `None` before the first.
    pub fn fastest(&self) -> Option<Duration> {
        match (self.previous_fastest, self.fastest) {
            (Some(previous_fastest), Some(fastest)) if self.answers * 2 < WINDOW_ANSWERS => {
                Some(previous_fastest.min(fastest))
            }
            (previous_fastest, None) => previous_fastest,
            (_, fastest) => fastest,
        }
    }
}

impl LinkEstimate {
    /// Applies a peer's observation of the response time beyond the step time.
    pub fn note_peer_observation(&mut self, excess: Duration, observed: Moment) {
        if self.peer_excess.is_none_or(|(_, at)| at < observed) {
            self.peer_excess = Some((excess, observed));
        }
    }

    /// The response time beyond a step of this length: the larger of this instance's estimate and a
    /// recent observation of a peer.
    pub fn excess(&self, step: Duration, now: Moment) -> Duration {
        let own = self.fastest().map_or(Duration::ZERO, |fastest| fastest.saturating_sub(step));
        let peer_excess = self.peer_excess.filter(|(_, at)| now.since(*at) <= MAX_OBSERVATION_AGE);
        own.max(peer_excess.map_or(Duration::ZERO, |(excess, _)| excess))
    }

    /// The response time beyond the step time that was recently observed here, and when. `None` if
    /// it is no longer than the queueing of some batches would explain.
    pub fn own_excess(&self, step: Duration, now: Moment) -> Option<(Duration, Moment)> {
        let last_answer = self.last_answer.filter(|at| now.since(*at) <= MAX_OBSERVATION_AGE)?;
        let excess = self.fastest()?.saturating_sub(step);
        (excess > step * MAX_QUEUED_STEPS).then_some((excess, last_answer))
    }
}

fn decay_once(estimate: Duration) -> Duration {
    estimate * 31 / 32
}
