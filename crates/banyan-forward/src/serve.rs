//! One request from its head to its answer: [`serve_request`].

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;

use crate::answer::AnswerBody;
use crate::answer::NotRunCause;
use crate::answer::Refusal;
use crate::call;
use crate::edges::CallerRequest;
use crate::edges::Platform;
use crate::leases::count_active;
use crate::logs;
use crate::state::DaemonPhase;
use crate::state::ForwardState;
use crate::stream;
use crate::ticket::RequestTicket;
use banyan_core::pipeline::routes::RouteMiss;
use banyan_core::pipeline::routes::RouteSpec;
use banyan_core::pipeline::routes::RouteTable;
use banyan_core::pipeline::routes::ServiceSpec;
use banyan_core::units::Moment;

/// When callers come back to an instance that knows no configuration, or that is stopping: another
/// instance can serve them at once.
const ELSEWHERE_TIME: Duration = Duration::from_millis(50);
/// When callers come back if no target can be used: about when the next targets are listed.
pub const NO_TARGET_TIME: Duration = Duration::from_millis(700);
/// When callers come back if there is no room: about when the next requests end.
pub const NO_ROOM_TIME: Duration = Duration::from_millis(400);

/// Serves one request.
pub async fn serve_request<P: Platform>(
    state: Arc<ForwardState<P>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let received = state.now();
    let active = count_active(&state);
    let (head, body) = request.into_parts();
    let caller = match state.platform.read_request(&head.headers) {
        Ok(caller) => caller,
        Err(fault) => {
            logs::refused(None, Refusal::BadRequest, None);
            return Refusal::BadRequest.response(&fault.to_string());
        }
    };
    let token = caller.token.clone();
    let ticket = match read_ticket(&state, caller, head, body, received).await {
        Ok(ticket) => ticket,
        Err(refusal) => {
            logs::refused(Some(&token), refusal, None);
            return refusal.response("the request was not passed on");
        }
    };
    note_request(&state, &ticket);
    let mut response = if ticket.route.kind.is_stream() && ticket.service.model.is_some() {
        stream::serve_stream(state.clone(), ticket, active).await
    } else {
        call::serve_call(state.clone(), ticket, active).await
    };
    if *state.phase.borrow() != DaemonPhase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn read_ticket<P: Platform>(
    state: &ForwardState<P>,
    caller: CallerRequest,
    head: Parts,
    body: Incoming,
    received: Moment,
) -> Result<RequestTicket, Refusal> {
    state.wait_for_start().await;
    let routes = state.tables().route_table();
    let routes = routes.ok_or(Refusal::NotRun(NotRunCause::NoConfiguration, ELSEWHERE_TIME))?;
    if *state.phase.borrow() == DaemonPhase::Draining {
        return Err(Refusal::NotRun(NotRunCause::Stopping, ELSEWHERE_TIME));
    }
    let host = head.headers.get(header::HOST).and_then(|value| value.to_str().ok()).unwrap_or("");
    let route = routes.route(host, head.uri.path()).map_err(miss_refusal)?.clone();
    let owner = routes.owner(&route, caller.key.as_deref()).map_err(miss_refusal)?;
    let workspace = owner.map(|owner| owner.workspace.clone());
    let service = find_service(&routes, &route, &caller)?;
    let wait = caller.time_left.map_or(route.timeout, |left| left.min(route.timeout));
    let limit = received + wait;
    let body = read_body(body, routes.limits.body_size.0 as usize, wait).await?;
    Ok(RequestTicket {
        token: caller.token.clone(),
        caller,
        route,
        service,
        workspace,
        version: routes.version,
        received,
        limit,
        head,
        body,
    })
}

fn miss_refusal(miss: RouteMiss) -> Refusal {
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
    let draw = xxhash_rust::xxh3::xxh3_64(caller.token.0.as_bytes());
    let id = route.service_for(draw);
    let no_target = Refusal::NotRun(NotRunCause::NoTarget, NO_TARGET_TIME);
    routes.services.get(id).cloned().ok_or(no_target)
}

async fn read_body(body: Incoming, limit: usize, wait: Duration) -> Result<Bytes, Refusal> {
    let reading = Limited::new(body, limit).collect();
    let read = tokio::time::timeout(wait, reading)
        .await
        .map_err(|_| Refusal::NotRun(NotRunCause::NoTime, ELSEWHERE_TIME))?;
    match read {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Err(_) => Err(Refusal::BadRequest),
    }
}

fn note_request<P: Platform>(state: &ForwardState<P>, ticket: &RequestTicket) {
    let bounds = state.settings().bounds.retries;
    state.tables().retries.note_request(&ticket.service.id, &bounds, state.now());
}
