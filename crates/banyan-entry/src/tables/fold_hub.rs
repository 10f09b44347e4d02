//! The folds of all streams of the log: [`FoldHub`] and [`FoldTables`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::watch;

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
use banyan_wire::log::LogWireError;
use banyan_wire::log::decode_entry;
use banyan_wire::platform::ReadEntry;

/// The maximum size of one stream's entries that are kept for peers.
const RELAY_LIMIT_BYTES: usize = 2 << 20;
/// The maximum number of one stream's entries that are kept for peers.
const RELAY_LIMIT_ENTRIES: usize = 1024;
/// How long a stream still counts as receiving after its reads began to fail.
const READ_FAILURE_GRACE: Duration = Duration::from_millis(600);
/// How long a stream counts as receiving after a peer relayed it.
const RELAY_VALIDITY: Duration = Duration::from_millis(1500);

/// The folds, with a signal that changes on every folded entry.
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
    /// The size of those entries, in bytes.
    recent_bytes: BTreeMap<StreamId, usize>,
    /// When each stream was last read from the log itself.
    pub read_at: BTreeMap<StreamId, Moment>,
    /// When a peer that reads the log last relayed everything that it had of a stream.
    pub relayed_at: BTreeMap<StreamId, Moment>,
    /// When the reads of a stream last began to fail after a successful one.
    pub reads_failing_since: BTreeMap<StreamId, Moment>,
    /// Whether the newest read of each stream succeeded.
    pub reachable: BTreeMap<StreamId, bool>,
    /// The streams whose fold has its initial state and can apply the next entry.
    pub started: BTreeSet<StreamId>,
    /// The streams that have been read to the end of the log at least once.
    pub caught_up: BTreeSet<StreamId>,
    /// The source of the initial state, for the operator's status.
    pub started_from: SmolStr,
    /// The checkpoints seen in each stream, from which the next due one follows.
    pub checkpoints: BTreeMap<StreamId, CheckpointTable>,
    /// The times of the first and the newest entry that were folded here, by stream.
    pub stream_times: BTreeMap<StreamId, StreamTimes>,
}

/// The times of the first and the newest folded entry of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamTimes {
    /// The platform's time of the first entry that was folded here.
    pub began: WallMillis,
    /// The platform's time of the newest entry.
    pub newest: WallMillis,
    /// When the newest entry was folded, on the local clock.
    pub folded: Moment,
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
            reads_failing_since: BTreeMap::new(),
            reachable: BTreeMap::new(),
            started: BTreeSet::new(),
            caught_up: BTreeSet::new(),
            started_from: SmolStr::new_static("nothing yet"),
            checkpoints: BTreeMap::new(),
            stream_times: BTreeMap::new(),
        };
        Self { tables: Mutex::new(tables), progress: watch::Sender::new(0) }
    }
}

impl FoldHub {
    /// Locks the folds. The guard must not be held across an await.
    pub fn tables(&self) -> MutexGuard<'_, FoldTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A receiver that is notified whenever an entry was folded.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.progress.subscribe()
    }

    /// Notifies subscribers that the folds have changed.
    pub fn signal(&self) {
        self.progress.send_modify(|count| *count += 1);
    }
}

impl FoldTables {
    /// The offset of a stream's next entry to fold.
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
    pub fn is_receiving(&self, stream: StreamId, now: Moment) -> bool {
        let reachable = self.reachable.get(&stream).copied().unwrap_or(false);
        let relayed = self.relayed_at.get(&stream);
        let relayed = relayed.is_some_and(|at| now.since(*at) < RELAY_VALIDITY);
        // A single failed read may be due to its connection rather than to the log.
        let failing_since = self.reads_failing_since.get(&stream);
        let recently_failing = failing_since.is_some_and(|at| now.since(*at) < READ_FAILURE_GRACE);
        self.started.contains(&stream) && (reachable || relayed || recently_failing)
    }

    /// Marks a stream as caught up if it is folded to `end`, where the log ended when it was read.
    pub(crate) fn note_end(&mut self, stream: StreamId, end: LogOffset) {
        if self.next(stream) >= end {
            self.caught_up.insert(stream);
        }
    }

    /// Whether a stream lacks its initial state, or has not yet been read to the end of a log that
    /// is reachable.
    pub fn is_behind(&self, stream: StreamId) -> bool {
        let reachable = self.reachable.get(&stream).copied().unwrap_or(false);
        // Only the log knows where it ends, so an unreachable log is not waited for.
        !self.started.contains(&stream) || reachable && !self.caught_up.contains(&stream)
    }

    /// When the configuration stream was last read from the log itself.
    pub fn configuration_read_at(&self) -> Option<Moment> {
        self.read_at.get(&StreamId::Configuration).copied()
    }

    /// Folds an entry if it is the next one of its stream; any other entry changes nothing.
    pub(crate) fn fold(
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
        let checkpoints =
            self.checkpoints.entry(stream).or_insert_with(CheckpointTable::for_scheduling);
        checkpoints.observe(&decoded);
        let times = self
            .stream_times
            .entry(stream)
            .or_insert(StreamTimes { began: at, ..Default::default() });
        times.newest = times.newest.max(at);
        times.folded = now;
        self.keep_recent(stream, entry);
        Ok(step)
    }
}

impl FoldTables {
    /// Keeps an entry for peers and drops the oldest entries beyond the limits.
    pub(crate) fn keep_recent(&mut self, stream: StreamId, entry: &ReadEntry) {
        let recent = self.recent.entry(stream).or_default();
        recent.push_back(entry.clone());
        let bytes = self.recent_bytes.entry(stream).or_default();
        *bytes += entry.body.len();
        while recent.len() > RELAY_LIMIT_ENTRIES || *bytes > RELAY_LIMIT_BYTES {
            let Some(oldest) = recent.pop_front() else { return };
            *bytes -= oldest.body.len();
        }
    }

    /// Drops the kept entries of a stream when they no longer connect to the next folded entry.
    pub fn drop_recent(&mut self, stream: StreamId) {
        self.recent.remove(&stream);
        self.recent_bytes.remove(&stream);
    }
}

/// Decodes an entry of a stream. Fails only for an entry in a newer format.
pub fn decode(stream: StreamId, entry: &ReadEntry) -> Result<LogEntry, LogWireError> {
    let (offset, at) = (LogOffset(entry.offset), WallMillis(entry.at_ms));
    match decode_entry(offset, at, entry.body.as_bytes()) {
        Ok(decoded) => Ok(decoded),
        Err(error @ LogWireError::Newer { .. }) => Err(error),
        // An entry that no version can decode counts as empty on every instance.
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
