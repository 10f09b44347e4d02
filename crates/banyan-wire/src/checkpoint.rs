//! The state of a fold in postcard format, for the body of a checkpoint and the snapshot of a peer.
//!
//! The body begins with [`CHECKPOINT_FORMAT`], so that a program of another version reports the
//! version mismatch instead of misreading the state. The main types are [`ConfigurationWire`] and
//! [`ClaimsWire`].

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use thiserror::Error;

use banyan_core::fold::ClaimRow;
use banyan_core::fold::ClaimSnapshot;
use banyan_core::fold::ClaimState;
use banyan_core::fold::ConfigurationSnapshot;
use banyan_core::fold::FileRow;
use banyan_core::fold::ProposalVerdict;
use banyan_core::ids::FileId;
use banyan_core::ids::IdError;
use banyan_core::ids::LogOffset;
use banyan_core::ids::RecordId;
use banyan_core::ids::Revision;
use banyan_core::record::CallOutcome;
use banyan_core::record::ClaimKey;
use banyan_core::record::ContentDigest;
use banyan_core::units::WallMillis;

/// The version of the state format that this program writes and reads.
pub const CHECKPOINT_FORMAT: u32 = 1;

/// Why the state of a fold could not be decoded.
#[derive(Debug, Error)]
pub enum CheckpointError {
    /// The state has another format version.
    #[error("the state is of format {0}, not {CHECKPOINT_FORMAT}: run the version that wrote it")]
    OtherFormat(u32),
    /// The state is not valid postcard data of this format.
    #[error("the state is not readable: {0}; take it from a peer that runs")]
    Unreadable(#[from] postcard::Error),
    /// An identifier in the state is malformed.
    #[error("the state names something malformed: {0}; take it from a peer that runs")]
    MalformedId(#[from] IdError),
}

/// The state of the configuration fold.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigurationWire {
    /// The first offset that has not been folded.
    pub next: u64,
    /// The fold's time, in milliseconds: the greatest timestamp of an entry so far.
    pub time: u64,
    /// The revision in force.
    pub revision: u64,
    /// The declaration files in force.
    pub files: Vec<FileRowWire>,
    /// The retained verdicts on proposals.
    pub verdicts: Vec<VerdictRowWire>,
    /// The digest of each quarantined content, and when its quarantine expires in milliseconds of
    /// the fold's time.
    pub quarantines: Vec<(u64, u64)>,
}

/// A declaration file in force.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FileRowWire {
    /// The file's name.
    pub file: SmolStr,
    /// The revision in which the file came into force.
    pub revision: u64,
    /// The operator who proposed the file.
    pub author: SmolStr,
    /// The file's text.
    pub text: String,
}

/// The verdict on a proposal.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VerdictRowWire {
    /// The proposal's record id.
    pub id: SmolStr,
    /// The offset of the proposal.
    pub offset: u64,
    /// The result of the proposal.
    pub verdict: VerdictWire,
}

/// The result of a proposal.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum VerdictWire {
    /// See [`ProposalVerdict::Accepted`].
    Accepted(u64),
    /// See [`ProposalVerdict::Conflict`].
    Conflict {
        /// The revision in force.
        current: u64,
        /// Who proposed that revision.
        winner: SmolStr,
    },
    /// See [`ProposalVerdict::Invalid`].
    Invalid(String),
}

/// The state of a claim fold.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClaimsWire {
    /// The first offset that has not been folded.
    pub next: u64,
    /// The fold's time, in milliseconds: the greatest timestamp of an entry so far.
    pub time: u64,
    /// The winning claim of each key.
    pub rows: Vec<ClaimRowWire>,
    /// The ids of released claims, and when each is dropped in milliseconds of the fold's time.
    pub released: Vec<(SmolStr, u64)>,
    /// The ids of claims that were appended too late after their claimant saw the key free, and
    /// when each is dropped in milliseconds of the fold's time.
    pub late: Vec<(SmolStr, u64)>,
}

/// The winning claim of a key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClaimRowWire {
    /// The workspace that the key belongs to.
    pub workspace: SmolStr,
    /// The idempotency key.
    pub key: SmolStr,
    /// The claim's record id.
    pub claim: SmolStr,
    /// The only incarnation that may dispatch the call.
    pub claimant: SmolStr,
    /// The digest of the claimed call's content.
    pub content: u64,
    /// The call's outcome; absent while the claim is open.
    pub closed: Option<ClosedWire>,
}

/// The outcome of a claimed call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClosedWire {
    /// The status and body of the target's response; absent if none arrived.
    pub answer: Option<(u16, Vec<u8>)>,
    /// When the outcome is dropped, in milliseconds of the fold's time.
    pub until: u64,
}

/// Encodes the state of a configuration fold.
pub fn encode_configuration(snapshot: ConfigurationSnapshot) -> Result<Vec<u8>, CheckpointError> {
    encode(&ConfigurationWire::from(snapshot))
}

/// Decodes the state of a configuration fold.
pub fn decode_configuration(body: &[u8]) -> Result<ConfigurationSnapshot, CheckpointError> {
    decode::<ConfigurationWire>(body)?.try_into()
}

/// Encodes the state of a claim fold.
pub fn encode_claims(snapshot: ClaimSnapshot) -> Result<Vec<u8>, CheckpointError> {
    encode(&ClaimsWire::from(snapshot))
}

/// Decodes the state of a claim fold.
pub fn decode_claims(body: &[u8]) -> Result<ClaimSnapshot, CheckpointError> {
    decode::<ClaimsWire>(body)?.try_into()
}

fn encode<T: Serialize>(state: &T) -> Result<Vec<u8>, CheckpointError> {
    let body = postcard::to_stdvec(&CHECKPOINT_FORMAT)?;
    Ok(postcard::to_extend(state, body)?)
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, CheckpointError> {
    let (format, rest) = postcard::take_from_bytes::<u32>(body)?;
    if format != CHECKPOINT_FORMAT {
        return Err(CheckpointError::OtherFormat(format));
    }
    Ok(postcard::from_bytes(rest)?)
}

impl From<ConfigurationSnapshot> for ConfigurationWire {
    fn from(snapshot: ConfigurationSnapshot) -> Self {
        let encode_file = |(file, row): (FileId, FileRow)| FileRowWire {
            file: file.into(),
            revision: row.revision.0,
            author: row.author,
            text: row.text.to_string(),
        };
        let encode_verdict = |(id, (offset, verdict)): (RecordId, (LogOffset, ProposalVerdict))| {
            VerdictRowWire { id: id.into(), offset: offset.0, verdict: verdict.into() }
        };
        let quarantines = snapshot.quarantines.into_iter();
        Self {
            next: snapshot.next.0,
            time: snapshot.time.0,
            revision: snapshot.revision.0,
            files: snapshot.files.into_iter().map(encode_file).collect(),
            verdicts: snapshot.verdicts.into_iter().map(encode_verdict).collect(),
            quarantines: quarantines.map(|(content, until)| (content.0, until.0)).collect(),
        }
    }
}

impl TryFrom<ConfigurationWire> for ConfigurationSnapshot {
    type Error = CheckpointError;

    fn try_from(state: ConfigurationWire) -> Result<Self, CheckpointError> {
        let mut files = BTreeMap::new();
        for row in state.files {
            let text = Arc::from(row.text);
            let revision = Revision(row.revision);
            files.insert(row.file.try_into()?, FileRow { revision, author: row.author, text });
        }
        let mut verdicts = BTreeMap::new();
        for row in state.verdicts {
            verdicts.insert(row.id.try_into()?, (LogOffset(row.offset), row.verdict.into()));
        }
        let quarantines = state.quarantines.into_iter();
        Ok(Self {
            next: LogOffset(state.next),
            time: WallMillis(state.time),
            revision: Revision(state.revision),
            files,
            verdicts,
            quarantines: quarantines
                .map(|(content, until)| (ContentDigest(content), WallMillis(until)))
                .collect(),
        })
    }
}

impl From<ProposalVerdict> for VerdictWire {
    fn from(verdict: ProposalVerdict) -> Self {
        match verdict {
            ProposalVerdict::Accepted(revision) => VerdictWire::Accepted(revision.0),
            ProposalVerdict::Conflict { current, winner } => {
                VerdictWire::Conflict { current: current.0, winner }
            }
            ProposalVerdict::Invalid(message) => VerdictWire::Invalid(message),
        }
    }
}

impl From<VerdictWire> for ProposalVerdict {
    fn from(verdict: VerdictWire) -> Self {
        match verdict {
            VerdictWire::Accepted(revision) => ProposalVerdict::Accepted(Revision(revision)),
            VerdictWire::Conflict { current, winner } => {
                ProposalVerdict::Conflict { current: Revision(current), winner }
            }
            VerdictWire::Invalid(message) => ProposalVerdict::Invalid(message),
        }
    }
}

impl From<ClaimSnapshot> for ClaimsWire {
    fn from(snapshot: ClaimSnapshot) -> Self {
        let encode_expiries = |claims: BTreeMap<RecordId, WallMillis>| {
            claims.into_iter().map(|(claim, until)| (claim.into(), until.0)).collect()
        };
        Self {
            next: snapshot.next.0,
            time: snapshot.time.0,
            rows: snapshot.rows.into_iter().map(|(key, row)| encode_claim_row(key, row)).collect(),
            released: encode_expiries(snapshot.released),
            late: encode_expiries(snapshot.late),
        }
    }
}

impl TryFrom<ClaimsWire> for ClaimSnapshot {
    type Error = CheckpointError;

    fn try_from(state: ClaimsWire) -> Result<Self, CheckpointError> {
        let rows: Result<BTreeMap<ClaimKey, ClaimRow>, CheckpointError> =
            state.rows.into_iter().map(decode_claim_row).collect();
        Ok(Self {
            next: LogOffset(state.next),
            time: WallMillis(state.time),
            rows: rows?,
            released: decode_expiries(state.released)?,
            late: decode_expiries(state.late)?,
        })
    }
}

fn decode_expiries(rows: Vec<(SmolStr, u64)>) -> Result<BTreeMap<RecordId, WallMillis>, IdError> {
    rows.into_iter().map(|(claim, until)| Ok((claim.try_into()?, WallMillis(until)))).collect()
}

fn encode_claim_row(key: ClaimKey, row: ClaimRow) -> ClaimRowWire {
    let closed = match row.state {
        ClaimState::Open => None,
        ClaimState::Closed { outcome: CallOutcome::Unknown, until } => {
            Some(ClosedWire { answer: None, until: until.0 })
        }
        ClaimState::Closed { outcome: CallOutcome::Answered { status, body }, until } => {
            Some(ClosedWire { answer: Some((status, body)), until: until.0 })
        }
    };
    ClaimRowWire {
        workspace: key.workspace.into(),
        key: key.key.into(),
        claim: row.claim.into(),
        claimant: row.claimant.into(),
        content: row.content.0,
        closed,
    }
}

fn decode_claim_row(row: ClaimRowWire) -> Result<(ClaimKey, ClaimRow), CheckpointError> {
    let key = ClaimKey { workspace: row.workspace.try_into()?, key: row.key.try_into()? };
    let state = match row.closed {
        None => ClaimState::Open,
        Some(ClosedWire { answer, until }) => {
            let answered = |(status, body)| CallOutcome::Answered { status, body };
            let outcome = answer.map_or(CallOutcome::Unknown, answered);
            ClaimState::Closed { outcome, until: WallMillis(until) }
        }
    };
    let row = ClaimRow {
        claim: row.claim.try_into()?,
        claimant: row.claimant.try_into()?,
        content: ContentDigest(row.content),
        state,
    };
    Ok((key, row))
}
