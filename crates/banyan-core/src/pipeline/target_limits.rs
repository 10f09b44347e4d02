//! Limits that targets name for all instances together, and pauses that they ask of a single one:
//! [`LimitTable`].
//!
//! The instances share a limit without asking each other: each computes from the known instances
//! which of them may use the target while the limit lasts, and how often. There are at most so many
//! of these that one request of each at the same moment is no more than a burst that the target
//! bears.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::TargetId;
use crate::units::Moment;
use crate::units::UnitError;

/// The part of a burst that grows with the limit, as a time at its rate.
const BURST_SECONDS: f64 = 1.2;
/// The part of a burst that any limited target bears, in requests.
const MIN_BURST: f64 = 3.0;
/// How long after a target last named its limit an answer that names none lifts it. Earlier ones
/// may be from before.
const LIFT_DELAY: Duration = Duration::from_millis(500);
/// How long a limit holds of which nothing more is heard.
const LIMIT_MEMORY: Duration = Duration::from_secs(30);
/// The longest pause that is kept. A target that wants more says so again.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// The largest limit that is read, in requests per second.
const MAX_LIMIT: f64 = 1e9;

/// The rate of requests that a target takes from all instances together, in thousandths of a
/// request per second.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TargetLimit(pub u64);

impl TargetLimit {
    fn per_second(self) -> f64 {
        self.0 as f64 / 1e3
    }

    /// The number of requests that the target bears at once.
    fn burst(self) -> f64 {
        self.per_second() * BURST_SECONDS + MIN_BURST
    }
}

impl fmt::Display for TargetLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} req/s", self.per_second())
    }
}

impl FromStr for TargetLimit {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number = text.strip_suffix(" req/s").unwrap_or(text).trim().parse::<f64>();
        match number {
            Ok(number) if (0.0..=MAX_LIMIT).contains(&number) => {
                Ok(Self((number * 1e3).round() as u64))
            }
            _ => Err(UnitError {
                kind: "limit of a target",
                text: SmolStr::new(text),
                expected: "a number of requests per second, such as 12.5",
            }),
        }
    }
}

/// The place of this instance among all.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InstanceRank {
    /// The number of instances that come before this one.
    pub index: usize,
    /// The number of all instances. Invariant: greater than `index`.
    pub count: usize,
}

/// What is known about a target's limit, as instances tell each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitReport {
    /// The target.
    pub target: TargetId,
    /// Its limit, or `None` if it no longer names one.
    pub limit: Option<TargetLimit>,
    /// When the target said so.
    pub heard: Moment,
}

/// A target that named a limit.
#[derive(Clone, Copy, Debug)]
struct LimitRow {
    /// `None` after the target has stopped naming one.
    limit: Option<TargetLimit>,
    heard: Moment,
    /// The requests that this instance may send now.
    available: f64,
    refilled: Moment,
}

/// This instance's share of one target's limit.
#[derive(Clone, Copy, Debug)]
struct LimitShare {
    /// In requests per second.
    rate: f64,
    /// The most requests at once. Invariant: at least one, or zero where the rate is.
    burst: f64,
}

/// The limits that targets have named, and what this instance may still send to each.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    rows: BTreeMap<TargetId, LimitRow>,
    /// Until when targets want no request of this instance. Other instances are not concerned.
    pauses: BTreeMap<TargetId, Moment>,
}

impl LimitTable {
    /// Records what a target's answer says about its limit. Returns whether that is news.
    pub fn note_answer(
        &mut self,
        target: &TargetId,
        named: Option<TargetLimit>,
        now: Moment,
    ) -> bool {
        let lasts = |row: &LimitRow| row.limit.is_some() && now.since(row.heard) < LIFT_DELAY;
        if named.is_none() && self.rows.get(target).is_none_or(lasts) {
            return false;
        }
        self.set_limit(target, named, now, now)
    }

    /// Merges what a peer reports. Returns the targets whose limit was not known.
    pub fn merge(&mut self, reports: &[LimitReport], now: Moment) -> Vec<TargetId> {
        let mut learned = Vec::new();
        for report in reports {
            let is_newer = self.rows.get(&report.target).is_none_or(|row| row.heard < report.heard);
            if is_newer && self.set_limit(&report.target, report.limit, report.heard, now) {
                learned.push(report.target.clone());
            }
        }
        learned
    }

    /// What is known about the given targets.
    pub fn reports<'a>(&self, targets: impl IntoIterator<Item = &'a TargetId>) -> Vec<LimitReport> {
        let report = |id: &TargetId| {
            let row = self.rows.get(id)?;
            Some(LimitReport { target: id.clone(), limit: row.limit, heard: row.heard })
        };
        targets.into_iter().filter_map(report).collect()
    }

    /// What is known about all targets.
    pub fn all_reports(&self) -> Vec<LimitReport> {
        self.reports(self.rows.keys())
    }

    /// Whether no target has a limit or wants a pause.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.pauses.is_empty()
    }

    /// Records that a target wants no request of this instance for some time.
    pub fn note_pause(&mut self, target: &TargetId, pause: Duration, now: Moment) {
        if pause.is_zero() {
            return;
        }
        let until = self.pauses.entry(target.clone()).or_insert(now);
        *until = (*until).max(now + pause.min(MAX_PAUSE));
    }

    /// The targets that want no request of this instance now.
    pub fn paused(&self, now: Moment) -> impl Iterator<Item = &TargetId> {
        self.pauses.iter().filter(move |(_, until)| now < **until).map(|(id, _)| id)
    }

    /// The targets to which this instance may send no request now.
    pub fn closed(&mut self, rank: InstanceRank, now: Moment) -> BTreeSet<TargetId> {
        self.refill(rank, now);
        let is_closed =
            |(_, row): &(&TargetId, &LimitRow)| row.limit.is_some() && row.available < 1.0;
        let limited = self.rows.iter().filter(is_closed).map(|(id, _)| id);
        limited.chain(self.paused(now)).cloned().collect()
    }

    /// Records that a request is sent to a target.
    pub fn note_sent(&mut self, target: &TargetId) {
        if let Some(row) = self.rows.get_mut(target) {
            row.available = (row.available - 1.0).max(0.0);
        }
    }

    /// The time until this instance may send a request to one of the given closed targets, or
    /// `None` if it has no share in any.
    pub fn next_free<'a>(
        &self,
        targets: impl IntoIterator<Item = &'a TargetId>,
        rank: InstanceRank,
        now: Moment,
    ) -> Option<Duration> {
        let shares = self.shares(rank);
        let wait = |id: &TargetId| {
            let pause = self.pauses.get(id).map_or(Duration::ZERO, |until| until.since(now));
            let Some(share) = shares.get(id) else { return Some(pause) };
            if share.rate <= 0.0 {
                return None;
            }
            let missing = (1.0 - self.rows[id].available).max(0.0);
            Some(pause.max(Duration::from_secs_f64(missing / share.rate)))
        };
        targets.into_iter().filter_map(wait).min()
    }

    /// Forgets limits of which nothing was heard for long, and pauses that are over.
    pub fn expire(&mut self, now: Moment) {
        self.pauses.retain(|_, until| now < *until);
        self.rows.retain(|_, row| now.since(row.heard) < LIMIT_MEMORY);
    }

    fn set_limit(
        &mut self,
        target: &TargetId,
        limit: Option<TargetLimit>,
        heard: Moment,
        now: Moment,
    ) -> bool {
        let Some(row) = self.rows.get_mut(target) else {
            let row = LimitRow { limit, heard, available: 0.0, refilled: now };
            self.rows.insert(target.clone(), row);
            return limit.is_some();
        };
        row.heard = heard;
        if row.limit == limit {
            return false;
        }
        if row.limit.is_none() {
            (row.available, row.refilled) = (0.0, now);
        }
        row.limit = limit;
        true
    }

    fn refill(&mut self, rank: InstanceRank, now: Moment) {
        for (id, share) in self.shares(rank) {
            let Some(row) = self.rows.get_mut(&id) else { continue };
            let earned = now.since(row.refilled).as_secs_f64() * share.rate;
            row.available = (row.available + earned).min(share.burst);
            row.refilled = now;
        }
    }

    /// This instance's share of each limit. The instances that share one are neighbours, and those
    /// of the next limited target follow them, so that all instances have shares in equally many.
    fn shares(&self, rank: InstanceRank) -> BTreeMap<TargetId, LimitShare> {
        let mut shares = BTreeMap::new();
        let mut first = 0;
        let limited = self.rows.iter().filter_map(|(id, row)| Some((id, row.limit?)));
        for (id, limit) in limited {
            let sharers = (limit.burst() as usize).clamp(1, rank.count);
            let offset = (rank.index + rank.count - first) % rank.count;
            let share = if offset < sharers {
                let sharers = sharers as f64;
                LimitShare { rate: limit.per_second() / sharers, burst: limit.burst() / sharers }
            } else {
                LimitShare { rate: 0.0, burst: 0.0 }
            };
            shares.insert(id.clone(), share);
            first = (first + sharers) % rank.count;
        }
        shares
    }
}
