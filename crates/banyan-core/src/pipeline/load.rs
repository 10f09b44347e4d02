//! Tracks the load of targets: [`LoadTable`] for requests of this instance, [`PeerLoadTable`] for
//! the loads that other instances report, and [`LoadView`] for both together.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::ids::TargetId;
use crate::units::Moment;
use crate::units::TokenCount;

/// How long a peer's report is valid.
const REPORT_VALIDITY: Duration = Duration::from_millis(2_000);

/// The load that this instance puts on one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// Active requests.
    pub requests: u32,
    /// Active requests for which the target is the first engine of the chain.
    pub first_requests: u32,
    /// Tokens of the active requests, times the layers that each runs on this target.
    pub token_layers: u64,
    /// Prompt tokens of requests without a first event yet.
    pub pending_prefill: u64,
}

/// The load that this instance puts on all targets.
#[derive(Debug, Default)]
pub struct LoadTable {
    rows: BTreeMap<TargetId, TargetLoad>,
    /// The token layers at each target at the last exchange with peers.
    baseline: BTreeMap<TargetId, u64>,
    /// The summed cross-zone transfer time of prompts without a first event yet.
    cross_zone_time: Duration,
}

impl LoadTable {
    /// All targets with a load from this instance.
    pub fn rows(&self) -> impl Iterator<Item = (&TargetId, TargetLoad)> {
        self.rows.iter().map(|(id, load)| (id, *load))
    }

    /// The load of a target; zero if it has none.
    pub fn get(&self, id: &TargetId) -> TargetLoad {
        self.rows.get(id).copied().unwrap_or_default()
    }

    /// Saves the current load as the baseline. Called after an exchange with peers.
    pub fn set_baseline(&mut self) {
        self.baseline =
            self.rows.iter().map(|(id, load)| (id.clone(), load.token_layers)).collect();
    }

    /// The token layers added at a target since the baseline.
    fn added_since_baseline(&self, id: &TargetId) -> u64 {
        let before = self.baseline.get(id).copied().unwrap_or_default();
        self.get(id).token_layers.saturating_sub(before)
    }

    /// Adds one request, which passes through `layers` layers of the target. `first` tells whether
    /// the target is the first engine of its chain.
    pub fn add(&mut self, id: &TargetId, tokens: TokenCount, layers: u32, first: bool) {
        let row = self.rows.entry(id.clone()).or_default();
        row.requests += 1;
        row.first_requests += u32::from(first);
        row.token_layers += tokens.0 * u64::from(layers);
    }

    /// Adds a prompt that this target has to prefill.
    pub fn add_pending_prefill(&mut self, id: &TargetId, prompt: TokenCount) {
        self.rows.entry(id.clone()).or_default().pending_prefill += prompt.0;
    }

    /// Removes a prompt that has been prefilled, or whose request has ended.
    pub fn remove_pending_prefill(&mut self, id: &TargetId, prompt: TokenCount) {
        if let Some(row) = self.rows.get_mut(id) {
            row.pending_prefill = row.pending_prefill.saturating_sub(prompt.0);
        }
    }

    /// Adds the cross-zone transfer time of a prompt.
    pub fn add_cross_zone_time(&mut self, time: Duration) {
        self.cross_zone_time += time;
    }

    /// Removes a cross-zone transfer time that was added before.
    pub fn remove_cross_zone_time(&mut self, time: Duration) {
        self.cross_zone_time = self.cross_zone_time.saturating_sub(time);
    }

    /// Removes one request that was added with the same arguments.
    pub fn remove(&mut self, id: &TargetId, tokens: TokenCount, layers: u32, first: bool) {
        let Some(row) = self.rows.get_mut(id) else { return };
        row.requests = row.requests.saturating_sub(1);
        row.first_requests = row.first_requests.saturating_sub(u32::from(first));
        row.token_layers = row.token_layers.saturating_sub(tokens.0 * u64::from(layers));
        if row.requests == 0 && row.pending_prefill == 0 {
            self.rows.remove(id);
        }
    }
}

/// What a peer reports.
#[derive(Clone, Debug, Default)]
pub struct PeerReport {
    /// Whether the peer is in the zone of this instance.
    pub is_local: bool,
    /// The load that the peer puts on each target.
    pub loads: BTreeMap<TargetId, TargetLoad>,
    /// The targets that the peer cannot reach.
    pub unreachable: Vec<TargetId>,
}

#[derive(Debug)]
struct PeerRow {
    received: Moment,
    report: PeerReport,
}

/// The summed load of the peers of the own zone and of the other zones at one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct SummedLoad {
    local: u64,
    remote: u64,
}

impl SummedLoad {
    fn part(&mut self, is_local: bool) -> &mut u64 {
        if is_local { &mut self.local } else { &mut self.remote }
    }
}

/// The loads that other instances report.
#[derive(Debug, Default)]
pub struct PeerLoadTable {
    peers: BTreeMap<InstanceId, PeerRow>,
    /// Invariant: for each target, the token layers of all rows of `peers`.
    sums: BTreeMap<TargetId, SummedLoad>,
}

impl PeerLoadTable {
    /// Records a peer's report, and drops peers whose reports have expired.
    pub fn record_peer(&mut self, peer: InstanceId, report: PeerReport, now: Moment) {
        let expired = |row: &PeerRow| now.since(row.received) >= REPORT_VALIDITY;
        let mut dropped: Vec<InstanceId> =
            self.peers.iter().filter(|(_, row)| expired(row)).map(|(id, _)| id.clone()).collect();
        dropped.push(peer.clone());
        for id in &dropped {
            self.remove_peer(id);
        }
        for (target, load) in &report.loads {
            let sum = self.sums.entry(target.clone()).or_default();
            *sum.part(report.is_local) += load.token_layers;
        }
        self.peers.insert(peer, PeerRow { received: now, report });
    }

    fn remove_peer(&mut self, peer: &InstanceId) {
        let Some(row) = self.peers.remove(peer) else { return };
        for (target, load) in &row.report.loads {
            let Some(sum) = self.sums.get_mut(target) else { continue };
            *sum.part(row.report.is_local) -= load.token_layers;
            if *sum == SummedLoad::default() {
                self.sums.remove(target);
            }
        }
    }

    /// The number of peers with a valid report.
    pub fn live_peer_count(&self, now: Moment) -> usize {
        self.live_rows(now).count()
    }

    /// The number of peers of the own zone with a valid report.
    pub fn live_local_count(&self, now: Moment) -> usize {
        self.live_rows(now).filter(|(_, row)| row.report.is_local).count()
    }

    fn live_rows(&self, now: Moment) -> impl Iterator<Item = (&InstanceId, &PeerRow)> {
        self.peers.iter().filter(move |(_, row)| now.since(row.received) < REPORT_VALIDITY)
    }

    /// The lowest name among the peers with a valid report.
    pub fn lowest_live_peer(&self, now: Moment) -> Option<&InstanceId> {
        self.live_rows(now).next().map(|(instance, _)| instance)
    }

    /// The targets that some peer reports as unreachable. A target may appear more than once.
    pub fn unreachable(&self, now: Moment) -> impl Iterator<Item = &TargetId> {
        self.live_rows(now).flat_map(|(_, row)| &row.report.unreachable)
    }

    fn summed(&self, id: &TargetId) -> SummedLoad {
        self.sums.get(id).copied().unwrap_or_default()
    }

    /// The number of peers of the own zone and of other zones.
    fn counts(&self) -> (usize, usize) {
        let local = self.peers.values().filter(|row| row.report.is_local).count();
        (local, self.peers.len() - local)
    }
}

/// How the reports of peers are extended to all instances. Instances hear more often from peers of
/// their own zone, and use its engines more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerScale {
    /// How many instances each reporting peer of the own zone stands for.
    pub local: f64,
    /// How many instances each reporting peer of another zone stands for.
    pub remote: f64,
    /// The share of the instances of the own zone that consider the same engines.
    pub local_overlap: f64,
    /// The share of the instances of other zones that consider the same engines.
    pub remote_overlap: f64,
}

impl Default for PeerScale {
    fn default() -> Self {
        Self { local: 1.0, remote: 1.0, local_overlap: 1.0, remote_overlap: 1.0 }
    }
}

/// An estimate of the load that all instances together put on targets.
#[derive(Clone, Copy, Debug)]
pub struct LoadView<'a> {
    /// The load of this instance.
    pub own: &'a LoadTable,
    /// The loads that peers report.
    pub peers: &'a PeerLoadTable,
    /// How many instances each reporting peer stands for.
    pub scale: PeerScale,
}

impl LoadView<'_> {
    /// Estimates the prompt tokens waiting for prefill at a target. Each of the other instances
    /// that consider it is assumed to send as many as this one, since their reports are older than
    /// the prefill of a prompt.
    pub fn pending_prefill(&self, id: &TargetId) -> f64 {
        self.own.get(id).pending_prefill as f64 * (1.0 + self.others_at_target())
    }

    /// Estimates the seconds until all prompts in transfer between zones have arrived. Each of the
    /// other instances is assumed to send as many as this one.
    pub fn cross_zone_wait(&self) -> f64 {
        let (local, remote) = self.peers.counts();
        let others = local as f64 * self.scale.local + remote as f64 * self.scale.remote;
        self.own.cross_zone_time.as_secs_f64() * (1.0 + others)
    }

    /// Estimates the tokens of requests at a target, times the layers that each runs there. Each of
    /// the other instances that consider it is assumed to have added as much as this one since the
    /// last exchange.
    pub fn token_layers(&self, id: &TargetId) -> f64 {
        let own = self.own.get(id).token_layers as f64;
        let added = self.own.added_since_baseline(id) as f64 * self.others_at_target();
        let reported = self.peers.summed(id);
        let local = reported.local as f64 * self.scale.local;
        let remote = reported.remote as f64 * self.scale.remote;
        own + added + local + remote
    }

    /// The number of other instances that consider a target which this one considers.
    fn others_at_target(&self) -> f64 {
        let (local, remote) = self.peers.counts();
        let scale = &self.scale;
        let local = local as f64 * scale.local * scale.local_overlap;
        local + remote as f64 * scale.remote * scale.remote_overlap
    }
}
