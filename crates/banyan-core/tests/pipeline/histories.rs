//! Tests of the record changes that one instance forwards to others.

use std::collections::BTreeMap;

use proptest::prelude::*;

use crate::support::layers;
use crate::support::report;
use crate::support::target;
use banyan_core::ids::LogOffset;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::history::FleetHistory;

fn reported(name: &str, first: u32) -> FleetChange {
    FleetChange::Reported(target(name), report("a", "fast", 1, &[layers(first, 80)]))
}

fn listed_at_ten() -> FleetHistory {
    let mut history = FleetHistory::default();
    history.replace(BTreeMap::new(), LogOffset(10));
    history
}

#[test]
fn heartbeats_without_a_change_are_not_forwarded() {
    let mut history = listed_at_ten();
    assert_eq!(history.apply(vec![reported("e1", 0)], LogOffset(11)).len(), 1);
    assert_eq!(history.apply(vec![reported("e1", 0)], LogOffset(12)), Vec::new());
    assert_eq!(history.since(LogOffset(11)), Some(Vec::new()));
    assert_eq!(history.next(), Some(LogOffset(12)));
}

#[test]
fn a_follower_behind_the_first_listing_needs_the_full_listing() {
    let mut history = listed_at_ten();
    history.apply(vec![reported("e1", 0)], LogOffset(11));
    assert_eq!(history.since(LogOffset(9)), None);
    assert_eq!(history.since(LogOffset(10)), Some(vec![reported("e1", 0)]));
}

#[test]
fn removing_and_rewriting_a_record_are_both_changes() {
    let mut history = listed_at_ten();
    history.apply(vec![reported("e1", 0)], LogOffset(11));
    let batch = vec![FleetChange::Removed(target("e1")), reported("e1", 0)];
    assert_eq!(history.apply(batch.clone(), LogOffset(13)), batch);
}

#[test]
fn followers_behind_the_kept_changes_need_the_full_listing() {
    let mut history = listed_at_ten();
    for round in 0..3_000 {
        history.apply(vec![reported("e1", round % 70)], LogOffset(11 + u64::from(round)));
    }
    assert_eq!(history.since(LogOffset(11)), None);
    assert!(history.since(LogOffset(2_900)).is_some());
}

/// Batches of changes: an engine and its first layer, or `None` if its record is removed.
fn batches() -> impl Strategy<Value = Vec<Vec<(u8, Option<u32>)>>> {
    let change = (0..4u8, proptest::option::of(0..4u32));
    prop::collection::vec(prop::collection::vec(change, 0..5), 1..20)
}

proptest! {
    #[test]
    fn a_follower_reaches_the_same_state_from_any_offset(
        batches in batches(),
        from in 0..20usize,
    ) {
        let mut reader = listed_at_ten();
        let mut follower = listed_at_ten();
        for (index, batch) in batches.iter().enumerate() {
            let next = LogOffset(11 + index as u64);
            let batch: Vec<FleetChange> = batch
                .iter()
                .map(|(engine, first)| {
                    let name = format!("e{engine}");
                    match first {
                        Some(first) => reported(&name, *first),
                        None => FleetChange::Removed(target(&name)),
                    }
                })
                .collect();
            if index < from {
                follower.apply(batch.clone(), next);
            }
            reader.apply(batch, next);
        }
        let behind = follower.next().expect("a listing");
        let changes = reader.since(behind).expect("few changes");
        follower.apply(changes, reader.next().expect("a listing"));
        prop_assert_eq!(follower.listed(), reader.listed());
    }
}
