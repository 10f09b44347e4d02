//! Tests of when a leader has been replaced.

use std::time::Duration;

use crate::support::at;
use crate::support::zone;
use banyan_core::ids::InstanceId;
use banyan_core::pipeline::group::GroupTable;
use banyan_core::pipeline::group::MemberStatement;

const TTL: Duration = Duration::from_millis(2_200);

fn record(group: &mut GroupTable, generation: u64, leads: bool, confirmed_ms: u64) {
    let name: InstanceId = "other".parse().expect("a name");
    let (stated, confirmed) = (at(confirmed_ms), at(confirmed_ms));
    let statement = MemberStatement { zone: zone("a"), generation, leads, stated, confirmed };
    group.record_statement(name, statement);
}

#[test]
fn a_leader_stops_once_another_leads_under_a_higher_generation() {
    // Observed: eight leaders in 25 s, several at a time, all of which sent orders.
    let mut group = GroupTable::default();
    record(&mut group, 7, true, 1_000);
    assert!(group.has_replaced(6, at(1_000), TTL));
    assert!(!group.has_replaced(7, at(1_000), TTL));
    // The statement of a leader that has stopped meanwhile still counts.
    record(&mut group, 8, false, 2_000);
    assert!(group.has_replaced(6, at(2_000), TTL));
    assert!(!group.has_replaced(8, at(2_000), TTL));
}

#[test]
fn a_leader_that_only_the_group_cannot_hear_stops_and_one_in_an_outage_continues() {
    // Failure: a leader whose calls alone are lost goes on beside its successor.
    let mut group = GroupTable::default();
    record(&mut group, 5, false, 4_700);
    assert!(!group.has_replaced(5, at(1_000), TTL));
    record(&mut group, 5, false, 4_800);
    assert!(group.has_replaced(5, at(1_000), TTL));
    // Nobody was answered much later than the leader was, so the group is away.
    assert!(!group.has_replaced(5, at(1_200), TTL));
}

#[test]
fn statements_of_members_expire_and_older_ones_are_ignored() {
    // Failure: members that have stopped keep others from joining.
    let mut group = GroupTable::default();
    record(&mut group, 5, true, 3_000);
    record(&mut group, 4, false, 2_000);
    assert_eq!(group.leader_heard(at(6_999)), Some(at(3_000)));
    assert_eq!(group.live_members(at(7_000)).count(), 0);
}
