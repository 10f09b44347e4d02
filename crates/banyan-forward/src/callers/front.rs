//! Accepts and serves HTTP connections from callers: [`serve_callers`].

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::callers::answer::AnswerBody;
use crate::callers::serve::serve_request;
use crate::callers::watched::ConnectionActivity;
use crate::edges::Platform;
use crate::engines::leases::count_used_connection;
use crate::engines::link::set_unacknowledged_timeout;
use crate::state::DaemonPhase;
use crate::state::ForwardState;
use banyan_core::pipeline::routes::CallerLimits;
use banyan_core::units::ByteCount;
use banyan_http::connection_slots::ConnectionSlot;
use banyan_http::connection_slots::ConnectionSlots;
use banyan_http::connection_slots::RequestGuard;
use banyan_http::held_memory::HoldHandle;
use banyan_http::observed_stream::ObservedStream;
use banyan_http::tracked_body::TrackedBody;

/// The pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The time after which a caller's connection with unacknowledged data is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(10);
/// The smallest read buffer that hyper accepts; a smaller `max_buf_size` panics.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;
/// The interval at which a connection is checked for a slow request head and for idleness.
const ACTIVITY_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The limits that apply until a configuration is known.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    head_size: ByteCount(16_384),
    body_size: ByteCount(1 << 20),
    head_time: Duration::from_secs(5),
    idle_time: Duration::from_secs(60),
};

/// Accepts callers' connections until the daemon closes. Connections that the operating system has
/// accepted by then are served too, since their callers may have sent requests.
pub async fn serve_callers<P: Platform>(state: Arc<ForwardState<P>>, listener: TcpListener) {
    let limit = state.settings().machine.caller_connections();
    let slots = ConnectionSlots::new("callers", limit, ByteCount(u64::MAX));
    let mut phase = state.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == DaemonPhase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Some(slot) = slots.admit(|| state.memory.end_slowest()).await {
                    tokio::spawn(serve_connection(state.clone(), slot, stream));
                }
            }
            Err(error) => {
                tracing::warn!(part = "front", %error, "Accepting a connection failed.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        if let Some(slot) = slots.admit(|| false).await {
            tokio::spawn(serve_connection(state.clone(), slot, stream));
        }
    }
}

async fn serve_connection<P: Platform>(
    state: Arc<ForwardState<P>>,
    slot: Arc<ConnectionSlot>,
    stream: TcpStream,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(part = "front", %error, "Setting TCP_NODELAY failed.");
    }
    set_unacknowledged_timeout(&stream, UNACKNOWLEDGED_TIMEOUT);
    let activity = Arc::new(ConnectionActivity::new(state.clock));
    let head_limit = (limits(&state).head_size.0 as usize).max(MIN_HEAD_BUFFER_BYTES);
    let service = {
        let state = state.clone();
        let activity = activity.clone();
        let slot = slot.clone();
        service_fn(move |request| {
            serve_tracked(state.clone(), activity.clone(), slot.clone(), request)
        })
    };
    let connection = http1::Builder::new()
        .keep_alive(true)
        .max_buf_size(head_limit)
        .serve_connection(TokioIo::new(ObservedStream::new(stream, activity.clone())), service);
    let mut connection = std::pin::pin!(connection);
    let mut phase = state.phase.subscribe();
    let mut closing = false;
    let mut draining = false;
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    tracing::debug!(part = "front", %error, "A caller's connection failed.");
                }
                return;
            }
            () = slot.must_end() => return,
            () = activity.must_end() => {
                metrics::counter!("banyan_unread_answers_closed_total").increment(1);
                tracing::info!(
                    part = "front",
                    "A connection was closed: its unread answer took memory that others need."
                );
                return;
            }
            () = tokio::time::sleep(ACTIVITY_CHECK_INTERVAL), if !closing => {
                if head_timed_out(&state, &activity) {
                    // The request has not been processed at all, so closing the connection is safe.
                    tracing::info!(part = "front", "A request's head did not arrive in time.");
                    return;
                }
                if draining || is_idle(&state, &activity) {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
            changed = phase.wait_for(|phase| *phase >= DaemonPhase::Draining), if !draining => {
                // A closed channel means that the daemon has been dropped, which also ends serving.
                drop(changed);
                draining = true;
                // The caller of a new connection may have sent its first request already. It is
                // answered, and the answer closes the connection.
                if activity.has_begun() && !closing {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

async fn serve_tracked<P: Platform>(
    state: Arc<ForwardState<P>>,
    activity: Arc<ConnectionActivity>,
    slot: Arc<ConnectionSlot>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    activity.begin_request(|| count_used_connection(&state));
    let request_guard = RequestGuard::begin(slot);
    let mut response = serve_request(state.clone(), request).await;
    if let Some(held) = response.extensions_mut().remove::<HoldHandle>() {
        activity.begin_answer(held);
    }
    activity.end_request();
    Ok(response.map(|body| TrackedBody::new(body, Some(request_guard)).boxed_unsync()))
}

/// Whether a connection has been idle for the configured time. A response that is still being sent
/// does not count as activity here, but the graceful shutdown lets it finish.
fn is_idle<P>(state: &ForwardState<P>, activity: &ConnectionActivity) -> bool {
    let limit = limits(state).idle_time;
    activity.idle_since().is_some_and(|since| state.now().since(since) >= limit)
}

/// Whether an incomplete request head has been arriving for longer than the configured time.
fn head_timed_out<P>(state: &ForwardState<P>, activity: &ConnectionActivity) -> bool {
    let limit = limits(state).head_time;
    activity.head_since().is_some_and(|since| state.now().since(since) >= limit)
}

fn limits<P>(state: &ForwardState<P>) -> CallerLimits {
    state.tables().configuration.as_ref().map_or(DEFAULT_LIMITS, |record| record.table.limits)
}
