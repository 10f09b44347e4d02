//! One attempt to open a stream on one chain: [`open_chain`].

use std::sync::Arc;

use bytes::Bytes;
use http::StatusCode;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Limited;
use tokio::time::Instant;

use crate::callers::routed_request::RoutedRequest;
use crate::edges::AnswerFacts;
use crate::edges::Dispatch;
use crate::edges::Platform;
use crate::engines::attempt_watch::AttemptWatch;
use crate::engines::events::EventBatch;
use crate::engines::events::EventSplitter;
use crate::engines::exchange::ExchangeFailure;
use crate::engines::exchange::implies_not_run;
use crate::engines::exchange::send_to_target;
use crate::engines::leases::RequestLease;
use crate::engines::link::LinkBody;
use crate::state::ForwardState;
use banyan_core::pipeline::prompt_order::Urgency;
use banyan_core::pipeline::target_chain::TargetChain;
use banyan_core::units::Moment;

/// The largest error answer of an engine that is buffered.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// A stream whose first event has arrived, or that ended without one.
pub struct OpenedStream {
    /// The chain that serves it.
    pub chain: Arc<TargetChain>,
    /// When the request was sent.
    pub sent: Moment,
    /// When its first event arrived.
    pub opened_at: Instant,
    /// The head of the first engine's answer.
    pub head: Parts,
    /// The rest of its body.
    pub body: LinkBody,
    /// Splits the body into events; holds the id of the last one and any incomplete bytes.
    pub splitter: EventSplitter,
    /// The first complete events, or `None` if the stream ended before any.
    pub first: Option<EventBatch>,
    /// The capacity that it reserves at the chain's engines, released when the stream ends.
    pub lease: RequestLease,
    /// Notes that the stream ended without an answer, until it has run for long enough.
    pub watch: Option<AttemptWatch>,
}

/// Why no stream could be opened on a chain.
pub enum OpenFailure {
    /// An engine stated that the request has not run.
    NotRun(AnswerFacts),
    /// The connection to the first engine could not be established.
    NotSent,
    /// The engine answered with an error, which can be relayed.
    Failed(Box<Parts>, Bytes),
    /// The connection ended before an event, as it does when the first engine crashes. The request
    /// may have run.
    ConnectionLost,
    /// Any other failure; the request may have run. Holds the cause for the log.
    MaybeRun(&'static str),
}

impl From<ExchangeFailure> for OpenFailure {
    fn from(failure: ExchangeFailure) -> Self {
        match failure {
            ExchangeFailure::NotSent => Self::NotSent,
            ExchangeFailure::NotRun(facts) => Self::NotRun(facts),
            ExchangeFailure::ConnectionLost => Self::ConnectionLost,
            ExchangeFailure::MaybeRun(cause) => Self::MaybeRun(cause),
        }
    }
}

/// Sends a request to the first engine of a chain and waits for the first event.
pub async fn open_chain<P: Platform>(
    state: Arc<ForwardState<P>>,
    request: Arc<RoutedRequest>,
    chain: Arc<TargetChain>,
    last_event: Option<u64>,
    urgency: Option<Urgency>,
    lease: RequestLease,
) -> Result<OpenedStream, OpenFailure> {
    let sent = state.now();
    let first = &chain.parts[0];
    let dispatch = Dispatch {
        target: &first.target,
        time_left: request.deadline.since(sent),
        workspace: request.workspace.as_ref(),
        chain: &chain.parts,
        last_event,
        urgency,
    };
    let answer = send_to_target(&state, &request, first.address, &dispatch).await;
    let (head, mut body) = answer?;
    if head.status != StatusCode::OK {
        return Err(read_failure(head, body).await);
    }
    let mut splitter = EventSplitter::resuming_after(last_event);
    let first = read_first_events(&mut body, &mut splitter).await?;
    let opened_at = Instant::now();
    Ok(OpenedStream { chain, sent, opened_at, head, body, splitter, first, lease, watch: None })
}

async fn read_first_events(
    body: &mut LinkBody,
    splitter: &mut EventSplitter,
) -> Result<Option<EventBatch>, OpenFailure> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| OpenFailure::ConnectionLost)?;
        let bytes = frame.into_data().unwrap_or_default();
        let batch = splitter.push(bytes);
        match batch.map_err(|_| OpenFailure::MaybeRun("its events are malformed"))? {
            Some(batch) => return Ok(Some(batch)),
            None => continue,
        }
    }
    if splitter.has_partial() {
        return Err(OpenFailure::MaybeRun("it ended in the middle of an event"));
    }
    Ok(None)
}

/// Reads an engine's error answer. It cannot be relayed if its status implies that the request has
/// not run, since the engine did not state that.
async fn read_failure(head: Parts, body: LinkBody) -> OpenFailure {
    if implies_not_run(head.status) {
        return OpenFailure::MaybeRun("it failed without stating that the request has not run");
    }
    match Limited::new(body, MAX_FAILURE_BYTES).collect().await {
        Ok(collected) => OpenFailure::Failed(Box::new(head), collected.to_bytes()),
        Err(_) => OpenFailure::MaybeRun("its error answer was cut off or too large"),
    }
}
