//! Calls to peers over [`peer_links`](crate::tables::peer_links), each with a time limit.
//!
//! A connection on which a call was not answered in time may have gone silent for good: it is
//! dropped, and the next call makes a new one.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tarpc::client::RpcError;
use tarpc::context;
use tarpc::context::Context;
use thiserror::Error;
use tokio::time::Instant;

use crate::state::EntryState;
use banyan_wire::peer::ClaimReply;
use banyan_wire::peer::ClaimRequest;
use banyan_wire::peer::DeliverRequest;
use banyan_wire::peer::PeerDigest;
use banyan_wire::peer::PeerServiceClient;
use banyan_wire::peer::RelayReply;
use banyan_wire::peer::SnapshotReply;
use banyan_wire::peer::TrialRequest;

/// The time that an exchange or a relay may take.
const SHORT_TIMEOUT: Duration = Duration::from_millis(700);
/// The time that a snapshot may take.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(5);
/// The time beyond its own waiting that a claim may take.
const CLAIM_SLACK: Duration = Duration::from_millis(100);
/// The time that a delivery of facts may take.
const DELIVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a peer gave no answer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No connection was made.
    #[error("no connection: {0}; check that the peer runs and that peer_address is right")]
    Connect(#[from] io::Error),
    /// The call failed.
    #[error("the call failed: {0}; it is made again on a new connection")]
    Call(#[from] RpcError),
    /// No answer came in time.
    #[error("no answer within {0:?}; the next call makes a new connection")]
    Timeout(Duration),
}

/// Exchanges digests.
pub async fn exchange(
    state: &EntryState,
    address: SocketAddr,
    digest: PeerDigest,
) -> Result<PeerDigest, PeerError> {
    call(state, address, SHORT_TIMEOUT, async |client, context| {
        client.exchange(context, digest).await
    })
    .await
}

/// Reads a stream through a peer.
pub async fn relay(
    state: &EntryState,
    address: SocketAddr,
    stream: &str,
    from: u64,
) -> Result<RelayReply, PeerError> {
    let stream = stream.into();
    call(state, address, SHORT_TIMEOUT, async |client, context| {
        client.relay(context, stream, from).await
    })
    .await
}

/// Takes a peer's state.
pub async fn snapshot(
    state: &Arc<EntryState>,
    address: SocketAddr,
) -> Result<SnapshotReply, PeerError> {
    call(state, address, SNAPSHOT_TIMEOUT, async |client, context| client.snapshot(context).await)
        .await
}

/// Has a claim appended and read back by a peer.
pub async fn claim(
    state: &EntryState,
    address: SocketAddr,
    order: ClaimRequest,
) -> Result<ClaimReply, PeerError> {
    let timeout = Duration::from_millis(order.wait_ms) + CLAIM_SLACK;
    call(state, address, timeout, async |client, context| client.claim(context, order).await).await
}

/// Has facts appended by a peer; says whether they have landed.
pub async fn deliver(
    state: &EntryState,
    address: SocketAddr,
    order: DeliverRequest,
) -> Result<bool, PeerError> {
    call(state, address, DELIVER_TIMEOUT, async |client, context| {
        client.deliver(context, order).await
    })
    .await
}

/// Begins or ends a suspect's trial at a target's referee.
pub async fn trial(
    state: &EntryState,
    address: SocketAddr,
    order: TrialRequest,
) -> Result<bool, PeerError> {
    call(state, address, SHORT_TIMEOUT, async |client, context| client.trial(context, order).await)
        .await
}

async fn call<T, F>(
    state: &EntryState,
    address: SocketAddr,
    timeout: Duration,
    send: impl FnOnce(PeerServiceClient, Context) -> F,
) -> Result<T, PeerError>
where
    F: Future<Output = Result<T, RpcError>>,
{
    let link = state.links.open(address).await?;
    let mut context = context::current();
    context.deadline = (Instant::now() + timeout).into_std();
    let result = tokio::time::timeout(timeout, send(link.client, context)).await;
    let error = match result {
        Ok(Ok(answer)) => return Ok(answer),
        Ok(Err(error)) => PeerError::Call(error),
        Err(_) => PeerError::Timeout(timeout),
    };
    state.links.drop_link(address, link.number);
    Err(error)
}
