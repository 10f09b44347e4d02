//! Tests of the duties of instances.

use std::time::Duration;

use crate::support::at;
use banyan_core::pipeline::duties::DutyCapacity;
use banyan_core::pipeline::duties::LeadershipLease;

#[test]
fn a_leader_that_was_paused_past_its_lease_sends_no_orders() {
    // The group may have chosen another leader meanwhile. Only engines that check fencing tokens
    // reject the orders of the former one.
    let ttl = Duration::from_millis(2_200);
    let lease = LeadershipLease { confirmed: at(1_000), ttl, engines_check_fences: false };
    assert!(lease.is_valid(at(3_199)));
    assert!(!lease.is_valid(at(3_200)));
    let fenced = LeadershipLease { engines_check_fences: true, ..lease };
    assert!(fenced.is_valid(at(60_000)));
}

#[test]
fn capacities_are_written_and_read_alike() {
    for capacity in [DutyCapacity(0), DutyCapacity(120), DutyCapacity(64_000)] {
        assert_eq!(capacity.to_string().parse(), Ok(capacity));
    }
    assert!("much".parse::<DutyCapacity>().is_err());
}
