//! Answers of the daemon's own: [`Refusal`], and the body type of all answers.

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

use crate::ticket::strip_connection_headers;

/// Why an answer ended before it was whole; the caller's connection is closed without an end mark.
#[derive(Debug, Error)]
#[error("the answer broke off: {0}")]
pub struct AnswerBroken(pub &'static str);

/// The body of any answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, AnswerBroken>;

/// A body that is known whole.
pub fn whole_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A target's answer as the caller gets it: its length and connection are the daemon's own matter.
pub fn relayed(mut head: Parts, body: AnswerBody) -> Response<AnswerBody> {
    strip_connection_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    Response::from_parts(head, body)
}

/// Why a request gets no answer of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Its headers cannot be used.
    BadRequest,
    /// No route takes it.
    NoRoute,
    /// It needs a key that is known.
    NoKey,
    /// Its body is too large.
    TooLarge,
    /// It has not run: nothing could take it, and the caller may come back after the time given.
    NotRun(NotRunCause, Duration),
    /// It may have run, and no answer came.
    OutcomeUnknown,
    /// It may have run, and no answer came in time.
    TimedOut,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunCause {
    /// No configuration is known yet.
    NoConfiguration,
    /// The instance is stopping.
    Stopping,
    /// No target of the service can be used.
    NoTarget,
    /// All chains are full.
    NoRoom,
    /// The target refused it.
    TargetRefused,
    /// The time ran out before it was sent.
    NoTime,
}

impl NotRunCause {
    /// The cause in a word, for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::Stopping => "stopping",
            Self::NoTarget => "no_target",
            Self::NoRoom => "no_room",
            Self::TargetRefused => "target_refused",
            Self::NoTime => "no_time",
        }
    }
}

impl Refusal {
    /// The cause in a word, for logs and metrics.
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

    /// The HTTP status.
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

    /// The answer.
    pub fn response(self, detail: &str) -> Response<AnswerBody> {
        let text = format!("{}: {detail}\n", self.as_str());
        let mut response = Response::new(whole_body(text));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Self::NotRun(_, after) = self {
            headers.insert(header::RETRY_AFTER, comeback_value(after));
        }
        response
    }
}

/// Seconds with three decimals.
fn comeback_value(after: Duration) -> HeaderValue {
    let text = format!("{:.3}", after.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("1"))
}
