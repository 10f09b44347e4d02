//! What forwarding daemons say to each other, over tarpc.
//!
//! A digest is soft state: what its sender has under way and whom it cannot reach. A snapshot carries
//! what the sender has read from the platform, for an instance that cannot reach the platform itself;
//! news carry what came since, for instances that let another one read the platform's store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

use banyan_core::ids::IdError;
use banyan_core::ids::LayerRange;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::fleet::TargetPhase;
use banyan_core::pipeline::fleet::TargetReport;
use banyan_core::pipeline::load::TargetLoad;

/// The calls that a peer answers. tarpc makes `ForwardServiceClient` from it.
#[tarpc::service]
pub trait ForwardService {
    /// Exchanges digests; both sides learn.
    async fn exchange(digest: ForwardDigest) -> ForwardDigest;
    /// The configuration and the targets that this peer knows.
    async fn snapshot() -> ForwardSnapshot;
    /// What this peer has read from the platform behind a position; waits a while for something.
    async fn news(behind: FeedPosition) -> FeedUpdate;
}

/// How far an instance knows what the platform keeps.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FeedPosition {
    /// The version of the configuration in force; zero is none.
    pub configuration: u64,
    /// Where the changes of targets begin that are not known.
    pub fleet_next: u64,
}

/// What one instance tells another of what the platform keeps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FeedUpdate {
    /// How long ago the sender read the store, in milliseconds, if it reads the store itself.
    pub read_age_ms: Option<u64>,
    /// How long ago a call to the store last failed there, in milliseconds.
    pub trouble_age_ms: Option<u64>,
    /// The configuration record, if it is newer than the one asked about; empty is none.
    pub configuration: Vec<u8>,
    /// The targets.
    pub fleet: FleetUpdate,
    /// Where the changes of targets begin that the sender has not read.
    pub fleet_next: u64,
}

/// What changed of the targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetUpdate {
    /// The changes since the position asked about.
    Changes(Vec<FleetChangeWire>),
    /// All targets, where the changes are no longer known.
    Listing(Vec<TargetWire>),
}

/// One change of the targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetChangeWire {
    /// A target said this.
    Reported(TargetWire),
    /// The record of the target with this id was removed.
    Removed(SmolStr),
}

/// What a peer has under way and whom it cannot reach.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardDigest {
    /// Who speaks.
    pub instance: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Where it answers its peers.
    pub address: SocketAddr,
    /// How long ago it read the store, in milliseconds, if it reads the store itself.
    pub read_age_ms: Option<u64>,
    /// The version of the configuration in force there; zero is none.
    pub configuration: u64,
    /// Where the changes of targets begin that it has not read.
    pub fleet_next: u64,
    /// What it has under way.
    pub loads: Vec<LoadWire>,
    /// Targets that did not answer it.
    pub unreachable: Vec<SmolStr>,
    /// What targets themselves told it lately of their layers, where their records say otherwise.
    pub observed: Vec<ObservedWire>,
    /// Engines that told it lately that they are slow.
    pub slow: Vec<SlowWire>,
    /// The generation of the group, as it last heard it.
    pub generation: u64,
    /// Whether it leads.
    pub leads: bool,
    /// The layers that it has ordered and that engines may still be loading.
    pub ordered: Vec<OrderedWire>,
}

/// Layers that an engine was ordered to hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderedWire {
    /// The engine.
    pub target: SmolStr,
    /// The first layer and the layer behind the last one.
    pub range: (u32, u32),
    /// How long the order may still take, in milliseconds.
    pub left_ms: u64,
}

/// What an engine said of its pace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlowWire {
    /// The engine.
    pub target: SmolStr,
    /// How many times as long as usual its work takes, in thousandths.
    pub factor_thousandths: u32,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u64,
}

/// What a target said of its layers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObservedWire {
    /// The target.
    pub target: SmolStr,
    /// The first layer and the layer behind the last one of each range that it holds.
    pub held: Vec<(u32, u32)>,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u64,
}

/// What one instance has under way at one target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadWire {
    /// The target.
    pub target: SmolStr,
    /// Tokens of those requests, times the layers that they pass through there.
    pub token_layers: u64,
}

/// What a peer has read from the platform.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardSnapshot {
    /// The newest configuration record as the platform holds it; empty is none.
    pub configuration: Vec<u8>,
    /// Where the changes of targets begin that it has not read.
    pub fleet_next: u64,
    /// The targets.
    pub fleet: Vec<TargetWire>,
}

/// A target as a peer knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetWire {
    /// Its id.
    pub id: SmolStr,
    /// Its service.
    pub service: SmolStr,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Whether it is leaving.
    pub draining: bool,
    /// The most requests that it works on at once.
    pub slots: u32,
    /// The kind of its accelerator.
    pub kind: Option<SmolStr>,
    /// The first layer and the layer behind the last one of each range that it holds.
    pub held: Vec<(u32, u32)>,
    /// The wall-clock millisecond of its start.
    pub born: Option<u64>,
}

/// Why a peer's word cannot be taken.
#[derive(Debug, Error)]
pub enum ForwardWireError {
    /// It holds a name that is none.
    #[error("a peer sent a bad name: {0}")]
    Name(#[from] IdError),
    /// It holds a range of layers that is none.
    #[error("a peer sent the layers {0}-{1}: the first must be below the second")]
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
            born: report.born,
        }
    }
}

impl TryFrom<TargetWire> for (TargetId, TargetReport) {
    type Error = ForwardWireError;

    fn try_from(wire: TargetWire) -> Result<Self, ForwardWireError> {
        let phase = if wire.draining { TargetPhase::Draining } else { TargetPhase::Ready };
        let report = TargetReport {
            service: wire.service.parse()?,
            address: wire.address,
            zone: wire.zone.parse()?,
            phase,
            slots: wire.slots,
            kind: wire.kind,
            held: layer_ranges(wire.held)?,
            born: wire.born,
        };
        Ok((wire.id.parse()?, report))
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
            FleetChangeWire::Removed(id) => Ok(Self::Removed(id.parse()?)),
        }
    }
}

/// The ranges of layers in a peer's word.
pub fn layer_ranges(wire: Vec<(u32, u32)>) -> Result<Vec<LayerRange>, ForwardWireError> {
    wire.into_iter().map(layer_range).collect()
}

/// A range of layers in a peer's word.
pub fn layer_range((first, end): (u32, u32)) -> Result<LayerRange, ForwardWireError> {
    if first < end {
        return Ok(LayerRange { first, end });
    }
    Err(ForwardWireError::Layers(first, end))
}

impl From<(&TargetId, TargetLoad)> for LoadWire {
    fn from((id, load): (&TargetId, TargetLoad)) -> Self {
        Self { target: SmolStr::new(id.as_str()), token_layers: load.token_layers }
    }
}

impl TryFrom<LoadWire> for (TargetId, TargetLoad) {
    type Error = IdError;

    fn try_from(wire: LoadWire) -> Result<Self, IdError> {
        let load = TargetLoad { token_layers: wire.token_layers, ..TargetLoad::default() };
        Ok((wire.target.parse()?, load))
    }
}
