//! Failure detection: systems over the [`TargetTable`] that decide which targets are trusted.
//!
//! A target is suspected at once when its connection breaks or is refused. It is also suspected
//! after a silence of twice the longest recent gap between its signs of life, but at least the
//! configured limit and at most `MAX_SILENCE_FACTOR` times that, so that a slow link raises no
//! false alarms. A target that keeps failing is ejected for longer each time. When a whole group is
//! suspected for silence, the fault is more likely on this instance's side of the links, so a part
//! of the group stays in use.

use std::cmp::Reverse;
use std::time::Duration;

use smol_str::SmolStr;

use crate::declaration::TargetSpec;
use crate::ids::TargetId;
use crate::serving::groups::TargetGroup;
use crate::serving::targets::TargetHealth;
use crate::serving::targets::TargetTable;
use crate::units::Moment;

/// Failures that are further apart than this do not count as failures in a row.
const FAILURE_STREAK_WINDOW: Duration = Duration::from_secs(30);
/// The ejection time after the second failure in a row; it doubles with each further one.
const EJECTION_BASE_TIME: Duration = Duration::from_millis(500);
/// The largest number of doublings of [`EJECTION_BASE_TIME`].
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// The longest silence that is tolerated on a slow link, as a multiple of the configured limit.
const MAX_SILENCE_FACTOR: u32 = 4;

/// A change of a target's health, for the event timeline.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TrustChange {
    /// The target became suspected, for this reason.
    Suspected(TargetId, SmolStr),
    /// The target became trusted again.
    Trusted(TargetId),
}

/// Records a connection failure of a target: its connection was refused or broke.
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
    let repeated = row.last_failure.is_some_and(|last| now.since(last) <= FAILURE_STREAK_WINDOW);
    row.failures = if repeated { row.failures + 1 } else { 1 };
    row.last_failure = Some(now);
    row.health = TargetHealth::Suspected { since: now, reason: reason.clone() };
    update_retained(table, target);
    Some(TrustChange::Suspected(target.clone(), reason))
}

/// Records that a target answered a probe or a step.
pub fn note_alive(table: &mut TargetTable, target: &TargetId, now: Moment) -> Option<TrustChange> {
    table.advance(now);
    let row = table.rows.get_mut(target)?;
    row.note_sign_of_life(now);
    let TargetHealth::Suspected { since, .. } = &row.health else { return None };
    if row.broken && now.since(*since) < ejection_time(row.failures) {
        return None;
    }
    row.health = TargetHealth::Trusted;
    row.broken = false;
    row.usable_since = now;
    update_retained(table, target);
    Some(TrustChange::Trusted(target.clone()))
}

/// Suspects the targets that gave a sign of life before and have been silent for too long.
pub fn suspect_silent(
    table: &mut TargetTable,
    suspect_after: Duration,
    now: Moment,
) -> Vec<TrustChange> {
    table.advance(now);
    let (next_silence_check, limit) = table.next_silence_check;
    if now <= next_silence_check && limit == suspect_after {
        return Vec::new();
    }
    let mut changes = Vec::new();
    let mut earliest = now;
    for (target, row) in &mut table.rows {
        if row.health != TargetHealth::Trusted {
            continue;
        }
        let limit = suspect_after.max(row.longest_gap * 2);
        let limit = limit.min(suspect_after * MAX_SILENCE_FACTOR);
        let silent = row.last_sign_of_life.is_some_and(|at| now.since(at) > limit);
        if let Some(last) = row.last_sign_of_life.filter(|_| !silent) {
            earliest = earliest.min(last);
        }
        if silent {
            let reason = SmolStr::new_static("no sign of life");
            row.health = TargetHealth::Suspected { since: now, reason: reason.clone() };
            changes.push(TrustChange::Suspected(target.clone(), reason));
        }
    }
    // The times of the last signs of life only increase, so no target can exceed the limit before
    // the one with the oldest sign of life does.
    table.next_silence_check = (earliest + suspect_after, suspect_after);
    for change in &changes {
        if let TrustChange::Suspected(target, _) = change {
            update_retained(table, target);
        }
    }
    changes
}

/// Keeps the minimum part of a target's group in use. Members that are suspected only for silence
/// are retained, those with the newest sign of life first.
///
/// A target whose connections are refused is not retained: work sent there would fail at once.
fn update_retained(table: &mut TargetTable, target: &TargetId) {
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
            silent.push((Reverse(row.last_sign_of_life), member.clone()));
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

fn ejection_time(failures: u32) -> Duration {
    if failures < 2 {
        return Duration::ZERO;
    }
    EJECTION_BASE_TIME * (1 << (failures - 2).min(MAX_EJECTION_DOUBLINGS))
}
