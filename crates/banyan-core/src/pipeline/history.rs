//! What the platform's records say of targets, and what changed lately: [`FleetHistory`].
//!
//! An instance that reads the records passes on to others only what differs from before: most records
//! are heartbeats that repeat what the one before them said.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::ids::LogOffset;
use crate::ids::TargetId;
use crate::pipeline::fleet::FleetChange;
use crate::pipeline::fleet::TargetReport;

/// The most changes that are kept; an instance that lags further behind takes the whole listing.
const KEPT_CHANGES: usize = 2_048;

/// What the records of targets say, up to an offset, and the changes that led there.
#[derive(Debug, Default)]
pub struct FleetHistory {
    /// The newest record of each target.
    listed: BTreeMap<TargetId, TargetReport>,
    /// Changes in order, each with the offset behind the batch that it came in.
    recent: VecDeque<(LogOffset, FleetChange)>,
    /// Invariant: every change behind this offset stands in `recent`.
    complete_from: LogOffset,
    next: Option<LogOffset>,
}

impl FleetHistory {
    /// Where the records begin that were not read, once there was a listing.
    pub fn next(&self) -> Option<LogOffset> {
        self.next
    }

    /// The newest record of each target.
    pub fn listed(&self) -> &BTreeMap<TargetId, TargetReport> {
        &self.listed
    }

    /// Replaces everything by a full listing.
    pub fn replace(&mut self, listing: BTreeMap<TargetId, TargetReport>, next: LogOffset) {
        self.listed = listing;
        self.recent.clear();
        self.complete_from = next;
        self.next = Some(next);
    }

    /// Takes in a batch of records and returns those that say something new.
    pub fn apply(&mut self, batch: Vec<FleetChange>, next: LogOffset) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        for change in batch {
            if self.take(&change) {
                self.recent.push_back((next, change.clone()));
                changes.push(change);
            }
        }
        while self.recent.len() > KEPT_CHANGES {
            if let Some((offset, _)) = self.recent.pop_front() {
                self.complete_from = offset;
            }
        }
        self.next = Some(next);
        changes
    }

    /// The changes behind an offset, or `None` where only the whole listing tells them.
    pub fn since(&self, from: LogOffset) -> Option<Vec<FleetChange>> {
        if from < self.complete_from {
            return None;
        }
        let behind = self.recent.iter().filter(|(offset, _)| *offset > from);
        Some(behind.map(|(_, change)| change.clone()).collect())
    }

    fn take(&mut self, change: &FleetChange) -> bool {
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
