//! Tracks the load of targets: [`LoadTable`] for requests of this instance, [`PeerLoadTable`] for
//! the loads that other instances report, and [`LoadView`] for both together.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::ids::TargetId;
use crate::pipeline::rejections::RejectionTable;
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

/// The latest report of one peer.
#[derive(Debug)]
struct PeerReport {
    received: Moment,
    loads: BTreeMap<TargetId, TargetLoad>,
    unreachable: Vec<TargetId>,
}

/// The load that all peers with a valid report put on one target.
#[derive(Clone, Copy, Debug, Default)]
struct PeerSum {
    token_layers: u64,
    requests: u64,
}

/// The loads that other instances report.
#[derive(Debug, Default)]
pub struct PeerLoadTable {
    peers: BTreeMap<InstanceId, PeerReport>,
    /// The loads of all peers by target, as of the latest report from any peer.
    sums: BTreeMap<TargetId, PeerSum>,
    /// The targets that rejected requests of this instance for lack of room.
    pub rejections: RejectionTable,
}

impl PeerLoadTable {
    /// Records a peer's report, and drops peers whose reports have expired.
    pub fn record_peer(
        &mut self,
        peer: InstanceId,
        loads: BTreeMap<TargetId, TargetLoad>,
        unreachable: Vec<TargetId>,
        now: Moment,
    ) {
        self.peers.insert(peer, PeerReport { received: now, loads, unreachable });
        self.peers.retain(|_, row| now.since(row.received) < REPORT_VALIDITY);
        self.sums.clear();
        for row in self.peers.values() {
            for (target, load) in &row.loads {
                let sum = self.sums.entry(target.clone()).or_default();
                sum.token_layers += load.token_layers;
                sum.requests += u64::from(load.requests);
            }
        }
    }

    /// The number of peers with a valid report.
    pub fn live_peer_count(&self, now: Moment) -> usize {
        self.peers.values().filter(|row| now.since(row.received) < REPORT_VALIDITY).count()
    }

    /// The lowest name among the peers with a valid report.
    pub fn lowest_live_peer(&self, now: Moment) -> Option<&InstanceId> {
        let fresh =
            |(_, row): &(&InstanceId, &PeerReport)| now.since(row.received) < REPORT_VALIDITY;
        self.peers.iter().find(fresh).map(|(instance, _)| instance)
    }

    /// The targets that some peer reports as unreachable. A target may appear more than once.
    pub fn unreachable(&self, now: Moment) -> impl Iterator<Item = &TargetId> {
        let fresh = move |row: &&PeerReport| now.since(row.received) < REPORT_VALIDITY;
        self.peers.values().filter(fresh).flat_map(|row| &row.unreachable)
    }

    fn sum(&self, id: &TargetId) -> PeerSum {
        self.sums.get(id).copied().unwrap_or_default()
    }
}

/// An estimate of the load that all instances together put on targets.
#[derive(Clone, Copy, Debug)]
pub struct LoadView<'a> {
    /// The load of this instance.
    pub own: &'a LoadTable,
    /// The loads that peers report.
    pub peers: &'a PeerLoadTable,
    /// The number of instances that each reporting peer represents.
    pub peer_scale: f64,
}

impl LoadView<'_> {
    /// Estimates the prompt tokens waiting for prefill at a target. Each of the other instances is
    /// assumed to send as many as this one, since their reports are older than the prefill of a
    /// prompt. `peer_count` is the number of peers with a valid report.
    pub fn pending_prefill(&self, id: &TargetId, peer_count: usize) -> f64 {
        self.own.get(id).pending_prefill as f64 * (1.0 + peer_count as f64 * self.peer_scale)
    }

    /// Estimates the seconds until all prompts in transfer between zones have arrived, under the
    /// same assumption about other instances.
    pub fn cross_zone_wait(&self, peer_count: usize) -> f64 {
        self.own.cross_zone_time.as_secs_f64() * (1.0 + peer_count as f64 * self.peer_scale)
    }

    /// Estimates the active requests at a target: this instance's exactly, and the peers' as they
    /// reported them.
    pub fn requests(&self, id: &TargetId) -> f64 {
        let peers = self.peers.sum(id).requests as f64;
        f64::from(self.own.get(id).requests) + peers * self.peer_scale
    }

    /// Estimates the tokens of requests at a target, times the layers that each runs there. Each
    /// peer is assumed to have added as much as this instance since the last exchange.
    pub fn token_layers(&self, id: &TargetId) -> f64 {
        let unreported = self.own.added_since_baseline(id) * self.peers.peers.len() as u64;
        let peers = (self.peers.sum(id).token_layers + unreported) as f64;
        self.own.get(id).token_layers as f64 + peers * self.peer_scale
    }
}
