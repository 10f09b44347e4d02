//! Tests collecting, merging, filtering and rendering the events of several processes.

use std::future::pending;
use std::net::SocketAddr;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::net::TcpListener;
use warp::Filter;

use banyan_core::event::EventKind;
use banyan_core::event::HybridClock;
use banyan_http::server::serve;
use banyan_timeline::command::timeline_command;
use banyan_timeline::merge::merge_replies;
use banyan_timeline::picture::timeline_page;
use banyan_timeline::run::EXIT_DONE;
use banyan_timeline::run::EXIT_NO_EVENTS;
use banyan_timeline::run::EXIT_PARTIAL;
use banyan_timeline::run::EXIT_USAGE;
use banyan_timeline::run::TimelineReport;
use banyan_timeline::run::run_command;
use banyan_wire::operator::EventWire;
use banyan_wire::operator::EventsReply;
use banyan_wire::platform::InstanceRole;
use banyan_wire::platform::InstanceState;
use banyan_wire::platform::InstanceWire;
use banyan_wire::platform::InstancesReply;

fn event(stamp: &str, kind: EventKind, request: &str, target: &str) -> EventWire {
    EventWire {
        stamp: SmolStr::new(stamp),
        kind: format_smolstr!("{kind}"),
        request: SmolStr::new(request),
        target: SmolStr::new(target),
        detail: SmolStr::new("<b>"),
    }
}

fn reply(process: &str, events: Vec<EventWire>) -> EventsReply {
    EventsReply { process: SmolStr::new(process), dropped: 0, events }
}

fn first_process() -> EventsReply {
    let events = vec![
        event("100.0", EventKind::Admitted, "r1", ""),
        event("100.1", EventKind::StepSent, "r1", "e1"),
        event("130.0", EventKind::Completed, "r1", ""),
    ];
    reply("entry-1", events)
}

fn second_process() -> EventsReply {
    let events = vec![
        event("100.1", EventKind::Admitted, "r2", ""),
        event("105.2", EventKind::Refused, "r2", ""),
    ];
    EventsReply { dropped: 9, ..reply("entry-2", events) }
}

async fn serve_events(reply: EventsReply) -> SocketAddr {
    let routes = warp::path!("operator" / "events").map(move || warp::reply::json(&reply));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, routes, pending::<()>()));
    address
}

async fn serve_instance_list(entries: Vec<(&str, SocketAddr)>) -> SocketAddr {
    let row = |(name, address): (&str, SocketAddr)| InstanceWire {
        name: SmolStr::new(name),
        role: InstanceRole::Entry,
        state: InstanceState::Live,
        zone: SmolStr::new("gebze"),
        caller_address: None,
        peer_address: None,
        operator_address: Some(format_smolstr!("{address}")),
    };
    let instances = entries.into_iter().map(row).collect();
    let list = InstancesReply { version: 1, instances };
    let routes = warp::path!("instances").map(move || warp::reply::json(&list));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, routes, pending::<()>()));
    address
}

async fn run(args: &[&str]) -> TimelineReport {
    let line = std::iter::once("banyan-timeline").chain(args.iter().copied());
    run_command(&timeline_command().try_get_matches_from(line).unwrap()).await
}

#[test]
fn command_line_is_consistent() {
    timeline_command().debug_assert();
}

#[test]
fn events_are_sorted_by_timestamp_and_deduplicated() {
    let timeline = merge_replies(vec![second_process(), first_process(), first_process()]);
    let order: Vec<String> =
        timeline.events.iter().map(|(stamp, row)| format!("{stamp} {}", row.process)).collect();
    let expected =
        ["100.0 entry-1", "100.1 entry-1", "100.1 entry-2", "105.2 entry-2", "130.0 entry-1"];
    assert_eq!(order, expected);
    assert_eq!(timeline.gaps.len(), 1);
    assert_eq!(timeline.gaps[0].count, 9);
}

#[test]
fn effect_sorts_after_its_cause_when_its_clock_is_behind() {
    let mut sender = HybridClock::default();
    let mut receiver = HybridClock::default();
    let sent = sender.tick(5000);
    receiver.observe(sent);
    let received = receiver.tick(3);
    let at = |stamp| event(&format!("{stamp}"), EventKind::StepSent, "r", "");
    let timeline =
        merge_replies(vec![reply("late", vec![at(received)]), reply("ahead", vec![at(sent)])]);
    assert_eq!(timeline.events[0].1.process, "ahead");
}

#[tokio::test]
async fn processes_of_the_instance_list_are_merged_and_filtered() {
    let first = serve_events(first_process()).await;
    let second = serve_events(second_process()).await;
    let platform =
        serve_instance_list(vec![("entry-1", first), ("entry-2", second)]).await.to_string();
    let report = run(&["--platform", &platform]).await;
    assert_eq!((report.exit, report.lines.len()), (EXIT_DONE, 5), "{report:?}");
    assert!(report.lines[1].contains("+0 ms entry-1 step-sent request r1 target e1"));
    assert!(report.notes[0].contains("9 events are missing"), "{:?}", report.notes);
    let count = async |filter: &[&str]| {
        run(&[&["--platform", &platform], filter].concat()).await.lines.len()
    };
    assert_eq!(count(&["--request", "r1"]).await, 3);
    assert_eq!(count(&["--target", "e1"]).await, 1);
    assert_eq!(count(&["--instance", "entry-2"]).await, 2);
    assert_eq!(count(&["--kind", "admitted", "--kind", "refused"]).await, 3);
    assert_eq!(count(&["--kind", "admitted", "--request", "r2"]).await, 1);
    assert_eq!(count(&["--last", "2"]).await, 2);
}

#[tokio::test]
async fn failed_sources_are_reported() {
    let first = format!("one={}", serve_events(first_process()).await);
    let args = ["--process", &first, "--process", "gone=127.0.0.1:9", "--file", "/no/such"];
    let report = run(&args).await;
    assert_eq!((report.exit, report.lines.len()), (EXIT_PARTIAL, 3), "{report:?}");
    assert_eq!(report.notes.len(), 2);
    assert!(report.notes[0].contains("gone"), "{:?}", report.notes);
    assert_eq!(run(&["--process", "gone=127.0.0.1:9"]).await.exit, EXIT_NO_EVENTS);
    assert_eq!(run(&[]).await.exit, EXIT_USAGE);
    let args = ["banyan-timeline", "--process", "gone"];
    assert!(timeline_command().try_get_matches_from(args).is_err());
}

#[tokio::test]
async fn saved_events_and_printed_lines_are_read_back() {
    let directory = std::env::temp_dir();
    let saved = directory.join(format!("banyan-events-{}.json", std::process::id()));
    let printed = directory.join(format!("banyan-lines-{}.json", std::process::id()));
    std::fs::write(&saved, serde_json::to_string(&first_process()).unwrap()).unwrap();
    let args = ["--file", saved.to_str().unwrap(), "--json"];
    let first = run(&args).await;
    std::fs::write(&printed, first.lines.join("\n")).unwrap();
    let second = run(&["--file", printed.to_str().unwrap(), "--json"]).await;
    std::fs::remove_file(saved).unwrap();
    std::fs::remove_file(printed).unwrap();
    assert_eq!(first.lines.len(), 3);
    assert_eq!(first.lines, second.lines);
}

#[test]
fn page_has_a_lane_for_each_process_and_a_mark_for_each_event() {
    let page = timeline_page(&merge_replies(vec![first_process(), second_process()]));
    assert_eq!(page.matches("class=\"lane\"").count(), 2);
    assert_eq!(page.matches("<title>10").count(), 4);
    assert_eq!(page.matches("<polyline").count(), 2);
    assert!(page.contains("detail: &lt;b&gt;"), "text is escaped");
    assert!(!page.contains("http"), "the page loads no external resources");
}

#[test]
fn operator_documentation_lists_every_event_kind() {
    let path = env!("CARGO_MANIFEST_DIR").to_owned() + "/../../docs/operators/timeline.md";
    let page = std::fs::read_to_string(path).unwrap();
    let kinds = page.split("## Kinds").nth(1).unwrap();
    let names: Vec<&str> = kinds.split('`').skip(1).step_by(2).collect();
    for name in &names {
        assert!(name.parse::<EventKind>().is_ok(), "'{name}' is not an event kind");
    }
    // `Stopped` is the last declared variant, so its index gives the number of kinds.
    assert_eq!(names.len(), EventKind::Stopped as usize + 1, "an event kind is missing");
}
