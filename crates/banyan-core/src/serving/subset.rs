//! Which targets an instance draws from: [`narrow_groups`].
//!
//! With hundreds of instances and thousands of targets, no instance watches all targets. Each draws
//! from a bounded part of every group that it works out alone from the instance list: members take
//! turns on a ring in zone order, so that every target is near to the same number of instances, to
//! within one, and mostly to instances of its own zone. Of those a few ask it for its load; the
//! others learn the load from peers.

use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::serving::groups::TargetGroup;
use crate::serving::ring::InstanceRing;
use crate::serving::ring::name_hash;
use crate::serving::targets::TargetTable;

/// The targets of all groups together that an instance draws from.
const NEAR_BUDGET_TARGETS: usize = 600;
/// The least and the most members of a group that an instance draws from, unless it has fewer.
const NEAR_MEMBERS: (usize, usize) = (4, 24);
/// The instances that ask a target for its load.
const WATCHERS: usize = 2;
/// With so few instances all of them ask every target.
const FEW_INSTANCES: usize = 8;

/// Sets the near and watched members of every group as this instance sees them.
pub fn narrow_groups(table: &mut TargetTable, ring: &InstanceRing) {
    let limit = near_limit(table.groups.all().count());
    let rows = &table.rows;
    for group in table.groups.all_mut() {
        let zone_of = |target: &TargetId| rows.get(target).map(|row| row.spec.zone.clone());
        narrow_group(group, ring, limit, zone_of);
    }
}

/// The members of each group that an instance draws from, where there are so many groups.
pub fn near_limit(groups: usize) -> usize {
    (NEAR_BUDGET_TARGETS / groups.max(1)).clamp(NEAR_MEMBERS.0, NEAR_MEMBERS.1)
}

fn narrow_group(
    group: &mut TargetGroup,
    ring: &InstanceRing,
    limit: usize,
    zone_of: impl Fn(&TargetId) -> Option<ZoneId>,
) {
    let count = group.members.len();
    let instances = ring.order.len();
    let limit = limit.min(count);
    let mut order: Vec<&TargetId> = group.members.iter().collect();
    order.sort_by_cached_key(|target| (zone_of(target), name_hash(target.as_str())));
    // Instances stand evenly on the ring, so every member is covered equally often, to within one.
    let start = ring.position * count / instances;
    let window = (0..limit).map(|step| (start + step) % count);
    let watched = window.clone().filter(|index| {
        let sharing = SharingRange::of(*index, count, limit, instances);
        instances <= FEW_INSTANCES || sharing.is_watcher(ring.position, order[*index])
    });
    let watched: Vec<TargetId> = watched.map(|index| order[index].clone()).collect();
    let mut near: Vec<TargetId> = window.map(|index| order[index].clone()).collect();
    near.sort();
    group.near = near;
    group.watched = watched;
}

/// The places on the ring of the instances that a member is near to: one range that may wrap.
#[derive(Clone, Copy, Debug)]
struct SharingRange {
    first: usize,
    size: usize,
    instances: usize,
}

impl SharingRange {
    fn of(index: usize, count: usize, limit: usize, instances: usize) -> Self {
        if limit == count {
            return Self { first: 0, size: instances, instances };
        }
        // The least place whose window reaches the member, and the least whose window is past it;
        // a round of the ring is added so that nothing is negative.
        let first = ((index + count + 1 - limit) * instances).div_ceil(count);
        let past = ((index + count + 1) * instances).div_ceil(count);
        Self { first: first % instances, size: past - first, instances }
    }

    /// Whether the instance at a place is one of the few that ask for the member's load.
    fn is_watcher(self, place: usize, member: &TargetId) -> bool {
        let size = self.size.max(1);
        let own = (place + self.instances - self.first) % self.instances;
        let turn = name_hash(member.as_str()) as usize % size;
        (own + size - turn) % size < WATCHERS
    }
}
