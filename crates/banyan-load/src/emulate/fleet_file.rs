//! The file that describes a deployment: [`FleetFile`], in JSON with comments.

use std::path::Path;
use std::time::Duration;

use eyre::WrapErr;
use eyre::ensure;
use serde::Deserialize;
use smol_str::SmolStr;

use banyan_core::pipeline::model::AcceleratorKind;
use banyan_core::pipeline::model::PassTiming;
use banyan_core::pipeline::model::PipelineModel;
use banyan_core::units::ByteCount;
use banyan_core::units::TokenCount;

/// Bytes in a megabyte.
const MEGABYTE: f64 = 1e6;

/// A deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Instances of the daemon.
    pub instances: usize,
    /// The model.
    pub model: ModelEntry,
    /// The kinds of accelerators.
    pub kinds: Vec<KindEntry>,
    /// The engines.
    pub engines: Vec<EngineEntry>,
    /// What callers send.
    pub traffic: TrafficEntry,
}

/// The model and its pace on an accelerator whose factors are one.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    layers: u32,
    layer_mb: f64,
    token_bytes: u64,
    request_room: u64,
    load_ms: f64,
    loads_at_once: u32,
    step_ms: f64,
    read_per_s: f64,
    stride: u32,
    /// Milliseconds that a token's activations take between zones.
    crossing_ms: f64,
}

/// A kind of accelerator.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindEntry {
    name: SmolStr,
    memory_mb: f64,
    step_factor: f64,
    read_factor: f64,
}

/// Engines of one kind in one zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineEntry {
    /// The availability zone.
    pub zone: SmolStr,
    /// The kind.
    pub kind: SmolStr,
    /// How many.
    pub count: usize,
}

/// What callers send, and when it is on time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficEntry {
    /// Requests a second.
    pub per_s: f64,
    /// Mean tokens of a prompt.
    pub prompt_tokens: u64,
    /// Mean tokens of an answer.
    pub answer_tokens: u64,
    /// Workspaces, of which the first sends half of the requests.
    pub workspaces: usize,
    /// The time within which the first event is on time.
    pub first_event_ms: u64,
    /// The longest pause of a stream that is on time.
    pub pause_ms: u64,
}

impl FleetFile {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {}: name a fleet file", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("{} is not a fleet file", path.display()))
    }

    /// Checks the text of a file.
    pub fn parse(text: &str) -> eyre::Result<Self> {
        let value =
            jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &Default::default())?;
        let file: Self = serde_json::from_value(value)?;
        ensure!(file.instances > 0, "instances is 0: write how many run");
        ensure!(file.model.layers > 0, "model.layers is 0: write how many the model has");
        ensure!(file.model.read_per_s > 0.0, "model.read_per_s must be positive");
        ensure!(file.traffic.workspaces > 0, "traffic.workspaces is 0: write at least 1");
        for entry in &file.engines {
            let known = file.kinds.iter().any(|kind| kind.name == entry.kind);
            ensure!(known, "engines name the kind '{}': describe it under kinds", entry.kind);
        }
        Ok(file)
    }

    /// The model as the decisions see it.
    pub fn pipeline_model(&self) -> PipelineModel {
        let model = &self.model;
        let kind = |entry: &KindEntry| {
            let kind = AcceleratorKind {
                memory: ByteCount((entry.memory_mb * MEGABYTE) as u64),
                step_factor: entry.step_factor,
                prefill_factor: entry.read_factor,
            };
            (entry.name.clone(), kind)
        };
        PipelineModel {
            name: "model".parse().expect("a valid name"),
            layers: model.layers,
            layer_size: ByteCount((model.layer_mb * MEGABYTE) as u64),
            token_size: ByteCount(model.token_bytes),
            request_capacity: TokenCount(model.request_room),
            load_time: Duration::from_secs_f64(model.load_ms / 1e3),
            loads_at_once: model.loads_at_once,
            kinds: self.kinds.iter().map(kind).collect(),
            timing: PassTiming {
                step: Duration::from_secs_f64(model.step_ms / 1e3),
                step_per_request: Duration::ZERO,
                step_per_thousand_tokens: Duration::ZERO,
                prefill_throughput: model.read_per_s,
                stride: model.stride,
                cross_zone_per_token: Duration::from_secs_f64(model.crossing_ms / 1e3),
            },
            usual_prompt: TokenCount(self.traffic.prompt_tokens),
            usual_answer: TokenCount(self.traffic.answer_tokens),
        }
    }
}
