//! Error answers that the daemon generates itself ([`Refusal`]), and the body type of all answers.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use thiserror::Error;

use crate::callers::routed_request::strip_connection_headers;

/// The retry delay when no target is usable: about the time until targets are next listed.
pub const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(700);
/// The retry delay when all chains are full: about the time until running requests end.
pub const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Why an answer ended early. The caller's connection is closed without the final chunk, so that
/// the caller can tell the answer is incomplete.
#[derive(Debug, Error)]
#[error("the answer was interrupted: {0}")]
pub struct AnswerInterrupted(pub &'static str);

/// The body of any answer, buffered or streamed.
pub type AnswerBody = UnsyncBoxBody<Bytes, AnswerInterrupted>;

/// A body that is already complete in memory.
pub fn whole_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Builds the caller's response from a target's. Connection headers and `Content-Length` are
/// removed, since the daemon sets them for its own connection to the caller.
pub fn relay_response(mut head: Parts, body: AnswerBody) -> Response<AnswerBody> {
    strip_connection_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    Response::from_parts(head, body)
}

/// Why the daemon answers a request itself instead of relaying a target's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// A header is missing or malformed, or the body could not be read.
    BadRequest,
    /// No route matches it.
    NoRoute,
    /// The route requires an API key, and the request has no known one.
    NoKey,
    /// Its body exceeds the configured limit.
    TooLarge,
    /// It has not run, so the caller may retry it after the given time.
    NotRun(NotRunCause, Duration),
    /// It may have run, but no usable answer was received.
    OutcomeUnknown,
    /// It may have run, but no answer came before the deadline.
    TimedOut,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunCause {
    /// The instance has not received a configuration yet.
    NoConfiguration,
    /// The instance is stopping.
    Stopping,
    /// The service has no usable target.
    NoTarget,
    /// All chains are full or excluded for this request, or the retry budget is used up.
    NoRoom,
    /// The targets that were tried did not run it.
    TargetRefused,
    /// The deadline passed before it was sent.
    NoTime,
    /// Requests like it crashed targets.
    CrashesTargets,
    /// The targets that could run it named limits that are used up.
    TargetLimited,
    /// Targets cannot be told which workspace it belongs to.
    UnusableWorkspace,
    /// The memory for callers is used up.
    NoMemory,
    /// Its body arrived too slowly.
    SlowBody,
}

impl NotRunCause {
    /// The name of the cause in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::Stopping => "stopping",
            Self::NoTarget => "no_target",
            Self::NoRoom => "no_room",
            Self::TargetRefused => "target_refused",
            Self::NoTime => "no_time",
            Self::CrashesTargets => "crashes_targets",
            Self::TargetLimited => "target_limited",
            Self::UnusableWorkspace => "unusable_workspace",
            Self::NoMemory => "no_memory",
            Self::SlowBody => "slow_body",
        }
    }
}

impl Refusal {
    /// The name of the refusal in logs, metrics and the answer's body.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::TooLarge => "too_large",
            Self::NotRun(cause, _) => cause.as_str(),
            Self::OutcomeUnknown => "outcome_unknown",
            Self::TimedOut => "timed_out",
        }
    }

    /// The HTTP status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotRun(..) => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The answer to the caller: status, one line of text, and `Retry-After` if the request has not
    /// run.
    pub fn response(self, detail: &str) -> Response<AnswerBody> {
        let text = format!("{}: {detail}\n", self.as_str());
        let mut response = Response::new(whole_body(text));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Self::NotRun(_, after) = self {
            headers.insert(header::RETRY_AFTER, retry_after_value(after));
        }
        response
    }
}

/// A `Retry-After` value in seconds with three decimals.
fn retry_after_value(after: Duration) -> HeaderValue {
    let text = format!("{:.3}", after.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("1"))
}
