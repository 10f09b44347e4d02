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
    pub(crate) known_targets: BTreeSet<TargetId>,
    /// Those that the newest list says are leaving, or that it no longer names.
    pub(crate) leaving_targets: BTreeSet<TargetId>,
    /// Those that are marked so among the targets.
    pub(crate) marked_targets: BTreeSet<TargetId>,
    /// Those whose leaving was recorded as an event.
    pub(crate) reported_targets: BTreeSet<TargetId>,
}

impl LeavingTable {
    /// Whether a list named a target before.
    pub fn is_known_target(&self, target: &str) -> bool {
        self.known_targets.iter().any(|named| named.as_str() == target)
    }

    /// Takes in the targets of a list.
    pub fn note_list(&mut self, rows: &[&InstanceWire]) {
        if rows.is_empty() && self.known_targets.len() >= LISTED_FLOOR {
            log::warn!("platform: The list names no target any more: it is not taken for true.");
            return;
        }
        let parsed = rows.iter().filter_map(|row| Some((row.name.parse().ok()?, row.state)));
        let rows: Vec<(TargetId, InstanceState)> = parsed.collect();
        let present: BTreeSet<TargetId> = rows.iter().map(|(target, _)| target.clone()).collect();
        self.leaving_targets = self.known_targets.difference(&present).cloned().collect();
        let leaving = rows.into_iter().filter(|(_, state)| *state == InstanceState::Leaving);
        self.leaving_targets.extend(leaving.map(|(target, _)| target));
        self.known_targets.extend(present);
    }
}
