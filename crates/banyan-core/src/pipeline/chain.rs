//! Which engines serve a request: [`ChainPool`], the chains that are worth using now.
//!
//! A chain covers all layers in order, each by one engine. [`ChainPool::refresh`] finds the best few
//! chains of each availability zone whenever the fleet or the doubts have changed;
//! [`ChainPool::choose`] then picks one for a request by what is under way. Chains stay inside one
//! zone, since every token's activations cross each boundary between engines; a chain over several
//! zones is built only where no zone holds all layers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::LayerRange;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::fleet::FleetTable;
use crate::pipeline::load::LoadView;
use crate::pipeline::model::PipelineModel;
use crate::pipeline::suspicion::SuspicionTable;
use crate::units::Moment;
use crate::units::TokenCount;

/// The most chains that are kept for one zone.
const CHAINS_FOR_ZONE: usize = 4;
/// How much dearer an engine becomes for the next chain once a chain uses it.
const REUSE_FACTOR: f64 = 2.0;
/// What a hand-over between two engines costs, as a part of the whole model's step.
const HOP_COST: f64 = 0.01;
/// Token steps that pass before a first event reaches the caller.
const FIRST_STEPS: f64 = 3.0;
/// How much longer a chain in another zone may take before the nearer one is chosen.
const FAR_FACTOR: f64 = 1.15;
/// How full a chain may be. Requests take up less than they are counted for, since an answer fills
/// its room only at its end.
const FULLEST: f64 = 1.1;
/// How much longer a chain counts as taking when it is full.
const CROWDED_FACTOR: f64 = 1.5;

/// One engine's part of a chain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChainPart {
    /// The engine.
    pub target: TargetId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The layers that it runs.
    pub range: LayerRange,
    /// What it has room for: tokens of requests times layers.
    pub token_layers: u64,
    /// The time that it takes to read one token of a prompt through its layers.
    pub read_time: Duration,
}

/// Engines that run all layers of a model in order.
///
/// Invariant: the parts' ranges follow each other without gap or overlap from the first layer to the
/// last, and no engine stands in the chain twice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetChain {
    /// The zone of all its engines, or `None` where they lie in several.
    pub zone: Option<ZoneId>,
    /// The parts in order.
    pub parts: Vec<ChainPart>,
    /// The time of one token step without other requests.
    pub step_time: Duration,
}

/// How many tokens a request is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestSize {
    /// Tokens that are read before the first event.
    pub prompt: TokenCount,
    /// Tokens that it takes up in the end.
    pub total: TokenCount,
}

impl TargetChain {
    /// Whether one of the targets is in the chain.
    pub fn uses_any(&self, targets: &[TargetId]) -> bool {
        self.parts.iter().any(|part| targets.contains(&part.target))
    }

    /// The time until the first event of a request, by what is waiting to be read.
    pub fn first_event_time(&self, loads: &LoadView<'_>, prompt: TokenCount, heard: usize) -> f64 {
        let mut reading = 0.0;
        let mut waiting: f64 = 0.0;
        for part in &self.parts {
            let token_time = part.read_time.as_secs_f64();
            reading += token_time * prompt.0 as f64;
            waiting = waiting.max(token_time * loads.unread(&part.target, heard));
        }
        reading + waiting + FIRST_STEPS * self.step_time.as_secs_f64()
    }

    /// How full the fullest engine would be with `tokens` more; one is full.
    pub fn fullness(&self, loads: &LoadView<'_>, tokens: TokenCount) -> f64 {
        let part_fullness = |part: &ChainPart| {
            let used = loads.token_layers(&part.target);
            let asked = (tokens.0 * u64::from(part.range.count())) as f64;
            (used + asked) / part.token_layers.max(1) as f64
        };
        self.parts.iter().map(part_fullness).fold(0.0, f64::max)
    }
}

/// An engine that may stand in a chain.
#[derive(Clone, Debug)]
struct StageCandidate {
    target: TargetId,
    address: SocketAddr,
    zone: ZoneId,
    held: Vec<LayerRange>,
    step_factor: f64,
    read_factor: f64,
    /// The step factor as it counts in the search, dearer once a chain uses the engine.
    search_factor: f64,
    token_layers: u64,
}

/// What a pool was computed from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct PoolBasis {
    fleet: u64,
    suspicions: u64,
    version: u64,
    until: Option<Moment>,
}

/// The chain that was chosen for a request, and why.
#[derive(Clone, Debug)]
pub struct ChainChoice {
    /// The chain.
    pub chain: Arc<TargetChain>,
    /// How full its fullest engine will be; one is full.
    pub fullness: f64,
    /// The time until the first event that is expected.
    pub first_event: Duration,
}

/// The chains of one service that are worth using.
#[derive(Debug, Default)]
pub struct ChainPool {
    chains: Vec<Arc<TargetChain>>,
    basis: PoolBasis,
}

impl ChainPool {
    /// The chains, those of one zone next to each other.
    pub fn chains(&self) -> &[Arc<TargetChain>] {
        &self.chains
    }

    /// Computes the chains anew if anything has changed that they depend on; tells whether it did.
    pub fn refresh(
        &mut self,
        model: &PipelineModel,
        service: &ServiceId,
        version: u64,
        fleet: &FleetTable,
        suspicions: &SuspicionTable,
        now: Moment,
    ) -> bool {
        let stale = self.basis.until.is_some_and(|until| until <= now);
        let same = self.basis.fleet == fleet.revision
            && self.basis.suspicions == suspicions.revision
            && self.basis.version == version;
        if same && !stale {
            return false;
        }
        self.basis = PoolBasis {
            fleet: fleet.revision,
            suspicions: suspicions.revision,
            version,
            until: suspicions.next_end(now),
        };
        self.chains = find_chains(model, service, fleet, suspicions, now);
        true
    }

    /// Chooses the chain that gives a request its first event soonest; one that uses one of `avoided` or
    /// has no room is never chosen. `heard` is the number of peers whose load is known.
    pub fn choose(
        &self,
        loads: &LoadView<'_>,
        zone: &ZoneId,
        size: RequestSize,
        heard: usize,
        avoided: &[TargetId],
    ) -> Option<ChainChoice> {
        let mut best: Option<(f64, ChainChoice)> = None;
        for chain in &self.chains {
            if chain.uses_any(avoided) {
                continue;
            }
            let fullness = chain.fullness(loads, size.total);
            if fullness > FULLEST {
                continue;
            }
            let near = chain.zone.as_ref() == Some(zone);
            let distance = if near { 1.0 } else { FAR_FACTOR };
            let crowding = 1.0 + CROWDED_FACTOR * fullness * fullness;
            let first_event = chain.first_event_time(loads, size.prompt, heard);
            let score = first_event * distance * crowding;
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                let first_event = Duration::from_secs_f64(first_event);
                let chain = chain.clone();
                best = Some((score, ChainChoice { chain, fullness, first_event }));
            }
        }
        best.map(|(_, choice)| choice)
    }
}

/// The best few chains of each zone, or those over several zones where no zone has one.
fn find_chains(
    model: &PipelineModel,
    service: &ServiceId,
    fleet: &FleetTable,
    suspicions: &SuspicionTable,
    now: Moment,
) -> Vec<Arc<TargetChain>> {
    let candidates = candidates(model, service, fleet);
    let select = |keep: &dyn Fn(&TargetId) -> bool| -> Vec<StageCandidate> {
        candidates.iter().filter(|candidate| keep(&candidate.target)).cloned().collect()
    };
    let chains = chains_by_zone(model, &select(&|id| !suspicions.is_doubted(id, now)));
    if !chains.is_empty() {
        return chains;
    }
    // A chain over several zones is so dear that engines which are only doubted come before it.
    let reachable = select(&|id| !suspicions.is_unreachable(id, now));
    let chains = chains_by_zone(model, &reachable);
    if !chains.is_empty() {
        return chains;
    }
    let crossing = several_chains(model, reachable);
    if crossing.is_empty() { chains_by_zone(model, &candidates) } else { crossing }
}

fn candidates(
    model: &PipelineModel,
    service: &ServiceId,
    fleet: &FleetTable,
) -> Vec<StageCandidate> {
    let mut candidates = Vec::new();
    for (id, row) in fleet.of_service(service) {
        let kept = row.kept_layers();
        if !row.takes_work() || kept.is_empty() {
            continue;
        }
        let Some(kind) = row.report.kind.as_ref().and_then(|kind| model.kinds.get(kind)) else {
            continue;
        };
        let held: u32 = row.report.held.iter().map(|range| range.count()).sum();
        candidates.push(StageCandidate {
            target: id.clone(),
            address: row.report.address,
            zone: row.report.zone.clone(),
            held: kept,
            step_factor: kind.step_factor,
            read_factor: kind.read_factor,
            search_factor: kind.step_factor,
            token_layers: model.token_room(kind.memory, held, 1).0,
        });
    }
    candidates
}

fn chains_by_zone(model: &PipelineModel, candidates: &[StageCandidate]) -> Vec<Arc<TargetChain>> {
    let mut zones: BTreeMap<&ZoneId, Vec<StageCandidate>> = BTreeMap::new();
    for candidate in candidates {
        zones.entry(&candidate.zone).or_default().push(candidate.clone());
    }
    zones.into_values().flat_map(|of_zone| several_chains(model, of_zone)).collect()
}

/// Finds one chain after the other, each time making the engines dearer that are used already.
fn several_chains(
    model: &PipelineModel,
    mut candidates: Vec<StageCandidate>,
) -> Vec<Arc<TargetChain>> {
    let mut found: Vec<Arc<TargetChain>> = Vec::new();
    for _ in 0..CHAINS_FOR_ZONE {
        let Some(parts) = best_chain(model, &candidates) else { break };
        let chain = Arc::new(to_chain(model, &candidates, &parts));
        for (index, _) in &parts {
            candidates[*index].search_factor *= REUSE_FACTOR;
        }
        if !found.iter().any(|known| known.parts == chain.parts) {
            found.push(chain);
        }
    }
    found
}

/// The index of a candidate and the layers that it runs.
type PartChoice = (usize, LayerRange);

/// The chain of least time, by the shortest path over the layers at which some engine begins or ends.
fn best_chain(model: &PipelineModel, candidates: &[StageCandidate]) -> Option<Vec<PartChoice>> {
    let parts = shortest_path(model, candidates, false)?;
    let distinct: BTreeSet<usize> = parts.iter().map(|(index, _)| *index).collect();
    if distinct.len() == parts.len() {
        return Some(parts);
    }
    // An engine whose part always runs to the end of its layers cannot be met again further on.
    shortest_path(model, candidates, true)
}

fn shortest_path(
    model: &PipelineModel,
    candidates: &[StageCandidate],
    whole_parts: bool,
) -> Option<Vec<PartChoice>> {
    let mut cuts: BTreeSet<u32> = BTreeSet::from([0, model.layers]);
    for range in candidates.iter().flat_map(|candidate| &candidate.held) {
        cuts.insert(range.first.min(model.layers));
        cuts.insert(range.end.min(model.layers));
    }
    let mut reached: BTreeMap<u32, (f64, Option<PartChoice>)> = BTreeMap::from([(0, (0.0, None))]);
    for cut in &cuts {
        let Some((cost, _)) = reached.get(cut).copied() else { continue };
        for (index, candidate) in candidates.iter().enumerate() {
            let Some(held) = candidate.held.iter().find(|range| covers(range, *cut)) else {
                continue;
            };
            let last = held.end.min(model.layers);
            let first_end = if whole_parts { last } else { cut + 1 };
            for end in cuts.range(first_end..=last) {
                let range = LayerRange { first: *cut, end: *end };
                let time = model.share(range.count()) * candidate.search_factor + HOP_COST;
                let total = cost + time;
                if reached.get(end).is_none_or(|(least, _)| total < *least) {
                    reached.insert(*end, (total, Some((index, range))));
                }
            }
        }
    }
    walk_back(&reached, model.layers)
}

fn covers(range: &LayerRange, layer: u32) -> bool {
    range.first <= layer && layer < range.end
}

fn walk_back(
    reached: &BTreeMap<u32, (f64, Option<PartChoice>)>,
    layers: u32,
) -> Option<Vec<PartChoice>> {
    let mut parts = Vec::new();
    let mut at = layers;
    while at > 0 {
        let (_, step) = reached.get(&at)?;
        let (index, range) = (*step)?;
        parts.push((index, range));
        at = range.first;
    }
    parts.reverse();
    Some(parts)
}

fn to_chain(
    model: &PipelineModel,
    candidates: &[StageCandidate],
    parts: &[PartChoice],
) -> TargetChain {
    let mut step = 0.0;
    let mut chain_parts = Vec::with_capacity(parts.len());
    for (index, range) in parts {
        let candidate = &candidates[*index];
        step += model.share(range.count()) * candidate.step_factor;
        chain_parts.push(ChainPart {
            target: candidate.target.clone(),
            address: candidate.address,
            range: *range,
            token_layers: candidate.token_layers,
            read_time: model.token_read_time(range.count(), candidate.read_factor),
        });
    }
    let zone = &candidates[parts[0].0].zone;
    let one_zone = parts.iter().all(|(index, _)| candidates[*index].zone == *zone);
    TargetChain {
        zone: one_zone.then(|| zone.clone()),
        parts: chain_parts,
        step_time: model.timing.step.mul_f64(step),
    }
}
