//! Which targets an instance draws from: [`narrow_groups`].
//!
//! With hundreds of instances and thousands of targets, no instance watches all targets. Each draws
//! from a bounded part of every group that it works out alone from the instance list: members take
//! turns on a ring in zone order, so that every target is near to the same number of instances, to
//! within one, and mostly to instances of its own zone.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::InstanceId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::serving::groups::TargetGroup;
use crate::serving::targets::TargetTable;

/// The targets of all groups together that an instance draws from.
const NEAR_BUDGET_TARGETS: usize = 1200;
/// The least and the most members of a group that an instance draws from, unless it has fewer.
const NEAR_MEMBERS: (usize, usize) = (4, 24);

/// The live instances with the zone of each.
pub type LiveInstances = BTreeMap<InstanceId, ZoneId>;

/// Sets the near members of every group as this instance sees them.
pub fn narrow_groups(table: &mut TargetTable, own: &InstanceId, live: &LiveInstances) {
    let order = instance_order(live);
    let Some(position) = order.iter().position(|instance| *instance == own) else { return };
    let limit = near_limit(table.groups.all().count());
    let rows = &table.rows;
    for group in table.groups.all_mut() {
        let zone_of = |target: &TargetId| rows.get(target).map(|row| row.spec.zone.clone());
        narrow_group(group, position, order.len(), limit, zone_of);
    }
}

/// The members of each group that an instance draws from, where there are so many groups.
pub fn near_limit(groups: usize) -> usize {
    (NEAR_BUDGET_TARGETS / groups.max(1)).clamp(NEAR_MEMBERS.0, NEAR_MEMBERS.1)
}

/// Instances ordered by zone, and within a zone by a hash that is the same everywhere.
fn instance_order(live: &LiveInstances) -> Vec<&InstanceId> {
    let mut order: Vec<_> = live.iter().collect();
    order.sort_by_key(|(instance, zone)| ((*zone).clone(), ring_hash(instance.as_str())));
    order.into_iter().map(|(instance, _)| instance).collect()
}

fn narrow_group(
    group: &mut TargetGroup,
    position: usize,
    instances: usize,
    limit: usize,
    zone_of: impl Fn(&TargetId) -> Option<ZoneId>,
) {
    let count = group.members.len();
    if count <= limit {
        group.near = group.members.clone();
        return;
    }
    let mut ring: Vec<&TargetId> = group.members.iter().collect();
    ring.sort_by_key(|target| (zone_of(target), ring_hash(target.as_str())));
    // Instances stand evenly on the ring, so every member is covered equally often, to within one.
    let start = position * count / instances;
    let mut near: Vec<TargetId> =
        (0..limit).map(|step| ring[(start + step) % count].clone()).collect();
    near.sort();
    group.near = near;
}

fn ring_hash(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}
