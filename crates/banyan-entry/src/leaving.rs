//! Keeps [`leaving_signs`](crate::tables::leaving_signs) up to date: [`run_leaving`].
//!
//! A target's own word comes with each probe, peers' words with each exchange. The most cautious word wins: any sign is enough to
//! send no new work, and a target that returns is taken back when no sign is left.

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

/// The time between two rounds over the targets.
const LEAVING_PAUSE: Duration = Duration::from_millis(100);
/// Brings the targets' signs in line with the list and with peers for as long as the daemon runs.
pub async fn run_leaving(state: Arc<EntryState>) {
    let mut ticks = tokio::time::interval(LEAVING_PAUSE);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = state.now();
        let mut tables = state.tables();
        mark_leaving(&mut tables, now);
        let told = newly_leaving(&mut tables);
        drop(tables);
        for target in told {
            log::info!("targets: {target} is leaving and gets no new work.");
            state.journal.record(EventKind::TargetLeaving, "", target.as_str(), "");
        }
    }
}

/// Marks each target by the list's word; drops words of peers that are too old.
pub fn mark_leaving(tables: &mut EntryTables, now: Moment) {
    expire_leaving(&mut tables.exchange, &mut tables.targets, now);
    let rows = &tables.targets.rows;
    tables.leaving.named.retain(|target| rows.contains_key(target));
    let listed: BTreeSet<TargetId> =
        tables.leaving.listed.iter().filter(|target| rows.contains_key(*target)).cloned().collect();
    let marked = std::mem::take(&mut tables.leaving.marked);
    for target in listed.union(&marked) {
        let leaving = listed.contains(target);
        tables.targets.note_leaving(target, LeavingSource::InstanceList, leaving, now);
    }
    tables.leaving.marked = listed;
}

fn newly_leaving(tables: &mut EntryTables) -> Vec<TargetId> {
    let leaving = tables.targets.leaving.clone();
    let told = std::mem::replace(&mut tables.leaving.told, leaving);
    tables.leaving.told.difference(&told).cloned().collect()
}
