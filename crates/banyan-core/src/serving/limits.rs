//! Limits across all instances, split without coordination: [`LimitTable`].
//!
//! Every instance has a part of each workspace's limit, at which its own token bucket is refilled.
//! A tenth of the limit is split evenly, so that an instance without recent demand can serve its
//! first request. The rest is split by demand. The demand at the other instances is estimated from
//! the few peers whose reports arrive: their mean demand times the number of other instances. The
//! state is one row per workspace, whatever the number of instances. Reports may be late or lost.
//! The parts then add up to more or less than the limit until the estimate is right again.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use crate::ids::WorkspaceId;
use crate::units::Moment;

/// The part of the limit that is split evenly regardless of demand, in percent.
const EVEN_SPLIT_PERCENT: u64 = 10;
/// The time after which an unused bucket is full.
const BURST_WINDOW: Duration = Duration::from_secs(1);
/// The age after which peers' reports are no longer used.
const MAX_REPORT_AGE: Duration = Duration::from_secs(30);
/// The time over which this instance's own demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// The weight of one peer's report in the moving average, as a divisor.
const PEER_WEIGHT_DIVISOR: u64 = 4;
/// Buckets are in thousandths of a request or token.
const MILLI: u64 = 1000;

/// The demands that one exchange carries, in thousandths per second.
#[derive(Clone, Debug, Default)]
pub struct UsagePage {
    /// The demand by workspace. A missing workspace between the first and the last has no demand.
    pub rows: BTreeMap<WorkspaceId, u64>,
    /// Whether every missing workspace has no demand.
    pub whole: bool,
}

impl UsagePage {
    /// The range of workspaces whose demand the page states.
    fn covered_range(&self) -> (Bound<&WorkspaceId>, Bound<&WorkspaceId>) {
        let first = self.rows.first_key_value().map(|(first, _)| first);
        let last = self.rows.last_key_value().map(|(last, _)| last);
        match (first, last) {
            (Some(first), Some(last)) if !self.whole => {
                (Bound::Included(first), Bound::Included(last))
            }
            _ => (Bound::Unbounded, Bound::Unbounded),
        }
    }
}

/// The limits of one instance, either of requests or of tokens.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    rows: BTreeMap<WorkspaceId, LimitRow>,
    /// The number of live instances, this one included.
    live: u64,
}

/// The state of one workspace's limit at this instance.
#[derive(Clone, Debug, Default)]
struct LimitRow {
    /// The limit across all instances, per second.
    limit: u64,
    /// The level of the bucket, in thousandths.
    milli_level: u64,
    /// When the bucket was last refilled.
    last_refill: Moment,
    /// The amount requested in the current window.
    requested: u64,
    /// When the current window began.
    window_start: Moment,
    /// The demand at this instance, in thousandths per second.
    milli_demand: u64,
    /// The mean demand at a peer, in thousandths per second.
    milli_mean: u64,
    /// When a peer last reported its demand; absent if no report is recent.
    last_report: Option<Moment>,
}

impl LimitTable {
    /// Sets the number of live instances, this one included.
    pub fn set_live(&mut self, live: u64) {
        self.live = live;
    }

    /// Takes an amount from a workspace's bucket, or returns the delay after which to try again.
    pub fn take(
        &mut self,
        workspace: &WorkspaceId,
        limit: u64,
        amount: u64,
        now: Moment,
    ) -> Result<(), Duration> {
        let live = self.live.max(1);
        let row = self.row(workspace, now);
        row.limit = limit;
        row.requested += amount;
        let needed = amount * MILLI;
        row.refresh(live, needed, now);
        if row.milli_level >= needed {
            row.milli_level -= needed;
            return Ok(());
        }
        let missing = needed - row.milli_level;
        let rate = row.milli_rate(live).max(1);
        Err(Duration::from_micros(missing.saturating_mul(1_000_000) / rate))
    }

    /// Returns an unused amount to a workspace's bucket.
    pub fn give_back(&mut self, workspace: &WorkspaceId, amount: u64) {
        let Some(row) = self.rows.get_mut(workspace) else { return };
        row.milli_level += amount * MILLI;
    }

    /// The demands at this instance of the workspaces after `from` in name order, in thousandths
    /// per second.
    pub fn demands_after(
        &self,
        from: Option<&WorkspaceId>,
    ) -> impl Iterator<Item = (&WorkspaceId, u64)> {
        let from = from.map_or(Bound::Unbounded, Bound::Excluded);
        let rows = self.rows.range::<WorkspaceId, _>((from, Bound::Unbounded));
        let rows = rows.filter(|(_, row)| row.milli_demand > 0);
        rows.map(|(workspace, row)| (workspace, row.milli_demand))
    }

    /// The number of workspaces with a row.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no workspace has a row.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Applies a page of a peer's demands.
    pub fn note_usage(&mut self, page: &UsagePage, now: Moment) {
        for workspace in page.rows.keys() {
            self.row(workspace, now);
        }
        if page.rows.is_empty() && !page.whole {
            return;
        }
        for (workspace, row) in self.rows.range_mut::<WorkspaceId, _>(page.covered_range()) {
            let demand = page.rows.get(workspace).copied().unwrap_or(0);
            row.milli_mean = match row.last_report {
                Some(_) => {
                    (row.milli_mean * (PEER_WEIGHT_DIVISOR - 1) + demand) / PEER_WEIGHT_DIVISOR
                }
                None => demand,
            };
            row.last_report = Some(now);
        }
    }

    /// Closes old windows, and drops reports that are too old and rows without demand. Called about
    /// once a second.
    pub fn tick(&mut self, now: Moment) {
        for row in self.rows.values_mut() {
            row.close_window(now);
            if row.last_report.is_some_and(|at| now.since(at) > MAX_REPORT_AGE) {
                row.milli_mean = 0;
                row.last_report = None;
            }
        }
        self.rows.retain(|_, row| row.milli_demand > 0 || row.milli_mean > 0);
    }

    fn row(&mut self, workspace: &WorkspaceId, now: Moment) -> &mut LimitRow {
        let new_row = LimitRow { last_refill: now, window_start: now, ..LimitRow::default() };
        self.rows.entry(workspace.clone()).or_insert(new_row)
    }
}

impl LimitRow {
    /// The refill rate of this instance's bucket, in thousandths per second.
    fn milli_rate(&self, live: u64) -> u64 {
        let limit = self.limit * MILLI;
        let even = limit * EVEN_SPLIT_PERCENT / 100 / live;
        let others = self.milli_mean * (live - 1);
        let by_demand = limit * (100 - EVEN_SPLIT_PERCENT) / 100;
        let total = self.milli_demand + others;
        if total == 0 || self.last_report.is_none() {
            return even + by_demand / live;
        }
        even + (u128::from(by_demand) * u128::from(self.milli_demand) / u128::from(total)) as u64
    }

    fn refresh(&mut self, live: u64, needed: u64, now: Moment) {
        self.close_window(now);
        let rate = self.milli_rate(live);
        let elapsed = now.since(self.last_refill).as_micros() as u64;
        let burst = rate.saturating_mul(BURST_WINDOW.as_micros() as u64) / 1_000_000;
        let refill = (u128::from(rate) * u128::from(elapsed) / 1_000_000) as u64;
        // A bucket that cannot hold the whole request would refuse it forever.
        self.milli_level = (self.milli_level + refill).min(burst.max(needed));
        self.last_refill = now;
    }

    fn close_window(&mut self, now: Moment) {
        let elapsed = now.since(self.window_start);
        if elapsed < DEMAND_WINDOW {
            return;
        }
        let micros = elapsed.as_micros() as u64;
        let demand = self.requested.saturating_mul(MILLI).saturating_mul(1_000_000) / micros;
        self.milli_demand = (self.milli_demand + demand) / 2;
        self.requested = 0;
        self.window_start = now;
    }
}
