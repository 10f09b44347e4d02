//! Chooses the replica of an unpartitioned service for a call: [`choose_shared_replica`], which
//! counts the calls of all instances where they share too few slots, and [`choose_replica`].

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::fleet::FleetTable;
use crate::pipeline::fleet::TargetRow;
use crate::pipeline::load::LoadTable;
use crate::pipeline::load::LoadView;
use crate::pipeline::suspicion::SuspicionTable;
use crate::units::Moment;

/// The replica chosen for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaChoice {
    /// The target.
    pub target: TargetId,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
}

/// The inputs of a choice.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaQuery<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The zone of this instance, whose replicas are preferred.
    pub zone: &'a ZoneId,
    /// Replicas that must not be chosen again.
    pub tried: &'a [TargetId],
    /// Replicas that take no request of this instance now.
    pub closed: &'a BTreeSet<TargetId>,
    /// How long a replica may still be chosen after its record was removed.
    pub removal_grace: Duration,
    /// A random number that breaks ties, so that instances do not all choose the same replica.
    pub draw: u64,
}

/// What is known about the calls of all instances.
#[derive(Clone, Copy, Debug)]
pub struct InstanceCalls<'a> {
    /// The calls of this instance and, as they reported them, of its peers.
    pub loads: LoadView<'a>,
    /// The number of announced instances, this one included.
    pub count: usize,
    /// A number that differs between instances, so that those with the same knowledge and the same
    /// draws choose differently.
    pub seed: u64,
}

/// Chooses a replica for a call. Where the service has a slot for each instance, as
/// [`choose_replica`] does. Otherwise the calls of this instance tell little about the load of a
/// replica, and the choice is between two that are drawn at random, by the calls of all instances:
/// the least loaded of all would be the same for every instance until the next reports.
pub fn choose_shared_replica(
    fleet: &FleetTable,
    calls: &InstanceCalls<'_>,
    suspicions: &SuspicionTable,
    query: &ReplicaQuery<'_>,
    now: Moment,
) -> Option<ReplicaChoice> {
    let rows: Vec<(&TargetId, &TargetRow)> = available(fleet, query, now).collect();
    let slots: u64 = rows
        .iter()
        .filter(|(_, row)| row.takes_work())
        .map(|(_, row)| u64::from(row.report.slots))
        .sum();
    if slots >= calls.count as u64 {
        return choose_replica(fleet, calls.loads.own, suspicions, query, now);
    }
    let doubt =
        |(id, row): &(&TargetId, &TargetRow)| (suspicions.is_suspect(id, now), !row.takes_work());
    let untried = || rows.iter().copied().filter(|row| is_untried(row, query));
    let least_doubt = untried().map(|row| doubt(&row)).min()?;
    let equals: Vec<(&TargetId, &TargetRow)> =
        untried().filter(|row| doubt(row) == least_doubt).collect();
    let (first, second) = two_draws(equals.len(), tie_break(equals[0].0, query.draw ^ calls.seed));
    let load = |index: usize| {
        let (id, row) = equals[index];
        calls.loads.requests(id) / f64::from(row.report.slots.max(1))
    };
    let is_remote = |index: usize| equals[index].1.report.zone != *query.zone;
    let order = load(second).total_cmp(&load(first));
    let prefers_second = order.then(is_remote(second).cmp(&is_remote(first))).is_lt();
    Some(to_choice(equals[if prefers_second { second } else { first }]))
}

/// The seed of an instance's choices, for [`InstanceCalls::seed`].
pub fn instance_seed(instance: &InstanceId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(instance.as_str().as_bytes())
}

/// Two different indices below `count`, or twice the only one.
fn two_draws(count: usize, draw: u64) -> (usize, usize) {
    let (low, high) = ((draw & u64::from(u32::MAX)) as usize, (draw >> 32) as usize);
    let first = low % count;
    let others = (count - 1).max(1);
    (first, (first + 1 + high % others) % count)
}

/// Chooses the replica with the fewest calls of this instance among those that are not suspected;
/// ties go to replicas in its own zone. A suspect, or a replica whose record was removed recently,
/// is chosen only if no other is left.
pub fn choose_replica(
    fleet: &FleetTable,
    loads: &LoadTable,
    suspicions: &SuspicionTable,
    query: &ReplicaQuery<'_>,
    now: Moment,
) -> Option<ReplicaChoice> {
    let rank = |id: &TargetId, row: &TargetRow| {
        let suspect = suspicions.is_suspect(id, now);
        let load = loads.get(id).requests;
        let remote = row.report.zone != *query.zone;
        (suspect, !row.takes_work(), load, remote, tie_break(id, query.draw))
    };
    available(fleet, query, now)
        .filter(|row| is_untried(row, query))
        .min_by_key(|(id, row)| rank(id, row))
        .map(to_choice)
}

/// The replicas of the service that are neither leaving nor gone.
fn available<'a>(
    fleet: &'a FleetTable,
    query: &ReplicaQuery<'a>,
    now: Moment,
) -> impl Iterator<Item = (&'a TargetId, &'a TargetRow)> {
    let grace = query.removal_grace;
    let is_gone = move |row: &TargetRow| row.removed.is_some_and(|at| now.since(at) >= grace);
    fleet.of_service(query.service).filter(move |(_, row)| !row.is_leaving() && !is_gone(row))
}

/// Whether a replica may be chosen for this call.
fn is_untried((id, _): &(&TargetId, &TargetRow), query: &ReplicaQuery<'_>) -> bool {
    !query.tried.contains(id) && !query.closed.contains(*id)
}

fn to_choice((id, row): (&TargetId, &TargetRow)) -> ReplicaChoice {
    ReplicaChoice { target: id.clone(), address: row.report.address }
}

fn tie_break(id: &TargetId, draw: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), draw)
}
