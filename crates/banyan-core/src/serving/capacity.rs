//! The admission capacity of the declared engines: [`capacity_share`].

use std::collections::BTreeMap;

use crate::declaration::Declaration;
use crate::declaration::TargetRole;
use crate::declaration::TargetSpec;
use crate::ids::ModelId;

/// The streams admitted per stream that would keep the engines busy without queueing, in percent.
/// Steps arrive unevenly, so some must wait to fill a batch.
const HEADROOM_PERCENT: f64 = 250.0;
/// The calls admitted at once per replica of a service.
const CALLS_PER_REPLICA: u64 = 64;

/// The combined throughput of the engines that hold a layer.
#[derive(Clone, Copy, Debug, Default)]
struct LayerThroughput {
    /// Steps per second.
    steps: f64,
    /// The sum of the engines' times for the layer in seconds, each weighted by its steps per
    /// second.
    weighted_time: f64,
}

/// The number of requests that one of `live` instances admits at once, at least one: its equal part
/// of the streams of all models (see [`model_slots`]) and of `CALLS_PER_REPLICA` calls for each
/// replica.
pub fn capacity_share(declaration: &Declaration, live: u32) -> u32 {
    let streams: u64 = model_slots(declaration).values().sum();
    let replicas = declaration.targets.values().filter(|spec| is_replica(spec)).count() as u64;
    let total = streams + replicas * CALLS_PER_REPLICA;
    u32::try_from(total.div_ceil(u64::from(live.max(1)))).unwrap_or(u32::MAX).max(1)
}

/// The number of streams of each model that all instances together admit at once.
///
/// It is the lowest throughput of any layer times the time of a token through all layers, times
/// `HEADROOM_PERCENT`. With fewer streams an engine would be idle; many more would only wait.
pub fn model_slots(declaration: &Declaration) -> BTreeMap<ModelId, u64> {
    let mut throughputs: BTreeMap<&ModelId, Vec<LayerThroughput>> = BTreeMap::new();
    for (model, spec) in &declaration.models {
        throughputs.insert(model, vec![LayerThroughput::default(); spec.layers as usize]);
    }
    for spec in declaration.targets.values() {
        add_engine(&mut throughputs, spec);
    }
    throughputs.into_iter().map(|(model, layers)| (model.clone(), max_streams(&layers))).collect()
}

fn add_engine(throughputs: &mut BTreeMap<&ModelId, Vec<LayerThroughput>>, spec: &TargetSpec) {
    let TargetRole::Engine { model, layers, batch, step_time, .. } = &spec.role else { return };
    let Some(throughputs) = throughputs.get_mut(model) else { return };
    if step_time.is_zero() {
        return;
    }
    let steps = f64::from(*batch) / step_time.as_secs_f64();
    let layer_time = step_time.as_secs_f64() / f64::from(layers.count());
    let layer_range = layers.first as usize..(layers.end as usize).min(throughputs.len());
    for throughput in throughputs.get_mut(layer_range).into_iter().flatten() {
        throughput.steps += steps;
        throughput.weighted_time += steps * layer_time;
    }
}

fn max_streams(layers: &[LayerThroughput]) -> u64 {
    let bottleneck = layers.iter().map(|throughput| throughput.steps).fold(f64::INFINITY, f64::min);
    if bottleneck <= 0.0 || !bottleneck.is_finite() {
        return 0;
    }
    let token_time: f64 =
        layers.iter().map(|throughput| throughput.weighted_time / throughput.steps).sum();
    (bottleneck * token_time * HEADROOM_PERCENT / 100.0).ceil() as u64
}

fn is_replica(spec: &TargetSpec) -> bool {
    matches!(spec.role, TargetRole::Service { .. })
}
