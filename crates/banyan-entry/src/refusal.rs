//! Why a request gets no complete answer, and the reply that tells the caller: [`Refusal`].

use std::time::Duration;

use http::StatusCode;
use smol_str::SmolStr;
use thiserror::Error;

use banyan_core::ids::RequestId;
use banyan_wire::caller::ErrorBody;
use banyan_wire::caller::ErrorReply;
use banyan_wire::caller::OutcomeWire;

/// Why a request gets no complete answer. The set is closed; docs/operators/refusals.md lists it.
#[derive(Clone, Debug, Error)]
pub enum Refusal {
    /// The bearer token is missing or belongs to no workspace.
    #[error(
        "the bearer token stands for no workspace: check it, or ask the operators to declare it"
    )]
    UnknownToken,
    /// The request is malformed.
    #[error("{0}")]
    Malformed(String),
    /// The model, service or call does not exist.
    #[error("{0}")]
    NotFound(String),
    /// The instance has no configuration in force yet.
    #[error("this instance has no configuration yet: try another one, or again shortly")]
    NoConfiguration,
    /// The instance is about to stop.
    #[error("this instance is stopping: send the request again, to another one")]
    Draining,
    /// The instance reaches neither the log nor any peer and cannot know which configuration is in
    /// force.
    #[error("this instance is cut off and cannot know what is in force: try another one")]
    Isolated,
    /// The request could not be served in time.
    #[error("the system is at its limit: try again after the time given")]
    Overloaded {
        /// The time after which a retry may succeed.
        retry_after: Duration,
    },
    /// The workspace is over its own limit.
    #[error("the workspace is over its limit: try again after the time given, or raise the limit")]
    WorkspaceLimit {
        /// The time after which a retry may succeed.
        retry_after: Duration,
    },
    /// No usable targets cover the model, or none serves the call.
    #[error("no usable target for {what} at present: try again after the time given")]
    NoTarget {
        /// The model or service.
        what: SmolStr,
        /// The time after which a retry may succeed.
        retry_after: Duration,
    },
    /// The request's content crashes targets.
    #[error("requests with this content stop the targets that run them and are refused: change it")]
    Quarantined,
    /// A call that may run only once cannot be claimed while the log is unavailable.
    #[error("a call that may run only once cannot be agreed on while the log is away: try again")]
    LogUnavailable,
    /// The idempotency key was used for another call.
    #[error("the idempotency key was used for another call: use a new key")]
    KeyReused,
    /// The idempotency key is older than the time for which keys are remembered.
    #[error(
        "the idempotency key is too old to tell whether its call ran: check, then use a new key"
    )]
    KeyExpired,
    /// The idempotency key's time lies in the future.
    #[error("the idempotency key's time lies in the future: set the clock, then use a new key")]
    KeyFromFuture,
    /// The call was sent, or another instance holds its claim, and its outcome is not known.
    #[error("the call may have run: check with the service before using a new key")]
    CallUnknown,
    /// The deadline passed or targets failed before the answer was complete.
    #[error("the answer could not be finished: {0}")]
    Incomplete(String),
}

impl Refusal {
    /// The outcome that the caller is told.
    pub fn outcome(&self) -> OutcomeWire {
        match self {
            Refusal::KeyExpired | Refusal::CallUnknown | Refusal::Incomplete(_) => {
                OutcomeWire::Unknown
            }
            _ => OutcomeWire::NotRun,
        }
    }

    /// The HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Refusal::UnknownToken => StatusCode::UNAUTHORIZED,
            Refusal::Malformed(_) | Refusal::KeyFromFuture => StatusCode::BAD_REQUEST,
            Refusal::NotFound(_) => StatusCode::NOT_FOUND,
            Refusal::Overloaded { .. } | Refusal::WorkspaceLimit { .. } => {
                StatusCode::TOO_MANY_REQUESTS
            }
            Refusal::Quarantined | Refusal::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Refusal::KeyExpired => StatusCode::CONFLICT,
            Refusal::CallUnknown | Refusal::Incomplete(_) => StatusCode::BAD_GATEWAY,
            Refusal::NoConfiguration
            | Refusal::Draining
            | Refusal::Isolated
            | Refusal::NoTarget { .. }
            | Refusal::LogUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The name of the refusal in replies to callers.
    pub fn kind(&self) -> &'static str {
        match self {
            Refusal::UnknownToken => "unknown_token",
            Refusal::Malformed(_) => "malformed_request",
            Refusal::NotFound(_) => "not_found",
            Refusal::NoConfiguration => "no_configuration",
            Refusal::Draining => "draining",
            Refusal::Isolated => "isolated",
            Refusal::Overloaded { .. } => "overloaded",
            Refusal::WorkspaceLimit { .. } => "workspace_limit",
            Refusal::NoTarget { .. } => "no_target",
            Refusal::Quarantined => "quarantined",
            Refusal::LogUnavailable => "log_away",
            Refusal::KeyReused => "key_reused",
            Refusal::KeyExpired => "key_expired",
            Refusal::KeyFromFuture => "key_from_future",
            Refusal::CallUnknown => "call_unknown",
            Refusal::Incomplete(_) => "answer_cut",
        }
    }

    /// The time after which to try again, if it is known.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::Overloaded { retry_after }
            | Refusal::WorkspaceLimit { retry_after }
            | Refusal::NoTarget { retry_after, .. } => Some(*retry_after),
            Refusal::LogUnavailable | Refusal::NoConfiguration => Some(Duration::from_secs(1)),
            Refusal::Draining => Some(Duration::ZERO),
            _ => None,
        }
    }

    /// The reply body for the caller.
    pub fn reply(&self, request: &RequestId) -> ErrorReply {
        ErrorReply {
            error: ErrorBody {
                message: self.to_string(),
                kind: SmolStr::new_static(self.kind()),
                outcome: self.outcome(),
                request_id: request.clone().into(),
                retry_after_ms: self.retry_after().map(|time| time.as_millis() as u64),
            },
        }
    }
}
