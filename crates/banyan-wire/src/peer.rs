//! The protocol between entry daemons, over tarpc.
//!
//! Apart from facts to append, messages carry only soft state and copies of data in the log. No
//! message from a peer can permit an action that the fold of the log does not allow.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use banyan_core::ids::IdError;
use banyan_core::record::ContentDigest;
use banyan_core::serving::exchange::ExchangeDigest;
use banyan_core::serving::exchange::LinkEntry;
use banyan_core::serving::exchange::LoadEntry;
use banyan_core::serving::exchange::SuspectEntry;
use banyan_core::serving::limits::UsagePage;

/// The calls that a peer answers. tarpc generates `PeerServiceClient` from this trait.
#[tarpc::service]
pub trait PeerService {
    /// Exchanges digests, so that both sides learn from each other.
    async fn exchange(digest: PeerDigest) -> PeerDigest;
    /// Returns the entries of a stream that this peer has read from the log, from an offset on.
    async fn relay(stream: SmolStr, from: u64) -> RelayReply;
    /// Returns the state of all folds, for an instance that starts while the log is down.
    async fn snapshot() -> SnapshotReply;
    /// Appends a claim for the caller, batched with others, and returns the fold's verdict.
    async fn claim(order: ClaimRequest) -> ClaimReply;
    /// Appends facts for the caller, batched with others, and returns whether all were appended.
    async fn deliver(order: DeliverRequest) -> bool;
    /// Begins or ends a suspect's trial on a target for which the peer is the referee. A suspect is
    /// a content that may crash targets; its trial is a step that runs while no other suspect runs
    /// on the target. Returns whether the trial may begin.
    async fn trial(order: TrialRequest) -> bool;
}

/// Asks the referee of a target whether a suspect content may run on that target, or reports that
/// the suspect's step has ended. The referee is the instance that permits trials on the target, at
/// most one at a time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TrialRequest {
    /// The target's id.
    pub target: SmolStr,
    /// The digest of the suspect's content.
    pub content: u64,
    /// Whether the trial begins; otherwise it has ended.
    pub begins: bool,
}

/// The data that an instance sends in each exchange. Its size is bounded.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PeerDigest {
    /// The sender's instance name.
    pub instance: SmolStr,
    /// The sender's incarnation.
    pub incarnation: SmolStr,
    /// The sender's availability zone.
    pub zone: SmolStr,
    /// The sender's hybrid timestamp. The receiver advances its own clock past it, so that
    /// timestamps respect causality.
    pub stamp: SmolStr,
    /// The revision in force at the sender.
    pub revision: u64,
    /// The next offset that the sender will fold, by stream.
    pub next: Vec<(SmolStr, u64)>,
    /// The time since the sender last read the log, in milliseconds; `u64::MAX` if it has not.
    pub log_silent_ms: u64,
    /// Whether the sender is draining.
    pub draining: bool,
    /// The sender's knowledge about targets, suspects and the demand of workspaces.
    pub news: GossipDigest,
}

/// Soft state that instances gossip; see [`ExchangeDigest`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GossipDigest {
    /// Targets that are leaving, and the age of that information in milliseconds.
    pub leaving: Vec<(SmolStr, u64)>,
    /// Contents that were in flight when a target crashed.
    pub suspects: Vec<SuspectWire>,
    /// The demand of workspaces at the sender, in thousandths of a request per second.
    pub usage: Vec<(SmolStr, u64)>,
    /// Whether `usage` lists all workspaces with demand. Otherwise it lists all of those between
    /// its first and its last entry.
    pub usage_whole: bool,
    /// A digest of the list of declared targets, into which [`TargetLoadWire::place`] is an
    /// index.
    pub listing: u64,
    /// The loads of targets.
    pub loads: Vec<TargetLoadWire>,
}

/// The load of a target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetLoadWire {
    /// The target's index in the list of declared targets.
    pub place: u32,
    /// The number of steps running or queued there.
    pub load: u16,
    /// The number of streams kept there.
    pub streams: u16,
    /// The age of the measurement, in milliseconds.
    pub age_ms: u16,
    /// The delay of the target's answers, as the sender observed it; absent if there is no recent
    /// observation.
    pub link: Option<LinkDelayWire>,
}

/// The delay of a target's answers in addition to the step's own time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LinkDelayWire {
    /// The additional delay, in microseconds.
    pub excess_us: u32,
    /// The age of the observation, in milliseconds.
    pub age_ms: u16,
}

/// A content that may crash targets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectWire {
    /// The digest of the content.
    pub content: u64,
    /// The targets that crashed while the content was in flight there, and their incarnations.
    pub crashes: Vec<(SmolStr, SmolStr)>,
}

impl From<ExchangeDigest> for GossipDigest {
    fn from(digest: ExchangeDigest) -> Self {
        let leaving = digest.leaving.into_iter();
        let usage = digest.usage.rows.into_iter();
        Self {
            leaving: leaving.map(|(target, age)| (target.into(), millis(age))).collect(),
            suspects: digest.suspects.into_iter().map(SuspectWire::from).collect(),
            usage: usage.map(|(workspace, demand)| (workspace.into(), demand)).collect(),
            usage_whole: digest.usage.whole,
            listing: digest.listing,
            loads: digest.loads.into_iter().map(TargetLoadWire::from).collect(),
        }
    }
}

impl TryFrom<GossipDigest> for ExchangeDigest {
    type Error = IdError;

    fn try_from(digest: GossipDigest) -> Result<Self, IdError> {
        let mut leaving = Vec::new();
        for (target, age_ms) in digest.leaving {
            leaving.push((target.try_into()?, Duration::from_millis(age_ms)));
        }
        let mut rows = BTreeMap::new();
        for (workspace, demand) in digest.usage {
            rows.insert(workspace.try_into()?, demand);
        }
        let suspects: Result<Vec<SuspectEntry>, IdError> =
            digest.suspects.into_iter().map(SuspectEntry::try_from).collect();
        Ok(Self {
            leaving,
            suspects: suspects?,
            usage: UsagePage { rows, whole: digest.usage_whole },
            listing: digest.listing,
            loads: digest.loads.into_iter().map(LoadEntry::from).collect(),
        })
    }
}

impl From<LoadEntry> for TargetLoadWire {
    fn from(news: LoadEntry) -> Self {
        let LoadEntry { place, load, streams, age, link } = news;
        let (load, streams) = (saturate_u16(load.into()), saturate_u16(streams.into()));
        Self {
            place,
            load,
            streams,
            age_ms: saturate_u16(millis(age)),
            link: link.map(LinkDelayWire::from),
        }
    }
}

impl From<TargetLoadWire> for LoadEntry {
    fn from(wire: TargetLoadWire) -> Self {
        let TargetLoadWire { place, load, streams, age_ms, link } = wire;
        let age = Duration::from_millis(age_ms.into());
        let link = link.map(LinkEntry::from);
        Self { place, load: load.into(), streams: streams.into(), age, link }
    }
}

impl From<LinkEntry> for LinkDelayWire {
    fn from(news: LinkEntry) -> Self {
        let excess_us = u32::try_from(news.excess.as_micros()).unwrap_or(u32::MAX);
        Self { excess_us, age_ms: saturate_u16(millis(news.age)) }
    }
}

impl From<LinkDelayWire> for LinkEntry {
    fn from(wire: LinkDelayWire) -> Self {
        let excess = Duration::from_micros(wire.excess_us.into());
        Self { excess, age: Duration::from_millis(wire.age_ms.into()) }
    }
}

/// Converts to `u16`. Greater values become `u16::MAX`, because a receiver has no use for the
/// exact value.
fn saturate_u16(number: u64) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

impl From<SuspectEntry> for SuspectWire {
    fn from(news: SuspectEntry) -> Self {
        let crashes = news.crashes.into_iter();
        let crashes = crashes.map(|(target, incarnation)| (target.into(), incarnation)).collect();
        Self { content: news.content.0, crashes }
    }
}

impl TryFrom<SuspectWire> for SuspectEntry {
    type Error = IdError;

    fn try_from(wire: SuspectWire) -> Result<Self, IdError> {
        let mut crashes = BTreeSet::new();
        for (target, incarnation) in wire.crashes {
            crashes.insert((target.try_into()?, incarnation));
        }
        Ok(Self { content: ContentDigest(wire.content), crashes })
    }
}

fn millis(age: Duration) -> u64 {
    age.as_millis() as u64
}

/// Log entries that a peer has read.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RelayReply {
    /// The oldest offset that the peer can relay.
    pub first: u64,
    /// The offset, the platform's timestamp in milliseconds and the body of each entry.
    pub entries: Vec<(u64, u64, String)>,
}

/// The state of all folds of a peer.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct SnapshotReply {
    /// The peer's instance name.
    pub instance: SmolStr,
    /// For each stream: its name, the next offset to fold and the state, encoded as in a
    /// checkpoint.
    pub folds: Vec<(SmolStr, u64, Vec<u8>)>,
}

/// A request to append a claim for the sender.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClaimRequest {
    /// The claim's record id.
    pub claim: SmolStr,
    /// The workspace that the key belongs to.
    pub workspace: SmolStr,
    /// The idempotency key.
    pub key: SmolStr,
    /// The only incarnation that may dispatch the call.
    pub claimant: SmolStr,
    /// The digest of the call's content.
    pub content: u64,
    /// The fold's time at which the claimant saw the key free, in milliseconds.
    pub seen_ms: u64,
    /// How long the sender waits for the verdict, in milliseconds.
    pub wait_ms: u64,
}

/// A request to append facts for the sender. Appending the same facts twice has no further effect.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DeliverRequest {
    /// The stream's name.
    pub stream: SmolStr,
    /// The facts, encoded as the body of an append.
    pub facts: Vec<u8>,
}

/// The result of a [`ClaimRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ClaimReply {
    /// The claim won the key.
    Won,
    /// Another claim won the key.
    Lost {
        /// The winning claim's record id.
        claim: SmolStr,
        /// The incarnation that holds the winning claim.
        claimant: SmolStr,
        /// The digest of the winning call's content.
        content: u64,
        /// The winning call's outcome: status (absent if unknown) and body. Absent while the claim
        /// is open.
        outcome: Option<(Option<u16>, Vec<u8>)>,
    },
    /// The claim can never win: it was released, or it was appended too late after its claimant
    /// saw the key free.
    Void,
    /// The verdict is not known: the claim could not be read back in time, was not accepted into
    /// the queue or was malformed. It may still be appended.
    Unseen,
}
