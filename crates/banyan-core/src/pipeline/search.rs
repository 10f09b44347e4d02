//! Computes the candidate chains of each zone: [`find_chains`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::fleet::FleetTable;
use crate::pipeline::model::PipelineModel;
use crate::pipeline::path::PartChoice;
use crate::pipeline::path::StageCandidate;
use crate::pipeline::path::find_path;
use crate::pipeline::suspicion::SuspicionTable;
use crate::pipeline::target_chain::ChainPart;
use crate::pipeline::target_chain::TargetChain;
use crate::units::Moment;

/// Minimum number of searches for chains in one zone.
const MIN_SEARCHES: usize = 4;
/// Largest number of chains kept for one zone.
const MAX_CHAINS: usize = 16;
/// Largest number of engines in a zone that one instance's chains can use. In larger zones,
/// instances prefer different engines.
const MAX_COVERED_ENGINES: usize = 128;
/// Number of distinct cost offsets that an instance assigns to equal engines.
const COST_OFFSETS: u64 = 1_024;
/// [`capacity_paths`] stops using an engine once at most this fraction of its capacity is free.
const MIN_FREE_FRACTION: f64 = 0.1;
/// Factor on the cost of an engine for each chain that already uses it.
const REUSE_FACTOR: f64 = 2.0;
/// Cost added to engines outside the zone while searching a chain for a zone that lacks some
/// layers.
const REMOTE_COST: f64 = 1_000.0;
/// Largest fraction of the layers that a bridged chain may run outside its zone.
const MAX_REMOTE_SHARE: f64 = 0.25;
/// Largest number of bridged chains for one zone.
const MAX_BRIDGED_CHAINS: usize = 2;

/// The best few chains of each zone, or chains over several zones if no zone can form one.
pub(super) fn find_chains(
    model: &PipelineModel,
    service: &ServiceId,
    fleet: &FleetTable,
    suspicions: &SuspicionTable,
    seed: u64,
    now: Moment,
) -> Vec<Arc<TargetChain>> {
    let candidates = candidates(model, service, fleet);
    let select = |keep: &dyn Fn(&TargetId) -> bool| -> Vec<StageCandidate> {
        candidates.iter().filter(|candidate| keep(&candidate.target)).cloned().collect()
    };
    let trusted = select(&|id| !suspicions.is_suspect(id, now));
    let mut chains = chains_by_zone(model, &trusted, seed);
    if !chains.is_empty() {
        chains.extend(bridged_chains(model, &trusted, &chains));
        return chains;
    }
    // Crossing zones costs so much that suspected but reachable engines are preferred over it.
    let reachable = select(&|id| !suspicions.is_unreachable(id, now));
    let chains = chains_by_zone(model, &reachable, seed);
    if !chains.is_empty() {
        return chains;
    }
    let cross_zone_chains = diverse_chains(model, reachable);
    if cross_zone_chains.is_empty() {
        chains_by_zone(model, &candidates, seed)
    } else {
        cross_zone_chains
    }
}

/// The engines that accept requests and hold layers.
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
        let slowdown = row.slowdown();
        candidates.push(StageCandidate {
            target: id.clone(),
            address: row.report.address,
            zone: row.report.zone.clone(),
            held: kept,
            step_factor: kind.step_factor * slowdown,
            prefill_factor: kind.prefill_factor * slowdown,
            search_factor: kind.step_factor * slowdown,
            token_layers: model.token_capacity(kind.memory, row.max_layers_in_memory(), 1).0,
        });
    }
    candidates
}

fn chains_by_zone(
    model: &PipelineModel,
    candidates: &[StageCandidate],
    seed: u64,
) -> Vec<Arc<TargetChain>> {
    let mut zones: BTreeMap<&ZoneId, Vec<StageCandidate>> = BTreeMap::new();
    for candidate in candidates {
        zones.entry(&candidate.zone).or_default().push(candidate.clone());
    }
    let mut chains = Vec::new();
    for mut zone_candidates in zones.into_values() {
        diversify_costs(&mut zone_candidates, seed);
        chains.extend(diverse_chains(model, zone_candidates));
    }
    chains
}

/// Builds chains for zones without a complete chain of their own, with engines of other zones for
/// the layers that are missing.
fn bridged_chains(
    model: &PipelineModel,
    candidates: &[StageCandidate],
    chains: &[Arc<TargetChain>],
) -> Vec<Arc<TargetChain>> {
    let zones: BTreeSet<&ZoneId> = candidates.iter().map(|candidate| &candidate.zone).collect();
    let complete_zones: BTreeSet<&ZoneId> =
        chains.iter().filter_map(|chain| chain.zone.as_ref()).collect();
    let mut bridged = Vec::new();
    for zone in zones.difference(&complete_zones) {
        let mut zone_candidates = candidates.to_vec();
        for candidate in zone_candidates.iter_mut().filter(|candidate| candidate.zone != **zone) {
            candidate.search_factor += REMOTE_COST;
        }
        let limit = (f64::from(model.layers) * MAX_REMOTE_SHARE) as u32;
        for _ in 0..MAX_BRIDGED_CHAINS {
            let Some(parts) = best_chain(model, &zone_candidates) else { break };
            if remote_layers(&zone_candidates, &parts, zone) > limit {
                break;
            }
            raise_cost(&mut zone_candidates, &parts);
            bridged.push(Arc::new(to_chain(model, candidates, &parts)));
        }
    }
    bridged
}

/// The number of layers of a chain that run on engines outside a zone.
fn remote_layers(candidates: &[StageCandidate], parts: &[PartChoice], zone: &ZoneId) -> u32 {
    let remote = parts.iter().filter(|(index, _)| candidates[*index].zone != *zone);
    remote.map(|(_, range)| range.count()).sum()
}

/// Raises the search cost of a chain's engines, so that the next chain prefers others.
fn raise_cost(candidates: &mut [StageCandidate], parts: &[PartChoice]) {
    for (index, _) in parts {
        candidates[*index].search_factor *= REUSE_FACTOR;
    }
}

/// Finds chains that together use the whole capacity, then further distinct ones, raising the cost
/// of engines already in use after each chain.
fn diverse_chains(
    model: &PipelineModel,
    mut candidates: Vec<StageCandidate>,
) -> Vec<Arc<TargetChain>> {
    let mut found: Vec<Arc<TargetChain>> = Vec::new();
    for parts in capacity_paths(model, &candidates) {
        found.push(Arc::new(to_chain(model, &candidates, &parts)));
        raise_cost(&mut candidates, &parts);
    }
    let mut limit = MIN_SEARCHES;
    let mut searches = found.len();
    while searches < limit {
        let Some(parts) = best_chain(model, &candidates) else { break };
        // Search often enough that each engine can be part of a chain.
        limit = limit.max(candidates.len().div_ceil(parts.len())).min(MAX_CHAINS);
        searches += 1;
        let chain = Arc::new(to_chain(model, &candidates, &parts));
        raise_cost(&mut candidates, &parts);
        if !found.iter().any(|known| known.parts == chain.parts) {
            found.push(chain);
        }
    }
    found
}

/// Finds the fastest paths one after another, each through the capacity that the earlier ones left.
/// Where a few fast engines are part of every fast chain, the capacity of all other engines is
/// usable only through chains without them.
fn capacity_paths(model: &PipelineModel, candidates: &[StageCandidate]) -> Vec<Vec<PartChoice>> {
    let mut available = candidates.to_vec();
    let mut free: Vec<f64> =
        available.iter().map(|candidate| candidate.token_layers as f64).collect();
    let mut paths = Vec::new();
    while paths.len() < MAX_CHAINS {
        let Some(parts) = best_chain(model, &available) else { break };
        let free_tokens = |(index, range): &PartChoice| free[*index] / f64::from(range.count());
        let tokens = parts.iter().map(free_tokens).fold(f64::INFINITY, f64::min);
        for (index, range) in &parts {
            free[*index] -= tokens * f64::from(range.count());
            if free[*index] <= MIN_FREE_FRACTION * candidates[*index].token_layers as f64 {
                available[*index].held.clear();
            }
        }
        paths.push(parts);
    }
    paths
}

/// In zones with more engines than one instance's chains can use, gives equal engines different
/// costs per instance, so that the instances together use all of them.
fn diversify_costs(candidates: &mut [StageCandidate], seed: u64) {
    if candidates.len() <= MAX_COVERED_ENGINES {
        return;
    }
    for candidate in candidates {
        let draw = xxhash_rust::xxh3::xxh3_64_with_seed(candidate.target.as_str().as_bytes(), seed);
        let offset = (draw % COST_OFFSETS) as f64 / COST_OFFSETS as f64;
        candidate.search_factor *= 1.0 + offset;
    }
}

/// The path of least cost through all layers.
fn best_chain(model: &PipelineModel, candidates: &[StageCandidate]) -> Option<Vec<PartChoice>> {
    find_path(model, candidates, model.all_layers())
}

/// Builds the chain of the chosen engines. Invariant: `parts` covers all layers in order.
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
            prefill_time: model.prefill_time_per_token(range.count(), candidate.prefill_factor),
        });
    }
    let zone = &candidates[parts[0].0].zone;
    let crosses = |pair: &&[PartChoice]| candidates[pair[0].0].zone != candidates[pair[1].0].zone;
    let crossings = parts.windows(2).filter(crosses).count() as u32;
    TargetChain {
        zone: (crossings == 0).then(|| zone.clone()),
        parts: chain_parts,
        step_time: model.timing.step.mul_f64(step),
        cross_zone_time: model.timing.cross_zone_per_token * crossings,
    }
}
