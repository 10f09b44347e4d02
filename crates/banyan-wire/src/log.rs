//! The entries of the platform's log: each append carries an [`EntryWire`] as JSON.
//!
//! A reader must stop folding at an entry of a newer format. If it skipped the entry, instances of
//! different versions would disagree; see [`LogWireError::Newer`]. An entry that no version can
//! decode counts as an entry without facts for every reader; see [`LogWireError::Unreadable`].

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

use banyan_core::ids::IdError;
use banyan_core::ids::LogOffset;
use banyan_core::ids::Revision;
use banyan_core::record::CallOutcome;
use banyan_core::record::ClaimKey;
use banyan_core::record::FactBody;
use banyan_core::record::LogEntry;
use banyan_core::record::LogFact;
use banyan_core::units::WallMillis;

/// The version of the entry format that this program writes and reads.
pub const LOG_FORMAT: u32 = 1;

/// Why a log entry could not be decoded.
#[derive(Debug, Error)]
pub enum LogWireError {
    /// The entry has a newer format. The reader stops before it.
    #[error("entry {offset} has format {format}, newer than {LOG_FORMAT}; run a newer version")]
    Newer {
        /// The entry's offset.
        offset: LogOffset,
        /// The entry's format version.
        format: u64,
    },
    /// The body is malformed. Every reader treats the entry as one without facts.
    #[error(
        "entry {offset} cannot be decoded as format {LOG_FORMAT}: {reason}; write it with banyanctl"
    )]
    Unreadable {
        /// The entry's offset.
        offset: LogOffset,
        /// The decoder's error.
        reason: String,
    },
    /// An identifier in a fact is malformed. Every reader treats the whole entry as one without
    /// facts.
    #[error("a fact contains a malformed identifier: {0}")]
    MalformedId(#[from] IdError),
}

/// The body of one append.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntryWire {
    /// The format version, [`LOG_FORMAT`].
    pub format: u32,
    /// The facts, in order.
    pub facts: Vec<FactWire>,
}

/// The part of an entry that every format version has.
#[derive(Debug, Deserialize)]
struct EntryHeader {
    /// The entry's format version.
    format: u64,
}

/// One fact.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FactWire {
    /// The fact's record id, chosen by the writer.
    pub id: SmolStr,
    /// The fact's content.
    #[serde(flatten)]
    pub body: BodyWire,
}

/// The content of a fact.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum BodyWire {
    /// See [`FactBody::Proposal`].
    Proposal {
        /// The name of the declaration file.
        file: SmolStr,
        /// The revision of the file that the proposal is based on; zero for a new file.
        base: u64,
        /// The operator who proposes the file.
        author: SmolStr,
        /// The text of the file.
        text: String,
    },
    /// See [`FactBody::Quarantine`].
    Quarantine {
        /// The digest of the quarantined content, in hexadecimal.
        content: SmolStr,
        /// The duration of the quarantine, in milliseconds.
        duration_ms: u64,
        /// The id of a target that crashed while the content was in flight there.
        evidence: SmolStr,
    },
    /// See [`FactBody::Claim`].
    Claim {
        /// The workspace that the key belongs to.
        workspace: SmolStr,
        /// The idempotency key.
        key: SmolStr,
        /// The only incarnation that may dispatch the call.
        claimant: SmolStr,
        /// The digest of the call's content, in hexadecimal.
        content: SmolStr,
        /// The fold's time at which the claimant saw the key free, in milliseconds.
        seen_ms: u64,
    },
    /// See [`FactBody::Close`].
    Close {
        /// The workspace that the key belongs to.
        workspace: SmolStr,
        /// The idempotency key.
        key: SmolStr,
        /// The claim's record id.
        claim: SmolStr,
        /// The HTTP status of the target's response; absent if none arrived.
        status: Option<u16>,
        /// The body of the target's response, in base64; empty if none arrived.
        #[serde(with = "base64_text")]
        body: Vec<u8>,
        /// How long the outcome is kept, in milliseconds.
        memory_ms: u64,
    },
    /// See [`FactBody::Release`].
    Release {
        /// The workspace that the key belongs to.
        workspace: SmolStr,
        /// The idempotency key.
        key: SmolStr,
        /// The claim's record id.
        claim: SmolStr,
    },
    /// See [`FactBody::Checkpoint`].
    Checkpoint {
        /// The first offset that the state does not include.
        next: u64,
        /// The fold's time at which the state was taken, in milliseconds.
        as_of_ms: u64,
        /// The digest of the whole state, in hexadecimal.
        digest: SmolStr,
        /// The part's number, from zero.
        part: u32,
        /// The number of parts.
        parts: u32,
        /// This part of the serialized state, in base64.
        #[serde(with = "base64_text")]
        body: Vec<u8>,
    },
}

/// Encodes facts as the body of one append.
pub fn encode_facts(facts: &[LogFact]) -> Vec<u8> {
    let facts = facts.iter().cloned().map(FactWire::from).collect();
    let entry = EntryWire { format: LOG_FORMAT, facts };
    serde_json::to_vec(&entry).unwrap_or_default()
}

/// Decodes the body of the entry at `offset`, which the platform accepted at `at`.
pub fn decode_entry(
    offset: LogOffset,
    at: WallMillis,
    body: &[u8],
) -> Result<LogEntry, LogWireError> {
    let unreadable = |reason: String| LogWireError::Unreadable { offset, reason };
    let header: EntryHeader =
        serde_json::from_slice(body).map_err(|e| unreadable(e.to_string()))?;
    if header.format > u64::from(LOG_FORMAT) {
        return Err(LogWireError::Newer { offset, format: header.format });
    }
    let entry: EntryWire = serde_json::from_slice(body).map_err(|e| unreadable(e.to_string()))?;
    let facts: Result<Vec<LogFact>, LogWireError> =
        entry.facts.into_iter().map(LogFact::try_from).collect();
    Ok(LogEntry { offset, at, facts: facts? })
}

impl From<LogFact> for FactWire {
    fn from(fact: LogFact) -> Self {
        Self { id: fact.id.into(), body: fact.body.into() }
    }
}

impl TryFrom<FactWire> for LogFact {
    type Error = LogWireError;

    fn try_from(fact: FactWire) -> Result<Self, LogWireError> {
        Ok(Self { id: fact.id.try_into()?, body: fact.body.try_into()? })
    }
}

impl From<FactBody> for BodyWire {
    fn from(body: FactBody) -> Self {
        match body {
            FactBody::Proposal { file, base, author, text } => {
                BodyWire::Proposal { file: file.into(), base: base.0, author, text }
            }
            FactBody::Quarantine { content, duration_ms, evidence } => BodyWire::Quarantine {
                content: smol_str::format_smolstr!("{content}"),
                duration_ms,
                evidence,
            },
            FactBody::Claim { key, claimant, content, seen } => BodyWire::Claim {
                workspace: key.workspace.into(),
                key: key.key.into(),
                claimant: claimant.into(),
                content: smol_str::format_smolstr!("{content}"),
                seen_ms: seen.0,
            },
            FactBody::Close { key, claim, outcome, memory_ms } => {
                let (status, body) = match outcome {
                    CallOutcome::Answered { status, body } => (Some(status), body),
                    CallOutcome::Unknown => (None, Vec::new()),
                };
                BodyWire::Close {
                    workspace: key.workspace.into(),
                    key: key.key.into(),
                    claim: claim.into(),
                    status,
                    body,
                    memory_ms,
                }
            }
            FactBody::Release { key, claim } => BodyWire::Release {
                workspace: key.workspace.into(),
                key: key.key.into(),
                claim: claim.into(),
            },
            FactBody::Checkpoint { next, as_of, digest, part, parts, body } => {
                BodyWire::Checkpoint {
                    next: next.0,
                    as_of_ms: as_of.0,
                    digest: smol_str::format_smolstr!("{digest}"),
                    part,
                    parts,
                    body,
                }
            }
        }
    }
}

impl TryFrom<BodyWire> for FactBody {
    type Error = LogWireError;

    fn try_from(body: BodyWire) -> Result<Self, LogWireError> {
        Ok(match body {
            BodyWire::Proposal { file, base, author, text } => {
                FactBody::Proposal { file: file.try_into()?, base: Revision(base), author, text }
            }
            BodyWire::Quarantine { content, duration_ms, evidence } => {
                FactBody::Quarantine { content: content.parse()?, duration_ms, evidence }
            }
            BodyWire::Claim { workspace, key, claimant, content, seen_ms } => FactBody::Claim {
                key: claim_key(workspace, key)?,
                claimant: claimant.try_into()?,
                content: content.parse()?,
                seen: WallMillis(seen_ms),
            },
            BodyWire::Close { workspace, key, claim, status, body, memory_ms } => FactBody::Close {
                key: claim_key(workspace, key)?,
                claim: claim.try_into()?,
                outcome: match status {
                    Some(status) => CallOutcome::Answered { status, body },
                    None => CallOutcome::Unknown,
                },
                memory_ms,
            },
            BodyWire::Release { workspace, key, claim } => {
                FactBody::Release { key: claim_key(workspace, key)?, claim: claim.try_into()? }
            }
            BodyWire::Checkpoint { next, as_of_ms, digest, part, parts, body } => {
                FactBody::Checkpoint {
                    next: LogOffset(next),
                    as_of: WallMillis(as_of_ms),
                    digest: digest.parse()?,
                    part,
                    parts,
                    body,
                }
            }
        })
    }
}

fn claim_key(workspace: SmolStr, key: SmolStr) -> Result<ClaimKey, IdError> {
    Ok(ClaimKey { workspace: workspace.try_into()?, key: key.try_into()? })
}

/// Encodes bytes as base64 text in JSON.
mod base64_text {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], out: S) -> Result<S::Ok, S::Error> {
        out.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(input)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}
