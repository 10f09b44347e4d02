//! The interface for callers: the completion calls in their usual shape, and plain services.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/completions` | [`CompletionRequest`] |
//! | `POST /v1/chat/completions` | [`ChatRequest`] |
//! | `POST /v1/services/{service}/{call}` | a call of a plain service; `Idempotency-Key` where it may run once only |
//! | `GET /live`, `GET /ready` | for the balancer |
//!
//! Every answer carries [`OUTCOME_HEADER`] and [`REQUEST_ID_HEADER`]; a streamed answer carries its
//! outcome in the last event before `data: [DONE]`, see [`StreamEnd`].

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

/// The header that says what became of the request.
pub const OUTCOME_HEADER: &str = "banyan-outcome";
/// The header that names the request.
pub const REQUEST_ID_HEADER: &str = "banyan-request-id";
/// The header that carries the caller's deadline, in milliseconds from the request's arrival.
pub const DEADLINE_HEADER: &str = "banyan-deadline-ms";
/// The header that carries the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// What became of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeWire {
    /// The whole answer was given.
    Complete,
    /// Nothing ran, and nothing will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A text that is no outcome.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("'{0}' is not an outcome: write complete, not-run or unknown")]
pub struct OutcomeError(pub SmolStr);

impl fmt::Display for OutcomeWire {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OutcomeWire::Complete => "complete",
            OutcomeWire::NotRun => "not-run",
            OutcomeWire::Unknown => "unknown",
        })
    }
}

impl FromStr for OutcomeWire {
    type Err = OutcomeError;

    fn from_str(text: &str) -> Result<Self, OutcomeError> {
        match text {
            "complete" => Ok(OutcomeWire::Complete),
            "not-run" => Ok(OutcomeWire::NotRun),
            "unknown" => Ok(OutcomeWire::Unknown),
            _ => Err(OutcomeError(SmolStr::new(text))),
        }
    }
}

/// A completion request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CompletionRequest {
    /// The model.
    pub model: SmolStr,
    /// The prompt.
    pub prompt: String,
    /// The most tokens to answer with.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Whether to answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// A chat completion request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatRequest {
    /// The model.
    pub model: SmolStr,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// The most tokens to answer with.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Whether to answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: SmolStr,
    /// What is said.
    pub content: String,
}

fn default_max_tokens() -> u64 {
    16
}

/// The last event of a streamed answer before `data: [DONE]`, under the name `banyan`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamEnd {
    /// What became of the request.
    pub outcome: OutcomeWire,
    /// The request's id.
    pub request_id: SmolStr,
    /// The number of tokens sent.
    pub tokens: u64,
    /// The xxh3 digest of the answer's text, in hexadecimal.
    pub checksum: SmolStr,
}

/// A refusal or failure, in the usual shape of an error object.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ErrorReply {
    /// The error.
    pub error: ErrorBody,
}

/// The error of an [`ErrorReply`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ErrorBody {
    /// What happened and the remedy.
    pub message: String,
    /// The kind of error, from a closed set that docs/operators/refusals.md lists.
    #[serde(rename = "type")]
    pub kind: SmolStr,
    /// What became of the request.
    pub outcome: OutcomeWire,
    /// The request's id.
    pub request_id: SmolStr,
    /// When to try again, in milliseconds, where that can be said.
    pub retry_after_ms: Option<u64>,
}
