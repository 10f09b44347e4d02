//! Runs a set of routes on a listener: [`serve`].

use std::future::Future;
use std::time::Duration;

use hyper::server::conn::http1;
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

/// The time after a failed accept before the next one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Serves `routes` until `stop` ends, then lets every response under way end and returns.
pub async fn serve<F, R, S>(listener: TcpListener, routes: F, stop: S)
where
    F: Filter<Extract = (R,), Error = Rejection> + Clone + Send + Sync + 'static,
    F::Future: Send,
    R: Reply + 'static,
    S: Future<Output = ()> + Send,
{
    let (stopping, stopped) = watch::channel(false);
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
                connections.spawn(serve_connection(stream, routes.clone(), stopped.clone()));
            }
            Err(error) => {
                log::warn!("http: A connection was not accepted: {error}.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    let _ = stopping.send(true);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<F, R>(stream: TcpStream, routes: F, mut stopped: watch::Receiver<bool>)
where
    F: Filter<Extract = (R,), Error = Rejection> + Clone + Send + Sync + 'static,
    F::Future: Send,
    R: Reply + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("http: A connection keeps its delay: {error}.");
    }
    let service = TowerToHyperService::new(warp::service(routes));
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => Some(ended),
        () = wait_stopped(&mut stopped) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("http: A connection ended early: {error}.");
    }
}

async fn wait_stopped(stopped: &mut watch::Receiver<bool>) {
    // A closed channel means that the server is gone, which is a stop as well.
    let _ = stopped.wait_for(|stopped| *stopped).await;
}
