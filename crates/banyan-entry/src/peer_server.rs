//! Serves the calls of peers: [`serve_peers`].

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
use crate::exchange::apply_digest;
use crate::exchange::own_digest;
use crate::state::EntryState;
use crate::state::MACHINE;
use crate::tables::fold_hub::all_streams;
use crate::tables::peer_links::codec;
use crate::trials;
use banyan_core::record::ContentDigest;
use banyan_core::record::StreamId;
use banyan_http::connection_slots::ConnectionSlot;
use banyan_http::connection_slots::ConnectionSlots;
use banyan_http::connection_slots::RequestGuard;
use banyan_http::observed_stream::ObservedStream;
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

/// How long a connection may be idle before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// The maximum number of bytes of entries in one relay reply; a larger first entry is sent alone.
const MAX_RELAY_BYTES: usize = 4 << 20;

/// Handles the calls of one peer connection.
#[derive(Clone)]
struct PeerHandler {
    state: Arc<EntryState>,
}

/// Accepts connections of peers and serves their calls for as long as the daemon runs.
pub async fn serve_peers(state: Arc<EntryState>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    let slots = ConnectionSlots::new("peers", MACHINE.peer_connections(), MACHINE.peer_bytes());
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                if let Some(slot) = slots.admit(|| false).await {
                    connections.spawn(serve_peer(state.clone(), slot, stream, address));
                }
            }
            Err(error) => {
                log::warn!("peers: A connection could not be accepted: {error}.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve_peer(
    state: Arc<EntryState>,
    slot: Arc<ConnectionSlot>,
    stream: TcpStream,
    address: SocketAddr,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("peers: TCP_NODELAY could not be set for {address}: {error}.");
    }
    let observers = Arc::new((state.links.byte_counter(), slot.clone()));
    let framed = Framed::new(ObservedStream::new(stream, observers), codec());
    let transport = serde_transport::new(framed, Bincode::default());
    let channel = BaseChannel::with_defaults(transport);
    let mut answers = Box::pin(channel.execute(PeerHandler { state }.serve()));
    let mut calls = JoinSet::new();
    // An idle connection is closed here, and its unfinished calls are cancelled.
    loop {
        let answer = tokio::select! {
            answer = tokio::time::timeout(IDLE_TIMEOUT, answers.next()) => answer,
            () = slot.must_end() => return,
        };
        let Ok(Some(answer)) = answer else { return };
        let request_guard = RequestGuard::begin(slot.clone());
        calls.spawn(async move {
            answer.await;
            drop(request_guard);
        });
        while calls.try_join_next().is_some() {}
    }
}

impl PeerService for PeerHandler {
    async fn exchange(self, _: Context, digest: PeerDigest) -> PeerDigest {
        apply_digest(&self.state, &digest, None);
        own_digest(&self.state)
    }

    async fn relay(self, _: Context, stream: SmolStr, from: u64) -> RelayReply {
        match stream.parse() {
            Ok(stream) => relay_entries(&self.state, stream, from),
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
            match encode_fold(&self.state, stream) {
                Ok((next, body)) => reply.folds.push((format_smolstr!("{stream}"), next, body)),
                Err(error) => {
                    log::error!("peers: The state of {stream} could not be encoded: {error}.")
                }
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
        trials::decide_trial(&self.state, target, ContentDigest(order.content), order.begins)
    }
}

/// The next offset and the encoded state of a stream's fold, as used in checkpoints and snapshots.
pub fn encode_fold(
    state: &EntryState,
    stream: StreamId,
) -> Result<(u64, Vec<u8>), CheckpointError> {
    // The state is copied under the lock and encoded after its release.
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

fn relay_entries(state: &EntryState, stream: StreamId, from: u64) -> RelayReply {
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
        if bytes > MAX_RELAY_BYTES && !entries.is_empty() {
            break;
        }
        entries.push((entry.offset, entry.at_ms, entry.body.clone()));
    }
    RelayReply { first, entries }
}
