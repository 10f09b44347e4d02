//! The search for chains: [`find_chains`] for new requests, [`find_path`] for some layers of a chain.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::ids::LayerRange;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::chain::ChainPart;
use crate::pipeline::chain::TargetChain;
use crate::pipeline::fleet::FleetTable;
use crate::pipeline::model::PipelineModel;
use crate::pipeline::suspicion::SuspicionTable;
use crate::units::Moment;

/// The most chains that are kept for one zone.
const CHAINS_FOR_ZONE: usize = 4;
/// How much dearer an engine becomes for the next chain once a chain uses it.
const REUSE_FACTOR: f64 = 2.0;
/// What a hand-over between two engines costs, as a part of the whole model's step.
const HOP_COST: f64 = 0.01;

/// An engine that may stand in a chain.
#[derive(Clone, Debug)]
pub(super) struct StageCandidate {
    /// The engine.
    pub(super) target: TargetId,
    address: SocketAddr,
    /// Its availability zone.
    pub(super) zone: ZoneId,
    /// The layers that it holds and goes on holding.
    pub(super) held: Vec<LayerRange>,
    step_factor: f64,
    read_factor: f64,
    /// The step factor as it counts in the search, dearer once a chain uses the engine.
    search_factor: f64,
    /// What it has room for: tokens of requests times layers.
    pub(super) token_layers: u64,
}

/// The best few chains of each zone, or those over several zones where no zone has one.
pub(super) fn find_chains(
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

/// The engines that take work and hold layers.
pub(super) fn candidates(
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
pub(super) type PartChoice = (usize, LayerRange);

/// The chain of least time through all layers.
fn best_chain(model: &PipelineModel, candidates: &[StageCandidate]) -> Option<Vec<PartChoice>> {
    find_path(model, candidates, model.all_layers())
}

/// The engines that run the layers of `span` in the least time, each of them once.
pub(super) fn find_path(
    model: &PipelineModel,
    candidates: &[StageCandidate],
    span: LayerRange,
) -> Option<Vec<PartChoice>> {
    let parts = shortest_path(model, candidates, span, false)?;
    let distinct: BTreeSet<usize> = parts.iter().map(|(index, _)| *index).collect();
    if distinct.len() == parts.len() {
        return Some(parts);
    }
    // An engine whose part always runs to the end of its layers cannot be met again further on.
    shortest_path(model, candidates, span, true)
}

/// The shortest path over the layers at which some engine begins or ends.
fn shortest_path(
    model: &PipelineModel,
    candidates: &[StageCandidate],
    span: LayerRange,
    whole_parts: bool,
) -> Option<Vec<PartChoice>> {
    let mut cuts: BTreeSet<u32> = BTreeSet::from([span.first, span.end]);
    for range in candidates.iter().flat_map(|candidate| &candidate.held) {
        cuts.insert(range.first.clamp(span.first, span.end));
        cuts.insert(range.end.clamp(span.first, span.end));
    }
    let mut reached: BTreeMap<u32, (f64, Option<PartChoice>)> =
        BTreeMap::from([(span.first, (0.0, None))]);
    for cut in &cuts {
        let Some((cost, _)) = reached.get(cut).copied() else { continue };
        for (index, candidate) in candidates.iter().enumerate() {
            let Some(held) = candidate.held.iter().find(|range| covers(range, *cut)) else {
                continue;
            };
            let last = held.end.min(span.end);
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
    walk_back(&reached, span)
}

fn covers(range: &LayerRange, layer: u32) -> bool {
    range.first <= layer && layer < range.end
}

fn walk_back(
    reached: &BTreeMap<u32, (f64, Option<PartChoice>)>,
    span: LayerRange,
) -> Option<Vec<PartChoice>> {
    let mut parts = Vec::new();
    let mut at = span.end;
    while at > span.first {
        let (_, step) = reached.get(&at)?;
        let (index, range) = (*step)?;
        parts.push((index, range));
        at = range.first;
    }
    parts.reverse();
    Some(parts)
}

/// The chain of engines that run these layers. Invariant: `parts` covers all layers in order.
pub(super) fn to_chain(
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
