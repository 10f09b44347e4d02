//! Describes a model that is split over engines, and kinds of accelerators: [`PipelineModel`].

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::LayerRange;
use crate::ids::ModelId;
use crate::units::ByteCount;
use crate::units::TokenCount;

/// One kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceleratorKind {
    /// The memory, shared by layers and requests.
    pub memory: ByteCount,
    /// The step time as a multiple of the model's. Invariant: positive.
    pub step_factor: f64,
    /// The prefill time as a multiple of the model's. Invariant: positive.
    pub prefill_factor: f64,
}

/// How long a pass through all layers takes on an accelerator whose factors are one.
#[derive(Clone, Debug, PartialEq)]
pub struct PassTiming {
    /// One token step.
    pub step: Duration,
    /// The time that each generating request adds to a step.
    pub step_per_request: Duration,
    /// The time that each thousand tokens of context add to a step.
    pub step_per_thousand_tokens: Duration,
    /// Prompt tokens prefilled per second. Invariant: positive.
    pub prefill_throughput: f64,
    /// Token steps in one pass with generating requests. Invariant: at least one.
    pub stride: u32,
    /// The transfer time of one token's activations between two availability zones on an idle link.
    pub cross_zone_per_token: Duration,
}

/// A model whose layers are distributed over engines.
#[derive(Clone, Debug, PartialEq)]
pub struct PipelineModel {
    /// Its name.
    pub name: ModelId,
    /// The number of layers. Invariant: positive.
    pub layers: u32,
    /// The memory of one layer. Invariant: positive.
    pub layer_size: ByteCount,
    /// The memory of one token of a request over all layers.
    pub token_size: ByteCount,
    /// The request tokens that an engine should have memory for beside its layers.
    pub request_capacity: TokenCount,
    /// The time to load all layers.
    pub load_time: Duration,
    /// The number of loads that can run concurrently at full speed. Invariant: at least one.
    pub loads_at_once: u32,
    /// The kinds of accelerators, by name.
    pub kinds: BTreeMap<SmolStr, AcceleratorKind>,
    /// The timing of passes.
    pub timing: PassTiming,
    /// The usual length of a prompt.
    pub usual_prompt: TokenCount,
    /// The usual length of an answer.
    pub usual_answer: TokenCount,
}

impl PipelineModel {
    /// The range of all layers.
    pub fn all_layers(&self) -> LayerRange {
        LayerRange { first: 0, end: self.layers }
    }

    /// The largest number of layers that fit into `memory` together with `tokens` request tokens.
    pub fn layers_that_fit(&self, memory: ByteCount, tokens: TokenCount) -> u32 {
        let token_layer = self.token_size.0 as f64 / f64::from(self.layers);
        let bytes_per_layer = self.layer_size.0 as f64 + token_layer * tokens.0 as f64;
        let fit = (memory.0 as f64 / bytes_per_layer).floor();
        (fit as u32).min(self.layers)
    }

    /// The request tokens that fit into `memory` beside `held` layers, of which a request passes
    /// through `used`.
    pub fn token_capacity(&self, memory: ByteCount, held: u32, used: u32) -> TokenCount {
        let weights = self.layer_size.0.saturating_mul(u64::from(held));
        let free = memory.0.saturating_sub(weights) as f64;
        let token_layer = self.token_size.0 as f64 / f64::from(self.layers);
        TokenCount((free / (token_layer * f64::from(used.max(1))).max(1.0)) as u64)
    }

    /// The fraction of the model that `layers` layers are.
    pub fn share(&self, layers: u32) -> f64 {
        f64::from(layers) / f64::from(self.layers)
    }

    /// The prefill time of one prompt token through `layers` layers.
    pub fn prefill_time_per_token(&self, layers: u32, read_factor: f64) -> Duration {
        Duration::from_secs_f64(self.share(layers) * read_factor / self.timing.prefill_throughput)
    }

    /// The time to load `layers` layers while at most [`Self::loads_at_once`] loads run.
    pub fn load_time_of(&self, layers: u32) -> Duration {
        self.load_time.mul_f64(self.share(layers))
    }
}
