//! Reads the log and folds it into [`fold_hub`](crate::tables::fold_hub): [`follow`].

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::joining::start_stream;
use crate::state::EntryState;
use banyan_core::event::EventKind;
use banyan_core::fold::FoldStep;
use banyan_core::ids::LogOffset;
use banyan_core::record::StreamId;
use banyan_http::client::CallError;
use banyan_wire::platform::ReadEntry;

/// The longest time that a read waits for an entry.
const READ_WAIT: Duration = Duration::from_millis(1000);
/// The time beyond its waiting that a read may take at first.
const SLACK_FLOOR: Duration = Duration::from_millis(700);
/// The longest time beyond its waiting that a read may take.
const SLACK_LIMIT: Duration = Duration::from_millis(4000);
/// The pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// The pause after an entry that cannot be folded.
const STOPPED_PAUSE: Duration = Duration::from_secs(1);
/// What became of a batch of entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchResult {
    /// All were folded, now or before.
    Folded,
    /// Entries before the batch are missing.
    Gap,
    /// An entry of a newer format stands next: nothing more can be folded.
    Stopped,
}

/// How long a read may take beyond its waiting: longer, where the log is slow rather than down.
#[derive(Clone, Copy, Debug)]
pub struct ReadPatience {
    /// Invariant: between [`SLACK_FLOOR`] and [`SLACK_LIMIT`].
    slack: Duration,
}

impl Default for ReadPatience {
    fn default() -> Self {
        Self { slack: SLACK_FLOOR }
    }
}

impl ReadPatience {
    /// The time beyond its waiting that the next read may take.
    pub fn slack(&self) -> Duration {
        self.slack
    }

    /// Takes in a read that was answered.
    pub fn note_answer(&mut self, wait: Duration, took: Duration) {
        if took < wait + self.slack / 4 {
            self.slack = (self.slack / 2).max(SLACK_FLOOR);
        }
    }

    /// Takes in a read that was not.
    pub fn note_failure(&mut self, error: &CallError) {
        if matches!(error, CallError::Timeout { .. }) {
            self.slack = (self.slack * 2).min(SLACK_LIMIT);
        }
    }
}

/// Reads and folds one stream for as long as the daemon runs.
pub async fn follow(state: Arc<EntryState>, stream: StreamId) {
    let mut wait = Duration::ZERO;
    let mut patience = ReadPatience::default();
    loop {
        if !state.folds.tables().started.contains(&stream) {
            start_stream(&state, stream).await;
            wait = Duration::ZERO;
        }
        let from = state.folds.tables().next(stream);
        let asked = Instant::now();
        match state.platform.read(stream, from, wait, patience.slack()).await {
            Ok(reply) => {
                patience.note_answer(wait, asked.elapsed());
                wait = READ_WAIT;
                let passed = reply.first > state.folds.tables().next(stream).0;
                let result = match passed {
                    true => BatchResult::Gap,
                    false => take_entries(&state, stream, &reply.entries),
                };
                if result == BatchResult::Gap {
                    log::warn!("log: {stream} no longer holds entry {from}: starting it anew.");
                    state.folds.tables().started.remove(&stream);
                    continue;
                }
                state.folds.tables().note_end(stream, LogOffset(reply.next));
                // A stream that cannot be folded on is not heard, although it is read.
                note_reachable(&state, stream, result == BatchResult::Folded);
                if result == BatchResult::Stopped {
                    tokio::time::sleep(STOPPED_PAUSE).await;
                }
            }
            Err(error) => {
                log::debug!("log: {stream} was not read: {error}.");
                patience.note_failure(&error);
                note_reachable(&state, stream, false);
                wait = Duration::ZERO;
                tokio::time::sleep(READ_PAUSE).await;
            }
        }
    }
}

/// Folds entries, from the log or relayed by a peer, and puts in force what they accept.
pub fn take_entries(state: &EntryState, stream: StreamId, entries: &[ReadEntry]) -> BatchResult {
    if entries.is_empty() {
        return BatchResult::Folded;
    }
    let now = state.now();
    let mut result = BatchResult::Folded;
    let mut tables = state.folds.tables();
    for entry in entries {
        match tables.fold(stream, entry, now) {
            Ok(FoldStep::Folded | FoldStep::Repeated) => {}
            Ok(FoldStep::Gap { .. }) => {
                result = BatchResult::Gap;
                break;
            }
            Err(message) => {
                log::error!("log: {stream} stands still: {message}.");
                result = BatchResult::Stopped;
                break;
            }
        }
    }
    drop(tables);
    show_folded(state, stream);
    result
}

/// Puts in force what a fold that changed holds, and tells subscribers.
pub fn show_folded(state: &EntryState, stream: StreamId) {
    if stream == StreamId::Configuration {
        let tables = state.folds.tables();
        let declaration = tables.configuration.declaration.clone();
        let revision = tables.configuration.revision;
        drop(tables);
        state.put_in_force(declaration, revision);
    }
    state.folds.signal();
}

/// Notes whether the log answered the newest read of a stream.
pub fn note_reachable(state: &EntryState, stream: StreamId, reachable: bool) {
    let now = state.now();
    let mut tables = state.folds.tables();
    let before = tables.log_reachable();
    let was_reachable = tables.reachable.insert(stream, reachable);
    if was_reachable == Some(true) && !reachable {
        tables.reads_failing_since.insert(stream, now);
    }
    if reachable {
        tables.read_at.insert(stream, now);
    }
    let after = tables.log_reachable();
    drop(tables);
    if before == after {
        return;
    }
    state.folds.signal();
    let kind = if after { EventKind::LogFound } else { EventKind::LogLost };
    log::info!("log: The log is {}.", if after { "reachable" } else { "not reachable" });
    state.journal.record(kind, "", "", &stream.to_string());
}
