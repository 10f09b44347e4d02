//! Callers' connections: [`serve_callers`].

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::answer::AnswerBody;
use crate::edges::Platform;
use crate::link::set_unacknowledged_timeout;
use crate::serve::serve_request;
use crate::state::DaemonPhase;
use crate::state::ForwardState;
use crate::watched::ConnectionActivity;
use crate::watched::WatchedStream;
use banyan_core::pipeline::routes::CallerLimits;
use banyan_core::units::ByteCount;

/// The time after a failed accept before the next one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// The time after which unacknowledged bytes end a caller's connection.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(10);
/// The smallest buffer that the HTTP library takes for a request's head, in bytes.
const HEAD_BUFFER_FLOOR: usize = 8_192;
/// The time between two looks at whether a connection is idle.
const IDLE_CHECK_PAUSE: Duration = Duration::from_secs(1);
/// The bounds before any configuration is known.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    head_size: ByteCount(16_384),
    body_size: ByteCount(1 << 20),
    head_time: Duration::from_secs(5),
    idle_time: Duration::from_secs(60),
};

/// Accepts callers' connections until the daemon ends.
pub async fn serve_callers<P: Platform>(state: Arc<ForwardState<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(state.clone(), stream));
            }
            Err(error) => {
                tracing::warn!(part = "front", %error, "A connection was not accepted.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<P: Platform>(state: Arc<ForwardState<P>>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(part = "front", %error, "A connection keeps its delay.");
    }
    set_unacknowledged_timeout(&stream, UNACKNOWLEDGED_LIMIT);
    let activity = Arc::new(ConnectionActivity::new(state.clock));
    let head_limit = (limits(&state).head_size.0 as usize).max(HEAD_BUFFER_FLOOR);
    let service = {
        let state = state.clone();
        let activity = activity.clone();
        service_fn(move |request| serve_counted(state.clone(), activity.clone(), request))
    };
    let connection = http1::Builder::new()
        .keep_alive(true)
        .max_buf_size(head_limit)
        .serve_connection(TokioIo::new(WatchedStream::new(stream, activity.clone())), service);
    let mut connection = std::pin::pin!(connection);
    let mut phase = state.phase.subscribe();
    let mut closing = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    tracing::debug!(part = "front", %error, "A caller's connection ended.");
                }
                return;
            }
            () = tokio::time::sleep(IDLE_CHECK_PAUSE), if !closing => {
                if has_slow_head(&state, &activity) {
                    // Nothing of the request was acted on: closing the connection loses nothing.
                    tracing::info!(part = "front", "A request's head took too long.");
                    return;
                }
                if is_idle(&state, &activity) {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
            changed = phase.wait_for(|phase| *phase == DaemonPhase::Draining), if !closing => {
                // A closed channel means that the daemon is gone, which is a stop as well.
                drop(changed);
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

async fn serve_counted<P: Platform>(
    state: Arc<ForwardState<P>>,
    activity: Arc<ConnectionActivity>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    activity.begin_request();
    let response = serve_request(state.clone(), request).await;
    activity.end_request();
    Ok(response)
}

/// Whether a connection has carried nothing for the longest time that it may stay idle. A stream that
/// is being sent keeps its connection: a graceful end lets it finish.
fn is_idle<P>(state: &ForwardState<P>, activity: &ConnectionActivity) -> bool {
    let limit = limits(state).idle_time;
    activity.idle_since().is_some_and(|since| state.now().since(since) >= limit)
}

/// Whether a request's head has been arriving for longer than it may.
fn has_slow_head<P>(state: &ForwardState<P>, activity: &ConnectionActivity) -> bool {
    let limit = limits(state).head_time;
    activity.head_since().is_some_and(|since| state.now().since(since) >= limit)
}

fn limits<P>(state: &ForwardState<P>) -> CallerLimits {
    state.tables().routes.as_ref().map_or(FIRST_LIMITS, |record| record.table.limits)
}
