//! The callers' interface: OpenAI-style completion calls, and calls of plain services.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/completions` | [`CompletionRequest`] |
//! | `POST /v1/chat/completions` | [`ChatRequest`] |
//! | `POST /v1/services/{service}/{call}` | a call of a service; runs at most once with `Idempotency-Key` |
//! | `GET /live`, `GET /ready` | health checks for the load balancer |
//!
//! Every response carries [`OUTCOME_HEADER`] and [`REQUEST_ID_HEADER`]. A streamed response carries
//! its outcome in the last event before `data: [DONE]`, see [`StreamEnd`].

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

/// The response header with the request's [`OutcomeWire`].
pub const OUTCOME_HEADER: &str = "banyan-outcome";
/// The header with the request's id.
pub const REQUEST_ID_HEADER: &str = "banyan-request-id";
/// The header with the caller's deadline, in milliseconds from the request's arrival.
pub const DEADLINE_HEADER: &str = "banyan-deadline-ms";
/// The header with the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeWire {
    /// The request ran and the response is complete.
    Complete,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// The error for a text that is not an outcome.
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
    /// The model's name.
    pub model: SmolStr,
    /// The prompt.
    pub prompt: String,
    /// The limit on generated tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Whether to respond with server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// A chat completion request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatRequest {
    /// The model's name.
    pub model: SmolStr,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// The limit on generated tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Whether to respond with server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatMessage {
    /// The role of the message's author.
    pub role: SmolStr,
    /// The text of the message.
    pub content: String,
}

fn default_max_tokens() -> u64 {
    16
}

/// The last event of a streamed response before `data: [DONE]`; its event name is `banyan`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamEnd {
    /// Whether the request ran.
    pub outcome: OutcomeWire,
    /// The request's id.
    pub request_id: SmolStr,
    /// The number of tokens sent.
    pub tokens: u64,
    /// The xxh3 digest of the response's text, in hexadecimal.
    pub checksum: SmolStr,
}

/// A refusal or failure, in the error format of OpenAI-style interfaces.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ErrorReply {
    /// The error.
    pub error: ErrorBody,
}

/// The error of an [`ErrorReply`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ErrorBody {
    /// What happened and how to fix it.
    pub message: String,
    /// The error's type, from the fixed list in docs/operators/refusals.md.
    #[serde(rename = "type")]
    pub kind: SmolStr,
    /// Whether the request ran.
    pub outcome: OutcomeWire,
    /// The request's id.
    pub request_id: SmolStr,
    /// When to retry, in milliseconds; absent if that is not known.
    pub retry_after_ms: Option<u64>,
}
