//! HTTP calls with buffered bodies, on a connection that is kept ([`PersistentConnection`]) or on a
//! new one ([`call_once`]).

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::head_limit::HeadAllowance;
use banyan_core::units::ByteCount;

/// The shortest time for which an answer on a kept connection is awaited.
const MIN_KEPT_ANSWER_TIME: Duration = Duration::from_millis(400);
/// An answer on a kept connection is awaited for this many times as long as the one before took.
const ANSWER_TIME_FACTOR: u32 = 2;
/// The time limit for opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call got no response. The server may have carried it out, except if the connect failed.
#[derive(Clone, Debug, Error)]
pub enum CallError {
    /// The host refused the connection: nothing listens on the port.
    #[error("the connection was refused: nothing listens on the port")]
    NoListener,
    /// The connection could not be opened.
    #[error("no connection: {0}")]
    ConnectFailed(String),
    /// The connection closed or failed before the whole response arrived.
    #[error("the connection ended: {0}")]
    ConnectionLost(String),
    /// The response body is larger than the limit.
    #[error("the response is larger than {0}, or the connection ended within it")]
    IncompleteBody(ByteCount),
    /// The whole response did not arrive within the call's time limit.
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
}

/// An open connection without a call in progress.
#[derive(Debug)]
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    /// Limits the heads of the responses.
    allowance: Arc<HeadAllowance>,
}

impl OpenConnection {
    async fn send_and_collect(
        &mut self,
        request: Request<Full<Bytes>>,
        max_response: ByteCount,
    ) -> Result<Response<Bytes>, CallError> {
        self.allowance.begin_head();
        let sending = self.sender.send_request(request);
        let response =
            sending.await.map_err(|error| CallError::ConnectionLost(error.to_string()))?;
        self.allowance.end_head();
        let (head, body) = response.into_parts();
        let collecting = Limited::new(body, max_response.0 as usize).collect();
        let body = collecting.await.map_err(|_| CallError::IncompleteBody(max_response))?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

/// How long a call may take.
#[derive(Clone, Copy, Debug)]
pub struct CallTime {
    /// The time for which the server holds its response back.
    pub wait: Duration,
    /// The time for everything else, on a new connection.
    pub answer: Duration,
}

/// A connection between two calls.
#[derive(Debug)]
struct IdleConnection {
    open: OpenConnection,
    /// The time that the last response took, without the time for which the server held it back.
    answer_time: Duration,
}

impl IdleConnection {
    /// The time limit of the next call, after which a new connection is tried.
    fn time_limit(&self, time: CallTime) -> Duration {
        let answer = MIN_KEPT_ANSWER_TIME.max(self.answer_time * ANSWER_TIME_FACTOR);
        time.wait + answer.min(time.answer)
    }
}

/// An HTTP connection that is reused for the next call, and reopened after a failed call.
///
/// A kept connection may have been lost without notice. A call on one that fails or does not
/// answer in its usual time is therefore made again on a new connection, so that calls have to be
/// repeatable.
#[derive(Debug)]
pub struct PersistentConnection {
    address: SocketAddr,
    /// The largest accepted response body.
    max_response: ByteCount,
    idle: Mutex<Option<IdleConnection>>,
}

impl PersistentConnection {
    /// Creates a connection that is opened by the first call.
    pub fn new(address: SocketAddr, max_response: ByteCount) -> Self {
        Self { address, max_response, idle: Mutex::new(None) }
    }

    /// Makes a call once all earlier calls have ended.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        time: CallTime,
    ) -> Result<Response<Bytes>, CallError> {
        let mut idle = self.idle.lock().await;
        // Take the connection out: if the call fails or is cancelled, it is dropped, so that the
        // next call cannot receive this call's response.
        if let Some(kept) = idle.take().filter(|kept| !kept.open.sender.is_closed()) {
            let limit = kept.time_limit(time);
            match self.exchange(Some(kept.open), request.clone(), time, limit).await {
                Ok((kept, response)) => {
                    *idle = Some(kept);
                    return Ok(response);
                }
                Err(error) => {
                    tracing::debug!(part = "connection", %error, "A kept connection was replaced.");
                }
            }
        }
        let limit = time.wait + time.answer;
        let (kept, response) = self.exchange(None, request, time, limit).await?;
        *idle = Some(kept);
        Ok(response)
    }

    /// Makes a call on a connection, or on a new one. Returns the connection with the response.
    async fn exchange(
        &self,
        open: Option<OpenConnection>,
        request: Request<Full<Bytes>>,
        time: CallTime,
        limit: Duration,
    ) -> Result<(IdleConnection, Response<Bytes>), CallError> {
        let started = Instant::now();
        let exchange_call = async {
            let mut open = match open {
                Some(open) => open,
                None => connect(self.address).await?,
            };
            let response = open.send_and_collect(request, self.max_response).await?;
            Ok::<_, CallError>((open, response))
        };
        let (open, response) = tokio::time::timeout(limit, exchange_call)
            .await
            .map_err(|_| CallError::TimedOut(limit))??;
        let answer_time = started.elapsed().saturating_sub(time.wait);
        Ok((IdleConnection { open, answer_time }, response))
    }
}

/// Makes one call on a new connection.
pub async fn call_once(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    max_response: ByteCount,
    limit: Duration,
) -> Result<Response<Bytes>, CallError> {
    let time = CallTime { wait: Duration::ZERO, answer: limit };
    PersistentConnection::new(address, max_response).call(request, time).await
}

async fn connect(address: SocketAddr) -> Result<OpenConnection, CallError> {
    let connect_failed =
        |error: &dyn std::fmt::Display| CallError::ConnectFailed(error.to_string());
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|error| connect_failed(&error))?
        .map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => CallError::NoListener,
            _ => connect_failed(&error),
        })?;
    stream.set_nodelay(true).map_err(|error| connect_failed(&error))?;
    let (stream, allowance) = HeadAllowance::limit(stream);
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| connect_failed(&error))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(part = "connection", %error, "An outgoing connection failed.");
        }
    });
    Ok(OpenConnection { sender, allowance })
}
