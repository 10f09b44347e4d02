//! Gives a stream's fold its state: [`start_stream`], at the start and after a gap.
//!
//! The log is scanned from the first entry that it holds, for the newest checkpoint that covers
//! what it no longer holds. Where the log cannot be read, or covers too little, a peer's state is
//! taken. Either way a fold only ever moves ahead, so a revision in force never decreases.

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use thiserror::Error;

use crate::follower::ReadPatience;
use crate::follower::note_reachable;
use crate::follower::show_folded;
use crate::peer_link;
use crate::state::EntryState;
use crate::tables::fold_hub::FoldTables;
use crate::tables::fold_hub::decode;
use banyan_core::event::EventKind;
use banyan_core::fold::CheckpointTable;
use banyan_core::fold::RestoreError;
use banyan_core::fold::StartChoice;
use banyan_core::fold::choose_start;
use banyan_core::ids::LogOffset;
use banyan_core::record::StreamId;
use banyan_http::client::CallError;
use banyan_wire::checkpoint::CheckpointError;
use banyan_wire::checkpoint::decode_claims;
use banyan_wire::checkpoint::decode_configuration;
use banyan_wire::peer::SnapshotReply;

/// The pause between two tries to start a stream.
const START_PAUSE: Duration = Duration::from_millis(200);

/// Why a fold cannot take a state.
#[derive(Debug, Error)]
pub enum JoinError {
    /// The bytes are no state.
    #[error(transparent)]
    Unreadable(#[from] CheckpointError),
    /// The state contradicts itself or is not valid here.
    #[error(transparent)]
    Refused(#[from] RestoreError),
}

/// What a scan of a stream found.
struct LogScan {
    first: LogOffset,
    table: CheckpointTable,
}

/// Gives the fold of a stream its state, trying until it has one.
pub async fn start_stream(state: &Arc<EntryState>, stream: StreamId) {
    let mut patience = ReadPatience::default();
    loop {
        match scan_log(state, stream, patience.slack()).await {
            Ok(scan) => match start_from_log(state, stream, scan) {
                Ok(source) => {
                    note_reachable(state, stream, true);
                    return note_started(state, stream, &source);
                }
                Err(reason) => {
                    log::error!("log: {stream} cannot be started: {reason}.");
                    note_waiting(state, stream, &reason);
                }
            },
            Err(error) => {
                log::debug!("log: {stream} was not read: {error}.");
                patience.note_failure(&error);
                note_reachable(state, stream, false);
            }
        }
        if let Some(source) = start_from_peer(state, stream).await {
            return note_started(state, stream, &source);
        }
        tokio::time::sleep(START_PAUSE).await;
    }
}

/// Takes over the states of a peer for every fold that they bring ahead; says which have one now.
pub fn adopt_snapshot(state: &EntryState, reply: &SnapshotReply) -> Vec<StreamId> {
    let mut adopted = Vec::new();
    for (name, _, body) in &reply.folds {
        let Ok(stream) = name.parse::<StreamId>() else { continue };
        match adopt(&mut state.folds.tables(), stream, body) {
            Ok(()) => adopted.push(stream),
            Err(error) => {
                log::error!(
                    "peers: The state of {stream} at {} is refused: {error}.",
                    reply.instance
                );
            }
        }
    }
    for stream in &adopted {
        show_folded(state, *stream);
    }
    adopted
}

async fn scan_log(
    state: &EntryState,
    stream: StreamId,
    slack: Duration,
) -> Result<LogScan, CallError> {
    let mut scan = LogScan { first: LogOffset(0), table: CheckpointTable::for_start() };
    let mut from = LogOffset(0);
    loop {
        let reply = state.platform.read(stream, from, Duration::ZERO, slack).await?;
        scan.first = LogOffset(reply.first);
        for entry in &reply.entries {
            // Nothing behind an entry of a newer format can be folded, so nothing there is of use.
            let Ok(decoded) = decode(stream, entry) else { return Ok(scan) };
            scan.table.observe(&decoded);
            from = decoded.offset.next();
        }
        if reply.entries.is_empty() || from.0 >= reply.next {
            return Ok(scan);
        }
    }
}

fn start_from_log(state: &EntryState, stream: StreamId, scan: LogScan) -> Result<SmolStr, SmolStr> {
    let mut tables = state.folds.tables();
    if tables.next(stream) >= scan.first {
        // The fold already holds all that the log no longer does.
        let empty = tables.next(stream) == LogOffset(0);
        if !empty {
            return Ok(tables.started_from.clone());
        }
    }
    let choice = choose_start(scan.first, &scan.table).map_err(|error| gone(&error))?;
    match choice {
        StartChoice::FromEmpty => Ok(SmolStr::new_static("log")),
        StartChoice::FromCheckpoint { body, .. } => {
            adopt(&mut tables, stream, &body).map_err(|error| gone(&error))?;
            drop(tables);
            state.journal.record(EventKind::Checkpoint, "", "", &format!("{stream} started"));
            show_folded(state, stream);
            Ok(SmolStr::new_static("checkpoint"))
        }
    }
}

async fn start_from_peer(state: &Arc<EntryState>, stream: StreamId) -> Option<SmolStr> {
    // One at a time: a peer's answer holds the states of all streams.
    let _turn = state.joining.lock().await;
    if state.folds.tables().started.contains(&stream) {
        return Some(state.folds.tables().started_from.clone());
    }
    let sources = state.tables().peers.best_sources();
    for address in sources {
        let reply = match peer_link::snapshot(state, address).await {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!("peers: {address} gave no state: {error}.");
                continue;
            }
        };
        let source = format_smolstr!("peer {}", reply.instance);
        let behind = |stream: &StreamId| !state.folds.tables().started.contains(stream);
        let adopted: Vec<StreamId> =
            adopt_snapshot(state, &reply).into_iter().filter(behind).collect();
        for other in adopted.iter().filter(|other| **other != stream) {
            note_started(state, *other, &source);
        }
        if adopted.contains(&stream) {
            return Some(source);
        }
    }
    None
}

fn adopt(tables: &mut FoldTables, stream: StreamId, body: &[u8]) -> Result<(), JoinError> {
    let before = tables.next(stream);
    match stream {
        StreamId::Configuration => {
            tables.configuration.adopt(decode_configuration(body)?)?;
        }
        StreamId::Claims(partition) => {
            tables.claims[usize::from(partition)].adopt(decode_claims(body)?);
        }
    }
    if tables.next(stream) != before {
        tables.drop_recent(stream);
    }
    Ok(())
}

fn gone(error: &dyn std::error::Error) -> SmolStr {
    format_smolstr!("{error}")
}

fn note_waiting(state: &EntryState, stream: StreamId, reason: &SmolStr) {
    let mut tables = state.folds.tables();
    if stream == StreamId::Configuration && tables.next(stream) == LogOffset(0) {
        tables.started_from = format_smolstr!("nothing, the state is gone: {reason}");
    }
}

fn note_started(state: &EntryState, stream: StreamId, source: &SmolStr) {
    let mut tables = state.folds.tables();
    tables.started.insert(stream);
    if stream == StreamId::Configuration {
        tables.started_from = source.clone();
    }
    drop(tables);
    log::info!("log: {stream} starts from {source}.");
}
