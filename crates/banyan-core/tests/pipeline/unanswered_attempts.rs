//! Tests of the attempts that ended without an answer.

use std::time::Duration;

use crate::support::at;
use crate::support::target;
use banyan_core::pipeline::crashes::CrashEvidence;
use banyan_core::pipeline::crashes::CrashTable;
use banyan_core::pipeline::crashes::CrashVerdict;
use banyan_core::pipeline::crashes::RequestTrait;
use banyan_core::pipeline::crashes::TargetCrash;
use banyan_core::pipeline::crashes::TraitKind;
use banyan_core::pipeline::unanswered::AttemptReview;
use banyan_core::pipeline::unanswered::TargetSign;
use banyan_core::pipeline::unanswered::UnansweredAttempt;
use banyan_core::pipeline::unanswered::UnansweredTable;
use banyan_core::record::ContentDigest;
use banyan_core::units::Moment;

/// The run of the target in these tests.
const RUN: u64 = 7;
/// A minute, for which a convicted content is certainly still blocked.
const LONG: u64 = 60_000;
/// The content of the requests in these tests.
const CONTENT: RequestTrait = RequestTrait { kind: TraitKind::Content, digest: ContentDigest(1) };

fn attempt(name: &str, sent: u64, ended: u64) -> UnansweredAttempt {
    UnansweredAttempt {
        target: target(name),
        address: "127.0.0.1:1".parse().expect("an address"),
        run: RUN,
        sent: at(sent),
        ended: at(ended),
        traits: vec![CONTENT],
    }
}

fn listed(run: u64) -> TargetSign {
    TargetSign::Listed { run: Some(run), is_leaving: false, progress: None }
}

/// A table with an attempt that ended at 600 ms.
fn table() -> UnansweredTable {
    let mut table = UnansweredTable::default();
    table.note(attempt("t", 0, 600));
    table
}

/// What becomes of the attempt with this sign at a moment: the review, and whether it is still open.
fn review(sign: TargetSign, now: u64) -> (AttemptReview, bool) {
    let mut table = table();
    let review = table.review(|_| sign, at(now));
    (review, !table.is_empty())
}

#[test]
fn a_later_run_of_the_target_shows_that_it_crashed() {
    let (review, is_open) = review(listed(RUN + 1), 3_000);
    assert_eq!(review.crashed, vec![attempt("t", 0, 600)]);
    assert!(!is_open);
}

#[test]
fn a_removed_record_is_to_be_examined() {
    let (review, is_open) = review(TargetSign::Unlisted, 3_000);
    assert_eq!(review.unlisted, vec![attempt("t", 0, 600)]);
    assert!(!is_open);
}

#[test]
fn a_target_that_says_nothing_new_stays_open_for_some_time() {
    assert_eq!(review(listed(RUN), 3_000), (AttemptReview::default(), true));
    assert_eq!(review(listed(RUN), 20_000), (AttemptReview::default(), false));
}

#[test]
fn a_target_that_answers_others_afterwards_has_not_crashed() {
    let answered = |progress: u64| TargetSign::Listed {
        run: Some(RUN),
        is_leaving: false,
        progress: Some(at(progress)),
    };
    assert_eq!(review(answered(800), 1_000), (AttemptReview::default(), false));
    // An answer may have been on its way, and a later one may be of the next run.
    for progress in [500, 610, 3_000] {
        assert_eq!(review(answered(progress), 3_100), (AttemptReview::default(), true));
    }
}

#[test]
fn a_target_that_leaves_has_not_crashed() {
    let sign = TargetSign::Listed { run: Some(RUN), is_leaving: true, progress: None };
    assert_eq!(review(sign, 1_000), (AttemptReview::default(), false));
}

#[test]
fn the_attempts_are_bounded() {
    let mut table = UnansweredTable::default();
    for index in 0..5_000 {
        table.note(attempt(&format!("t{index}"), 0, 600));
    }
    let review = table.review(|_| listed(RUN + 1), at(700));
    assert_eq!(review.crashed.len(), 1_024);
    assert_eq!(review.crashed[1_023].target, target("t4999"));
}

/// A crash of a run that left a request without an answer.
fn silent(name: &str, sent: u64, ended: u64) -> TargetCrash {
    TargetCrash {
        target: target(name),
        run: Some(RUN),
        sent: at(sent),
        at: at(ended),
        evidence: CrashEvidence::Silence,
    }
}

fn noted(crashes: &[TargetCrash]) -> CrashTable {
    let mut table = CrashTable::default();
    for crash in crashes {
        table.note_crash(&[CONTENT], crash, at(5_000));
    }
    table
}

fn is_allowed(table: &CrashTable, now: Moment) -> bool {
    table.clone().admit(&[CONTENT], false, now) == CrashVerdict::Allowed
}

#[test]
fn a_content_that_left_two_targets_silent_one_after_the_other_is_blocked() {
    let table = noted(&[silent("t1", 0, 600), silent("t2", 700, 1_300)]);
    assert!(!is_allowed(&table, at(LONG)));
}

#[test]
fn targets_that_were_silent_at_the_same_time_convict_nobody() {
    // Both hosts may have gone down together while the request was at them.
    let table = noted(&[silent("t1", 0, 600), silent("t2", 300, 800)]);
    assert!(is_allowed(&table, at(5_000)));
}

#[test]
fn one_crash_that_several_attempts_show_counts_once() {
    let table = noted(&[silent("t1", 0, 600), silent("t1", 2_000, 2_600)]);
    assert!(is_allowed(&table, at(5_000)));
}

#[test]
fn a_crash_that_one_attempt_noticed_and_another_did_not_counts_once() {
    let mut noticed = silent("t1", 0, 100);
    noticed.evidence = CrashEvidence::Refusal;
    let table = noted(&[noticed, silent("t1", 50, 2_600)]);
    assert!(is_allowed(&table, at(5_000)));
}

#[test]
fn an_answer_that_went_well_clears_the_content() {
    let mut table = CrashTable::default();
    table.note_survival(&[CONTENT], at(800));
    table.note_crash(&[CONTENT], &silent("t1", 0, 600), at(5_000));
    table.note_crash(&[CONTENT], &silent("t2", 900, 1_500), at(5_000));
    assert!(is_allowed(&table, at(5_000)));
}

#[test]
fn a_run_that_reports_again_did_not_crash() {
    // A cut looks like a crash until the same run is back.
    let crashes = [silent("t1", 0, 600), silent("t2", 700, 1_300)];
    let mut table = noted(&crashes);
    let peer = table.clone();
    table.withdraw(&target("t1"), RUN + 1, at(6_000));
    assert!(!is_allowed(&table, at(6_000)), "another run");
    table.withdraw(&target("t1"), RUN, at(6_000));
    assert!(is_allowed(&table, at(6_001)));
    // A peer that has not learned it yet goes on reporting the crash.
    table.merge(&peer.newest(8), at(6_100));
    assert!(is_allowed(&table, at(6_101)));
    table.expire(at(6_000) + Duration::from_secs(120));
    table.merge(&peer.newest(8), at(200_000));
    assert!(!is_allowed(&table, at(200_000)));
}
