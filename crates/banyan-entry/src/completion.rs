//! Serves completions: [`run_completion`] runs one and sends its events to the caller's handler.

use std::sync::Arc;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::Xxh3;

use crate::admission::AdmissionOrder;
use crate::admission::admit;
use crate::crashes;
use crate::lineage::AnswerOrder;
use crate::lineage::LineageRun;
use crate::metric;
use crate::refusal::Refusal;
use crate::state::EntryState;
use banyan_core::event::EventKind;
use banyan_wire::caller::OutcomeWire;
use banyan_wire::caller::StreamEnd;

/// An event of a completion. Any number of tokens is followed by exactly one end or failure.
#[derive(Clone, Debug)]
pub enum CompletionEvent {
    /// The next token's text.
    Token(SmolStr),
    /// The answer is complete.
    End(StreamEnd),
    /// The answer is missing or incomplete.
    Failed(Refusal),
}

/// The number of events that are buffered for a slow caller.
const EVENT_BUFFER: usize = 64;

/// Starts a completion; dropping the receiver cancels it.
pub fn run_completion(
    state: Arc<EntryState>,
    order: AnswerOrder,
) -> mpsc::Receiver<CompletionEvent> {
    let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
    tokio::spawn(async move {
        let request = order.request.to_string();
        let content = order.content;
        let result = complete(&state, order, &sender).await;
        if result.is_err() && state.tables().recently_quarantined.contains_key(&content) {
            crashes::wait_for_quarantine(&state, content).await;
        }
        let detail = result.as_ref().map(|end| format!("{} tokens", end.tokens));
        note_end(&state, &request, detail);
        let end = result.map_or_else(CompletionEvent::Failed, CompletionEvent::End);
        let _ = sender.send(end).await;
    });
    receiver
}

async fn complete(
    state: &Arc<EntryState>,
    order: AnswerOrder,
    sender: &mpsc::Sender<CompletionEvent>,
) -> Result<StreamEnd, Refusal> {
    let arrived = state.now();
    if crashes::is_quarantined(state, order.content) {
        return Err(Refusal::Quarantined);
    }
    let max_tokens = order.max_tokens;
    let request = order.request.clone();
    let content = order.content;
    let permit = admit(
        state,
        AdmissionOrder {
            request: request.clone(),
            workspace: order.workspace.clone(),
            model: order.model.clone(),
            tokens: max_tokens,
            deadline: order.deadline,
        },
    )
    .await?;
    let mut run = LineageRun::start(state.clone(), order)?;
    let mut digest = Xxh3::new();
    let mut tokens = 0;
    while tokens < max_tokens {
        let token = tokio::select! {
            token = run.next_token() => token?,
            () = sender.closed() => {
                return Err(Refusal::Incomplete("the caller went away".to_owned()));
            }
        };
        tokens += 1;
        digest.update(token.text.as_bytes());
        if tokens == 1 {
            metric::record_first_token(state.now().since(arrived).as_secs_f64());
        }
        if sender.send(CompletionEvent::Token(token.text)).await.is_err() {
            return Err(Refusal::Incomplete("the caller went away".to_owned()));
        }
        if token.last {
            break;
        }
    }
    drop(run);
    permit.settle(tokens);
    drop(permit);
    state.tables().suspects.clear(content);
    metric::count_tokens(tokens);
    Ok(StreamEnd {
        outcome: OutcomeWire::Complete,
        request_id: request.into(),
        tokens,
        checksum: format_smolstr!("{:016x}", digest.digest()),
    })
}

/// Counts and logs the end of a request and records it in the journal.
pub fn note_end(state: &EntryState, request: &str, end: Result<String, &Refusal>) {
    let (kind, outcome, detail) = match end {
        Ok(detail) => (EventKind::Completed, OutcomeWire::Complete, detail),
        Err(refusal) if refusal.outcome() == OutcomeWire::NotRun => {
            (EventKind::Refused, OutcomeWire::NotRun, refusal.to_string())
        }
        Err(refusal) => (EventKind::OutcomeUnknown, OutcomeWire::Unknown, refusal.to_string()),
    };
    metric::count_request(outcome);
    log::info!("request: {request} ended {outcome}: {detail}.");
    state.journal.record(kind, request, "", &detail);
}
