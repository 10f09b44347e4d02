//! Tests of the table of targets.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::support::at;
use crate::support::fleet;
use crate::support::layers;
use crate::support::report;
use crate::support::target;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::fleet::FleetTable;
use banyan_core::pipeline::fleet::LeavingNote;
use banyan_core::pipeline::fleet::TargetReport;

#[test]
fn an_unchanged_record_does_not_change_the_revision() {
    let mut table = fleet(&[("a1", "a", "fast", layers(0, 10))]);
    let revision = table.revision;
    let same = report("a", "fast", 1_000, &[layers(0, 10)]);
    table.apply(FleetChange::Reported(target("a1"), same), at(10));
    assert_eq!(table.revision, revision);
}

#[test]
fn a_removed_target_takes_no_work_and_is_dropped_after_the_grace_period() {
    let mut table = fleet(&[("a1", "a", "fast", layers(0, 10))]);
    table.apply(FleetChange::Removed(target("a1")), at(100));
    assert!(!table.rows[&target("a1")].takes_work());
    assert!(table.drop_removed(Duration::from_millis(500), at(400)).is_empty());
    assert_eq!(table.drop_removed(Duration::from_millis(500), at(600)), vec![target("a1")]);
}

#[test]
fn a_target_that_is_listed_again_takes_work_again() {
    let mut table = fleet(&[("a1", "a", "fast", layers(0, 10))]);
    table.apply(FleetChange::Removed(target("a1")), at(100));
    let listed_again = report("a", "fast", 1_000, &[layers(0, 10)]);
    table.apply(FleetChange::Reported(target("a1"), listed_again), at(200));
    assert!(table.rows[&target("a1")].takes_work());
}

#[test]
fn a_listing_removes_targets_that_it_does_not_contain() {
    let mut table =
        fleet(&[("a1", "a", "fast", layers(0, 10)), ("a2", "a", "fast", layers(0, 10))]);
    let kept = report("a", "fast", 1_000, &[layers(0, 10)]);
    table.replace(BTreeMap::from([(target("a1"), kept)]), at(50));
    assert!(table.rows[&target("a1")].takes_work());
    assert!(!table.rows[&target("a2")].takes_work());
}

#[test]
fn an_observation_overrides_an_older_record_for_a_while() {
    let mut table = fleet(&[("a1", "a", "fast", layers(0, 10))]);
    table.observe(&target("a1"), &[layers(10, 20)], at(100), at(100));
    // This heartbeat was written before the load ended, but arrives after the observation.
    let stale = report("a", "fast", 1_000, &[layers(0, 10)]);
    table.apply(FleetChange::Reported(target("a1"), stale.clone()), at(200));
    assert_eq!(table.rows[&target("a1")].report.held, vec![layers(10, 20)]);
    table.apply(FleetChange::Reported(target("a1"), stale), at(5_000));
    assert_eq!(table.rows[&target("a1")].report.held, vec![layers(0, 10)]);
}

#[test]
fn a_restarted_target_does_not_keep_observed_layers() {
    let mut table = fleet(&[("a1", "a", "fast", layers(0, 10))]);
    table.observe(&target("a1"), &[layers(10, 20)], at(100), at(100));
    let mut restarted = report("a", "fast", 1_000, &[]);
    restarted.stamp.born = Some(2);
    table.apply(FleetChange::Reported(target("a1"), restarted), at(200));
    assert!(table.rows[&target("a1")].report.held.is_empty());
}

#[test]
fn an_older_observation_does_not_undo_a_newer_one() {
    let mut table = fleet(&[("a1", "a", "fast", layers(0, 10))]);
    table.observe(&target("a1"), &[layers(10, 20)], at(100), at(100));
    table.observe(&target("a1"), &[layers(0, 10)], at(50), at(120));
    assert_eq!(table.rows[&target("a1")].report.held, vec![layers(10, 20)]);
}

#[test]
fn a_slowdown_lasts_until_a_normal_report_or_its_expiry() {
    let mut table = fleet(&[("a1", "a", "fast", layers(0, 20))]);
    let slowdown = |table: &FleetTable| table.rows[&target("a1")].slowdown();
    table.note_slowdown(&target("a1"), 1.1, at(50));
    assert_eq!(slowdown(&table), 1.0, "a small slowdown is ignored");
    let before = table.revision;
    table.note_slowdown(&target("a1"), 5.0, at(100));
    assert_eq!(slowdown(&table), 5.0);
    assert!(table.revision > before);
    let before = table.revision;
    table.note_slowdown(&target("a1"), 5.5, at(200));
    assert_eq!(table.revision, before, "a small change does not recompute the chains");
    table.note_slowdown(&target("a1"), 9.0, at(150));
    assert_eq!(slowdown(&table), 5.5, "an older report that arrives late is ignored");
    table.note_slowdown(&target("a1"), 1.0, at(300));
    assert_eq!(slowdown(&table), 1.0);
    table.note_slowdown(&target("a1"), 5.0, at(400));
    table.expire_slowdowns(at(4_800));
    assert_eq!(slowdown(&table), 5.0);
    table.expire_slowdowns(at(4_900));
    assert_eq!(slowdown(&table), 1.0);
}

/// A report of an engine's run that is ready.
fn ready_report(born: u64) -> TargetReport {
    let mut report = report("a", "fast", 1_000, &[layers(0, 10)]);
    report.stamp.born = Some(born);
    report
}

#[test]
fn a_target_that_said_that_it_leaves_takes_no_work_until_a_later_run() {
    let mut table = FleetTable::default();
    let id = target("a1");
    table.apply(FleetChange::Reported(id.clone(), ready_report(5)), at(0));
    let revision = table.revision;
    let note = LeavingNote { born: Some(5), heard: at(100) };
    assert!(table.note_leaving(&id, note));
    assert!(table.revision > revision, "chains are computed anew");
    assert!(!table.note_leaving(&id, LeavingNote { born: Some(4), heard: at(110) }));
    assert!(!table.rows[&id].takes_work());
    assert_eq!(table.unreported_leaving().count(), 1);
    // Its record expires and comes back, and an older run is reported late.
    table.apply(FleetChange::Removed(id.clone()), at(200));
    table.drop_removed(Duration::ZERO, at(200));
    for born in [5, 4] {
        table.apply(FleetChange::Reported(id.clone(), ready_report(born)), at(300));
        assert!(!table.rows[&id].takes_work());
    }
    table.apply(FleetChange::Reported(id.clone(), ready_report(6)), at(400));
    assert!(table.rows[&id].takes_work());
    assert!(!table.note_leaving(&id, note) || !table.rows[&id].said_leaving);
}

#[test]
fn a_leaving_target_is_forgotten_long_after_it_left() {
    let mut table = FleetTable::default();
    let id = target("a1");
    assert!(table.note_leaving(&id, LeavingNote { born: Some(5), heard: at(0) }));
    table.expire_leaving(at(599_999));
    assert!(!table.note_leaving(&id, LeavingNote { born: Some(5), heard: at(0) }));
    table.expire_leaving(at(600_000));
    assert!(table.note_leaving(&id, LeavingNote { born: Some(5), heard: at(0) }));
}

#[test]
fn the_targets_of_a_service_follow_every_change_of_the_table() {
    // Guards the index by service, without which a choice of a replica read all 5,300 engines: a
    // target must be found under its present service alone, and under none once it is dropped.
    let of = |table: &FleetTable, name: &str| -> Vec<String> {
        let service = name.parse().expect("a name");
        table.of_service(&service).map(|(id, _)| id.to_string()).collect()
    };
    let mut table =
        fleet(&[("a2", "a", "fast", layers(0, 10)), ("a1", "a", "fast", layers(0, 10))]);
    assert_eq!(of(&table, "engines"), ["a1", "a2"]);
    let mut moved = report("a", "fast", 1_000, &[layers(0, 10)]);
    moved.service = "others".parse().expect("a name");
    table.apply(FleetChange::Reported(target("a2"), moved.clone()), at(100));
    assert_eq!(
        (of(&table, "engines"), of(&table, "others")),
        (vec!["a1".into()], vec!["a2".into()])
    );
    table.replace(BTreeMap::from([(target("a2"), moved)]), at(200));
    assert_eq!(of(&table, "engines"), ["a1"]);
    table.drop_removed(Duration::from_millis(500), at(700));
    assert!(of(&table, "engines").is_empty());
    assert_eq!(of(&table, "others"), ["a2"]);
}
