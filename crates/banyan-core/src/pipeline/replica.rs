//! Chooses the replica of an unpartitioned service for a call: [`choose_replica`].

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::fleet::FleetTable;
use crate::pipeline::fleet::TargetRow;
use crate::pipeline::load::LoadTable;
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
    let is_gone =
        |row: &TargetRow| row.removed.is_some_and(|at| now.since(at) >= query.removal_grace);
    fleet
        .of_service(query.service)
        .filter(|(_, row)| !row.is_leaving() && !is_gone(row))
        .filter(|(id, _)| !query.tried.contains(id) && !query.closed.contains(id))
        .min_by_key(|(id, row)| rank(id, row))
        .map(|(id, row)| ReplicaChoice { target: id.clone(), address: row.report.address })
}

fn tie_break(id: &TargetId, draw: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), draw)
}
