//! What a run came to: [`PatternTally`].

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use smol_str::format_smolstr;

use crate::report::ExperimentLine;

/// The length of one window of the worst seconds.
const WINDOW_MS: u64 = 2_000;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RequestOutcome {
    /// It was served on time.
    Served,
    /// It was served late.
    Late,
    /// It was served after it had been refused and the caller had come back.
    Returned,
    /// It was refused at once.
    Refused,
    /// Its stream broke off.
    Broken,
    /// The caller gave it up.
    Abandoned,
}

/// The figures of one run.
#[derive(Debug)]
pub struct PatternTally {
    outcomes: BTreeMap<RequestOutcome, u64>,
    /// Requests and those on time, by workspace.
    workspaces: Vec<(u64, u64)>,
    /// Requests and those on time, by window.
    windows: BTreeMap<u64, (u64, u64)>,
    moved: Histogram<u64>,
    first: Histogram<u64>,
    /// First events, requests and those on time, of short and of long prompts.
    prompts: [(Histogram<u64>, u64, u64); 2],
}

impl PatternTally {
    /// An empty tally for a number of workspaces.
    pub fn new(workspaces: usize) -> Self {
        let histogram = || Histogram::new(DIGITS).expect("a valid number of digits");
        Self {
            outcomes: BTreeMap::new(),
            workspaces: vec![(0, 0); workspaces],
            windows: BTreeMap::new(),
            moved: histogram(),
            first: histogram(),
            prompts: [(histogram(), 0, 0), (histogram(), 0, 0)],
        }
    }

    /// Counts a request that a caller sent for the first time.
    pub fn asked(&mut self, workspace: usize, at_ms: u64) {
        self.workspaces[workspace].0 += 1;
        self.windows.entry(at_ms / WINDOW_MS).or_default().0 += 1;
    }

    /// Counts how a request ended that was sent at `at_ms`.
    pub fn note(&mut self, workspace: usize, at_ms: u64, outcome: RequestOutcome) {
        *self.outcomes.entry(outcome).or_default() += 1;
        if matches!(
            outcome,
            RequestOutcome::Served | RequestOutcome::Late | RequestOutcome::Returned
        ) {
            self.workspaces[workspace].1 += 1;
        }
        if outcome == RequestOutcome::Served {
            self.windows.entry(at_ms / WINDOW_MS).or_default().1 += 1;
        }
    }

    /// Counts the longest pause of a stream that was moved.
    pub fn moved_pause(&mut self, pause_ms: u64) {
        self.moved.saturating_record(pause_ms);
    }

    /// Counts the time to a first event.
    pub fn first_event(&mut self, took_ms: u64) {
        self.first.saturating_record(took_ms);
    }

    /// Counts how a request with a short or a long prompt ended, and when its first event came.
    pub fn prompt(&mut self, is_long: bool, first_ms: Option<u64>, outcome: RequestOutcome) {
        let (first, ended, on_time) = &mut self.prompts[usize::from(is_long)];
        *ended += 1;
        *on_time += u64::from(outcome == RequestOutcome::Served);
        if let Some(took_ms) = first_ms {
            first.saturating_record(took_ms);
        }
    }

    /// The time to the first event that 99 in 100 short prompts keep.
    pub fn short_first_p99(&self) -> u64 {
        self.prompts[0].0.value_at_quantile(0.99)
    }

    /// Requests on time with short prompts, or with long ones.
    pub fn prompts_on_time(&self, is_long: bool) -> u64 {
        self.prompts[usize::from(is_long)].2
    }

    /// Adds the figures of short and of long prompts to a line under a prefix.
    pub fn add_prompt_figures(&self, prefix: &str, line: &mut ExperimentLine) {
        for (name, (first, ended, on_time)) in ["short", "long"].into_iter().zip(&self.prompts) {
            let mut add = |figure: &str, value: u64| {
                line.add(format_smolstr!("{prefix}_{name}_{figure}"), value as f64);
            };
            add("ended", *ended);
            add("on_time", *on_time);
            add("first_event_p50_ms", first.value_at_quantile(0.5));
            add("first_event_p99_ms", first.value_at_quantile(0.99));
        }
    }

    /// The longest pause of any stream that was moved.
    pub fn longest_moved_pause(&self) -> u64 {
        self.moved.max()
    }

    /// Requests on time, of all that were sent and have ended.
    pub fn on_time_share(&self) -> f64 {
        let ended: u64 = self.outcomes.values().sum();
        share(self.count(RequestOutcome::Served), ended)
    }

    /// Requests on time a second among those sent within a span.
    pub fn on_time_rate(&self, from_ms: u64, until_ms: u64) -> f64 {
        let span = from_ms / WINDOW_MS..until_ms / WINDOW_MS;
        let served: u64 = self.windows.range(span).map(|(_, (_, served))| served).sum();
        served as f64 / ((until_ms - from_ms) as f64 / 1e3)
    }

    /// Served requests of the worst workspace but the first, which is the large one.
    pub fn worst_small_workspace(&self) -> f64 {
        let small = self.workspaces.iter().skip(1).filter(|(asked, _)| *asked > 0);
        small.map(|(asked, served)| share(*served, *asked)).fold(1.0, f64::min)
    }

    /// Late requests among those that were accepted the first time.
    pub fn late_share(&self) -> f64 {
        let late = self.count(RequestOutcome::Late) + self.count(RequestOutcome::Abandoned);
        share(late, late + self.count(RequestOutcome::Served))
    }

    /// Adds all figures to a line under a prefix.
    pub fn add_figures(&self, prefix: &str, line: &mut ExperimentLine) {
        let worst = self.windows.values().map(|(asked, served)| share(*served, *asked));
        let mut add =
            |name: &str, figure: f64| line.add(format_smolstr!("{prefix}_{name}"), figure);
        add("on_time", self.count(RequestOutcome::Served) as f64);
        add("late", self.count(RequestOutcome::Late) as f64);
        add("returned", self.count(RequestOutcome::Returned) as f64);
        add("refused", self.count(RequestOutcome::Refused) as f64);
        add("broken", self.count(RequestOutcome::Broken) as f64);
        add("abandoned", self.count(RequestOutcome::Abandoned) as f64);
        add("worst_window", worst.fold(1.0, f64::min));
        add("worst_small_workspace", self.worst_small_workspace());
        add("first_event_p50_ms", self.first.value_at_quantile(0.5) as f64);
        add("first_event_p99_ms", self.first.value_at_quantile(0.99) as f64);
        add("moved_streams", self.moved.len() as f64);
        add("moved_pause_p50_ms", self.moved.value_at_quantile(0.5) as f64);
        add("moved_pause_max_ms", self.longest_moved_pause() as f64);
    }

    fn count(&self, outcome: RequestOutcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or_default()
    }
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}
