//! The client of the platform's log and instance list: [`PlatformClient`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::de::DeserializeOwned;

use banyan_core::ids::LogOffset;
use banyan_core::record::StreamId;
use banyan_http::client::CallError;
use banyan_http::client::JsonClient;
use banyan_http::client::encode;
use banyan_wire::platform::AppendReply;
use banyan_wire::platform::InstanceWire;
use banyan_wire::platform::InstancesReply;
use banyan_wire::platform::ReadReply;

/// The timeout of an append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1000);
/// The timeout of a call to the instance list.
const LIST_TIMEOUT: Duration = Duration::from_millis(2500);
/// The maximum number of entries that one read requests.
const READ_LIMIT: u32 = 500;

/// Calls to the platform's log and instance list.
///
/// After a timeout, every pooled connection may be dead. The whole pool is replaced, so that the
/// next call does not use another dead connection.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    client: Arc<Mutex<JsonClient>>,
}

impl PlatformClient {
    /// A client of the platform at `address` with an empty connection pool.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: Arc::new(Mutex::new(JsonClient::new(LIST_TIMEOUT))) }
    }

    /// Appends a body. After any error but a refused connection, it is unknown whether the append
    /// took effect.
    pub async fn append(&self, stream: StreamId, body: Bytes) -> Result<LogOffset, CallError> {
        let path = format!("/log/{stream}");
        let answer = self.send(APPEND_TIMEOUT, Method::POST, &path, body).await?;
        let reply: AppendReply = self.decode(&answer)?;
        Ok(LogOffset(reply.offset))
    }

    /// Reads entries starting at an offset and waits up to `wait` for the first one; the call times
    /// out after `wait` plus `slack`.
    pub async fn read(
        &self,
        stream: StreamId,
        from: LogOffset,
        wait: Duration,
        slack: Duration,
    ) -> Result<ReadReply, CallError> {
        let wait_ms = wait.as_millis();
        let path = format!("/log/{stream}?from={from}&limit={READ_LIMIT}&wait_ms={wait_ms}");
        let answer = self.send(wait + slack, Method::GET, &path, Bytes::new()).await?;
        self.decode(&answer)
    }

    /// Reads the instance list, which may be stale.
    pub async fn instances(&self) -> Result<InstancesReply, CallError> {
        let answer = self.send(LIST_TIMEOUT, Method::GET, "/instances", Bytes::new()).await?;
        self.decode(&answer)
    }

    /// Adds an instance to the list or updates its entry.
    pub async fn announce(&self, instance: &InstanceWire) -> Result<(), CallError> {
        let path = format!("/instances/{}", instance.name);
        self.send(LIST_TIMEOUT, Method::PUT, &path, encode(instance)).await.map(|_| ())
    }

    /// Removes an instance from the list.
    pub async fn withdraw(&self, name: &str) -> Result<(), CallError> {
        let path = format!("/instances/{name}");
        self.send(LIST_TIMEOUT, Method::DELETE, &path, Bytes::new()).await.map(|_| ())
    }

    async fn send(
        &self,
        timeout: Duration,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, CallError> {
        let client = self.lock().with_timeout(timeout);
        let result = client.send(method, self.address, path, body).await;
        if matches!(result, Err(CallError::Timeout { .. })) {
            // Calls in progress keep their connections.
            *self.lock() = JsonClient::new(LIST_TIMEOUT);
        }
        result
    }

    fn decode<T: DeserializeOwned>(&self, answer: &[u8]) -> Result<T, CallError> {
        serde_json::from_slice(answer).map_err(|error| CallError::Malformed {
            address: self.address,
            reason: error.to_string(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, JsonClient> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
