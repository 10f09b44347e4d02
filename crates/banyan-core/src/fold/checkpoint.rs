//! Checkpoints in the log: when to write one and which one a fold starts from.
//!
//! A checkpoint holds the state of a fold just before an offset. A fold may start from it only if
//! the log still holds every entry from that offset on. The checkpoint's own position in the log
//! doesn't matter, because a paused instance may append an old state late. A running fold ignores
//! checkpoint facts.

use std::collections::BTreeMap;
use std::time::Duration;

use thiserror::Error;

use crate::ids::LogOffset;
use crate::ids::RecordId;
use crate::record::ContentDigest;
use crate::record::FactBody;
use crate::record::LogEntry;
use crate::record::LogFact;
use crate::record::StreamId;
use crate::units::WallMillis;

/// The number of complete checkpoints kept while the log is scanned.
const MAX_COMPLETE_CHECKPOINTS: usize = 3;

/// Identifies a checkpoint. Two parts belong together if their state and their number of parts are
/// the same.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CheckpointId {
    /// The first offset whose entry isn't folded into the state.
    pub next: LogOffset,
    /// The digest of the whole state.
    pub digest: ContentDigest,
    /// The number of parts that the state is split into.
    pub parts: u32,
}

/// The parts of one checkpoint that were read so far.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CheckpointRow {
    /// The bodies by part number; empty in a table made by [`CheckpointTable::for_scheduling`].
    pub bodies: BTreeMap<u32, Vec<u8>>,
    /// The fold's time in the state: the greatest timestamp of the entries before `next`.
    pub as_of: WallMillis,
}

/// The checkpoints read from a stream.
///
/// Parts of several writers may be interleaved, and a part may occur twice. Invariant: a row's part
/// numbers are below its number of parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CheckpointTable {
    /// The parts read so far of each checkpoint, complete or not.
    pub rows: BTreeMap<CheckpointId, CheckpointRow>,
    /// Whether bodies are kept to start a fold, or only part numbers to schedule checkpoints.
    keep_bodies: bool,
}

impl CheckpointTable {
    /// Creates a table that keeps the bodies, from which a fold can start.
    pub fn for_start() -> Self {
        Self { rows: BTreeMap::new(), keep_bodies: true }
    }

    /// Creates a table that keeps only part numbers, to tell when the next checkpoint is due.
    pub fn for_scheduling() -> Self {
        Self { rows: BTreeMap::new(), keep_bodies: false }
    }

    /// Records the checkpoint facts of an entry and ignores all others.
    pub fn observe(&mut self, entry: &LogEntry) {
        for fact in &entry.facts {
            self.observe_fact(entry, &fact.body);
        }
    }

    /// The `next` offset and the time of the newest complete checkpoint.
    ///
    /// The age of the checkpoint's own entries doesn't matter: the log must retain the entries from
    /// `next` on.
    pub fn newest(&self) -> Option<(LogOffset, WallMillis)> {
        let mut complete = self.rows.iter().rev().filter(|(id, row)| is_complete(id, row));
        complete.next().map(|(id, row)| (id.next, row.as_of))
    }

    fn observe_fact(&mut self, entry: &LogEntry, body: &FactBody) {
        let FactBody::Checkpoint { next, as_of, digest, part, parts, body } = body else { return };
        // A state that covers its own entry or a later one can't have been folded from this log.
        if *next > entry.offset || part >= parts {
            return;
        }
        let id = CheckpointId { next: *next, digest: *digest, parts: *parts };
        let row = self.rows.entry(id).or_default();
        let body = if self.keep_bodies { body.clone() } else { Vec::new() };
        row.bodies.entry(*part).or_insert(body);
        row.as_of = *as_of;
        self.discard_old();
    }

    fn discard_old(&mut self) {
        let complete: Vec<LogOffset> = self
            .rows
            .iter()
            .filter(|(id, row)| is_complete(id, row))
            .map(|(id, _)| id.next)
            .collect();
        let Some(index) = complete.len().checked_sub(MAX_COMPLETE_CHECKPOINTS) else { return };
        let oldest = complete[index];
        self.rows.retain(|id, _| id.next >= oldest);
    }
}

/// Where a fold starts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartChoice {
    /// From the empty state, because the log still holds every entry.
    FromEmpty,
    /// From a checkpoint. The entries from `next` on are folded on top of it.
    FromCheckpoint {
        /// The first offset whose entry isn't folded into the state.
        next: LogOffset,
        /// The whole serialized state.
        body: Vec<u8>,
    },
}

/// Why a fold cannot start from the log alone.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum StartError {
    /// The log has dropped entries that no complete checkpoint covers.
    #[error(
        "the log starts at {first} and no complete checkpoint covers what came before: \
         take the state from a peer that runs"
    )]
    NotCovered {
        /// The oldest offset that the log still holds.
        first: LogOffset,
    },
    /// The checkpoints that cover the dropped entries hold different states.
    #[error(
        "checkpoints before {next} contradict each other: take the state from a peer that runs, and \
         see that all instances run the same version"
    )]
    Contradiction {
        /// The lowest `next` offset with two different states.
        next: LogOffset,
    },
}

/// Decides where a fold starts, given a table that observed every entry from `first` on.
///
/// Picks the newest complete checkpoint whose `next` offset is at or after `first`. An offset with
/// checkpoints of different states is skipped.
pub fn choose_start(first: LogOffset, table: &CheckpointTable) -> Result<StartChoice, StartError> {
    let mut states: BTreeMap<LogOffset, Vec<(ContentDigest, Vec<u8>)>> = BTreeMap::new();
    for (id, row) in table.rows.iter().filter(|(id, _)| id.next >= first) {
        let Some(body) = assemble_body(id, row) else { continue };
        let known = states.entry(id.next).or_default();
        if !known.iter().any(|(digest, _)| *digest == id.digest) {
            known.push((id.digest, body));
        }
    }
    let contradiction = states.iter().find(|(_, known)| known.len() > 1).map(|(next, _)| *next);
    let newest = states.into_iter().rev().find(|(_, known)| known.len() == 1);
    if let Some((next, known)) = newest {
        let body = known.into_iter().next().map(|(_, body)| body).unwrap_or_default();
        return Ok(StartChoice::FromCheckpoint { next, body });
    }
    if first == LogOffset(0) {
        return Ok(StartChoice::FromEmpty);
    }
    match contradiction {
        Some(next) => Err(StartError::Contradiction { next }),
        None => Err(StartError::NotCovered { first }),
    }
}

fn is_complete(id: &CheckpointId, row: &CheckpointRow) -> bool {
    row.bodies.len() == id.parts as usize
}

fn assemble_body(id: &CheckpointId, row: &CheckpointRow) -> Option<Vec<u8>> {
    if !is_complete(id, row) {
        return None;
    }
    let body: Vec<u8> = row.bodies.values().flatten().copied().collect();
    (ContentDigest::of(&body) == id.digest).then_some(body)
}

/// Splits the state `body` just before `next` into checkpoint facts of at most `part_bytes` each.
/// `as_of` is the fold's time in that state.
///
/// The facts may be appended in one entry or in several, and again after a lost response.
pub fn checkpoint_facts(
    next: LogOffset,
    as_of: WallMillis,
    body: &[u8],
    part_bytes: usize,
    mut make_id: impl FnMut() -> RecordId,
) -> Vec<LogFact> {
    let digest = ContentDigest::of(body);
    let bodies: Vec<&[u8]> = match body.is_empty() {
        true => vec![body],
        false => body.chunks(part_bytes.max(1)).collect(),
    };
    let parts = bodies.len() as u32;
    let fact = |(part, body): (usize, &[u8])| LogFact {
        id: make_id(),
        body: FactBody::Checkpoint {
            next,
            as_of,
            digest,
            part: part as u32,
            parts,
            body: body.to_vec(),
        },
    };
    bodies.into_iter().enumerate().map(fact).collect()
}

/// How often the checkpoints of a stream are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CheckpointPolicy {
    /// The number of folded entries after which a checkpoint is due. It bounds the entries that a
    /// starting fold has to read.
    pub entries: u64,
    /// The age of the newest checkpoint after which another is due, so that the log never drops
    /// entries that no checkpoint covers.
    ///
    /// Invariant: well below the log's retention. [`Self::for_stream`] sets it to the retention
    /// divided by `RETENTION_DIVISOR`.
    pub age: Duration,
    /// The additional wait for each rank in the order of writers, see
    /// [`crate::rendezvous::owner_rank`].
    pub wait_per_rank: Duration,
}

impl CheckpointPolicy {
    /// A checkpoint is due after the retention divided by this number.
    const RETENTION_DIVISOR: u32 = 4;
    /// The wait per rank, as a divisor of the age at which a checkpoint is due.
    const RANK_WAIT_DIVISOR: u32 = 16;
    /// The longest wait per rank.
    const MAX_RANK_WAIT: Duration = Duration::from_secs(10);
    /// Configuration entries between two checkpoints. Each may be a proposal, and a starting
    /// instance validates the union of all files for each proposal.
    const CONFIGURATION_INTERVAL_ENTRIES: u64 = 100;
    /// Claim entries between two checkpoints. They are cheap to fold, but their state is large.
    const CLAIM_INTERVAL_ENTRIES: u64 = 20_000;

    /// The policy of a stream whose log retains entries for `retention`.
    pub fn for_stream(stream: StreamId, retention: Duration) -> Self {
        let entries = match stream {
            StreamId::Configuration => Self::CONFIGURATION_INTERVAL_ENTRIES,
            StreamId::Claims(_) => Self::CLAIM_INTERVAL_ENTRIES,
        };
        let age = retention / Self::RETENTION_DIVISOR;
        Self {
            entries,
            age,
            wait_per_rank: (age / Self::RANK_WAIT_DIVISOR).min(Self::MAX_RANK_WAIT),
        }
    }
}

/// The inputs of [`is_checkpoint_due`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CheckpointInputs {
    /// The first offset not folded yet.
    pub next: LogOffset,
    /// The newest complete checkpoint in the log, see [`CheckpointTable::newest`]. If there is
    /// none, offset zero and the time at which the fold began.
    pub newest: (LogOffset, WallMillis),
    /// The estimated platform time: the timestamp of the newest entry plus the local time since it
    /// was read.
    pub platform_now: WallMillis,
    /// This instance's rank among the live instances, see [`crate::rendezvous::owner_rank`].
    pub rank: u32,
}

/// Whether this instance should write a checkpoint now.
///
/// A superfluous checkpoint is harmless. The higher an instance's rank, the more entries or time it
/// waits for, so that a checkpoint is written even if the instances of lower rank are down.
pub fn is_checkpoint_due(inputs: &CheckpointInputs, policy: &CheckpointPolicy) -> bool {
    let (checkpoint_next, checkpoint_time) = inputs.newest;
    let folded = inputs.next.0.saturating_sub(checkpoint_next.0);
    if folded == 0 {
        return false;
    }
    let age = Duration::from_millis(inputs.platform_now.0.saturating_sub(checkpoint_time.0));
    let position = u64::from(inputs.rank) + 1;
    if age >= policy.age + policy.wait_per_rank * inputs.rank {
        return true;
    }
    folded >= policy.entries.saturating_mul(position) && age >= policy.wait_per_rank * inputs.rank
}
