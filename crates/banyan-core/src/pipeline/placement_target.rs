//! An engine as the planner of layers sees it: [`PlacementTarget`].

use crate::ids::LayerRange;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::units::ByteCount;

/// An engine that layers can be ordered onto.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementTarget {
    /// The engine.
    pub id: TargetId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its memory.
    pub memory: ByteCount,
    /// Its step time in thousandths of the model's step time.
    pub step_time_permille: u64,
    /// The layers that it holds or was ordered to hold.
    pub range: Option<LayerRange>,
    /// The load of its requests, in tokens times layers.
    pub load: u64,
    /// Whether it is executing an order, so that it must not get another one.
    pub busy: bool,
}
