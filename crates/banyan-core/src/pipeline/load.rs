//! What requests take up at each target: [`LoadTable`] for this instance's, [`PeerLoadTable`] for what
//! other instances tell of theirs, [`LoadView`] for all together.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::ids::TargetId;
use crate::units::Moment;
use crate::units::TokenCount;

/// The time for which what a peer said counts.
const PEER_LOAD_TIME: Duration = Duration::from_millis(2_000);

/// What this instance has under way at one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// Requests under way.
    pub requests: u32,
    /// Requests under way for which the target is the first of the chain.
    pub first_requests: u32,
    /// Tokens of those requests, times the layers that they pass through here.
    pub token_layers: u64,
    /// Prompt tokens of requests that have given no event yet.
    pub pending_prefill: u64,
}

/// What this instance has under way, by target.
#[derive(Debug, Default)]
pub struct LoadTable {
    rows: BTreeMap<TargetId, TargetLoad>,
    /// The token layers at each target when peers were last heard.
    marks: BTreeMap<TargetId, u64>,
    /// The time that prompts which have given no event yet take over the boundaries of zones.
    cross_zone_time: Duration,
}

impl LoadTable {
    /// All targets at which something is under way.
    pub fn rows(&self) -> impl Iterator<Item = (&TargetId, TargetLoad)> {
        self.rows.iter().map(|(id, load)| (id, *load))
    }

    /// What is under way at a target.
    pub fn get(&self, id: &TargetId) -> TargetLoad {
        self.rows.get(id).copied().unwrap_or_default()
    }

    /// Remembers what is under way now, as peers have just been heard.
    pub fn set_baseline(&mut self) {
        self.marks = self.rows.iter().map(|(id, load)| (id.clone(), load.token_layers)).collect();
    }

    /// The token layers that were added at a target since peers were last heard.
    fn grown(&self, id: &TargetId) -> u64 {
        let before = self.marks.get(id).copied().unwrap_or_default();
        self.get(id).token_layers.saturating_sub(before)
    }

    /// Adds one request.
    pub fn add(&mut self, id: &TargetId, tokens: TokenCount, layers: u32, first: bool) {
        let row = self.rows.entry(id.clone()).or_default();
        row.requests += 1;
        row.first_requests += u32::from(first);
        row.token_layers += tokens.0 * u64::from(layers);
    }

    /// Adds a prompt that has to be read here.
    pub fn add_pending_prefill(&mut self, id: &TargetId, prompt: TokenCount) {
        self.rows.entry(id.clone()).or_default().pending_prefill += prompt.0;
    }

    /// Takes a prompt away that has been read, or whose request has ended.
    pub fn remove_pending_prefill(&mut self, id: &TargetId, prompt: TokenCount) {
        if let Some(row) = self.rows.get_mut(id) {
            row.pending_prefill = row.pending_prefill.saturating_sub(prompt.0);
        }
    }

    /// Adds the time that a prompt takes over the boundaries of zones.
    pub fn add_cross_zone_time(&mut self, time: Duration) {
        self.cross_zone_time += time;
    }

    /// Takes such a time away that was added.
    pub fn remove_cross_zone_time(&mut self, time: Duration) {
        self.cross_zone_time = self.cross_zone_time.saturating_sub(time);
    }

    /// Takes one request away that was added with the same figures.
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

/// What one peer said.
#[derive(Debug)]
struct PeerRow {
    heard: Moment,
    loads: BTreeMap<TargetId, TargetLoad>,
    unreachable: Vec<TargetId>,
}

/// What other instances say that they have under way.
#[derive(Debug, Default)]
pub struct PeerLoadTable {
    peers: BTreeMap<InstanceId, PeerRow>,
    /// The token layers of all peers that count, by target.
    sums: BTreeMap<TargetId, u64>,
}

impl PeerLoadTable {
    /// Takes in what a peer says.
    pub fn record_peer(
        &mut self,
        peer: InstanceId,
        loads: BTreeMap<TargetId, TargetLoad>,
        unreachable: Vec<TargetId>,
        now: Moment,
    ) {
        self.peers.insert(peer, PeerRow { heard: now, loads, unreachable });
        self.peers.retain(|_, row| now.since(row.heard) < PEER_LOAD_TIME);
        self.sums.clear();
        for row in self.peers.values() {
            for (target, load) in &row.loads {
                *self.sums.entry(target.clone()).or_default() += load.token_layers;
            }
        }
    }

    /// The peers whose word counts now.
    pub fn live_peer_count(&self, now: Moment) -> usize {
        self.peers.values().filter(|row| now.since(row.heard) < PEER_LOAD_TIME).count()
    }

    /// The lowest name among the peers whose word counts now.
    pub fn lowest_live_peer(&self, now: Moment) -> Option<&InstanceId> {
        let fresh = |(_, row): &(&InstanceId, &PeerRow)| now.since(row.heard) < PEER_LOAD_TIME;
        self.peers.iter().find(fresh).map(|(instance, _)| instance)
    }

    /// The targets that some peer cannot reach.
    pub fn unreachable(&self, now: Moment) -> impl Iterator<Item = &TargetId> {
        let fresh = move |row: &&PeerRow| now.since(row.heard) < PEER_LOAD_TIME;
        self.peers.values().filter(fresh).flat_map(|row| &row.unreachable)
    }

    fn token_layers(&self, id: &TargetId) -> u64 {
        self.sums.get(id).copied().unwrap_or_default()
    }
}

/// What all instances have under way, as far as this one can tell.
#[derive(Clone, Copy, Debug)]
pub struct LoadView<'a> {
    /// This instance's part.
    pub own: &'a LoadTable,
    /// What peers say.
    pub peers: &'a PeerLoadTable,
    /// How many instances each peer that was heard stands for.
    pub peer_scale: f64,
}

impl LoadView<'_> {
    /// Prompt tokens that are about to be read at a target. The other instances are taken to send as
    /// many as this one, since what they say is older than a prompt takes.
    pub fn pending_prefill(&self, id: &TargetId, heard: usize) -> f64 {
        self.own.get(id).pending_prefill as f64 * (1.0 + heard as f64 * self.peer_scale)
    }

    /// The time until all prompts have passed that are on their way over boundaries of zones, with the
    /// same guess of what other instances send.
    pub fn cross_zone_wait(&self, heard: usize) -> f64 {
        self.own.cross_zone_time.as_secs_f64() * (1.0 + heard as f64 * self.peer_scale)
    }

    /// Tokens of requests at a target, times the layers that they pass through there. The other
    /// instances are taken to have added as much as this one since they were heard.
    pub fn token_layers(&self, id: &TargetId) -> f64 {
        let unheard = self.own.grown(id) * self.peers.peers.len() as u64;
        let peers = (self.peers.token_layers(id) + unheard) as f64;
        self.own.get(id).token_layers as f64 + peers * self.peer_scale
    }
}
