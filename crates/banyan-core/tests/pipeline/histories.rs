//! Tests of the record changes that one instance forwards to others.

use std::collections::BTreeMap;

use proptest::prelude::*;

use crate::support::layers;
use crate::support::report;
use crate::support::target;
use banyan_core::ids::LogOffset;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::fleet::TargetPhase;
use banyan_core::pipeline::history::FleetHistory;
use banyan_core::pipeline::report_stamp::ReportStamp;

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

/// A report of one run of an engine that is draining or not.
fn stamped(born: u64, sequence: u64, phase: TargetPhase) -> FleetChange {
    let mut report = report("a", "fast", 1, &[layers(0, 80)]);
    report.phase = phase;
    report.stamp = ReportStamp { born: Some(born), sequence: Some(sequence) };
    FleetChange::Reported(target("e1"), report)
}

fn phase(history: &FleetHistory) -> Option<TargetPhase> {
    history.listed().get(&target("e1")).map(|report| report.phase)
}

#[test]
fn a_report_that_was_written_late_does_not_take_back_a_newer_one() {
    // A write without an answer may be carried out seconds later, after newer ones.
    let mut history = listed_at_ten();
    history.apply(vec![stamped(1, 4, TargetPhase::Ready)], LogOffset(11));
    history.apply(vec![stamped(1, 6, TargetPhase::Draining)], LogOffset(12));
    let late = stamped(1, 5, TargetPhase::Ready);
    assert_eq!(history.apply(vec![late.clone()], LogOffset(13)), Vec::new());
    assert_eq!(phase(&history), Some(TargetPhase::Draining));
    assert_eq!(history.apply(vec![late.clone(), late], LogOffset(15)), Vec::new());
    assert_eq!(history.next(), Some(LogOffset(15)));
}

#[test]
fn a_heartbeat_without_a_change_still_outdates_earlier_reports() {
    let mut history = listed_at_ten();
    for sequence in 4..8 {
        let beat = stamped(1, sequence, TargetPhase::Draining);
        history.apply(vec![beat], LogOffset(7 + sequence));
    }
    let late = stamped(1, 6, TargetPhase::Ready);
    assert_eq!(history.apply(vec![late], LogOffset(15)), Vec::new());
    assert_eq!(phase(&history), Some(TargetPhase::Draining));
}

#[test]
fn a_report_that_was_written_late_does_not_bring_back_a_removed_target() {
    let mut history = listed_at_ten();
    history.apply(vec![stamped(1, 6, TargetPhase::Ready)], LogOffset(11));
    history.apply(vec![FleetChange::Removed(target("e1"))], LogOffset(12));
    let late = stamped(1, 5, TargetPhase::Ready);
    assert_eq!(history.apply(vec![late], LogOffset(13)), Vec::new());
    assert_eq!(phase(&history), None);
    let back = stamped(1, 7, TargetPhase::Ready);
    assert_eq!(history.apply(vec![back.clone()], LogOffset(14)), vec![back]);
}

#[test]
fn a_listing_with_a_late_report_keeps_the_newer_one() {
    let mut history = listed_at_ten();
    history.apply(vec![stamped(1, 6, TargetPhase::Draining)], LogOffset(11));
    let FleetChange::Reported(id, late) = stamped(1, 5, TargetPhase::Ready) else { return };
    history.replace(BTreeMap::from([(id, late)]), LogOffset(20));
    assert_eq!(phase(&history), Some(TargetPhase::Draining));
    history.replace(BTreeMap::new(), LogOffset(21));
    assert_eq!(phase(&history), None, "a target that is not listed is removed");
}

#[test]
fn a_new_run_under_the_same_id_counts_its_reports_anew() {
    let mut history = listed_at_ten();
    history.apply(vec![stamped(5, 90, TargetPhase::Draining)], LogOffset(11));
    history.apply(vec![stamped(6, 1, TargetPhase::Ready)], LogOffset(12));
    assert_eq!(phase(&history), Some(TargetPhase::Ready));
    let late = stamped(5, 91, TargetPhase::Draining);
    assert_eq!(history.apply(vec![late], LogOffset(13)), Vec::new());
}

#[test]
fn a_new_run_whose_clock_was_set_back_is_accepted_at_its_second_report() {
    // One report may be a late write of an earlier run; a run that goes on reporting is alive.
    let mut history = listed_at_ten();
    history.apply(vec![stamped(5, 90, TargetPhase::Draining)], LogOffset(11));
    history.apply(vec![stamped(4, 1, TargetPhase::Ready)], LogOffset(12));
    assert_eq!(phase(&history), Some(TargetPhase::Draining));
    history.apply(vec![stamped(5, 91, TargetPhase::Draining)], LogOffset(13));
    history.apply(vec![stamped(4, 2, TargetPhase::Ready)], LogOffset(14));
    assert_eq!(phase(&history), Some(TargetPhase::Draining), "the later run reported in between");
    history.apply(vec![stamped(4, 3, TargetPhase::Ready)], LogOffset(15));
    assert_eq!(phase(&history), Some(TargetPhase::Ready));
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
