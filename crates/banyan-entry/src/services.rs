//! Serves one call of a plain service: [`run_call`].
//!
//! A call that may be repeated is tried again within the retry budget. One that may not is sent at
//! most once, on a connection of its own: a connection that was not made proves that nothing was
//! sent, and from the first byte on the outcome is the target's answer or unknown.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::claims::ClaimTurn;
use crate::claims::HeldClaim;
use crate::claims::acquire;
use crate::crashes;
use crate::metric;
use crate::refusal::Refusal;
use crate::state::EntryState;
use banyan_core::declaration::CallSpec;
use banyan_core::event::EventKind;
use banyan_core::ids::CallId;
use banyan_core::ids::IdempotencyKey;
use banyan_core::ids::RequestId;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::ids::WorkspaceId;
use banyan_core::record::CallOutcome;
use banyan_core::record::ClaimKey;
use banyan_core::record::ContentDigest;
use banyan_core::units::Moment;
use banyan_wire::service::SERVICE_REQUEST_ID_HEADER;

/// The time that making a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// When to try again where no replica is usable.
const NO_REPLICA_PAUSE: Duration = Duration::from_secs(1);

/// A call as the caller made it.
#[derive(Clone, Debug)]
pub struct ServiceOrder {
    /// The request.
    pub request: RequestId,
    /// On whose behalf.
    pub workspace: WorkspaceId,
    /// The service.
    pub service: ServiceId,
    /// The call.
    pub call: CallId,
    /// What is declared of the call.
    pub spec: CallSpec,
    /// The idempotency key, where the caller gave one.
    pub key: Option<IdempotencyKey>,
    /// The body.
    pub body: Bytes,
    /// When the caller stops waiting.
    pub deadline: Moment,
}

/// A service's answer.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// Why one try has no answer.
enum CallFailure {
    /// Nothing was sent.
    NotSent(String),
    /// It was sent.
    Sent(String),
}

/// Runs a call to its end, whether or not the caller still waits.
pub async fn run_call(
    state: Arc<EntryState>,
    order: ServiceOrder,
) -> Result<ServiceAnswer, Refusal> {
    // A task of its own: a call that was sent must be closed even when its caller goes away.
    let task = tokio::spawn(async move { call(&state, &order).await });
    match task.await {
        Ok(result) => result,
        Err(_) => Err(Refusal::CallUnknown),
    }
}

async fn call(state: &Arc<EntryState>, order: &ServiceOrder) -> Result<ServiceAnswer, Refusal> {
    if order.spec.repeatable {
        return call_repeatable(state, order).await;
    }
    let Some(key) = &order.key else {
        return call_once(state, order, None).await;
    };
    let key = ClaimKey { workspace: order.workspace.clone(), key: key.clone() };
    let deadline = state.clock.instant(order.deadline);
    match acquire(state, &order.request, &key, content(order), deadline).await? {
        ClaimTurn::Mine(held) => call_once(state, order, Some(held)).await,
        ClaimTurn::Ended(CallOutcome::Answered { status, body }) => {
            Ok(ServiceAnswer { status, body: Bytes::from(body) })
        }
        ClaimTurn::Ended(CallOutcome::Unknown) => Err(Refusal::CallUnknown),
    }
}

fn content(order: &ServiceOrder) -> ContentDigest {
    let mut bytes = format!("{}\n{}\n", order.service, order.call).into_bytes();
    bytes.extend_from_slice(&order.body);
    ContentDigest::of(&bytes)
}

/// Sends a call that may be repeated until it is answered or retries run out.
async fn call_repeatable(
    state: &Arc<EntryState>,
    order: &ServiceOrder,
) -> Result<ServiceAnswer, Refusal> {
    let group = SmolStr::new(order.service.as_str());
    {
        let mut tables = state.tables();
        let percent = tables.declaration.policy.retry_percent;
        tables.budget.pay(&order.workspace, &group, percent);
    }
    let mut excluded = BTreeSet::new();
    let mut sent = false;
    loop {
        let (target, address) = match replica(state, order, &excluded) {
            Ok(replica) => replica,
            Err(_) if sent => return Err(Refusal::Cut("every replica failed".to_owned())),
            Err(refusal) => return Err(refusal),
        };
        match try_replica(state, order, &target, address, None).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => {
                sent |= matches!(failure, CallFailure::Sent(_));
                note_failure(state, order, &target, &failure);
                excluded.insert(target);
            }
        }
        if state.now() >= order.deadline || !state.tables().budget.draw(&order.workspace, &group) {
            return Err(match sent {
                true => Refusal::Cut("the call failed and may not be tried again".to_owned()),
                false => Refusal::Overloaded { retry_after: NO_REPLICA_PAUSE },
            });
        }
        metric::count_retry();
    }
}

/// Sends a call at most once; only a connection that was not made leads to another replica.
async fn call_once(
    state: &Arc<EntryState>,
    order: &ServiceOrder,
    mut held: Option<HeldClaim>,
) -> Result<ServiceAnswer, Refusal> {
    let mut excluded = BTreeSet::new();
    loop {
        let (target, address) = replica(state, order, &excluded)?;
        match try_replica(state, order, &target, address, held.as_mut()).await {
            Ok(answer) => {
                if let Some(held) = held {
                    let body = answer.body.to_vec();
                    held.close(CallOutcome::Answered { status: answer.status, body });
                }
                return Ok(answer);
            }
            Err(failure @ CallFailure::NotSent(_)) => {
                note_failure(state, order, &target, &failure);
                excluded.insert(target);
            }
            Err(failure @ CallFailure::Sent(_)) => {
                note_failure(state, order, &target, &failure);
                if let Some(held) = held {
                    held.close(CallOutcome::Unknown);
                }
                return Err(Refusal::CallUnknown);
            }
        }
    }
}

fn replica(
    state: &EntryState,
    order: &ServiceOrder,
    excluded: &BTreeSet<TargetId>,
) -> Result<(TargetId, SocketAddr), Refusal> {
    let tables = state.tables();
    let choose_replica = state.decisions.choose_replica;
    let target = choose_replica(&tables.targets, &order.service, excluded, rand::random());
    let found = target.and_then(|target| {
        let address = tables.targets.rows.get(&target)?.spec.address;
        Some((target, address))
    });
    let what = SmolStr::new(order.service.as_str());
    found.ok_or(Refusal::NoTarget { what, retry_after: NO_REPLICA_PAUSE })
}

async fn try_replica(
    state: &EntryState,
    order: &ServiceOrder,
    target: &TargetId,
    address: SocketAddr,
    held: Option<&mut HeldClaim>,
) -> Result<ServiceAnswer, CallFailure> {
    let started = state.now();
    state.tables().targets.note_sent(target);
    let deadline = state.clock.instant(order.deadline);
    let until = deadline.min(Instant::now() + order.spec.timeout);
    let result = exchange(state, order, target, address, held, until).await;
    let now = state.now();
    let took = result.is_ok().then(|| now.since(started));
    state.tables().targets.note_ended(target, took, now);
    result
}

async fn exchange(
    state: &EntryState,
    order: &ServiceOrder,
    target: &TargetId,
    address: SocketAddr,
    held: Option<&mut HeldClaim>,
    until: Instant,
) -> Result<ServiceAnswer, CallFailure> {
    let not_sent = |reason: &dyn std::fmt::Display| CallFailure::NotSent(reason.to_string());
    let connect_until = until.min(Instant::now() + CONNECT_TIMEOUT);
    let stream = tokio::time::timeout_at(connect_until, TcpStream::connect(address))
        .await
        .map_err(|error| not_sent(&error))?
        .map_err(|error| not_sent(&error))?;
    stream.set_nodelay(true).map_err(|error| not_sent(&error))?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| not_sent(&error))?;
    let request = Request::post(format!("/call/{}", order.call))
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(SERVICE_REQUEST_ID_HEADER, order.request.to_string())
        .body(Full::new(order.body.clone()))
        .map_err(|error| not_sent(&error))?;
    // From here on bytes may leave, whatever the library reports.
    if let Some(held) = held {
        held.dispatch();
    }
    let name = order.request.to_string();
    state.journal.record(EventKind::Dispatched, &name, target.as_str(), order.call.as_str());
    let connection = tokio::spawn(connection);
    let answer = async {
        let response = sender.send_request(request).await?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?.to_bytes();
        Ok::<_, hyper::Error>(ServiceAnswer { status, body })
    };
    let result = tokio::time::timeout_at(until, answer).await;
    connection.abort();
    match result {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => Err(CallFailure::Sent(error.to_string())),
        Err(_) => Err(CallFailure::Sent("no answer in time".to_owned())),
    }
}

fn note_failure(
    state: &Arc<EntryState>,
    order: &ServiceOrder,
    target: &TargetId,
    failure: &CallFailure,
) {
    let (text, sent) = match failure {
        CallFailure::NotSent(reason) => (reason, "was not sent"),
        CallFailure::Sent(reason) => (reason, "was sent"),
    };
    if matches!(failure, CallFailure::NotSent(_)) {
        crashes::note_crash(state, target, text);
    }
    let detail = format_smolstr!("the call {sent}: {text}");
    log::info!("services: Request {} at {target}: {detail}.", order.request);
    state.journal.record(EventKind::Retried, &order.request.to_string(), target.as_str(), &detail);
}
