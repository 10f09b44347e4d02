//! Tests of the targets' records after the store came back from an older copy of itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use proptest::prelude::*;

use crate::support::in_era;
use crate::support::numbered;
use crate::support::position;
use crate::support::target;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::fleet::TargetPhase;
use banyan_core::pipeline::fleet::TargetReport;
use banyan_core::pipeline::history::FleetHistory;
use banyan_core::pipeline::history::RecordOrigin;

fn ready(name: &str, sequence: u64) -> FleetChange {
    numbered(name, sequence, TargetPhase::Ready)
}

fn removed(name: &str) -> FleetChange {
    FleetChange::Removed(target(name))
}

/// The listing of a store that has these reports.
fn listing(reports: &[FleetChange]) -> BTreeMap<TargetId, TargetReport> {
    let mut listing = BTreeMap::new();
    for change in reports {
        match change {
            FleetChange::Reported(id, report) => listing.insert(id.clone(), report.clone()),
            FleetChange::Removed(id) => listing.remove(id),
        };
    }
    listing
}

/// A history that has read these records up to the offset 30.
fn read_to_thirty(records: Vec<FleetChange>) -> FleetHistory {
    let mut history = FleetHistory::default();
    history.replace(BTreeMap::new(), position(10), RecordOrigin::Store);
    history.apply(records, position(30), RecordOrigin::Store);
    history
}

fn names(history: &FleetHistory) -> BTreeSet<String> {
    history.listed().keys().map(|id| id.to_string()).collect()
}

#[test]
fn a_listing_of_a_later_era_is_applied_whatever_its_offset() {
    // Regression (review/12): it was dropped, because its offset was lower than the known one.
    let mut history = read_to_thirty(vec![ready("e1", 5)]);
    let changes = history.restore(listing(&[ready("e2", 1)]), in_era(2, 12), RecordOrigin::Store);
    assert_eq!(changes, vec![ready("e2", 1)]);
    assert_eq!(history.next(), Some(in_era(2, 12)));
}

#[test]
fn a_target_that_the_copy_lacks_stays_until_it_had_time_to_write_again() {
    for writes_again in [true, false] {
        let mut history = read_to_thirty(vec![ready("e1", 5), ready("e2", 2)]);
        let copy = listing(&[ready("e1", 4)]);
        assert_eq!(history.restore(copy, in_era(2, 12), RecordOrigin::Store), Vec::new());
        assert!(names(&history).contains("e2"));
        // It may write the report again that was lost.
        let again = if writes_again { vec![ready("e2", 2)] } else { Vec::new() };
        history.apply(again, in_era(2, 13), RecordOrigin::Store);
        let expected = if writes_again { Vec::new() } else { vec![removed("e2")] };
        assert_eq!(history.drop_unconfirmed(), expected);
        assert_eq!(names(&history).contains("e2"), writes_again);
    }
}

#[test]
fn a_target_that_left_does_not_come_back_with_the_copy() {
    for origin in [RecordOrigin::Store, RecordOrigin::ReturnedStore] {
        let mut history = read_to_thirty(vec![ready("e1", 5), removed("e1")]);
        let copy = listing(&[ready("e1", 5)]);
        assert_eq!(history.restore(copy, in_era(2, 12), origin), Vec::new());
        assert_eq!(names(&history), BTreeSet::new());
        // Neither do the reports that are written again.
        let again = vec![ready("e1", 4), ready("e1", 5)];
        assert_eq!(history.apply(again, in_era(2, 14), RecordOrigin::Store), Vec::new());
    }
}

#[test]
fn a_target_that_drains_is_not_taken_for_ready_because_of_the_copy() {
    let draining = numbered("e1", 6, TargetPhase::Draining);
    let mut history = read_to_thirty(vec![ready("e1", 5), draining.clone()]);
    history.restore(listing(&[ready("e1", 5)]), in_era(2, 12), RecordOrigin::Store);
    let listed = history.listed().get(&target("e1")).expect("a report");
    assert_eq!(FleetChange::Reported(target("e1"), listed.clone()), draining);
}

#[test]
fn a_second_return_starts_the_time_of_missing_targets_anew() {
    let mut history = read_to_thirty(vec![ready("e1", 5), ready("e2", 2)]);
    history.restore(listing(&[ready("e1", 4)]), in_era(2, 12), RecordOrigin::Store);
    history.restore(listing(&[ready("e2", 1)]), in_era(3, 11), RecordOrigin::Store);
    assert_eq!(history.drop_unconfirmed(), vec![removed("e1")]);
    assert_eq!(names(&history), BTreeSet::from(["e2".to_owned()]));
}

#[test]
fn only_those_that_had_read_no_further_are_told_changes_alone() {
    let mut reader = read_to_thirty(vec![ready("e1", 5)]);
    reader.restore(listing(&[ready("e2", 1)]), in_era(2, 12), RecordOrigin::Store);
    assert_eq!(reader.since(position(30)), Some(vec![ready("e2", 1)]));
    assert_eq!(reader.since(position(31)), None, "it may know a target that was lost");
    assert_eq!(reader.since(in_era(2, 12)), Some(Vec::new()));
    reader.restore(BTreeMap::new(), in_era(3, 11), RecordOrigin::Store);
    assert_eq!(reader.since(position(30)), None, "two eras behind");
}

/// Tells a follower what a reader has read, as peers do.
fn relay(reader: &FleetHistory, follower: &mut FleetHistory) {
    let next = reader.next().expect("a position");
    let known = follower.next().expect("a position");
    let asked = Some(known).filter(|_| follower.unconfirmed_count() == 0);
    match asked.and_then(|from| reader.since(from)) {
        Some(changes) => {
            follower.apply(changes, next, RecordOrigin::Peer);
        }
        None if known.era < next.era => {
            follower.restore(reader.listed().clone(), next, RecordOrigin::Peer);
        }
        None => follower.replace(reader.listed().clone(), next, RecordOrigin::Peer),
    }
}

proptest! {
    /// Whatever an instance had read when the store came back, and from whichever copy, it knows
    /// just the running targets once these have written again.
    #[test]
    fn everybody_knows_the_running_targets_in_the_end(
        records in prop::collection::vec((0..4u8, prop::bool::weighted(0.3)), 1..24),
        copied in 0..24usize,
        reader_read in 0..24usize,
        follower_read in 0..24usize,
        relayed_before in any::<bool>(),
    ) {
        let written: Vec<FleetChange> = records
            .iter()
            .enumerate()
            .map(|(index, (engine, leaves))| {
                let name = format!("e{engine}");
                if *leaves { removed(&name) } else { ready(&name, index as u64 + 1) }
            })
            .collect();
        let read_up_to = |count: usize| {
            let count = count.min(written.len());
            let mut history = FleetHistory::default();
            history.replace(BTreeMap::new(), position(0), RecordOrigin::Store);
            for (index, change) in written[..count].iter().enumerate() {
                history.apply(vec![change.clone()], position(index as u64 + 1), RecordOrigin::Store);
            }
            history
        };
        let (mut reader, mut follower) = (read_up_to(reader_read), read_up_to(follower_read));
        let copied = copied.min(written.len());
        let copy = listing(&written[..copied]);
        reader.restore(copy, in_era(2, copied as u64), RecordOrigin::Store);
        if relayed_before {
            relay(&reader, &mut follower);
        }
        // Running targets write on, and the records of the others are removed again.
        let running = listing(&written);
        let again = (0..4u8).map(|engine| {
            let name = format!("e{engine}");
            if running.contains_key(&target(&name)) { ready(&name, 100) } else { removed(&name) }
        });
        reader.apply(again.collect(), in_era(2, copied as u64 + 4), RecordOrigin::Store);
        reader.drop_unconfirmed();
        relay(&reader, &mut follower);
        follower.drop_unconfirmed();
        let expected: BTreeSet<String> = running.keys().map(|id| id.to_string()).collect();
        prop_assert_eq!(names(&reader), expected.clone());
        prop_assert_eq!(names(&follower), expected);
    }
}
