//! The connections to peers: [`PeerLinks`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
use tarpc::serde_transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::Framed;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;

use banyan_http::observed_stream::ObservedStream;
use banyan_wire::peer::PeerServiceClient;

/// The maximum size of a message; the largest one carries the state of all folds.
const FRAME_LIMIT_BYTES: usize = 64 << 20;
/// The time limit for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The connections to peers, by address.
#[derive(Debug, Default)]
pub struct PeerLinks {
    rows: Mutex<BTreeMap<SocketAddr, PeerLink>>,
    opened: AtomicU64,
    /// Bytes sent to peers and received from them.
    bytes: Arc<AtomicU64>,
}

/// A connection to a peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerLink {
    /// Distinguishes this connection from a later one to the same address.
    pub(crate) number: u64,
    /// The RPC client of this connection.
    pub(crate) client: PeerServiceClient,
}

/// The framing of messages between peers.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT_BYTES).new_codec()
}

impl PeerLinks {
    pub(crate) async fn open(&self, address: SocketAddr) -> io::Result<PeerLink> {
        if let Some(link) = self.lock().get(&address) {
            return Ok(link.clone());
        }
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connect.await.map_err(io::Error::other)??;
        stream.set_nodelay(true)?;
        let framed = Framed::new(ObservedStream::new(stream, self.byte_counter()), codec());
        let transport = serde_transport::new(framed, Bincode::default());
        let client = PeerServiceClient::new(client::Config::default(), transport).spawn();
        let number = self.opened.fetch_add(1, Ordering::Relaxed);
        let link = PeerLink { number, client };
        self.lock().insert(address, link.clone());
        Ok(link)
    }

    /// Closes the connections to all other addresses.
    pub fn keep_only(&self, addresses: &BTreeSet<SocketAddr>) {
        self.lock().retain(|address, _| addresses.contains(address));
    }

    /// Bytes exchanged with peers so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Counts the bytes of the connections that it observes.
    pub fn byte_counter(&self) -> Arc<AtomicU64> {
        self.bytes.clone()
    }

    pub(crate) fn drop_link(&self, address: SocketAddr, number: u64) {
        let mut rows = self.lock();
        if rows.get(&address).is_some_and(|link| link.number == number) {
            rows.remove(&address);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, PeerLink>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
