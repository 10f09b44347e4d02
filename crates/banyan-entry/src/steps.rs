//! Carries steps to engines and matches their answers: [`StepClient`].
//!
//! Steps for one engine that are ready together go out in one batch, and each is answered on its
//! own line. An answer is taken only under the step id that was sent; anything else is dropped and
//! counted. A connection on which nothing comes, not even a heartbeat, is given up with all idle
//! ones of that engine, since whatever lost track of one may have lost all.

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
/// The time that a cancel may take.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest line of an answer, in bytes.
const LINE_LIMIT_BYTES: usize = 1 << 20;

/// Why a step has no answer.
#[derive(Clone, Debug, Error)]
pub enum StepError {
    /// No connection was made: the step was not sent.
    #[error("the target cannot be reached: {0}")]
    Connect(SmolStr),
    /// The connection went silent; the step may have run.
    #[error("the connection went silent")]
    Silent,
    /// The connection broke or the answer is cut; the step may have run.
    #[error("the connection broke: {0}")]
    Broken(SmolStr),
    /// The connection is alive, but the answer is long overdue and may have been lost.
    #[error("the answer is overdue")]
    Overdue,
    /// Another suspected content runs there; nothing was sent.
    #[error("the target has another suspect")]
    Occupied,
    /// The target did not run it.
    #[error("the target refused the step: {0:?}")]
    Refused(StepRefusal),
}

/// What a step gave.
#[derive(Clone, Debug)]
pub struct StepAnswer {
    /// The hand-off to the next stage.
    pub output: StageActivations,
    /// On the last stage: the token.
    pub token: Option<TokenWire>,
    /// Prompt tokens found in the prefix cache.
    pub cached: u32,
    /// The engine's run.
    pub incarnation: SmolStr,
}

type StepReply = oneshot::Sender<Result<StepAnswer, StepError>>;

#[derive(Debug)]
struct LaneItem {
    order: StepRequest,
    reply: StepReply,
}

/// Steps to all engines, with one lane each.
#[derive(Debug)]
pub struct StepClient {
    lanes: Mutex<BTreeMap<(TargetId, SocketAddr), EngineLane>>,
    control: JsonClient,
}

impl Default for StepClient {
    fn default() -> Self {
        Self { lanes: Mutex::new(BTreeMap::new()), control: JsonClient::new(CANCEL_TIMEOUT) }
    }
}

#[derive(Clone, Debug)]
struct EngineLane {
    items: mpsc::UnboundedSender<LaneItem>,
}

/// The connections to one engine, all of which can be given up at once.
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
    /// Runs one step; `silence` is the longest time without any sign on its connection.
    pub async fn run(
        &self,
        target: &TargetId,
        address: SocketAddr,
        order: StepRequest,
        silence: Duration,
    ) -> Result<StepAnswer, StepError> {
        let (reply, answer) = oneshot::channel();
        let lane = self.lane(target, address, silence);
        if lane.items.send(LaneItem { order, reply }).is_err() {
            return Err(StepError::Broken(SmolStr::new_static("the lane is closed")));
        }
        match answer.await {
            Ok(result) => result,
            Err(_) => Err(StepError::Broken(SmolStr::new_static("the batch was dropped"))),
        }
    }

    /// Tells an engine to forget a request; whether it hears it does not matter.
    pub async fn cancel(&self, address: SocketAddr, order: &CancelRequest) {
        if let Err(error) = self.control.post::<_, ()>(address, "/v1/cancel", order).await {
            log::debug!("steps: A cancel was not heard: {error}.");
        }
    }

    fn lane(&self, target: &TargetId, address: SocketAddr, silence: Duration) -> EngineLane {
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        let lane = lanes.entry((target.clone(), address)).or_insert_with(|| {
            let (items, receiver) = mpsc::unbounded_channel();
            let connections = Arc::new(ConnectionPool { client: Mutex::new(plain_client()) });
            tokio::spawn(run_lane(address, receiver, connections, silence));
            EngineLane { items }
        });
        lane.clone()
    }
}

async fn run_lane(
    address: SocketAddr,
    mut items: mpsc::UnboundedReceiver<LaneItem>,
    connections: Arc<ConnectionPool>,
    silence: Duration,
) {
    while let Some(first) = items.recv().await {
        // Other requests that were answered by the same engine batch get to queue their next step.
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
    batch: Vec<LaneItem>,
    connections: Arc<ConnectionPool>,
    silence: Duration,
) {
    let mut steps = Vec::with_capacity(batch.len());
    let mut waiting = BTreeMap::new();
    for item in batch {
        waiting.insert(item.order.step.clone(), item.reply);
        steps.push(item.order);
    }
    let error =
        match exchange(address, &StepBatch { steps }, &mut waiting, &connections, silence).await {
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

async fn exchange(
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
                .map_err(|error| broken(&format!("a line is not understood: {error}")))?;
            match event {
                StepEvent::Heartbeat => {}
                StepEvent::Done => return Ok(()),
                event => settle(event, waiting),
            }
        }
        if buffer.len() > LINE_LIMIT_BYTES {
            return Err(broken("a line is too long"));
        }
        let frame = tokio::time::timeout(silence, body.frame()).await;
        let Some(frame) = frame.map_err(|_| StepError::Silent)? else {
            return Err(broken("the answer is cut"));
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

fn settle(event: StepEvent, waiting: &mut BTreeMap<StepId, StepReply>) {
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
