//! Sends one request to one target and checks that the answer belongs to it: [`send_to_target`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use http::response::Parts;

use crate::callers::routed_request::RoutedRequest;
use crate::edges::AnswerFacts;
use crate::edges::Dispatch;
use crate::edges::Platform;
use crate::engines::leaving;
use crate::engines::link::LinkBody;
use crate::engines::link::LinkError;
use crate::engines::link::send_request;
use crate::logs;
use crate::peers::limit_alerts;
use crate::state::ForwardState;
use banyan_core::ids::TargetId;
use banyan_http::answer_status::may_have_status;

/// Why a target gave no answer that can be relayed.
pub enum ExchangeFailure {
    /// The connection could not be established; nothing was sent.
    NotSent,
    /// The target stated that the request has not run.
    NotRun(AnswerFacts),
    /// The connection ended without an answer, as it does when a target crashes. The request may
    /// have run.
    ConnectionLost,
    /// Any other failure; the request may have run. Holds the cause for the log.
    MaybeRun(&'static str),
}

/// The cause of [`ExchangeFailure::ConnectionLost`] for the log.
pub const CONNECTION_LOST: &str = "the connection was lost";

/// Sends a request to a target and waits for the head of its answer. A successful answer must carry
/// the request's token and the target's signature.
pub async fn send_to_target<P: Platform>(
    state: &Arc<ForwardState<P>>,
    request: &RoutedRequest,
    address: SocketAddr,
    dispatch: &Dispatch<'_>,
) -> Result<(Parts, LinkBody), ExchangeFailure> {
    let outgoing = request.dispatch(&state.platform, dispatch);
    let (head, body) = match send_request(address, outgoing).await {
        Ok(answer) => answer,
        Err(LinkError::NotSent(_)) => return Err(ExchangeFailure::NotSent),
        Err(LinkError::MaybeRun(_)) => return Err(ExchangeFailure::ConnectionLost),
    };
    if !may_have_status(head.status, &request.head.headers) {
        return Err(ExchangeFailure::MaybeRun("the answer has a status that it may not have"));
    }
    let facts = state.platform.read_answer(head.status, &head.headers);
    if facts.leaving {
        leaving::note_answer(state, dispatch.target);
    }
    if facts.leaving && facts.misdirected {
        leaving::note_holder(state, address);
    }
    if let Some(pause) = facts.pause {
        note_pause(state, dispatch.target, pause);
    }
    let success = head.status.is_success();
    if !request.accepts(&facts, &head.headers, success) || (success && !facts.signature) {
        return Err(ExchangeFailure::MaybeRun(
            "the answer does not belong to this request or is not usable",
        ));
    }
    note_limit(state, dispatch.target, &facts, success);
    if facts.lacks_room {
        note_rejection(state, dispatch, &facts);
    }
    if facts.not_run {
        return Err(ExchangeFailure::NotRun(facts));
    }
    Ok((head, body))
}

/// Records what an answer says about the target's limit, and tells peers if that is news. Only a
/// success without a limit shows that there is none any more.
fn note_limit<P: Platform>(
    state: &Arc<ForwardState<P>>,
    target: &TargetId,
    facts: &AnswerFacts,
    success: bool,
) {
    if facts.limit.is_none() && !success {
        return;
    }
    let now = state.now();
    let is_news = state.tables().limits.note_answer(target, facts.limit, now);
    if is_news {
        logs::limit_changed(target, facts.limit, "answer");
        limit_alerts::alert_peers(state, std::slice::from_ref(target));
    }
}

/// Records that a target wants no request of this instance for some time.
fn note_pause<P>(state: &ForwardState<P>, target: &TargetId, pause: Duration) {
    let now = state.now();
    state.tables().limits.note_pause(target, pause, now);
    tracing::info!(
        part = "limits",
        %target,
        pause_ms = pause.as_millis() as u64,
        "A target wants no requests for some time."
    );
}

/// Records that the target, or the engine of the chain that it names, had no room for a request. An
/// engine that is named but not in the chain is not known to be full, nor is the target then.
fn note_rejection<P>(state: &ForwardState<P>, dispatch: &Dispatch<'_>, facts: &AnswerFacts) {
    let named = facts.at_fault.filter(|_| !dispatch.chain.is_empty());
    let index = match named {
        Some(address) => dispatch.chain.iter().position(|part| part.address == address),
        None => Some(0),
    };
    let Some(index) = index else { return };
    let target = dispatch.chain.get(index).map_or(dispatch.target, |part| &part.target);
    let place = if index == 0 { "first" } else { "later" };
    metrics::counter!("banyan_room_rejections_total", "engine" => place).increment(1);
    let now = state.now();
    if state.tables().peer_loads.rejections.note_rejection(target, now) {
        logs::target_full(target, place);
    }
}

/// Whether a caller would take this status as proof that its request has not run and will not run.
/// An answer with such a status is never relayed: if the target did state that the request has not
/// run, the daemon retries or refuses it instead.
pub fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
