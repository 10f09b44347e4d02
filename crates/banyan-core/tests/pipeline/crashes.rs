//! Tests of the detection of requests that crash targets.

use std::time::Duration;

use proptest::prelude::*;

use crate::support::at;
use crate::support::target;
use banyan_core::pipeline::crashes::CrashEvidence;
use banyan_core::pipeline::crashes::CrashTable;
use banyan_core::pipeline::crashes::CrashVerdict;
use banyan_core::pipeline::crashes::RequestTrait;
use banyan_core::pipeline::crashes::TargetCrash;
use banyan_core::pipeline::crashes::TraitKind;
use banyan_core::record::ContentDigest;
use banyan_core::units::Moment;

/// A minute, for which a convicted trait is certainly still blocked.
const LONG: u64 = 60_000;

fn part(number: u64) -> RequestTrait {
    RequestTrait { kind: TraitKind::PromptPart, digest: ContentDigest(number) }
}

fn content(number: u64) -> RequestTrait {
    RequestTrait { kind: TraitKind::Content, digest: ContentDigest(number) }
}

/// A crash that was noticed as it happened.
fn noticed(name: &str, sent: Moment, at: Moment) -> TargetCrash {
    TargetCrash { target: target(name), run: None, sent, at, evidence: CrashEvidence::Refusal }
}

fn crash(table: &mut CrashTable, name: &str, traits: &[RequestTrait], now: Moment) {
    let sent = now.before(Duration::from_millis(150));
    table.note_crash(traits, &noticed(name, sent, now), now);
}

fn is_allowed(table: &CrashTable, traits: &[RequestTrait], now: Moment) -> bool {
    table.clone().admit(traits, false, now) == CrashVerdict::Allowed
}

#[test]
fn a_part_under_which_two_targets_crashed_is_blocked() {
    let mut table = CrashTable::default();
    crash(&mut table, "e1", &[part(1), part(9), content(1)], at(0));
    crash(&mut table, "e2", &[part(2), part(9), content(2)], at(500));
    assert!(!is_allowed(&table, &[part(3), part(9), content(3)], at(LONG)));
    for sound in [1, 2, 3] {
        assert!(is_allowed(&table, &[part(sound), content(9)], at(3_000)), "part {sound}");
    }
}

#[test]
fn parts_of_answers_that_went_well_are_never_suspects() {
    let mut table = CrashTable::default();
    table.note_survival(&[part(1), content(7)], at(0));
    crash(&mut table, "e1", &[part(1), part(9), content(1)], at(100));
    crash(&mut table, "e2", &[part(1), part(9), content(2)], at(600));
    assert!(is_allowed(&table, &[part(1), content(3)], at(601)));
    assert!(!is_allowed(&table, &[part(1), part(9), content(4)], at(LONG)));
}

#[test]
fn targets_that_crash_together_convict_nobody() {
    let mut table = CrashTable::default();
    for name in ["e1", "e2", "e3", "e4"] {
        crash(&mut table, name, &[part(1), content(1)], at(10));
    }
    assert!(!is_allowed(&table, &[part(1), content(2)], at(20)), "one request is tried first");
    assert!(is_allowed(&table, &[part(1), content(2)], at(2_000)));
}

#[test]
fn a_part_that_another_explains_as_well_is_only_doubted() {
    // One request crashed two targets: either of its parts may be the cause.
    let mut table = CrashTable::default();
    crash(&mut table, "e1", &[part(1), part(9), content(1)], at(0));
    crash(&mut table, "e2", &[part(1), part(9), content(1)], at(200));
    assert!(!is_allowed(&table, &[part(1), content(2)], at(300)));
    assert!(is_allowed(&table, &[part(1), content(2)], at(3_000)));
    // A third crash tells them apart.
    crash(&mut table, "e3", &[part(2), part(9), content(3)], at(3_000));
    assert!(!is_allowed(&table, &[part(9), content(4)], at(LONG)));
    assert!(is_allowed(&table, &[part(1), content(2)], at(LONG)));
}

#[test]
fn a_request_that_repeats_with_the_same_content_is_blocked_after_two_crashes() {
    let mut table = CrashTable::default();
    crash(&mut table, "r1", &[content(1)], at(0));
    crash(&mut table, "r2", &[content(1)], at(300));
    assert!(!is_allowed(&table, &[content(1)], at(LONG)));
    assert!(is_allowed(&table, &[content(2)], at(301)));
}

#[test]
fn a_request_sent_after_a_crash_that_crashes_the_next_target_at_once_is_blocked() {
    // Regression: two crashes within 50 ms counted as one although the second target still took
    // the request after the first was gone.
    let mut table = CrashTable::default();
    crash(&mut table, "r1", &[content(1)], at(200));
    table.note_crash(&[content(1)], &noticed("r2", at(202), at(205)), at(205));
    assert!(!is_allowed(&table, &[content(1)], at(LONG)));
}

#[test]
fn after_the_first_crash_one_request_is_tried_again() {
    let mut table = CrashTable::default();
    crash(&mut table, "e1", &[part(9), content(1)], at(0));
    // The request that was there goes on elsewhere, others wait for how that ends.
    assert_eq!(table.admit(&[part(9), content(1)], true, at(1)), CrashVerdict::Allowed);
    assert!(!is_allowed(&table, &[part(9), content(2)], at(2)));
    table.note_survival(&[part(9), content(1)], at(300));
    assert!(is_allowed(&table, &[part(9), content(2)], at(301)));
}

#[test]
fn a_trial_blocks_the_next_request_until_its_outcome_is_known() {
    let mut table = CrashTable::default();
    crash(&mut table, "e1", &[part(9), content(1)], at(0));
    assert_eq!(table.admit(&[part(9), content(2)], false, at(1_500)), CrashVerdict::Allowed);
    let verdict = table.admit(&[part(9), content(3)], false, at(1_600));
    assert_eq!(verdict, CrashVerdict::Blocked(Duration::from_millis(900)));
}

#[test]
fn peers_add_up_what_each_saw() {
    let (mut first, mut second) = (CrashTable::default(), CrashTable::default());
    crash(&mut first, "e1", &[part(9), content(1)], at(0));
    crash(&mut second, "e2", &[part(9), content(2)], at(400));
    let reported = first.newest(8);
    assert!(!second.merge(&reported, at(410)).is_empty());
    assert!(second.merge(&reported, at(420)).is_empty(), "the same report is no news");
    assert!(!is_allowed(&second, &[part(9), content(3)], at(LONG)));
    first.note_survival(&[part(9)], at(500));
    let learned = first.merge(&second.newest(8), at(510));
    assert!(!learned.contains(&part(9)), "what is sound stays so");
    assert!(is_allowed(&first, &[part(9), content(4)], at(511)));
}

#[test]
fn one_crash_that_several_instances_report_counts_once() {
    let mut table = CrashTable::default();
    crash(&mut table, "e1", &[part(9), content(1)], at(0));
    crash(&mut table, "e1", &[part(9), content(2)], at(300));
    assert!(is_allowed(&table, &[part(9), content(3)], at(2_000)));
}

#[test]
fn instances_end_a_doubt_at_different_moments() {
    // Regression: all instances tried a request with the part at the same moment, and each trial
    // crashed an engine.
    let tables: Vec<CrashTable> = (0..100)
        .map(|index| {
            let name = format!("front-{index}").parse().expect("a name");
            let mut table = CrashTable::for_instance(&name);
            crash(&mut table, "e1", &[part(9), content(1)], at(0));
            crash(&mut table, "e2", &[part(9), content(1)], at(200));
            table
        })
        .collect();
    let allowed = |now| {
        let traits = [part(9), content(2)];
        tables.iter().filter(|table| is_allowed(table, &traits, at(now))).count()
    };
    assert_eq!(allowed(2_100), 0);
    let early = allowed(2_600);
    assert!((1..=25).contains(&early), "{early} of 100 half a second after the doubt");
    assert_eq!(allowed(6_300), 100);
}

#[test]
fn suspicions_end() {
    let mut table = CrashTable::default();
    crash(&mut table, "e1", &[part(9), content(1)], at(0));
    crash(&mut table, "e2", &[part(9), content(2)], at(400));
    table.expire(at(700_000));
    assert!(table.newest(8).is_empty());
    assert!(is_allowed(&table, &[part(9), content(3)], at(700_000)));
}

proptest! {
    #[test]
    fn no_part_is_blocked_whose_answers_go_well_between_crashes(
        crashes in prop::collection::vec((0..6_u64, 0..4_u64), 1..30),
    ) {
        let mut table = CrashTable::default();
        let mut now = 0;
        for (engine, sound) in crashes {
            now += 700;
            crash(&mut table, &format!("e{engine}"), &[part(sound), part(9), content(now)], at(now));
            for sound in 0..4 {
                table.note_survival(&[part(sound), content(1)], at(now + 1));
                prop_assert!(is_allowed(&table, &[part(sound), content(now + 1)], at(now + 2)));
            }
        }
    }
}
