//! The service's calls over HTTP.

use std::future::pending;
use std::sync::Arc;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::fault::LossKind;
use crate::fault::ServiceFault;
use crate::server::ReplyResult;
use crate::server::RequestHandler;
use crate::server::json_reply;
use crate::server::lost_answer;
use crate::server::read_body;
use crate::server::read_json;
use crate::server::text_reply;
use crate::service::CallReply;
use crate::service::ServiceApp;
use crate::truth::CallRow;
use crate::truth::wall_ms;
use banyan_wire::caller::IDEMPOTENCY_KEY_HEADER;
use banyan_wire::service::SERVICE_REQUEST_ID_HEADER;

impl RequestHandler for ServiceApp {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> ReplyResult {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::POST, ["call", call]) => self.call(call, request).await,
            (&Method::GET, ["health"]) => Ok(self.health()),
            (&Method::GET, ["truth"]) => Ok(json_reply(StatusCode::OK, &self.lock().truth)),
            (&Method::POST, ["control"]) => self.control(request).await,
            _ => Ok(text_reply(StatusCode::NOT_FOUND, "no such call")),
        }
    }
}

impl ServiceApp {
    /// Runs a call to its end, also where the caller has gone by then.
    async fn call(self: &Arc<Self>, call: &str, request: Request<Incoming>) -> ReplyResult {
        let key = header_text(request.headers(), IDEMPOTENCY_KEY_HEADER);
        let request_id = header_text(request.headers(), SERVICE_REQUEST_ID_HEADER);
        let body = String::from_utf8_lossy(&read_body(request).await?).into_owned();
        if self.take_failure() {
            return Ok(text_reply(StatusCode::INTERNAL_SERVER_ERROR, "failed before it ran"));
        }
        let call = SmolStr::new(call);
        let row = CallRow { call: call.clone(), key, request: request_id, body, at_ms: wall_ms() };
        let app = Arc::clone(self);
        let ran = tokio::spawn(async move { app.run(row).await }).await;
        let (run, loss) = ran.map_err(std::io::Error::other)?;
        let replica = self.options.name.clone();
        match loss {
            None => {
                let status = self.lock().take_status();
                Ok(json_reply(status, &CallReply { call, replica, run }))
            }
            Some(LossKind::Cut) => Err(lost_answer()),
            Some(LossKind::Silent) => pending().await,
        }
    }

    fn take_failure(&self) -> bool {
        let mut state = self.lock();
        let fails = state.failures > 0;
        state.failures = state.failures.saturating_sub(1);
        fails
    }

    async fn run(&self, row: CallRow) -> (u64, Option<LossKind>) {
        self.gate.thawed().await;
        let percent = self.lock().slow_percent.unwrap_or(100);
        sleep(self.options.delay * percent / 100).await;
        self.gate.thawed().await;
        if !self.gate.watch().borrow().listening {
            // The replica was killed before the call took effect.
            return pending().await;
        }
        let mut state = self.lock();
        let run = state.run(row);
        (run, state.take_loss())
    }

    fn health(&self) -> hyper::Response<crate::server::ReplyBody> {
        if self.lock().leaving {
            return text_reply(StatusCode::SERVICE_UNAVAILABLE, "leaving");
        }
        text_reply(StatusCode::OK, "ready")
    }

    async fn control(&self, request: Request<Incoming>) -> ReplyResult {
        match read_json::<ServiceFault>(request).await? {
            Ok(fault) => self.apply(fault),
            Err(reply) => return Ok(reply),
        }
        Ok(text_reply(StatusCode::OK, ""))
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<SmolStr> {
    headers.get(name)?.to_str().ok().map(SmolStr::new)
}
