//! The protocol between forwarding daemons, over tarpc.
//!
//! - A [`ForwardDigest`] is soft state: what the sender knows about its own requests and the
//!   targets, and how much of the platform's data it has read.
//! - A [`ForwardSnapshot`] is the data that the sender has read from the platform, for an instance
//!   that cannot reach the platform itself.
//! - A [`FeedUpdate`] is the data read since a position, for instances that rely on another
//!   instance to read the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

use banyan_core::ids::LayerRange;
use banyan_core::ids::LogOffset;
use banyan_core::ids::ServiceId;
use banyan_core::ids::StoreEra;
use banyan_core::ids::TargetId;
use banyan_core::ids::ZoneId;
use banyan_core::pipeline::crashes::RequestTrait;
use banyan_core::pipeline::crashes::TraitKind;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::fleet::LeavingNote;
use banyan_core::pipeline::fleet::TargetPhase;
use banyan_core::pipeline::fleet::TargetReport;
use banyan_core::pipeline::load::TargetLoad;
use banyan_core::pipeline::log_position::LogPosition;
use banyan_core::pipeline::report_stamp::ReportStamp;
use banyan_core::pipeline::suspicion::CheckOutcome;
use banyan_core::record::ContentDigest;
use banyan_core::units::Moment;

/// The calls that a peer answers. tarpc generates `ForwardServiceClient` from this trait.
#[tarpc::service]
pub trait ForwardService {
    /// Exchanges digests, so that both sides learn from each other.
    async fn exchange(digest: ForwardDigest) -> ForwardDigest;
    /// Returns the configuration and the targets that this peer knows.
    async fn snapshot() -> ForwardSnapshot;
    /// Returns the data that this peer has read from the platform after a position. Waits for a
    /// limited time if there is none.
    async fn news(behind: FeedPosition) -> FeedUpdate;
    /// Tells the peer which targets changed the limit that they name.
    async fn report_limits(limits: Vec<LimitWire>);
    /// Checks targets for the caller and returns one outcome for each, in the same order. Waits
    /// for probes for a limited time. Empty if a name is invalid.
    async fn check(targets: Vec<SmolStr>) -> Vec<CheckWire>;
    /// Tells the peer which requests may crash targets, as soon as that is suspected. Returns the
    /// traits that the peer knows to be sound.
    async fn report_suspects(suspects: Vec<SuspectWire>) -> Vec<ClearedWire>;
}

/// A position in one stream of the platform's log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PositionWire {
    /// How often the store had come back from a copy.
    pub era: u64,
    /// The offset within that era.
    pub offset: u64,
}

impl From<LogPosition> for PositionWire {
    fn from(position: LogPosition) -> Self {
        Self { era: position.era.0, offset: position.offset.0 }
    }
}

impl From<PositionWire> for LogPosition {
    fn from(wire: PositionWire) -> Self {
        Self { era: StoreEra(wire.era), offset: LogOffset(wire.offset) }
    }
}

/// How much of the platform's data an instance has read.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FeedPosition {
    /// The version of the configuration in force; zero if there is none.
    pub configuration: u64,
    /// The position of the first change of the targets that has not been read; absent if the full
    /// list is needed.
    pub fleet_next: Option<PositionWire>,
}

/// The platform's data that one instance passes on to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FeedUpdate {
    /// Whether the sender has the data from another instance that reads the store.
    pub relayed: bool,
    /// The age of the data, in milliseconds; absent if the sender passes on none.
    pub read_age_ms: Option<u64>,
    /// The compressed configuration record if it is newer than the requested position; otherwise
    /// empty.
    pub configuration: Vec<u8>,
    /// The changes of the targets since the requested position, or all targets.
    pub fleet: FleetUpdate,
    /// The position of the first change of the targets that the sender has not read.
    pub fleet_next: PositionWire,
}

/// The changes of the targets, or the whole list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetUpdate {
    /// The changes since the requested position.
    Changes(Vec<FleetChangeWire>),
    /// All targets, if the sender no longer keeps the changes since that position.
    Listing(Vec<TargetWire>),
}

/// A change of one target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetChangeWire {
    /// The target published this record.
    Reported(TargetWire),
    /// The record of the target with this id was removed.
    Removed(SmolStr),
}

/// The state that an instance sends to a peer in each exchange.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardDigest {
    /// The sender's instance name.
    pub instance: SmolStr,
    /// The sender's availability zone.
    pub zone: SmolStr,
    /// The address where the sender answers its peers.
    pub address: SocketAddr,
    /// What the sender can spend on work for others, in thousandths of a processor core.
    pub capacity_millicores: u32,
    /// Whether the sender passes on what an instance of another zone has read.
    pub relays: bool,
    /// The age of the platform's data that the sender passes on, in milliseconds; absent if it
    /// passes on none.
    pub read_age_ms: Option<u64>,
    /// The version of the configuration in force at the sender; zero if there is none.
    pub configuration: u64,
    /// The position of the first change of the targets that the sender has not read.
    pub fleet_next: PositionWire,
    /// The load of the sender's requests in flight, by target.
    pub loads: Vec<LoadWire>,
    /// Targets that did not answer the sender.
    pub unreachable: Vec<SmolStr>,
    /// Layers that targets recently reported to the sender directly, if their records differ.
    pub observed: Vec<ObservedWire>,
    /// Engines that recently reported to the sender that they are slow.
    pub slow: Vec<SlowWire>,
    /// The requests that may crash targets, those with the newest crashes first.
    pub suspects: Vec<SuspectWire>,
    /// The targets that named a limit recently.
    pub limits: Vec<LimitWire>,
    /// The targets that said that they leave while their records do not say it yet.
    pub leaving: Vec<LeavingWire>,
    /// The generation of the group, as the sender last received it.
    pub generation: u64,
    /// Whether the sender is the leader.
    pub leads: bool,
    /// The layers that the sender has ordered and that engines may still be loading.
    pub ordered: Vec<OrderedWire>,
    /// The members of the group that the sender heard of recently, and the sender if it is one.
    /// Empty in a small fleet.
    pub members: Vec<MemberWire>,
    /// The instance of the sender's zone from which the sender gets the platform's data, if it gets
    /// it from one. Absent in a small fleet.
    pub follows: Option<SourceWire>,
}

/// An instance that passes on the platform's data within its zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SourceWire {
    /// Its instance name.
    pub instance: SmolStr,
    /// The address where it answers its peers.
    pub address: SocketAddr,
    /// What it can spend on work for others, in thousandths of a processor core.
    pub capacity_millicores: u32,
    /// Whether it passes on what an instance of another zone has read.
    pub relays: bool,
}

/// What a member of the group states about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberWire {
    /// The member's instance name.
    pub instance: SmolStr,
    /// The member's availability zone.
    pub zone: SmolStr,
    /// The generation of the group that it knows.
    pub generation: u64,
    /// Whether it leads.
    pub leads: bool,
    /// The age of the statement, in milliseconds.
    pub age_ms: u64,
    /// The time since the group last answered the member, in milliseconds.
    pub confirmed_age_ms: u64,
}

/// What a checker knows about a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CheckWire {
    /// It forwarded a token or answered a probe this long ago.
    Alive {
        /// The time since then, in milliseconds.
        age_ms: u64,
    },
    /// A recent probe failed.
    Unreachable,
    /// A probe has not been answered yet.
    Unknown,
}

impl From<CheckOutcome> for CheckWire {
    fn from(outcome: CheckOutcome) -> Self {
        match outcome {
            CheckOutcome::Alive(age) => Self::Alive { age_ms: age.as_millis() as u64 },
            CheckOutcome::Unreachable => Self::Unreachable,
            CheckOutcome::Unknown => Self::Unknown,
        }
    }
}

impl From<CheckWire> for CheckOutcome {
    fn from(wire: CheckWire) -> Self {
        match wire {
            CheckWire::Alive { age_ms } => Self::Alive(Duration::from_millis(age_ms)),
            CheckWire::Unreachable => Self::Unreachable,
            CheckWire::Unknown => Self::Unknown,
        }
    }
}

/// A property of requests that may crash targets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TraitWire {
    /// The digest of a request's whole content.
    Content(u64),
    /// The digest of one part of a prompt.
    PromptPart(u64),
}

impl From<RequestTrait> for TraitWire {
    fn from(key: RequestTrait) -> Self {
        match key.kind {
            TraitKind::Content => Self::Content(key.digest.0),
            TraitKind::PromptPart => Self::PromptPart(key.digest.0),
        }
    }
}

impl From<TraitWire> for RequestTrait {
    fn from(wire: TraitWire) -> Self {
        let (kind, digest) = match wire {
            TraitWire::Content(digest) => (TraitKind::Content, digest),
            TraitWire::PromptPart(digest) => (TraitKind::PromptPart, digest),
        };
        Self { kind, digest: ContentDigest(digest) }
    }
}

/// A crash of a target under a suspected request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashWire {
    /// The target.
    pub target: SmolStr,
    /// The start time of the run that crashed, in wall-clock milliseconds; absent if unknown.
    pub run: Option<u64>,
    /// Whether the target left the request without an answer, so that the time is not exact.
    pub silent: bool,
    /// The time since the request was sent to it, in milliseconds.
    pub sent_age_ms: u64,
    /// The time since the crash was noticed, or since the attempt without an answer ended, in
    /// milliseconds.
    pub age_ms: u64,
}

/// A suspected trait with the crashes under it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectWire {
    /// The trait.
    pub key: TraitWire,
    /// The crashes, oldest first.
    pub crashes: Vec<CrashWire>,
}

/// A trait with which an answer went well.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClearedWire {
    /// The trait.
    pub key: TraitWire,
    /// The time since that answer, in milliseconds.
    pub age_ms: u64,
}

/// A target's limit for all instances together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitWire {
    /// The target.
    pub target: SmolStr,
    /// The limit in thousandths of a request per second; absent if there is none any more.
    pub thousandths: Option<u64>,
    /// The time since the target said so, in milliseconds.
    pub age_ms: u64,
}

/// A target that said in an answer that it leaves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingWire {
    /// The target.
    pub target: SmolStr,
    /// When the run that leaves started, in milliseconds since the Unix epoch, if it is known.
    pub born: Option<u64>,
    /// The time since the target said so, in milliseconds.
    pub age_ms: u64,
}

impl LeavingWire {
    /// The target and what it said, for an instance that receives the message at `now`.
    pub fn note(self, now: Moment) -> (TargetId, LeavingNote) {
        let heard = now.before(Duration::from_millis(self.age_ms));
        (TargetId::new(self.target), LeavingNote { born: self.born, heard })
    }
}

/// The layers that an engine has been ordered to hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderedWire {
    /// The engine.
    pub target: SmolStr,
    /// The first layer and the exclusive end.
    pub range: (u32, u32),
    /// The time until the order is considered lost, in milliseconds.
    pub left_ms: u64,
}

/// An engine's report that it is slow.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlowWire {
    /// The engine.
    pub target: SmolStr,
    /// The duration of its work relative to the usual duration, in thousandths.
    pub factor_thousandths: u32,
    /// The age of the report, in milliseconds.
    pub age_ms: u64,
}

/// The layers that a target reported directly to an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObservedWire {
    /// The target.
    pub target: SmolStr,
    /// The first layer and the exclusive end of each range that the target holds.
    pub held: Vec<(u32, u32)>,
    /// The age of the report, in milliseconds.
    pub age_ms: u64,
}

/// The load of one instance's requests in flight at one target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadWire {
    /// The target.
    pub target: SmolStr,
    /// The sum over these requests of their tokens times the layers that they pass through at the
    /// target.
    pub token_layers: u64,
    /// The number of these requests.
    pub requests: u32,
}

/// The data that a peer has read from the platform.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardSnapshot {
    /// The newest configuration record, compressed; empty if there is none.
    pub configuration: Vec<u8>,
    /// The position of the first change of the targets that the peer has not read.
    pub fleet_next: PositionWire,
    /// All targets that the peer knows.
    pub fleet: Vec<TargetWire>,
}

/// A target's record, as a peer knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetWire {
    /// The target's id.
    pub id: SmolStr,
    /// The service that the target belongs to.
    pub service: SmolStr,
    /// The address for requests.
    pub address: SocketAddr,
    /// The target's availability zone.
    pub zone: SmolStr,
    /// Whether the target is draining and accepts no new work.
    pub draining: bool,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The kind of the target's accelerator, for engines.
    pub kind: Option<SmolStr>,
    /// The first layer and the exclusive end of each range that the target holds.
    pub held: Vec<(u32, u32)>,
    /// When the target started, in milliseconds since the Unix epoch. It distinguishes two runs
    /// with the same id.
    pub born: Option<u64>,
    /// The number of the report among those of the target's run.
    pub sequence: Option<u64>,
}

/// Why a message from a peer is rejected.
#[derive(Debug, Error)]
pub enum ForwardWireError {
    /// The message contains an empty or reversed range of layers.
    #[error("a peer sent the layer range {0}-{1}: the start must be below the end")]
    Layers(u32, u32),
}

impl From<(&TargetId, &TargetReport)> for TargetWire {
    fn from((id, report): (&TargetId, &TargetReport)) -> Self {
        Self {
            id: SmolStr::new(id.as_str()),
            service: SmolStr::new(report.service.as_str()),
            address: report.address,
            zone: SmolStr::new(report.zone.as_str()),
            draining: report.phase == TargetPhase::Draining,
            slots: report.slots,
            kind: report.kind.clone(),
            held: report.held.iter().map(|range| (range.first, range.end)).collect(),
            born: report.stamp.born,
            sequence: report.stamp.sequence,
        }
    }
}

impl TryFrom<TargetWire> for (TargetId, TargetReport) {
    type Error = ForwardWireError;

    fn try_from(wire: TargetWire) -> Result<Self, ForwardWireError> {
        let phase = if wire.draining { TargetPhase::Draining } else { TargetPhase::Ready };
        let report = TargetReport {
            service: ServiceId::new(wire.service),
            address: wire.address,
            zone: ZoneId::new(wire.zone),
            phase,
            slots: wire.slots,
            kind: wire.kind,
            held: layer_ranges(wire.held)?,
            stamp: ReportStamp { born: wire.born, sequence: wire.sequence },
        };
        Ok((TargetId::new(wire.id), report))
    }
}

impl From<FleetChange> for FleetChangeWire {
    fn from(change: FleetChange) -> Self {
        match change {
            FleetChange::Reported(id, report) => Self::Reported((&id, &report).into()),
            FleetChange::Removed(id) => Self::Removed(SmolStr::new(id.as_str())),
        }
    }
}

impl TryFrom<FleetChangeWire> for FleetChange {
    type Error = ForwardWireError;

    fn try_from(wire: FleetChangeWire) -> Result<Self, ForwardWireError> {
        match wire {
            FleetChangeWire::Reported(target) => {
                let (id, report) = target.try_into()?;
                Ok(Self::Reported(id, report))
            }
            FleetChangeWire::Removed(id) => Ok(Self::Removed(TargetId::new(id))),
        }
    }
}

/// Validates layer ranges from a peer.
pub fn layer_ranges(wire: Vec<(u32, u32)>) -> Result<Vec<LayerRange>, ForwardWireError> {
    wire.into_iter().map(layer_range).collect()
}

/// Validates a layer range from a peer, given as start and exclusive end.
pub fn layer_range((first, end): (u32, u32)) -> Result<LayerRange, ForwardWireError> {
    if first < end {
        return Ok(LayerRange { first, end });
    }
    Err(ForwardWireError::Layers(first, end))
}

impl From<(&TargetId, TargetLoad)> for LoadWire {
    fn from((id, load): (&TargetId, TargetLoad)) -> Self {
        let target = SmolStr::new(id.as_str());
        Self { target, token_layers: load.token_layers, requests: load.requests }
    }
}

impl From<LoadWire> for (TargetId, TargetLoad) {
    fn from(wire: LoadWire) -> Self {
        let LoadWire { target, token_layers, requests } = wire;
        let load = TargetLoad { token_layers, requests, ..TargetLoad::default() };
        (TargetId::new(target), load)
    }
}
