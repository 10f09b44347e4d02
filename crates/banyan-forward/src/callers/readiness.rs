//! HTTP endpoints for the load balancer and the metrics collector: [`serve_readiness`] and
//! [`serve_metrics`].

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;

use crate::callers::answer::AnswerBody;
use crate::callers::answer::whole_body;
use crate::edges::Platform;
use crate::metric;
use crate::state::DaemonPhase;
use crate::state::ForwardState;
use banyan_core::machine::MachineLimits;
use banyan_core::units::ByteCount;
use banyan_http::connection_slots::ConnectionSlots;
use banyan_http::connection_slots::RequestGuard;

/// The time within which the head of a request for a page arrives, from the end of the request
/// before. It is longer than the interval between two checks of a load balancer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// The largest head of a request for a page, and the largest part of a page that is buffered for
/// sending.
const HEAD_BUFFER_BYTES: usize = 16_384;

/// The reason why the instance is not ready for new connections, or `None` if it is ready.
pub fn unready_cause<P>(state: &ForwardState<P>) -> Option<&'static str> {
    if *state.phase.borrow() != DaemonPhase::Serving {
        return Some("the instance is stopping");
    }
    let tables = state.tables();
    if tables.configuration.is_none() {
        return Some("no configuration is known");
    }
    if !tables.fleet_known {
        return Some("the targets are not known");
    }
    None
}

/// Answers the load balancer's readiness checks until the daemon stops.
pub async fn serve_readiness<P: Platform>(state: Arc<ForwardState<P>>, listener: TcpListener) {
    let slots = page_slots("readiness", state.settings().machine);
    serve_pages(listener, slots, move || match unready_cause(&state) {
        None => page(StatusCode::OK, "ready\n".to_owned()),
        Some(cause) => page(StatusCode::SERVICE_UNAVAILABLE, format!("{cause}\n")),
    })
    .await;
}

/// Serves the metrics page until the daemon stops.
pub async fn serve_metrics<P: Platform>(
    state: Arc<ForwardState<P>>,
    handle: PrometheusHandle,
    listener: TcpListener,
) {
    let slots = page_slots("metrics", state.settings().machine);
    serve_pages(listener, slots, move || {
        metric::set_held_bytes(&state.memory);
        page(StatusCode::OK, handle.render())
    })
    .await;
}

/// The connection slots of one page.
fn page_slots(name: &'static str, machine: MachineLimits) -> Arc<ConnectionSlots> {
    ConnectionSlots::new(name, machine.page_connections(), ByteCount(u64::MAX))
}

/// Answers every request on `listener` with the response of `answer`, whatever its path.
async fn serve_pages<F>(listener: TcpListener, slots: Arc<ConnectionSlots>, answer: F)
where
    F: Fn() -> Response<AnswerBody> + Clone + Send + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(part = "readiness", %error, "Accepting a connection failed.");
                tokio::task::yield_now().await;
                continue;
            }
        };
        let Some(slot) = slots.admit(|| false).await else { continue };
        let answer = answer.clone();
        let service_slot = slot.clone();
        // The answer is ready at once, so the connection only counts as one that sent a request.
        let service = service_fn(move |_| {
            drop(RequestGuard::begin(service_slot.clone()));
            let response = answer();
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(HEAD_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            tokio::select! {
                result = connection => if let Err(error) = result {
                    tracing::debug!(part = "readiness", %error, "A client's connection failed.");
                },
                () = slot.must_end() => {}
            }
        });
    }
}

fn page(status: StatusCode, text: String) -> Response<AnswerBody> {
    let mut response = Response::new(whole_body(text));
    *response.status_mut() = status;
    response
}
