//! Which targets are leaving, by the instance list: [`LeavingTable`].
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
use banyan_core::serving::exchange::forget_leaving;
use banyan_core::serving::targets::LeavingSource;
use banyan_core::units::Moment;
use banyan_wire::platform::InstanceState;
use banyan_wire::platform::InstanceWire;

/// The time between two rounds over the targets.
const LEAVING_PAUSE: Duration = Duration::from_millis(100);
/// The number of listed targets from which on a list without any is taken for a fault of the list.
const LISTED_FLOOR: usize = 2;

/// What the instance list last said about targets.
#[derive(Clone, Debug, Default)]
pub struct LeavingTable {
    /// The targets that a list named before, and that are still declared.
    named: BTreeSet<TargetId>,
    /// Those that the newest list says are leaving, or that it no longer names.
    listed: BTreeSet<TargetId>,
    /// Those that are marked so among the targets.
    marked: BTreeSet<TargetId>,
    /// Those whose leaving was recorded as an event.
    told: BTreeSet<TargetId>,
}

impl LeavingTable {
    /// Whether a list named a target before.
    pub fn names(&self, target: &str) -> bool {
        self.named.iter().any(|named| named.as_str() == target)
    }

    /// Takes in the targets of a list.
    pub fn note_list(&mut self, rows: &[&InstanceWire]) {
        if rows.is_empty() && self.named.len() >= LISTED_FLOOR {
            log::warn!("platform: The list names no target any more: it is not taken for true.");
            return;
        }
        let parsed = rows.iter().filter_map(|row| Some((row.name.parse().ok()?, row.state)));
        let rows: Vec<(TargetId, InstanceState)> = parsed.collect();
        let present: BTreeSet<TargetId> = rows.iter().map(|(target, _)| target.clone()).collect();
        self.listed = self.named.difference(&present).cloned().collect();
        let leaving = rows.into_iter().filter(|(_, state)| *state == InstanceState::Leaving);
        self.listed.extend(leaving.map(|(target, _)| target));
        self.named.extend(present);
    }
}

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
    forget_leaving(&mut tables.exchange, &mut tables.targets, now);
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
