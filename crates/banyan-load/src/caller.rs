//! One request as a caller sends it, with every token timed and the answer checked.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Deserialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;

use crate::plan::MODEL;
use banyan_http::client::PlainClient;
use banyan_http::client::error_chain;
use banyan_standin::reference::expected_answer;
use banyan_wire::caller::CompletionRequest;
use banyan_wire::caller::DEADLINE_HEADER;
use banyan_wire::caller::ErrorReply;
use banyan_wire::caller::OutcomeWire;
use banyan_wire::caller::StreamEnd;

/// The time beyond its deadline after which a caller gives an answer up.
const PATIENCE: Duration = Duration::from_secs(3);

/// What is asked, of whom.
#[derive(Clone, Debug)]
pub struct CallOrder {
    /// The entry.
    pub address: SocketAddr,
    /// The bearer token.
    pub token: SmolStr,
    /// The prompt.
    pub prompt: String,
    /// The number of tokens asked for.
    pub tokens: u64,
    /// The deadline.
    pub deadline: Duration,
    /// The model's number of layers.
    pub layers: u32,
}

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The whole right answer came.
    Complete,
    /// The system says that nothing ran.
    NotRun(SmolStr),
    /// The system says that it could not finish.
    Unknown(SmolStr),
    /// No connection was made: nothing was sent.
    Unreached,
    /// The connection broke or went silent without an end.
    Lost(SmolStr),
    /// An answer came that is not the right one.
    Wrong(SmolStr),
}

/// What became of a call.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// How it ended.
    pub end: CallEnd,
    /// When each token came.
    pub tokens: Vec<Instant>,
    /// When it ended.
    pub ended: Instant,
}

/// Asks for a streamed completion and checks it.
pub async fn call(client: &PlainClient, order: &CallOrder) -> CallResult {
    let mut tokens = Vec::new();
    let limit = order.deadline + PATIENCE;
    let ended = tokio::time::timeout(limit, exchange(client, order, &mut tokens)).await;
    let end = ended.unwrap_or_else(|_| CallEnd::Lost(SmolStr::new_static("no end came in time")));
    CallResult { end, tokens, ended: Instant::now() }
}

async fn exchange(client: &PlainClient, order: &CallOrder, tokens: &mut Vec<Instant>) -> CallEnd {
    let request = match build_request(order) {
        Ok(request) => request,
        Err(error) => return CallEnd::Lost(format_smolstr!("{error}")),
    };
    let response = match client.request(request).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return CallEnd::Unreached,
        Err(error) => return CallEnd::Lost(SmolStr::new(error_chain(&error))),
    };
    if response.status() != StatusCode::OK {
        return read_refusal(response).await;
    }
    read_stream(response.into_body(), order, tokens).await
}

fn build_request(order: &CallOrder) -> eyre::Result<Request<Full<Bytes>>> {
    let body = CompletionRequest {
        model: SmolStr::new_static(MODEL),
        prompt: order.prompt.clone(),
        max_tokens: order.tokens,
        stream: true,
    };
    Ok(Request::post(format!("http://{}/v1/completions", order.address))
        .header(AUTHORIZATION, format!("Bearer {}", order.token))
        .header(CONTENT_TYPE, "application/json")
        .header(DEADLINE_HEADER, order.deadline.as_millis().to_string())
        .body(Full::new(Bytes::from(serde_json::to_vec(&body)?)))?)
}

async fn read_refusal(response: Response<Incoming>) -> CallEnd {
    let status = response.status();
    let Ok(body) = response.into_body().collect().await else {
        return CallEnd::Lost(SmolStr::new_static("a refusal broke off"));
    };
    match serde_json::from_slice::<ErrorReply>(&body.to_bytes()) {
        Ok(reply) => explicit_end(reply),
        Err(_) => CallEnd::Wrong(format_smolstr!("status {status} without an error object")),
    }
}

fn explicit_end(reply: ErrorReply) -> CallEnd {
    match reply.error.outcome {
        OutcomeWire::NotRun => CallEnd::NotRun(reply.error.kind),
        _ => CallEnd::Unknown(SmolStr::new(reply.error.message)),
    }
}

/// One event of the stream.
enum StreamPiece {
    Token(SmolStr),
    Closing,
    End(StreamEnd),
    Failed(ErrorReply),
    Done,
}

/// The part of a chunk that matters here.
#[derive(Deserialize)]
struct ChunkText {
    choices: Vec<ChoiceText>,
}

/// One choice of a chunk.
#[derive(Deserialize)]
struct ChoiceText {
    text: SmolStr,
    finish_reason: Option<SmolStr>,
}

async fn read_stream(mut body: Incoming, order: &CallOrder, tokens: &mut Vec<Instant>) -> CallEnd {
    let mut buffer = BytesMut::new();
    let mut text = String::new();
    let mut end = None;
    loop {
        while let Some(event) = take_event(&mut buffer) {
            match parse_event(&event) {
                Some(StreamPiece::Token(token)) => {
                    tokens.push(Instant::now());
                    text.push_str(&token);
                }
                Some(StreamPiece::Closing) => {}
                Some(StreamPiece::End(found)) => end = Some(found),
                Some(StreamPiece::Failed(reply)) => return explicit_end(reply),
                Some(StreamPiece::Done) => return check_answer(order, &text, end),
                None => return CallEnd::Wrong(SmolStr::new(event)),
            }
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    buffer.extend_from_slice(data);
                }
            }
            Some(Err(error)) => return CallEnd::Lost(SmolStr::new(error_chain(&error))),
            None => return CallEnd::Lost(SmolStr::new_static("the stream stopped without an end")),
        }
    }
}

fn take_event(buffer: &mut BytesMut) -> Option<String> {
    let end = buffer.windows(2).position(|pair| pair == b"\n\n")?;
    let event = buffer.split_to(end + 2);
    Some(String::from_utf8_lossy(&event[..end]).into_owned())
}

fn parse_event(event: &str) -> Option<StreamPiece> {
    let field = |name: &str| {
        let value = event.lines().find_map(|line| line.strip_prefix(name));
        value.map(|value| value.strip_prefix(' ').unwrap_or(value)).unwrap_or_default()
    };
    let data = field("data:");
    match field("event:") {
        "banyan" => serde_json::from_str(data).ok().map(StreamPiece::End),
        "error" => serde_json::from_str(data).ok().map(StreamPiece::Failed),
        _ if data.is_empty() => Some(StreamPiece::Closing),
        _ if data == "[DONE]" => Some(StreamPiece::Done),
        _ => {
            let chunk: ChunkText = serde_json::from_str(data).ok()?;
            let choice = chunk.choices.into_iter().next()?;
            match choice.finish_reason {
                None => Some(StreamPiece::Token(choice.text)),
                Some(_) => Some(StreamPiece::Closing),
            }
        }
    }
}

fn check_answer(order: &CallOrder, text: &str, end: Option<StreamEnd>) -> CallEnd {
    let Some(end) = end else {
        return CallEnd::Wrong(SmolStr::new_static("the stream has no end event"));
    };
    if end.outcome != OutcomeWire::Complete || end.tokens != order.tokens {
        return CallEnd::Wrong(format_smolstr!("{} with {} tokens", end.outcome, end.tokens));
    }
    if expected_answer(order.layers, &order.prompt, order.tokens).concat() != text {
        return CallEnd::Wrong(SmolStr::new_static("the text is not the model's answer"));
    }
    CallEnd::Complete
}
