//! Keeps the current records of targets and their recent changes: [`FleetHistory`].
//!
//! An instance that reads the records forwards only actual changes to others, since most records
//! are heartbeats that repeat the previous state.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::ids::LogOffset;
use crate::ids::TargetId;
use crate::pipeline::fleet::FleetChange;
use crate::pipeline::fleet::TargetReport;

/// Largest number of changes kept. An instance that lags further behind fetches the full listing.
const MAX_RECENT_CHANGES: usize = 2_048;

/// The state of the targets' records at an offset, and the changes that led to it.
#[derive(Debug, Default)]
pub struct FleetHistory {
    /// The newest record of each target.
    listed: BTreeMap<TargetId, TargetReport>,
    /// Changes in order, each with the offset after the batch that contained it.
    recent: VecDeque<(LogOffset, FleetChange)>,
    /// Invariant: `recent` contains every change after this offset.
    complete_from: LogOffset,
    next: Option<LogOffset>,
}

impl FleetHistory {
    /// The offset of the first unread record; `None` before the first listing.
    pub fn next(&self) -> Option<LogOffset> {
        self.next
    }

    /// The newest record of each target.
    pub fn listed(&self) -> &BTreeMap<TargetId, TargetReport> {
        &self.listed
    }

    /// Replaces the state by a full listing that was read up to `next`. Clears the recent changes.
    pub fn replace(&mut self, listing: BTreeMap<TargetId, TargetReport>, next: LogOffset) {
        self.listed = listing;
        self.recent.clear();
        self.complete_from = next;
        self.next = Some(next);
    }

    /// Applies a batch of records and returns those that changed the state.
    pub fn apply(&mut self, batch: Vec<FleetChange>, next: LogOffset) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        for change in batch {
            if self.apply_change(&change) {
                self.recent.push_back((next, change.clone()));
                changes.push(change);
            }
        }
        while self.recent.len() > MAX_RECENT_CHANGES {
            if let Some((offset, _)) = self.recent.pop_front() {
                self.complete_from = offset;
            }
        }
        self.next = Some(next);
        changes
    }

    /// The changes after an offset, or `None` if they are no longer kept and the full listing is
    /// needed.
    pub fn since(&self, from: LogOffset) -> Option<Vec<FleetChange>> {
        if from < self.complete_from {
            return None;
        }
        let newer = self.recent.iter().filter(|(offset, _)| *offset > from);
        Some(newer.map(|(_, change)| change.clone()).collect())
    }

    fn apply_change(&mut self, change: &FleetChange) -> bool {
        match change {
            FleetChange::Reported(id, report) => {
                if self.listed.get(id) == Some(report) {
                    return false;
                }
                self.listed.insert(id.clone(), report.clone());
                true
            }
            FleetChange::Removed(id) => self.listed.remove(id).is_some(),
        }
    }
}
