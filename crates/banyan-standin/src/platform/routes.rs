//! The platform's calls over HTTP.

use std::future::pending;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::fault::LossKind;
use crate::fault::PlatformFault;
use crate::platform::PlatformApp;
use crate::server::ReplyResult;
use crate::server::RequestHandler;
use crate::server::body_reply;
use crate::server::json_reply;
use crate::server::lost_answer;
use crate::server::query_number;
use crate::server::read_body;
use crate::server::read_json;
use crate::server::text_reply;
use banyan_wire::platform::AppendReply;
use banyan_wire::platform::InstanceWire;
use banyan_wire::platform::ReadReply;

/// The most entries that one read gives.
const READ_LIMIT: u64 = 1000;
/// The longest time that a read waits for an entry.
const READ_WAIT: Duration = Duration::from_secs(30);

impl RequestHandler for PlatformApp {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> ReplyResult {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        if parts == ["control"] {
            return self.control(request).await;
        }
        if parts == ["truth"] {
            return Ok(json_reply(StatusCode::OK, &self.lock().log.truth));
        }
        let delay = self.lock().faults.delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
        match (request.method(), parts.as_slice()) {
            (&Method::POST, ["log", stream]) => self.append(stream, request).await,
            (&Method::GET, ["log", stream]) => self.read(stream, request.uri().query()).await,
            (&Method::GET, ["instances"]) => self.list_instances(),
            (&Method::PUT, ["instances", name]) => self.put_instance(name, request).await,
            (&Method::DELETE, ["instances", name]) => {
                self.lock().instances.remove(name);
                Ok(text_reply(StatusCode::NO_CONTENT, ""))
            }
            (&Method::GET, ["weights", _]) => self.weights(),
            _ => Ok(text_reply(StatusCode::NOT_FOUND, "no such call")),
        }
    }
}

/// What becomes of an append.
enum AppendFate {
    Out,
    Throttled,
    Late(Duration),
    Taken { offset: u64, loss: Option<LossKind> },
}

impl PlatformApp {
    async fn control(&self, request: Request<Incoming>) -> ReplyResult {
        match read_json::<PlatformFault>(request).await? {
            Ok(fault) => self.apply(fault),
            Err(reply) => return Ok(reply),
        }
        Ok(text_reply(StatusCode::OK, ""))
    }

    async fn append(self: &Arc<Self>, stream: &str, request: Request<Incoming>) -> ReplyResult {
        let body = read_body(request).await?;
        let Ok(body) = String::from_utf8(body.to_vec()) else {
            return Ok(text_reply(StatusCode::BAD_REQUEST, "the body is not text"));
        };
        match self.decide_append(stream, &body) {
            AppendFate::Out => Ok(text_reply(StatusCode::SERVICE_UNAVAILABLE, "outage")),
            AppendFate::Throttled => {
                Ok(text_reply(StatusCode::TOO_MANY_REQUESTS, "over the rate limit"))
            }
            AppendFate::Late(delay) => {
                self.append_later(stream.to_owned(), body, delay);
                Ok(text_reply(StatusCode::SERVICE_UNAVAILABLE, "outage"))
            }
            AppendFate::Taken { offset, loss } => {
                self.appended.send_modify(|count| *count += 1);
                match loss {
                    None => Ok(json_reply(StatusCode::OK, &AppendReply { offset })),
                    Some(LossKind::Cut) => Err(lost_answer()),
                    Some(LossKind::Silent) => pending().await,
                }
            }
        }
    }

    fn decide_append(&self, stream: &str, body: &str) -> AppendFate {
        let mut state = self.lock();
        if state.faults.appends_out {
            return AppendFate::Out;
        }
        if !state.log.allow_append() {
            return AppendFate::Throttled;
        }
        if state.faults.late_appends > 0 {
            state.faults.late_appends -= 1;
            return AppendFate::Late(state.faults.late_by);
        }
        let offset = state.log.append(stream, body);
        if state.faults.lost_answers == 0 {
            return AppendFate::Taken { offset, loss: None };
        }
        state.faults.lost_answers -= 1;
        AppendFate::Taken { offset, loss: state.faults.loss }
    }

    fn append_later(self: &Arc<Self>, stream: String, body: String, delay: Duration) {
        let app = Arc::clone(self);
        tokio::spawn(async move {
            sleep(delay).await;
            app.lock().log.append(&stream, &body);
            app.appended.send_modify(|count| *count += 1);
        });
    }

    async fn read(&self, stream: &str, query: Option<&str>) -> ReplyResult {
        let from = query_number(query, "from").unwrap_or(0);
        let limit = query_number(query, "limit").unwrap_or(READ_LIMIT).min(READ_LIMIT);
        let wait = Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0));
        let until = Instant::now() + wait.min(READ_WAIT);
        let mut appended = self.appended.subscribe();
        loop {
            appended.mark_unchanged();
            let Some(reply) = self.read_now(stream, from, limit as usize) else {
                return Ok(text_reply(StatusCode::SERVICE_UNAVAILABLE, "outage"));
            };
            if !reply.entries.is_empty() {
                return Ok(json_reply(StatusCode::OK, &reply));
            }
            if timeout_at(until, appended.changed()).await.is_err() {
                return Ok(json_reply(StatusCode::OK, &reply));
            }
        }
    }

    /// The entries, or nothing during an outage.
    fn read_now(&self, stream: &str, from: u64, limit: usize) -> Option<ReadReply> {
        let mut state = self.lock();
        if state.faults.reads_out {
            return None;
        }
        Some(state.log.read(stream, from, limit))
    }

    fn list_instances(&self) -> ReplyResult {
        let state = self.lock();
        if state.faults.instances_out {
            return Ok(text_reply(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        Ok(json_reply(StatusCode::OK, &state.instances.view()))
    }

    async fn put_instance(&self, name: &str, request: Request<Incoming>) -> ReplyResult {
        let row = match read_json::<InstanceWire>(request).await? {
            Ok(row) => row,
            Err(reply) => return Ok(reply),
        };
        if row.name != name {
            return Err(io::Error::other("the row's name is not the path's"));
        }
        self.lock().instances.put(row);
        Ok(text_reply(StatusCode::NO_CONTENT, ""))
    }

    fn weights(&self) -> ReplyResult {
        if !self.lock().weights.take() {
            return Ok(text_reply(StatusCode::TOO_MANY_REQUESTS, "over the rate limit"));
        }
        Ok(body_reply(StatusCode::OK, Bytes::from(vec![0; self.weight_bytes])))
    }
}
