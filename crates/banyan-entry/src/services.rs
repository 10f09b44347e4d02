//! Serves calls of plain services: [`run_call`].
//!
//! A repeatable call is retried within the retry budget. Any other call is sent at most once, on a
//! connection of its own. If no connection was made, nothing was sent. Once the first byte may have
//! been sent, the outcome is the target's answer or unknown.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::claims::HeldClaim;
use crate::claims::KeyAcquisition;
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
use banyan_core::units::ByteCount;
use banyan_core::units::Moment;
use banyan_http::answer_status::may_have_status;
use banyan_http::body_limits::BodyFault;
use banyan_http::body_limits::receive_answer;
use banyan_http::held_memory::HoldHandle;
use banyan_wire::service::SERVICE_REQUEST_ID_HEADER;

/// The time limit for connecting to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The retry delay that callers are told when no replica is usable.
const NO_REPLICA_PAUSE: Duration = Duration::from_secs(1);
/// The largest answer of a service.
const MAX_ANSWER_SIZE: ByteCount = ByteCount(16 << 20);

/// A call as the caller made it.
#[derive(Clone, Debug)]
pub struct ServiceOrder {
    /// The request's id.
    pub request: RequestId,
    /// The workspace that sent the request.
    pub workspace: WorkspaceId,
    /// The called service.
    pub service: ServiceId,
    /// The call's name within the service.
    pub call: CallId,
    /// The call's declaration when the request arrived.
    pub spec: CallSpec,
    /// The idempotency key, if the caller set one.
    pub key: Option<IdempotencyKey>,
    /// The body, which is passed on unchanged.
    pub body: Bytes,
    /// The time at which the caller stops waiting.
    pub deadline: Moment,
}

/// A service's answer.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body, which the caller gets unchanged.
    pub body: Bytes,
    /// The memory of the body, if it is accounted for.
    pub held: Option<HoldHandle>,
}

/// The reason why one try got no answer.
enum CallFailure {
    /// Nothing was sent.
    NotSent(String),
    /// The call was sent and may have run.
    Sent(String),
}

/// Runs a call to its end, even if the caller stops waiting.
pub async fn run_call(
    state: Arc<EntryState>,
    order: ServiceOrder,
) -> Result<ServiceAnswer, Refusal> {
    // The call has its own task: the claim of a call that was sent must be closed even if the
    // caller disconnects.
    let task = tokio::spawn(async move { execute(&state, &order).await });
    match task.await {
        Ok(result) => result,
        Err(_) => Err(Refusal::CallUnknown),
    }
}

async fn execute(state: &Arc<EntryState>, order: &ServiceOrder) -> Result<ServiceAnswer, Refusal> {
    if order.spec.repeatable {
        return call_repeatable(state, order).await;
    }
    let Some(key) = &order.key else {
        return call_once(state, order, None).await;
    };
    let key = ClaimKey { workspace: order.workspace.clone(), key: key.clone() };
    let deadline = state.clock.instant(order.deadline);
    match acquire(state, &order.request, &key, call_digest(order), deadline).await? {
        KeyAcquisition::Acquired(claim) => call_once(state, order, Some(claim)).await,
        KeyAcquisition::Ended(CallOutcome::Answered { status, body }) => {
            Ok(ServiceAnswer { status, body: Bytes::from(body), held: None })
        }
        KeyAcquisition::Ended(CallOutcome::Unknown) => Err(Refusal::CallUnknown),
    }
}

fn call_digest(order: &ServiceOrder) -> ContentDigest {
    let mut bytes = format!("{}\n{}\n", order.service, order.call).into_bytes();
    bytes.extend_from_slice(&order.body);
    ContentDigest::of(&bytes)
}

/// Sends a repeatable call until it is answered or no retry is left.
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
        let (target, address) = match pick_replica(state, order, &excluded) {
            Ok(replica) => replica,
            Err(_) if sent => return Err(Refusal::Incomplete("every replica failed".to_owned())),
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
                true => {
                    Refusal::Incomplete("the call failed and may not be tried again".to_owned())
                }
                false => Refusal::Overloaded { retry_after: NO_REPLICA_PAUSE },
            });
        }
        metric::count_retry();
    }
}

/// Sends a call at most once; another replica is tried only if no connection was made.
async fn call_once(
    state: &Arc<EntryState>,
    order: &ServiceOrder,
    mut claim: Option<HeldClaim>,
) -> Result<ServiceAnswer, Refusal> {
    let mut excluded = BTreeSet::new();
    loop {
        let (target, address) = pick_replica(state, order, &excluded)?;
        match try_replica(state, order, &target, address, claim.as_mut()).await {
            Ok(answer) => {
                if let Some(claim) = claim {
                    let body = answer.body.to_vec();
                    claim.close(CallOutcome::Answered { status: answer.status, body });
                }
                return Ok(answer);
            }
            Err(failure @ CallFailure::NotSent(_)) => {
                note_failure(state, order, &target, &failure);
                excluded.insert(target);
            }
            Err(failure @ CallFailure::Sent(_)) => {
                note_failure(state, order, &target, &failure);
                if let Some(claim) = claim {
                    claim.close(CallOutcome::Unknown);
                }
                return Err(Refusal::CallUnknown);
            }
        }
    }
}

fn pick_replica(
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
    claim: Option<&mut HeldClaim>,
) -> Result<ServiceAnswer, CallFailure> {
    let started = state.now();
    state.tables().targets.note_sent(target);
    let deadline = state.clock.instant(order.deadline);
    let until = deadline.min(Instant::now() + order.spec.timeout);
    let result = exchange(state, order, target, address, claim, until).await;
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
    claim: Option<&mut HeldClaim>,
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
    // The claim is marked as dispatched before anything is sent, since a later HTTP error does not
    // prove that no byte was sent.
    if let Some(claim) = claim {
        claim.dispatch();
    }
    let name = order.request.to_string();
    state.journal.record(EventKind::Dispatched, &name, target.as_str(), order.call.as_str());
    let connection = tokio::spawn(connection);
    let answer = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(|error| BodyFault::Broken(error.to_string()))?;
        let status = response.status();
        if !may_have_status(status, &HeaderMap::new()) {
            return Err(BodyFault::Broken(format!("it has the status {status}, which it may not")));
        }
        let status = status.as_u16();
        let (body, held) =
            receive_answer(&state.memory, response.into_body(), MAX_ANSWER_SIZE).await?;
        Ok::<_, BodyFault>(ServiceAnswer { status, body, held: Some(held) })
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
