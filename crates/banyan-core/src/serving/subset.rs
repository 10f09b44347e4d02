//! Selects the subset of targets that an instance uses: [`narrow_groups`].
//!
//! With hundreds of instances and thousands of targets, no instance watches all targets. Each uses
//! a bounded part of every group, which it computes from the instance list without coordination.
//! The members are spread over a ring in zone order, so that the numbers of instances that any two
//! targets are near to differ by one at most. Most of these instances are in the target's own zone.
//! A few of them ask the target for its load; the others learn the load from peers.

use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::serving::groups::TargetGroup;
use crate::serving::ring::InstanceRing;
use crate::serving::ring::name_hash;
use crate::serving::targets::TargetTable;

/// The number of targets that an instance uses, over all groups together.
const NEAR_BUDGET_TARGETS: usize = 600;
/// The smallest and largest number of members of a group that an instance uses, unless the group
/// has fewer.
const NEAR_MEMBERS_RANGE: (usize, usize) = (4, 24);
/// The number of instances that ask a target for its load.
const WATCHERS_PER_TARGET: usize = 2;
/// The number of instances up to which each of them asks every target.
const ALL_WATCH_INSTANCES: usize = 8;

/// Sets the near and watched members of every group for this instance.
pub fn narrow_groups(table: &mut TargetTable, ring: &InstanceRing) {
    let limit = near_limit(table.groups.all().count());
    let rows = &table.rows;
    for group in table.groups.all_mut() {
        let zone_of = |target: &TargetId| rows.get(target).map(|row| row.spec.zone.clone());
        narrow_group(group, ring, limit, zone_of);
    }
}

/// The number of members per group that an instance uses, for this number of groups.
pub fn near_limit(groups: usize) -> usize {
    (NEAR_BUDGET_TARGETS / groups.max(1)).clamp(NEAR_MEMBERS_RANGE.0, NEAR_MEMBERS_RANGE.1)
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
    // The instances are spaced evenly over the members, so the numbers of instances per member
    // differ by one at most.
    let start = ring.position * count / instances;
    let window = (0..limit).map(|step| (start + step) % count);
    let watched = window.clone().filter(|index| {
        let sharing = SharingRange::of(*index, count, limit, instances);
        instances <= ALL_WATCH_INSTANCES || sharing.is_watcher(ring.position, order[*index])
    });
    let watched: Vec<TargetId> = watched.map(|index| order[index].clone()).collect();
    let mut near: Vec<TargetId> = window.map(|index| order[index].clone()).collect();
    near.sort();
    group.near = near;
    group.watched = watched;
}

/// The ring positions of the instances that a member is near to: one range that may wrap around.
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
        // `first` is the lowest position whose window includes the member, and `end` the lowest
        // whose window starts after it. One whole round is added to avoid negative values.
        let first = ((index + count + 1 - limit) * instances).div_ceil(count);
        let end = ((index + count + 1) * instances).div_ceil(count);
        Self { first: first % instances, size: end - first, instances }
    }

    /// Whether the instance at a position is one of those that ask for the member's load.
    fn is_watcher(self, position: usize, member: &TargetId) -> bool {
        let size = self.size.max(1);
        let offset = (position + self.instances - self.first) % self.instances;
        let first_watcher = name_hash(member.as_str()) as usize % size;
        (offset + size - first_watcher) % size < WATCHERS_PER_TARGET
    }
}
