//! Declarations for tests and measurements.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;
use smol_str::format_smolstr;

use banyan_core::declaration::Declaration;
use banyan_core::declaration::ModelSpec;
use banyan_core::declaration::TargetRole;
use banyan_core::declaration::TargetSpec;
use banyan_core::declaration::ZoneSpec;
use banyan_core::ids::LayerRange;
use banyan_core::ids::ModelId;
use banyan_core::ids::RegionId;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::ids::WorkspaceId;
use banyan_core::ids::ZoneId;
use banyan_core::units::ByteCount;
use banyan_core::units::TokenCount;

/// The properties of an engine in a test declaration.
#[derive(Clone, Copy, Debug)]
pub struct EngineKind {
    /// The layers that the engine runs.
    pub layers: LayerRange,
    /// The maximum number of steps in a batch.
    pub batch: u32,
    /// The duration of a batch, in milliseconds.
    pub step_ms: u64,
    /// The bandwidth of the link, in bytes per second.
    pub link_bytes_per_second: u64,
}

/// Returns the name of the zone with this number.
pub fn zone_name(number: usize) -> ZoneId {
    parse(format_smolstr!("zone-{number}"))
}

/// Returns the name of the workspace with this number.
pub fn workspace_name(number: usize) -> WorkspaceId {
    parse(format_smolstr!("workspace-{number:04}"))
}

/// Returns the name of the model with this number.
pub fn model_name(number: usize) -> ModelId {
    parse(format_smolstr!("model-{number:02}"))
}

/// Returns the name of the target with this number.
pub fn target_name(number: usize) -> TargetId {
    parse(format_smolstr!("engine-{number:04}"))
}

/// Returns a declaration with three zones in one region and no targets.
pub fn empty_declaration() -> Declaration {
    let region: RegionId = parse(SmolStr::new_static("region-0"));
    let zones = (0..3).map(|zone| (zone_name(zone), ZoneSpec { region: region.clone() }));
    Declaration { zones: zones.collect(), ..Declaration::default() }
}

/// Adds a model; `handoff` is the size of the activations between stages, in bytes.
pub fn add_model(declaration: &mut Declaration, model: ModelId, layers: u32, handoff: u64) {
    let spec = ModelSpec { layers, answer_limit: TokenCount(1000), handoff: ByteCount(handoff) };
    declaration.models.insert(model, spec);
}

/// Adds an engine with the next free target number.
pub fn add_engine(declaration: &mut Declaration, model: &ModelId, kind: EngineKind) -> TargetId {
    let role = TargetRole::Engine {
        model: model.clone(),
        layers: kind.layers,
        batch: kind.batch,
        accelerator: format_smolstr!("kind-{}-{}", kind.batch, kind.step_ms),
        step_time: Duration::from_millis(kind.step_ms),
        link_bytes_per_second: kind.link_bytes_per_second,
    };
    add_target(declaration, role)
}

/// Adds a replica of a service with the next free target number.
pub fn add_replica(declaration: &mut Declaration, service: &ServiceId) -> TargetId {
    add_target(declaration, TargetRole::Service { service: service.clone() })
}

fn add_target(declaration: &mut Declaration, role: TargetRole) -> TargetId {
    let number = declaration.targets.len();
    let address = SocketAddr::from(([127, 0, 0, 1], 1 + (number % 60_000) as u16));
    let zone = zone_name(number % declaration.zones.len().max(1));
    let spec = TargetSpec { address, zone, role, checks_fence: true };
    let target = target_name(number);
    declaration.targets.insert(target.clone(), spec);
    target
}

/// Returns a declaration with two splits of 48 layers: four stages of one engine kind and two
/// stages of another.
///
/// Within a split, all stages have the same capacity in steps per second, so the token bound is the
/// sum over both splits.
pub fn mixed_splits(engines_per_group: u32) -> Declaration {
    let mut declaration = empty_declaration();
    let model = model_name(0);
    add_model(&mut declaration, model.clone(), 48, 65_536);
    let fast = 100_000_000;
    for _ in 0..engines_per_group {
        for stage in 0..4 {
            let layers = LayerRange { first: stage * 12, end: stage * 12 + 12 };
            let kind = EngineKind { layers, batch: 8, step_ms: 10, link_bytes_per_second: fast };
            add_engine(&mut declaration, &model, kind);
        }
        for stage in 0..2 {
            let layers = LayerRange { first: stage * 24, end: stage * 24 + 24 };
            let kind = EngineKind { layers, batch: 12, step_ms: 30, link_bytes_per_second: fast };
            add_engine(&mut declaration, &model, kind);
        }
    }
    declaration
}

/// Returns the maximum number of tokens per second that the engines of a declaration can produce.
///
/// All splits of the model must have stage boundaries at the boundaries of `cuts`.
pub fn token_bound(declaration: &Declaration, model: &ModelId, cuts: &[LayerRange]) -> f64 {
    cuts.iter().map(|cut| cut_bound(declaration, model, *cut)).fold(f64::INFINITY, f64::min)
}

fn cut_bound(declaration: &Declaration, model: &ModelId, cut: LayerRange) -> f64 {
    // Steps per second by layers. Inside the cut, stages with the same number of layers are
    // taken as one split.
    let mut rates: BTreeMap<LayerRange, f64> = BTreeMap::new();
    for spec in declaration.targets.values() {
        let TargetRole::Engine { model: engine_model, layers, batch, step_time, .. } = &spec.role
        else {
            continue;
        };
        if engine_model == model && layers.first >= cut.first && layers.end <= cut.end {
            *rates.entry(*layers).or_default() += f64::from(*batch) / step_time.as_secs_f64();
        }
    }
    let mut by_width: BTreeMap<u32, f64> = BTreeMap::new();
    for (layers, rate) in rates {
        let bound = by_width.entry(layers.count()).or_insert(f64::INFINITY);
        *bound = bound.min(rate);
    }
    by_width.values().sum()
}

fn parse<T: std::str::FromStr>(name: SmolStr) -> T
where
    T::Err: std::fmt::Debug,
{
    name.parse().expect("fixture names contain only valid characters")
}
