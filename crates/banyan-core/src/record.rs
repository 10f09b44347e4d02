//! The contents of the platform's log: facts written by operators and instances.
//!
//! Each append writes one [`LogEntry`] with one or more facts. A fact's position is the offset of
//! the entry and the index within it. The writer chooses the ids of its facts, so that it can
//! repeat an append whose response was lost: a fold ignores the duplicate.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::FileId;
use crate::ids::IdError;
use crate::ids::IdempotencyKey;
use crate::ids::IncarnationId;
use crate::ids::LogOffset;
use crate::ids::RecordId;
use crate::ids::Revision;
use crate::ids::WorkspaceId;
use crate::units::WallMillis;

/// The number of partitions of the idempotency keys.
///
/// Every instance must use the same number, so it isn't configurable.
pub const CLAIM_PARTITIONS: u16 = 8;

/// The greatest time between a claimant's check that the key is free and its claim, in milliseconds
/// of the log's time.
///
/// Invariant: less than the retention of any closed claim, see [`FactBody::Close`].
pub const CLAIM_WINDOW_MS: u64 = 60_000;

/// A stream of the platform's log. The offsets of each stream start from zero.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StreamId {
    /// Proposals of operators, quarantines, and checkpoints of their fold.
    Configuration,
    /// Claims of one partition of the idempotency keys; below [`CLAIM_PARTITIONS`].
    Claims(u16),
}

impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StreamId::Configuration => f.write_str("configuration"),
            StreamId::Claims(partition) => write!(f, "claims-{partition}"),
        }
    }
}

impl FromStr for StreamId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let error = || IdError::Malformed {
            kind: "stream name",
            text: SmolStr::new(text),
            expected: "configuration or claims-N",
        };
        if text == "configuration" {
            return Ok(StreamId::Configuration);
        }
        let partition = text.strip_prefix("claims-").ok_or_else(error)?;
        let partition: u16 = partition.parse().map_err(|_| error())?;
        if partition >= CLAIM_PARTITIONS {
            return Err(error());
        }
        Ok(StreamId::Claims(partition))
    }
}

/// A digest of some content, such as a request's. It identifies a repeated request whatever its id.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ContentDigest(pub u64);

impl ContentDigest {
    /// The XXH3 digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxh3_64(bytes))
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ContentDigest {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_| IdError::Malformed {
            kind: "content digest",
            text: SmolStr::new(text),
            expected: "sixteen hexadecimal digits",
        })
    }
}

/// An idempotency key within the workspace that used it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey {
    /// The workspace of the caller.
    pub workspace: WorkspaceId,
    /// The key as the caller gave it.
    pub key: IdempotencyKey,
}

impl ClaimKey {
    /// The partition whose stream holds the claims of this key.
    pub fn partition(&self) -> u16 {
        let text = smol_str::format_smolstr!("{}\n{}", self.workspace, self.key);
        (xxh3_64(text.as_bytes()) % u64::from(CLAIM_PARTITIONS)) as u16
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.workspace, self.key)
    }
}

/// The outcome of a dispatched call, as far as it is known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The target answered.
    Answered {
        /// The HTTP status of the answer.
        status: u16,
        /// The answer's body.
        body: Vec<u8>,
    },
    /// The call was sent but not answered; it may have run.
    Unknown,
}

/// A fact with its id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogFact {
    /// Chosen by the writer, unique across all writers.
    pub id: RecordId,
    /// The content of the fact.
    pub body: FactBody,
}

/// The content of a fact.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FactBody {
    /// An operator proposes the whole text of a declaration file.
    Proposal {
        /// The name of the file.
        file: FileId,
        /// The revision of the file that the operator edited; zero for a new file.
        base: Revision,
        /// Who proposes it.
        author: SmolStr,
        /// The file's text, JSON with comments.
        text: String,
    },
    /// Requests with this content crash targets and must be refused.
    Quarantine {
        /// The digest of the request's model and prompt.
        content: ContentDigest,
        /// The duration from the fold's time at this record, in milliseconds.
        duration_ms: u64,
        /// The targets that it crashed.
        evidence: SmolStr,
    },
    /// An instance wants to dispatch an at-most-once call.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The only incarnation that may dispatch the call.
        claimant: IncarnationId,
        /// The digest of service, call and body. It detects the reuse of a key for another call.
        content: ContentDigest,
        /// The time of the claimant's fold when it saw the key free. A claim appended more than
        /// [`CLAIM_WINDOW_MS`] later is void, so that a claimant that was paused can't win a key
        /// whose outcome has expired in the meantime.
        seen: WallMillis,
    },
    /// The claimant dispatched the call and knows its outcome.
    Close {
        /// The key.
        key: ClaimKey,
        /// The claim's record id.
        claim: RecordId,
        /// The response, or that the outcome is unknown.
        outcome: CallOutcome,
        /// How long the outcome is kept from the fold's time at this record, in milliseconds.
        memory_ms: u64,
    },
    /// The claimant abandoned the claim before it sent any byte, and can never send the call.
    Release {
        /// The key.
        key: ClaimKey,
        /// The claim's record id.
        claim: RecordId,
    },
    /// One part of the state of a stream's fold just before `next`.
    Checkpoint {
        /// The first offset whose entry isn't folded into the state.
        next: LogOffset,
        /// The fold's time in the state.
        as_of: WallMillis,
        /// The digest of the whole serialized state. It identifies the parts of one state.
        digest: ContentDigest,
        /// The part's number, from zero.
        part: u32,
        /// The number of parts.
        parts: u32,
        /// This part of the serialized state, in the encoding of the wire crate.
        body: Vec<u8>,
    },
}

/// One entry of a stream as read back from the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogEntry {
    /// The position in the stream.
    pub offset: LogOffset,
    /// The platform's timestamp of the append.
    pub at: WallMillis,
    /// The facts, in order. An entry that could not be decoded has none.
    pub facts: Vec<LogFact>,
}
