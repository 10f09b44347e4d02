//! Reads the log and folds it into [`fold_hub`](crate::tables::fold_hub); see [`follow`].

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

/// How long a read waits for an entry (long poll).
const READ_WAIT: Duration = Duration::from_millis(1000);
/// The initial and lowest slack of a read beyond its long-poll wait.
const SLACK_FLOOR: Duration = Duration::from_millis(700);
/// The highest slack of a read beyond its long-poll wait.
const SLACK_LIMIT: Duration = Duration::from_millis(4000);
/// The pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// The pause after an entry that cannot be folded.
const STOPPED_PAUSE: Duration = Duration::from_secs(1);

/// The result of folding a batch of entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchResult {
    /// All entries were folded, in this call or earlier.
    Folded,
    /// Entries before the batch are missing.
    Gap,
    /// The next entry cannot be folded, for example because of a newer format. Folding stops.
    Stopped,
}

/// The adaptive slack of a read: it doubles after a timeout, since the log may be slow rather than
/// down, and halves after a fast answer.
#[derive(Clone, Copy, Debug)]
pub struct ReadSlack {
    /// Invariant: between [`SLACK_FLOOR`] and [`SLACK_LIMIT`].
    slack: Duration,
}

impl Default for ReadSlack {
    fn default() -> Self {
        Self { slack: SLACK_FLOOR }
    }
}

impl ReadSlack {
    /// How long the next read may take beyond its long-poll wait.
    pub fn get(&self) -> Duration {
        self.slack
    }

    /// Lowers the slack if an answered read used little of it.
    pub fn note_answer(&mut self, wait: Duration, elapsed: Duration) {
        if elapsed < wait + self.slack / 4 {
            self.slack = (self.slack / 2).max(SLACK_FLOOR);
        }
    }

    /// Raises the slack if a failed read timed out.
    pub fn note_failure(&mut self, error: &CallError) {
        if matches!(error, CallError::Timeout { .. }) {
            self.slack = (self.slack * 2).min(SLACK_LIMIT);
        }
    }
}

/// Reads and folds one stream for as long as the daemon runs.
pub async fn follow(state: Arc<EntryState>, stream: StreamId) {
    let mut wait = Duration::ZERO;
    let mut read_slack = ReadSlack::default();
    loop {
        if !state.folds.tables().started.contains(&stream) {
            start_stream(&state, stream).await;
            wait = Duration::ZERO;
        }
        let from = state.folds.tables().next(stream);
        let started = Instant::now();
        match state.platform.read(stream, from, wait, read_slack.get()).await {
            Ok(reply) => {
                read_slack.note_answer(wait, started.elapsed());
                wait = READ_WAIT;
                let trimmed = reply.first > state.folds.tables().next(stream).0;
                let result = match trimmed {
                    true => BatchResult::Gap,
                    false => fold_entries(&state, stream, &reply.entries),
                };
                if result == BatchResult::Gap {
                    log::warn!(
                        "log: {stream} no longer holds entry {from}; the stream is started again."
                    );
                    state.folds.tables().started.remove(&stream);
                    continue;
                }
                state.folds.tables().note_end(stream, LogOffset(reply.next));
                // A stream that is read but cannot be folded further counts as unreachable.
                record_reachability(&state, stream, result == BatchResult::Folded);
                if result == BatchResult::Stopped {
                    tokio::time::sleep(STOPPED_PAUSE).await;
                }
            }
            Err(error) => {
                log::debug!("log: {stream} could not be read: {error}.");
                read_slack.note_failure(&error);
                record_reachability(&state, stream, false);
                wait = Duration::ZERO;
                tokio::time::sleep(READ_PAUSE).await;
            }
        }
    }
}

/// Folds entries from the log or relayed by a peer, and applies the resulting configuration.
pub fn fold_entries(state: &EntryState, stream: StreamId, entries: &[ReadEntry]) -> BatchResult {
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
                log::error!("log: {stream} cannot be folded further: {message}.");
                result = BatchResult::Stopped;
                break;
            }
        }
    }
    drop(tables);
    publish_fold(state, stream);
    result
}

/// Applies the configuration of a changed fold, and notifies subscribers.
pub fn publish_fold(state: &EntryState, stream: StreamId) {
    if stream == StreamId::Configuration {
        let tables = state.folds.tables();
        let declaration = tables.configuration.declaration.clone();
        let revision = tables.configuration.revision;
        drop(tables);
        state.put_in_force(declaration, revision);
    }
    state.folds.signal();
}

/// Records whether the newest read of a stream succeeded.
pub fn record_reachability(state: &EntryState, stream: StreamId, reachable: bool) {
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
