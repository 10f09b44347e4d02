//! The targets as one instance sees them: [`TargetTable`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use smol_str::SmolStr;

use crate::declaration::Declaration;
use crate::declaration::TargetRole;
use crate::declaration::TargetSpec;
use crate::ids::RegionId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::serving::groups::TargetGroups;
use crate::serving::load::LinkEstimate;
use crate::serving::load::LoadHistory;
use crate::serving::load::LoadSample;
use crate::serving::prefix::PrefixIndex;
use crate::units::Moment;

/// The weight of a new sample in a moving average, in eighths.
const SAMPLE_WEIGHT_EIGHTHS: u32 = 2;
/// The part of the longest gap by which each sign of life reduces it, as a divisor.
const GAP_DECAY_DIVISOR: u32 = 256;
/// The longest gap between two signs of life that is learned. A longer one is a failure, not a slow
/// link.
const MAX_LEARNED_GAP: Duration = Duration::from_secs(3);

/// All targets of the declaration in force.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    /// The rows by target.
    pub rows: BTreeMap<TargetId, TargetRow>,
    /// The targets grouped by role. Invariant: holds exactly the targets of `rows`.
    pub groups: TargetGroups,
    /// The region of each availability zone.
    pub regions: BTreeMap<ZoneId, RegionId>,
    /// All targets by index, which is the same on every instance with the same declaration in
    /// force.
    pub listing: TargetListing,
    /// The targets with any report that they are leaving.
    pub leaving: BTreeSet<TargetId>,
    /// The estimated contents of the targets' prefix caches.
    pub prefixes: PrefixIndex,
    /// The targets with a load report.
    pub reported: BTreeSet<TargetId>,
    /// The time until which no target can be suspected for silence, with the limit from which it
    /// was computed.
    pub next_silence_check: (Moment, Duration),
    /// The latest time that any input carried.
    pub now: Moment,
    /// The part of a group that stays in use however many of its targets are silent, in percent.
    pub floor_percent: u32,
}

/// The declared targets by index, so that peers can refer to them by a number.
#[derive(Clone, Debug, Default)]
pub struct TargetListing {
    /// The targets in order.
    pub targets: Vec<TargetId>,
    /// A digest of the list. Indices of two lists mean the same only if their digests are equal.
    pub digest: u64,
}

/// One target.
#[derive(Clone, Debug)]
pub struct TargetRow {
    /// The target's entry in the declaration.
    pub spec: TargetSpec,
    /// Steps or calls of this instance that are in flight there.
    pub in_flight: u32,
    /// The newest load report; absent before the first.
    pub report: Option<ReportedLoad>,
    /// Streams of this instance that run through it.
    pub assigned: u32,
    /// Recent samples of this instance's own load there.
    pub history: LoadHistory,
    /// The estimate of the response time beyond the step time.
    pub link: LinkEstimate,
    /// The moving average of the reported step time; zero before the first report.
    pub step_time: Duration,
    /// The moving average of the response time of a step or call; zero before the first response.
    pub latency: Duration,
    /// Whether it is trusted.
    pub health: TargetHealth,
    /// The reports that it is leaving, with the time of the first.
    pub leaving: LeavingReports,
    /// The time of its last sign of life; absent before the first.
    pub last_sign_of_life: Option<Moment>,
    /// The longest recent gap between two signs of life, which decays.
    pub longest_gap: Duration,
    /// When its connection last failed.
    pub last_failure: Option<Moment>,
    /// The number of connection failures in a row.
    pub failures: u32,
    /// Whether its connection was refused or broke. Stays set while the target is suspected.
    pub broken: bool,
    /// Whether it stays in use although it is suspected for silence.
    ///
    /// Invariant: never true together with `broken`.
    pub retained: bool,
    /// When it last became usable after it was new or suspected. The warm-up starts then.
    pub usable_since: Moment,
}

/// A load report of a target.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReportedLoad {
    /// The identifier of the target's run.
    pub incarnation: SmolStr,
    /// Steps that run or wait there, from all instances.
    pub load: u32,
    /// Streams that are open there, from all instances.
    pub streams: u32,
    /// The duration of its newest batch.
    pub step_time: Duration,
    /// When it was measured, by this instance's clock.
    pub measured: Moment,
}

/// Whether a target is trusted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetHealth {
    /// No failure or long silence is known.
    Trusted,
    /// Its connection failed, or it was silent for too long.
    Suspected {
        /// When the suspicion began.
        since: Moment,
        /// What was observed, in a short sentence.
        reason: SmolStr,
    },
}

/// The reports that a target is leaving, by source. One report is enough.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeavingReports {
    /// The platform's instance list reports it.
    pub listed: bool,
    /// The target itself reports it.
    pub self_reported: bool,
    /// A peer reports it.
    pub peers: bool,
    /// When the first of the current reports arrived.
    pub since: Option<Moment>,
}

impl LeavingReports {
    /// Whether any source reports that it is leaving.
    pub fn any(&self) -> bool {
        self.listed || self.self_reported || self.peers
    }
}

impl TargetRow {
    /// The row of a newly declared target.
    pub fn new(spec: TargetSpec, now: Moment) -> Self {
        Self {
            spec,
            in_flight: 0,
            report: None,
            assigned: 0,
            history: LoadHistory::default(),
            link: LinkEstimate::default(),
            step_time: Duration::ZERO,
            latency: Duration::ZERO,
            health: TargetHealth::Trusted,
            leaving: LeavingReports::default(),
            last_sign_of_life: None,
            longest_gap: Duration::ZERO,
            last_failure: None,
            failures: 0,
            broken: false,
            retained: false,
            usable_since: now,
        }
    }

    /// Whether it may receive new work.
    pub fn usable(&self) -> bool {
        (self.health == TargetHealth::Trusted || self.retained) && !self.leaving.any()
    }

    /// Records a sign of life.
    pub fn note_sign_of_life(&mut self, now: Moment) {
        let gap = self.last_sign_of_life.map_or(Duration::ZERO, |last| now.since(last));
        self.last_sign_of_life = Some(now);
        self.longest_gap = self.longest_gap * (GAP_DECAY_DIVISOR - 1) / GAP_DECAY_DIVISOR;
        if gap <= MAX_LEARNED_GAP {
            self.longest_gap = self.longest_gap.max(gap);
        }
    }

    /// The expected number of steps there: the steps of other instances when the report was
    /// measured, and the current steps of this instance.
    pub fn expected_load(&self) -> u32 {
        let Some(report) = &self.report else { return self.in_flight };
        let own = self.history.at(report.measured).steps;
        report.load.saturating_sub(own) + self.in_flight
    }

    /// The expected number of streams there: the streams of other instances when the report was
    /// measured, and the current streams of this instance.
    pub fn expected_streams(&self) -> u32 {
        let Some(report) = &self.report else { return self.assigned };
        let own = self.history.at(report.measured).streams;
        report.streams.saturating_sub(own) + self.assigned
    }

    fn record_load(&mut self, at: Moment) {
        self.history.record(LoadSample { at, steps: self.in_flight, streams: self.assigned });
    }

    /// The duration of a step: as reported, or as declared before the first report; zero for a
    /// service.
    pub fn expected_step(&self) -> Duration {
        match &self.spec.role {
            TargetRole::Engine { step_time, .. } if self.step_time.is_zero() => *step_time,
            TargetRole::Engine { .. } => self.step_time,
            TargetRole::Service { .. } => Duration::ZERO,
        }
    }
}

impl TargetListing {
    fn of(declaration: &Declaration) -> Self {
        let targets: Vec<TargetId> = declaration.targets.keys().cloned().collect();
        let combine = |digest: u64, target: &TargetId| {
            xxhash_rust::xxh3::xxh3_64_with_seed(target.as_str().as_bytes(), digest)
        };
        let digest = targets.iter().fold(0, combine);
        Self { targets, digest }
    }
}

impl TargetTable {
    /// Applies the declaration in force. Keeps the state of targets whose address is unchanged.
    pub fn apply_declaration(&mut self, declaration: &Declaration, now: Moment) {
        self.advance(now);
        let regions = declaration.zones.iter();
        self.regions = regions.map(|(zone, spec)| (zone.clone(), spec.region.clone())).collect();
        for id in self.rows.keys().filter(|id| !declaration.targets.contains_key(*id)) {
            self.prefixes.forget(id);
        }
        self.rows.retain(|id, _| declaration.targets.contains_key(id));
        for (id, spec) in &declaration.targets {
            match self.rows.get_mut(id) {
                Some(row) if row.spec.address == spec.address => row.spec = spec.clone(),
                _ => {
                    self.leaving.remove(id);
                    self.rows.insert(id.clone(), TargetRow::new(spec.clone(), now));
                }
            }
        }
        self.groups = TargetGroups::of(declaration);
        self.listing = TargetListing::of(declaration);
        self.leaving.retain(|id| declaration.targets.contains_key(id));
        let rows = &self.rows;
        self.reported.retain(|id| rows.get(id).is_some_and(|row| row.report.is_some()));
        self.floor_percent = declaration.policy.ejection_floor_percent;
    }

    /// Advances the table's clock. It never goes back.
    pub fn advance(&mut self, now: Moment) {
        self.now = self.now.max(now);
    }

    /// Records that a step or call was sent.
    pub fn note_sent(&mut self, target: &TargetId) {
        let now = self.now;
        let Some(row) = self.rows.get_mut(target) else { return };
        row.in_flight += 1;
        row.record_load(now);
    }

    /// Records that a stream was assigned to a target. Called right after the choice.
    pub fn note_assigned(&mut self, target: &TargetId) {
        let now = self.now;
        let Some(row) = self.rows.get_mut(target) else { return };
        row.assigned += 1;
        row.record_load(now);
    }

    /// Records that a stream ended or left a target.
    pub fn note_unassigned(&mut self, target: &TargetId) {
        let now = self.now;
        let Some(row) = self.rows.get_mut(target) else { return };
        row.assigned = row.assigned.saturating_sub(1);
        row.record_load(now);
    }

    /// Records that a step or call ended, with its response time if it was answered.
    pub fn note_ended(&mut self, target: &TargetId, elapsed: Option<Duration>, now: Moment) {
        self.advance(now);
        let Some(row) = self.rows.get_mut(target) else { return };
        row.in_flight = row.in_flight.saturating_sub(1);
        row.record_load(now);
        let Some(elapsed) = elapsed else { return };
        row.note_sign_of_life(now);
        row.link.record(elapsed, now);
        row.latency = smooth(row.latency, elapsed);
    }

    /// Applies a load report that the target sent to this instance.
    pub fn note_report(&mut self, target: &TargetId, report: ReportedLoad, now: Moment) {
        self.advance(now);
        let Some(row) = self.rows.get_mut(target) else { return };
        let newer = row.report.as_ref().is_none_or(|old| report.measured > old.measured);
        row.note_sign_of_life(now);
        if newer {
            row.step_time = smooth(row.step_time, report.step_time);
            row.link.decay();
            add_reported(&mut self.reported, target, row);
            row.report = Some(report);
        }
    }

    /// Applies a load report that a peer passed on. It carries no information about this instance's
    /// link to the target.
    pub fn note_peer_report(&mut self, target: &TargetId, mut report: ReportedLoad) {
        let Some(row) = self.rows.get_mut(target) else { return };
        if let Some(old) = &row.report {
            if report.measured <= old.measured {
                return;
            }
            report.incarnation = old.incarnation.clone();
        }
        add_reported(&mut self.reported, target, row);
        row.report = Some(report);
    }

    /// Records whether a source reports that a target is leaving.
    pub fn note_leaving(
        &mut self,
        target: &TargetId,
        source: LeavingSource,
        leaving: bool,
        now: Moment,
    ) {
        let Some(row) = self.rows.get_mut(target) else { return };
        match source {
            LeavingSource::InstanceList => row.leaving.listed = leaving,
            LeavingSource::Target => row.leaving.self_reported = leaving,
            LeavingSource::Peers => row.leaving.peers = leaving,
        }
        if !row.leaving.any() {
            row.leaving.since = None;
            self.leaving.remove(target);
        } else if row.leaving.since.is_none() {
            row.leaving.since = Some(now);
            self.leaving.insert(target.clone());
        }
    }
}

fn add_reported(reported: &mut BTreeSet<TargetId>, target: &TargetId, row: &TargetRow) {
    if row.report.is_none() {
        reported.insert(target.clone());
    }
}

fn smooth(average: Duration, sample: Duration) -> Duration {
    if average.is_zero() || sample.is_zero() {
        return average.max(sample);
    }
    (average * (8 - SAMPLE_WEIGHT_EIGHTHS) + sample * SAMPLE_WEIGHT_EIGHTHS) / 8
}

/// A source of reports that a target is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeavingSource {
    /// The platform's instance list.
    InstanceList,
    /// The target itself.
    Target,
    /// A peer.
    Peers,
}
