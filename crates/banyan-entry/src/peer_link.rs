//! Calls to peers: [`PeerLinks`] keeps one connection to each, and a time limit stands on each call.
//!
//! A connection on which a call was not answered in time may have gone silent for good: it is
//! dropped, and the next call makes a new one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tarpc::client;
use tarpc::client::RpcError;
use tarpc::context;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::Framed;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::counted::CountedStream;
use crate::state::EntryState;
use banyan_wire::peer::ClaimOrder;
use banyan_wire::peer::ClaimReply;
use banyan_wire::peer::DeliverOrder;
use banyan_wire::peer::PeerDigest;
use banyan_wire::peer::PeerServiceClient;
use banyan_wire::peer::RelayReply;
use banyan_wire::peer::SnapshotReply;
use banyan_wire::peer::TrialOrder;

/// The longest message, in bytes: the state of all folds.
const FRAME_LIMIT_BYTES: usize = 64 << 20;
/// The time that making a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
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

/// The connections to peers, by address.
#[derive(Debug, Default)]
pub struct PeerLinks {
    rows: Mutex<BTreeMap<SocketAddr, PeerLink>>,
    made: AtomicU64,
    /// Bytes sent to peers and received from them.
    bytes: Arc<AtomicU64>,
}

#[derive(Clone, Debug)]
struct PeerLink {
    /// Tells this connection from a later one to the same address.
    number: u64,
    client: PeerServiceClient,
}

/// The framing of messages between peers.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT_BYTES).new_codec()
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
    order: ClaimOrder,
) -> Result<ClaimReply, PeerError> {
    let timeout = Duration::from_millis(order.wait_ms) + CLAIM_SLACK;
    call(state, address, timeout, async |client, context| client.claim(context, order).await).await
}

/// Has facts appended by a peer; says whether they have landed.
pub async fn deliver(
    state: &EntryState,
    address: SocketAddr,
    order: DeliverOrder,
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
    order: TrialOrder,
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

impl PeerLinks {
    async fn open(&self, address: SocketAddr) -> io::Result<PeerLink> {
        if let Some(link) = self.lock().get(&address) {
            return Ok(link.clone());
        }
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connect.await.map_err(io::Error::other)??;
        stream.set_nodelay(true)?;
        let framed = Framed::new(self.count(stream), codec());
        let transport = serde_transport::new(framed, Bincode::default());
        let client = PeerServiceClient::new(client::Config::default(), transport).spawn();
        let number = self.made.fetch_add(1, Ordering::Relaxed);
        let link = PeerLink { number, client };
        self.lock().insert(address, link.clone());
        Ok(link)
    }

    /// Closes the connections to all but these addresses.
    pub fn keep_only(&self, addresses: &BTreeSet<SocketAddr>) {
        self.lock().retain(|address, _| addresses.contains(address));
    }

    /// Bytes exchanged with peers so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// The same connection, with its bytes counted.
    pub fn count(&self, stream: TcpStream) -> CountedStream {
        CountedStream::new(stream, self.bytes.clone())
    }

    fn drop_link(&self, address: SocketAddr, number: u64) {
        let mut rows = self.lock();
        if rows.get(&address).is_some_and(|link| link.number == number) {
            rows.remove(&address);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, PeerLink>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
