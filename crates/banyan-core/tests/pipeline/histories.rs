//! What one instance passes on to others of the records of targets.

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

fn started() -> FleetHistory {
    let mut history = FleetHistory::default();
    history.replace(BTreeMap::new(), LogOffset(10));
    history
}

#[test]
fn heartbeats_that_repeat_what_was_said_are_no_news() {
    let mut history = started();
    assert_eq!(history.apply(vec![reported("e1", 0)], LogOffset(11)).len(), 1);
    assert_eq!(history.apply(vec![reported("e1", 0)], LogOffset(12)), Vec::new());
    assert_eq!(history.since(LogOffset(11)), Some(Vec::new()));
    assert_eq!(history.next(), Some(LogOffset(12)));
}

#[test]
fn whoever_knows_less_than_the_first_listing_takes_the_whole() {
    let mut history = started();
    history.apply(vec![reported("e1", 0)], LogOffset(11));
    assert_eq!(history.since(LogOffset(9)), None);
    assert_eq!(history.since(LogOffset(10)), Some(vec![reported("e1", 0)]));
}

#[test]
fn a_record_that_is_removed_and_written_again_is_news_both_times() {
    let mut history = started();
    history.apply(vec![reported("e1", 0)], LogOffset(11));
    let batch = vec![FleetChange::Removed(target("e1")), reported("e1", 0)];
    assert_eq!(history.apply(batch.clone(), LogOffset(13)), batch);
}

#[test]
fn changes_that_are_kept_no_longer_are_told_as_a_listing() {
    let mut history = started();
    for round in 0..3_000 {
        history.apply(vec![reported("e1", round % 70)], LogOffset(11 + u64::from(round)));
    }
    assert_eq!(history.since(LogOffset(11)), None);
    assert!(history.since(LogOffset(2_900)).is_some());
}

/// Batches of changes: engine, its first layer, or none where its record is removed.
fn batches() -> impl Strategy<Value = Vec<Vec<(u8, Option<u32>)>>> {
    let change = (0..4u8, proptest::option::of(0..4u32));
    prop::collection::vec(prop::collection::vec(change, 0..5), 1..20)
}

proptest! {
    #[test]
    fn whoever_follows_from_any_offset_comes_to_know_the_same(
        batches in batches(),
        from in 0..20usize,
    ) {
        let mut reader = started();
        let mut follower = started();
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
