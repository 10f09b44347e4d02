//! Sends steps to engines and matches their answers: [`StepClient`].
//!
//! Steps for one engine that are ready together are sent in one batch, and each is answered on its
//! own line. An answer is accepted only under a step id that was sent; any other is dropped and
//! counted. A connection that delivers nothing, not even a heartbeat, is abandoned together with
//! all idle connections to that engine, since the cause may affect them all.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use smol_str::SmolStr;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::metric;
use banyan_core::ids::TargetId;
use banyan_http::client::JsonClient;
use banyan_http::client::PlainClient;
use banyan_http::client::encode;
use banyan_http::client::error_chain;
use banyan_http::client::plain_client;
use banyan_wire::engine::CancelRequest;
use banyan_wire::engine::StageActivations;
use banyan_wire::engine::StepBatch;
use banyan_wire::engine::StepEvent;
use banyan_wire::engine::StepId;
use banyan_wire::engine::StepRefusal;
use banyan_wire::engine::StepRequest;
use banyan_wire::engine::TokenWire;

/// The most steps in one batch.
const BATCH_LIMIT: usize = 256;
/// The time limit of a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum length of one line of an answer.
const LINE_LIMIT_BYTES: usize = 1 << 20;

/// Why a step has no answer.
#[derive(Clone, Debug, Error)]
pub enum StepError {
    /// No connection was made, so the step was not sent.
    #[error("the target cannot be reached: {0}")]
    Connect(SmolStr),
    /// The connection went silent; the step may have run.
    #[error("the connection went silent")]
    Silent,
    /// The connection broke or the answer is truncated; the step may have run.
    #[error("the connection broke: {0}")]
    Broken(SmolStr),
    /// The connection is alive, but the answer is overdue and may have been lost.
    #[error("the answer is overdue")]
    Overdue,
    /// Another suspected content is running on the target; nothing was sent.
    #[error("the target is running another suspect")]
    Occupied,
    /// The target refused to run the step.
    #[error("the target refused the step: {0:?}")]
    Refused(StepRefusal),
}

/// The result of a step.
#[derive(Clone, Debug)]
pub struct StepAnswer {
    /// The hand-off to the next stage.
    pub output: StageActivations,
    /// The generated token; only the last stage returns one.
    pub token: Option<TokenWire>,
    /// The number of prompt tokens found in the prefix cache.
    pub cached: u32,
    /// The engine's incarnation, which changes when it restarts.
    pub incarnation: SmolStr,
}

type StepReply = oneshot::Sender<Result<StepAnswer, StepError>>;

#[derive(Debug)]
struct QueuedStep {
    order: StepRequest,
    reply: StepReply,
}

/// Sends steps to all engines, with one queue per engine.
#[derive(Debug)]
pub struct StepClient {
    queues: Mutex<BTreeMap<(TargetId, SocketAddr), StepQueue>>,
    control: JsonClient,
}

impl Default for StepClient {
    fn default() -> Self {
        Self { queues: Mutex::new(BTreeMap::new()), control: JsonClient::new(CANCEL_TIMEOUT) }
    }
}

#[derive(Clone, Debug)]
struct StepQueue {
    items: mpsc::UnboundedSender<QueuedStep>,
}

/// The connections to one engine, which can all be abandoned at once.
#[derive(Debug)]
struct ConnectionPool {
    client: Mutex<PlainClient>,
}

impl ConnectionPool {
    fn client(&self) -> PlainClient {
        self.client.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn renew(&self) {
        *self.client.lock().unwrap_or_else(PoisonError::into_inner) = plain_client();
    }
}

impl StepClient {
    /// Runs one step; `silence` is the longest time that its connection may deliver nothing.
    pub async fn run(
        &self,
        target: &TargetId,
        address: SocketAddr,
        order: StepRequest,
        silence: Duration,
    ) -> Result<StepAnswer, StepError> {
        let (reply, answer) = oneshot::channel();
        let queue = self.queue(target, address, silence);
        if queue.items.send(QueuedStep { order, reply }).is_err() {
            return Err(StepError::Broken(SmolStr::new_static("the step queue is closed")));
        }
        match answer.await {
            Ok(result) => result,
            Err(_) => Err(StepError::Broken(SmolStr::new_static("the batch was dropped"))),
        }
    }

    /// Tells an engine to drop the state of a request. Best effort: a failure is only logged.
    pub async fn cancel(&self, address: SocketAddr, order: &CancelRequest) {
        if let Err(error) = self.control.post::<_, ()>(address, "/v1/cancel", order).await {
            log::debug!("steps: A cancel request failed: {error}.");
        }
    }

    fn queue(&self, target: &TargetId, address: SocketAddr, silence: Duration) -> StepQueue {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry((target.clone(), address)).or_insert_with(|| {
            let (items, receiver) = mpsc::unbounded_channel();
            let connections = Arc::new(ConnectionPool { client: Mutex::new(plain_client()) });
            tokio::spawn(run_queue(address, receiver, connections, silence));
            StepQueue { items }
        });
        queue.clone()
    }
}

async fn run_queue(
    address: SocketAddr,
    mut items: mpsc::UnboundedReceiver<QueuedStep>,
    connections: Arc<ConnectionPool>,
    silence: Duration,
) {
    while let Some(first) = items.recv().await {
        // Lets other requests that were answered in the same engine batch queue their next step.
        tokio::task::yield_now().await;
        let mut batch = vec![first];
        while batch.len() < BATCH_LIMIT {
            let Ok(item) = items.try_recv() else { break };
            batch.push(item);
        }
        tokio::spawn(send_batch(address, batch, connections.clone(), silence));
    }
}

async fn send_batch(
    address: SocketAddr,
    batch: Vec<QueuedStep>,
    connections: Arc<ConnectionPool>,
    silence: Duration,
) {
    let mut steps = Vec::with_capacity(batch.len());
    let mut waiting = BTreeMap::new();
    for item in batch {
        waiting.insert(item.order.step.clone(), item.reply);
        steps.push(item.order);
    }
    let error = match post_batch(address, &StepBatch { steps }, &mut waiting, &connections, silence)
        .await
    {
        Ok(()) => StepError::Broken(SmolStr::new_static("the answer ended without this step")),
        Err(error) => error,
    };
    if matches!(error, StepError::Silent) {
        connections.renew();
    }
    for reply in waiting.into_values() {
        let _ = reply.send(Err(error.clone()));
    }
}

async fn post_batch(
    address: SocketAddr,
    batch: &StepBatch,
    waiting: &mut BTreeMap<StepId, StepReply>,
    connections: &ConnectionPool,
    silence: Duration,
) -> Result<(), StepError> {
    let broken = |reason: String| StepError::Broken(SmolStr::new(reason));
    let request = Request::builder()
        .method("POST")
        .uri(format!("http://{address}/v1/steps"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(encode(batch)))
        .map_err(|error| broken(error.to_string()))?;
    let response = tokio::time::timeout(silence, connections.client().request(request)).await;
    let response = response.map_err(|_| StepError::Silent)?.map_err(|error| {
        let reason = SmolStr::new(error_chain(&error));
        if error.is_connect() { StepError::Connect(reason) } else { StepError::Broken(reason) }
    })?;
    if !response.status().is_success() {
        return Err(broken(format!("the target answered {}", response.status())));
    }
    read_events(response.into_body(), waiting, silence).await
}

async fn read_events(
    mut body: Incoming,
    waiting: &mut BTreeMap<StepId, StepReply>,
    silence: Duration,
) -> Result<(), StepError> {
    let broken = |reason: &str| StepError::Broken(SmolStr::new(reason));
    let mut buffer = BytesMut::new();
    loop {
        while let Some(line) = take_line(&mut buffer) {
            let event: StepEvent = serde_json::from_slice(&line)
                .map_err(|error| broken(&format!("a line cannot be parsed: {error}")))?;
            match event {
                StepEvent::Heartbeat => {}
                StepEvent::Done => return Ok(()),
                event => deliver_event(event, waiting),
            }
        }
        if buffer.len() > LINE_LIMIT_BYTES {
            return Err(broken("a line is too long"));
        }
        let frame = tokio::time::timeout(silence, body.frame()).await;
        let Some(frame) = frame.map_err(|_| StepError::Silent)? else {
            return Err(broken("the answer is truncated"));
        };
        let frame = frame.map_err(|error| broken(&error.to_string()))?;
        if let Some(data) = frame.data_ref() {
            buffer.extend_from_slice(data);
        }
    }
}

fn take_line(buffer: &mut BytesMut) -> Option<Bytes> {
    let end = buffer.iter().position(|byte| *byte == b'\n')?;
    let line = buffer.split_to(end + 1).freeze();
    Some(line.slice(..end))
}

fn deliver_event(event: StepEvent, waiting: &mut BTreeMap<StepId, StepReply>) {
    let (step, result) = match event {
        StepEvent::Answer { step, output, token, cached, incarnation } => {
            (step, Ok(StepAnswer { output, token, cached, incarnation }))
        }
        StepEvent::Refused { step, reason } => (step, Err(StepError::Refused(reason))),
        StepEvent::Heartbeat | StepEvent::Done => return,
    };
    match waiting.remove(&step) {
        Some(reply) => {
            let _ = reply.send(result);
        }
        None => metric::count_dropped_answer(),
    }
}
