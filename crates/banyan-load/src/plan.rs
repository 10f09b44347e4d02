//! What a bench consists of: [`BenchPlan`], with the bound that its engines allow.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use banyan_core::ids::LayerRange;

/// The model's name.
pub const MODEL: &str = "model";
/// The name of the only availability zone.
pub const ZONE: &str = "zone-a";
/// The number of prompt bytes that one modelled token stands for.
pub const BYTES_PER_TOKEN: u64 = 4;
/// The speed of the links that the declaration names, in bytes a second.
const LINK_BYTES_PER_SECOND: u64 = 125_000_000;
/// The size of a hand-off, in bytes.
const HANDOFF_BYTES: u64 = 16_384;

/// The decisions that the entries run with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DecisionChoice {
    /// The product's.
    Product,
    /// Any usable target, first come first served, no quarantine, no replacement.
    Random,
    /// The usable targets in turn, otherwise as [`DecisionChoice::Random`].
    RoundRobin,
    /// The least load in the last report, otherwise as [`DecisionChoice::Random`].
    LeastReported,
}

impl DecisionChoice {
    /// The naive choices with their names.
    pub const NAIVE: [DecisionChoice; 3] =
        [DecisionChoice::Random, DecisionChoice::RoundRobin, DecisionChoice::LeastReported];

    /// The name on the command line and in figures.
    pub fn name(self) -> &'static str {
        match self {
            DecisionChoice::Product => "product",
            DecisionChoice::Random => "random",
            DecisionChoice::RoundRobin => "round-robin",
            DecisionChoice::LeastReported => "least-reported",
        }
    }
}

/// A workspace.
#[derive(Clone, Debug)]
pub struct WorkspacePlan {
    /// Its name; the bearer token is `token-` and the name.
    pub name: SmolStr,
    /// Its share.
    pub share: u32,
}

impl WorkspacePlan {
    /// The bearer token.
    pub fn token(&self) -> SmolStr {
        format_smolstr!("token-{}", self.name)
    }
}

/// What a bench consists of.
#[derive(Clone, Debug)]
pub struct BenchPlan {
    /// The decisions.
    pub decisions: DecisionChoice,
    /// The number of entries.
    pub entries: usize,
    /// The model's number of layers; a multiple of `stages`.
    pub layers: u32,
    /// Stages that the model is cut into.
    pub stages: u32,
    /// The batch times of the engines of each stage, one engine each.
    pub step_times: Vec<Duration>,
    /// The most steps in a batch.
    pub batch: u32,
    /// Prompt tokens that an engine reads a second.
    pub prefill_rate: u64,
    /// Tokens that an engine's prefix cache holds.
    pub cache_limit: u64,
    /// Of this many cache events one is lost; zero loses none.
    pub cache_gaps: u64,
    /// Requests under way at once on one entry.
    pub capacity: u32,
    /// The workspaces.
    pub workspaces: Vec<WorkspacePlan>,
    /// The policy's fields.
    pub policy: Value,
    /// Prompts that crash every engine.
    pub poison: Vec<String>,
}

impl Default for BenchPlan {
    fn default() -> Self {
        let step_times = [15, 20, 30].map(Duration::from_millis).to_vec();
        Self {
            decisions: DecisionChoice::Product,
            entries: 3,
            layers: 12,
            stages: 3,
            step_times,
            batch: 8,
            prefill_rate: 20_000,
            cache_limit: 65_536,
            cache_gaps: 0,
            capacity: 48,
            workspaces: vec![WorkspacePlan { name: SmolStr::new_static("main"), share: 1 }],
            policy: json!({"default_deadline_ms": 20_000}),
            poison: Vec::new(),
        }
    }
}

/// One engine of a plan.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// Its name.
    pub name: SmolStr,
    /// Its layers.
    pub layers: LayerRange,
    /// The time of a batch.
    pub step_time: Duration,
}

impl BenchPlan {
    /// All engines, stage by stage.
    pub fn engines(&self) -> Vec<EnginePlan> {
        let size = self.layers / self.stages;
        let mut engines = Vec::new();
        for stage in 0..self.stages {
            let layers = LayerRange { first: stage * size, end: (stage + 1) * size };
            for (index, step_time) in self.step_times.iter().enumerate() {
                let name = format_smolstr!("engine-{stage}-{index}");
                engines.push(EnginePlan { name, layers, step_time: *step_time });
            }
        }
        engines
    }

    /// The requests a second that the engines can serve at most, each with so many tokens.
    ///
    /// All stages are alike, so the bound is that of one: the sum over its engines of what each
    /// serves when every batch is full.
    pub fn request_bound(&self, answer_tokens: f64, prompt_tokens: f64) -> f64 {
        let reading = prompt_tokens / self.prefill_rate as f64;
        let rate = |step: &Duration| {
            1.0 / (answer_tokens * step.as_secs_f64() / f64::from(self.batch) + reading)
        };
        self.step_times.iter().map(rate).sum()
    }

    /// Requests under way that fill every engine's batch twice: one running, one waiting.
    pub fn full_capacity(&self) -> u32 {
        let engines = self.stages * self.step_times.len() as u32;
        (2 * self.batch * engines).div_ceil(self.entries as u32)
    }

    /// The declaration's text; `addresses` are those of [`BenchPlan::engines`], in order.
    pub fn declaration(&self, addresses: &[std::net::SocketAddr]) -> String {
        let workspaces = self.workspaces.iter().map(|workspace| {
            json!({
                "name": workspace.name,
                "share": workspace.share,
                "token_digests": [token_digest(&workspace.token())],
            })
        });
        let targets = self.engines().into_iter().zip(addresses).map(|(engine, address)| {
            json!({
                "name": engine.name,
                "address": address,
                "zone": ZONE,
                "engine": {
                    "model": MODEL,
                    "layers": engine.layers.to_string(),
                    "batch": self.batch,
                    "accelerator": "a",
                    "step_ms": engine.step_time.as_millis() as u64,
                    "link_bytes_per_second": LINK_BYTES_PER_SECOND,
                },
            })
        });
        let declaration = json!({
            "zones": [{"name": ZONE, "region": "region-a"}],
            "workspaces": workspaces.collect::<Vec<Value>>(),
            "models": [{
                "name": MODEL,
                "layers": self.layers,
                "answer_tokens": 512,
                "handoff_bytes": HANDOFF_BYTES,
            }],
            "targets": targets.collect::<Vec<Value>>(),
            "policy": self.policy,
        });
        declaration.to_string()
    }
}

/// The digest of a bearer token, as declarations give it.
pub fn token_digest(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}
