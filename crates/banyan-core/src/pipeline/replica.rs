//! Which replica of a plain service a call goes to: [`choose_replica`].

use std::net::SocketAddr;

use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::fleet::FleetTable;
use crate::pipeline::fleet::TargetPhase;
use crate::pipeline::fleet::TargetRow;
use crate::pipeline::load::LoadTable;
use crate::pipeline::suspicion::SuspicionTable;
use crate::units::Moment;

/// The replica that a call goes to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaChoice {
    /// The target.
    pub target: TargetId,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaQuery<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The zone of this instance.
    pub zone: &'a ZoneId,
    /// Replicas that are not chosen again.
    pub tried: &'a [TargetId],
    /// Breaks ties, so that instances don't all choose the same.
    pub draw: u64,
}

/// Chooses the replica with the fewest calls of ours among those that are trusted, the nearest first.
/// A doubted replica, or one whose record was just removed, is chosen only where no other is left.
pub fn choose_replica(
    fleet: &FleetTable,
    loads: &LoadTable,
    suspicions: &SuspicionTable,
    query: &ReplicaQuery<'_>,
    now: Moment,
) -> Option<ReplicaChoice> {
    let rank = |id: &TargetId, row: &TargetRow| {
        let doubted = suspicions.is_suspect(id, now);
        let load = loads.get(id).requests;
        let far = row.report.zone != *query.zone;
        (doubted, !row.takes_work(), load, far, tie_break(id, query.draw))
    };
    fleet
        .of_service(query.service)
        .filter(|(_, row)| row.report.phase == TargetPhase::Ready)
        .filter(|(id, _)| !query.tried.contains(id))
        .min_by_key(|(id, row)| rank(id, row))
        .map(|(id, row)| ReplicaChoice { target: id.clone(), address: row.report.address })
}

fn tie_break(id: &TargetId, draw: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), draw)
}
