//! Restores the state of a stream's fold at the start and after a gap: [`start_stream`].
//!
//! The log is scanned from its first retained entry for the newest checkpoint that covers the
//! trimmed entries. If the log cannot be read or has no such checkpoint, the state comes from a
//! peer. In both cases a fold only moves forward, so the revision in force never decreases.

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use thiserror::Error;

use crate::follower::ReadSlack;
use crate::follower::publish_fold;
use crate::follower::record_reachability;
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

/// The pause between attempts to start a stream.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Why a fold cannot restore a state.
#[derive(Debug, Error)]
pub enum JoinError {
    /// The bytes cannot be decoded as a state.
    #[error(transparent)]
    Unreadable(#[from] CheckpointError),
    /// The state is inconsistent or not valid on this instance.
    #[error(transparent)]
    Refused(#[from] RestoreError),
}

/// The first retained offset of a stream and the checkpoints that a scan found.
struct LogScan {
    first: LogOffset,
    table: CheckpointTable,
}

/// Restores the state of a stream's fold, retrying until it succeeds.
pub async fn start_stream(state: &Arc<EntryState>, stream: StreamId) {
    let mut read_slack = ReadSlack::default();
    loop {
        match scan_log(state, stream, read_slack.get()).await {
            Ok(scan) => match start_from_log(state, stream, scan) {
                Ok(source) => {
                    record_reachability(state, stream, true);
                    return record_started(state, stream, &source);
                }
                Err(reason) => {
                    log::error!("log: {stream} cannot be started: {reason}.");
                    record_start_failure(state, stream, &reason);
                }
            },
            Err(error) => {
                log::debug!("log: {stream} could not be read: {error}.");
                read_slack.note_failure(&error);
                record_reachability(state, stream, false);
            }
        }
        if let Some(source) = start_from_peer(state, stream).await {
            return record_started(state, stream, &source);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Adopts the states in a peer's snapshot; a fold that is further ahead keeps its own. Returns the
/// streams whose state was accepted.
pub fn adopt_snapshot(state: &EntryState, reply: &SnapshotReply) -> Vec<StreamId> {
    let mut adopted = Vec::new();
    for (name, _, body) in &reply.folds {
        let Ok(stream) = name.parse::<StreamId>() else { continue };
        match adopt(&mut state.folds.tables(), stream, body) {
            Ok(()) => adopted.push(stream),
            Err(error) => {
                log::error!(
                    "peers: The state of {stream} from {} is rejected: {error}.",
                    reply.instance
                );
            }
        }
    }
    for stream in &adopted {
        publish_fold(state, *stream);
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
            // Entries after one of a newer format cannot be folded, so the scan ends here.
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
        // The fold already covers every trimmed entry.
        let empty = tables.next(stream) == LogOffset(0);
        if !empty {
            return Ok(tables.started_from.clone());
        }
    }
    let choice = choose_start(scan.first, &scan.table).map_err(|error| error_text(&error))?;
    match choice {
        StartChoice::FromEmpty => Ok(SmolStr::new_static("log")),
        StartChoice::FromCheckpoint { body, .. } => {
            adopt(&mut tables, stream, &body).map_err(|error| error_text(&error))?;
            drop(tables);
            state.journal.record(EventKind::Checkpoint, "", "", &format!("{stream} started"));
            publish_fold(state, stream);
            Ok(SmolStr::new_static("checkpoint"))
        }
    }
}

async fn start_from_peer(state: &Arc<EntryState>, stream: StreamId) -> Option<SmolStr> {
    // One stream at a time, since a peer's snapshot holds the states of all streams.
    let _guard = state.join_lock.lock().await;
    if state.folds.tables().started.contains(&stream) {
        return Some(state.folds.tables().started_from.clone());
    }
    let sources = state.tables().peers.snapshot_sources();
    for address in sources {
        let reply = match peer_link::snapshot(state, address).await {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!("peers: {address} sent no snapshot: {error}.");
                continue;
            }
        };
        let source = format_smolstr!("peer {}", reply.instance);
        let not_started = |stream: &StreamId| !state.folds.tables().started.contains(stream);
        let adopted: Vec<StreamId> =
            adopt_snapshot(state, &reply).into_iter().filter(not_started).collect();
        for other in adopted.iter().filter(|other| **other != stream) {
            record_started(state, *other, &source);
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

fn error_text(error: &dyn std::error::Error) -> SmolStr {
    format_smolstr!("{error}")
}

fn record_start_failure(state: &EntryState, stream: StreamId, reason: &SmolStr) {
    let mut tables = state.folds.tables();
    if stream == StreamId::Configuration && tables.next(stream) == LogOffset(0) {
        tables.started_from = format_smolstr!("nothing, the state is gone: {reason}");
    }
}

fn record_started(state: &EntryState, stream: StreamId, source: &SmolStr) {
    let mut tables = state.folds.tables();
    tables.started.insert(stream);
    if stream == StreamId::Configuration {
        tables.started_from = source.clone();
    }
    drop(tables);
    log::info!("log: {stream} starts from {source}.");
}
