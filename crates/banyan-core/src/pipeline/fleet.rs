//! The targets that are known to exist: [`FleetTable`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::LayerRange;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::units::Moment;

/// What a target says of taking new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetPhase {
    /// It takes new work.
    Ready,
    /// It finishes its work and leaves.
    Draining,
}

/// What a target says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetReport {
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it takes new work.
    pub phase: TargetPhase,
    /// The most requests that it works on at once.
    pub slots: u32,
    /// The kind of its accelerator, for engines.
    pub kind: Option<SmolStr>,
    /// The layers that it holds. Invariant: sorted, and no two ranges touch.
    pub held: Vec<LayerRange>,
    /// The wall-clock millisecond of its start, which tells two runs under one id apart.
    pub born: Option<u64>,
}

/// A target as this instance knows it.
#[derive(Clone, Debug)]
pub struct TargetRow {
    /// What the target last said.
    pub report: TargetReport,
    /// When its record was removed, if it was; the row is dropped some time after that.
    pub removed: Option<Moment>,
    /// When an address, phase or set of layers last changed.
    pub changed: Moment,
    /// When the target itself last told which layers it holds.
    pub observed: Option<Moment>,
    /// The layers that it has been ordered to hold and may still be loading. It takes no new work for
    /// those that it gives up.
    pub ordered: Option<LayerRange>,
    /// How slow it said that it is, if it is slow.
    pub pace: Option<SlowPace>,
}

/// What a slow engine says of its pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowPace {
    /// How many times as long as usual its work takes. Invariant: at least [`SLOW_FACTOR`].
    pub factor: f64,
    /// When it said so.
    pub seen: Moment,
}

/// From this factor on an engine counts as slow.
pub const SLOW_FACTOR: f64 = 1.3;
/// The largest factor that is believed: whatever an engine says, times stay times.
const SLOWEST_FACTOR: f64 = 100.0;
/// The time for which an engine counts as slow that is not heard again: two rounds of questions.
const PACE_TIME: Duration = Duration::from_millis(4_500);
/// Factors that differ by less are taken as the same, so that chains are not found anew for them.
const SAME_PACE: f64 = 0.25;

/// The time for which a target's own word on its layers goes before its record, which may have been
/// written earlier.
const OBSERVED_TIME: Duration = Duration::from_millis(1_500);

impl TargetRow {
    /// Whether new work may go to the target.
    pub fn takes_work(&self) -> bool {
        self.removed.is_none() && self.report.phase == TargetPhase::Ready
    }

    /// How many times as long as usual its work takes.
    pub fn slowdown(&self) -> f64 {
        self.pace.map_or(1.0, |pace| pace.factor)
    }

    /// The most layers that it has memory taken up by until its order is carried out.
    pub fn most_layers(&self) -> u32 {
        let held: u32 = self.report.held.iter().map(|range| range.count()).sum();
        let Some(ordered) = self.ordered else { return held };
        let kept: u32 = self.kept_layers().iter().map(|range| range.count()).sum();
        held + ordered.count() - kept
    }

    /// The layers that it holds and goes on holding.
    pub fn kept_layers(&self) -> Vec<LayerRange> {
        let Some(ordered) = self.ordered else { return self.report.held.clone() };
        self.report.held.iter().filter_map(|held| held.overlap(ordered)).collect()
    }
}

/// A change of the fleet, in the order in which the platform made it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetChange {
    /// A target said this.
    Reported(TargetId, TargetReport),
    /// The target's record was removed.
    Removed(TargetId),
}

/// The targets that are known to exist.
#[derive(Debug, Default)]
pub struct FleetTable {
    /// The rows by target.
    pub rows: BTreeMap<TargetId, TargetRow>,
    /// Grows with each change that matters to choosing targets.
    pub revision: u64,
}

/// How long a row whose record was removed is kept, by the state of the platform.
#[derive(Clone, Copy, Debug)]
pub struct RemovalGrace {
    /// While the platform is sound: a removed target has left.
    pub normal: Duration,
    /// Shortly after the platform was away: a living target is listed again within this time.
    pub after_outage: Duration,
}

impl FleetTable {
    /// Takes in one change.
    pub fn apply(&mut self, change: FleetChange, now: Moment) {
        match change {
            FleetChange::Reported(id, report) => self.report(id, report, now),
            FleetChange::Removed(id) => self.remove(&id, now),
        }
    }

    /// Replaces everything by a full listing; rows that it lacks count as removed.
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

    /// Lets records go before the word of targets again that told their layers too long ago.
    pub fn expire_observations(&mut self, listed: &BTreeMap<TargetId, TargetReport>, now: Moment) {
        let overdue = |row: &TargetRow| {
            row.removed.is_none() && row.observed.is_some_and(|at| now.since(at) >= OBSERVED_TIME)
        };
        let differs = |id: &TargetId, row: &TargetRow| {
            listed.get(id).filter(|report| report.held != row.report.held).cloned()
        };
        let restated: Vec<(TargetId, TargetReport)> = self
            .rows
            .iter()
            .filter(|(_, row)| overdue(row))
            .filter_map(|(id, row)| Some((id.clone(), differs(id, row)?)))
            .collect();
        for (id, report) in restated {
            self.report(id, report, now);
        }
    }

    /// Drops rows whose records were removed longer ago than `grace`.
    pub fn drop_removed(&mut self, grace: Duration, now: Moment) -> Vec<TargetId> {
        let gone: Vec<TargetId> = self
            .rows
            .iter()
            .filter(|(_, row)| row.removed.is_some_and(|at| now.since(at) >= grace))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.rows.remove(id);
            self.revision += 1;
        }
        gone
    }

    /// The rows of one service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = (&'a TargetId, &'a TargetRow)> {
        self.rows.iter().filter(move |(_, row)| row.report.service == *service)
    }

    /// The target at an address.
    pub fn at_address(&self, address: SocketAddr) -> Option<&TargetId> {
        self.rows.iter().find(|(_, row)| row.report.address == address).map(|(id, _)| id)
    }

    /// Takes in which layers a target itself says that it holds, as of `at`.
    pub fn observe(&mut self, id: &TargetId, held: &[LayerRange], at: Moment, now: Moment) {
        let Some(row) = self.rows.get_mut(id) else { return };
        if row.observed.is_some_and(|seen| seen >= at) {
            return;
        }
        row.observed = Some(at);
        if row.report.held != held {
            row.report.held = held.to_vec();
            row.changed = now;
            self.revision += 1;
        }
    }

    /// Takes in how many times as long as usual a target's work takes, as it said at `seen`.
    pub fn note_pace(&mut self, id: &TargetId, factor: f64, seen: Moment) {
        let Some(row) = self.rows.get_mut(id) else { return };
        if row.pace.is_some_and(|pace| pace.seen >= seen) {
            return;
        }
        let factor = if factor.is_finite() { factor.min(SLOWEST_FACTOR) } else { 1.0 };
        let before = row.slowdown();
        row.pace = (factor >= SLOW_FACTOR).then_some(SlowPace { factor, seen });
        if (row.slowdown() - before).abs() > SAME_PACE * before {
            self.revision += 1;
        }
    }

    /// Takes targets as quick again that did not say lately that they are slow.
    pub fn expire_paces(&mut self, now: Moment) {
        let old = |pace: &SlowPace| now.since(pace.seen) >= PACE_TIME;
        for row in self.rows.values_mut().filter(|row| row.pace.as_ref().is_some_and(old)) {
            row.pace = None;
            self.revision += 1;
        }
    }

    /// Notes which layers targets have been ordered to hold; `ordered` tells of one target.
    pub fn set_ordered(&mut self, ordered: impl Fn(&TargetId) -> Option<LayerRange>) {
        for (id, row) in &mut self.rows {
            let range = ordered(id);
            if row.ordered != range {
                row.ordered = range;
                self.revision += 1;
            }
        }
    }

    fn report(&mut self, id: TargetId, mut report: TargetReport, now: Moment) {
        let Some(row) = self.rows.get_mut(&id) else {
            let row = TargetRow {
                report,
                removed: None,
                changed: now,
                observed: None,
                ordered: None,
                pace: None,
            };
            self.rows.insert(id, row);
            self.revision += 1;
            return;
        };
        let same_run = row.report.born == report.born && row.report.address == report.address;
        if same_run && row.observed.is_some_and(|at| now.since(at) < OBSERVED_TIME) {
            report.held.clone_from(&row.report.held);
        }
        if row.report == report && row.removed.is_none() {
            return;
        }
        let observed = row.observed.filter(|_| same_run);
        let ordered = row.ordered.filter(|_| same_run);
        let pace = row.pace.filter(|_| same_run);
        *row = TargetRow { report, removed: None, changed: now, observed, ordered, pace };
        self.revision += 1;
    }

    fn remove(&mut self, id: &TargetId, now: Moment) {
        let Some(row) = self.rows.get_mut(id) else { return };
        if row.removed.is_none() {
            row.removed = Some(now);
            self.revision += 1;
        }
    }
}
