//! HTTP calls with JSON bodies and a timeout each: [`JsonClient`].

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

/// The HTTP client that all programs use; see [`plain_client`].
pub type PlainClient = Client<HttpConnector, Full<Bytes>>;

/// How long the pool keeps an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be opened, so nothing was sent.
    #[error(
        "{address} cannot be reached: {reason}; check that it runs and that the address is right"
    )]
    Connect {
        /// The address called.
        address: SocketAddr,
        /// The error from the operating system.
        reason: String,
    },
    /// The connection broke after the request may have been sent.
    #[error("the connection to {address} was lost: {reason}; the call may have taken effect")]
    Broken {
        /// The address called.
        address: SocketAddr,
        /// The error from the HTTP library.
        reason: String,
    },
    /// No response arrived in time. The call may have taken effect.
    #[error("{address} did not respond within {timeout:?}; the call may have taken effect")]
    Timeout {
        /// The address called.
        address: SocketAddr,
        /// The time limit of the call.
        timeout: Duration,
    },
    /// The response's status is not a success.
    #[error("{address} responded with {status}: {body}")]
    Status {
        /// The address called.
        address: SocketAddr,
        /// The response's status.
        status: StatusCode,
        /// The first 400 characters of the response's body.
        body: String,
    },
    /// The response does not follow the protocol.
    #[error("the response of {address} is malformed: {reason}; check its version")]
    Malformed {
        /// The address called.
        address: SocketAddr,
        /// The decoder's error.
        reason: String,
    },
}

/// Creates a client with its own connection pool. Its connections set `TCP_NODELAY`, and it does
/// not retry requests.
pub fn plain_client() -> PlainClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .retry_canceled_requests(false)
        .build(connector)
}

/// A client for calls with JSON bodies, each with a time limit.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: PlainClient,
    timeout: Duration,
}

impl JsonClient {
    /// Creates a client with its own pool whose calls take at most `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self { client: plain_client(), timeout }
    }

    /// Returns a client that shares this client's pool but has another time limit.
    pub fn with_timeout(&self, timeout: Duration) -> Self {
        Self { client: self.client.clone(), timeout }
    }

    /// Sends a GET request and decodes the JSON response.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, CallError> {
        let body = self.send(Method::GET, address, path, Bytes::new()).await?;
        decode(address, &body)
    }

    /// Posts `body` as JSON and decodes the JSON response.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<T, CallError> {
        let response = self.send(Method::POST, address, path, encode(body)).await?;
        decode(address, &response)
    }

    /// Sends `body` unchanged and returns the body of a successful response.
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

/// Encodes a value as a JSON body.
pub fn encode<B: Serialize>(body: &B) -> Bytes {
    Bytes::from(serde_json::to_vec(body).unwrap_or_default())
}

fn decode<T: DeserializeOwned>(address: SocketAddr, body: &[u8]) -> Result<T, CallError> {
    // An empty body decodes as the unit value.
    let body = if body.is_empty() { b"null" } else { body };
    serde_json::from_slice(body)
        .map_err(|error| CallError::Malformed { address, reason: error.to_string() })
}

/// Formats an error and its sources as one line, joined by colons.
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        text.push_str(": ");
        text.push_str(&error.to_string());
        source = error.source();
    }
    text
}
