//! Keeps the current records of targets and their recent changes: [`FleetHistory`].
//!
//! An instance that reads the records forwards only actual changes to others, since most records
//! are heartbeats that repeat the previous state. A report that was written late, after a newer one
//! of the same target, is ignored.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::ids::LogOffset;
use crate::ids::TargetId;
use crate::pipeline::fleet::FleetChange;
use crate::pipeline::fleet::TargetReport;
use crate::pipeline::report_stamp::ReportOrder;
use crate::pipeline::report_stamp::ReportStamp;

/// Largest number of changes kept. An instance that lags further behind fetches the full listing.
const MAX_RECENT_CHANGES: usize = 2_048;
/// Largest number of removed targets whose last report is remembered: more than leave within the
/// seconds by which a write may be late, even if an availability zone is lost.
const MAX_REMOVED_TARGETS: usize = 4_096;

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
    removed: RemovedTargets,
    /// Reports of runs that seem to have started before the listed ones, by target. A second one in
    /// a row shows that the run is alive and that only its clock was set back.
    doubtful: BTreeMap<TargetId, ReportStamp>,
}

/// The last reports of targets that were removed, so that a report which was written late does not
/// bring a target back.
#[derive(Debug, Default)]
struct RemovedTargets {
    stamps: BTreeMap<TargetId, ReportStamp>,
    /// The targets in the order in which they were removed.
    order: VecDeque<TargetId>,
}

impl RemovedTargets {
    fn insert(&mut self, id: TargetId, stamp: ReportStamp) {
        if self.stamps.insert(id.clone(), stamp).is_none() {
            self.order.push_back(id);
        }
        if self.order.len() > MAX_REMOVED_TARGETS
            && let Some(oldest) = self.order.pop_front()
        {
            self.stamps.remove(&oldest);
        }
    }
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

    /// The last known report of a target whose record was removed, while it is remembered.
    pub fn last_before_removal(&self, id: &TargetId) -> Option<ReportStamp> {
        if self.listed.contains_key(id) {
            return None;
        }
        self.removed.stamps.get(id).copied()
    }

    /// Replaces the state by a full listing that was read up to `next`. Clears the recent changes.
    /// Targets of which a newer report is known keep it.
    pub fn replace(&mut self, listing: BTreeMap<TargetId, TargetReport>, next: LogOffset) {
        let missing = |id: &&TargetId| !listing.contains_key(*id);
        let missing: Vec<TargetId> = self.listed.keys().filter(missing).cloned().collect();
        for id in missing {
            self.remove(&id);
        }
        for (id, report) in listing {
            self.report(&id, &report);
        }
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
            FleetChange::Reported(id, report) => self.report(id, report),
            FleetChange::Removed(id) => self.remove(id),
        }
    }

    /// Lists a report unless it is older than the newest known one. Returns whether it changed more
    /// than the time of the target's last report.
    fn report(&mut self, id: &TargetId, report: &TargetReport) -> bool {
        if !self.is_current(id, report.stamp) {
            return false;
        }
        if let Some(listed) = self.listed.get_mut(id)
            && report.repeats(listed)
        {
            listed.stamp = report.stamp;
            return false;
        }
        self.listed.insert(id.clone(), report.clone());
        true
    }

    fn remove(&mut self, id: &TargetId) -> bool {
        let Some(report) = self.listed.remove(id) else { return false };
        self.doubtful.remove(id);
        self.removed.insert(id.clone(), report.stamp);
        true
    }

    /// Whether a report is not older than the newest known one of its target.
    fn is_current(&mut self, id: &TargetId, stamp: ReportStamp) -> bool {
        let listed = self.listed.get(id).map(|report| report.stamp);
        let Some(known) = listed.or_else(|| self.removed.stamps.get(id).copied()) else {
            return true;
        };
        match stamp.compare(known) {
            ReportOrder::Newer => {
                self.doubtful.remove(id);
                true
            }
            ReportOrder::Outdated => false,
            ReportOrder::EarlierRun => {
                let previous = self.doubtful.insert(id.clone(), stamp);
                previous.is_some_and(|previous| stamp.follows(previous))
            }
        }
    }
}
