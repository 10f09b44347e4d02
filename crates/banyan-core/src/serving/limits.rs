//! Limits over all instances together, split without agreement: [`LimitTable`].
//!
//! Every instance holds a part of each workspace's limit and refills its own bucket from it. A
//! tenth of the limit is split evenly, so that a quiet instance can serve its first request; the
//! rest follows the demand. What the others demand is estimated from the few peers that an exchange
//! brings: their mean times their number. The state is one row a workspace, whatever the number of
//! instances; reports may be late or lost, and the parts then add up to more or less than the limit
//! for as long as the estimate is off.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use crate::ids::WorkspaceId;
use crate::units::Moment;

/// The part of the limit that is split evenly whatever the use, in percent.
const EVEN_PERCENT: u64 = 10;
/// The time over which a bucket saves up.
const BURST: Duration = Duration::from_secs(1);
/// The time after which a peer's report counts no more.
const REPORT_LIFE: Duration = Duration::from_secs(30);
/// The time over which the own demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// The weight of one peer's report in the mean, as a divisor.
const PEER_DIVISOR: u64 = 4;
/// Buckets count in thousandths.
const MILLI: u64 = 1000;

/// Demands as one exchange brings them, in thousandths a second.
#[derive(Clone, Debug, Default)]
pub struct UsagePage {
    /// The demand by workspace; one between the first and the last that is missing has none.
    pub rows: BTreeMap<WorkspaceId, u64>,
    /// Whether every workspace that is missing has none.
    pub whole: bool,
}

impl UsagePage {
    /// The workspaces that the page says something about.
    fn covered(&self) -> (Bound<&WorkspaceId>, Bound<&WorkspaceId>) {
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

/// The limits of one instance, of requests or of tokens.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    rows: BTreeMap<WorkspaceId, LimitRow>,
    /// The number of live instances, this one included.
    live: u64,
}

/// One workspace's limit as this instance holds it.
#[derive(Clone, Debug, Default)]
struct LimitRow {
    /// The limit over all instances, a second.
    limit: u64,
    /// What may be taken now, in thousandths.
    milli_level: u64,
    /// When the bucket was last refilled.
    refilled: Moment,
    /// What was asked for in the window under way.
    asked: u64,
    /// When that window began.
    window: Moment,
    /// The demand here, in thousandths a second.
    milli_demand: u64,
    /// The mean demand at a peer, in thousandths a second.
    milli_mean: u64,
    /// When a peer last reported it.
    reported: Option<Moment>,
}

impl LimitTable {
    /// Sets the number of live instances, this one included.
    pub fn set_live(&mut self, live: u64) {
        self.live = live;
    }

    /// Takes an amount off a workspace's part, or says when to ask again.
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
        row.asked += amount;
        let needed = amount * MILLI;
        row.refresh(live, needed, now);
        if row.milli_level >= needed {
            row.milli_level -= needed;
            return Ok(());
        }
        let missing = needed - row.milli_level;
        let rate = row.milli_part(live).max(1);
        Err(Duration::from_micros(missing.saturating_mul(1_000_000) / rate))
    }

    /// Gives back what was taken and not used.
    pub fn give_back(&mut self, workspace: &WorkspaceId, amount: u64) {
        let Some(row) = self.rows.get_mut(workspace) else { return };
        row.milli_level += amount * MILLI;
    }

    /// The demands here behind a workspace in name order, in thousandths a second, for peers.
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

    /// Takes in a peer's demands.
    pub fn note_usage(&mut self, page: &UsagePage, now: Moment) {
        for workspace in page.rows.keys() {
            self.row(workspace, now);
        }
        if page.rows.is_empty() && !page.whole {
            return;
        }
        for (workspace, row) in self.rows.range_mut::<WorkspaceId, _>(page.covered()) {
            let demand = page.rows.get(workspace).copied().unwrap_or(0);
            row.milli_mean = match row.reported {
                Some(_) => (row.milli_mean * (PEER_DIVISOR - 1) + demand) / PEER_DIVISOR,
                None => demand,
            };
            row.reported = Some(now);
        }
    }

    /// Forgets what is too old to count. Called each second or so.
    pub fn tick(&mut self, now: Moment) {
        for row in self.rows.values_mut() {
            row.close_window(now);
            if row.reported.is_some_and(|at| now.since(at) > REPORT_LIFE) {
                row.milli_mean = 0;
                row.reported = None;
            }
        }
        self.rows.retain(|_, row| row.milli_demand > 0 || row.milli_mean > 0);
    }

    fn row(&mut self, workspace: &WorkspaceId, now: Moment) -> &mut LimitRow {
        let fresh = LimitRow { refilled: now, window: now, ..LimitRow::default() };
        self.rows.entry(workspace.clone()).or_insert(fresh)
    }
}

impl LimitRow {
    /// The rate at which this instance's bucket fills, in thousandths a second.
    fn milli_part(&self, live: u64) -> u64 {
        let limit = self.limit * MILLI;
        let even = limit * EVEN_PERCENT / 100 / live;
        let others = self.milli_mean * (live - 1);
        let by_use = limit * (100 - EVEN_PERCENT) / 100;
        let all = self.milli_demand + others;
        if all == 0 || self.reported.is_none() {
            return even + by_use / live;
        }
        even + (u128::from(by_use) * u128::from(self.milli_demand) / u128::from(all)) as u64
    }

    fn refresh(&mut self, live: u64, needed: u64, now: Moment) {
        self.close_window(now);
        let rate = self.milli_part(live);
        let waited = now.since(self.refilled).as_micros() as u64;
        let full = rate.saturating_mul(BURST.as_micros() as u64) / 1_000_000;
        let filled = (u128::from(rate) * u128::from(waited) / 1_000_000) as u64;
        // A bucket that can never hold the whole request would refuse it for ever.
        self.milli_level = (self.milli_level + filled).min(full.max(needed));
        self.refilled = now;
    }

    fn close_window(&mut self, now: Moment) {
        let open = now.since(self.window);
        if open < DEMAND_WINDOW {
            return;
        }
        let micros = open.as_micros() as u64;
        let demand = self.asked.saturating_mul(MILLI).saturating_mul(1_000_000) / micros;
        self.milli_demand = (self.milli_demand + demand) / 2;
        self.asked = 0;
        self.window = now;
    }
}
