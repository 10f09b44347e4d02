//! HTTP endpoints for the load balancer and the metrics collector: [`serve_readiness`] and
//! [`serve_metrics`].

use std::convert::Infallible;
use std::sync::Arc;

use http::Response;
use http::StatusCode;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;

use crate::callers::answer::AnswerBody;
use crate::callers::answer::whole_body;
use crate::edges::Platform;
use crate::state::DaemonPhase;
use crate::state::ForwardState;

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
    serve_pages(listener, move || match unready_cause(&state) {
        None => page(StatusCode::OK, "ready\n".to_owned()),
        Some(cause) => page(StatusCode::SERVICE_UNAVAILABLE, format!("{cause}\n")),
    })
    .await;
}

/// Serves the metrics page until the daemon stops.
pub async fn serve_metrics(handle: PrometheusHandle, listener: TcpListener) {
    serve_pages(listener, move || page(StatusCode::OK, handle.render())).await;
}

/// Answers every request on `listener` with the response of `answer`, whatever its path.
async fn serve_pages<F>(listener: TcpListener, answer: F)
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
        let answer = answer.clone();
        let service = service_fn(move |_| {
            let response = answer();
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(part = "readiness", %error, "A client's connection failed.");
            }
        });
    }
}

fn page(status: StatusCode, text: String) -> Response<AnswerBody> {
    let mut response = Response::new(whole_body(text));
    *response.status_mut() = status;
    response
}
