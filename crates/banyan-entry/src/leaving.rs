//! Keeps [`leaving_signs`](crate::tables::leaving_signs) up to date: [`run_leaving`].
//!
//! Targets report it with each probe, peers with each exchange, and the instance list names it. Any
//! one of these signs stops new work to a target; it gets work again when no sign is left.

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

/// The interval at which the signs of all targets are updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Updates the targets' signs from the instance list and from peers for as long as the daemon runs.
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

/// Updates each target's mark from the instance list, and expires old reports of peers.
pub fn mark_leaving(tables: &mut EntryTables, now: Moment) {
    expire_leaving(&mut tables.exchange, &mut tables.targets, now);
    let rows = &tables.targets.rows;
    tables.leaving.known_targets.retain(|target| rows.contains_key(target));
    let listed: BTreeSet<TargetId> = tables
        .leaving
        .leaving_targets
        .iter()
        .filter(|target| rows.contains_key(*target))
        .cloned()
        .collect();
    let marked = std::mem::take(&mut tables.leaving.marked_targets);
    for target in listed.union(&marked) {
        let leaving = listed.contains(target);
        tables.targets.note_leaving(target, LeavingSource::InstanceList, leaving, now);
    }
    tables.leaving.marked_targets = listed;
}

fn newly_leaving(tables: &mut EntryTables) -> Vec<TargetId> {
    let leaving = tables.targets.leaving.clone();
    let told = std::mem::replace(&mut tables.leaving.reported_targets, leaving);
    tables.leaving.reported_targets.difference(&told).cloned().collect()
}
