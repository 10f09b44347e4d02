//! What our instances say to each other, over tarpc.
//!
//! Everything here is soft state or a relay of what the log already holds: nothing that a peer says
//! can make an action safe that the log's fold does not allow.

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
    /// What it knows about targets, suspects and demands.
    pub news: NewsDigest,
}

/// Soft state that goes round among peers; see [`ExchangeDigest`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct NewsDigest {
    /// Targets that are leaving, with the age of the sign in milliseconds.
    pub leaving: Vec<(SmolStr, u64)>,
    /// Contents that were in flight where a target crashed.
    pub suspects: Vec<SuspectDigest>,
    /// Demand of workspaces, in thousandths a second.
    pub usage: Vec<(SmolStr, u64)>,
    /// Whether every workspace that `usage` does not name has none.
    pub usage_whole: bool,
    /// The digest of the list of targets that the loads' places refer to.
    pub listing: u64,
    /// Loads of targets.
    pub loads: Vec<LoadDigest>,
}

/// The load of a target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadDigest {
    /// The target's place in the list of declared targets.
    pub place: u32,
    /// Steps running or waiting there.
    pub load: u16,
    /// Streams kept there.
    pub streams: u16,
    /// How long ago that was measured, in milliseconds.
    pub age_ms: u16,
    /// What answers took beyond the step at the teller, if any came lately.
    pub link: Option<LinkDigest>,
}

/// What answers of a target took beyond the step.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LinkDigest {
    /// The time beyond the step, in microseconds.
    pub excess_us: u32,
    /// How long ago that was observed, in milliseconds.
    pub age_ms: u16,
}

/// A content that may crash targets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectDigest {
    /// The content's digest.
    pub content: u64,
    /// The targets that crashed while it was in flight there, with their runs.
    pub crashes: Vec<(SmolStr, SmolStr)>,
}

impl From<ExchangeDigest> for NewsDigest {
    fn from(digest: ExchangeDigest) -> Self {
        let leaving = digest.leaving.into_iter();
        let usage = digest.usage.rows.into_iter();
        Self {
            leaving: leaving.map(|(target, age)| (target.into(), millis(age))).collect(),
            suspects: digest.suspects.into_iter().map(SuspectDigest::from).collect(),
            usage: usage.map(|(workspace, demand)| (workspace.into(), demand)).collect(),
            usage_whole: digest.usage.whole,
            listing: digest.listing,
            loads: digest.loads.into_iter().map(LoadDigest::from).collect(),
        }
    }
}

impl TryFrom<NewsDigest> for ExchangeDigest {
    type Error = IdError;

    fn try_from(news: NewsDigest) -> Result<Self, IdError> {
        let mut leaving = Vec::new();
        for (target, age_ms) in news.leaving {
            leaving.push((target.try_into()?, Duration::from_millis(age_ms)));
        }
        let mut rows = BTreeMap::new();
        for (workspace, demand) in news.usage {
            rows.insert(workspace.try_into()?, demand);
        }
        let suspects: Result<Vec<SuspectEntry>, IdError> =
            news.suspects.into_iter().map(SuspectEntry::try_from).collect();
        Ok(Self {
            leaving,
            suspects: suspects?,
            usage: UsagePage { rows, whole: news.usage_whole },
            listing: news.listing,
            loads: news.loads.into_iter().map(LoadEntry::from).collect(),
        })
    }
}

impl From<LoadEntry> for LoadDigest {
    fn from(news: LoadEntry) -> Self {
        let LoadEntry { place, load, streams, age, link } = news;
        let (load, streams) = (short(load.into()), short(streams.into()));
        Self { place, load, streams, age_ms: short(millis(age)), link: link.map(LinkDigest::from) }
    }
}

impl From<LoadDigest> for LoadEntry {
    fn from(digest: LoadDigest) -> Self {
        let LoadDigest { place, load, streams, age_ms, link } = digest;
        let age = Duration::from_millis(age_ms.into());
        let link = link.map(LinkEntry::from);
        Self { place, load: load.into(), streams: streams.into(), age, link }
    }
}

impl From<LinkEntry> for LinkDigest {
    fn from(news: LinkEntry) -> Self {
        let excess_us = u32::try_from(news.excess.as_micros()).unwrap_or(u32::MAX);
        Self { excess_us, age_ms: short(millis(news.age)) }
    }
}

impl From<LinkDigest> for LinkEntry {
    fn from(digest: LinkDigest) -> Self {
        let excess = Duration::from_micros(digest.excess_us.into());
        Self { excess, age: Duration::from_millis(digest.age_ms.into()) }
    }
}

/// A number as two bytes; news with greater ones are of no use in any case.
fn short(number: u64) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

impl From<SuspectEntry> for SuspectDigest {
    fn from(news: SuspectEntry) -> Self {
        let crashes = news.crashes.into_iter();
        let crashes = crashes.map(|(target, run)| (target.into(), run)).collect();
        Self { content: news.content.0, crashes }
    }
}

impl TryFrom<SuspectDigest> for SuspectEntry {
    type Error = IdError;

    fn try_from(digest: SuspectDigest) -> Result<Self, IdError> {
        let mut crashes = BTreeSet::new();
        for (target, run) in digest.crashes {
            crashes.insert((target.try_into()?, run));
        }
        Ok(Self { content: ContentDigest(digest.content), crashes })
    }
}

fn millis(age: Duration) -> u64 {
    age.as_millis() as u64
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
