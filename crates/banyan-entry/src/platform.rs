//! The platform as the daemon uses it: [`PlatformClient`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;

use banyan_core::ids::LogOffset;
use banyan_core::record::StreamId;
use banyan_http::client::CallError;
use banyan_http::client::JsonClient;
use banyan_http::client::encode;
use banyan_wire::platform::AppendReply;
use banyan_wire::platform::InstanceWire;
use banyan_wire::platform::InstancesReply;
use banyan_wire::platform::ReadReply;

/// The time that one append may take.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1000);
/// The time that a call to the instance list may take.
const LIST_TIMEOUT: Duration = Duration::from_millis(2500);
/// The most entries that one read asks for.
const READ_LIMIT: u32 = 500;

/// Calls to the platform's log and instance list.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    client: JsonClient,
}

impl PlatformClient {
    /// A client of the platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: JsonClient::new(LIST_TIMEOUT) }
    }

    /// Appends a body. An error other than a refused connection says nothing about its effect.
    pub async fn append(&self, stream: StreamId, body: Bytes) -> Result<LogOffset, CallError> {
        let client = self.client.with_timeout(APPEND_TIMEOUT);
        let path = format!("/log/{stream}");
        let answer = client.send(Method::POST, self.address, &path, body).await?;
        let reply: AppendReply = serde_json::from_slice(&answer).map_err(|error| {
            CallError::Malformed { address: self.address, reason: error.to_string() }
        })?;
        Ok(LogOffset(reply.offset))
    }

    /// Reads from an offset on and waits up to `wait` for the first entry; the platform may take
    /// `slack` beyond that.
    pub async fn read(
        &self,
        stream: StreamId,
        from: LogOffset,
        wait: Duration,
        slack: Duration,
    ) -> Result<ReadReply, CallError> {
        let client = self.client.with_timeout(wait + slack);
        let wait_ms = wait.as_millis();
        let path = format!("/log/{stream}?from={from}&limit={READ_LIMIT}&wait_ms={wait_ms}");
        client.get(self.address, &path).await
    }

    /// The list of instances, which may lag.
    pub async fn instances(&self) -> Result<InstancesReply, CallError> {
        self.client.get(self.address, "/instances").await
    }

    /// Announces an instance on the list.
    pub async fn announce(&self, instance: &InstanceWire) -> Result<(), CallError> {
        let path = format!("/instances/{}", instance.name);
        self.client.send(Method::PUT, self.address, &path, encode(instance)).await.map(|_| ())
    }

    /// Takes an instance off the list.
    pub async fn withdraw(&self, name: &str) -> Result<(), CallError> {
        let path = format!("/instances/{name}");
        self.client.send(Method::DELETE, self.address, &path, Bytes::new()).await.map(|_| ())
    }
}
