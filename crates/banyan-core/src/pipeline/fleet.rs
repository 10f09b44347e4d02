//! The table of known targets: [`FleetTable`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::LayerRange;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::report_stamp::ReportStamp;
use crate::units::Moment;

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetPhase {
    /// It accepts new requests.
    Ready,
    /// It completes its running requests and then leaves.
    Draining,
}

/// The state that a target reports about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetReport {
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it accepts new requests.
    pub phase: TargetPhase,
    /// The largest number of requests that it processes concurrently.
    pub slots: u32,
    /// The kind of its accelerator, for engines.
    pub kind: Option<SmolStr>,
    /// The layers that it holds. Invariant: sorted, and no two ranges touch.
    pub held: Vec<LayerRange>,
    /// When it wrote this report.
    pub stamp: ReportStamp,
}

impl TargetReport {
    /// Whether another report of the same run says the same, so that it is only a heartbeat.
    pub fn repeats(&self, other: &Self) -> bool {
        let Self { service, address, zone, phase, slots, kind, held, stamp } = other;
        self.stamp.born == stamp.born
            && (self.phase, self.address, self.slots) == (*phase, *address, *slots)
            && (&self.service, &self.zone, &self.kind) == (service, zone, kind)
            && self.held == *held
    }
}

/// A target as this instance knows it.
#[derive(Clone, Debug)]
pub struct TargetRow {
    /// The latest report, with the layers from the target's own observation while that is recent.
    pub report: TargetReport,
    /// When its record was removed, if it was. The row is dropped after a grace period.
    pub removed: Option<Moment>,
    /// When the report or the observed layers last changed.
    pub changed: Moment,
    /// When the target itself last stated which layers it holds.
    pub observed: Option<Moment>,
    /// The layers that it has been ordered to hold and may still be loading. It accepts no new
    /// requests for layers that it is about to drop.
    pub ordered: Option<LayerRange>,
    /// Its reported slowdown, if it is slow.
    pub pace: Option<ReportedSlowdown>,
    /// Whether it said in an answer that it leaves, which its report may not say yet.
    pub said_leaving: bool,
}

/// The slowdown that a slow engine reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedSlowdown {
    /// The duration of its work as a multiple of the usual one. Invariant: at least
    /// [`SLOW_FACTOR`].
    pub factor: f64,
    /// When it reported this.
    pub seen: Moment,
}

/// Smallest slowdown factor at which an engine counts as slow.
pub const SLOW_FACTOR: f64 = 1.3;
/// Upper bound on reported factors, which keeps derived durations finite.
const MAX_SLOW_FACTOR: f64 = 100.0;
/// How long a reported slowdown is valid: a little over two polling rounds of 2 s each.
const SLOWDOWN_VALIDITY: Duration = Duration::from_millis(4_500);
/// Relative change of the factor above which the chains are recomputed.
const MIN_SLOWDOWN_CHANGE: f64 = 0.25;

/// How long a target without a row is remembered as leaving: longer than a target serves on after
/// its record was removed.
const LEAVING_MEMORY: Duration = Duration::from_secs(600);

/// How long a target's own statement of its layers overrides its record, which may have been
/// written earlier.
const OBSERVATION_VALIDITY: Duration = Duration::from_millis(1_500);

impl TargetRow {
    /// Whether the target accepts new requests.
    pub fn takes_work(&self) -> bool {
        self.removed.is_none() && !self.is_leaving()
    }

    /// Whether the target reported or said in an answer that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.said_leaving || self.report.phase == TargetPhase::Draining
    }

    /// The duration of its work as a multiple of the usual one; 1.0 if it is not slow.
    pub fn slowdown(&self) -> f64 {
        self.pace.map_or(1.0, |pace| pace.factor)
    }

    /// The largest number of layers that it may have in memory until its order is complete.
    pub fn max_layers_in_memory(&self) -> u32 {
        let held: u32 = self.report.held.iter().map(|range| range.count()).sum();
        let Some(ordered) = self.ordered else { return held };
        let kept: u32 = self.kept_layers().iter().map(|range| range.count()).sum();
        held + ordered.count() - kept
    }

    /// The layers that it holds and will keep.
    pub fn kept_layers(&self) -> Vec<LayerRange> {
        let Some(ordered) = self.ordered else { return self.report.held.clone() };
        self.report.held.iter().filter_map(|held| held.overlap(ordered)).collect()
    }
}

/// A change of the fleet. The platform orders changes, and they are applied in that order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetChange {
    /// A target reported its state.
    Reported(TargetId, TargetReport),
    /// The target's record was removed.
    Removed(TargetId),
}

/// The known targets. Rows whose records were removed stay for a grace period.
#[derive(Debug, Default)]
pub struct FleetTable {
    /// The rows by target.
    pub rows: BTreeMap<TargetId, TargetRow>,
    /// Incremented by each change that affects the choice of targets.
    pub revision: u64,
    /// The targets that said in an answer that they leave. Only a later run under the same id
    /// undoes that, and not an older report that arrives afterwards.
    leaving: BTreeMap<TargetId, LeavingNote>,
    /// The targets in `rows` by service. Invariant: no set is empty.
    by_service: BTreeMap<ServiceId, BTreeSet<TargetId>>,
}

/// What a target said about its leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeavingNote {
    /// The start time of the run that leaves, if it is known.
    pub born: Option<u64>,
    /// When the target said so.
    pub heard: Moment,
}

impl LeavingNote {
    /// Whether a run of the target is the one that leaves, or an earlier one.
    fn covers(self, born: Option<u64>) -> bool {
        match (self.born, born) {
            (Some(leaving), Some(born)) => born <= leaving,
            _ => true,
        }
    }
}

impl FleetTable {
    /// Applies one change.
    pub fn apply(&mut self, change: FleetChange, now: Moment) {
        match change {
            FleetChange::Reported(id, report) => self.report(id, report, now),
            FleetChange::Removed(id) => self.remove(&id, now),
        }
    }

    /// Applies a full listing. Rows that are not in the listing count as removed.
    pub fn replace(&mut self, listing: BTreeMap<TargetId, TargetReport>, now: Moment) {
        let missing: Vec<TargetId> =
            self.rows.keys().filter(|id| !listing.contains_key(*id)).cloned().collect();
        for id in missing {
            self.remove(&id, now);
        }
        for (id, report) in listing {
            self.report(id, report, now);
        }
    }

    /// Restores the recorded layers of targets whose own statement of them is too old.
    pub fn expire_observations(&mut self, listed: &BTreeMap<TargetId, TargetReport>, now: Moment) {
        let expired = |row: &TargetRow| {
            row.removed.is_none()
                && row.observed.is_some_and(|at| now.since(at) >= OBSERVATION_VALIDITY)
        };
        let differs = |id: &TargetId, row: &TargetRow| {
            listed.get(id).filter(|report| report.held != row.report.held).cloned()
        };
        let to_restore: Vec<(TargetId, TargetReport)> = self
            .rows
            .iter()
            .filter(|(_, row)| expired(row))
            .filter_map(|(id, row)| Some((id.clone(), differs(id, row)?)))
            .collect();
        for (id, report) in to_restore {
            self.report(id, report, now);
        }
    }

    /// Drops rows whose records were removed at least `grace` ago, and returns their targets.
    pub fn drop_removed(&mut self, grace: Duration, now: Moment) -> Vec<TargetId> {
        let dropped: Vec<TargetId> = self
            .rows
            .iter()
            .filter(|(_, row)| row.removed.is_some_and(|at| now.since(at) >= grace))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &dropped {
            if let Some(row) = self.rows.remove(id) {
                self.unlist(id, &row.report.service);
            }
            self.revision += 1;
        }
        dropped
    }

    /// The rows of one service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = (&'a TargetId, &'a TargetRow)> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.rows.get_key_value(id))
    }

    /// The target at an address.
    pub fn at_address(&self, address: SocketAddr) -> Option<&TargetId> {
        self.rows.iter().find(|(_, row)| row.report.address == address).map(|(id, _)| id)
    }

    /// Whether the record of a target with this address is there.
    pub fn is_listed_at(&self, address: SocketAddr) -> bool {
        self.rows.values().any(|row| row.removed.is_none() && row.report.address == address)
    }

    /// Records which layers a target itself stated to hold at `at`. Older statements are ignored.
    pub fn observe(&mut self, id: &TargetId, held: &[LayerRange], at: Moment, now: Moment) {
        let Some(row) = self.rows.get_mut(id) else { return };
        if row.observed.is_some_and(|last| last >= at) {
            return;
        }
        row.observed = Some(at);
        if row.report.held != held {
            row.report.held = held.to_vec();
            row.changed = now;
            self.revision += 1;
        }
    }

    /// Records the slowdown factor that a target reported at `seen`. Older reports are ignored.
    pub fn note_slowdown(&mut self, id: &TargetId, factor: f64, seen: Moment) {
        let Some(row) = self.rows.get_mut(id) else { return };
        if row.pace.is_some_and(|pace| pace.seen >= seen) {
            return;
        }
        let factor = if factor.is_finite() { factor.min(MAX_SLOW_FACTOR) } else { 1.0 };
        let before = row.slowdown();
        row.pace = (factor >= SLOW_FACTOR).then_some(ReportedSlowdown { factor, seen });
        if (row.slowdown() - before).abs() > MIN_SLOWDOWN_CHANGE * before {
            self.revision += 1;
        }
    }

    /// Drops slowdowns that were not reported again recently.
    pub fn expire_slowdowns(&mut self, now: Moment) {
        let old = |pace: &ReportedSlowdown| now.since(pace.seen) >= SLOWDOWN_VALIDITY;
        for row in self.rows.values_mut().filter(|row| row.pace.as_ref().is_some_and(old)) {
            row.pace = None;
            self.revision += 1;
        }
    }

    /// Records that a target said in an answer that it leaves. Returns whether that is news.
    pub fn note_leaving(&mut self, id: &TargetId, note: LeavingNote) -> bool {
        if let Some(known) = self.leaving.get_mut(id)
            && known.covers(note.born)
        {
            known.heard = known.heard.max(note.heard);
            return false;
        }
        self.leaving.insert(id.clone(), note);
        if let Some(row) = self.rows.get_mut(id) {
            row.said_leaving = note.covers(row.report.stamp.born);
            self.revision += 1;
        }
        true
    }

    /// The targets that said that they leave while their reports do not say it yet.
    pub fn unreported_leaving(&self) -> impl Iterator<Item = (&TargetId, LeavingNote)> {
        let is_unreported = |id: &TargetId| {
            let row = self.rows.get(id).filter(|row| row.said_leaving && row.removed.is_none());
            row.is_some_and(|row| row.report.phase == TargetPhase::Ready)
        };
        let unreported = self.leaving.iter().filter(move |(id, _)| is_unreported(id));
        unreported.map(|(id, note)| (id, *note))
    }

    /// Forgets targets that left long ago.
    pub fn expire_leaving(&mut self, now: Moment) {
        let rows = &self.rows;
        self.leaving
            .retain(|id, note| rows.contains_key(id) || now.since(note.heard) < LEAVING_MEMORY);
    }

    /// Whether a run of a target said that it leaves. A later run ends the leaving of its id.
    fn said_leaving(&mut self, id: &TargetId, born: Option<u64>) -> bool {
        let Some(note) = self.leaving.get(id) else { return false };
        let covered = note.covers(born);
        if !covered {
            self.leaving.remove(id);
        }
        covered
    }

    /// Sets which layers targets have been ordered to hold, as given by `ordered` for each target.
    pub fn set_ordered(&mut self, ordered: impl Fn(&TargetId) -> Option<LayerRange>) {
        for (id, row) in &mut self.rows {
            let range = ordered(id);
            if row.ordered != range {
                row.ordered = range;
                self.revision += 1;
            }
        }
    }

    /// Sets which layers one target has been ordered to hold.
    pub fn set_ordered_of(&mut self, id: &TargetId, range: Option<LayerRange>) {
        let Some(row) = self.rows.get_mut(id) else { return };
        if row.ordered != range {
            row.ordered = range;
            self.revision += 1;
        }
    }

    fn report(&mut self, id: TargetId, mut report: TargetReport, now: Moment) {
        let said_leaving = self.said_leaving(&id, report.stamp.born);
        let Some(row) = self.rows.get_mut(&id) else {
            let row = TargetRow {
                report,
                removed: None,
                changed: now,
                observed: None,
                ordered: None,
                pace: None,
                said_leaving,
            };
            self.list(&id, &row.report.service);
            self.rows.insert(id, row);
            self.revision += 1;
            return;
        };
        let same_run =
            row.report.stamp.born == report.stamp.born && row.report.address == report.address;
        if same_run && row.observed.is_some_and(|at| now.since(at) < OBSERVATION_VALIDITY) {
            report.held.clone_from(&row.report.held);
        }
        if report.repeats(&row.report) && row.removed.is_none() {
            return;
        }
        let observed = row.observed.filter(|_| same_run);
        let ordered = row.ordered.filter(|_| same_run);
        let pace = row.pace.filter(|_| same_run);
        let service = report.service.clone();
        let next = TargetRow {
            report,
            removed: None,
            changed: now,
            observed,
            ordered,
            pace,
            said_leaving,
        };
        let before = std::mem::replace(row, next);
        if before.report.service != service {
            self.unlist(&id, &before.report.service);
            self.list(&id, &service);
        }
        self.revision += 1;
    }

    /// Adds a target to those of a service.
    fn list(&mut self, id: &TargetId, service: &ServiceId) {
        self.by_service.entry(service.clone()).or_default().insert(id.clone());
    }

    /// Removes a target from those of a service.
    fn unlist(&mut self, id: &TargetId, service: &ServiceId) {
        let Some(ids) = self.by_service.get_mut(service) else { return };
        ids.remove(id);
        if ids.is_empty() {
            self.by_service.remove(service);
        }
    }

    fn remove(&mut self, id: &TargetId, now: Moment) {
        let Some(row) = self.rows.get_mut(id) else { return };
        if row.removed.is_none() {
            row.removed = Some(now);
            self.revision += 1;
        }
    }
}
