//! Serves a set of routes on a listener: [`serve`].

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use warp::Filter;
use warp::Rejection;
use warp::Reply;

use crate::connection_slots::ConnectionSlot;
use crate::connection_slots::ConnectionSlots;
use crate::connection_slots::RequestGuard;
use crate::held_memory::CallerMemory;
use crate::held_memory::HoldHandle;
use crate::tracked_body::TrackedBody;

/// The delay after a failed accept before the next attempt.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The largest head of a request, and the largest part of an answer that is buffered for sending,
/// where connections are limited.
const HEAD_BUFFER_BYTES: usize = 64 << 10;

/// Limits what the clients of a server may take.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// The open connections.
    pub slots: Arc<ConnectionSlots>,
    /// The memory for requests. Its slowest request ends if no connection is idle.
    pub memory: Option<Arc<CallerMemory>>,
}

impl ServerLimits {
    async fn admit(&self) -> Option<Arc<ConnectionSlot>> {
        let memory = self.memory.as_ref();
        self.slots.admit(|| memory.is_some_and(|memory| memory.end_slowest())).await
    }
}

/// Serves `routes` until `stop` completes, without limits. Then closes the listener, waits for all
/// responses in progress and returns.
pub async fn serve<F, R, S>(listener: TcpListener, routes: F, stop: S)
where
    F: Filter<Extract = (R,), Error = Rejection> + Clone + Send + Sync + 'static,
    F::Future: Send,
    R: Reply + 'static,
    S: Future<Output = ()> + Send,
{
    serve_limited(listener, routes, None, stop).await;
}

/// Serves `routes` as [`serve`] does, to clients within `limits`.
pub async fn serve_limited<F, R, S>(
    listener: TcpListener,
    routes: F,
    limits: Option<ServerLimits>,
    stop: S,
) where
    F: Filter<Extract = (R,), Error = Rejection> + Clone + Send + Sync + 'static,
    F::Future: Send,
    R: Reply + 'static,
    S: Future<Output = ()> + Send,
{
    let (stop_sender, stop_receiver) = watch::channel(false);
    let mut connections = JoinSet::new();
    tokio::pin!(stop);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stop => break,
        };
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok((stream, _)) => {
                let slot = match &limits {
                    None => None,
                    Some(limits) => match limits.admit().await {
                        Some(slot) => Some(slot),
                        None => continue,
                    },
                };
                let (routes, stop_receiver) = (routes.clone(), stop_receiver.clone());
                connections.spawn(serve_connection(stream, slot, routes, stop_receiver));
            }
            Err(error) => {
                log::warn!("http: Failed to accept a connection: {error}.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    let _ = stop_sender.send(true);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<F, R>(
    stream: TcpStream,
    slot: Option<Arc<ConnectionSlot>>,
    routes: F,
    mut stop_receiver: watch::Receiver<bool>,
) where
    F: Filter<Extract = (R,), Error = Rejection> + Clone + Send + Sync + 'static,
    F::Future: Send,
    R: Reply + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("http: Failed to set TCP_NODELAY on a connection: {error}.");
    }
    let routes = TowerToHyperService::new(warp::service(routes));
    let service_slot = slot.clone();
    let service = service_fn(move |request| {
        let slot = service_slot.clone();
        let request_guard = slot.clone().map(RequestGuard::begin);
        let answering = routes.call(request);
        async move {
            let mut answer = answering.await;
            if let Some(slot) = slot
                && let Ok(answer) = &mut answer
                && let Some(held) = answer.extensions_mut().remove::<HoldHandle>()
            {
                slot.begin_delivery(&held);
            }
            answer.map(|answer| answer.map(|body| TrackedBody::new(body, request_guard)))
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    if slot.is_some() {
        builder.max_buf_size(HEAD_BUFFER_BYTES);
    }
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = &mut connection => Some(result),
        () = wait_for_stop(&mut stop_receiver) => None,
        () = must_end(slot.as_deref()) => return,
    };
    let result = match result {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                result = connection => result,
                () = must_end(slot.as_deref()) => return,
            }
        }
    };
    if let Err(error) = result {
        log::debug!("http: A connection ended with an error: {error}.");
    }
}

async fn must_end(slot: Option<&ConnectionSlot>) {
    match slot {
        Some(slot) => slot.must_end().await,
        None => std::future::pending().await,
    }
}

async fn wait_for_stop(receiver: &mut watch::Receiver<bool>) {
    // A closed channel means that the server was dropped, which also stops the connection.
    let _ = receiver.wait_for(|stopped| *stopped).await;
}
