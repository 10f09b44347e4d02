//! The subcommands against a platform and entries in this process.

mod support;

use std::path::PathBuf;

use support::FakeFleet;

use banyan_ctl::command::ctl_command;
use banyan_ctl::report::ExitKind;
use banyan_wire::platform::InstanceState;

/// Long enough for a loaded machine; nothing waits it out.
const LONG_MS: u64 = 30_000;
/// For waits that are meant to end without success.
const SHORT_MS: u64 = 1500;
const ALL: usize = usize::MAX;

fn example() -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/quickstart.jsonc");
    path.to_str().unwrap().into()
}

async fn fleet_of_three() -> FakeFleet {
    let fleet = FakeFleet::start().await;
    for name in ["entry-1", "entry-2", "entry-3"] {
        fleet.add_entry(name, ALL).await;
    }
    fleet
}

#[test]
fn command_line_is_consistent() {
    ctl_command().debug_assert();
}

#[tokio::test]
async fn apply_waits_for_every_instance_and_a_second_one_changes_nothing() {
    let fleet = fleet_of_three().await;
    let path = example();
    let report = fleet.run(&["apply", &path], LONG_MS).await.unwrap();
    assert_eq!(report.exit, ExitKind::Done, "{}", report.text);
    assert!(report.text.contains("revision 1 is in force on all 3"), "{}", report.text);
    assert!(report.json.contains("\"outcome\":\"in-force\""), "{}", report.json);
    let again = fleet.run(&["apply", &path], LONG_MS).await.unwrap();
    assert!(again.json.contains("\"outcome\":\"unchanged\""), "{}", again.json);
    assert_eq!(fleet.lock().log.len(), 1);
    let text = fleet.run(&["in-force", "--file", "quickstart.jsonc"], LONG_MS).await.unwrap();
    assert_eq!(text.text, std::fs::read_to_string(path).unwrap());
}

#[tokio::test]
async fn lost_answer_is_retried_under_the_same_record() {
    let fleet = FakeFleet::start().await;
    // The entry reads nothing before the third entry of the log, so the tool has to send again.
    fleet.add_entry_from("entry-1", 3).await;
    fleet.lock().lost_answers = 2;
    let report = fleet.run(&["apply", &example()], LONG_MS).await.unwrap();
    assert_eq!(report.exit, ExitKind::Done, "{}", report.text);
    assert_eq!(fleet.lock().log.len(), 3);
    let history = fleet.run(&["history"], LONG_MS).await.unwrap();
    let verdicts: Vec<&str> = history.text.lines().map(|line| &line[line.len() - 15..]).collect();
    assert_eq!(verdicts, ["d as revision 1", " without effect", " without effect"]);
}

#[tokio::test]
async fn racing_operator_is_told_the_winner_and_the_remedy() {
    let fleet = fleet_of_three().await;
    let path = example();
    let first = ["apply", &path, "--base", "0", "--author", "ayse"];
    assert_eq!(fleet.run(&first, LONG_MS).await.unwrap().exit, ExitKind::Done);
    let second = ["apply", &path, "--base", "0", "--author", "marko"];
    let report = fleet.run(&second, LONG_MS).await.unwrap();
    assert_eq!(report.exit, ExitKind::Refused);
    assert!(report.text.contains("ayse has put revision 1"), "{}", report.text);
    assert!(report.text.contains("--base 1"), "{}", report.text);
    let new = fleet.run(&["apply", &path, "--name", "other", "--base", "7"], LONG_MS).await;
    // The ids of the second file are declared already, which is found before anything is sent.
    assert_eq!(new.unwrap().exit, ExitKind::Refused);
    assert_eq!(fleet.lock().log.len(), 2);
}

#[tokio::test]
async fn invalid_file_is_not_proposed() {
    let fleet = fleet_of_three().await;
    let path = std::env::temp_dir().join(format!("banyanctl-{}.jsonc", std::process::id()));
    std::fs::write(&path, "{ \"zone\": [] }").unwrap();
    let words = ["apply", path.to_str().unwrap()];
    let report = fleet.run(&words, LONG_MS).await.unwrap();
    let check = fleet.run(&["check", words[1]], LONG_MS).await.unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!((report.exit, check.exit), (ExitKind::Refused, ExitKind::Refused));
    assert!(report.text.contains(":1:3: zone: there is no field"), "{}", report.text);
    assert!(check.json.contains("\"line\":1,\"column\":3"), "{}", check.json);
    assert!(fleet.lock().log.is_empty());
}

#[tokio::test]
async fn instance_that_stays_behind_is_named_and_a_leaving_one_is_not_waited_for() {
    let fleet = FakeFleet::start().await;
    fleet.add_entry("entry-1", ALL).await;
    fleet.list("leaver", "127.0.0.1:9".parse().unwrap(), InstanceState::Leaving);
    let path = example();
    let report = fleet.run(&["apply", &path], LONG_MS).await.unwrap();
    assert_eq!(report.exit, ExitKind::Done, "{}", report.text);
    fleet.add_entry("stuck", 0).await;
    let report = fleet.run(&["apply", &path], SHORT_MS).await.unwrap();
    assert_eq!(report.exit, ExitKind::NotEverywhere);
    assert!(report.text.contains("in force on 1 of 2"), "{}", report.text);
    assert!(report.text.contains("stuck: it has an older revision"), "{}", report.text);
    let in_force = fleet.run(&["in-force"], LONG_MS).await.unwrap();
    assert_eq!(in_force.exit, ExitKind::NotEverywhere, "{}", in_force.text);
}

#[tokio::test]
async fn outage_leaves_the_verdict_unknown_and_says_how_to_go_on() {
    let fleet = fleet_of_three().await;
    fleet.lock().is_down = true;
    let path = example();
    let report = fleet.run(&["apply", &path], SHORT_MS).await.unwrap();
    assert_eq!(report.exit, ExitKind::Unknown);
    let record = report.text.split("--record ").nth(1).unwrap().split(' ').next().unwrap();
    fleet.lock().is_down = false;
    let resume = ["apply", &path, "--record", record, "--base", "0"];
    let report = fleet.run(&resume, LONG_MS).await.unwrap();
    assert_eq!(report.exit, ExitKind::Done, "{}", report.text);
}

#[tokio::test]
async fn status_names_entries_that_do_not_answer() {
    let fleet = fleet_of_three().await;
    assert_eq!(fleet.run(&["status"], LONG_MS).await.unwrap().exit, ExitKind::Done);
    fleet.list("gone", "127.0.0.1:9".parse().unwrap(), InstanceState::Live);
    let report = fleet.run(&["status", "--long"], LONG_MS).await.unwrap();
    assert_eq!(report.exit, ExitKind::NotEverywhere);
    assert!(report.text.contains("gone does not answer"), "{}", report.text);
}

#[tokio::test]
async fn unknown_platform_is_told_apart_from_wrong_flags() {
    let matches = ctl_command().try_get_matches_from(["banyanctl", "history"]).unwrap();
    let error = banyan_ctl::run::run_command(&matches).await.unwrap_err();
    assert_eq!(error.exit(), ExitKind::Usage, "{error}");
    let words = ["banyanctl", "status", "--platform", "127.0.0.1:9"];
    let matches = ctl_command().try_get_matches_from(words).unwrap();
    let error = banyan_ctl::run::run_command(&matches).await.unwrap_err();
    assert_eq!(error.exit(), ExitKind::Unknown, "{error}");
}
