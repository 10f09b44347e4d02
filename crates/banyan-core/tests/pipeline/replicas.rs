//! Tests of the choice of a replica.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::support::at;
use crate::support::fleet;
use crate::support::layers;
use crate::support::service;
use crate::support::target;
use crate::support::zone;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::load::LoadTable;
use banyan_core::pipeline::replica::ReplicaQuery;
use banyan_core::pipeline::replica::choose_replica;
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
