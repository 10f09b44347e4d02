//! One request to one target, up to the head of an answer that is this request's: [`ask_target`].

use std::net::SocketAddr;

use http::response::Parts;

use crate::edges::AnswerFacts;
use crate::edges::Dispatch;
use crate::edges::Platform;
use crate::link::LinkBody;
use crate::link::LinkError;
use crate::link::send_request;
use crate::state::ForwardState;
use crate::ticket::RequestTicket;

/// Why a target gave no answer that can be passed on.
pub enum AskFailure {
    /// No connection came about; nothing was sent.
    NotSent,
    /// The target stated that the request has not run.
    NotRun(AnswerFacts),
    /// Anything else: the request may have run.
    MaybeRun(&'static str),
}

/// Sends a request to a target and waits for the head of its answer.
pub async fn ask_target<P: Platform>(
    state: &ForwardState<P>,
    ticket: &RequestTicket,
    address: SocketAddr,
    dispatch: &Dispatch<'_>,
) -> Result<(Parts, LinkBody), AskFailure> {
    let request = ticket.dispatch(&state.platform, dispatch);
    let (head, body) = match send_request(address, request).await {
        Ok(answer) => answer,
        Err(LinkError::NotSent(_)) => return Err(AskFailure::NotSent),
        Err(LinkError::MaybeRun(_)) => return Err(AskFailure::MaybeRun("the connection ended")),
    };
    let facts = state.platform.read_answer(head.status, &head.headers);
    let success = head.status.is_success();
    if !ticket.accepts(&facts, &head.headers, success) || (success && !facts.signature) {
        return Err(AskFailure::MaybeRun("the answer is not this request's"));
    }
    if facts.not_run {
        return Err(AskFailure::NotRun(facts));
    }
    Ok((head, body))
}
