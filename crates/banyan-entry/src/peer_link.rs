//! Calls to peers over [`peer_links`](crate::tables::peer_links), each with a timeout.
//!
//! A connection on which a call failed or timed out may never answer again. It is dropped, and the
//! next call opens a new one.

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

/// The timeout of an exchange, a relay or a trial.
const SHORT_TIMEOUT: Duration = Duration::from_millis(700);
/// The timeout of a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(5);
/// How much longer than its own wait a claim may take.
const CLAIM_SLACK: Duration = Duration::from_millis(100);
/// The timeout of a delivery of facts.
const DELIVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call to a peer failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The connection could not be opened.
    #[error("no connection: {0}; check that the peer runs and that peer_address is right")]
    Connect(#[from] io::Error),
    /// The connection or the remote call failed.
    #[error("the call failed: {0}; the next call opens a new connection")]
    Call(#[from] RpcError),
    /// The call timed out.
    #[error("no answer within {0:?}; the next call opens a new connection")]
    Timeout(Duration),
}

/// Sends a digest and returns that of the peer.
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

/// Reads the entries of a stream from `from` through a peer.
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

/// Requests the states of a peer's folds.
pub async fn snapshot(
    state: &Arc<EntryState>,
    address: SocketAddr,
) -> Result<SnapshotReply, PeerError> {
    call(state, address, SNAPSHOT_TIMEOUT, async |client, context| client.snapshot(context).await)
        .await
}

/// Asks a peer to append a claim and read it back.
pub async fn claim(
    state: &EntryState,
    address: SocketAddr,
    order: ClaimRequest,
) -> Result<ClaimReply, PeerError> {
    let timeout = Duration::from_millis(order.wait_ms) + CLAIM_SLACK;
    call(state, address, timeout, async |client, context| client.claim(context, order).await).await
}

/// Asks a peer to append facts; returns whether the log confirmed them.
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

/// Begins or ends the trial of a suspect content at the peer that decides for its target.
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
