//! Tests of the record changes that one instance forwards to others.

use std::collections::BTreeMap;

use proptest::prelude::*;

use crate::support::layers;
use crate::support::position;
use crate::support::report;
use crate::support::target;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::fleet::TargetPhase;
use banyan_core::pipeline::history::FleetHistory;
use banyan_core::pipeline::history::RecordOrigin;
use banyan_core::pipeline::report_stamp::ReportStamp;

fn reported(name: &str, first: u32) -> FleetChange {
    FleetChange::Reported(target(name), report("a", "fast", 1, &[layers(first, 80)]))
}

fn listed_at_ten() -> FleetHistory {
    let mut history = FleetHistory::default();
    history.replace(BTreeMap::new(), position(10), RecordOrigin::Store);
    history
}

#[test]
fn heartbeats_without_a_change_are_not_forwarded() {
    let mut history = listed_at_ten();
    assert_eq!(history.apply(vec![reported("e1", 0)], position(11), RecordOrigin::Store).len(), 1);
    assert_eq!(
        history.apply(vec![reported("e1", 0)], position(12), RecordOrigin::Store),
        Vec::new()
    );
    assert_eq!(history.since(position(11)), Some(Vec::new()));
    assert_eq!(history.next(), Some(position(12)));
}

#[test]
fn a_follower_behind_the_first_listing_needs_the_full_listing() {
    let mut history = listed_at_ten();
    history.apply(vec![reported("e1", 0)], position(11), RecordOrigin::Store);
    assert_eq!(history.since(position(9)), None);
    assert_eq!(history.since(position(10)), Some(vec![reported("e1", 0)]));
}

#[test]
fn removing_and_rewriting_a_record_are_both_changes() {
    let mut history = listed_at_ten();
    history.apply(vec![reported("e1", 0)], position(11), RecordOrigin::Store);
    let batch = vec![FleetChange::Removed(target("e1")), reported("e1", 0)];
    assert_eq!(history.apply(batch.clone(), position(13), RecordOrigin::Store), batch);
}

#[test]
fn followers_behind_the_kept_changes_need_the_full_listing() {
    let mut history = listed_at_ten();
    for round in 0..3_000 {
        history.apply(
            vec![reported("e1", round % 70)],
            position(11 + u64::from(round)),
            RecordOrigin::Store,
        );
    }
    assert_eq!(history.since(position(11)), None);
    assert!(history.since(position(2_900)).is_some());
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
    history.apply(vec![stamped(1, 4, TargetPhase::Ready)], position(11), RecordOrigin::Store);
    history.apply(vec![stamped(1, 6, TargetPhase::Draining)], position(12), RecordOrigin::Store);
    let late = stamped(1, 5, TargetPhase::Ready);
    assert_eq!(history.apply(vec![late.clone()], position(13), RecordOrigin::Store), Vec::new());
    assert_eq!(phase(&history), Some(TargetPhase::Draining));
    assert_eq!(
        history.apply(vec![late.clone(), late], position(15), RecordOrigin::Store),
        Vec::new()
    );
    assert_eq!(history.next(), Some(position(15)));
}

#[test]
fn a_heartbeat_without_a_change_still_outdates_earlier_reports() {
    let mut history = listed_at_ten();
    for sequence in 4..8 {
        let beat = stamped(1, sequence, TargetPhase::Draining);
        history.apply(vec![beat], position(7 + sequence), RecordOrigin::Store);
    }
    let late = stamped(1, 6, TargetPhase::Ready);
    assert_eq!(history.apply(vec![late], position(15), RecordOrigin::Store), Vec::new());
    assert_eq!(phase(&history), Some(TargetPhase::Draining));
}

#[test]
fn a_report_that_was_written_late_does_not_bring_back_a_removed_target() {
    let mut history = listed_at_ten();
    history.apply(vec![stamped(1, 6, TargetPhase::Ready)], position(11), RecordOrigin::Store);
    history.apply(vec![FleetChange::Removed(target("e1"))], position(12), RecordOrigin::Store);
    let late = stamped(1, 5, TargetPhase::Ready);
    assert_eq!(history.apply(vec![late], position(13), RecordOrigin::Store), Vec::new());
    assert_eq!(phase(&history), None);
    let back = stamped(1, 7, TargetPhase::Ready);
    assert_eq!(history.apply(vec![back.clone()], position(14), RecordOrigin::Store), vec![back]);
}

#[test]
fn the_last_report_of_a_removed_target_does_not_bring_it_back() {
    // Regression: a target repeated a write that got no answer, and the store carried both out, one
    // of them after the record's removal. Only earlier reports were ignored.
    let mut history = listed_at_ten();
    let last = stamped(1, 6, TargetPhase::Ready);
    let batch = vec![last.clone(), FleetChange::Removed(target("e1"))];
    history.apply(batch, position(12), RecordOrigin::Store);
    assert_eq!(history.apply(vec![last], position(13), RecordOrigin::Store), Vec::new());
    let back = stamped(1, 7, TargetPhase::Ready);
    let changes = history.apply(vec![back.clone()], position(14), RecordOrigin::Store);
    assert_eq!(changes, vec![back]);
}

#[test]
fn a_listing_with_a_late_report_keeps_the_newer_one() {
    let mut history = listed_at_ten();
    history.apply(vec![stamped(1, 6, TargetPhase::Draining)], position(11), RecordOrigin::Store);
    let FleetChange::Reported(id, late) = stamped(1, 5, TargetPhase::Ready) else { return };
    history.replace(BTreeMap::from([(id, late)]), position(20), RecordOrigin::Store);
    assert_eq!(phase(&history), Some(TargetPhase::Draining));
    history.replace(BTreeMap::new(), position(21), RecordOrigin::Store);
    assert_eq!(phase(&history), None, "a target that is not listed is removed");
}

#[test]
fn a_new_run_under_the_same_id_counts_its_reports_anew() {
    let mut history = listed_at_ten();
    history.apply(vec![stamped(5, 90, TargetPhase::Draining)], position(11), RecordOrigin::Store);
    history.apply(vec![stamped(6, 1, TargetPhase::Ready)], position(12), RecordOrigin::Store);
    assert_eq!(phase(&history), Some(TargetPhase::Ready));
    let late = stamped(5, 91, TargetPhase::Draining);
    assert_eq!(history.apply(vec![late], position(13), RecordOrigin::Store), Vec::new());
}

#[test]
fn a_new_run_whose_clock_was_set_back_is_accepted_at_its_second_report() {
    // One report may be a late write of an earlier run; a run that goes on reporting is alive.
    let mut history = listed_at_ten();
    history.apply(vec![stamped(5, 90, TargetPhase::Draining)], position(11), RecordOrigin::Store);
    history.apply(vec![stamped(4, 1, TargetPhase::Ready)], position(12), RecordOrigin::Store);
    assert_eq!(phase(&history), Some(TargetPhase::Draining));
    history.apply(vec![stamped(5, 91, TargetPhase::Draining)], position(13), RecordOrigin::Store);
    history.apply(vec![stamped(4, 2, TargetPhase::Ready)], position(14), RecordOrigin::Store);
    assert_eq!(phase(&history), Some(TargetPhase::Draining), "the later run reported in between");
    history.apply(vec![stamped(4, 3, TargetPhase::Ready)], position(15), RecordOrigin::Store);
    assert_eq!(phase(&history), Some(TargetPhase::Ready));
}

/// Tells a follower what it has not read yet.
fn relay(reader: &FleetHistory, follower: &mut FleetHistory) -> Vec<FleetChange> {
    let changes = reader.since(follower.next().expect("a listing")).expect("few changes");
    follower.apply(changes, reader.next().expect("a listing"), RecordOrigin::Peer)
}

/// An instance that has read five reports of an engine, and one that follows it.
fn reader_and_follower() -> (FleetHistory, FleetHistory) {
    let mut reader = listed_at_ten();
    let mut follower = listed_at_ten();
    for sequence in 1..6 {
        let beat = stamped(1, sequence, TargetPhase::Ready);
        reader.apply(vec![beat], position(10 + sequence), RecordOrigin::Store);
        relay(&reader, &mut follower);
    }
    (reader, follower)
}

#[test]
fn a_late_report_does_not_bring_back_a_target_whose_heartbeats_another_instance_has_read() {
    // Regression: a follower remembered the last change of a removed target, not its last report,
    // and took a late report for news once it read the store itself.
    let (mut reader, mut follower) = reader_and_follower();
    reader.apply(vec![FleetChange::Removed(target("e1"))], position(16), RecordOrigin::Store);
    assert_eq!(relay(&reader, &mut follower), vec![FleetChange::Removed(target("e1"))]);
    let late = stamped(1, 4, TargetPhase::Ready);
    assert_eq!(follower.apply(vec![late], position(17), RecordOrigin::Store), Vec::new());
}

#[test]
fn a_single_report_does_not_bring_back_a_target_that_was_removed_after_its_reader_failed() {
    // Regression: as above, with a reader that is lost before the removal.
    let (_, mut follower) = reader_and_follower();
    let mut offset = 20;
    let mut read = |change: FleetChange| {
        offset += 1;
        follower.apply(vec![change], position(offset), RecordOrigin::Store)
    };
    let removed = FleetChange::Removed(target("e1"));
    assert_eq!(read(removed.clone()), vec![removed.clone()]);
    assert_eq!(read(stamped(1, 4, TargetPhase::Ready)), Vec::new());
    assert_eq!(read(removed), Vec::new(), "the late report expired");
    assert_eq!(read(stamped(1, 6, TargetPhase::Ready)), Vec::new());
    let second = stamped(1, 7, TargetPhase::Ready);
    assert_eq!(read(second.clone()), vec![second], "a running target reports again");
}

#[test]
fn a_later_run_of_a_removed_target_is_listed_at_its_first_report() {
    let (_, mut follower) = reader_and_follower();
    let removed = FleetChange::Removed(target("e1"));
    follower.apply(vec![removed], position(21), RecordOrigin::Store);
    let next_run = stamped(2, 1, TargetPhase::Ready);
    let changes = follower.apply(vec![next_run.clone()], position(22), RecordOrigin::Store);
    assert_eq!(changes, vec![next_run]);
}

#[test]
fn a_target_that_has_reported_to_its_new_reader_returns_at_once() {
    let (_, mut follower) = reader_and_follower();
    let batch = vec![stamped(1, 6, TargetPhase::Ready), FleetChange::Removed(target("e1"))];
    follower.apply(batch, position(21), RecordOrigin::Store);
    let late = stamped(1, 5, TargetPhase::Ready);
    assert_eq!(follower.apply(vec![late], position(22), RecordOrigin::Store), Vec::new());
    let back = stamped(1, 7, TargetPhase::Ready);
    let changes = follower.apply(vec![back.clone()], position(23), RecordOrigin::Store);
    assert_eq!(changes, vec![back]);
}

#[test]
fn targets_whose_records_expired_in_an_outage_return_at_once() {
    let (_, mut follower) = reader_and_follower();
    let removed = FleetChange::Removed(target("e1"));
    follower.apply(vec![removed], position(21), RecordOrigin::ReturnedStore);
    let back = stamped(1, 9, TargetPhase::Ready);
    let changes = follower.apply(vec![back.clone()], position(22), RecordOrigin::ReturnedStore);
    assert_eq!(changes, vec![back]);
}

/// What an engine wrote before its record was removed.
fn backlog_of_a_removed_engine() -> Vec<FleetChange> {
    let reports = (1..6).map(|sequence| stamped(1, sequence, TargetPhase::Ready));
    reports.chain([FleetChange::Removed(target("e1"))]).collect()
}

#[test]
fn a_late_report_does_not_list_a_target_that_the_backlog_shows_as_removed() {
    let late = stamped(1, 4, TargetPhase::Ready);
    let mut history = listed_at_ten();
    assert_eq!(history.learn(backlog_of_a_removed_engine()), Vec::new());
    let changes = history.apply(vec![late.clone()], position(11), RecordOrigin::Store);
    assert_eq!(changes, Vec::new());
    // The same with the late report in the listing.
    let FleetChange::Reported(id, report) = late else { return };
    let mut history = FleetHistory::default();
    history.replace(BTreeMap::from([(id.clone(), report)]), position(10), RecordOrigin::Store);
    let changes = history.learn(backlog_of_a_removed_engine());
    assert_eq!(changes, vec![FleetChange::Removed(id)]);
    assert_eq!(phase(&history), None);
}

#[test]
fn a_follower_that_lists_a_late_report_hears_when_it_expires() {
    // Regression: the reader did not list the target, so it kept the removal to itself, and a
    // follower that had started meanwhile listed the target for good.
    let (mut reader, _) = reader_and_follower();
    let late = stamped(1, 4, TargetPhase::Ready);
    let removed = FleetChange::Removed(target("e1"));
    let batch = vec![removed.clone(), late.clone()];
    reader.apply(batch, position(17), RecordOrigin::Store);
    let FleetChange::Reported(id, report) = late else { return };
    let mut restarted = FleetHistory::default();
    restarted.replace(BTreeMap::from([(id, report)]), position(17), RecordOrigin::Store);
    relay(&reader, &mut restarted);
    assert_eq!(reader.apply(vec![removed], position(18), RecordOrigin::Store), Vec::new());
    relay(&reader, &mut restarted);
    assert_eq!(phase(&restarted), None);
    reader.apply(vec![FleetChange::Removed(target("e1"))], position(19), RecordOrigin::Store);
    assert_eq!(reader.since(position(18)), Some(Vec::new()), "others know already");
}

#[test]
fn a_follower_hears_when_a_report_expires_that_the_backlog_shows_as_late() {
    let FleetChange::Reported(id, late) = stamped(1, 4, TargetPhase::Ready) else { return };
    let listing = BTreeMap::from([(id, late)]);
    let (mut reader, mut follower) = (FleetHistory::default(), FleetHistory::default());
    reader.replace(listing.clone(), position(10), RecordOrigin::Store);
    follower.replace(listing, position(10), RecordOrigin::Peer);
    reader.learn(backlog_of_a_removed_engine());
    let expiry = vec![FleetChange::Removed(target("e1"))];
    reader.apply(expiry, position(11), RecordOrigin::Store);
    relay(&reader, &mut follower);
    assert_eq!(phase(&follower), None);
}

#[test]
fn the_backlog_takes_nothing_from_targets_that_are_back_or_still_there() {
    let mut history = listed_at_ten();
    let back = stamped(1, 7, TargetPhase::Ready);
    history.apply(vec![back.clone()], position(11), RecordOrigin::Store);
    assert_eq!(history.learn(backlog_of_a_removed_engine()), Vec::new());
    let running = vec![stamped(1, 8, TargetPhase::Ready), stamped(1, 6, TargetPhase::Ready)];
    assert_eq!(history.learn(running), vec![stamped(1, 8, TargetPhase::Ready)]);
    assert_eq!(phase(&history), Some(TargetPhase::Ready));
}

#[test]
fn a_follower_lists_a_return_that_its_reader_has_believed() {
    // Both followed a reader that is lost; one of them reads now, and the other one follows it.
    let (_, mut reader) = reader_and_follower();
    let (_, mut follower) = reader_and_follower();
    let mut read = |change: FleetChange, offset: u64| {
        reader.apply(vec![change], position(offset), RecordOrigin::Store);
        relay(&reader, &mut follower).len()
    };
    assert_eq!(read(FleetChange::Removed(target("e1")), 16), 1);
    assert_eq!(read(stamped(1, 6, TargetPhase::Ready), 17), 0, "it may be a late report");
    assert_eq!(read(stamped(1, 7, TargetPhase::Ready), 18), 1);
    assert_eq!(read(stamped(1, 8, TargetPhase::Ready), 19), 0, "it changes nothing");
    assert_eq!(follower.listed().len(), 1);
}

#[test]
fn a_new_run_whose_clock_was_set_back_is_listed_by_followers_too() {
    // Regression: the reader forwarded only the report that it believed, which its followers
    // doubted.
    let (mut reader, mut follower) = reader_and_follower();
    reader.apply(vec![stamped(0, 1, TargetPhase::Ready)], position(16), RecordOrigin::Store);
    assert_eq!(relay(&reader, &mut follower), Vec::new());
    reader.apply(vec![stamped(0, 2, TargetPhase::Ready)], position(17), RecordOrigin::Store);
    assert_eq!(relay(&reader, &mut follower).len(), 1);
    assert_eq!(follower.listed(), reader.listed());
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
            let next = position(11 + index as u64);
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
                follower.apply(batch.clone(), next, RecordOrigin::Store);
            }
            reader.apply(batch, next, RecordOrigin::Store);
        }
        let behind = follower.next().expect("a listing");
        let changes = reader.since(behind).expect("few changes");
        follower.apply(changes, reader.next().expect("a listing"), RecordOrigin::Peer);
        prop_assert_eq!(follower.listed(), reader.listed());
    }
}

/// Batches of the reports of one run of each of two engines: an engine, and whether its record is
/// removed.
fn stamped_batches() -> impl Strategy<Value = Vec<Vec<(u8, bool)>>> {
    let change = (0..2u8, prop::bool::weighted(0.2));
    prop::collection::vec(prop::collection::vec(change, 0..4), 1..20)
}

proptest! {
    #[test]
    fn a_follower_of_stamped_reports_reaches_the_same_state(
        batches in stamped_batches(),
        asked in prop::collection::vec(any::<bool>(), 20),
    ) {
        let mut reader = listed_at_ten();
        let mut follower = listed_at_ten();
        let mut sequence = 0;
        for (index, batch) in batches.iter().enumerate() {
            let mut records = Vec::new();
            for (engine, removed) in batch {
                sequence += 1;
                let id = target(&format!("e{engine}"));
                let FleetChange::Reported(_, report) = stamped(1, sequence, TargetPhase::Ready)
                else { continue };
                records.push(match removed {
                    true => FleetChange::Removed(id),
                    false => FleetChange::Reported(id, report),
                });
            }
            reader.apply(records, position(11 + index as u64), RecordOrigin::Store);
            if asked[index] {
                relay(&reader, &mut follower);
                prop_assert_eq!(
                    follower.listed().keys().collect::<Vec<_>>(),
                    reader.listed().keys().collect::<Vec<_>>()
                );
            }
        }
    }
}
