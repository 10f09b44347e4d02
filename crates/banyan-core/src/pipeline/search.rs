//! Which chains are worth using: [`find_chains`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::chain::ChainPart;
use crate::pipeline::chain::TargetChain;
use crate::pipeline::fleet::FleetTable;
use crate::pipeline::model::PipelineModel;
use crate::pipeline::path::PartChoice;
use crate::pipeline::path::StageCandidate;
use crate::pipeline::path::find_path;
use crate::pipeline::suspicion::SuspicionTable;
use crate::units::Moment;

/// Chains that are looked for in one zone at least.
const CHAINS_AT_LEAST: usize = 4;
/// The most chains that are kept for one zone.
const CHAINS_AT_MOST: usize = 16;
/// With as many engines in a zone, the most chains that are kept can use about all of them.
const ENGINES_FOR_ALL: usize = 128;
/// Steps in which equal engines differ for an instance.
const SPREAD_STEPS: u64 = 1_024;
/// The part of its room with which an engine is of no more use to another chain.
const LEAST_ROOM: f64 = 0.1;
/// How much dearer an engine becomes for the next chain once a chain uses it.
const REUSE_FACTOR: f64 = 2.0;
/// How much dearer all layers become elsewhere for a chain of a zone that lacks only some.
const FOREIGN_COST: f64 = 1_000.0;
/// The largest part of the layers that such a chain may run elsewhere.
const FOREIGN_SHARE: f64 = 0.25;
/// The most such chains for one zone.
const BRIDGES_FOR_ZONE: usize = 2;

/// The best few chains of each zone, or those over several zones where no zone has one.
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
    // A chain over several zones is so dear that engines which are only doubted come before it.
    let reachable = select(&|id| !suspicions.is_unreachable(id, now));
    let chains = chains_by_zone(model, &reachable, seed);
    if !chains.is_empty() {
        return chains;
    }
    let crossing = several_chains(model, reachable);
    if crossing.is_empty() { chains_by_zone(model, &candidates, seed) } else { crossing }
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
        let slowdown = row.slowdown();
        candidates.push(StageCandidate {
            target: id.clone(),
            address: row.report.address,
            zone: row.report.zone.clone(),
            held: kept,
            step_factor: kind.step_factor * slowdown,
            prefill_factor: kind.prefill_factor * slowdown,
            search_factor: kind.step_factor * slowdown,
            token_layers: model.token_room(kind.memory, row.most_layers(), 1).0,
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
    for mut of_zone in zones.into_values() {
        spread_choice(&mut of_zone, seed);
        chains.extend(several_chains(model, of_zone));
    }
    chains
}

/// Chains of the zones that have none of their own: engines elsewhere run the layers that they lack.
fn bridged_chains(
    model: &PipelineModel,
    candidates: &[StageCandidate],
    chains: &[Arc<TargetChain>],
) -> Vec<Arc<TargetChain>> {
    let zones: BTreeSet<&ZoneId> = candidates.iter().map(|candidate| &candidate.zone).collect();
    let whole: BTreeSet<&ZoneId> = chains.iter().filter_map(|chain| chain.zone.as_ref()).collect();
    let mut bridged = Vec::new();
    for zone in zones.difference(&whole) {
        let mut of_zone = candidates.to_vec();
        for candidate in of_zone.iter_mut().filter(|candidate| candidate.zone != **zone) {
            candidate.search_factor += FOREIGN_COST;
        }
        let most = (f64::from(model.layers) * FOREIGN_SHARE) as u32;
        for _ in 0..BRIDGES_FOR_ZONE {
            let Some(parts) = best_chain(model, &of_zone) else { break };
            if foreign_layers(&of_zone, &parts, zone) > most {
                break;
            }
            make_dearer(&mut of_zone, &parts);
            bridged.push(Arc::new(to_chain(model, candidates, &parts)));
        }
    }
    bridged
}

/// The layers of a chain that engines outside a zone run.
fn foreign_layers(candidates: &[StageCandidate], parts: &[PartChoice], zone: &ZoneId) -> u32 {
    let foreign = parts.iter().filter(|(index, _)| candidates[*index].zone != *zone);
    foreign.map(|(_, range)| range.count()).sum()
}

/// Makes the engines of a chain dearer for the next one.
fn make_dearer(candidates: &mut [StageCandidate], parts: &[PartChoice]) {
    for (index, _) in parts {
        candidates[*index].search_factor *= REUSE_FACTOR;
    }
}

/// Chains that can fill all the room there is, and after them some that differ, each time making the
/// engines dearer that are used already.
fn several_chains(
    model: &PipelineModel,
    mut candidates: Vec<StageCandidate>,
) -> Vec<Arc<TargetChain>> {
    let mut found: Vec<Arc<TargetChain>> = Vec::new();
    for parts in filling_paths(model, &candidates) {
        found.push(Arc::new(to_chain(model, &candidates, &parts)));
        make_dearer(&mut candidates, &parts);
    }
    let mut most = CHAINS_AT_LEAST;
    let mut tried = found.len();
    while tried < most {
        let Some(parts) = best_chain(model, &candidates) else { break };
        // So many that each engine can have a place in one.
        most = most.max(candidates.len().div_ceil(parts.len())).min(CHAINS_AT_MOST);
        tried += 1;
        let chain = Arc::new(to_chain(model, &candidates, &parts));
        make_dearer(&mut candidates, &parts);
        if !found.iter().any(|known| known.parts == chain.parts) {
            found.push(chain);
        }
    }
    found
}

/// The quickest paths, each through what room the ones before it have left: where a few quick engines
/// stand in every quick chain, the room of all others is of use only through chains without them.
fn filling_paths(model: &PipelineModel, candidates: &[StageCandidate]) -> Vec<Vec<PartChoice>> {
    let mut open = candidates.to_vec();
    let mut left: Vec<f64> = open.iter().map(|candidate| candidate.token_layers as f64).collect();
    let mut paths = Vec::new();
    while paths.len() < CHAINS_AT_MOST {
        let Some(parts) = best_chain(model, &open) else { break };
        let room = |(index, range): &PartChoice| left[*index] / f64::from(range.count());
        let tokens = parts.iter().map(room).fold(f64::INFINITY, f64::min);
        for (index, range) in &parts {
            left[*index] -= tokens * f64::from(range.count());
            if left[*index] <= LEAST_ROOM * candidates[*index].token_layers as f64 {
                open[*index].held.clear();
            }
        }
        paths.push(parts);
    }
    paths
}

/// Makes equal engines differ in an order of the instance's own where a zone has more engines than its
/// chains can use, so that all instances together use all of them.
fn spread_choice(candidates: &mut [StageCandidate], seed: u64) {
    if candidates.len() <= ENGINES_FOR_ALL {
        return;
    }
    for candidate in candidates {
        let draw = xxhash_rust::xxh3::xxh3_64_with_seed(candidate.target.as_str().as_bytes(), seed);
        let part = (draw % SPREAD_STEPS) as f64 / SPREAD_STEPS as f64;
        candidate.search_factor *= 1.0 + part;
    }
}

/// The chain of least time through all layers.
fn best_chain(model: &PipelineModel, candidates: &[StageCandidate]) -> Option<Vec<PartChoice>> {
    find_path(model, candidates, model.all_layers())
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
