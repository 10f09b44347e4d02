//! Reads the log through peers while this instance cannot read it directly: [`run_relay`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use smol_str::format_smolstr;
use tokio::time::MissedTickBehavior;

use crate::follower::BatchResult;
use crate::follower::fold_entries;
use crate::joining::adopt_snapshot;
use crate::peer_link;
use crate::peer_link::PeerError;
use crate::state::EntryState;
use crate::tables::fold_hub::all_streams;
use banyan_core::record::StreamId;
use banyan_wire::platform::ReadEntry;

/// The interval at which a stream is read through a peer.
const RELAY_INTERVAL: Duration = Duration::from_millis(250);
/// How long direct reads of a stream must fail to answer before it is read through a peer.
const RELAY_AFTER: Duration = Duration::from_millis(2000);

/// Reads the streams that the log does not answer for through peers, while the daemon runs.
pub async fn run_relay(state: Arc<EntryState>) {
    let mut ticks = tokio::time::interval(RELAY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let streams = silent_streams(&state).into_iter();
        join_all(streams.map(|stream| relay_stream(&state, stream))).await;
    }
}

fn silent_streams(state: &EntryState) -> Vec<StreamId> {
    let now = state.now();
    let folds = state.folds.tables();
    let silent = |stream: &StreamId| {
        let unreachable = folds.reachable.get(stream) == Some(&false);
        let read_at = folds.read_at.get(stream);
        folds.started.contains(stream)
            && (unreachable || read_at.is_none_or(|at| now.since(*at) > RELAY_AFTER))
    };
    all_streams().filter(silent).collect()
}

async fn relay_stream(state: &Arc<EntryState>, stream: StreamId) {
    let next = state.folds.tables().next(stream).0;
    let sources = state.tables().peers.relay_sources(stream, next);
    let Some(source) = sources.first() else { return };
    match read_through_peer(state, stream, *source, next).await {
        Ok(()) => {
            let now = state.now();
            state.folds.tables().relayed_at.insert(stream, now);
            state.folds.signal();
        }
        Err(error) => log::debug!("peers: {source} did not relay {stream}: {error}."),
    }
}

async fn read_through_peer(
    state: &Arc<EntryState>,
    stream: StreamId,
    source: SocketAddr,
    next: u64,
) -> Result<(), PeerError> {
    let name = format_smolstr!("{stream}");
    let reply = peer_link::relay(state, source, &name, next).await?;
    let first = reply.first;
    let entries = reply.entries.into_iter();
    let entries: Vec<ReadEntry> =
        entries.map(|(offset, at_ms, body)| ReadEntry { offset, at_ms, body }).collect();
    if first <= next && fold_entries(state, stream, &entries) != BatchResult::Gap {
        return Ok(());
    }
    // The peer has dropped the entries in between, but its snapshot includes their effect.
    let reply = peer_link::snapshot(state, source).await?;
    adopt_snapshot(state, &reply);
    Ok(())
}
