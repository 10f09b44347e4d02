//! Suspicion, retry budgets and quarantine under faults, against the naive answers.

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

/// Six groups with so many members each, all heard at time zero.
fn heard_table(members: u32) -> TargetTable {
    let mut table = TargetTable::default();
    table.sync(&mixed_splits(members), Moment(0));
    let targets: Vec<TargetId> = table.rows.keys().cloned().collect();
    for target in &targets {
        note_alive(&mut table, target, Moment(0));
    }
    table
}

fn usable_of_each_group(table: &TargetTable) -> Vec<usize> {
    let usable = |target: &&TargetId| table.rows[*target].usable();
    table.groups.all().map(|group| group.members.iter().filter(usable).count()).collect()
}

#[test]
fn a_hiccup_never_empties_a_group() {
    let mut table = heard_table(5);
    let changes = suspect_silent(&mut table, SUSPECT_AFTER, Moment(10_000_000));
    assert_eq!(changes.len(), 30);
    assert_eq!(usable_of_each_group(&table), vec![3; 6]);
    let back = note_alive(&mut table, &target_name(0), Moment(10_100_000));
    assert_eq!(back, Some(TrustChange::Trusted(target_name(0))));
    assert_eq!(usable_of_each_group(&table)[0], 3);
}

#[test]
fn a_target_that_refuses_connections_is_not_kept_for_the_floor() {
    let mut table = heard_table(2);
    let reason = SmolStr::new_static("connection refused");
    for target in table.rows.keys().cloned().collect::<Vec<_>>() {
        assert!(note_failure(&mut table, &target, reason.clone(), Moment(1)).is_some());
        assert!(note_failure(&mut table, &target, reason.clone(), Moment(2)).is_none());
    }
    assert_eq!(usable_of_each_group(&table), vec![0; 6]);
}

#[test]
fn a_target_that_keeps_failing_stays_out_for_longer() {
    let mut table = heard_table(2);
    let target = target_name(0);
    let mut now = Moment(1_000_000);
    let mut out = Vec::new();
    for _ in 0..4 {
        note_failure(&mut table, &target, SmolStr::new_static("broke"), now);
        let failed = now;
        while note_alive(&mut table, &target, now).is_none() {
            now = now + Duration::from_millis(100);
        }
        out.push(now.since(failed).as_millis());
        now = now + Duration::from_millis(100);
    }
    assert_eq!(out, vec![0, 500, 1000, 2000]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn silence_leaves_the_floor_in_use(
        heard in prop::collection::vec(0u64..3_000_000, 24),
        leaving in prop::collection::btree_set(0usize..24, 0..6),
        ticks in 1u64..8,
    ) {
        let mut table = heard_table(4);
        for number in leaving {
            let source = LeavingSource::InstanceList;
            table.note_leaving(&target_name(number), source, true, Moment(0));
        }
        for (number, at) in heard.into_iter().enumerate() {
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
    fn retries_stay_within_the_paid_share(
        inputs in prop::collection::vec((0usize..300, any::<bool>()), 1..600),
        percent in 0u32..50,
    ) {
        let group = SmolStr::new_static("booking");
        let mut budget = RetryBudget::default();
        let (mut paid, mut drawn) = (0, 0);
        for (workspace, first) in inputs {
            let workspace = workspace_name(workspace);
            if first {
                budget.pay(&workspace, &group, percent);
                paid += percent;
            } else {
                drawn += u32::from(budget.draw(&workspace, &group));
            }
        }
        // Ten to start with, whatever the number of workspaces, and the paid share.
        prop_assert!(drawn <= 10 + paid / 100);
    }
}

#[test]
fn the_accounts_are_bounded() {
    let mut budget = RetryBudget::default();
    for number in 0..40_000 {
        let group = SmolStr::from(format!("group-{}", number % 36));
        budget.pay(&workspace_name(number), &group, 20);
    }
    assert!(budget.len() <= 16_384 + 36);
}

#[test]
fn a_slow_link_raises_fewer_false_alarms_and_a_fast_one_loses_no_time() {
    let fast = Duration::from_millis(2);
    let slow = Duration::from_millis(150);
    assert_eq!(run_silence(fast, true, 5).detection, run_silence(fast, false, 5).detection);
    let product = run_silence(slow, true, 5);
    let fixed = run_silence(slow, false, 5);
    assert!(product.false_alarms * 5 < fixed.false_alarms, "{product:?} against {fixed:?}");
    assert!(product.detection < SUSPECT_AFTER * 4);
}

#[test]
fn an_outage_is_not_followed_by_a_storm() {
    assert!(run_outage(10_000, Some(20)) < 1.21);
    assert!(run_outage(10_000, None) > 3.9);
}

#[test]
fn a_culprit_takes_two_target_runs_and_no_innocent_with_it() {
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
fn suspects_never_share_a_target() {
    let mut table = SuspectTable::default();
    crash(&mut table, 1, &[1, 2]);
    assert!(table.enter(ContentDigest(1), &target_name(5)));
    assert!(!table.enter(ContentDigest(2), &target_name(5)));
    assert!(table.enter(ContentDigest(9), &target_name(5)), "an innocent may");
    table.leave(ContentDigest(1));
    assert!(table.enter(ContentDigest(2), &target_name(5)));
}

#[test]
fn a_cleared_content_is_not_brought_back_by_old_word() {
    let mut table = SuspectTable::default();
    crash(&mut table, 1, &[1]);
    let crashes = table.rows[&ContentDigest(1)].crashes.clone();
    table.clear(ContentDigest(1));
    assert!(!table.merge(ContentDigest(1), &crashes));
    assert!(!table.is_suspect(ContentDigest(1)));
    let other = BTreeSet::from([(target_name(3), SmolStr::new_static("run-1"))]);
    assert!(!table.merge(ContentDigest(1), &other), "one new crash convicts nobody");
    assert!(table.is_suspect(ContentDigest(1)));
}

#[test]
fn suspicions_are_bounded_and_expire() {
    let mut table = SuspectTable::default();
    for run in 0..10_000 {
        crash(&mut table, run as u32, &[run]);
    }
    assert_eq!(table.rows.len(), 4096);
    table.tick(Moment(601_000_000));
    assert!(table.rows.is_empty());
}
