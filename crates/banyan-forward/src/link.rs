//! One request to one target on a connection of its own: [`send_request`].
//!
//! A connection carries one request and is closed after it. So no late answer to an earlier request
//! can be taken for this one's, no connection can have gone silent unseen, and closing it tells the
//! target that nobody waits any more.

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

/// The longest time that a connection to a target may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// The time after which unacknowledged bytes end a connection.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(4);

/// Why a target gave no answer.
#[derive(Debug, Error)]
pub enum LinkError {
    /// No connection came about; nothing was sent.
    #[error("no connection: {0}")]
    NotSent(std::io::Error),
    /// The connection ended after the request may have been read.
    #[error("no answer: {0}")]
    MaybeRun(hyper::Error),
}

type TargetConnection = Pin<Box<http1::Connection<TokioIo<TcpStream>, Full<Bytes>>>>;

/// A connection that is driven by whoever waits for its answer.
#[derive(Debug)]
struct LinkDriver {
    connection: Option<TargetConnection>,
}

impl LinkDriver {
    fn drive(&mut self, cx: &mut Context<'_>) {
        let Some(connection) = &mut self.connection else { return };
        if let Poll::Ready(result) = connection.as_mut().poll(cx) {
            // The error reaches the answer or its body too, where it is handled.
            if let Err(error) = result {
                tracing::debug!(part = "link", %error, "A connection to a target ended.");
            }
            self.connection = None;
        }
    }
}

/// The body of a target's answer. Dropping it closes the connection.
#[derive(Debug)]
pub struct LinkBody {
    driver: LinkDriver,
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
        // Polling the body may have asked the connection for more.
        self.driver.drive(cx);
        Pin::new(&mut self.incoming).poll_frame(cx)
    }
}

/// Sends a request to a target and returns the head of its answer and the body.
pub async fn send_request(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Parts, LinkBody), LinkError> {
    let stream = connect(address).await.map_err(LinkError::NotSent)?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(LinkError::MaybeRun)?;
    let mut driver = LinkDriver { connection: Some(Box::pin(connection)) };
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
    let (parts, incoming) = response.into_parts();
    Ok((parts, LinkBody { driver, incoming }))
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_LIMIT, connecting)
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    set_unacknowledged_timeout(&stream, UNACKNOWLEDGED_LIMIT);
    Ok(stream)
}

/// Ends a connection whose peer acknowledges nothing for `limit`.
pub fn set_unacknowledged_timeout(stream: &TcpStream, limit: Duration) {
    let socket = socket2::SockRef::from(stream);
    if let Err(error) = socket.set_tcp_user_timeout(Some(limit)) {
        tracing::debug!(part = "link", %error, "A connection keeps the system's own time limit.");
    }
}
