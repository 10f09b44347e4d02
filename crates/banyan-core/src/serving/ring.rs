//! A ring of the live instances, in the same order on every instance: [`InstanceRing`].

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::InstanceId;
use crate::ids::ZoneId;

/// The live instances with the zone of each.
pub type LiveInstances = BTreeMap<InstanceId, ZoneId>;

/// The live instances in zone order, by hash within a zone, with the position of this instance.
///
/// Rebuilt when the instance list changes, so that the lookups of each round are cheap.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct InstanceRing {
    /// The instances with their zones.
    pub order: Vec<(InstanceId, ZoneId)>,
    /// The index of this instance. Invariant: below the length of `order`.
    pub position: usize,
}

impl InstanceRing {
    /// The ring from this instance's position, or `None` if the list does not contain it.
    pub fn of(live: &LiveInstances, own: &InstanceId) -> Option<Self> {
        let mut order: Vec<(InstanceId, ZoneId)> =
            live.iter().map(|(instance, zone)| (instance.clone(), zone.clone())).collect();
        order.sort_by_cached_key(|(instance, zone)| (zone.clone(), name_hash(instance.as_str())));
        let position = order.iter().position(|(instance, _)| instance == own)?;
        Some(Self { order, position })
    }

    /// The instance that is `offset` positions after this one.
    pub fn instance_after(&self, offset: usize) -> &InstanceId {
        &self.order[(self.position + offset) % self.order.len()].0
    }
}

/// The hash by which instances and targets are ordered.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
