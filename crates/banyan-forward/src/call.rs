//! Calls of plain services: [`serve_call`].
//!
//! The answer is read whole before anything of it is passed on, so that an answer that breaks off can
//! be replaced: by another replica's where the call may be repeated, by an honest failure where not.

use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use http::Response;
use http::StatusCode;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Limited;

use crate::answer::AnswerBody;
use crate::answer::NotRunCause;
use crate::answer::Refusal;
use crate::answer::relayed;
use crate::answer::whole_body;
use crate::edges::Dispatch;
use crate::edges::Platform;
use crate::exchange::AskFailure;
use crate::exchange::ask_target;
use crate::leases::RequestLease;
use crate::leases::lease_replica;
use crate::logs;
use crate::serve::NO_TARGET_TIME;
use crate::state::ForwardState;
use crate::ticket::RequestTicket;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::replica::ReplicaChoice;
use banyan_core::pipeline::replica::ReplicaQuery;
use banyan_core::pipeline::replica::choose_replica;

/// The largest answer that is read whole before it is passed on, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;
/// The part of the latency target after which a call that may be repeated is sent to a second replica.
const SECOND_TRY_PART: f64 = 0.6;

/// How one attempt ended.
#[derive(Debug)]
enum AttemptEnd {
    /// The replica answered, and the answer is this request's.
    Answered(Parts, Bytes),
    /// The replica stated that the call has not run.
    NotRun,
    /// No connection came about.
    NotSent,
    /// Anything else: the call may have run.
    MaybeRun(&'static str),
}

/// What a call has come to so far.
#[derive(Default)]
struct CallProgress {
    tried: Vec<TargetId>,
    /// Attempts that reached a replica.
    sent: u32,
    maybe_run: bool,
    hedged: bool,
    /// A replica's failure, passed on if nothing better comes.
    failure: Option<(Parts, Bytes)>,
}

type RunningAttempts<'a> = FuturesUnordered<BoxFuture<'a, (TargetId, AttemptEnd)>>;

/// Serves a call by one replica, or by another one after it where the call may be repeated.
pub async fn serve_call<P: Platform>(
    state: Arc<ForwardState<P>>,
    ticket: RequestTicket,
    active: RequestLease,
) -> Response<AnswerBody> {
    let _active = active;
    let mut progress = CallProgress::default();
    let mut running: RunningAttempts<'_> = FuturesUnordered::new();
    if !start_attempt(&state, &ticket, &mut progress, &mut running, false) {
        return refuse(&state, &ticket, Refusal::NotRun(NotRunCause::NoTarget, NO_TARGET_TIME));
    }
    let limit = state.clock.instant(ticket.limit);
    let second_try = ticket.received + ticket.route.latency_target.mul_f64(SECOND_TRY_PART);
    let second_try = state.clock.instant(second_try);
    loop {
        let may_hedge = ticket.route.kind.may_repeat() && !progress.hedged;
        tokio::select! {
            Some((target, end)) = running.next() => {
                note_end(&state, &target, &end);
                if let Some(answer) = take_end(&ticket, &mut progress, target, end) {
                    return pass_on(&state, &ticket, answer, &progress);
                }
                if may_go_on(&ticket, &progress) {
                    start_attempt(&state, &ticket, &mut progress, &mut running, true);
                }
                if running.is_empty() {
                    return give_up(&state, &ticket, progress);
                }
            }
            () = tokio::time::sleep_until(second_try), if may_hedge => {
                progress.hedged = true;
                if progress.sent < ticket.route.max_attempts {
                    start_attempt(&state, &ticket, &mut progress, &mut running, true);
                }
            }
            () = tokio::time::sleep_until(limit) => {
                progress.maybe_run |= !running.is_empty();
                let timed_out = if progress.maybe_run {
                    Refusal::TimedOut
                } else {
                    Refusal::NotRun(NotRunCause::NoTime, NO_TARGET_TIME)
                };
                return refuse(&state, &ticket, timed_out);
            }
        }
    }
}

/// Whether another attempt would be right: the call has not run or may be repeated, and attempts are
/// left.
fn may_go_on(ticket: &RequestTicket, progress: &CallProgress) -> bool {
    let allowed = ticket.route.kind.may_repeat() || !progress.maybe_run;
    allowed && progress.sent < ticket.route.max_attempts
}

/// Starts one attempt at a replica that was not tried, if there is one and, for a repeat, the budget
/// allows it.
fn start_attempt<'a, P: Platform>(
    state: &Arc<ForwardState<P>>,
    ticket: &'a RequestTicket,
    progress: &mut CallProgress,
    running: &mut RunningAttempts<'a>,
    repeat: bool,
) -> bool {
    let now = state.now();
    let settings = state.settings();
    let mut tables = state.tables();
    let query = ReplicaQuery {
        service: &ticket.service.id,
        zone: &settings.zone,
        tried: &progress.tried,
        draw: tables.draw(),
    };
    let choice = choose_replica(&tables.fleet, &tables.loads, &tables.suspicions, &query, now);
    let Some(choice) = choice else { return false };
    // A replica that could not be reached got nothing, so that going on is no repeat.
    let counts = repeat && progress.sent > 0;
    if counts && !tables.retries.try_take(&ticket.service.id, &settings.bounds.retries, now) {
        return false;
    }
    drop(tables);
    progress.tried.push(choice.target.clone());
    progress.sent += 1;
    running.push(Box::pin(attempt(state.clone(), ticket, choice)));
    true
}

async fn attempt<P: Platform>(
    state: Arc<ForwardState<P>>,
    ticket: &RequestTicket,
    choice: ReplicaChoice,
) -> (TargetId, AttemptEnd) {
    let _lease = lease_replica(&state, &choice.target);
    let end = run_attempt(&state, ticket, &choice).await;
    (choice.target, end)
}

async fn run_attempt<P: Platform>(
    state: &ForwardState<P>,
    ticket: &RequestTicket,
    choice: &ReplicaChoice,
) -> AttemptEnd {
    let dispatch = Dispatch {
        target: &choice.target,
        time_left: ticket.limit.since(state.now()),
        workspace: ticket.workspace.as_ref(),
        chain: &[],
        last_event: None,
        urgent: false,
    };
    let (head, body) = match ask_target(state, ticket, choice.address, &dispatch).await {
        Ok(answer) => answer,
        Err(AskFailure::NotSent) => return AttemptEnd::NotSent,
        Err(AskFailure::NotRun(_)) => return AttemptEnd::NotRun,
        Err(AskFailure::MaybeRun(cause)) => return AttemptEnd::MaybeRun(cause),
    };
    let read = Limited::new(body, ANSWER_LIMIT_BYTES).collect().await;
    match read {
        Ok(collected) => AttemptEnd::Answered(head, collected.to_bytes()),
        Err(_) => AttemptEnd::MaybeRun("the answer broke off"),
    }
}

fn note_end<P>(state: &ForwardState<P>, target: &TargetId, end: &AttemptEnd) {
    let now = state.now();
    let mut tables = state.tables();
    match end {
        AttemptEnd::Answered(head, _) if !head.status.is_server_error() => {
            tables.suspicions.note_progress(target, now);
        }
        AttemptEnd::Answered(..) => {}
        AttemptEnd::NotRun | AttemptEnd::NotSent | AttemptEnd::MaybeRun(_) => {
            tables.suspicions.note_failure(target, now);
        }
    }
}

/// Takes in how an attempt ended and returns the answer to pass on, if it is one.
fn take_end(
    ticket: &RequestTicket,
    progress: &mut CallProgress,
    target: TargetId,
    end: AttemptEnd,
) -> Option<(Parts, Bytes)> {
    match end {
        AttemptEnd::Answered(head, body) => {
            let promise = promises_not_run(head.status);
            if !head.status.is_server_error() && !promise {
                return Some((head, body));
            }
            progress.maybe_run = true;
            if !promise {
                progress.failure = Some((head, body));
            }
            None
        }
        AttemptEnd::NotRun => None,
        AttemptEnd::NotSent => {
            progress.sent -= 1;
            None
        }
        AttemptEnd::MaybeRun(cause) => {
            logs::attempt_failed(&ticket.token, &target, cause);
            progress.maybe_run = true;
            None
        }
    }
}

/// Whether a status tells a caller that its request has not run and never will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn give_up<P: Platform>(
    state: &ForwardState<P>,
    ticket: &RequestTicket,
    mut progress: CallProgress,
) -> Response<AnswerBody> {
    if let Some(failure) = progress.failure.take() {
        return pass_on(state, ticket, failure, &progress);
    }
    let refusal = if progress.maybe_run {
        Refusal::OutcomeUnknown
    } else {
        Refusal::NotRun(NotRunCause::TargetRefused, NO_TARGET_TIME)
    };
    refuse(state, ticket, refusal)
}

fn refuse<P: Platform>(
    state: &ForwardState<P>,
    ticket: &RequestTicket,
    refusal: Refusal,
) -> Response<AnswerBody> {
    let refusal = match refusal {
        Refusal::NotRun(cause, wait) => state.tables().not_run(cause, wait, state.now()),
        other => other,
    };
    logs::refused(Some(&ticket.token), refusal, Some(state.now().since(ticket.received)));
    refusal.response("the service gave no answer")
}

/// The replica's answer, unchanged but for the headers of its connection.
fn pass_on<P>(
    state: &ForwardState<P>,
    ticket: &RequestTicket,
    answer: (Parts, Bytes),
    progress: &CallProgress,
) -> Response<AnswerBody> {
    let (head, body) = answer;
    let took = state.now().since(ticket.received);
    logs::answered(ticket, head.status, progress.tried.last(), progress.sent, took);
    relayed(head, whole_body(body))
}
