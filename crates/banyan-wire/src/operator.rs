//! The status port of an entry daemon for operators: HTTP with JSON responses.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /operator/status` | [`StatusReply`] |
//! | `GET /operator/in-force` | [`InForceReply`] |
//! | `GET /operator/revision` | [`RevisionReply`]: small, so that many instances can be polled often |
//! | `GET /operator/verdict/{record id}` | [`VerdictReply`] |
//! | `GET /operator/events?after=STAMP` | [`EventsReply`] |
//! | `GET /metrics` | metrics in the Prometheus text format |

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use banyan_core::event::TimelineEvent;
use banyan_core::ids::IdError;

/// The state of an instance.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StatusReply {
    /// The instance's name.
    pub instance: SmolStr,
    /// The instance's current incarnation.
    pub incarnation: SmolStr,
    /// The instance's availability zone.
    pub zone: SmolStr,
    /// Whether the instance accepts new requests.
    pub ready: ReadinessWire,
    /// The revision in force on this instance.
    pub revision: u64,
    /// Whether the instance can read the log.
    pub log: LogStatus,
    /// The number of requests in progress.
    pub active: u64,
    /// The number of requests waiting for admission.
    pub queued: u64,
    /// The targets, as this instance sees them.
    pub targets: Vec<TargetStatus>,
    /// The peers, as this instance sees them.
    pub peers: Vec<PeerStatus>,
    /// The claims that this instance holds open.
    pub open_claims: Vec<ClaimStatus>,
    /// The contents in quarantine.
    pub quarantines: Vec<QuarantineStatus>,
}

/// Whether an instance accepts new requests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadinessWire {
    /// Whether the instance accepts new requests.
    pub ready: bool,
    /// Why the instance accepts no new requests; empty if it accepts them.
    pub reason: SmolStr,
}

/// The log, as an instance sees it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogStatus {
    /// Whether the most recent read succeeded.
    pub reachable: bool,
    /// The time since the last successful read, in milliseconds.
    pub silent_ms: u64,
    /// The next offset to fold, by stream.
    pub next: std::collections::BTreeMap<SmolStr, u64>,
    /// The source of the state at startup: `log`, `checkpoint` or the name of a peer. If there is
    /// no state yet, a sentence that says why.
    pub started_from: SmolStr,
}

/// A target, as an instance sees it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetStatus {
    /// The target's id.
    pub target: SmolStr,
    /// `trusted`, `suspected` or `leaving`.
    pub state: SmolStr,
    /// Why the target is suspected; otherwise empty.
    pub reason: SmolStr,
    /// The number of steps or calls that this instance has in progress there.
    pub in_flight: u64,
    /// The smoothed duration of a step or call, in microseconds.
    pub latency_us: u64,
}

/// A peer, as an instance sees it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerStatus {
    /// The peer's name.
    pub peer: SmolStr,
    /// `trusted`, `suspected`, `leaving`, or `unheard` if no message has arrived from it.
    pub state: SmolStr,
    /// The revision in force at the peer, as it last reported.
    pub revision: u64,
    /// The time since its last message, in milliseconds; `u64::MAX` if none has arrived.
    pub silent_ms: u64,
}

/// A claim that an instance holds open.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimStatus {
    /// The workspace and the idempotency key, as `WORKSPACE/KEY`.
    pub key: SmolStr,
    /// The claim's record id.
    pub claim: SmolStr,
    /// The incarnation that holds the claim.
    pub claimant: SmolStr,
}

/// A content in quarantine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineStatus {
    /// The content's digest.
    pub content: SmolStr,
    /// When the quarantine expires, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// The declaration files in force on one instance.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct InForceReply {
    /// The instance's name.
    pub instance: SmolStr,
    /// The revision of the instance's configuration fold.
    pub revision: u64,
    /// The declaration files.
    pub files: Vec<FileWire>,
}

/// The revision in force on one instance.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RevisionReply {
    /// The instance's name.
    pub instance: SmolStr,
    /// The revision in force on this instance, by which it decides requests.
    pub revision: u64,
    /// Whether the most recent read of the log succeeded.
    pub log_reachable: bool,
}

/// A declaration file in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FileWire {
    /// The name under which the file was applied.
    pub file: SmolStr,
    /// The revision in which the file came into force.
    pub revision: u64,
    /// The operator who applied the file.
    pub author: SmolStr,
    /// The file's text.
    pub text: String,
}

/// The result of a proposal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum VerdictReply {
    /// This instance has not read the proposal, or no longer keeps its verdict.
    Unseen,
    /// The proposal is in force from this revision on.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// Another operator changed the file first.
    Conflict {
        /// The revision of the file in force.
        current: u64,
        /// Who applied that revision.
        winner: SmolStr,
    },
    /// The proposal is not valid.
    Invalid {
        /// What is wrong and how to fix it.
        message: String,
    },
}

/// Recent events of one process.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EventsReply {
    /// The name of the instance or target.
    pub process: SmolStr,
    /// The number of events that were discarded because the buffer was full.
    pub dropped: u64,
    /// The events, oldest first.
    pub events: Vec<EventWire>,
}

/// One event of the timeline.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EventWire {
    /// The hybrid timestamp, `MILLIS.COUNTER`.
    pub stamp: SmolStr,
    /// The name of the event's kind.
    pub kind: SmolStr,
    /// The request's id; empty if the event concerns no request.
    pub request: SmolStr,
    /// The target's id; empty if the event concerns no target.
    pub target: SmolStr,
    /// A short description.
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
