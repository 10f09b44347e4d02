//! Remembers the last reports of targets whose records were removed: [`RemovedTargets`].

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::ids::TargetId;
use crate::pipeline::report_stamp::ReportStamp;

/// Largest number of removed targets that are remembered: more than leave within the seconds by
/// which a write may be late, even if an availability zone is lost.
const MAX_REMOVED_TARGETS: usize = 4_096;

/// What is known about a target whose record was removed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RemovedTarget {
    /// The newest known report.
    pub stamp: ReportStamp,
    /// Whether that was the last report before the removal. If not, reports that were written before
    /// the removal may look newer.
    pub is_exact: bool,
}

/// The last reports of targets that were removed, so that a report which was written late does not
/// bring a target back.
#[derive(Debug, Default)]
pub struct RemovedTargets {
    targets: BTreeMap<TargetId, RemovedTarget>,
    /// The targets in the order in which they were first removed. Invariant: the same as in
    /// `targets`.
    order: VecDeque<TargetId>,
}

impl RemovedTargets {
    /// What is known about a target, if it is remembered.
    pub fn get(&self, id: &TargetId) -> Option<RemovedTarget> {
        self.targets.get(id).copied()
    }

    /// The remembered targets.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetId, RemovedTarget)> {
        self.targets.iter().map(|(id, target)| (id, *target))
    }

    /// Remembers a target. Forgets the oldest one if there are too many.
    pub fn insert(&mut self, id: TargetId, target: RemovedTarget) {
        if self.targets.insert(id.clone(), target).is_none() {
            self.order.push_back(id);
        }
        if self.order.len() > MAX_REMOVED_TARGETS
            && let Some(oldest) = self.order.pop_front()
        {
            self.targets.remove(&oldest);
        }
    }
}
