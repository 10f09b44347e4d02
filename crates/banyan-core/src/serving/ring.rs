//! The live instances in an order that all of them share: [`InstanceRing`].

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::InstanceId;
use crate::ids::ZoneId;

/// The live instances with the zone of each.
pub type LiveInstances = BTreeMap<InstanceId, ZoneId>;

/// Live instances in zone order, and within a zone in an order by hash, with the own place.
///
/// Made anew when the instance list changes, so that what is asked of it each round is cheap.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct InstanceRing {
    /// The instances with their zones.
    pub order: Vec<(InstanceId, ZoneId)>,
    /// The index of this instance. Invariant: below the length of `order`.
    pub position: usize,
}

impl InstanceRing {
    /// The ring as this instance sees it, or `None` where the list does not hold it.
    pub fn of(live: &LiveInstances, own: &InstanceId) -> Option<Self> {
        let mut order: Vec<(InstanceId, ZoneId)> =
            live.iter().map(|(instance, zone)| (instance.clone(), zone.clone())).collect();
        order.sort_by_cached_key(|(instance, zone)| (zone.clone(), name_hash(instance.as_str())));
        let position = order.iter().position(|(instance, _)| instance == own)?;
        Some(Self { order, position })
    }

    /// The instance that stands so many places behind this one.
    pub fn behind(&self, places: usize) -> &InstanceId {
        &self.order[(self.position + places) % self.order.len()].0
    }
}

/// The hash by which instances and targets are ordered.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
