//! The engine's calls over HTTP.

use std::sync::Arc;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::engine::EngineApp;
use crate::engine::stream::stream_body;
use crate::fault::EngineFault;
use crate::server::ReplyBody;
use crate::server::ReplyResult;
use crate::server::RequestHandler;
use crate::server::json_reply;
use crate::server::query_number;
use crate::server::read_json;
use crate::server::text_reply;
use banyan_wire::engine::CacheCopy;
use banyan_wire::engine::CacheEventsReply;
use banyan_wire::engine::CacheRef;
use banyan_wire::engine::CancelRequest;
use banyan_wire::engine::EngineOrder;
use banyan_wire::engine::LoadReport;
use banyan_wire::engine::StepBatch;

/// The size of the cache of one token, in bytes.
const CACHE_BYTES_PER_TOKEN: u64 = 65_536;

impl RequestHandler for EngineApp {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> ReplyResult {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/steps") => self.run_steps(request).await,
            (&Method::POST, "/v1/cancel") => self.cancel(request).await,
            (&Method::GET, "/v1/load") => Ok(json_reply(StatusCode::OK, &self.report())),
            (&Method::GET, "/v1/cache-events") => {
                let from = query_number(request.uri().query(), "from").unwrap_or(0);
                Ok(json_reply(StatusCode::OK, &self.cache_events(from)))
            }
            (&Method::POST, "/v1/kv/export") => self.export(request).await,
            (&Method::POST, "/v1/kv/import") => self.import(request).await,
            (&Method::POST, "/v1/orders") => self.order(request).await,
            (&Method::GET, "/v1/role") => Ok(json_reply(StatusCode::OK, &self.lock().role)),
            (&Method::GET, "/truth") => Ok(json_reply(StatusCode::OK, &self.lock().truth)),
            (&Method::POST, "/control") => self.control(request).await,
            _ => Ok(text_reply(StatusCode::NOT_FOUND, "no such call")),
        }
    }
}

impl EngineApp {
    async fn run_steps(&self, request: Request<Incoming>) -> ReplyResult {
        let batch = match read_json::<StepBatch>(request).await? {
            Ok(batch) => batch,
            Err(reply) => return Ok(reply),
        };
        let (sender, items) = mpsc::unbounded_channel();
        let steps = batch.steps.len();
        let mut state = self.lock();
        for order in batch.steps {
            if let Some(item) = state.accept(order, &sender) {
                // The receiver is still in this function.
                let _ = sender.send(item);
            }
        }
        drop(state);
        self.arrived.notify_one();
        Ok(Response::new(stream_body(items, steps)))
    }

    async fn cancel(&self, request: Request<Incoming>) -> ReplyResult {
        match read_json::<CancelRequest>(request).await? {
            Ok(order) => self.lock().cancel(&order.request),
            Err(reply) => return Ok(reply),
        }
        Ok(text_reply(StatusCode::OK, ""))
    }

    /// The newest report that is as old as the lag, or else the oldest there is.
    fn report(&self) -> LoadReport {
        let state = self.lock();
        let now = Instant::now();
        let mut old = state.reports.iter().rev();
        let found = old.find(|(at, _)| now - *at >= self.options.load_lag);
        let Some((at, report)) = found.or(state.reports.front()) else {
            return state.load();
        };
        LoadReport { age_ms: (now - *at).as_millis() as u64, ..report.clone() }
    }

    fn cache_events(&self, from: u64) -> CacheEventsReply {
        let state = self.lock();
        let incarnation = state.truth.incarnation.clone();
        CacheEventsReply { incarnation, events: state.prefixes.events_from(from) }
    }

    async fn export(&self, request: Request<Incoming>) -> ReplyResult {
        let of = match read_json::<CacheRef>(request).await? {
            Ok(of) => of,
            Err(reply) => return Ok(reply),
        };
        let state = self.lock();
        let model = state.role.model.clone();
        Ok(match state.lineages.export(of, model, CACHE_BYTES_PER_TOKEN) {
            Some(copy) => json_reply(StatusCode::OK, &copy),
            None => text_reply(StatusCode::NOT_FOUND, "the lineage is unknown"),
        })
    }

    async fn import(&self, request: Request<Incoming>) -> ReplyResult {
        let copy = match read_json::<CacheCopy>(request).await? {
            Ok(copy) => copy,
            Err(reply) => return Ok(reply),
        };
        if self.lock().lineages.import(copy) {
            return Ok(text_reply(StatusCode::OK, ""));
        }
        Ok(text_reply(StatusCode::CONFLICT, "the lineage is known or the copy does not fit"))
    }

    async fn order(&self, request: Request<Incoming>) -> ReplyResult {
        let order = match read_json::<EngineOrder>(request).await? {
            Ok(order) => order,
            Err(reply) => return Ok(reply),
        };
        sleep(self.options.load_time).await;
        let taken = self.lock().take_order(order, self.options.checks_fence);
        Ok(match taken {
            Some(role) => json_reply(StatusCode::OK, &role),
            None => json_reply(StatusCode::CONFLICT, &self.lock().role),
        })
    }

    async fn control(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ReplyBody>, std::io::Error> {
        match read_json::<EngineFault>(request).await? {
            Ok(fault) => self.apply(fault),
            Err(reply) => return Ok(reply),
        }
        Ok(text_reply(StatusCode::OK, ""))
    }
}
