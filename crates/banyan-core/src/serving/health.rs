//! Which targets are trusted: systems over the [`TargetTable`].
//!
//! A target is suspected at once when its connection breaks or is refused, and when it has been
//! silent for longer than its own signs of life ever were apart lately, so that a slow link raises
//! no false alarms. One that keeps failing stays out for longer each time. When silence makes a
//! whole group suspected, the fault is more likely on our side of the links: a part of the group
//! stays in use.

use std::cmp::Reverse;
use std::time::Duration;

use smol_str::SmolStr;

use crate::declaration::TargetSpec;
use crate::ids::TargetId;
use crate::serving::groups::TargetGroup;
use crate::serving::targets::TargetHealth;
use crate::serving::targets::TargetTable;
use crate::units::Moment;

/// Failures that lie further apart than this have nothing to do with each other.
const FAILURE_MEMORY: Duration = Duration::from_secs(30);
/// How long a target stays out after its second failure in a row; doubles with each further one.
const HOLD_BASE: Duration = Duration::from_millis(500);
/// The most doublings of [`HOLD_BASE`].
const HOLD_DOUBLINGS: u32 = 5;
/// The longest silence that is allowed for a slow link, as a multiple of the usual limit.
const SLOW_LINK_FACTOR: u32 = 4;

/// A change of trust, for the time line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TrustChange {
    /// The target is suspected now.
    Suspected(TargetId, SmolStr),
    /// The target is trusted again.
    Trusted(TargetId),
}

/// Notes that a target failed plainly: its connection was refused or broke.
pub fn note_failure(
    table: &mut TargetTable,
    target: &TargetId,
    reason: SmolStr,
    now: Moment,
) -> Option<TrustChange> {
    table.advance(now);
    let row = table.rows.get_mut(target)?;
    row.broken = true;
    row.retained = false;
    if row.health != TargetHealth::Trusted {
        return None;
    }
    let repeated = row.failed.is_some_and(|last| now.since(last) <= FAILURE_MEMORY);
    row.failures = if repeated { row.failures + 1 } else { 1 };
    row.failed = Some(now);
    row.health = TargetHealth::Suspected { since: now, reason: reason.clone() };
    retain_floor(table, target);
    Some(TrustChange::Suspected(target.clone(), reason))
}

/// Notes that a target answered a probe or a step.
pub fn note_alive(table: &mut TargetTable, target: &TargetId, now: Moment) -> Option<TrustChange> {
    table.advance(now);
    let row = table.rows.get_mut(target)?;
    row.hear(now);
    let TargetHealth::Suspected { since, .. } = &row.health else { return None };
    if row.broken && now.since(*since) < hold_time(row.failures) {
        return None;
    }
    row.health = TargetHealth::Trusted;
    row.broken = false;
    row.usable_since = now;
    retain_floor(table, target);
    Some(TrustChange::Trusted(target.clone()))
}

/// Suspects the targets that were heard once and have been silent for too long.
pub fn suspect_silent(
    table: &mut TargetTable,
    suspect_after: Duration,
    now: Moment,
) -> Vec<TrustChange> {
    table.advance(now);
    let (silent_from, limit) = table.silent_from;
    if now <= silent_from && limit == suspect_after {
        return Vec::new();
    }
    let mut changes = Vec::new();
    let mut earliest = now;
    for (target, row) in &mut table.rows {
        if row.health != TargetHealth::Trusted {
            continue;
        }
        let limit = suspect_after.max(row.longest_gap * 2);
        let limit = limit.min(suspect_after * SLOW_LINK_FACTOR);
        let silent = row.heard.is_some_and(|at| now.since(at) > limit);
        if let Some(heard) = row.heard.filter(|_| !silent) {
            earliest = earliest.min(heard);
        }
        if silent {
            let reason = SmolStr::new_static("no sign of life");
            row.health = TargetHealth::Suspected { since: now, reason: reason.clone() };
            changes.push(TrustChange::Suspected(target.clone(), reason));
        }
    }
    // Signs of life only ever move on, so that nobody is silent before the one heard longest ago.
    table.silent_from = (earliest + suspect_after, suspect_after);
    for change in &changes {
        if let TrustChange::Suspected(target, _) = change {
            retain_floor(table, target);
        }
    }
    changes
}

/// Keeps enough of a target's group in use: those that were only silent, the last heard first.
///
/// A target whose connections are refused is not kept: work sent there would fail at once.
fn retain_floor(table: &mut TargetTable, target: &TargetId) {
    let Some(spec) = table.rows.get(target).map(|row| row.spec.clone()) else { return };
    let mut silent = Vec::new();
    let (mut trusted, mut members) = (0, 0);
    for member in &group_of(table, &spec).members {
        let Some(row) = table.rows.get(member) else { continue };
        if row.leaving.any() {
            continue;
        }
        members += 1;
        if row.health == TargetHealth::Trusted {
            trusted += 1;
        } else if !row.broken {
            silent.push((Reverse(row.heard), member.clone()));
        }
    }
    silent.sort();
    let floor = (members * table.floor_percent as usize).div_ceil(100);
    let missing = floor.saturating_sub(trusted);
    for (index, (_, member)) in silent.into_iter().enumerate() {
        if let Some(row) = table.rows.get_mut(&member) {
            row.retained = index < missing;
        }
    }
}

fn group_of(table: &TargetTable, spec: &TargetSpec) -> TargetGroup {
    table.groups.of_target(spec).cloned().unwrap_or_default()
}

fn hold_time(failures: u32) -> Duration {
    if failures < 2 {
        return Duration::ZERO;
    }
    HOLD_BASE * (1 << (failures - 2).min(HOLD_DOUBLINGS))
}
