//! The read-back port of an entry daemon, over HTTP with JSON answers.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /operator/status` | [`StatusReply`] |
//! | `GET /operator/in-force` | [`InForceReply`] |
//! | `GET /operator/revision` | [`RevisionReply`]: small, to be asked often and of many |
//! | `GET /operator/verdict/{record id}` | [`VerdictReply`] |
//! | `GET /operator/events?after=STAMP` | [`EventsReply`] |
//! | `GET /metrics` | metrics in the usual text format |

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use banyan_core::event::TimelineEvent;
use banyan_core::ids::IdError;

/// What one instance is and sees.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StatusReply {
    /// The instance's name.
    pub instance: SmolStr,
    /// This run of it.
    pub incarnation: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Whether it takes new requests, and if not, why.
    pub ready: ReadinessWire,
    /// The revision in force here.
    pub revision: u64,
    /// Whether the log answers, and since when it does not.
    pub log: LogStatus,
    /// Requests under way.
    pub active: u64,
    /// Requests waiting.
    pub queued: u64,
    /// The targets as this instance sees them.
    pub targets: Vec<TargetStatus>,
    /// The peers as this instance sees them.
    pub peers: Vec<PeerStatus>,
    /// Claims that this instance holds open.
    pub open_claims: Vec<ClaimStatus>,
    /// Contents in quarantine.
    pub quarantines: Vec<QuarantineStatus>,
}

/// Whether an instance takes new requests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadinessWire {
    /// Whether it does.
    pub ready: bool,
    /// Why not; empty where it does.
    pub reason: SmolStr,
}

/// How an instance sees the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogStatus {
    /// Whether the newest read succeeded.
    pub reachable: bool,
    /// Milliseconds since the newest read that did.
    pub silent_ms: u64,
    /// The next offset to fold, by stream.
    pub next: std::collections::BTreeMap<SmolStr, u64>,
    /// Where the state at the start came from: `log`, `checkpoint` or a peer's name.
    pub started_from: SmolStr,
}

/// How an instance sees a target.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetStatus {
    /// The target's id.
    pub target: SmolStr,
    /// `trusted`, `suspected` or `leaving`.
    pub state: SmolStr,
    /// Why, in a short sentence.
    pub reason: SmolStr,
    /// Steps or calls of this instance under way there.
    pub in_flight: u64,
    /// The smoothed time of a step or call, in microseconds.
    pub latency_us: u64,
}

/// How an instance sees a peer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    /// The peer's name.
    pub peer: SmolStr,
    /// `trusted`, `suspected`, `leaving` or `unheard`.
    pub state: SmolStr,
    /// The revision in force there, as it last said.
    pub revision: u64,
    /// Milliseconds since it was last heard.
    pub silent_ms: u64,
}

/// A claim held open.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimStatus {
    /// The workspace and key.
    pub key: SmolStr,
    /// The claim's record id.
    pub claim: SmolStr,
    /// The run that holds it.
    pub claimant: SmolStr,
}

/// A content in quarantine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineStatus {
    /// The content's digest.
    pub content: SmolStr,
    /// Until when, in milliseconds of the Unix epoch.
    pub until_ms: u64,
}

/// The declarations in force on one instance.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct InForceReply {
    /// The instance's name.
    pub instance: SmolStr,
    /// The revision in force here.
    pub revision: u64,
    /// The files.
    pub files: Vec<FileWire>,
}

/// The revision in force on one instance.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RevisionReply {
    /// The instance's name.
    pub instance: SmolStr,
    /// The revision in force here.
    pub revision: u64,
    /// Whether the newest read of the log succeeded.
    pub log_reachable: bool,
}

/// A declaration file in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FileWire {
    /// The name it was applied under.
    pub file: SmolStr,
    /// Its revision.
    pub revision: u64,
    /// Who applied it.
    pub author: SmolStr,
    /// Its text.
    pub text: String,
}

/// What became of a proposal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum VerdictReply {
    /// This instance has not read it.
    Unseen,
    /// It is in force from this revision on.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// Another operator was first.
    Conflict {
        /// The file's revision in force.
        current: u64,
        /// Who applied that one.
        winner: SmolStr,
    },
    /// The file is not valid.
    Invalid {
        /// What is wrong, and the remedy.
        message: String,
    },
}

/// Events of one process.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EventsReply {
    /// The process: an instance or target name.
    pub process: SmolStr,
    /// Events that were forgotten for want of room.
    pub dropped: u64,
    /// The events, oldest first.
    pub events: Vec<EventWire>,
}

/// One event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EventWire {
    /// The stamp, `MILLIS.COUNTER`.
    pub stamp: SmolStr,
    /// The kind's name.
    pub kind: SmolStr,
    /// The request, or empty.
    pub request: SmolStr,
    /// The target, or empty.
    pub target: SmolStr,
    /// A short sentence.
    pub detail: SmolStr,
}

impl From<TimelineEvent> for EventWire {
    fn from(event: TimelineEvent) -> Self {
        Self {
            stamp: smol_str::format_smolstr!("{}", event.stamp),
            kind: smol_str::format_smolstr!("{}", event.kind),
            request: event.request,
            target: event.target,
            detail: event.detail,
        }
    }
}

impl TryFrom<EventWire> for TimelineEvent {
    type Error = IdError;

    fn try_from(event: EventWire) -> Result<Self, IdError> {
        Ok(Self {
            stamp: event.stamp.parse()?,
            kind: event.kind.parse()?,
            request: event.request,
            target: event.target,
            detail: event.detail,
        })
    }
}
