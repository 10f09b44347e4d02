//! Reads the log and folds it: [`FoldHub`] and [`follow`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::joining::start_stream;
use crate::state::EntryState;
use banyan_core::event::EventKind;
use banyan_core::fold::CheckpointTable;
use banyan_core::fold::ClaimFold;
use banyan_core::fold::ConfigurationFold;
use banyan_core::fold::FoldStep;
use banyan_core::ids::LogOffset;
use banyan_core::record::CLAIM_PARTITIONS;
use banyan_core::record::LogEntry;
use banyan_core::record::StreamId;
use banyan_core::units::Moment;
use banyan_core::units::WallMillis;
use banyan_http::client::CallError;
use banyan_wire::log::LogWireError;
use banyan_wire::log::decode_entry;
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
/// The most bytes of one stream's entries that are kept for peers.
const RELAY_BYTES: usize = 2 << 20;
/// The most entries of one stream that are kept for peers.
const RELAY_LIMIT: usize = 1024;
/// How long a stream still counts as heard after its reads began to fail.
const LOSS_GRACE: Duration = Duration::from_millis(600);
/// How long a peer's relay counts as hearing a stream.
const RELAY_FRESH: Duration = Duration::from_millis(1500);

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
    /// The bytes of those entries.
    recent_bytes: BTreeMap<StreamId, usize>,
    /// When each stream was last read from the log itself.
    pub read_at: BTreeMap<StreamId, Moment>,
    /// When a peer that reads the log last told all that it had of a stream.
    pub relayed_at: BTreeMap<StreamId, Moment>,
    /// When the reads of a stream began to fail after one that succeeded.
    pub lost_at: BTreeMap<StreamId, Moment>,
    /// Whether the newest read of each stream succeeded.
    pub reachable: BTreeMap<StreamId, bool>,
    /// The streams whose fold has its state, and can take the next entry.
    pub started: BTreeSet<StreamId>,
    /// The streams that were once read to the end that the log had.
    pub caught_up: BTreeSet<StreamId>,
    /// Where the state at the start came from.
    pub started_from: SmolStr,
    /// The checkpoints seen in each stream, to know when the next is due.
    pub checkpoints: BTreeMap<StreamId, CheckpointTable>,
    /// The time of each stream's fold when it began, and when its newest entry was folded.
    pub pace: BTreeMap<StreamId, StreamPace>,
}

/// How a stream's time passes.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamPace {
    /// The platform's time of the first entry that was folded here.
    pub began: WallMillis,
    /// The platform's time of the newest entry.
    pub newest: WallMillis,
    /// When that was folded.
    pub folded: Moment,
}

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

impl Default for FoldHub {
    fn default() -> Self {
        let tables = FoldTables {
            configuration: ConfigurationFold::new(banyan_config::merge_files),
            claims: vec![ClaimFold::default(); usize::from(CLAIM_PARTITIONS)],
            recent: BTreeMap::new(),
            recent_bytes: BTreeMap::new(),
            read_at: BTreeMap::new(),
            relayed_at: BTreeMap::new(),
            lost_at: BTreeMap::new(),
            reachable: BTreeMap::new(),
            started: BTreeSet::new(),
            caught_up: BTreeSet::new(),
            started_from: SmolStr::new_static("nothing yet"),
            checkpoints: BTreeMap::new(),
            pace: BTreeMap::new(),
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

    /// Whether a stream's new entries reach this fold, from the log or through a peer.
    pub fn is_heard(&self, stream: StreamId, now: Moment) -> bool {
        let reachable = self.reachable.get(&stream).copied().unwrap_or(false);
        let relayed = self.relayed_at.get(&stream);
        let relayed = relayed.is_some_and(|at| now.since(*at) < RELAY_FRESH);
        // A single read that failed may be the fault of its connection alone.
        let lost = self.lost_at.get(&stream);
        let just_lost = lost.is_some_and(|at| now.since(*at) < LOSS_GRACE);
        self.started.contains(&stream) && (reachable || relayed || just_lost)
    }

    /// Notes where the log ended when a stream was read.
    fn note_end(&mut self, stream: StreamId, end: LogOffset) {
        if self.next(stream) >= end {
            self.caught_up.insert(stream);
        }
    }

    /// Whether a stream may still get its state, or what the log has had after it for long.
    pub fn is_behind(&self, stream: StreamId) -> bool {
        let reachable = self.reachable.get(&stream).copied().unwrap_or(false);
        // Nothing but the log can tell how far it goes, so one that is away is not waited for.
        !self.started.contains(&stream) || reachable && !self.caught_up.contains(&stream)
    }

    /// When the configuration stream was last read from the log itself.
    pub fn configuration_read_at(&self) -> Option<Moment> {
        self.read_at.get(&StreamId::Configuration).copied()
    }

    /// Folds one entry that is the next one of its stream; others change nothing.
    fn fold(
        &mut self,
        stream: StreamId,
        entry: &ReadEntry,
        now: Moment,
    ) -> Result<FoldStep, String> {
        let (offset, at) = (LogOffset(entry.offset), WallMillis(entry.at_ms));
        let next = self.next(stream);
        if offset < next {
            return Ok(FoldStep::Repeated);
        }
        if offset > next || !self.started.contains(&stream) {
            return Ok(FoldStep::Gap { expected: next });
        }
        let decoded = decode(stream, entry).map_err(|error| error.to_string())?;
        let step = match stream {
            StreamId::Configuration => self.configuration.apply(&decoded),
            StreamId::Claims(partition) => self.claims[usize::from(partition)].apply(&decoded),
        };
        let watched = self.checkpoints.entry(stream).or_insert_with(CheckpointTable::for_watch);
        watched.observe(&decoded);
        let pace =
            self.pace.entry(stream).or_insert(StreamPace { began: at, ..Default::default() });
        pace.newest = pace.newest.max(at);
        pace.folded = now;
        self.keep_recent(stream, entry);
        Ok(step)
    }
}

impl FoldTables {
    /// Keeps an entry for peers, and drops the oldest ones that are too many or too large.
    fn keep_recent(&mut self, stream: StreamId, entry: &ReadEntry) {
        let recent = self.recent.entry(stream).or_default();
        recent.push_back(entry.clone());
        let bytes = self.recent_bytes.entry(stream).or_default();
        *bytes += entry.body.len();
        while recent.len() > RELAY_LIMIT || *bytes > RELAY_BYTES {
            let Some(oldest) = recent.pop_front() else { return };
            *bytes -= oldest.body.len();
        }
    }

    /// Forgets the entries kept of a stream, which no longer join on to what is folded next.
    pub fn drop_recent(&mut self, stream: StreamId) {
        self.recent.remove(&stream);
        self.recent_bytes.remove(&stream);
    }
}

/// An entry of a stream as facts; an error only for one of a newer format.
pub fn decode(stream: StreamId, entry: &ReadEntry) -> Result<LogEntry, LogWireError> {
    let (offset, at) = (LogOffset(entry.offset), WallMillis(entry.at_ms));
    match decode_entry(offset, at, entry.body.as_bytes()) {
        Ok(decoded) => Ok(decoded),
        Err(error @ LogWireError::Newer { .. }) => Err(error),
        // An entry that no version can read holds no facts for any instance.
        Err(error) => {
            log::warn!("log: {stream}: {error}.");
            Ok(LogEntry { offset, at, facts: Vec::new() })
        }
    }
}

/// All streams that an instance folds.
pub fn all_streams() -> impl Iterator<Item = StreamId> {
    let claims = (0..CLAIM_PARTITIONS).map(StreamId::Claims);
    std::iter::once(StreamId::Configuration).chain(claims)
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
        tables.lost_at.insert(stream, now);
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
