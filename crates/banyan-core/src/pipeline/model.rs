//! The model that engines hold together: [`PipelineModel`], and the kinds of accelerators.

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
    /// The memory for layers and requests together.
    pub memory: ByteCount,
    /// How many times the model's step time a step takes. Invariant: positive.
    pub step_factor: f64,
    /// How many times the model's reading time a prompt takes. Invariant: positive.
    pub prefill_factor: f64,
}

/// How long a pass through all layers takes on an accelerator whose factors are one.
#[derive(Clone, Debug, PartialEq)]
pub struct PassTiming {
    /// One token step.
    pub step: Duration,
    /// What each request that is writing adds to a step.
    pub step_per_request: Duration,
    /// What each thousand tokens of context add to a step.
    pub step_per_thousand_tokens: Duration,
    /// Prompt tokens read in a second. Invariant: positive.
    pub prefill_throughput: f64,
    /// Token steps in one pass that has writers. Invariant: at least one.
    pub stride: u32,
    /// The time that the activations of one token take from one availability zone to another while
    /// nothing else is sent.
    pub cross_zone_per_token: Duration,
}

/// A model that is spread over engines by layers.
#[derive(Clone, Debug, PartialEq)]
pub struct PipelineModel {
    /// Its name.
    pub name: ModelId,
    /// The number of layers. Invariant: positive.
    pub layers: u32,
    /// The memory that one layer takes. Invariant: positive.
    pub layer_size: ByteCount,
    /// The memory that one token of a request takes over all layers.
    pub token_size: ByteCount,
    /// The tokens of requests that an engine should have room for beside its layers.
    pub request_room: TokenCount,
    /// The time that loading all layers takes.
    pub load_time: Duration,
    /// Loads that may run at once at full speed. Invariant: at least one.
    pub loads_at_once: u32,
    /// The kinds of accelerators, by name.
    pub kinds: BTreeMap<SmolStr, AcceleratorKind>,
    /// How long passes take.
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

    /// The most layers that an accelerator can hold with room for `tokens` tokens of requests.
    pub fn layers_that_fit(&self, memory: ByteCount, tokens: TokenCount) -> u32 {
        let token_layer = self.token_size.0 as f64 / f64::from(self.layers);
        let for_each_layer = self.layer_size.0 as f64 + token_layer * tokens.0 as f64;
        let fit = (memory.0 as f64 / for_each_layer).floor();
        (fit as u32).min(self.layers)
    }

    /// The tokens of requests that an accelerator has room for while it holds `held` layers, of
    /// which a request passes through `used`.
    pub fn token_room(&self, memory: ByteCount, held: u32, used: u32) -> TokenCount {
        let weights = self.layer_size.0.saturating_mul(u64::from(held));
        let free = memory.0.saturating_sub(weights) as f64;
        let token_layer = self.token_size.0 as f64 / f64::from(self.layers);
        TokenCount((free / (token_layer * f64::from(used.max(1))).max(1.0)) as u64)
    }

    /// The part of the whole model that `layers` layers are.
    pub fn share(&self, layers: u32) -> f64 {
        f64::from(layers) / f64::from(self.layers)
    }

    /// The time that reading one token of a prompt through `layers` layers takes.
    pub fn prefill_time_per_token(&self, layers: u32, read_factor: f64) -> Duration {
        Duration::from_secs_f64(self.share(layers) * read_factor / self.timing.prefill_throughput)
    }

    /// The time that loading `layers` layers takes while no more than [`Self::loads_at_once`] run.
    pub fn load_time_of(&self, layers: u32) -> Duration {
        self.load_time.mul_f64(self.share(layers))
    }
}
