//! Latencies count from the intended time, and a stream that was cut never went on.

use std::time::Duration;

use smol_str::SmolStr;

use banyan_load::caller::CallEnd;
use banyan_load::load::CallRecord;
use banyan_load::report::ExperimentLine;
use banyan_load::tally::count_ends;
use banyan_load::tally::first_token_latencies;
use banyan_load::tally::longest_stall;
use banyan_load::tally::report_ends;
use banyan_load::tally::tokens_between;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn record(at: u64, tokens: &[u64], end: CallEnd) -> CallRecord {
    CallRecord {
        at: ms(at),
        workspace: 0,
        entry: 0,
        asked: tokens.len() as u64,
        deadline: ms(1000),
        end,
        tokens: tokens.iter().copied().map(ms).collect(),
        ended: ms(tokens.last().copied().unwrap_or(at) + 1),
    }
}

#[test]
fn the_first_token_is_timed_from_the_intended_sending() {
    let records = [record(100, &[350, 400], CallEnd::Complete)];
    let set = first_token_latencies(records.iter()).expect("a histogram");
    assert!((set.quantile_ms(0.5) - 250.0).abs() < 1.0);
}

#[test]
fn a_stall_is_counted_within_the_window_only() {
    let records = [record(0, &[100, 900, 950], CallEnd::Complete)];
    assert_eq!(longest_stall(&records, ms(200), ms(2000)), ms(700));
    assert_eq!(longest_stall(&records, ms(200), ms(500)), ms(300));
    assert_eq!(longest_stall(&records, ms(960), ms(2000)), Duration::ZERO);
}

#[test]
fn a_stream_that_was_cut_stands_still_to_the_end() {
    let records = [record(0, &[100, 300], CallEnd::Unknown(SmolStr::new("cut")))];
    assert_eq!(longest_stall(&records, ms(250), ms(2000)), ms(1700));
}

#[test]
fn tokens_are_counted_by_when_they_came() {
    let records = [record(0, &[10, 20, 30], CallEnd::Complete)];
    assert_eq!(tokens_between(&records, ms(10), ms(30)), 2);
}

#[test]
fn ends_are_counted_and_a_wrong_answer_misses_every_target() {
    let wrong = record(0, &[1], CallEnd::Wrong(SmolStr::new("other text")));
    let refused = record(0, &[], CallEnd::NotRun(SmolStr::new("overloaded")));
    let records = [record(0, &[1], CallEnd::Complete), refused, wrong];
    let counts = count_ends(records.iter());
    assert_eq!((counts["complete"], counts["not_run_overloaded"], counts["wrong"]), (1, 1, 1));
    let mut line = ExperimentLine::new("test", 1, "nothing", "nothing");
    report_ends(&records, "", &mut line);
    assert!(!line.met);
}
