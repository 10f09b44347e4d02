//! Writes checkpoints into the log, so that retention never removes entries that a starting
//! instance needs: [`run_checkpoints`].

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;
use tokio::time::MissedTickBehavior;

use crate::peer_server::encode_fold;
use crate::state::EntryState;
use crate::tables::fold_hub::all_streams;
use banyan_core::event::EventKind;
use banyan_core::fold::CheckpointInputs;
use banyan_core::fold::CheckpointPolicy;
use banyan_core::fold::checkpoint_facts;
use banyan_core::fold::is_checkpoint_due;
use banyan_core::ids::LogOffset;
use banyan_core::record::StreamId;
use banyan_core::rendezvous::owner_rank;
use banyan_core::units::WallMillis;
use banyan_http::client::CallError;
use banyan_wire::checkpoint::CheckpointError;
use banyan_wire::log::encode_facts;

/// The interval at which due checkpoints are looked for.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of bytes of a state in one append.
const MAX_PART_BYTES: usize = 128 << 10;

/// Why a checkpoint was not written.
#[derive(Debug, Error)]
pub enum WriteError {
    /// The state cannot be encoded.
    #[error(transparent)]
    State(#[from] CheckpointError),
    /// The append of a part failed; the next check writes a new checkpoint.
    #[error(transparent)]
    Append(#[from] CallError),
}

/// Writes the checkpoints that are due on this instance for as long as the daemon runs.
pub async fn run_checkpoints(state: Arc<EntryState>) {
    let retention = Duration::from_millis(state.settings.log_retention_ms);
    let mut ticks = tokio::time::interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for stream in all_streams() {
            let policy = CheckpointPolicy::for_stream(stream, retention);
            let due = inputs(&state, stream).is_some_and(|it| is_checkpoint_due(&it, &policy));
            if !due {
                continue;
            }
            if let Err(error) = write_checkpoint(&state, stream).await {
                log::warn!("checkpoints: The checkpoint of {stream} was not written: {error}.");
            }
        }
    }
}

/// Writes a checkpoint of a stream's fold; returns the number of parts.
pub async fn write_checkpoint(state: &EntryState, stream: StreamId) -> Result<usize, WriteError> {
    let as_of = fold_time(state, stream);
    let (next, body) = encode_fold(state, stream)?;
    let make_id = || state.next_record();
    let facts = checkpoint_facts(LogOffset(next), as_of, &body, MAX_PART_BYTES, make_id);
    let parts = facts.len();
    for fact in facts {
        state.platform.append(stream, Bytes::from(encode_facts(&[fact]))).await?;
    }
    let detail = format!("{stream} before {next}, {} bytes in {parts} parts", body.len());
    log::info!("checkpoints: Wrote {detail}.");
    state.journal.record(EventKind::Checkpoint, "", "", &detail);
    Ok(parts)
}

/// The inputs that decide whether a checkpoint is due; `None` unless the stream's entries come
/// directly from the log.
fn inputs(state: &EntryState, stream: StreamId) -> Option<CheckpointInputs> {
    let now = state.now();
    let mut live = state.tables().peers.log_writers();
    live.insert(state.settings.instance.clone());
    let folds = state.folds.tables();
    if !folds.started.contains(&stream) || folds.reachable.get(&stream) != Some(&true) {
        return None;
    }
    let pace = folds.stream_times.get(&stream)?;
    let passed = now.since(pace.folded).as_millis() as u64;
    let newest = folds.checkpoints.get(&stream).and_then(|table| table.newest());
    Some(CheckpointInputs {
        next: folds.next(stream),
        newest: newest.unwrap_or((LogOffset(0), pace.began)),
        platform_now: WallMillis(pace.newest.0 + passed),
        rank: owner_rank(stream, &state.settings.instance, &live),
    })
}

fn fold_time(state: &EntryState, stream: StreamId) -> WallMillis {
    let folds = state.folds.tables();
    match stream {
        StreamId::Configuration => folds.configuration.time,
        StreamId::Claims(partition) => folds.claims[usize::from(partition)].time,
    }
}
