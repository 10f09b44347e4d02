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

/// The weight of a new sample in a smoothed time, in eighths.
const SAMPLE_WEIGHT_EIGHTHS: u32 = 2;
/// The signs of life over which the longest gap between them fades.
const GAP_MEMORY: u32 = 256;
/// A longer gap between two signs of life is a failure, not a slow link.
const LEARNABLE_GAP: Duration = Duration::from_secs(3);

/// All targets in force.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    /// The rows by target.
    pub rows: BTreeMap<TargetId, TargetRow>,
    /// The targets by what they do. Invariant: holds exactly the targets of `rows`.
    pub groups: TargetGroups,
    /// The region of each availability zone.
    pub regions: BTreeMap<ZoneId, RegionId>,
    /// All targets by place, the same on every instance that has the same declaration in force.
    pub listing: TargetListing,
    /// The targets with any sign of leaving.
    pub leaving: BTreeSet<TargetId>,
    /// What the targets are thought to have in their prefix caches.
    pub prefixes: PrefixIndex,
    /// The targets with a load report.
    pub reported: BTreeSet<TargetId>,
    /// No target is silent before this moment, by the limit that it was worked out for.
    pub silent_from: (Moment, Duration),
    /// The latest moment that any input brought.
    pub now: Moment,
    /// The share of a group that stays in use whatever is silent, in percent.
    pub floor_percent: u32,
}

/// The declared targets by place, so that peers can name them by a number.
#[derive(Clone, Debug, Default)]
pub struct TargetListing {
    /// The targets in order.
    pub targets: Vec<TargetId>,
    /// A digest of the list; places mean the same only where it is the same.
    pub digest: u64,
}

/// One target.
#[derive(Clone, Debug)]
pub struct TargetRow {
    /// What the declaration says of it.
    pub spec: TargetSpec,
    /// Steps or calls that this instance has under way there.
    pub in_flight: u32,
    /// The newest load report, if one came.
    pub report: Option<ReportedLoad>,
    /// Streams of this instance that run through it.
    pub assigned: u32,
    /// What this instance had under way there before.
    pub history: LoadHistory,
    /// What answers take beyond the step.
    pub link: LinkEstimate,
    /// Smoothed step time as reported; zero before the first report.
    pub step_time: Duration,
    /// Smoothed time of a step or call; zero before the first.
    pub latency: Duration,
    /// Whether it is trusted.
    pub health: TargetHealth,
    /// Signs that it is leaving, with the moment of the first.
    pub leaving: LeavingSigns,
    /// When it last gave any sign of life.
    pub heard: Option<Moment>,
    /// The longest time between two signs of life lately.
    pub longest_gap: Duration,
    /// When it last failed plainly.
    pub failed: Option<Moment>,
    /// Plain failures in a row.
    pub failures: u32,
    /// Whether its connection is refused or broke, for as long as it is suspected.
    pub broken: bool,
    /// Whether it stays in use although it is suspected of silence.
    ///
    /// Invariant: never true together with `broken`.
    pub retained: bool,
    /// When it last became usable after being new or suspected, for warming up.
    pub usable_since: Moment,
}

/// A load report of a target.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReportedLoad {
    /// The target's run.
    pub incarnation: SmolStr,
    /// Steps running or waiting there, from all instances.
    pub load: u32,
    /// Streams kept there, from all instances.
    pub streams: u32,
    /// The time of its newest batch.
    pub step_time: Duration,
    /// When it was measured, by our clock.
    pub measured: Moment,
}

/// Whether a target is trusted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetHealth {
    /// It works, as far as we know.
    Trusted,
    /// It failed or went silent.
    Suspected {
        /// Since when.
        since: Moment,
        /// What was seen, in a short sentence.
        reason: SmolStr,
    },
}

/// Who says that a target is leaving. The most cautious wins: any sign is enough.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeavingSigns {
    /// The instance list says so.
    pub listed: bool,
    /// The target itself says so.
    pub own_word: bool,
    /// A peer says so.
    pub peers: bool,
    /// When the first of the present signs came.
    pub since: Option<Moment>,
}

impl LeavingSigns {
    /// Whether any sign is there.
    pub fn any(&self) -> bool {
        self.listed || self.own_word || self.peers
    }
}

impl TargetRow {
    /// A target that was just declared.
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
            leaving: LeavingSigns::default(),
            heard: None,
            longest_gap: Duration::ZERO,
            failed: None,
            failures: 0,
            broken: false,
            retained: false,
            usable_since: now,
        }
    }

    /// Whether it may get new work.
    pub fn usable(&self) -> bool {
        (self.health == TargetHealth::Trusted || self.retained) && !self.leaving.any()
    }

    /// Notes a sign of life.
    pub fn hear(&mut self, now: Moment) {
        let gap = self.heard.map_or(Duration::ZERO, |heard| now.since(heard));
        self.heard = Some(now);
        self.longest_gap = self.longest_gap * (GAP_MEMORY - 1) / GAP_MEMORY;
        if gap <= LEARNABLE_GAP {
            self.longest_gap = self.longest_gap.max(gap);
        }
    }

    /// The steps to expect there: what others had when the lagged report was measured, and what
    /// this instance has now.
    pub fn expected_load(&self) -> u32 {
        let Some(report) = &self.report else { return self.in_flight };
        let own = self.history.at(report.measured).steps;
        report.load.saturating_sub(own) + self.in_flight
    }

    /// The streams to expect there, corrected in the same way.
    pub fn expected_streams(&self) -> u32 {
        let Some(report) = &self.report else { return self.assigned };
        let own = self.history.at(report.measured).streams;
        report.streams.saturating_sub(own) + self.assigned
    }

    fn remember_load(&mut self, at: Moment) {
        self.history.record(LoadSample { at, steps: self.in_flight, streams: self.assigned });
    }

    /// The time of a step by itself: as reported, else as declared; zero for a service.
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
    /// Brings the table in line with the declaration in force, keeping what is known of targets
    /// that stay the same.
    pub fn sync(&mut self, declaration: &Declaration, now: Moment) {
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

    /// Brings the table's time forward.
    pub fn advance(&mut self, now: Moment) {
        self.now = self.now.max(now);
    }

    /// Notes that a step or call was sent.
    pub fn note_sent(&mut self, target: &TargetId) {
        let now = self.now;
        let Some(row) = self.rows.get_mut(target) else { return };
        row.in_flight += 1;
        row.remember_load(now);
    }

    /// Notes that a stream was given to a target, right after the choice.
    pub fn note_assigned(&mut self, target: &TargetId) {
        let now = self.now;
        let Some(row) = self.rows.get_mut(target) else { return };
        row.assigned += 1;
        row.remember_load(now);
    }

    /// Notes that a stream ended or left a target.
    pub fn note_unassigned(&mut self, target: &TargetId) {
        let now = self.now;
        let Some(row) = self.rows.get_mut(target) else { return };
        row.assigned = row.assigned.saturating_sub(1);
        row.remember_load(now);
    }

    /// Notes that a step or call ended, with its time where it was answered.
    pub fn note_ended(&mut self, target: &TargetId, took: Option<Duration>, now: Moment) {
        self.advance(now);
        let Some(row) = self.rows.get_mut(target) else { return };
        row.in_flight = row.in_flight.saturating_sub(1);
        row.remember_load(now);
        let Some(took) = took else { return };
        row.hear(now);
        row.link.record(took, now);
        row.latency = smooth(row.latency, took);
    }

    /// Takes in a load report.
    pub fn note_report(&mut self, target: &TargetId, report: ReportedLoad, now: Moment) {
        self.advance(now);
        let Some(row) = self.rows.get_mut(target) else { return };
        let newer = row.report.as_ref().is_none_or(|old| report.measured > old.measured);
        row.hear(now);
        if newer {
            row.step_time = smooth(row.step_time, report.step_time);
            row.link.fade();
            note_reported(&mut self.reported, target, row);
            row.report = Some(report);
        }
    }

    /// Takes in a load report that a peer passed on. It says nothing about our own link.
    pub fn note_peer_report(&mut self, target: &TargetId, mut report: ReportedLoad) {
        let Some(row) = self.rows.get_mut(target) else { return };
        if let Some(old) = &row.report {
            if report.measured <= old.measured {
                return;
            }
            report.incarnation = old.incarnation.clone();
        }
        note_reported(&mut self.reported, target, row);
        row.report = Some(report);
    }

    /// Takes in one source's word on whether a target is leaving.
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
            LeavingSource::OwnWord => row.leaving.own_word = leaving,
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

fn note_reported(reported: &mut BTreeSet<TargetId>, target: &TargetId, row: &TargetRow) {
    if row.report.is_none() {
        reported.insert(target.clone());
    }
}

fn smooth(known: Duration, sample: Duration) -> Duration {
    if known.is_zero() || sample.is_zero() {
        return known.max(sample);
    }
    (known * (8 - SAMPLE_WEIGHT_EIGHTHS) + sample * SAMPLE_WEIGHT_EIGHTHS) / 8
}

/// Who can say that a target is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeavingSource {
    /// The platform's instance list.
    InstanceList,
    /// The target itself.
    OwnWord,
    /// A peer.
    Peers,
}
