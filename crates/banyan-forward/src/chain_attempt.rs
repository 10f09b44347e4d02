//! One attempt to get a stream from one chain: [`open_chain`].

use std::sync::Arc;

use bytes::Bytes;
use http::StatusCode;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Limited;

use crate::edges::AnswerFacts;
use crate::edges::Dispatch;
use crate::edges::Platform;
use crate::events::EventBatch;
use crate::events::EventSplitter;
use crate::exchange::AskFailure;
use crate::exchange::ask_target;
use crate::leases::RequestLease;
use crate::link::LinkBody;
use crate::state::ForwardState;
use crate::ticket::RequestTicket;
use banyan_core::pipeline::chain::TargetChain;

/// The largest failure that is read whole, in bytes.
const FAILURE_LIMIT_BYTES: usize = 1 << 20;

/// A chain that has begun to answer.
pub struct OpenedStream {
    /// The chain.
    pub chain: Arc<TargetChain>,
    /// The head of the answer.
    pub head: Parts,
    /// The rest of its body.
    pub body: LinkBody,
    /// The events read so far.
    pub splitter: EventSplitter,
    /// The first whole events, or `None` if the stream ended before any.
    pub first: Option<EventBatch>,
    /// The room that it takes up, given back when the stream ends.
    pub lease: RequestLease,
}

/// Why a chain gave no stream.
pub enum OpenFailure {
    /// An engine stated that the request has not run.
    NotRun(AnswerFacts),
    /// No connection to the first engine came about.
    NotSent,
    /// The engine answered with a failure of its own.
    Failed(Box<Parts>, Bytes),
    /// Anything else: the request may have run.
    MaybeRun(&'static str),
}

impl From<AskFailure> for OpenFailure {
    fn from(failure: AskFailure) -> Self {
        match failure {
            AskFailure::NotSent => Self::NotSent,
            AskFailure::NotRun(facts) => Self::NotRun(facts),
            AskFailure::MaybeRun(cause) => Self::MaybeRun(cause),
        }
    }
}

/// Sends a request to the first engine of a chain and waits for the first event.
pub async fn open_chain<P: Platform>(
    state: Arc<ForwardState<P>>,
    ticket: Arc<RequestTicket>,
    chain: Arc<TargetChain>,
    last_event: Option<u64>,
    resuming: bool,
    lease: RequestLease,
) -> Result<OpenedStream, OpenFailure> {
    let first = &chain.parts[0];
    let dispatch = Dispatch {
        target: &first.target,
        time_left: ticket.limit.since(state.now()),
        workspace: ticket.workspace.as_ref(),
        chain: &chain.parts,
        last_event,
        urgent: resuming,
    };
    let asked = ask_target(&state, &ticket, first.address, &dispatch).await;
    let (head, mut body) = asked?;
    if head.status != StatusCode::OK {
        return Err(read_failure(head, body).await);
    }
    let mut splitter = EventSplitter::after(last_event);
    let first = first_events(&mut body, &mut splitter).await?;
    Ok(OpenedStream { chain, head, body, splitter, first, lease })
}

async fn first_events(
    body: &mut LinkBody,
    splitter: &mut EventSplitter,
) -> Result<Option<EventBatch>, OpenFailure> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| OpenFailure::MaybeRun("its connection broke off"))?;
        let bytes = frame.into_data().unwrap_or_default();
        let batch = splitter.push(bytes);
        match batch.map_err(|_| OpenFailure::MaybeRun("its events are damaged"))? {
            Some(batch) => return Ok(Some(batch)),
            None => continue,
        }
    }
    if splitter.has_partial() {
        return Err(OpenFailure::MaybeRun("it ended within an event"));
    }
    Ok(None)
}

/// A failure of an engine's own; one that promises what the engine did not state is none.
async fn read_failure(head: Parts, body: LinkBody) -> OpenFailure {
    if crate::call::promises_not_run(head.status) {
        return OpenFailure::MaybeRun("it failed without stating that the request has not run");
    }
    match Limited::new(body, FAILURE_LIMIT_BYTES).collect().await {
        Ok(collected) => OpenFailure::Failed(Box::new(head), collected.to_bytes()),
        Err(_) => OpenFailure::MaybeRun("its failure broke off"),
    }
}
