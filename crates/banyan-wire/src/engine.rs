//! The engines' interface, over HTTP.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/steps` | a [`StepBatch`]; answers lines of [`StepEvent`], the last one `Done` |
//! | `POST /v1/cancel` | a [`CancelRequest`]: forgets a request's lineages |
//! | `GET /v1/load` | [`LoadReport`], measured some time ago |
//! | `GET /v1/cache-events?from=N` | [`CacheEventsReply`]: late and with gaps |
//! | `POST /v1/kv/export` | a [`CacheRef`]; answers [`CacheCopy`] |
//! | `POST /v1/kv/import` | a [`CacheCopy`] |
//! | `POST /v1/orders` | an [`EngineOrder`] to load a model or change role; answers [`RoleReply`], 409 for an old fencing token |
//! | `GET /v1/role` | [`RoleReply`]: what the engine holds now |
//!
//! A step is (request, lineage, token, stage). An engine keeps for each (request, lineage) the next
//! token that it expects and the output of the last one. It runs a step only as the next one of its
//! lineage; a step that it has run is answered again from the kept output, without running; a step
//! that is running is waited for; any other step is refused with [`StepRefusal::Lineage`].

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

/// Steps for one engine, each answered on its own as soon as it has run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StepBatch {
    /// The steps.
    pub steps: Vec<StepRequest>,
}

/// One step.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StepRequest {
    /// The id.
    pub step: StepId,
    /// The model.
    pub model: SmolStr,
    /// The first layer to run.
    pub first_layer: u32,
    /// The layer behind the last one to run.
    pub end_layer: u32,
    /// What to run.
    pub work: StepWork,
    /// A step with a higher priority is batched first; 0 to 9.
    pub priority: u8,
    /// The time left to the request's deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Names one step over all processes.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StepId {
    /// The request's id.
    pub request: SmolStr,
    /// Counts the times that the request's answer was begun anew; a lineage never mixes with another.
    pub lineage: u32,
    /// The token's index in the answer; token zero carries the prompt.
    pub token: u64,
    /// The stage's index in the chain.
    pub stage: u32,
}

/// What a step runs.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum StepWork {
    /// Runs the layers on the whole prompt and makes the lineage's first output.
    Prompt {
        /// The hand-off of the stage before; for stage zero, made from the prompt.
        input: StageActivations,
        /// The number of prompt tokens.
        tokens: u32,
        /// Digests of the prompt's growing prefixes, a fixed number of tokens apart, for the cache.
        prefixes: Vec<u64>,
    },
    /// Runs the layers on one token.
    Token {
        /// The hand-off of the stage before; for stage zero, made from the token before.
        input: StageActivations,
    },
    /// Rebuilds the cache of a lineage from kept inputs, then runs the last of them as the step.
    ///
    /// Runs of the inputs before the last are marked as rebuilding and their outputs are dropped.
    Rebuild {
        /// The inputs of this stage for tokens zero up to the step's own, in order.
        inputs: Vec<StageActivations>,
        /// The number of prompt tokens.
        tokens: u32,
    },
}

/// The activations that go from one stage to the next, as the stand-ins model them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StageActivations {
    /// A digest that depends on every layer run so far, in order.
    pub digest: u64,
    /// The size that the activations have on the wire, in bytes.
    pub bytes: u64,
}

impl StageActivations {
    /// The hand-off into stage zero for token zero, made from the prompt.
    pub fn from_prompt(prompt: &str, bytes: u64) -> Self {
        Self { digest: xxh3_64(prompt.as_bytes()), bytes }
    }

    /// The hand-off into stage zero for the token behind the one with this text and index.
    pub fn from_token(text: &str, index: u64, bytes: u64) -> Self {
        Self { digest: mix_digests(xxh3_64(text.as_bytes()), index), bytes }
    }
}

/// A digest of two digests, which depends on their order.
pub fn mix_digests(first: u64, second: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&first.to_le_bytes());
    bytes[8..].copy_from_slice(&second.to_le_bytes());
    xxh3_64(&bytes)
}

/// One line of the answer to a batch.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum StepEvent {
    /// The connection is alive; sent every [`HEARTBEAT_MS`] while steps are under way.
    Heartbeat,
    /// A step ran, now or before.
    Answer {
        /// The step.
        step: StepId,
        /// The hand-off to the next stage.
        output: StageActivations,
        /// On the last stage: the token.
        token: Option<TokenWire>,
        /// Prompt tokens found in the prefix cache.
        cached: u32,
        /// The engine's run; a new one has lost all lineages.
        incarnation: SmolStr,
    },
    /// A step was not run.
    Refused {
        /// The step.
        step: StepId,
        /// Why.
        reason: StepRefusal,
    },
    /// The last line: every step of the batch was answered or refused.
    Done,
}

/// The time between heartbeats on the answer to a batch, in milliseconds.
pub const HEARTBEAT_MS: u64 = 200;

/// Why a step was not run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "why", rename_all = "kebab-case")]
pub enum StepRefusal {
    /// The lineage is unknown or expects another token.
    Lineage {
        /// The token that would be accepted; absent where the lineage is unknown.
        expected: Option<u64>,
    },
    /// The engine does not hold these layers of this model.
    WrongLayers,
    /// The engine is leaving and takes no new lineage.
    Leaving,
    /// The engine's queue is full.
    Full {
        /// When to try again, in milliseconds.
        retry_after_ms: u64,
    },
    /// The step's deadline had passed.
    Late,
}

/// A generated token.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenWire {
    /// The text.
    pub text: SmolStr,
    /// Whether the model ends its answer here.
    pub last: bool,
}

/// An order to forget a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CancelRequest {
    /// The request's id.
    pub request: SmolStr,
}

/// An engine's load, as of some time ago.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// The engine's run.
    pub incarnation: SmolStr,
    /// Steps in the batch that is running.
    pub running: u32,
    /// Steps waiting for a batch.
    pub queued: u32,
    /// Lineages kept.
    pub lineages: u32,
    /// Cache tokens in use.
    pub cache_used: u64,
    /// Cache tokens there are.
    pub cache_limit: u64,
    /// The time of the newest batch, in microseconds.
    pub step_us: u64,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// How old the report is, in milliseconds.
    pub age_ms: u64,
}

/// Events of the prefix cache.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct CacheEventsReply {
    /// The engine's run.
    pub incarnation: SmolStr,
    /// The events, in order; numbers that are missing were lost.
    pub events: Vec<CacheEvent>,
}

/// One event of the prefix cache.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CacheEvent {
    /// Counts up by one an event.
    pub number: u64,
    /// The digest of the prefix.
    pub prefix: u64,
    /// Whether it was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Names the cache of one lineage.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CacheRef {
    /// The request's id.
    pub request: SmolStr,
    /// The lineage.
    pub lineage: u32,
}

/// A copy of the cache of one lineage.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CacheCopy {
    /// Whose cache it is.
    pub of: CacheRef,
    /// The model.
    pub model: SmolStr,
    /// The first layer.
    pub first_layer: u32,
    /// The layer behind the last one.
    pub end_layer: u32,
    /// The token that comes next.
    pub next_token: u64,
    /// The output of the last token, so that its step can be answered again.
    pub last_output: Option<StageActivations>,
    /// The token that the last step made, on the last stage.
    pub last_token: Option<TokenWire>,
    /// The cache itself, one digest of the lineage's history a layer, as the stand-ins model it.
    #[serde(default)]
    pub state: Vec<u64>,
    /// The size of the copy, in bytes.
    pub bytes: u64,
}

/// The number of prompt tokens between two neighbouring prefixes of [`StepWork::Prompt`].
pub const PREFIX_TOKENS: u32 = 64;

/// What an engine holds; the answer to an order and to `GET /v1/role`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoleReply {
    /// The greatest fencing token of the orders taken so far; zero before the first one.
    pub fence: u64,
    /// The model.
    pub model: SmolStr,
    /// The first layer held.
    pub first_layer: u32,
    /// The layer behind the last one held.
    pub end_layer: u32,
}

/// An order that changes what an engine holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EngineOrder {
    /// The fencing token of the lease under which it is given.
    pub fence: u64,
    /// The model to hold.
    pub model: SmolStr,
    /// The first layer to hold.
    pub first_layer: u32,
    /// The layer behind the last one to hold.
    pub end_layer: u32,
}
