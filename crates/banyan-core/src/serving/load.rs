//! How loaded and how far away a target is: [`LoadHistory`] and [`LinkEstimate`].
//!
//! A report says what a target had some time ago. To bring it up to date, the own part of that
//! past load is taken out of it and the own part of now is put in its place; what others have
//! there stays as old as the report.

use std::collections::VecDeque;
use std::time::Duration;

use crate::units::Moment;

/// The number of samples kept for each target.
const SAMPLE_LIMIT: usize = 32;
/// The least time between two samples, in microseconds.
const SAMPLE_GAP_MICROS: u64 = 25_000;
/// The number of answers over which the fastest is taken as the time without queueing.
const WINDOW_ANSWERS: u32 = 8;

/// The steps that even the fastest of some answers may wait in an overload.
const QUEUE_STEPS: u32 = 2;
/// The time for which a peer's word of a link counts.
const WORD_LIFE: Duration = Duration::from_secs(5);

/// What this instance had under way at a target over the last while.
#[derive(Clone, Debug, Default)]
pub struct LoadHistory {
    /// Samples, oldest first. Invariant: at most [`SAMPLE_LIMIT`].
    samples: VecDeque<LoadSample>,
}

/// What this instance had under way at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadSample {
    /// When.
    pub at: Moment,
    /// Steps or calls.
    pub steps: u32,
    /// Streams that were assigned there.
    pub streams: u32,
}

impl LoadHistory {
    /// Notes what is under way from this moment on.
    pub fn record(&mut self, sample: LoadSample) {
        if let Some(last) = self.samples.back_mut()
            && sample.at.0 < last.at.0 + SAMPLE_GAP_MICROS
        {
            last.steps = sample.steps;
            last.streams = sample.streams;
            return;
        }
        if self.samples.len() == SAMPLE_LIMIT {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// What was under way at `moment`; the oldest that is known where the moment is older.
    pub fn at(&self, moment: Moment) -> LoadSample {
        let newest_first = self.samples.iter().rev();
        let known = newest_first.into_iter().find(|sample| sample.at <= moment);
        known.or(self.samples.front()).copied().unwrap_or_default()
    }
}

/// The time that a target's answers take beyond its step: the link, as observed.
///
/// Queueing and long prompts only ever make an answer slower, so the fastest of the last answers
/// shows the link.
#[derive(Clone, Debug, Default)]
pub struct LinkEstimate {
    /// The fastest answer of the window before.
    before: Option<Duration>,
    /// The fastest answer of this window.
    fastest: Option<Duration>,
    /// The answers in this window.
    answers: u32,
    /// Whether an answer came since the last report.
    fresh: bool,
    /// When the last answer came.
    answered: Option<Moment>,
    /// The time beyond the step that a peer observed, and when.
    told: Option<(Duration, Moment)>,
}

impl LinkEstimate {
    /// Notes the time that an answer took.
    pub fn record(&mut self, took: Duration, now: Moment) {
        self.fresh = true;
        self.answered = Some(now);
        self.fastest = Some(self.fastest.map_or(took, |fastest| fastest.min(took)));
        self.answers += 1;
        if self.answers == WINDOW_ANSWERS {
            self.before = self.fastest.take();
            self.answers = 0;
        }
    }

    /// Lets an estimate that nothing renews fade, so that a target that is avoided for a slow
    /// link is tried again. Called with each load report.
    pub fn fade(&mut self) {
        if !self.fresh {
            self.before = self.before.map(fade_once);
            self.fastest = self.fastest.map(fade_once);
        }
        self.fresh = false;
    }

    /// The fastest of the last answers, or `None` before the first.
    pub fn fastest(&self) -> Option<Duration> {
        match (self.before, self.fastest) {
            (Some(before), Some(fastest)) if self.answers * 2 < WINDOW_ANSWERS => {
                Some(before.min(fastest))
            }
            (before, None) => before,
            (_, fastest) => fastest,
        }
    }
}

impl LinkEstimate {
    /// Takes in the time beyond the step that a peer observed at some moment.
    pub fn note_told(&mut self, excess: Duration, observed: Moment) {
        if self.told.is_none_or(|(_, at)| at < observed) {
            self.told = Some((excess, observed));
        }
    }

    /// The time beyond a step of this length: as observed here, or as a peer observed lately where
    /// that is more.
    pub fn excess(&self, step: Duration, now: Moment) -> Duration {
        let own = self.fastest().map_or(Duration::ZERO, |fastest| fastest.saturating_sub(step));
        let told = self.told.filter(|(_, at)| now.since(*at) <= WORD_LIFE);
        own.max(told.map_or(Duration::ZERO, |(excess, _)| excess))
    }

    /// The time beyond a step that was observed here lately, with when, where it is worth telling
    /// peers: more than a queue of some batches makes.
    pub fn own_excess(&self, step: Duration, now: Moment) -> Option<(Duration, Moment)> {
        let answered = self.answered.filter(|at| now.since(*at) <= WORD_LIFE)?;
        let excess = self.fastest()?.saturating_sub(step);
        (excess > step * QUEUE_STEPS).then_some((excess, answered))
    }
}

fn fade_once(estimate: Duration) -> Duration {
    estimate * 31 / 32
}
