//! Keeps the current records of targets and their recent changes: [`FleetHistory`].
//!
//! An instance that reads the records forwards only actual changes to others, since most records
//! are heartbeats that repeat the previous state. A report that was written late, after a newer one
//! of the same target, is ignored.
//!
//! An instance that begins to read after it followed another one has not seen the heartbeats of the
//! meantime. If a target's record is removed before the target reports again, a late report cannot
//! be told from a return; the target is then listed again at its second report. A late report comes
//! alone, a running target goes on reporting.
//!
//! A store that comes back from an older copy of itself lacks what was written since. What is known
//! stays in use: a report that the copy still holds is an outdated one, and a target that the copy
//! lacks has time to write again ([`FleetHistory::restore`]).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::ids::TargetId;
use crate::pipeline::fleet::FleetChange;
use crate::pipeline::fleet::TargetReport;
use crate::pipeline::log_position::LogPosition;
use crate::pipeline::removed_targets::RemovedTarget;
use crate::pipeline::removed_targets::RemovedTargets;
use crate::pipeline::report_stamp::ReportOrder;
use crate::pipeline::report_stamp::ReportStamp;

/// Largest number of changes kept. An instance that lags further behind fetches the full listing.
const MAX_RECENT_CHANGES: usize = 2_048;

/// Where records come from, which tells whether reports between them may be unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordOrigin {
    /// This instance read them in the platform's store, heartbeats included.
    Store,
    /// This instance read them after an outage of the store in which records of running targets may
    /// have expired, so that returns are expected.
    ReturnedStore,
    /// A peer that reads the store passed them on, without most heartbeats.
    Peer,
}

/// The state of the targets' records at a position, and the changes that led to it.
#[derive(Debug, Default)]
pub struct FleetHistory {
    /// The newest record of each target.
    listed: BTreeMap<TargetId, TargetReport>,
    /// What other instances are told, in order, each with the position after the batch that contained
    /// it: changes, and the reports that tell which others were written before.
    recent: VecDeque<(LogPosition, FleetChange)>,
    /// Invariant: `recent` contains every change after this position.
    complete_from: LogPosition,
    next: Option<LogPosition>,
    /// Where this instance had read to when it learned that the store had come back from a copy.
    /// Instances that had read on by then may know of changes that it has never seen.
    left_era_at: Option<LogPosition>,
    /// The targets on which the store differed when it had come back from a copy, until they write
    /// again: listed ones that it lacked, and ones that it had although they are known to have left.
    unconfirmed: BTreeSet<TargetId>,
    removed: RemovedTargets,
    /// The first report of targets whose report is believed only if a second one follows: of runs
    /// that seem to have started before the listed ones, and of targets that were removed while
    /// their last report was unknown.
    doubtful: BTreeMap<TargetId, ReportStamp>,
    /// Whether the newest records came from a peer.
    follows_peer: bool,
    /// The targets of which a peer may have read newer reports. Invariant: all of them are listed.
    behind: BTreeSet<TargetId>,
    /// The targets of which a report was not believed. Instances that have just started may list
    /// them, so the next removal of their records is forwarded. Invariant: none of them is listed.
    disbelieved: BTreeSet<TargetId>,
}

/// Whether a report is to be believed.
enum ReportVerdict {
    Believed,
    /// It confirms an earlier report that was in doubt.
    Confirmed(ReportStamp),
    /// It is outdated, or in doubt until the next one.
    Ignored,
}

impl FleetHistory {
    /// The position of the first unread record; `None` before the first listing.
    pub fn next(&self) -> Option<LogPosition> {
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
        self.removed.get(id).map(|removed| removed.stamp)
    }

    /// The number of targets on which the store differed when it had come back from a copy, and that
    /// have not written since.
    pub fn unconfirmed_count(&self) -> usize {
        self.unconfirmed.len()
    }

    /// Replaces the state by a full listing that was read up to `next`. Clears the recent changes.
    /// Targets of which a newer report is known keep it.
    pub fn replace(
        &mut self,
        listing: BTreeMap<TargetId, TargetReport>,
        next: LogPosition,
        origin: RecordOrigin,
    ) {
        self.note_origin(origin);
        let is_kept = |id: &TargetId| listing.contains_key(id) || self.unconfirmed.contains(id);
        let missing = self.listed.keys().filter(|id| !is_kept(id));
        for id in missing.cloned().collect::<Vec<_>>() {
            if origin == RecordOrigin::Peer {
                self.behind.insert(id.clone());
            }
            self.remove(&id);
        }
        for (id, report) in listing {
            self.report(&id, &report, next, origin);
        }
        self.recent.clear();
        self.complete_from = next;
        self.advance(next);
    }

    /// Applies the full listing of a store that has come back from a copy, and returns the changes.
    /// Targets that it lacks stay listed until [`Self::drop_unconfirmed`].
    pub fn restore(
        &mut self,
        listing: BTreeMap<TargetId, TargetReport>,
        next: LogPosition,
        origin: RecordOrigin,
    ) -> Vec<FleetChange> {
        // The copy may hold the last report of a target that has left since, so that the same report
        // shows no return.
        let origin = match origin {
            RecordOrigin::ReturnedStore => RecordOrigin::Store,
            RecordOrigin::Store | RecordOrigin::Peer => origin,
        };
        let restored: BTreeSet<TargetId> = listing.keys().cloned().collect();
        let missing = self.listed.keys().filter(|id| !restored.contains(*id));
        self.unconfirmed = missing.cloned().collect();
        let reports = listing.into_iter().map(|(id, report)| FleetChange::Reported(id, report));
        let changes = self.apply(reports.collect(), next, origin);
        self.unconfirmed.extend(restored.into_iter().filter(|id| !self.listed.contains_key(id)));
        changes
    }

    /// Removes the listed targets that the store lacked when it had come back from a copy and that
    /// have not written since, and returns the changes. Others are told as of the batch that was
    /// applied last.
    pub fn drop_unconfirmed(&mut self) -> Vec<FleetChange> {
        let Some(next) = self.next else { return Vec::new() };
        let mut changes = Vec::new();
        for id in std::mem::take(&mut self.unconfirmed) {
            if !self.listed.contains_key(&id) {
                continue;
            }
            let change = FleetChange::Removed(id);
            if self.apply_change(&change, next, RecordOrigin::Store) {
                self.forward(change.clone(), next);
                changes.push(change);
            }
        }
        changes
    }

    /// Applies a batch of records and returns those that changed the state.
    pub fn apply(
        &mut self,
        batch: Vec<FleetChange>,
        next: LogPosition,
        origin: RecordOrigin,
    ) -> Vec<FleetChange> {
        self.note_origin(origin);
        let mut changes = Vec::new();
        for change in batch {
            if self.apply_change(&change, next, origin) {
                self.forward(change.clone(), next);
                changes.push(change);
            }
        }
        while self.recent.len() > MAX_RECENT_CHANGES {
            if let Some((offset, _)) = self.recent.pop_front() {
                self.complete_from = offset;
            }
        }
        self.advance(next);
        changes
    }

    /// Learns from records that were written before the known ones. Returns the changes: targets that
    /// had been removed before the report by which they are listed was written late, and newer
    /// reports of others.
    pub fn learn(&mut self, earlier: Vec<FleetChange>) -> Vec<FleetChange> {
        let mut past = Self::default();
        past.apply(earlier, LogPosition::default(), RecordOrigin::Store);
        let mut changes = Vec::new();
        for (id, removed) in past.removed.iter() {
            let is_back = past.listed.contains_key(id);
            if !is_back && self.learn_removal(id, removed) {
                changes.push(FleetChange::Removed(id.clone()));
            }
        }
        for (id, report) in past.listed {
            let Some(listed) = self.listed.get_mut(&id) else { continue };
            if report.stamp.follows(listed.stamp) {
                listed.clone_from(&report);
                changes.push(FleetChange::Reported(id, report));
            }
        }
        changes
    }

    /// What an instance that has read up to a position needs to be told, or `None` if that is no
    /// longer kept and the full listing is needed.
    pub fn since(&self, from: LogPosition) -> Option<Vec<FleetChange>> {
        if from < self.complete_from || !self.has_passed(from) {
            return None;
        }
        let newer = self.recent.iter().filter(|(position, _)| *position > from);
        Some(newer.map(|(_, change)| change.clone()).collect())
    }

    /// Whether an instance that has read up to a position knows of no change that this one has missed.
    /// It may if it read further in an earlier era, whose last records are lost.
    fn has_passed(&self, from: LogPosition) -> bool {
        let is_earlier = self.next.is_some_and(|next| from.era < next.era);
        let left_behind = |left: LogPosition| from.era == left.era && from <= left;
        !is_earlier || self.left_era_at.is_some_and(left_behind)
    }

    /// Moves on to the position up to which records were applied.
    fn advance(&mut self, next: LogPosition) {
        self.left_era_at = match self.next {
            Some(known) if known.era < next.era => Some(known),
            _ => self.left_era_at,
        };
        self.next = Some(next);
    }

    /// Records where the next records come from.
    fn note_origin(&mut self, origin: RecordOrigin) {
        match origin {
            RecordOrigin::Peer => self.follows_peer = true,
            RecordOrigin::Store => {
                if std::mem::take(&mut self.follows_peer) {
                    self.behind = self.listed.keys().cloned().collect();
                }
            }
            RecordOrigin::ReturnedStore => {
                self.follows_peer = false;
                self.behind.clear();
            }
        }
    }

    /// Applies one record of a batch that ends at `next`. Returns whether it changed the state.
    fn apply_change(
        &mut self,
        change: &FleetChange,
        next: LogPosition,
        origin: RecordOrigin,
    ) -> bool {
        match change {
            FleetChange::Reported(id, report) => self.report(id, report, next, origin),
            FleetChange::Removed(id) => {
                let Some(report) = self.remove(id) else {
                    if self.disbelieved.remove(id) {
                        self.forward(change.clone(), next);
                    }
                    return false;
                };
                // The last report tells the others which reports were written before the removal.
                self.forward(FleetChange::Reported(id.clone(), report), next);
                true
            }
        }
    }

    /// Learns that a target was removed in the past. Returns whether it was listed until now.
    fn learn_removal(&mut self, id: &TargetId, removed: RemovedTarget) -> bool {
        let listed = self.listed.get(id).map(|report| report.stamp);
        let known = listed.or_else(|| self.removed.get(id).map(|known| known.stamp));
        if known.is_some_and(|known| known.is_return_after(removed.stamp)) {
            return false;
        }
        self.remove(id);
        self.removed.insert(id.clone(), removed);
        if listed.is_some() {
            self.disbelieved.insert(id.clone());
        }
        listed.is_some()
    }

    /// Lists a report if it is to be believed. Returns whether it changed more than the time of the
    /// target's last report.
    fn report(
        &mut self,
        id: &TargetId,
        report: &TargetReport,
        next: LogPosition,
        origin: RecordOrigin,
    ) -> bool {
        match self.judge(id, report.stamp, origin) {
            ReportVerdict::Ignored => {
                if self.listed.contains_key(id) {
                    self.unconfirmed.remove(id);
                } else {
                    self.disbelieved.insert(id.clone());
                }
                return false;
            }
            ReportVerdict::Confirmed(stamp) => {
                let first = TargetReport { stamp, ..report.clone() };
                self.forward(FleetChange::Reported(id.clone(), first), next);
            }
            ReportVerdict::Believed => {}
        }
        self.unconfirmed.remove(id);
        self.behind.remove(id);
        self.disbelieved.remove(id);
        let Some(listed) = self.listed.get_mut(id) else {
            self.listed.insert(id.clone(), report.clone());
            return true;
        };
        if report.repeats(listed) {
            listed.stamp = report.stamp;
            return false;
        }
        *listed = report.clone();
        true
    }

    /// Removes a target, and returns its last known report if it was listed.
    fn remove(&mut self, id: &TargetId) -> Option<TargetReport> {
        self.doubtful.remove(id);
        self.unconfirmed.remove(id);
        let is_exact = !self.behind.remove(id);
        let report = self.listed.remove(id)?;
        self.removed.insert(id.clone(), RemovedTarget { stamp: report.stamp, is_exact });
        Some(report)
    }

    /// Adds a record to those that other instances are told.
    fn forward(&mut self, change: FleetChange, next: LogPosition) {
        self.recent.push_back((next, change));
    }

    /// Whether a report is believed, by the newest known one of its target.
    fn judge(&mut self, id: &TargetId, stamp: ReportStamp, origin: RecordOrigin) -> ReportVerdict {
        let listed = self.listed.get(id).map(|report| report.stamp);
        let removed = self.removed.get(id).filter(|_| listed.is_none());
        let Some(known) = listed.or(removed.map(|removed| removed.stamp)) else {
            return ReportVerdict::Believed;
        };
        // A report that follows shows no return if others between it and the known one are unknown.
        // A peer has judged what it passes on, and would not pass the next report on.
        let may_be_late = origin == RecordOrigin::Store
            && removed.is_some_and(|removed| !removed.is_exact)
            && stamp.follows(known);
        let repeats_last = origin != RecordOrigin::ReturnedStore
            && removed.is_some()
            && stamp.is_same_report(known);
        match stamp.compare(known) {
            ReportOrder::Outdated => ReportVerdict::Ignored,
            ReportOrder::Newer if repeats_last => ReportVerdict::Ignored,
            ReportOrder::Newer if !may_be_late => {
                self.doubtful.remove(id);
                ReportVerdict::Believed
            }
            ReportOrder::Newer | ReportOrder::EarlierRun => self.doubt(id, stamp),
        }
    }

    /// Believes a report only if it follows one that was in doubt.
    fn doubt(&mut self, id: &TargetId, stamp: ReportStamp) -> ReportVerdict {
        let previous = self.doubtful.insert(id.clone(), stamp);
        match previous.filter(|previous| stamp.follows(*previous)) {
            Some(previous) => ReportVerdict::Confirmed(previous),
            None => ReportVerdict::Ignored,
        }
    }
}
