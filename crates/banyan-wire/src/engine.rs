//! The HTTP interface of the engines.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/steps` | a [`StepBatch`]; the response is lines of [`StepEvent`], the last one `Done` |
//! | `POST /v1/cancel` | a [`CancelRequest`]: deletes a request's lineages |
//! | `GET /v1/load` | [`LoadReport`], which may be out of date |
//! | `GET /v1/cache-events?from=N` | [`CacheEventsReply`]: events may be delayed or lost |
//! | `POST /v1/kv/export` | a [`CacheRef`]; the response is a [`CacheCopy`] |
//! | `POST /v1/kv/import` | a [`CacheCopy`] |
//! | `POST /v1/orders` | an [`EngineOrder`]; the response is a [`RoleReply`], 409 for an old fencing token |
//! | `GET /v1/role` | [`RoleReply`]: the layers that the engine holds |
//!
//! A step is identified by request, lineage, token and stage. For each lineage of a request, an
//! engine keeps the next token that it expects and the output of the last step. For a new step:
//!
//! - It runs if its token is the next one of its lineage.
//! - If it was the last to run, the response repeats its output and the step does not run again.
//! - If it is queued or running, the response waits for that run.
//! - Any other step is refused with [`StepRefusal::Lineage`].

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

/// Steps for one engine; each is answered separately as soon as it has run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StepBatch {
    /// The steps to run.
    pub steps: Vec<StepRequest>,
}

/// A request to run one step.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StepRequest {
    /// The step's id.
    pub step: StepId,
    /// The model's name.
    pub model: SmolStr,
    /// The first layer to run.
    pub first_layer: u32,
    /// The end of the layers to run, exclusive.
    pub end_layer: u32,
    /// The step's inputs.
    pub work: StepWork,
    /// The priority, 0 to 9; steps with a higher one are batched first.
    pub priority: u8,
    /// The time left to the request's deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Identifies a step across all processes.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StepId {
    /// The request's id.
    pub request: SmolStr,
    /// The number of times that the answer was restarted. Lineages never mix.
    pub lineage: u32,
    /// The token's index in the answer; the step of token zero processes the prompt.
    pub token: u64,
    /// The stage's index in the pipeline.
    pub stage: u32,
}

/// The inputs that a step runs the layers on.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum StepWork {
    /// Runs the layers on the whole prompt and produces the lineage's first output.
    Prompt {
        /// The activations from the previous stage; for stage zero, derived from the prompt.
        input: StageActivations,
        /// The number of prompt tokens.
        tokens: u32,
        /// Digests of the prompt's prefixes for the prefix cache, one per [`PREFIX_TOKENS`] tokens.
        prefixes: Vec<u64>,
    },
    /// Runs the layers on one token.
    Token {
        /// The activations from the previous stage; in stage zero, derived from the previous token.
        input: StageActivations,
    },
    /// Rebuilds the cache of a lineage from saved inputs, then runs the step on the last input.
    ///
    /// Runs of the earlier inputs are marked as rebuilding, and their outputs are discarded.
    Rebuild {
        /// The inputs of this stage from token zero to the step's own token, in order.
        inputs: Vec<StageActivations>,
        /// The number of prompt tokens.
        tokens: u32,
    },
}

/// The activations passed from one stage to the next, as the stand-in engines model them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StageActivations {
    /// A digest that depends on the layers run so far and on their order.
    pub digest: u64,
    /// The size that the real activations would have on the wire, in bytes.
    pub bytes: u64,
}

impl StageActivations {
    /// The input of stage zero for token zero, derived from the prompt.
    pub fn from_prompt(prompt: &str, bytes: u64) -> Self {
        Self { digest: xxh3_64(prompt.as_bytes()), bytes }
    }

    /// The input of stage zero for the token after the one with this text and index.
    pub fn from_token(text: &str, index: u64, bytes: u64) -> Self {
        Self { digest: mix_digests(xxh3_64(text.as_bytes()), index), bytes }
    }
}

/// Combines two digests into one that depends on their order.
pub fn mix_digests(first: u64, second: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&first.to_le_bytes());
    bytes[8..].copy_from_slice(&second.to_le_bytes());
    xxh3_64(&bytes)
}

/// One line of the response to a batch.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum StepEvent {
    /// Shows that the connection is alive; sent every [`HEARTBEAT_MS`] while steps are in progress.
    Heartbeat,
    /// A step has run, now or earlier.
    Answer {
        /// The step's id.
        step: StepId,
        /// The activations for the next stage.
        output: StageActivations,
        /// The generated token; present on the last stage.
        token: Option<TokenWire>,
        /// The number of prompt tokens found in the prefix cache.
        cached: u32,
        /// The engine's incarnation; a new one has none of the earlier lineages.
        incarnation: SmolStr,
    },
    /// A step did not run.
    Refused {
        /// The step's id.
        step: StepId,
        /// Why it did not run.
        reason: StepRefusal,
    },
    /// The last line: every step of the batch has been answered or refused.
    Done,
}

/// The interval between heartbeats in the response to a batch, in milliseconds.
pub const HEARTBEAT_MS: u64 = 200;

/// Why a step did not run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "why", rename_all = "kebab-case")]
pub enum StepRefusal {
    /// The lineage is unknown, expects another token, or does not match the step's inputs.
    Lineage {
        /// The token that the lineage expects; absent if the lineage is unknown or the inputs do
        /// not match the step's id.
        expected: Option<u64>,
    },
    /// The engine does not hold these layers of this model.
    WrongLayers,
    /// The engine is leaving and accepts no new lineages.
    Leaving,
    /// The engine's queue is full.
    Full {
        /// When to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The step's deadline has passed.
    Late,
}

/// A generated token.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenWire {
    /// The token's text.
    pub text: SmolStr,
    /// Whether the model ends its answer with this token.
    pub last: bool,
}

/// A request to delete all lineages of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CancelRequest {
    /// The request's id.
    pub request: SmolStr,
}

/// An engine's load, as measured [`LoadReport::age_ms`] ago.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// The engine's incarnation.
    pub incarnation: SmolStr,
    /// The number of steps in the running batch.
    pub running: u32,
    /// The number of steps waiting for a batch.
    pub queued: u32,
    /// The number of lineages kept.
    pub lineages: u32,
    /// The cache in use, in tokens.
    pub cache_used: u64,
    /// The size of the cache, in tokens.
    pub cache_limit: u64,
    /// The duration of the newest batch, in microseconds.
    pub step_us: u64,
    /// Whether the engine is about to shut down.
    pub leaving: bool,
    /// The age of the report, in milliseconds.
    pub age_ms: u64,
}

/// Events of an engine's prefix cache.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct CacheEventsReply {
    /// The engine's incarnation.
    pub incarnation: SmolStr,
    /// The events, in order; a gap in the numbers means lost events.
    pub events: Vec<CacheEvent>,
}

/// The prefix cache stored or evicted a prefix.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CacheEvent {
    /// The event's sequence number, one more than that of the event before.
    pub number: u64,
    /// The digest of the prefix.
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Identifies the KV cache of one lineage.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CacheRef {
    /// The request's id.
    pub request: SmolStr,
    /// The lineage's number.
    pub lineage: u32,
}

/// A copy of the KV cache of one lineage.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CacheCopy {
    /// The lineage that the cache belongs to.
    pub of: CacheRef,
    /// The model's name.
    pub model: SmolStr,
    /// The first layer of the cache.
    pub first_layer: u32,
    /// The end of the cache's layers, exclusive.
    pub end_layer: u32,
    /// The index of the next token.
    pub next_token: u64,
    /// The output of the last step, so that the step can be answered again.
    pub last_output: Option<StageActivations>,
    /// The token that the last step generated; present on the last stage.
    pub last_token: Option<TokenWire>,
    /// The content of the cache as the stand-in engines model it: for each layer, one digest of the
    /// lineage's history.
    #[serde(default)]
    pub state: Vec<u64>,
    /// The size of the copy, in bytes.
    pub bytes: u64,
}

/// The number of tokens between two consecutive prefixes of [`StepWork::Prompt`].
pub const PREFIX_TOKENS: u32 = 64;

/// The layers that an engine holds; the response to an [`EngineOrder`] and to `GET /v1/role`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoleReply {
    /// The highest fencing token of the orders accepted so far; zero before the first one.
    pub fence: u64,
    /// The name of the model held.
    pub model: SmolStr,
    /// The first layer held.
    pub first_layer: u32,
    /// The end of the layers held, exclusive.
    pub end_layer: u32,
}

/// An order to an engine to load other layers or another model.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EngineOrder {
    /// The fencing token of the lease that the sender holds.
    pub fence: u64,
    /// The name of the model to hold.
    pub model: SmolStr,
    /// The first layer to hold.
    pub first_layer: u32,
    /// The end of the layers to hold, exclusive.
    pub end_layer: u32,
}
