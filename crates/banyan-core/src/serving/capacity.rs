//! How many requests the declared engines can run at once: [`capacity_share`].

use std::collections::BTreeMap;

use crate::declaration::Declaration;
use crate::declaration::TargetRole;
use crate::declaration::TargetSpec;
use crate::ids::ModelId;

/// The streams let in for each stream that the engines need to be busy without any queueing, in
/// percent. Steps arrive unevenly, so that some have to wait for a batch to be full.
const HEADROOM_PERCENT: f64 = 250.0;
/// The calls of a plain service that are let in at once for each replica.
const CALLS_PER_REPLICA: u64 = 64;

/// What the engines that hold a layer make of it together.
#[derive(Clone, Copy, Debug, Default)]
struct LayerPace {
    /// Steps a second.
    steps: f64,
    /// The sum of the engines' times for the layer in seconds, each weighted by its steps a second.
    weighted_time: f64,
}

/// The number of requests that one of `live` instances lets in at once.
///
/// For each model it is the pace of the busiest layer times the time of a token through all
/// layers: with fewer streams an engine would idle, with many more they would only wait.
pub fn capacity_share(declaration: &Declaration, live: u32) -> u32 {
    let streams: u64 = model_slots(declaration).values().sum();
    let replicas = declaration.targets.values().filter(|spec| is_replica(spec)).count() as u64;
    let all = streams + replicas * CALLS_PER_REPLICA;
    u32::try_from(all.div_ceil(u64::from(live.max(1)))).unwrap_or(u32::MAX).max(1)
}

/// The number of streams of each model that all instances together let in at once.
pub fn model_slots(declaration: &Declaration) -> BTreeMap<ModelId, u64> {
    let mut paces: BTreeMap<&ModelId, Vec<LayerPace>> = BTreeMap::new();
    for (model, spec) in &declaration.models {
        paces.insert(model, vec![LayerPace::default(); spec.layers as usize]);
    }
    for spec in declaration.targets.values() {
        add_engine(&mut paces, spec);
    }
    paces.into_iter().map(|(model, layers)| (model.clone(), slots(&layers))).collect()
}

fn add_engine(paces: &mut BTreeMap<&ModelId, Vec<LayerPace>>, spec: &TargetSpec) {
    let TargetRole::Engine { model, layers, batch, step_time, .. } = &spec.role else { return };
    let Some(paces) = paces.get_mut(model) else { return };
    if step_time.is_zero() {
        return;
    }
    let steps = f64::from(*batch) / step_time.as_secs_f64();
    let layer_time = step_time.as_secs_f64() / f64::from(layers.count());
    let held = layers.first as usize..(layers.end as usize).min(paces.len());
    for pace in paces.get_mut(held).into_iter().flatten() {
        pace.steps += steps;
        pace.weighted_time += steps * layer_time;
    }
}

fn slots(layers: &[LayerPace]) -> u64 {
    let slowest = layers.iter().map(|pace| pace.steps).fold(f64::INFINITY, f64::min);
    if slowest <= 0.0 || !slowest.is_finite() {
        return 0;
    }
    let token_time: f64 = layers.iter().map(|pace| pace.weighted_time / pace.steps).sum();
    (slowest * token_time * HEADROOM_PERCENT / 100.0).ceil() as u64
}

fn is_replica(spec: &TargetSpec) -> bool {
    matches!(spec.role, TargetRole::Service { .. })
}
