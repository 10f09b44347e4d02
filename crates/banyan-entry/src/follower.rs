//! Reads the log and folds it: [`FoldHub`] and [`follow`].

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::watch;

use crate::state::EntryState;
use banyan_core::event::EventKind;
use banyan_core::fold::ClaimFold;
use banyan_core::fold::ConfigurationFold;
use banyan_core::ids::LogOffset;
use banyan_core::record::CLAIM_PARTITIONS;
use banyan_core::record::LogEntry;
use banyan_core::record::StreamId;
use banyan_core::units::Moment;
use banyan_core::units::WallMillis;
use banyan_wire::log::LogWireError;
use banyan_wire::log::decode_entry;
use banyan_wire::platform::ReadEntry;
use banyan_wire::platform::ReadReply;

/// The longest time that a read waits for an entry.
const READ_WAIT: Duration = Duration::from_millis(1000);
/// The pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// The most entries of one stream that are kept for peers.
const RELAY_LIMIT: usize = 1024;

/// The folds, with a signal at each entry folded.
#[derive(Debug)]
pub struct FoldHub {
    tables: Mutex<FoldTables>,
    progress: watch::Sender<u64>,
}

/// The folds of all streams.
#[derive(Debug)]
pub struct FoldTables {
    /// Declarations and quarantines.
    pub configuration: ConfigurationFold,
    /// Claims, by partition.
    pub claims: Vec<ClaimFold>,
    /// The newest entries of each stream as read, for peers that cannot read the log.
    pub recent: BTreeMap<StreamId, VecDeque<ReadEntry>>,
    /// When each stream was last read from the log itself.
    pub read_at: BTreeMap<StreamId, Moment>,
    /// Whether the newest read of each stream succeeded.
    pub reachable: BTreeMap<StreamId, bool>,
    /// Where the state at the start came from.
    pub started_from: SmolStr,
}

impl Default for FoldHub {
    fn default() -> Self {
        let tables = FoldTables {
            configuration: ConfigurationFold::new(banyan_config::merge_files),
            claims: vec![ClaimFold::default(); usize::from(CLAIM_PARTITIONS)],
            recent: BTreeMap::new(),
            read_at: BTreeMap::new(),
            reachable: BTreeMap::new(),
            started_from: SmolStr::new_static("log"),
        };
        Self { tables: Mutex::new(tables), progress: watch::Sender::new(0) }
    }
}

impl FoldHub {
    /// The folds, locked. The guard must not be held over an await.
    pub fn tables(&self) -> MutexGuard<'_, FoldTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A signal that changes whenever an entry was folded.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.progress.subscribe()
    }

    /// Tells subscribers that something was folded.
    pub fn signal(&self) {
        self.progress.send_modify(|count| *count += 1);
    }
}

impl FoldTables {
    /// The first offset of a stream that is not folded yet.
    pub fn next(&self, stream: StreamId) -> LogOffset {
        match stream {
            StreamId::Configuration => self.configuration.next,
            StreamId::Claims(partition) => self.claims[usize::from(partition)].next,
        }
    }

    /// Whether the log answered the newest read of every stream.
    pub fn log_reachable(&self) -> bool {
        all_streams().all(|stream| self.reachable.get(&stream).copied().unwrap_or(false))
    }

    /// When the configuration stream was last read from the log itself.
    pub fn configuration_read_at(&self) -> Option<Moment> {
        self.read_at.get(&StreamId::Configuration).copied()
    }

    /// Folds one entry that is the next one of its stream; others change nothing.
    fn fold(&mut self, stream: StreamId, entry: &ReadEntry) -> Result<(), String> {
        let offset = LogOffset(entry.offset);
        if offset != self.next(stream) {
            return Ok(());
        }
        let at = WallMillis(entry.at_ms);
        let decoded = match decode_entry(offset, at, entry.body.as_bytes()) {
            Ok(decoded) => decoded,
            Err(error @ LogWireError::Newer { .. }) => return Err(error.to_string()),
            // An entry that no version can read holds no facts for any instance.
            Err(error) => {
                log::warn!("log: {stream}: {error}.");
                LogEntry { offset, at, facts: Vec::new() }
            }
        };
        match stream {
            StreamId::Configuration => {
                self.configuration.apply(&decoded);
            }
            StreamId::Claims(partition) => {
                self.claims[usize::from(partition)].apply(&decoded);
            }
        }
        let recent = self.recent.entry(stream).or_default();
        recent.push_back(entry.clone());
        if recent.len() > RELAY_LIMIT {
            recent.pop_front();
        }
        Ok(())
    }
}

/// All streams that an instance folds.
pub fn all_streams() -> impl Iterator<Item = StreamId> {
    let claims = (0..CLAIM_PARTITIONS).map(StreamId::Claims);
    std::iter::once(StreamId::Configuration).chain(claims)
}

/// Reads and folds one stream for as long as the daemon runs.
pub async fn follow(state: Arc<EntryState>, stream: StreamId) {
    let mut wait = Duration::ZERO;
    loop {
        let from = state.folds.tables().next(stream);
        match state.platform.read(stream, from, wait).await {
            Ok(reply) => {
                note_reachable(&state, stream, true);
                take_reply(&state, stream, &reply);
                wait = READ_WAIT;
            }
            Err(error) => {
                log::debug!("log: {stream} was not read: {error}.");
                note_reachable(&state, stream, false);
                wait = Duration::ZERO;
                tokio::time::sleep(READ_PAUSE).await;
            }
        }
    }
}

fn take_reply(state: &EntryState, stream: StreamId, reply: &ReadReply) {
    take_entries(state, stream, &reply.entries);
}

/// Folds entries, from the log or relayed by a peer, and puts in force what they accept.
pub fn take_entries(state: &EntryState, stream: StreamId, entries: &[ReadEntry]) {
    if entries.is_empty() {
        return;
    }
    let mut tables = state.folds.tables();
    for entry in entries {
        if let Err(message) = tables.fold(stream, entry) {
            log::error!("log: {stream} stands still: {message}.");
            break;
        }
    }
    let declaration = tables.configuration.declaration.clone();
    let revision = tables.configuration.revision;
    drop(tables);
    if stream == StreamId::Configuration {
        state.put_in_force(declaration, revision);
    }
    state.folds.signal();
}

fn note_reachable(state: &EntryState, stream: StreamId, reachable: bool) {
    let now = state.now();
    let mut tables = state.folds.tables();
    let before = tables.log_reachable();
    tables.reachable.insert(stream, reachable);
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
