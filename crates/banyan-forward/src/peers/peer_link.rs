//! Connections to peers: [`connect_or_reuse`] for one, [`PeerLinks`] for those that several tasks
//! share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bincode::DefaultOptions;
use tarpc::client;
use tarpc::context;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::Framed;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;

use banyan_wire::forward::ForwardServiceClient;

/// The largest accepted message, in bytes.
const FRAME_LIMIT_BYTES: usize = 32 << 20;

/// Connections that several tasks share, by the peer's address.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: Mutex<BTreeMap<SocketAddr, ForwardServiceClient>>,
}

impl PeerLinks {
    /// The connection to a peer, opened if there is none. `None` if that fails.
    pub async fn get(&self, address: SocketAddr) -> Option<ForwardServiceClient> {
        let existing = self.lock().get(&address).cloned();
        let link = connect_or_reuse(address, existing).await?;
        self.lock().insert(address, link.clone());
        Some(link)
    }

    /// Forgets a connection that may be dead.
    pub fn remove(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, ForwardServiceClient>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the existing connection to a peer, or opens a new one. `None` if that fails.
pub async fn connect_or_reuse(
    address: SocketAddr,
    existing: Option<ForwardServiceClient>,
) -> Option<ForwardServiceClient> {
    match existing {
        Some(link) => Some(link),
        None => connect(address).await.ok(),
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<ForwardServiceClient> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let transport = serde_transport::new(Framed::new(stream, frame_codec()), message_format());
    Ok(ForwardServiceClient::new(client::Config::default(), transport).spawn())
}

/// The encoding of messages. Integers have a variable length, since most numbers of a digest are
/// small.
pub(super) fn message_format<Received, Sent>() -> Bincode<Received, Sent, DefaultOptions> {
    Bincode::from(DefaultOptions::new())
}

pub(super) fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT_BYTES).new_codec()
}

/// The context of a call with a deadline `limit` from now.
pub fn call_context(limit: Duration) -> Context {
    let mut context = context::current();
    context.deadline = (tokio::time::Instant::now() + limit).into_std();
    context
}
