//! Sends one request to one target on a new connection: [`send_request`].
//!
//! A connection carries one request and is closed after it. A late answer to an earlier request is
//! therefore never mistaken for this one's, no pooled connection can be dead without notice, and
//! closing the connection tells the target that the answer is no longer needed.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::response::Parts;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;

use banyan_http::head_limit::HeadAllowance;
use banyan_http::head_limit::HeadLimitedStream;

/// The time limit for connecting to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The time after which a connection with unacknowledged data is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(4);

/// Why a target gave no answer.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection could not be established; nothing was sent.
    #[error("no connection: {0}")]
    NotSent(std::io::Error),
    /// The connection failed, possibly after the target read the request.
    #[error("no answer: {0}")]
    MaybeRun(hyper::Error),
}

type TargetConnection = Pin<Box<http1::Connection<TokioIo<HeadLimitedStream>, Full<Bytes>>>>;

/// A connection that is polled by the task that waits for its answer, without a task of its own.
#[derive(Debug)]
struct ConnectionDriver {
    connection: Option<TargetConnection>,
}

impl ConnectionDriver {
    fn drive(&mut self, cx: &mut Context<'_>) {
        let Some(connection) = &mut self.connection else { return };
        if let Poll::Ready(result) = connection.as_mut().poll(cx) {
            // hyper also reports the error through the response future or the body, which handle
            // it.
            if let Err(error) = result {
                tracing::debug!(part = "link", %error, "A connection to a target failed.");
            }
            self.connection = None;
        }
    }
}

/// The body of a target's answer. Dropping it closes the connection.
#[derive(Debug)]
pub struct LinkBody {
    driver: ConnectionDriver,
    incoming: Incoming,
}

impl Body for LinkBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        self.driver.drive(cx);
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        if polled.is_ready() {
            return polled;
        }
        // Polling the body may have requested more data from the connection.
        self.driver.drive(cx);
        Pin::new(&mut self.incoming).poll_frame(cx)
    }
}

/// Sends a request to a target on a new connection. Returns the head and the body of its answer.
pub async fn send_request(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Parts, LinkBody), LinkError> {
    let stream = connect(address).await.map_err(LinkError::NotSent)?;
    let (stream, allowance) = HeadAllowance::limit(stream);
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(LinkError::MaybeRun)?;
    let mut driver = ConnectionDriver { connection: Some(Box::pin(connection)) };
    let answer = sender.send_request(request);
    let mut answer = std::pin::pin!(answer);
    let response = std::future::poll_fn(|cx| {
        driver.drive(cx);
        let polled = answer.as_mut().poll(cx);
        if polled.is_ready() {
            return polled;
        }
        driver.drive(cx);
        answer.as_mut().poll(cx)
    })
    .await
    .map_err(LinkError::MaybeRun)?;
    allowance.end_head();
    let (parts, incoming) = response.into_parts();
    Ok((parts, LinkBody { driver, incoming }))
}

/// Whether the host at this address refuses connections, so that no process listens there.
pub async fn is_refused(address: SocketAddr) -> bool {
    let refused = |error: std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
    connect(address).await.is_err_and(refused)
}

/// Whether a connection to this address can be opened.
pub async fn accepts_connections(address: SocketAddr) -> bool {
    connect(address).await.is_ok()
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    set_unacknowledged_timeout(&stream, UNACKNOWLEDGED_TIMEOUT);
    Ok(stream)
}

/// Sets `TCP_USER_TIMEOUT`: closes a connection whose peer leaves data unacknowledged for
/// `timeout`.
pub fn set_unacknowledged_timeout(stream: &TcpStream, timeout: Duration) {
    let socket = socket2::SockRef::from(stream);
    if let Err(error) = socket.set_tcp_user_timeout(Some(timeout)) {
        tracing::debug!(part = "link", %error, "Setting TCP_USER_TIMEOUT failed.");
    }
}
