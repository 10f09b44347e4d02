//! What a target costs a request, in microseconds: [`StagePrice`].

use std::time::Duration;

use crate::declaration::TargetRole;
use crate::ids::ZoneId;
use crate::serving::choice::ChainQuery;
use crate::serving::targets::TargetHealth;
use crate::serving::targets::TargetRow;
use crate::serving::targets::TargetTable;
use crate::units::ByteCount;

/// What another zone of the same region costs, in microseconds.
const OTHER_ZONE_MICROS: u64 = 300;
/// What another region costs, in microseconds.
const OTHER_REGION_MICROS: u64 = 20_000;
/// The part of its capacity that a target gets right after it became usable, in percent.
const COLD_PERCENT: u64 = 25;
/// The time over which a target that became usable is warmed up.
const WARM_UP: Duration = Duration::from_secs(4);
/// The weight of the busiest stage where it does not bound the pace, as a divisor.
const IDLE_PEAK_DIVISOR: u64 = 4;

/// What a target costs more that stays in use although it is suspected, in microseconds.
const SUSPECT_MICROS: u64 = 200_000;
/// The same for a replica, in calls under way.
const SUSPECT_CALLS: u64 = 16;

/// The price of one stage, or of a chain of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StagePrice {
    /// The time that a token takes through the stages, in microseconds.
    pub sum: u64,
    /// The time that the busiest stage needs for one step of each of its streams, in microseconds.
    pub peak: u64,
    /// The time of a step by itself, in microseconds.
    pub step: u64,
    /// What prefix caches save, in microseconds.
    pub saved: u64,
}

impl StagePrice {
    /// The price of a chain that goes on with another stage.
    pub fn then(self, next: StagePrice) -> StagePrice {
        StagePrice {
            sum: self.sum + next.sum,
            peak: self.peak.max(next.peak),
            step: self.step + next.step,
            saved: self.saved + next.saved,
        }
    }

    /// Whether nothing about `other` is better.
    pub fn covers(self, other: StagePrice) -> bool {
        self.sum <= other.sum && self.peak <= other.peak && self.saved >= other.saved
    }

    /// The time between tokens to expect, less what caches save: a stream is no faster than its way through the stages
    /// and no faster than the round of the busiest stage.
    pub fn token_time(self) -> u64 {
        let time = self.sum.max(self.peak) + self.peak / IDLE_PEAK_DIVISOR;
        time.saturating_sub(self.saved)
    }
}

/// What it costs to run a stage at a target.
pub fn stage_price(table: &TargetTable, row: &TargetRow, query: &ChainQuery<'_>) -> StagePrice {
    let TargetRole::Engine { batch, link_bytes_per_second, .. } = &row.spec.role else {
        return StagePrice { sum: u64::MAX / 1024, ..StagePrice::default() };
    };
    let batch = u64::from((*batch).max(1));
    let step = row.expected_step().as_micros() as u64;
    let step = step * 100 / warm_percent(table, row);
    // A step waits for the rest of the running batch and for the full batches before its own.
    let queued = u64::from(row.expected_load());
    let wait = step * queued.min(batch) / batch / 2 + step * (queued / batch);
    let link = link_time(table, row, query.handoff, *link_bytes_per_second);
    let distance = distance(table, query.zone, &row.spec.zone);
    let peak = step * (u64::from(row.expected_streams()) + 1) / batch;
    let doubt = if is_suspected(row) { SUSPECT_MICROS } else { 0 };
    StagePrice { sum: step + wait + link + distance + doubt, peak, step, saved: 0 }
}

/// What a call to a replica costs, in calls under way before it.
pub fn replica_price(table: &TargetTable, row: &TargetRow) -> u64 {
    let doubt = if is_suspected(row) { SUSPECT_CALLS } else { 0 };
    (u64::from(row.expected_load()) + 1 + doubt) * 100 / warm_percent(table, row)
}

/// The time that the hand-off needs: as declared, or as observed where the link has become slower.
fn link_time(
    table: &TargetTable,
    row: &TargetRow,
    handoff: ByteCount,
    bytes_per_second: u64,
) -> u64 {
    let declared = handoff.0 * 1_000_000 / bytes_per_second.max(1);
    let observed = row.link.excess(row.expected_step(), table.now).as_micros() as u64;
    declared.max(observed)
}

fn is_suspected(row: &TargetRow) -> bool {
    row.health != TargetHealth::Trusted
}

fn distance(table: &TargetTable, from: &ZoneId, to: &ZoneId) -> u64 {
    if from == to {
        return 0;
    }
    if table.regions.get(from) == table.regions.get(to) {
        return OTHER_ZONE_MICROS;
    }
    OTHER_REGION_MICROS
}

/// The part of its capacity that a target gets while it is warmed up, in percent.
fn warm_percent(table: &TargetTable, row: &TargetRow) -> u64 {
    let usable = table.now.since(row.usable_since).as_millis() as u64;
    let warm_up = WARM_UP.as_millis() as u64;
    if usable >= warm_up {
        return 100;
    }
    COLD_PERCENT + (100 - COLD_PERCENT) * usable / warm_up
}
