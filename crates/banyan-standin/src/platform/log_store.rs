//! The streams of the log: [`LogStore`].

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::truth::AppendRow;
use crate::truth::PlatformTruth;
use crate::truth::wall_ms;
use banyan_wire::platform::ReadEntry;
use banyan_wire::platform::ReadReply;

/// The share of a second's allowance that a [`RateBucket`] saves up: one in this many.
const BURST_DIVISOR: u32 = 4;

/// Allows so many actions a second.
#[derive(Debug)]
pub(super) struct RateBucket {
    per_second: u32,
    allowance: f64,
    refilled: Instant,
}

impl RateBucket {
    /// A full bucket.
    pub(super) fn new(per_second: u32) -> Self {
        let allowance = Self::burst(per_second);
        Self { per_second, allowance, refilled: Instant::now() }
    }

    fn burst(per_second: u32) -> f64 {
        f64::from((per_second / BURST_DIVISOR).max(1))
    }

    /// Takes one action out, if there is one.
    pub(super) fn take(&mut self) -> bool {
        let now = Instant::now();
        let earned = (now - self.refilled).as_secs_f64() * f64::from(self.per_second);
        self.allowance = (self.allowance + earned).min(Self::burst(self.per_second));
        self.refilled = now;
        if self.allowance < 1.0 {
            return false;
        }
        self.allowance -= 1.0;
        true
    }
}

/// All streams, and everything that was ever appended.
#[derive(Debug)]
pub(super) struct LogStore {
    streams: BTreeMap<SmolStr, StreamRow>,
    bucket: RateBucket,
    retention: Duration,
    /// Everything that was appended.
    pub(super) truth: PlatformTruth,
}

/// One stream.
///
/// Invariant: `entries` holds the offsets from `first` on without a gap, and times never go back.
#[derive(Debug, Default)]
struct StreamRow {
    first: u64,
    entries: VecDeque<ReadEntry>,
}

impl StreamRow {
    fn next(&self) -> u64 {
        self.first + self.entries.len() as u64
    }
}

impl LogStore {
    /// An empty log.
    pub(super) fn new(append_rate: u32, retention: Duration) -> Self {
        Self {
            streams: BTreeMap::new(),
            bucket: RateBucket::new(append_rate),
            retention,
            truth: PlatformTruth::default(),
        }
    }

    /// Changes the most appends a second.
    pub(super) fn set_rate(&mut self, per_second: u32) {
        self.bucket = RateBucket::new(per_second);
    }

    /// Whether the rate limit allows one more append.
    pub(super) fn allow_append(&mut self) -> bool {
        let allowed = self.bucket.take();
        if !allowed {
            self.truth.throttled += 1;
        }
        allowed
    }

    /// Appends and gives the offset.
    pub(super) fn append(&mut self, stream: &str, body: &str) -> u64 {
        let row = self.streams.entry(SmolStr::new(stream)).or_default();
        let newest = row.entries.back().map_or(0, |entry| entry.at_ms);
        let at_ms = wall_ms().max(newest);
        let offset = row.next();
        row.entries.push_back(ReadEntry { offset, at_ms, body: body.to_owned() });
        let stream = SmolStr::new(stream);
        self.truth.appends.push(AppendRow { stream, offset, at_ms, body: body.to_owned() });
        offset
    }

    /// Reads at most `limit` entries from an offset on.
    pub(super) fn read(&mut self, stream: &str, from: u64, limit: usize) -> ReadReply {
        self.forget_old(stream);
        let Some(row) = self.streams.get(stream) else {
            return ReadReply { first: 0, next: 0, entries: Vec::new() };
        };
        let skipped = from.saturating_sub(row.first) as usize;
        let entries = row.entries.iter().skip(skipped).take(limit).cloned().collect();
        ReadReply { first: row.first, next: row.next(), entries }
    }

    /// Forgets the entries of a stream below an offset.
    pub(super) fn trim(&mut self, stream: &str, first: u64) {
        let Some(row) = self.streams.get_mut(stream) else { return };
        let count = first.saturating_sub(row.first).min(row.entries.len() as u64);
        row.entries.drain(..count as usize);
        row.first += count;
    }

    fn forget_old(&mut self, stream: &str) {
        let oldest = wall_ms().saturating_sub(self.retention.as_millis() as u64);
        let Some(row) = self.streams.get(stream) else { return };
        let kept = row.entries.iter().find(|entry| entry.at_ms >= oldest);
        let first = kept.map_or_else(|| row.next(), |entry| entry.offset);
        self.trim(stream, first);
    }
}
