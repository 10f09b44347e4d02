//! Sums records up: [`LatencySet`] and the counts of ends.

use std::collections::BTreeMap;
use std::time::Duration;

use eyre::WrapErr;
use hdrhistogram::Histogram;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::caller::CallEnd;
use crate::load::CallRecord;
use crate::report::ExperimentLine;

/// The longest latency that is told apart, in microseconds.
const LATENCY_LIMIT_US: u64 = 120_000_000;
/// The significant digits of a latency.
const LATENCY_DIGITS: u8 = 3;

/// Latencies of one kind.
#[derive(Debug)]
pub struct LatencySet {
    histogram: Histogram<u64>,
}

impl LatencySet {
    /// An empty set.
    pub fn new() -> eyre::Result<Self> {
        let histogram = Histogram::new_with_bounds(1, LATENCY_LIMIT_US, LATENCY_DIGITS)
            .wrap_err("the histogram's bounds are wrong")?;
        Ok(Self { histogram })
    }

    /// Adds a latency.
    pub fn add(&mut self, latency: Duration) {
        self.histogram.saturating_record((latency.as_micros() as u64).max(1));
    }

    /// The latency at a quantile, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Writes the usual quantiles into a line.
    pub fn report(&self, name: &str, line: &mut ExperimentLine) {
        for (suffix, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
            line.add(format_smolstr!("{name}_{suffix}_ms"), self.quantile_ms(quantile));
        }
    }
}

/// Times to the first token, from when the request was meant to be sent.
pub fn first_token_latencies<'a>(
    records: impl Iterator<Item = &'a CallRecord>,
) -> eyre::Result<LatencySet> {
    let mut set = LatencySet::new()?;
    for record in records {
        if let Some(first) = record.tokens.first() {
            set.add(first.saturating_sub(record.at));
        }
    }
    Ok(set)
}

/// Times between neighbouring tokens.
pub fn token_gaps<'a>(records: impl Iterator<Item = &'a CallRecord>) -> eyre::Result<LatencySet> {
    let mut set = LatencySet::new()?;
    for record in records {
        for pair in record.tokens.windows(2) {
            set.add(pair[1].saturating_sub(pair[0]));
        }
    }
    Ok(set)
}

/// Tokens that came between two times.
pub fn tokens_between(records: &[CallRecord], from: Duration, until: Duration) -> u64 {
    let tokens = records.iter().flat_map(|record| &record.tokens);
    tokens.filter(|at| **at >= from && **at < until).count() as u64
}

/// The number of records with each kind of end, with refusals told apart by kind.
pub fn count_ends<'a>(records: impl Iterator<Item = &'a CallRecord>) -> BTreeMap<SmolStr, u64> {
    let mut counts = BTreeMap::new();
    for record in records {
        let name = match &record.end {
            CallEnd::Complete => SmolStr::new_static("complete"),
            CallEnd::NotRun(kind) => format_smolstr!("not_run_{kind}"),
            CallEnd::Unknown(_) => SmolStr::new_static("unknown"),
            CallEnd::Unreached => SmolStr::new_static("unreached"),
            CallEnd::Lost(_) => SmolStr::new_static("lost"),
            CallEnd::Wrong(_) => SmolStr::new_static("wrong"),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

/// Writes the counts of ends into a line, and the first failures' words into its notes.
pub fn report_ends(records: &[CallRecord], prefix: &str, line: &mut ExperimentLine) {
    for (name, count) in count_ends(records.iter()) {
        line.add(format_smolstr!("{prefix}{name}"), count as f64);
    }
    let wrong = records.iter().filter(|record| matches!(record.end, CallEnd::Wrong(_)));
    line.check(wrong.count() == 0, format!("{prefix}an answer was wrong"));
    let failures = records.iter().filter_map(|record| match &record.end {
        CallEnd::Unknown(why) | CallEnd::Lost(why) | CallEnd::Wrong(why) => Some(why),
        _ => None,
    });
    let mut words: BTreeMap<&str, u64> = BTreeMap::new();
    failures.for_each(|why| *words.entry(why.as_str()).or_default() += 1);
    for (why, count) in words.into_iter().take(5) {
        line.notes.push(format!("{prefix}{count} times: {why}"));
    }
}

/// The longest time between `from` and `until` for which a stream waited for its next token.
///
/// A stream that was cut never went on and counts up to `until`.
pub fn longest_stall(records: &[CallRecord], from: Duration, until: Duration) -> Duration {
    records.iter().map(|record| stall_of(record, from, until)).max().unwrap_or_default()
}

fn stall_of(record: &CallRecord, from: Duration, until: Duration) -> Duration {
    let mut longest = Duration::ZERO;
    let mut before = record.at;
    let overlap = |begin: Duration, end: Duration| end.min(until).saturating_sub(begin.max(from));
    for at in &record.tokens {
        longest = longest.max(overlap(before, *at));
        before = *at;
    }
    let cut = record.end != CallEnd::Complete && record.ended > from && record.ended < until;
    if cut { longest.max(overlap(before, until)) } else { longest }
}
