//! Tests of suspicions about targets.

use std::time::Duration;

use crate::support::at;
use crate::support::target;
use banyan_core::pipeline::suspicion::CheckOutcome;
use banyan_core::pipeline::suspicion::ProbeOutcome;
use banyan_core::pipeline::suspicion::SuspicionTable;

const SILENCE: Duration = Duration::from_millis(70);

#[test]
fn a_suspicion_expires_and_grows_with_repeated_failures() {
    let mut table = SuspicionTable::default();
    table.note_failure(&target("a"), at(0));
    assert!(table.is_suspect(&target("a"), at(500)));
    assert!(!table.is_suspect(&target("a"), at(1_000)));
    table.note_failure(&target("a"), at(1_000));
    assert!(table.is_suspect(&target("a"), at(2_500)));
}

#[test]
fn probes_of_one_target_are_rate_limited() {
    // Without a limit, every stream of a slow chain would probe each of its engines at each check.
    let mut table = SuspicionTable::default();
    let ids = [target("a"), target("b")];
    assert_eq!(table.begin_probes(&ids, at(0)).len(), 2);
    let started: usize = (1..300).map(|millis| table.begin_probes(&ids, at(millis)).len()).sum();
    assert_eq!(started, 0);
    assert_eq!(table.begin_probes(&ids, at(300)).len(), 2);
}

#[test]
fn a_target_is_silent_only_without_tokens_and_answers() {
    let mut table = SuspicionTable::default();
    let (moving, answering, dead) = (target("moving"), target("answering"), target("dead"));
    table.note_progress(&moving, at(980));
    table.record_probe(&answering, ProbeOutcome::Answered, at(900));
    let ids = [moving, answering, dead.clone()];
    assert_eq!(table.silent(ids.iter(), SILENCE, at(1_000)), vec![dead]);
}

#[test]
fn only_targets_with_an_unanswered_probe_are_unresponsive() {
    let mut table = SuspicionTable::default();
    let ids = [target("quick"), target("dead")];
    table.begin_probes(&ids, at(0));
    assert!(table.unresponsive(ids.iter(), at(10)).is_empty(), "the probe has not timed out yet");
    table.record_probe(&ids[0], ProbeOutcome::Answered, at(3));
    assert_eq!(table.unresponsive(ids.iter(), at(40)), vec![target("dead")]);
}

#[test]
fn an_answer_ends_a_suspicion() {
    let mut table = SuspicionTable::default();
    assert!(table.record_probe(&target("a"), ProbeOutcome::NoAnswer, at(0)));
    assert!(
        !table.record_probe(&target("a"), ProbeOutcome::NoAnswer, at(300)),
        "the second probe changes nothing"
    );
    assert!(table.is_unreachable(&target("a"), at(400)));
    assert!(table.record_probe(&target("a"), ProbeOutcome::Answered, at(500)));
    assert!(!table.is_suspect(&target("a"), at(500)));
    assert_eq!(table.unreachable(at(500)).count(), 0);
}

#[test]
fn a_refusal_is_not_a_failure() {
    // Regression: a refusal counted as a failure, so an engine that was briefly out of memory was
    // suspected for up to 4 s, which disabled the chains of its zone.
    let mut table = SuspicionTable::default();
    for millis in 0..40 {
        table.note_refusal(&target("a"), at(millis * 10));
    }
    assert_eq!(table.revision, 1);
    table.record_probe(&target("a"), ProbeOutcome::Answered, at(400));
    assert!(table.is_suspect(&target("a"), at(500)), "an answer does not end a refusal");
    assert!(!table.is_suspect(&target("a"), at(900)));
}

#[test]
fn one_failure_reported_by_many_streams_counts_once() {
    // Regression: each of forty streams stopped by one crash counted as a failure. This raised the
    // suspicion to its longest duration, and the chains were recomputed for each stream.
    let mut table = SuspicionTable::default();
    for millis in 0..40 {
        table.note_failure(&target("a"), at(millis));
    }
    assert_eq!(table.revision, 1);
    assert!(!table.is_suspect(&target("a"), at(1_050)));
}

#[test]
fn a_target_whose_host_refuses_connections_is_absent_until_it_answers() {
    let mut table = SuspicionTable::default();
    table.record_probe(&target("silent"), ProbeOutcome::NoAnswer, at(0));
    table.record_probe(&target("gone"), ProbeOutcome::Absent, at(0));
    assert!(!table.is_absent(&target("silent"), at(10)));
    assert!(table.is_absent(&target("gone"), at(10)));
    assert!(table.is_unreachable(&target("gone"), at(10)));
    table.record_probe(&target("gone"), ProbeOutcome::Answered, at(20));
    assert!(!table.is_absent(&target("gone"), at(20)));
}

#[test]
fn a_checker_answers_from_what_it_knows() {
    let mut table = SuspicionTable::default();
    let id = target("a");
    assert_eq!(table.known_outcome(&id, at(0)), CheckOutcome::Unknown);
    table.note_progress(&id, at(0));
    let alive = CheckOutcome::Alive(Duration::from_millis(50));
    assert_eq!(table.known_outcome(&id, at(50)), alive);
    assert_eq!(table.known_outcome(&id, at(80)), CheckOutcome::Unknown, "the token is too old");
    table.record_probe(&id, ProbeOutcome::Absent, at(110));
    assert_eq!(table.known_outcome(&id, at(400)), CheckOutcome::Unreachable);
    assert_eq!(table.known_outcome(&id, at(410)), CheckOutcome::Unknown, "the probe is too old");
}

#[test]
fn a_target_whose_checker_answers_late_is_not_unresponsive_yet() {
    let mut table = SuspicionTable::default();
    let ids = [target("a")];
    table.begin_probes(&ids, at(0));
    table.await_checker(&ids[0]);
    assert!(table.unresponsive(ids.iter(), at(39)).is_empty());
    assert_eq!(table.unresponsive(ids.iter(), at(40)), ids, "nor did the own probe get an answer");
}

#[test]
fn the_word_of_a_checker_never_causes_a_suspicion() {
    // Regression: a checker on a busy machine saw its probes answered late, and all instances of
    // its zone moved their streams away from sound engines: 5,855 instead of 700 moves.
    let mut table = SuspicionTable::default();
    let id = target("a");
    for outcome in [CheckOutcome::Unreachable, CheckOutcome::Unknown] {
        assert!(table.record_check(&id, outcome, at(0)), "this instance must probe itself");
        assert!(!table.is_suspect(&id, at(0)) && !table.is_unreachable(&id, at(0)));
    }
}

#[test]
fn a_checker_may_know_that_a_target_is_alive_from_before_the_question() {
    // Regression: the word of the checker was older than the question, so that the target counted
    // as unresponsive: 8,579 streams were moved away from sound engines.
    let mut table = SuspicionTable::default();
    let ids = [target("a")];
    table.begin_probes(&ids, at(1_000));
    table.await_checker(&ids[0]);
    let alive = CheckOutcome::Alive(Duration::from_millis(200));
    assert!(!table.record_check(&ids[0], alive, at(1_010)));
    assert!(table.unresponsive(ids.iter(), at(1_100)).is_empty());
}

#[test]
fn the_word_of_a_checker_extends_and_ends_a_finding() {
    let mut table = SuspicionTable::default();
    let id = target("a");
    table.record_probe(&id, ProbeOutcome::NoAnswer, at(0));
    assert!(!table.record_check(&id, CheckOutcome::Unreachable, at(1_000)));
    assert!(table.is_unreachable(&id, at(2_400)));
    assert!(!table.record_check(&id, CheckOutcome::Alive(Duration::ZERO), at(2_400)));
    assert!(!table.is_unreachable(&id, at(2_400)) && !table.is_suspect(&id, at(2_400)));
}
