//! `banyanctl try`: one request as a caller would send it, with its answer checked whole.
//!
//! [`try_completion`] asks for a streamed completion, [`try_call`] calls a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use serde::Serialize;
use serde_json::json;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::report::CommandReport;
use crate::report::ExitKind;
use crate::stream_check::StreamFault;
use crate::stream_check::WholeAnswer;
use crate::stream_check::check_stream;
use banyan_http::client::error_chain;
use banyan_http::client::plain_client;
use banyan_wire::caller::ErrorReply;
use banyan_wire::caller::IDEMPOTENCY_KEY_HEADER;
use banyan_wire::caller::OUTCOME_HEADER;
use banyan_wire::caller::OutcomeWire;
use banyan_wire::caller::REQUEST_ID_HEADER;

/// Where a request goes, on whose behalf, and how long it may take.
#[derive(Clone, Debug)]
pub struct CallerOrder {
    /// An entry's caller address.
    pub address: SocketAddr,
    /// The bearer token.
    pub token: SmolStr,
    /// How long the whole answer may take.
    pub timeout: Duration,
}

/// What became of a request, as programs read it.
#[derive(Debug, Serialize)]
struct TryResult {
    outcome: OutcomeWire,
    whole: bool,
    request_id: SmolStr,
    tokens: Option<u64>,
    status: Option<u16>,
    answer: String,
    message: String,
    total_ms: u64,
}

/// A response read to its end.
struct ReadResponse {
    status: StatusCode,
    outcome: Option<OutcomeWire>,
    request_id: SmolStr,
    body: String,
}

/// Asks for a streamed completion of `max_tokens` tokens.
pub async fn try_completion(
    order: &CallerOrder,
    model: &str,
    prompt: &str,
    max_tokens: u64,
) -> CommandReport {
    let body = json!({
        "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
    });
    let start = Instant::now();
    let response = match send(order, "/v1/completions", None, body.to_string()).await {
        Ok(response) => response,
        Err(reason) => return lost_report(reason, start),
    };
    if !response.status.is_success() {
        return refused_report(response, start);
    }
    match check_stream(&response.body) {
        Ok(answer) => whole_report(answer, start),
        Err(fault) => fault_report(&fault, response, start),
    }
}

/// Calls a plain service.
pub async fn try_call(
    order: &CallerOrder,
    service: &str,
    call: &str,
    key: Option<&str>,
    body: &str,
) -> CommandReport {
    let start = Instant::now();
    let path = format!("/v1/services/{service}/{call}");
    let response = match send(order, &path, key, body.to_owned()).await {
        Ok(response) => response,
        Err(reason) => return lost_report(reason, start),
    };
    if response.outcome != Some(OutcomeWire::Complete) {
        return refused_report(response, start);
    }
    let text = format!("complete: status {}: {}", response.status.as_u16(), response.body);
    let result = TryResult {
        outcome: OutcomeWire::Complete,
        whole: true,
        request_id: response.request_id,
        tokens: None,
        status: Some(response.status.as_u16()),
        answer: response.body,
        message: String::new(),
        total_ms: elapsed_ms(start),
    };
    CommandReport::new(ExitKind::Done, text, &result)
}

async fn send(
    order: &CallerOrder,
    path: &str,
    key: Option<&str>,
    body: String,
) -> Result<ReadResponse, String> {
    let mut request = Request::post(format!("http://{}{path}", order.address))
        .header(AUTHORIZATION, format!("Bearer {}", order.token))
        .header(CONTENT_TYPE, "application/json");
    if let Some(key) = key {
        request = request.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    let request = request.body(Full::new(Bytes::from(body))).map_err(|error| error.to_string())?;
    let exchange = async {
        let response = plain_client().request(request).await.map_err(|e| error_chain(&e))?;
        read_response(response).await
    };
    match tokio::time::timeout(order.timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err(format!("no whole answer within {:?}", order.timeout)),
    }
}

async fn read_response(response: Response<hyper::body::Incoming>) -> Result<ReadResponse, String> {
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        SmolStr::new(value.unwrap_or_default())
    };
    let request_id = header(REQUEST_ID_HEADER);
    let outcome = header(OUTCOME_HEADER).parse().ok();
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|error| error_chain(&error))?;
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    Ok(ReadResponse { status, outcome, request_id, body })
}

fn whole_report(answer: WholeAnswer, start: Instant) -> CommandReport {
    let total_ms = elapsed_ms(start);
    let text = format!(
        "complete: {} tokens, checksum {} agrees, request {}, {total_ms} ms\n{}",
        answer.end.tokens, answer.end.checksum, answer.end.request_id, answer.text
    );
    let result = TryResult {
        outcome: OutcomeWire::Complete,
        whole: true,
        request_id: answer.end.request_id,
        tokens: Some(answer.end.tokens),
        status: None,
        answer: answer.text,
        message: String::new(),
        total_ms,
    };
    CommandReport::new(ExitKind::Done, text, &result)
}

/// The stream began, so the request may have run, whatever is wrong with the answer.
fn fault_report(fault: &StreamFault, response: ReadResponse, start: Instant) -> CommandReport {
    let outcome = match fault {
        StreamFault::Failed(reply) => reply.error.outcome,
        _ => OutcomeWire::Unknown,
    };
    ended_report(outcome, response.request_id, None, fault.to_string(), start)
}

fn refused_report(response: ReadResponse, start: Instant) -> CommandReport {
    let status = Some(response.status.as_u16());
    match serde_json::from_str::<ErrorReply>(&response.body) {
        Ok(reply) => {
            let message = format!("{}: {}", reply.error.kind, reply.error.message);
            ended_report(reply.error.outcome, response.request_id, status, message, start)
        }
        Err(_) => {
            let outcome = response.outcome.unwrap_or(OutcomeWire::Unknown);
            let message = format!("status {}: {}", response.status, response.body);
            ended_report(outcome, response.request_id, status, message, start)
        }
    }
}

fn lost_report(reason: String, start: Instant) -> CommandReport {
    ended_report(OutcomeWire::Unknown, SmolStr::default(), None, reason, start)
}

fn ended_report(
    outcome: OutcomeWire,
    request_id: SmolStr,
    status: Option<u16>,
    message: String,
    start: Instant,
) -> CommandReport {
    let exit = match outcome {
        OutcomeWire::NotRun => ExitKind::Refused,
        OutcomeWire::Complete | OutcomeWire::Unknown => ExitKind::Unknown,
    };
    let text = format!("{outcome}: {message}");
    let result = TryResult {
        outcome,
        whole: false,
        request_id,
        tokens: None,
        status,
        answer: String::new(),
        message,
        total_ms: elapsed_ms(start),
    };
    CommandReport::new(exit, text, &result)
}

fn elapsed_ms(start: Instant) -> u64 {
    start.elapsed().as_millis() as u64
}
