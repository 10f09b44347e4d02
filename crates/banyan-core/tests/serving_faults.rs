//! Tests of failure detection, retry budgets and crash suspects under faults, compared with the
//! naive variants.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use smol_str::SmolStr;

use banyan_core::ids::TargetId;
use banyan_core::record::ContentDigest;
use banyan_core::serving::budget::RetryBudget;
use banyan_core::serving::health::TrustChange;
use banyan_core::serving::health::note_alive;
use banyan_core::serving::health::note_failure;
use banyan_core::serving::health::suspect_silent;
use banyan_core::serving::poison::SuspectTable;
use banyan_core::serving::targets::LeavingSource;
use banyan_core::serving::targets::TargetTable;
use banyan_core::units::Moment;
use banyan_naive::faults::run_outage;
use banyan_naive::faults::run_poison;
use banyan_naive::faults::run_silence;
use banyan_naive::fixtures::mixed_splits;
use banyan_naive::fixtures::target_name;
use banyan_naive::fixtures::workspace_name;

const SUSPECT_AFTER: Duration = Duration::from_millis(600);

/// A table of six groups with `members` targets each, all of which gave a sign of life at time
/// zero.
fn live_table(members: u32) -> TargetTable {
    let mut table = TargetTable::default();
    table.apply_declaration(&mixed_splits(members), Moment(0));
    let targets: Vec<TargetId> = table.rows.keys().cloned().collect();
    for target in &targets {
        note_alive(&mut table, target, Moment(0));
    }
    table
}

fn usable_per_group(table: &TargetTable) -> Vec<usize> {
    let usable = |target: &&TargetId| table.rows[*target].usable();
    table.groups.all().map(|group| group.members.iter().filter(usable).count()).collect()
}

#[test]
fn simultaneous_silence_does_not_empty_a_group() {
    let mut table = live_table(5);
    let changes = suspect_silent(&mut table, SUSPECT_AFTER, Moment(10_000_000));
    assert_eq!(changes.len(), 30);
    assert_eq!(usable_per_group(&table), vec![3; 6]);
    let change = note_alive(&mut table, &target_name(0), Moment(10_100_000));
    assert_eq!(change, Some(TrustChange::Trusted(target_name(0))));
    assert_eq!(usable_per_group(&table)[0], 3);
}

#[test]
fn target_that_refuses_connections_is_not_retained() {
    let mut table = live_table(2);
    let reason = SmolStr::new_static("connection refused");
    for target in table.rows.keys().cloned().collect::<Vec<_>>() {
        assert!(note_failure(&mut table, &target, reason.clone(), Moment(1)).is_some());
        assert!(note_failure(&mut table, &target, reason.clone(), Moment(2)).is_none());
    }
    assert_eq!(usable_per_group(&table), vec![0; 6]);
}

#[test]
fn repeated_failures_increase_the_ejection_time() {
    let mut table = live_table(2);
    let target = target_name(0);
    let mut now = Moment(1_000_000);
    let mut ejection_times = Vec::new();
    for _ in 0..4 {
        note_failure(&mut table, &target, SmolStr::new_static("broke"), now);
        let failed = now;
        while note_alive(&mut table, &target, now).is_none() {
            now = now + Duration::from_millis(100);
        }
        ejection_times.push(now.since(failed).as_millis());
        now = now + Duration::from_millis(100);
    }
    assert_eq!(ejection_times, vec![0, 500, 1000, 2000]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn silence_leaves_the_minimum_part_in_use(
        last_heard in prop::collection::vec(0u64..3_000_000, 24),
        leaving in prop::collection::btree_set(0usize..24, 0..6),
        ticks in 1u64..8,
    ) {
        let mut table = live_table(4);
        for number in leaving {
            let source = LeavingSource::InstanceList;
            table.note_leaving(&target_name(number), source, true, Moment(0));
        }
        for (number, at) in last_heard.into_iter().enumerate() {
            note_alive(&mut table, &target_name(number), Moment(at));
        }
        for tick in 1..=ticks {
            suspect_silent(&mut table, SUSPECT_AFTER, Moment(3_000_000 + tick * 300_000));
        }
        for group in table.groups.all() {
            let staying = group.members.iter().filter(|target| !table.rows[*target].leaving.any());
            let usable = group.members.iter().filter(|target| table.rows[*target].usable()).count();
            prop_assert!(usable * 2 >= staying.count());
        }
    }

    #[test]
    fn retries_stay_within_the_budget(
        inputs in prop::collection::vec((0usize..300, any::<bool>()), 1..600),
        percent in 0u32..50,
    ) {
        let group = SmolStr::new_static("booking");
        let mut budget = RetryBudget::default();
        let (mut credited, mut retries) = (0, 0);
        for (workspace, first) in inputs {
            let workspace = workspace_name(workspace);
            if first {
                budget.pay(&workspace, &group, percent);
                credited += percent;
            } else {
                retries += u32::from(budget.draw(&workspace, &group));
            }
        }
        // The bound is the group's initial balance of ten retries, whatever the number of
        // workspaces, plus the configured percentage of the first attempts.
        prop_assert!(retries <= 10 + credited / 100);
    }
}

#[test]
fn account_count_is_bounded() {
    let mut budget = RetryBudget::default();
    for number in 0..40_000 {
        let group = SmolStr::from(format!("group-{}", number % 36));
        budget.pay(&workspace_name(number), &group, 20);
    }
    assert!(budget.len() <= 16_384 + 36);
}

#[test]
fn slow_link_raises_fewer_false_alarms_and_fast_link_is_detected_as_soon() {
    let fast = Duration::from_millis(2);
    let slow = Duration::from_millis(150);
    assert_eq!(run_silence(fast, true, 5).detection, run_silence(fast, false, 5).detection);
    let product = run_silence(slow, true, 5);
    let fixed = run_silence(slow, false, 5);
    assert!(product.false_alarms * 5 < fixed.false_alarms, "{product:?} against {fixed:?}");
    assert!(product.detection < SUSPECT_AFTER * 4);
}

#[test]
fn outage_does_not_cause_a_retry_storm() {
    assert!(run_outage(10_000, Some(20)) < 1.21);
    assert!(run_outage(10_000, None) > 3.9);
}

#[test]
fn crashing_content_ends_at_most_two_runs_and_no_other_request() {
    for seed in 1..=20 {
        let product = run_poison(true, 1, seed);
        assert!(product.crashes <= 2, "seed {seed}: {product:?}");
        assert_eq!((product.served, product.lost), (160, 0), "seed {seed}");
        assert!(run_poison(false, 1, seed).crashes > 20);
    }
}

fn crash(table: &mut SuspectTable, run: u32, contents: &[u64]) -> Vec<ContentDigest> {
    let contents: BTreeSet<ContentDigest> = contents.iter().copied().map(ContentDigest).collect();
    table.note_crash(&target_name(0), &SmolStr::from(format!("run-{run}")), &contents)
}

#[test]
fn several_suspects_at_one_crash_are_not_convicted_together() {
    let mut table = SuspectTable::default();
    assert_eq!(crash(&mut table, 1, &[1, 2, 3]), vec![]);
    assert_eq!(crash(&mut table, 2, &[1, 2]), vec![]);
    assert_eq!(crash(&mut table, 3, &[2, 4]), vec![ContentDigest(2)]);
}

#[test]
fn suspects_do_not_share_a_target() {
    let mut table = SuspectTable::default();
    crash(&mut table, 1, &[1, 2]);
    assert!(table.enter(ContentDigest(1), &target_name(5)));
    assert!(!table.enter(ContentDigest(2), &target_name(5)));
    assert!(
        table.enter(ContentDigest(9), &target_name(5)),
        "a content that is not suspected may share a target"
    );
    table.leave(ContentDigest(1));
    assert!(table.enter(ContentDigest(2), &target_name(5)));
}

#[test]
fn cleared_content_is_not_suspected_again_for_old_crashes() {
    let mut table = SuspectTable::default();
    crash(&mut table, 1, &[1]);
    let crashes = table.rows[&ContentDigest(1)].crashes.clone();
    table.clear(ContentDigest(1));
    assert!(!table.merge(ContentDigest(1), &crashes));
    assert!(!table.is_suspect(ContentDigest(1)));
    let other = BTreeSet::from([(target_name(3), SmolStr::new_static("run-1"))]);
    assert!(!table.merge(ContentDigest(1), &other), "one new crash does not convict a content");
    assert!(table.is_suspect(ContentDigest(1)));
}

#[test]
fn suspects_are_bounded_and_expire() {
    let mut table = SuspectTable::default();
    for run in 0..10_000 {
        crash(&mut table, run as u32, &[run]);
    }
    assert_eq!(table.rows.len(), 4096);
    table.tick(Moment(601_000_000));
    assert!(table.rows.is_empty());
}
