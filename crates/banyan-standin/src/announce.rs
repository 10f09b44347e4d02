//! Announces an instance on the platform's list: [`announce_instance`].

use std::net::SocketAddr;

use eyre::bail;
use hyper::Method;

use crate::client::JsonClient;
use banyan_wire::platform::InstanceWire;

/// Puts a row on the platform's instance list.
pub async fn announce_instance(platform: SocketAddr, row: &InstanceWire) -> eyre::Result<()> {
    let path = format!("/instances/{}", row.name);
    let client = JsonClient::default();
    let reply = client.send(Method::PUT, platform, &path, serde_json::to_vec(row)?).await?;
    if !reply.status.is_success() {
        bail!("the platform refused the row of {}: {}", row.name, reply.status);
    }
    Ok(())
}
