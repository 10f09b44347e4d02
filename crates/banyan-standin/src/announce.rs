//! Announces an instance on the platform's list: [`announce_instance`].

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::WrapErr;
use eyre::bail;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use banyan_wire::platform::InstanceWire;

/// Puts a row on the platform's instance list.
pub async fn announce_instance(platform: SocketAddr, row: &InstanceWire) -> eyre::Result<()> {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder()
        .method(Method::PUT)
        .uri(format!("http://{platform}/instances/{}", row.name))
        .body(Full::new(Bytes::from(serde_json::to_vec(row)?)))?;
    let reply = client.request(request).await.wrap_err("the platform does not answer")?;
    if !reply.status().is_success() {
        bail!("the platform refused the row of {}: {}", row.name, reply.status());
    }
    Ok(())
}
