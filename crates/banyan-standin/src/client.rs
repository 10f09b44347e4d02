//! A small HTTP client for tests and measurements: [`JsonClient`].

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::WrapErr;
use eyre::bail;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use banyan_wire::engine::StepBatch;
use banyan_wire::engine::StepEvent;

/// Sends JSON and reads JSON; keeps connections open between requests.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for JsonClient {
    fn default() -> Self {
        Self { client: Client::builder(TokioExecutor::new()).build_http() }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct RawReply {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

impl JsonClient {
    /// Sends a request and reads the whole answer.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> eyre::Result<RawReply> {
        let reply = self.open(method, address, path, body.into()).await?;
        let status = reply.status();
        let body = reply.into_body().collect().await.wrap_err("the answer broke off")?;
        Ok(RawReply { status, body: body.to_bytes() })
    }

    /// Reads a JSON value.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> eyre::Result<T> {
        let reply = self.send(Method::GET, address, path, Bytes::new()).await?;
        reply.json()
    }

    /// Posts a JSON value and reads the whole answer.
    pub async fn post<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        value: &T,
    ) -> eyre::Result<RawReply> {
        self.send(Method::POST, address, path, serde_json::to_vec(value)?).await
    }

    /// Sets a fault of a stand-in through its control address.
    ///
    /// A fault that ends the process ends the connection too, so a lost answer is no error.
    pub async fn set_fault<T: Serialize>(&self, control: SocketAddr, fault: &T) {
        if let Err(error) = self.post(control, "/control", fault).await {
            log::debug!("client: {control} gave no answer to a fault: {error}");
        }
    }

    /// Sends steps to an engine and reads the events as they come.
    pub async fn open_steps(
        &self,
        address: SocketAddr,
        batch: &StepBatch,
    ) -> eyre::Result<StepReader> {
        let body = Bytes::from(serde_json::to_vec(batch)?);
        let reply = self.open(Method::POST, address, "/v1/steps", body).await?;
        Ok(StepReader { body: reply.into_body(), rest: Vec::new() })
    }

    async fn open(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> eyre::Result<Response<Incoming>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))?;
        self.client.request(request).await.wrap_err_with(|| format!("{address} does not answer"))
    }
}

impl RawReply {
    /// The body as JSON, where the status is a success.
    pub fn json<T: DeserializeOwned>(&self) -> eyre::Result<T> {
        if !self.status.is_success() {
            bail!("status {}: {}", self.status, String::from_utf8_lossy(&self.body));
        }
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// The events of one batch, as they come.
#[derive(Debug)]
pub struct StepReader {
    body: Incoming,
    rest: Vec<u8>,
}

impl StepReader {
    /// The next event; nothing at the end, an error where the connection broke.
    pub async fn next(&mut self) -> eyre::Result<Option<StepEvent>> {
        loop {
            if let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.rest.drain(..=end).collect();
                return Ok(Some(serde_json::from_slice(&line)?));
            }
            let Some(frame) = self.body.frame().await else { return Ok(None) };
            if let Ok(data) = frame?.into_data() {
                self.rest.extend_from_slice(&data);
            }
        }
    }

    /// The next event that is no heartbeat.
    pub async fn next_event(&mut self) -> eyre::Result<Option<StepEvent>> {
        loop {
            match self.next().await? {
                Some(StepEvent::Heartbeat) => {}
                event => return Ok(event),
            }
        }
    }
}
