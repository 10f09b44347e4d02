//! A caller: opens streams and reads them event by event.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;

use super::TOKEN;
use super::WAIT_LIMIT;
use banyan_http::client::plain_client;
use banyan_wire::caller::DEADLINE_HEADER;
use banyan_wire::caller::ErrorReply;
use banyan_wire::caller::IDEMPOTENCY_KEY_HEADER;
use banyan_wire::caller::OUTCOME_HEADER;
use banyan_wire::caller::OutcomeWire;
use banyan_wire::caller::REQUEST_ID_HEADER;
use banyan_wire::caller::StreamEnd;

/// A streamed answer, read so far.
#[derive(Debug)]
pub struct AnswerStream {
    pub request: SmolStr,
    pub tokens: Vec<SmolStr>,
    pub end: Option<StreamEnd>,
    pub error: Option<ErrorReply>,
    pub done: bool,
    body: Incoming,
    buffer: BytesMut,
}

/// A whole reply.
#[derive(Clone, Debug)]
pub struct CallReply {
    pub status: StatusCode,
    pub outcome: OutcomeWire,
    pub body: Value,
}

/// Opens a stream; gives the reply instead where it is refused.
pub async fn open_stream(
    entry: SocketAddr,
    prompt: &str,
    max_tokens: u64,
) -> Result<AnswerStream, CallReply> {
    let body =
        json!({"model": "model", "prompt": prompt, "max_tokens": max_tokens, "stream": true});
    let request = Request::post(format!("http://{entry}/v1/completions"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap();
    let response = plain_client().request(request).await.unwrap();
    if response.status() != StatusCode::OK {
        return Err(read_reply(response).await);
    }
    let request = response.headers()[REQUEST_ID_HEADER].to_str().unwrap().into();
    Ok(AnswerStream {
        request,
        tokens: Vec::new(),
        end: None,
        error: None,
        done: false,
        body: response.into_body(),
        buffer: BytesMut::new(),
    })
}

impl AnswerStream {
    /// Reads until there are `count` tokens or the stream ends.
    pub async fn read_tokens(&mut self, count: usize) {
        while self.tokens.len() < count && self.read_event().await {}
    }

    /// Reads to the end.
    pub async fn read_all(&mut self) {
        while self.read_event().await {}
    }

    async fn read_event(&mut self) -> bool {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
                let event = self.buffer.split_to(end + 2);
                self.take_event(&String::from_utf8_lossy(&event));
                return true;
            }
            let frame = tokio::time::timeout(WAIT_LIMIT, self.body.frame()).await;
            match frame.expect("the stream goes on") {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.buffer.extend_from_slice(data);
                    }
                }
                _ => return false,
            }
        }
    }

    fn take_event(&mut self, event: &str) {
        let name = event.lines().find_map(|line| line.strip_prefix("event:")).unwrap_or("");
        let data = event.lines().find_map(|line| line.strip_prefix("data:")).unwrap_or("");
        match name.trim() {
            "banyan" => self.end = Some(serde_json::from_str(data).unwrap()),
            "error" => self.error = Some(serde_json::from_str(data).unwrap()),
            _ if data.trim() == "[DONE]" => self.done = true,
            _ => {
                let chunk: Value = serde_json::from_str(data).unwrap();
                let text = chunk["choices"][0]["text"].as_str().unwrap_or_default();
                if !text.is_empty() {
                    self.tokens.push(text.into());
                }
            }
        }
    }
}

/// Makes one call of the booking service.
pub async fn call(entry: SocketAddr, call: &str, key: Option<&str>, body: &Value) -> CallReply {
    let request = call_request(entry, call, key);
    send_call(request, body).await
}

/// Books under a key, with a deadline from the caller.
pub async fn book_within(
    entry: SocketAddr,
    key: &str,
    body: &Value,
    deadline: Duration,
) -> CallReply {
    let deadline = deadline.as_millis().to_string();
    let request = call_request(entry, "book", Some(key)).header(DEADLINE_HEADER, deadline);
    send_call(request, body).await
}

fn call_request(entry: SocketAddr, call: &str, key: Option<&str>) -> http::request::Builder {
    let request = Request::post(format!("http://{entry}/v1/services/booking/{call}"))
        .header("authorization", format!("Bearer {TOKEN}"));
    match key {
        Some(key) => request.header(IDEMPOTENCY_KEY_HEADER, key),
        None => request,
    }
}

async fn send_call(request: http::request::Builder, body: &Value) -> CallReply {
    let request = request.body(Full::new(Bytes::from(body.to_string()))).unwrap();
    let response = tokio::time::timeout(WAIT_LIMIT, plain_client().request(request)).await;
    read_reply(response.expect("the call is answered").unwrap()).await
}

async fn read_reply(response: http::Response<Incoming>) -> CallReply {
    let status = response.status();
    let outcome = response.headers()[OUTCOME_HEADER].to_str().unwrap().parse().unwrap();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    CallReply { status, outcome, body }
}
