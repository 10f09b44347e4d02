//! Handles one request: reads and routes it, and returns its answer: [`serve_request`].

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use http::request::Parts;
use hyper::body::Incoming;

use crate::callers::answer::AnswerBody;
use crate::callers::answer::NO_TARGET_RETRY_AFTER;
use crate::callers::answer::NotRunCause;
use crate::callers::answer::Refusal;
use crate::callers::routed_request::RoutedRequest;
use crate::callers::routed_request::request_traits;
use crate::edges::CallerRequest;
use crate::edges::Platform;
use crate::engines::call;
use crate::engines::leases::count_active;
use crate::engines::stream;
use crate::logs;
use crate::state::DaemonPhase;
use crate::state::ForwardState;
use banyan_core::pipeline::priority::EffectivePriority;
use banyan_core::pipeline::routes::RouteMiss;
use banyan_core::pipeline::routes::RouteSpec;
use banyan_core::pipeline::routes::RouteTable;
use banyan_core::pipeline::routes::ServiceSpec;
use banyan_core::units::ByteCount;
use banyan_core::units::Moment;
use banyan_http::body_limits::BodyFault;
use banyan_http::body_limits::receive_body;

/// The retry delay given to callers by an instance that has no configuration, is stopping, has no
/// memory left, or did not receive the body in time. It is short since another instance can serve
/// them at once.
const OTHER_INSTANCE_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The retry delay given to callers of a workspace that operators must rename first.
const RENAMING_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Serves one request. The daemon's own errors become answers too, so this cannot fail.
pub async fn serve_request<P: Platform>(
    state: Arc<ForwardState<P>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let received = state.now();
    let active_lease = count_active(&state);
    let (head, body) = request.into_parts();
    let caller = match state.platform.read_request(&head.headers) {
        Ok(caller) => caller,
        Err(fault) => {
            logs::refused(None, Refusal::BadRequest, None);
            return Refusal::BadRequest.response(&fault.to_string());
        }
    };
    let token = caller.token.clone();
    let request = match resolve_request(&state, caller, head, body, received).await {
        Ok(request) => request,
        Err(refusal) => {
            logs::refused(Some(&token), refusal, None);
            return refusal.response("the request was not passed on");
        }
    };
    record_request(&state, &request);
    let mut response = if request.route.kind.is_stream() && request.service.model.is_some() {
        stream::serve_stream(state.clone(), request, active_lease).await
    } else {
        call::serve_call(state.clone(), request, active_lease).await
    };
    if *state.phase.borrow() != DaemonPhase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn resolve_request<P: Platform>(
    state: &ForwardState<P>,
    caller: CallerRequest,
    head: Parts,
    body: Incoming,
    received: Moment,
) -> Result<RoutedRequest, Refusal> {
    state.wait_for_initial_reads().await;
    let routes = state.tables().route_table();
    let routes =
        routes.ok_or(Refusal::NotRun(NotRunCause::NoConfiguration, OTHER_INSTANCE_RETRY_AFTER))?;
    if *state.phase.borrow() >= DaemonPhase::Draining {
        return Err(Refusal::NotRun(NotRunCause::Stopping, OTHER_INSTANCE_RETRY_AFTER));
    }
    let host = head.headers.get(header::HOST).map_or(&[][..], HeaderValue::as_bytes);
    let host = str::from_utf8(host).unwrap_or_default();
    let route = routes.route(host, head.uri.path()).map_err(refusal_for_miss)?.clone();
    let owner = routes.owner(&route, caller.key.as_deref()).map_err(refusal_for_miss)?;
    let priority = EffectivePriority::of(&route, owner);
    let workspace = owner.map(|owner| owner.workspace.clone());
    if workspace.as_ref().is_some_and(|workspace| !state.platform.can_carry(workspace)) {
        return Err(Refusal::NotRun(NotRunCause::UnusableWorkspace, RENAMING_RETRY_AFTER));
    }
    let service = find_service(&routes, &route, &caller)?;
    let timeout = caller.time_left.map_or(route.timeout, |left| left.min(route.timeout));
    let deadline = received + timeout;
    let body = read_body(state, body, routes.limits.body_size, timeout).await?;
    let traits = request_traits(&service.id, workspace.as_ref(), &caller, &head, &body);
    Ok(RoutedRequest {
        token: caller.token.clone(),
        caller,
        route,
        service,
        workspace,
        priority,
        version: routes.version,
        received,
        deadline,
        head,
        body,
        traits,
    })
}

fn refusal_for_miss(miss: RouteMiss) -> Refusal {
    match miss {
        RouteMiss::NoRoute => Refusal::NoRoute,
        RouteMiss::NoKey => Refusal::NoKey,
    }
}

fn find_service(
    routes: &RouteTable,
    route: &RouteSpec,
    caller: &CallerRequest,
) -> Result<Arc<ServiceSpec>, Refusal> {
    let hash = xxhash_rust::xxh3::xxh3_64(caller.token.0.as_bytes());
    let id = route.service_for(hash);
    let no_target = Refusal::NotRun(NotRunCause::NoTarget, NO_TARGET_RETRY_AFTER);
    routes.services.get(id).cloned().ok_or(no_target)
}

async fn read_body<P: Platform>(
    state: &ForwardState<P>,
    body: Incoming,
    limit: ByteCount,
    timeout: Duration,
) -> Result<Bytes, Refusal> {
    let not_run = |cause| Refusal::NotRun(cause, OTHER_INSTANCE_RETRY_AFTER);
    let receiving = receive_body(&state.memory, body, limit);
    let result =
        tokio::time::timeout(timeout, receiving).await.map_err(|_| not_run(NotRunCause::NoTime))?;
    result.map_err(|fault| match fault {
        BodyFault::TooLarge(_) => Refusal::TooLarge,
        BodyFault::MemoryUsedUp => not_run(NotRunCause::NoMemory),
        BodyFault::TooSlow => not_run(NotRunCause::SlowBody),
        BodyFault::Broken(error) => {
            tracing::debug!(part = "request", %error, "A body could not be read.");
            Refusal::BadRequest
        }
    })
}

fn record_request<P: Platform>(state: &ForwardState<P>, request: &RoutedRequest) {
    let bounds = state.settings().bounds.retries;
    state.tables().retries.note_request(&request.service.id, &bounds, state.now());
}
