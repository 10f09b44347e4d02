//! Serves calls to plain services: [`serve_call`].
//!
//! The answer is buffered completely before any of it is relayed. If it is cut off, it can still be
//! replaced: by another replica's answer if the call may be repeated, otherwise by an error.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use http::Response;
use http::response::Parts;

use crate::callers::answer::AnswerBody;
use crate::callers::answer::NO_TARGET_RETRY_AFTER;
use crate::callers::answer::NotRunCause;
use crate::callers::answer::Refusal;
use crate::callers::answer::relay_response;
use crate::callers::answer::whole_body;
use crate::callers::routed_request::RoutedRequest;
use crate::edges::Dispatch;
use crate::edges::Platform;
use crate::engines::attempt_watch::watch_attempt;
use crate::engines::crash_watch::LostConnection;
use crate::engines::crash_watch::examine_loss;
use crate::engines::crash_watch::refuse_if_blocked;
use crate::engines::exchange::CONNECTION_LOST;
use crate::engines::exchange::ExchangeFailure;
use crate::engines::exchange::implies_not_run;
use crate::engines::exchange::send_to_target;
use crate::engines::leases::RequestLease;
use crate::engines::leases::lease_replica;
use crate::logs;
use crate::state::ForwardState;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::load::LoadView;
use banyan_core::pipeline::replica::InstanceCalls;
use banyan_core::pipeline::replica::ReplicaChoice;
use banyan_core::pipeline::replica::ReplicaQuery;
use banyan_core::pipeline::replica::choose_shared_replica;
use banyan_core::pipeline::replica::instance_seed;
use banyan_core::units::ByteCount;
use banyan_core::units::Moment;
use banyan_http::body_limits::BodyFault;
use banyan_http::body_limits::receive_answer;

/// The largest answer that is buffered before it is relayed.
const MAX_ANSWER_SIZE: ByteCount = ByteCount(16 << 20);
/// The fraction of the latency target after which a repeatable call is also sent to a second
/// replica.
const HEDGE_FRACTION: f64 = 0.6;

/// The outcome of one attempt at a replica.
#[derive(Debug)]
enum AttemptOutcome {
    /// The replica sent a complete answer that belongs to this request.
    Answered(Parts, Bytes),
    /// The replica stated that the call has not run.
    NotRun,
    /// The connection could not be established.
    NotSent,
    /// The connection ended without an answer; the call may have run.
    ConnectionLost,
    /// The connection ended within the answer; the call may have run.
    CutOff,
    /// Any other failure; the call may have run. Holds the cause for the log.
    MaybeRun(&'static str),
}

/// The state of a call across its attempts.
#[derive(Default)]
struct CallProgress {
    tried: Vec<TargetId>,
    /// The number of attempts that were started, without those that could not connect.
    sent: u32,
    /// Whether a replica may have run the call.
    maybe_run: bool,
    /// Whether the call was also sent to a second replica because the first was slow.
    hedged: bool,
    /// The last server error of a replica, relayed if no attempt succeeds.
    error_answer: Option<(Parts, Bytes)>,
}

/// An attempt at a replica.
struct CallAttempt {
    target: TargetId,
    sent: Moment,
}

type RunningAttempts<'a> = FuturesUnordered<BoxFuture<'a, (CallAttempt, AttemptOutcome)>>;

/// Serves a call from one replica. A call that may be repeated, or that has not run, is retried at
/// other replicas.
pub async fn serve_call<P: Platform>(
    state: Arc<ForwardState<P>>,
    request: RoutedRequest,
    active: RequestLease,
) -> Response<AnswerBody> {
    let _active = active;
    let mut progress = CallProgress::default();
    let mut running: RunningAttempts<'_> = FuturesUnordered::new();
    if let Err(refusal) = refuse_if_blocked(&state, &request, false) {
        return refuse(&state, &request, refusal);
    }
    if !start_attempt(&state, &request, &mut progress, &mut running, false) {
        let refusal = refusal_without_replica(&state, &request);
        return refuse(&state, &request, refusal);
    }
    let deadline = state.clock.instant(request.deadline);
    let hedge_at = request.received + request.route.latency_target.mul_f64(HEDGE_FRACTION);
    let hedge_at = state.clock.instant(hedge_at);
    loop {
        let may_hedge = request.route.kind.may_repeat() && !progress.hedged;
        tokio::select! {
            Some((attempt, outcome)) = running.next() => {
                record_outcome(&state, &request, &attempt, &outcome).await;
                let answer = apply_outcome(&request, &mut progress, attempt.target, outcome);
                if let Some(answer) = answer {
                    return relay_answer(&state, &request, answer, &progress);
                }
                if may_retry(&request, &progress)
                    && refuse_if_blocked(&state, &request, true).is_ok()
                {
                    start_attempt(&state, &request, &mut progress, &mut running, true);
                }
                if running.is_empty() {
                    return finish_unanswered(&state, &request, progress);
                }
            }
            () = tokio::time::sleep_until(hedge_at), if may_hedge => {
                progress.hedged = true;
                if progress.sent < request.route.max_attempts
                    && refuse_if_blocked(&state, &request, true).is_ok()
                {
                    start_attempt(&state, &request, &mut progress, &mut running, true);
                }
            }
            () = tokio::time::sleep_until(deadline) => {
                progress.maybe_run |= !running.is_empty();
                let refusal = if progress.maybe_run {
                    Refusal::TimedOut
                } else {
                    Refusal::NotRun(NotRunCause::NoTime, NO_TARGET_RETRY_AFTER)
                };
                return refuse(&state, &request, refusal);
            }
        }
    }
}

/// The refusal of a call for which there is no replica, or none that may be called now.
fn refusal_without_replica<P>(state: &ForwardState<P>, request: &RoutedRequest) -> Refusal {
    let settings = state.settings();
    let now = state.now();
    match state.tables().limit_wait(&request.service.id, &settings, now) {
        Some(wait) => Refusal::NotRun(NotRunCause::TargetLimited, wait),
        None => Refusal::NotRun(NotRunCause::NoTarget, NO_TARGET_RETRY_AFTER),
    }
}

/// Whether another attempt is allowed: the call has not run or may be repeated, and attempts are
/// left.
fn may_retry(request: &RoutedRequest, progress: &CallProgress) -> bool {
    let allowed = request.route.kind.may_repeat() || !progress.maybe_run;
    allowed && progress.sent < request.route.max_attempts
}

/// Starts an attempt at a replica that has not been tried. Returns `false` if there is none, or if
/// the attempt is a retry and the retry budget is used up.
fn start_attempt<'a, P: Platform>(
    state: &Arc<ForwardState<P>>,
    request: &'a RoutedRequest,
    progress: &mut CallProgress,
    running: &mut RunningAttempts<'a>,
    repeat: bool,
) -> bool {
    let now = state.now();
    let settings = state.settings();
    let mut tables = state.tables();
    let closed = tables.closed_targets(&settings, now);
    let query = ReplicaQuery {
        service: &request.service.id,
        zone: &settings.zone,
        tried: &progress.tried,
        closed: &closed,
        removal_grace: tables.removal_grace(&settings, now),
        draw: tables.next_random(),
    };
    let calls = InstanceCalls {
        loads: LoadView {
            own: &tables.loads,
            peers: &tables.peer_loads,
            peer_scale: tables.peer_scale(now),
        },
        count: tables.peers_listed.unwrap_or_default() + 1,
        seed: instance_seed(&settings.instance),
    };
    let choice = choose_shared_replica(&tables.fleet, &calls, &tables.suspicions, &query, now);
    let Some(choice) = choice else { return false };
    // An attempt that could not connect sent nothing, so the next one does not count as a retry.
    let uses_retry_budget = repeat && progress.sent > 0;
    if uses_retry_budget
        && !tables.retries.try_take(&request.service.id, &settings.bounds.retries, now)
    {
        return false;
    }
    tables.limits.note_sent(&choice.target);
    drop(tables);
    progress.tried.push(choice.target.clone());
    progress.sent += 1;
    running.push(Box::pin(run_leased_attempt(state.clone(), request, choice)));
    true
}

async fn run_leased_attempt<P: Platform>(
    state: Arc<ForwardState<P>>,
    request: &RoutedRequest,
    choice: ReplicaChoice,
) -> (CallAttempt, AttemptOutcome) {
    let _lease = lease_replica(&state, &choice.target);
    let sent = state.now();
    let watch = watch_attempt(&state, request, &choice.target);
    let outcome = run_attempt(&state, request, &choice).await;
    if !matches!(outcome, AttemptOutcome::ConnectionLost | AttemptOutcome::CutOff) {
        watch.close();
    }
    (CallAttempt { target: choice.target, sent }, outcome)
}

async fn run_attempt<P: Platform>(
    state: &Arc<ForwardState<P>>,
    request: &RoutedRequest,
    choice: &ReplicaChoice,
) -> AttemptOutcome {
    let dispatch = Dispatch {
        target: &choice.target,
        time_left: request.deadline.since(state.now()),
        workspace: request.workspace.as_ref(),
        chain: &[],
        last_event: None,
        urgency: None,
    };
    let (mut head, body) = match send_to_target(state, request, choice.address, &dispatch).await {
        Ok(answer) => answer,
        Err(ExchangeFailure::NotSent) => return AttemptOutcome::NotSent,
        Err(ExchangeFailure::NotRun(_)) => return AttemptOutcome::NotRun,
        Err(ExchangeFailure::ConnectionLost) => return AttemptOutcome::ConnectionLost,
        Err(ExchangeFailure::MaybeRun(cause)) => return AttemptOutcome::MaybeRun(cause),
    };
    match receive_answer(&state.memory, body, MAX_ANSWER_SIZE).await {
        Ok((bytes, held)) => {
            head.extensions.insert(held);
            AttemptOutcome::Answered(head, bytes)
        }
        Err(BodyFault::MemoryUsedUp) => AttemptOutcome::MaybeRun("no memory for the answer"),
        Err(BodyFault::TooLarge(_)) => AttemptOutcome::MaybeRun("the answer is too large"),
        Err(_) => AttemptOutcome::CutOff,
    }
}

async fn record_outcome<P: Platform>(
    state: &Arc<ForwardState<P>>,
    request: &RoutedRequest,
    attempt: &CallAttempt,
    outcome: &AttemptOutcome,
) {
    let target = &attempt.target;
    if matches!(outcome, AttemptOutcome::ConnectionLost | AttemptOutcome::CutOff) {
        let loss = LostConnection { target, sent: attempt.sent, written: Duration::ZERO };
        examine_loss(state, request, &loss).await;
    }
    let now = state.now();
    let mut tables = state.tables();
    match outcome {
        AttemptOutcome::Answered(head, _) => {
            tables.crashes.note_survival(&request.traits, now);
            if !head.status.is_server_error() {
                tables.suspicions.note_progress(target, now);
            }
        }
        AttemptOutcome::NotRun
        | AttemptOutcome::NotSent
        | AttemptOutcome::ConnectionLost
        | AttemptOutcome::CutOff
        | AttemptOutcome::MaybeRun(_) => {
            tables.suspicions.note_failure(target, now);
        }
    }
}

/// Updates the call's state with an attempt's outcome. Returns the answer to relay, if there is
/// one.
fn apply_outcome(
    request: &RoutedRequest,
    progress: &mut CallProgress,
    target: TargetId,
    outcome: AttemptOutcome,
) -> Option<(Parts, Bytes)> {
    match outcome {
        AttemptOutcome::Answered(head, body) => {
            let not_run_status = implies_not_run(head.status);
            if !head.status.is_server_error() && !not_run_status {
                return Some((head, body));
            }
            progress.maybe_run = true;
            if !not_run_status {
                progress.error_answer = Some((head, body));
            }
            None
        }
        AttemptOutcome::NotRun => None,
        AttemptOutcome::NotSent => {
            progress.sent -= 1;
            None
        }
        AttemptOutcome::ConnectionLost => {
            logs::attempt_failed(request, &target, CONNECTION_LOST);
            progress.maybe_run = true;
            None
        }
        AttemptOutcome::CutOff => {
            logs::attempt_failed(request, &target, "the answer was cut off");
            progress.maybe_run = true;
            None
        }
        AttemptOutcome::MaybeRun(cause) => {
            logs::attempt_failed(request, &target, cause);
            progress.maybe_run = true;
            None
        }
    }
}

fn finish_unanswered<P: Platform>(
    state: &ForwardState<P>,
    request: &RoutedRequest,
    mut progress: CallProgress,
) -> Response<AnswerBody> {
    if let Some(answer) = progress.error_answer.take() {
        return relay_answer(state, request, answer, &progress);
    }
    let refusal = if progress.maybe_run {
        Refusal::OutcomeUnknown
    } else {
        Refusal::NotRun(NotRunCause::TargetRefused, NO_TARGET_RETRY_AFTER)
    };
    refuse(state, request, refusal)
}

fn refuse<P: Platform>(
    state: &ForwardState<P>,
    request: &RoutedRequest,
    refusal: Refusal,
) -> Response<AnswerBody> {
    let refusal = match refusal {
        Refusal::NotRun(cause, wait) => state.tables().not_run_refusal(cause, wait, state.now()),
        other => other,
    };
    logs::refused(Some(&request.token), refusal, Some(state.now().since(request.received)));
    refusal.response("the service gave no answer")
}

/// Logs a replica's answer and relays it, without the headers of its connection.
fn relay_answer<P>(
    state: &ForwardState<P>,
    request: &RoutedRequest,
    answer: (Parts, Bytes),
    progress: &CallProgress,
) -> Response<AnswerBody> {
    let (head, body) = answer;
    let elapsed = state.now().since(request.received);
    logs::answered(request, head.status, progress.tried.last(), progress.sent, elapsed);
    relay_response(head, whole_body(body))
}
