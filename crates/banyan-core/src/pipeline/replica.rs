//! Which replica of a plain service a call goes to: [`choose_replica`].

use std::net::SocketAddr;

use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::fleet::FleetTable;
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

/// Chooses the replica with the fewest calls of ours among those that are trusted, the nearest first.
///
/// A doubted replica is chosen only where `last_resort` allows it and no other is left; `tried` are
/// never chosen. `draw` breaks ties, so that instances don't all choose the same.
pub fn choose_replica(
    fleet: &FleetTable,
    loads: &LoadTable,
    suspicions: &SuspicionTable,
    service: &ServiceId,
    zone: &ZoneId,
    tried: &[TargetId],
    draw: u64,
    now: Moment,
) -> Option<ReplicaChoice> {
    let rank = |id: &TargetId, listed: bool, near: bool| {
        let load = loads.get(id).requests;
        (suspicions.is_doubted(id, now), !listed, load, !near, tie_break(id, draw))
    };
    fleet
        .of_service(service)
        .filter(|(_, row)| row.report.phase == crate::pipeline::fleet::TargetPhase::Ready)
        .filter(|(id, _)| !tried.contains(id))
        .min_by_key(|(id, row)| rank(id, row.takes_work(), row.report.zone == *zone))
        .map(|(id, row)| ReplicaChoice { target: id.clone(), address: row.report.address })
}

fn tie_break(id: &TargetId, draw: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), draw)
}
