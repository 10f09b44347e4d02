//! Tests of the choice of a replica.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::support::at;
use crate::support::fleet;
use crate::support::layers;
use crate::support::report;
use crate::support::service;
use crate::support::target;
use crate::support::zone;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::fleet::FleetTable;
use banyan_core::pipeline::load::LoadTable;
use banyan_core::pipeline::load::LoadView;
use banyan_core::pipeline::load::PeerLoadTable;
use banyan_core::pipeline::load::TargetLoad;
use banyan_core::pipeline::replica::InstanceCalls;
use banyan_core::pipeline::replica::ReplicaQuery;
use banyan_core::pipeline::replica::choose_replica;
use banyan_core::pipeline::replica::choose_shared_replica;
use banyan_core::pipeline::replica::instance_seed;
use banyan_core::pipeline::suspicion::SuspicionTable;

#[test]
fn a_removed_replica_is_the_last_choice_and_none_after_its_grace_time() {
    let mut fleet = fleet(&[("r1", "a", "fast", layers(0, 1)), ("r2", "b", "fast", layers(0, 1))]);
    fleet.apply(FleetChange::Removed(target("r1")), at(1_000));
    let choose = |tried: &[TargetId], millis: u64| {
        let query = ReplicaQuery {
            service: &service(),
            zone: &zone("a"),
            tried,
            closed: &BTreeSet::new(),
            removal_grace: Duration::from_millis(500),
            draw: 0,
        };
        let (loads, suspicions) = (LoadTable::default(), SuspicionTable::default());
        choose_replica(&fleet, &loads, &suspicions, &query, at(millis)).map(|choice| choice.target)
    };
    assert_eq!(choose(&[], 1_100), Some(target("r2")));
    assert_eq!(choose(&[target("r2")], 1_499), Some(target("r1")));
    assert_eq!(choose(&[target("r2")], 1_500), None);
}

/// The number of calls that each of `counts.len()` replicas gets when `instances` instances choose
/// at the same moment with the same digests of `counts` calls.
fn simultaneous_choices(counts: &[u32], slots: u32, instances: usize) -> Vec<usize> {
    let mut fleet = FleetTable::default();
    let mut reported = BTreeMap::new();
    for (index, requests) in counts.iter().enumerate() {
        let id = target(&format!("r{index}"));
        let mut report = report("a", "fast", 1_000 + index as u16, &[]);
        report.slots = slots;
        fleet.apply(FleetChange::Reported(id.clone(), report), at(0));
        reported.insert(id, TargetLoad { requests: *requests, ..TargetLoad::default() });
    }
    let mut peers = PeerLoadTable::default();
    peers.record_peer("p".parse().expect("a name"), reported, Vec::new(), at(0));
    let own = LoadTable::default();
    let mut chosen = vec![0; counts.len()];
    for index in 0..instances {
        let name = format!("i{index}").parse().expect("a name");
        let calls = InstanceCalls {
            loads: LoadView { own: &own, peers: &peers, peer_scale: 1.0 },
            count: instances,
            seed: instance_seed(&name),
        };
        let query = ReplicaQuery {
            service: &service(),
            zone: &zone("a"),
            tried: &[],
            closed: &BTreeSet::new(),
            removal_grace: Duration::ZERO,
            draw: 7,
        };
        let suspicions = SuspicionTable::default();
        let choice = choose_shared_replica(&fleet, &calls, &suspicions, &query, at(1));
        let unshared = choose_replica(&fleet, &own, &suspicions, &query, at(1));
        if counts.len() as u64 * u64::from(slots) >= instances as u64 {
            assert_eq!(choice, unshared, "a service with a slot for each instance");
        }
        let name = choice.expect("a replica").target;
        chosen[name.as_str()[1..].parse::<usize>().expect("an index")] += 1;
    }
    chosen
}

#[test]
fn instances_with_equal_knowledge_spread_over_equal_replicas() {
    // Load pattern: 121 instances share 3 replicas of 6 slots. By their own calls and the same
    // draws all of them chose one replica, which rejected most.
    for instances in [121, 470] {
        let chosen = simultaneous_choices(&[4, 4, 4], 6, instances);
        for count in chosen {
            assert!(count >= instances / 5 && count <= instances / 2, "{count} of {instances}");
        }
    }
}

#[test]
fn calls_of_peers_keep_instances_off_a_full_replica() {
    let chosen = simultaneous_choices(&[30, 5, 5], 6, 121);
    assert_eq!(chosen[0], 0);
    assert!(chosen[1] > 30 && chosen[2] > 30, "{chosen:?}");
}

#[test]
fn a_service_with_a_slot_for_each_instance_is_called_as_before() {
    // Guards deployments with few instances; the function compares each choice with the old one.
    simultaneous_choices(&[30, 5, 5], 6, 7);
    simultaneous_choices(&[30, 5, 5], 6, 18);
    simultaneous_choices(&[1, 2, 3], 200, 470);
}
