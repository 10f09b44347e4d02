//! Which targets are trusted: systems over the [`TargetTable`].

use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::TargetId;
use crate::serving::targets::TargetHealth;
use crate::serving::targets::TargetTable;
use crate::units::Moment;

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
    let row = table.rows.get_mut(target)?;
    if row.health != TargetHealth::Trusted {
        return None;
    }
    row.health = TargetHealth::Suspected { since: now, reason: reason.clone() };
    Some(TrustChange::Suspected(target.clone(), reason))
}

/// Notes that a target answered a probe or a step.
pub fn note_alive(table: &mut TargetTable, target: &TargetId, now: Moment) -> Option<TrustChange> {
    let row = table.rows.get_mut(target)?;
    row.heard = Some(now);
    if row.health == TargetHealth::Trusted {
        return None;
    }
    row.health = TargetHealth::Trusted;
    row.usable_since = now;
    Some(TrustChange::Trusted(target.clone()))
}

/// Suspects the targets that were heard once and have been silent for too long.
pub fn suspect_silent(
    table: &mut TargetTable,
    suspect_after: Duration,
    now: Moment,
) -> Vec<TrustChange> {
    let silent = |heard: Option<Moment>| heard.is_some_and(|at| now.since(at) > suspect_after);
    let mut changes = Vec::new();
    for (target, row) in &mut table.rows {
        if row.health == TargetHealth::Trusted && silent(row.heard) {
            let reason = SmolStr::new_static("no sign of life");
            row.health = TargetHealth::Suspected { since: now, reason: reason.clone() };
            changes.push(TrustChange::Suspected(target.clone(), reason));
        }
    }
    changes
}
