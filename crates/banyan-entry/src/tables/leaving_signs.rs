//! Which targets the instance list says are leaving: [`LeavingTable`].

use std::collections::BTreeSet;

use banyan_core::ids::TargetId;
use banyan_wire::platform::InstanceState;
use banyan_wire::platform::InstanceWire;

/// The number of listed targets from which on a list without any is taken for a fault of the list.
const LISTED_FLOOR: usize = 2;

/// What the instance list last said about targets.
#[derive(Clone, Debug, Default)]
pub struct LeavingTable {
    /// The targets that a list named before, and that are still declared.
    pub(crate) named: BTreeSet<TargetId>,
    /// Those that the newest list says are leaving, or that it no longer names.
    pub(crate) listed: BTreeSet<TargetId>,
    /// Those that are marked so among the targets.
    pub(crate) marked: BTreeSet<TargetId>,
    /// Those whose leaving was recorded as an event.
    pub(crate) told: BTreeSet<TargetId>,
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
