//! Tracks which targets the instance list reports as leaving: [`LeavingTable`].

use std::collections::BTreeSet;

use banyan_core::ids::TargetId;
use banyan_wire::platform::InstanceState;
use banyan_wire::platform::InstanceWire;

/// A list without any target is treated as faulty once this many targets have been listed.
const FAULTY_LIST_MIN_TARGETS: usize = 2;

/// What the latest instance list reported about targets.
#[derive(Clone, Debug, Default)]
pub struct LeavingTable {
    /// The declared targets that any list so far contained.
    pub(crate) known_targets: BTreeSet<TargetId>,
    /// The targets that the newest list reports as leaving or no longer contains.
    pub(crate) leaving_targets: BTreeSet<TargetId>,
    /// The targets that are marked as leaving in the target table because of the list.
    pub(crate) marked_targets: BTreeSet<TargetId>,
    /// The leaving targets for which an event was recorded.
    pub(crate) reported_targets: BTreeSet<TargetId>,
}

impl LeavingTable {
    /// Whether any list so far contained a target.
    pub fn is_known_target(&self, target: &str) -> bool {
        self.known_targets.iter().any(|known| known.as_str() == target)
    }

    /// Records the targets of a new list.
    pub fn note_list(&mut self, rows: &[&InstanceWire]) {
        if rows.is_empty() && self.known_targets.len() >= FAULTY_LIST_MIN_TARGETS {
            log::warn!("platform: The instance list contains no targets; it is ignored as faulty.");
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
