//! Where a fold may start: checkpoint facts, collected in a [`CheckpointTable`].
//!
//! A checkpoint says what the state was right before an offset. It may be started from only if the
//! log still holds every entry from that offset on; its own position in the log says nothing, since
//! a paused instance may append an old state late. Instances that run fold checkpoints to nothing.

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

/// The number of complete checkpoints whose bodies are kept while a log is scanned for a start.
const KEPT_CHECKPOINTS: usize = 3;

/// What makes parts belong together: the same state, cut in the same way.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CheckpointId {
    /// The first offset that the state does not hold.
    pub next: LogOffset,
    /// The digest of the whole state.
    pub digest: ContentDigest,
    /// The number of parts.
    pub parts: u32,
}

/// The parts of one checkpoint that were seen.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CheckpointRow {
    /// The bodies by part number; empty ones where the table only watches.
    pub bodies: BTreeMap<u32, Vec<u8>>,
    /// The fold's time in the state; every entry that the state does not hold is as new or newer.
    pub as_of: WallMillis,
}

/// The checkpoints that were seen in a stream.
///
/// Parts may arrive interleaved, twice and from several writers. Invariant: a row's part numbers
/// are below its number of parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CheckpointTable {
    /// The rows.
    pub rows: BTreeMap<CheckpointId, CheckpointRow>,
    /// Whether bodies are kept, for a start, or only part numbers, to know when one is due.
    keep_bodies: bool,
}

impl CheckpointTable {
    /// A table that keeps the bodies, to start a fold from.
    pub fn for_start() -> Self {
        Self { rows: BTreeMap::new(), keep_bodies: true }
    }

    /// A table that keeps only part numbers, to know when the next checkpoint is due.
    pub fn for_scheduling() -> Self {
        Self { rows: BTreeMap::new(), keep_bodies: false }
    }

    /// Takes note of the checkpoint facts of an entry.
    pub fn observe(&mut self, entry: &LogEntry) {
        for fact in &entry.facts {
            self.observe_fact(entry, &fact.body);
        }
    }

    /// The newest complete checkpoint and the time of its state.
    ///
    /// Its own age in the log says nothing: what must outlast it are the entries behind its state.
    pub fn newest(&self) -> Option<(LogOffset, WallMillis)> {
        let mut complete = self.rows.iter().rev().filter(|(id, row)| is_complete(id, row));
        complete.next().map(|(id, row)| (id.next, row.as_of))
    }

    fn observe_fact(&mut self, entry: &LogEntry, body: &FactBody) {
        let FactBody::Checkpoint { next, as_of, digest, part, parts, body } = body else { return };
        // A state that claims to hold its own record or later ones was not folded from this log.
        if *next > entry.offset || part >= parts {
            return;
        }
        let id = CheckpointId { next: *next, digest: *digest, parts: *parts };
        let row = self.rows.entry(id).or_default();
        let body = if self.keep_bodies { body.clone() } else { Vec::new() };
        row.bodies.entry(*part).or_insert(body);
        row.as_of = *as_of;
        self.trim();
    }

    fn trim(&mut self) {
        let complete: Vec<LogOffset> = self
            .rows
            .iter()
            .filter(|(id, row)| is_complete(id, row))
            .map(|(id, _)| id.next)
            .collect();
        let Some(index) = complete.len().checked_sub(KEPT_CHECKPOINTS) else { return };
        let oldest = complete[index];
        self.rows.retain(|id, _| id.next >= oldest);
    }
}

/// Where a fold starts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartChoice {
    /// From nothing: the log still holds everything.
    FromEmpty,
    /// From a checkpoint; entries from `next` on are folded on top of it.
    FromCheckpoint {
        /// The first offset that the state does not hold.
        next: LogOffset,
        /// The serialised state.
        body: Vec<u8>,
    },
}

/// Why a fold cannot start from the log alone.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum StartError {
    /// Entries are gone and no complete checkpoint covers them.
    #[error(
        "the log starts at {first} and no complete checkpoint covers what came before: \
         take the state from a peer that runs"
    )]
    StateGone {
        /// The oldest offset that the log still holds.
        first: LogOffset,
    },
    /// The checkpoints that would cover what is gone contradict each other.
    #[error(
        "checkpoints before {next} contradict each other: take the state from a peer that runs, and \
         see that all instances run the same version"
    )]
    Contradiction {
        /// The offset at which two different states are claimed.
        next: LogOffset,
    },
}

/// Decides where a fold may start, given every entry from `first` on.
///
/// The newest complete checkpoint whose `next` the log still holds is taken; a pair that claims
/// different states for the same offset is passed over.
pub fn choose_start(first: LogOffset, table: &CheckpointTable) -> Result<StartChoice, StartError> {
    let mut states: BTreeMap<LogOffset, Vec<(ContentDigest, Vec<u8>)>> = BTreeMap::new();
    for (id, row) in table.rows.iter().filter(|(id, _)| id.next >= first) {
        let Some(body) = whole_body(id, row) else { continue };
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
        None => Err(StartError::StateGone { first }),
    }
}

fn is_complete(id: &CheckpointId, row: &CheckpointRow) -> bool {
    row.bodies.len() == id.parts as usize
}

fn whole_body(id: &CheckpointId, row: &CheckpointRow) -> Option<Vec<u8>> {
    if !is_complete(id, row) {
        return None;
    }
    let body: Vec<u8> = row.bodies.values().flatten().copied().collect();
    (ContentDigest::of(&body) == id.digest).then_some(body)
}

/// The facts of a checkpoint of the state `body` right before `next`, at most `part_bytes` each.
/// `as_of` is the fold's time in that state.
///
/// The facts may be appended in one entry or in several, and again after a lost answer.
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

/// How often checkpoints are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CheckpointPolicy {
    /// The number of folded entries after which one is due, so that a start stays short.
    pub entries: u64,
    /// The age after which one is due, so that retention never passes the newest one.
    ///
    /// Invariant: well under the log's retention.
    pub age: Duration,
    /// How much longer each less preferred writer waits for the ones before it.
    pub stagger: Duration,
}

impl CheckpointPolicy {
    /// The share of the retention after which a checkpoint is due.
    const RETENTION_SHARE: u32 = 4;
    /// Entries of the configuration between two checkpoints. Each may be a proposal, and an instance
    /// that starts validates the union of all files for every one of them.
    const CONFIGURATION_ENTRIES: u64 = 100;
    /// Entries of claims between two checkpoints. They cost little to fold, while their state is
    /// large.
    const CLAIM_ENTRIES: u64 = 20_000;

    /// A policy for a stream of a log that keeps records for `retention`.
    pub fn for_stream(stream: StreamId, retention: Duration) -> Self {
        let entries = match stream {
            StreamId::Configuration => Self::CONFIGURATION_ENTRIES,
            StreamId::Claims(_) => Self::CLAIM_ENTRIES,
        };
        let age = retention / Self::RETENTION_SHARE;
        Self { entries, age, stagger: (age / 16).min(Duration::from_secs(10)) }
    }
}

/// What an instance knows when it asks whether a checkpoint is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CheckpointInputs {
    /// The first offset that the fold has not folded.
    pub next: LogOffset,
    /// The newest complete checkpoint in the log, see [`CheckpointTable::newest`]. Where there is
    /// none, the offset zero and the time at which the fold began.
    pub newest: (LogOffset, WallMillis),
    /// The platform's time: that of the newest entry, plus what passed here since it was read.
    pub platform_now: WallMillis,
    /// This instance's place among the live ones, see [`crate::rendezvous::owner_rank`].
    pub rank: u32,
}

/// Whether this instance should write a checkpoint now.
///
/// Writing one too many is harmless. The more entries or time have passed, the more of the less
/// preferred instances write, so that one is written although the preferred ones are gone.
pub fn is_checkpoint_due(inputs: &CheckpointInputs, policy: &CheckpointPolicy) -> bool {
    let (covered, at) = inputs.newest;
    let folded = inputs.next.0.saturating_sub(covered.0);
    if folded == 0 {
        return false;
    }
    let age = Duration::from_millis(inputs.platform_now.0.saturating_sub(at.0));
    let turns = u64::from(inputs.rank) + 1;
    if age >= policy.age + policy.stagger * inputs.rank {
        return true;
    }
    folded >= policy.entries.saturating_mul(turns) && age >= policy.stagger * inputs.rank
}
