//! Serves a set of routes on a listener: [`serve`].

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

/// The delay after a failed accept before the next attempt.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Serves `routes` until `stop` completes. Then closes the listener, waits for all responses in
/// progress and returns.
pub async fn serve<F, R, S>(listener: TcpListener, routes: F, stop: S)
where
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
                connections.spawn(serve_connection(stream, routes.clone(), stop_receiver.clone()));
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
    let service = TowerToHyperService::new(warp::service(routes));
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = &mut connection => Some(result),
        () = wait_for_stop(&mut stop_receiver) => None,
    };
    let result = match result {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("http: A connection ended with an error: {error}.");
    }
}

async fn wait_for_stop(receiver: &mut watch::Receiver<bool>) {
    // A closed channel means that the server was dropped, which also stops the connection.
    let _ = receiver.wait_for(|stopped| *stopped).await;
}
