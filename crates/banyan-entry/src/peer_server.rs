//! Answers peers: [`serve_peers`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::Framed;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::claim_route;
use crate::exchange::own_digest;
use crate::exchange::take_digest;
use crate::state::EntryState;
use crate::tables::fold_hub::all_streams;
use crate::tables::peer_links::codec;
use crate::trials;
use banyan_core::record::ContentDigest;
use banyan_core::record::StreamId;
use banyan_wire::checkpoint::CheckpointError;
use banyan_wire::checkpoint::encode_claims;
use banyan_wire::checkpoint::encode_configuration;
use banyan_wire::peer::ClaimReply;
use banyan_wire::peer::ClaimRequest;
use banyan_wire::peer::DeliverRequest;
use banyan_wire::peer::PeerDigest;
use banyan_wire::peer::PeerService;
use banyan_wire::peer::RelayReply;
use banyan_wire::peer::SnapshotReply;
use banyan_wire::peer::TrialRequest;

/// How long a connection may be without a call.
const IDLE_LIMIT: Duration = Duration::from_secs(60);
/// The pause after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// The most bytes of entries in one relay.
const RELAY_LIMIT_BYTES: usize = 4 << 20;

/// Answers one peer's calls.
#[derive(Clone)]
struct PeerAnswerer {
    state: Arc<EntryState>,
}

/// Takes connections of peers and answers their calls for as long as the daemon runs.
pub async fn serve_peers(state: Arc<EntryState>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                connections.spawn(serve_peer(state.clone(), stream, address));
            }
            Err(error) => {
                log::warn!("peers: A connection was not taken: {error}.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve_peer(state: Arc<EntryState>, stream: TcpStream, address: SocketAddr) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("peers: The connection of {address} keeps its delay: {error}.");
    }
    let framed = Framed::new(state.links.count(stream), codec());
    let transport = serde_transport::new(framed, Bincode::default());
    let channel = BaseChannel::with_defaults(transport);
    let mut answers = Box::pin(channel.execute(PeerAnswerer { state }.serve()));
    let mut calls = JoinSet::new();
    // A connection that went silent ends here, with the calls that it brought.
    while let Ok(Some(answer)) = tokio::time::timeout(IDLE_LIMIT, answers.next()).await {
        calls.spawn(answer);
        while calls.try_join_next().is_some() {}
    }
}

impl PeerService for PeerAnswerer {
    async fn exchange(self, _: Context, digest: PeerDigest) -> PeerDigest {
        take_digest(&self.state, &digest, None);
        own_digest(&self.state)
    }

    async fn relay(self, _: Context, stream: SmolStr, from: u64) -> RelayReply {
        match stream.parse() {
            Ok(stream) => relayed(&self.state, stream, from),
            Err(_) => RelayReply::default(),
        }
    }

    async fn snapshot(self, _: Context) -> SnapshotReply {
        let mut reply = SnapshotReply {
            instance: SmolStr::new(self.state.settings.instance.as_str()),
            folds: Vec::new(),
        };
        for stream in all_streams() {
            if !self.state.folds.tables().started.contains(&stream) {
                continue;
            }
            match fold_body(&self.state, stream) {
                Ok((next, body)) => reply.folds.push((format_smolstr!("{stream}"), next, body)),
                Err(error) => log::error!("peers: {stream} has no state to give: {error}."),
            }
        }
        reply
    }

    async fn claim(self, _: Context, order: ClaimRequest) -> ClaimReply {
        claim_route::claim_for_peer(&self.state, order).await
    }

    async fn deliver(self, _: Context, order: DeliverRequest) -> bool {
        claim_route::deliver_for_peer(&self.state, &order).await
    }

    async fn trial(self, _: Context, order: TrialRequest) -> bool {
        let Ok(target) = order.target.parse() else { return false };
        trials::judge(&self.state, target, ContentDigest(order.content), order.begins)
    }
}

/// The state of a stream's fold with its next offset, as checkpoints and snapshots hold it.
pub fn fold_body(state: &EntryState, stream: StreamId) -> Result<(u64, Vec<u8>), CheckpointError> {
    // The copy is taken under the lock and written outside it.
    let tables = state.folds.tables();
    let next = tables.next(stream).0;
    match stream {
        StreamId::Configuration => {
            let snapshot = tables.configuration.snapshot();
            drop(tables);
            Ok((next, encode_configuration(snapshot)?))
        }
        StreamId::Claims(partition) => {
            let snapshot = tables.claims[usize::from(partition)].snapshot();
            drop(tables);
            Ok((next, encode_claims(snapshot)?))
        }
    }
}

fn relayed(state: &EntryState, stream: StreamId, from: u64) -> RelayReply {
    let tables = state.folds.tables();
    let next = tables.next(stream).0;
    let Some(recent) = tables.recent.get(&stream) else {
        return RelayReply { first: next, entries: Vec::new() };
    };
    let first = recent.front().map_or(next, |entry| entry.offset);
    let mut entries = Vec::new();
    let mut bytes = 0;
    for entry in recent.iter().filter(|entry| entry.offset >= from) {
        bytes += entry.body.len();
        if bytes > RELAY_LIMIT_BYTES && !entries.is_empty() {
            break;
        }
        entries.push((entry.offset, entry.at_ms, entry.body.clone()));
    }
    RelayReply { first, entries }
}
