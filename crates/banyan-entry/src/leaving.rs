//! Keeps [`leaving_signs`](crate::tables::leaving_signs) up to date: [`run_leaving`].
//!
//! That a target is leaving is reported by the target in each probe, by peers in each exchange, and
//! by the instance list. Any one of these reports stops new work to the target. It gets work again
//! when none of them is left.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::MissedTickBehavior;

use crate::state::EntryState;
use crate::state::EntryTables;
use banyan_core::event::EventKind;
use banyan_core::ids::TargetId;
use banyan_core::serving::exchange::expire_leaving;
use banyan_core::serving::targets::LeavingSource;
use banyan_core::units::Moment;

/// The interval between two updates of which targets are leaving.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Updates which targets are leaving, from the instance list and from peers, for as long as the
/// daemon runs.
pub async fn run_leaving(state: Arc<EntryState>) {
    let mut ticks = tokio::time::interval(UPDATE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = state.now();
        let mut tables = state.tables();
        mark_leaving(&mut tables, now);
        let leaving = newly_leaving(&mut tables);
        drop(tables);
        for target in leaving {
            log::info!("targets: {target} is leaving and gets no new work.");
            state.journal.record(EventKind::TargetLeaving, "", target.as_str(), "");
        }
    }
}

/// Marks the targets that the instance list says are leaving, and expires old reports of peers.
pub fn mark_leaving(tables: &mut EntryTables, now: Moment) {
    expire_leaving(&mut tables.exchange, &mut tables.targets, now);
    let rows = &tables.targets.rows;
    tables.leaving.known_targets.retain(|target| rows.contains_key(target));
    let declared_leaving_targets: BTreeSet<TargetId> = tables
        .leaving
        .leaving_targets
        .iter()
        .filter(|target| rows.contains_key(*target))
        .cloned()
        .collect();
    let marked = std::mem::take(&mut tables.leaving.marked_targets);
    for target in declared_leaving_targets.union(&marked) {
        let leaving = declared_leaving_targets.contains(target);
        tables.targets.note_leaving(target, LeavingSource::InstanceList, leaving, now);
    }
    tables.leaving.marked_targets = declared_leaving_targets;
}

fn newly_leaving(tables: &mut EntryTables) -> Vec<TargetId> {
    let leaving = tables.targets.leaving.clone();
    let previously_reported = std::mem::replace(&mut tables.leaving.reported_targets, leaving);
    tables.leaving.reported_targets.difference(&previously_reported).cloned().collect()
}
