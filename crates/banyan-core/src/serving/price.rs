//! The expected cost of a target for a request, in microseconds: [`StagePrice`].

use std::time::Duration;

use crate::declaration::TargetRole;
use crate::ids::ZoneId;
use crate::serving::chain_query::ChainQuery;
use crate::serving::targets::TargetHealth;
use crate::serving::targets::TargetRow;
use crate::serving::targets::TargetTable;
use crate::units::ByteCount;

/// The added latency to another zone of the same region, in microseconds.
const CROSS_ZONE_MICROS: u64 = 300;
/// The added latency to another region, in microseconds.
const CROSS_REGION_MICROS: u64 = 20_000;
/// The part of its capacity at which a target is used right after it became usable, in percent.
const COLD_CAPACITY_PERCENT: u64 = 25;
/// The time until a target that became usable is used at its full capacity.
const WARM_UP_TIME: Duration = Duration::from_secs(4);
/// The weight of the busiest stage's peak that is always added to the token time, as a divisor.
const PEAK_WEIGHT_DIVISOR: u64 = 4;

/// The added price of a target that stays in use although it is suspected, in microseconds.
const SUSPECT_PENALTY_MICROS: u64 = 200_000;
/// The added price of a replica that stays in use although it is suspected, in calls in flight.
const SUSPECT_PENALTY_CALLS: u64 = 16;

/// The price of one stage, or of a chain of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StagePrice {
    /// The latency of a token through the stages, in microseconds.
    pub sum: u64,
    /// The time that the busiest stage needs for one step of each of its streams, in microseconds.
    pub peak: u64,
    /// The duration of a step without waiting and transfer, in microseconds.
    pub step: u64,
    /// The time that prefix caches save, in microseconds.
    pub saved: u64,
}

impl StagePrice {
    /// The price of a chain after another stage is appended.
    pub fn then(self, next: StagePrice) -> StagePrice {
        StagePrice {
            sum: self.sum + next.sum,
            peak: self.peak.max(next.peak),
            step: self.step + next.step,
            saved: self.saved + next.saved,
        }
    }

    /// Whether this price is at least as good as `other` in latency, peak and saved time.
    pub fn is_no_worse_than(self, other: StagePrice) -> bool {
        self.sum <= other.sum && self.peak <= other.peak && self.saved >= other.saved
    }

    /// The expected time between tokens, less the time that caches save. A stream is not faster
    /// than its way through the stages, and not faster than one step of each stream of the busiest
    /// stage.
    pub fn token_time(self) -> u64 {
        let time = self.sum.max(self.peak) + self.peak / PEAK_WEIGHT_DIVISOR;
        time.saturating_sub(self.saved)
    }
}

/// The price of running a stage at a target.
pub fn stage_price(table: &TargetTable, row: &TargetRow, query: &ChainQuery<'_>) -> StagePrice {
    let TargetRole::Engine { batch, link_bytes_per_second, .. } = &row.spec.role else {
        return StagePrice { sum: u64::MAX / 1024, ..StagePrice::default() };
    };
    let batch = u64::from((*batch).max(1));
    let step = row.expected_step().as_micros() as u64;
    let step = step * 100 / warm_percent(table, row);
    // A step waits for the rest of the running batch and for the full batches that are queued
    // before it.
    let queued = u64::from(row.expected_load());
    let wait = step * queued.min(batch) / batch / 2 + step * (queued / batch);
    let link = link_time(table, row, query.handoff, *link_bytes_per_second);
    let network_distance = network_distance(table, query.zone, &row.spec.zone);
    let peak = step * (u64::from(row.expected_streams()) + 1) / batch;
    let suspect_penalty = if is_suspected(row) { SUSPECT_PENALTY_MICROS } else { 0 };
    StagePrice {
        sum: step + wait + link + network_distance + suspect_penalty,
        peak,
        step,
        saved: 0,
    }
}

/// The price of a call to a replica, in hundredths of a call in flight.
pub fn replica_price(table: &TargetTable, row: &TargetRow) -> u64 {
    let suspect_penalty = if is_suspected(row) { SUSPECT_PENALTY_CALLS } else { 0 };
    (u64::from(row.expected_load()) + 1 + suspect_penalty) * 100 / warm_percent(table, row)
}

/// The time of the transfer to the target: as declared, or as observed if the link has become
/// slower.
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

fn network_distance(table: &TargetTable, from: &ZoneId, to: &ZoneId) -> u64 {
    if from == to {
        return 0;
    }
    if table.regions.get(from) == table.regions.get(to) {
        return CROSS_ZONE_MICROS;
    }
    CROSS_REGION_MICROS
}

/// The part of its capacity at which a target is used during its warm-up, in percent.
fn warm_percent(table: &TargetTable, row: &TargetRow) -> u64 {
    let usable = table.now.since(row.usable_since).as_millis() as u64;
    let warm_up = WARM_UP_TIME.as_millis() as u64;
    if usable >= warm_up {
        return 100;
    }
    COLD_CAPACITY_PERCENT + (100 - COLD_CAPACITY_PERCENT) * usable / warm_up
}
