//! Calls with JSON bodies and a timeout on each: [`JsonClient`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The client that our programs use, with small writes sent at once.
pub type PlainClient = Client<HttpConnector, Full<Bytes>>;

/// The time that an unused connection is kept.
const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection was made: nothing was sent.
    #[error(
        "{address} cannot be reached: {reason}; check that it runs and that the address is right"
    )]
    Connect {
        /// The address called.
        address: SocketAddr,
        /// What the system said.
        reason: String,
    },
    /// The connection broke after the call may have been sent.
    #[error("the connection to {address} broke: {reason}; the call may have taken effect")]
    Broken {
        /// The address called.
        address: SocketAddr,
        /// What the library said.
        reason: String,
    },
    /// No answer came in time; the call may have taken effect.
    #[error("{address} did not answer within {timeout:?}; the call may have taken effect")]
    Timeout {
        /// The address called.
        address: SocketAddr,
        /// The time allowed.
        timeout: Duration,
    },
    /// The answer's status is not a success.
    #[error("{address} answered {status}: {body}")]
    Status {
        /// The address called.
        address: SocketAddr,
        /// The status.
        status: StatusCode,
        /// The start of the body.
        body: String,
    },
    /// The answer is not what the protocol says.
    #[error("{address} gave an answer that is not understood: {reason}; check its version")]
    Malformed {
        /// The address called.
        address: SocketAddr,
        /// What the decoder said.
        reason: String,
    },
}

/// A plain client with a pool of its own.
pub fn plain_client() -> PlainClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_LIMIT)
        .retry_canceled_requests(false)
        .build(connector)
}

/// Calls with JSON bodies, each within a time limit.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: PlainClient,
    timeout: Duration,
}

impl JsonClient {
    /// A client whose calls take at most `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self { client: plain_client(), timeout }
    }

    /// The same client, with another time limit.
    pub fn with_timeout(&self, timeout: Duration) -> Self {
        Self { client: self.client.clone(), timeout }
    }

    /// Gets a JSON value.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, CallError> {
        let body = self.send(Method::GET, address, path, Bytes::new()).await?;
        decode(address, &body)
    }

    /// Posts a JSON value and gets one back.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<T, CallError> {
        let answer = self.send(Method::POST, address, path, encode(body)).await?;
        decode(address, &answer)
    }

    /// Sends a body as it is and gives the answer's body, whose status is a success.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, CallError> {
        let timeout = self.timeout;
        match tokio::time::timeout(timeout, self.exchange(method, address, path, body)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Timeout { address, timeout }),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| CallError::Malformed { address, reason: error.to_string() })?;
        let response = self.client.request(request).await.map_err(|error| {
            let reason = error_chain(&error);
            match error.is_connect() {
                true => CallError::Connect { address, reason },
                false => CallError::Broken { address, reason },
            }
        })?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body
            .map_err(|error| CallError::Broken { address, reason: error.to_string() })?
            .to_bytes();
        if !status.is_success() {
            let body = String::from_utf8_lossy(&body).chars().take(400).collect();
            return Err(CallError::Status { address, status, body });
        }
        Ok(body)
    }
}

/// A JSON value as the body of a call.
pub fn encode<B: Serialize>(body: &B) -> Bytes {
    Bytes::from(serde_json::to_vec(body).unwrap_or_default())
}

fn decode<T: DeserializeOwned>(address: SocketAddr, body: &[u8]) -> Result<T, CallError> {
    // An empty body stands for the unit value.
    let body = if body.is_empty() { b"null" } else { body };
    serde_json::from_slice(body)
        .map_err(|error| CallError::Malformed { address, reason: error.to_string() })
}

/// An error with its causes, in one line.
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
