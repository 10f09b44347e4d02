//! What our instances say to each other, over tarpc.
//!
//! Everything here is soft state or a relay of what the log already holds: nothing that a peer says
//! can make an action safe that the log's fold does not allow.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The calls that a peer answers. tarpc makes `PeerServiceClient` from it.
#[tarpc::service]
pub trait PeerService {
    /// Exchanges digests; both sides learn.
    async fn exchange(digest: PeerDigest) -> PeerDigest;
    /// Entries of a stream from an offset on, as this peer read them from the log.
    async fn relay(stream: SmolStr, from: u64) -> RelayReply;
    /// The state of all folds, for an instance that starts while the log is down.
    async fn snapshot() -> SnapshotReply;
    /// Appends a claim for the caller, in a batch with others, and gives the fold's verdict.
    async fn claim(order: ClaimOrder) -> ClaimReply;
    /// Appends facts for the caller, in a batch with others; says whether they have landed.
    async fn deliver(order: DeliverOrder) -> bool;
    /// Begins or ends a suspect's trial on a target that the peer referees.
    async fn trial(order: TrialOrder) -> bool;
}

/// Asks a target's referee whether a suspect may run there, or tells that its step has ended.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TrialOrder {
    /// The target.
    pub target: SmolStr,
    /// The suspect's content digest.
    pub content: u64,
    /// Whether the trial begins; otherwise it has ended.
    pub begins: bool,
}

/// What an instance tells in each exchange. Bounded in size: deltas since the last one.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PeerDigest {
    /// Who speaks.
    pub instance: SmolStr,
    /// Its run.
    pub incarnation: SmolStr,
    /// Its zone.
    pub zone: SmolStr,
    /// The hybrid stamp, so that clocks stay causal.
    pub stamp: SmolStr,
    /// The revision in force there.
    pub revision: u64,
    /// The next offset it will fold, by stream.
    pub next: Vec<(SmolStr, u64)>,
    /// Milliseconds since it last read the log.
    pub log_silent_ms: u64,
    /// Whether it is draining.
    pub draining: bool,
    /// What changed about targets.
    pub targets: Vec<TargetDigest>,
    /// Use of each workspace since the last exchange.
    pub usage: Vec<UsageDigest>,
    /// Contents that were in flight where a target crashed.
    pub suspects: Vec<SuspectDigest>,
}

/// What an instance knows of a target.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetDigest {
    /// The target.
    pub target: SmolStr,
    /// Whether it is known to leave.
    pub leaving: bool,
    /// Whether it is suspected.
    pub suspected: bool,
    /// Steps queued or running there, as last reported or corrected.
    pub load: u32,
}

/// How much a workspace used.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageDigest {
    /// The workspace.
    pub workspace: SmolStr,
    /// The rate of requests here, in thousandths a second.
    pub request_milli_rate: u64,
    /// The rate of tokens here, in thousandths a second.
    pub token_milli_rate: u64,
}

/// A content that may crash targets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectDigest {
    /// The content's digest.
    pub content: u64,
    /// The targets that crashed while it was in flight there, with their runs.
    pub crashes: Vec<(SmolStr, SmolStr)>,
}

/// Entries that a peer read from the log.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RelayReply {
    /// The oldest offset that the peer can relay.
    pub first: u64,
    /// The offset, platform time in milliseconds and body of each entry.
    pub entries: Vec<(u64, u64, String)>,
}

/// The state of a peer's folds.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct SnapshotReply {
    /// Who gives it.
    pub instance: SmolStr,
    /// The state of each stream's fold, as a checkpoint's body would hold it, with its `next`.
    pub folds: Vec<(SmolStr, u64, Vec<u8>)>,
}

/// A claim to append for somebody else.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClaimOrder {
    /// The claim's record id.
    pub claim: SmolStr,
    /// The workspace of the key.
    pub workspace: SmolStr,
    /// The key.
    pub key: SmolStr,
    /// The run that alone may dispatch it.
    pub claimant: SmolStr,
    /// The content's digest.
    pub content: u64,
    /// The time of the fold in which the claimant saw the key free, in milliseconds.
    pub seen_ms: u64,
    /// How long the caller waits, in milliseconds.
    pub wait_ms: u64,
}

/// Facts to append for somebody else, which may be appended twice.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DeliverOrder {
    /// The stream.
    pub stream: SmolStr,
    /// The facts, as the body of an append holds them.
    pub facts: Vec<u8>,
}

/// The fold's verdict on a claim, as read back from the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ClaimReply {
    /// It is the winning claim.
    Won,
    /// Another claim won.
    Lost {
        /// The winner's record id.
        claim: SmolStr,
        /// Who holds it.
        claimant: SmolStr,
        /// The content's digest of the winner.
        content: u64,
        /// Whether it ended, and how: status (absent if unknown) and body.
        outcome: Option<(Option<u16>, Vec<u8>)>,
    },
    /// It landed too late after the key was seen free, and can never win.
    Void,
    /// It could not be read back in time; it may still land.
    Unseen,
}
