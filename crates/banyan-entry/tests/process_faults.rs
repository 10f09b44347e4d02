//! Faults that need separate processes: entries that are killed, paused past every limit and
//! stopped.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use support::SystemPlan;
use support::TestSystem;
use support::caller::AnswerStream;
use support::caller::CallReply;
use support::caller::call;
use support::caller::open_stream;
use support::process::EntryProcess;
use support::process::ProcessSignal;
use support::truth::assert_once;
use support::truth::assert_whole;
use support::wait_for;

use banyan_standin::fault::PlatformFault;
use banyan_wire::caller::OutcomeWire;

/// Longer than an entry waits to read a claim back.
const PAST_CLAIM_WAIT: Duration = Duration::from_millis(2600);

/// A system whose entries are started as separate processes.
async fn system(call_time: Duration) -> TestSystem {
    TestSystem::start(SystemPlan { entries: 0, call_time, ..Default::default() }).await
}

fn runs(system: &TestSystem) -> usize {
    system.services.iter().map(|service| service.truth().runs.len()).sum()
}

fn claims(system: &TestSystem) -> usize {
    let appends = system.platform.truth().appends;
    appends.iter().filter(|row| row.body.contains("\"kind\":\"claim\"")).count()
}

fn start_call(entry: SocketAddr, body: &Value) -> tokio::task::JoinHandle<Option<CallReply>> {
    let body = body.clone();
    let task = async move { call(entry, "book", Some("key-1"), &body).await };
    // A killed entry closes the caller's connection, and the inner task panics.
    tokio::spawn(async move { tokio::spawn(task).await.ok() })
}

async fn open(entry: &EntryProcess, prompt: &str, tokens: u64) -> AnswerStream {
    open_stream(entry.caller_address, prompt, tokens).await.unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_killed_after_its_claim_leaves_the_key_unknown_and_never_run() {
    let system = system(Duration::from_millis(2)).await;
    let mut first = EntryProcess::start("entry-1", system.platform.address).await;
    let second = EntryProcess::start("entry-2", system.platform.address).await;
    let body = json!({"fitter": 7});
    // Reads fail until after the kill, so the claim is appended but not read back.
    system.platform.fault(PlatformFault::Outage { reads: true, appends: false });
    let pending = start_call(first.caller_address, &body);
    let outcome = tokio::time::timeout(Duration::from_millis(300), async {
        while claims(&system) == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    let claimed = outcome.await.is_ok();
    first.kill();
    let _ = pending.await;
    system.platform.fault(PlatformFault::Outage { reads: false, appends: false });
    let again = loop {
        let reply = call(second.caller_address, "book", Some("key-1"), &body).await;
        if reply.body["error"]["type"] != "log_away" {
            break reply;
        }
    };
    if claimed {
        assert_eq!(again.outcome, OutcomeWire::Unknown, "{again:?}");
        assert_eq!(runs(&system), 0);
    } else {
        assert_eq!(again.outcome, OutcomeWire::Complete, "{again:?}");
        assert_eq!(runs(&system), 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_killed_while_its_call_runs_leaves_the_key_unknown() {
    let system = system(Duration::from_millis(400)).await;
    let mut first = EntryProcess::start("entry-1", system.platform.address).await;
    let second = EntryProcess::start("entry-2", system.platform.address).await;
    let body = json!({"fitter": 7});
    let pending = start_call(first.caller_address, &body);
    wait_for("the call runs", || runs(&system) == 1).await;
    first.kill();
    let _ = pending.await;
    let again = call(second.caller_address, "book", Some("key-1"), &body).await;
    assert_eq!(again.outcome, OutcomeWire::Unknown, "{again:?}");
    assert_eq!(runs(&system), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_killed_before_its_claim_leaves_the_key_free() {
    let system = system(Duration::from_millis(2)).await;
    let mut first = EntryProcess::start("entry-1", system.platform.address).await;
    let second = EntryProcess::start("entry-2", system.platform.address).await;
    let body = json!({"fitter": 7});
    system.platform.fault(PlatformFault::Outage { reads: false, appends: true });
    let pending = start_call(first.caller_address, &body);
    while first.status().await.is_none_or(|status| status.open_claims.is_empty()) {
        assert!(!pending.is_finished(), "the call ended before its claim was seen");
    }
    first.kill();
    let _ = pending.await;
    system.platform.fault(PlatformFault::Outage { reads: false, appends: false });
    let again = call(second.caller_address, "book", Some("key-1"), &body).await;
    assert_eq!(again.outcome, OutcomeWire::Complete, "{again:?}");
    assert_eq!(runs(&system), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claimant_paused_past_every_limit_and_woken_runs_its_call_at_most_once() {
    let system = system(Duration::from_millis(2)).await;
    let first = EntryProcess::start("entry-1", system.platform.address).await;
    let second = EntryProcess::start("entry-2", system.platform.address).await;
    let body = json!({"fitter": 7});
    let pending = start_call(first.caller_address, &body);
    wait_for("the claim has landed", || claims(&system) == 1).await;
    first.signal(ProcessSignal::Stop);
    let paused_until = tokio::time::Instant::now() + PAST_CLAIM_WAIT;
    let mut repeats = Vec::new();
    while tokio::time::Instant::now() < paused_until || repeats.is_empty() {
        repeats.push(call(second.caller_address, "book", Some("key-1"), &body).await);
    }
    let before = runs(&system);
    first.signal(ProcessSignal::Continue);
    let reply = pending.await.unwrap().expect("the paused entry answers");
    let again = call(second.caller_address, "book", Some("key-1"), &body).await;
    let runs = runs(&system);
    assert!(runs <= 1, "the call ran {runs} times");
    // If the paused entry answered 'not run', the call did not run there: either a later repeat
    // runs it, or no run was added after the pause.
    if reply.outcome == OutcomeWire::NotRun {
        assert!(again.outcome == OutcomeWire::Complete || before == runs, "{reply:?} {again:?}");
    }
    let not_run = repeats.iter().find(|repeat| repeat.outcome == OutcomeWire::NotRun);
    assert!(not_run.is_none(), "reported 'not run' while the claim was open: {not_run:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_killed_in_a_stream_never_ends_it_as_if_whole() {
    let system = system(Duration::from_millis(2)).await;
    let mut first = EntryProcess::start("entry-1", system.platform.address).await;
    let second = EntryProcess::start("entry-2", system.platform.address).await;
    let mut cut = open(&first, "cut short", 100).await;
    cut.read_tokens(3).await;
    first.kill();
    cut.read_all().await;
    assert!(cut.end.is_none() && !cut.done, "a cut stream looks whole: {cut:?}");
    let mut answer = open(&second, "goes on", 10).await;
    answer.read_all().await;
    assert_whole(&answer, "goes on", 10);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_paused_in_a_stream_finishes_it_whole_when_woken() {
    let system = system(Duration::from_millis(2)).await;
    let entry = EntryProcess::start("entry-1", system.platform.address).await;
    let mut answer = open(&entry, "paused", 60).await;
    answer.read_tokens(3).await;
    entry.signal(ProcessSignal::Stop);
    tokio::time::sleep(PAST_CLAIM_WAIT).await;
    entry.signal(ProcessSignal::Continue);
    answer.read_all().await;
    assert_whole(&answer, "paused", 60);
    assert_once(&system, &answer.request, 60, None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn terminated_entry_finishes_its_streams_also_after_a_second_signal() {
    let system = system(Duration::from_millis(300)).await;
    let mut entry = EntryProcess::start("entry-1", system.platform.address).await;
    let mut answer = open(&entry, "stopping", 200).await;
    answer.read_tokens(2).await;
    let pending = start_call(entry.caller_address, &json!({"fitter": 7}));
    wait_for("the call runs", || runs(&system) == 1).await;
    entry.signal(ProcessSignal::Terminate);
    answer.read_tokens(10).await;
    entry.signal(ProcessSignal::Terminate);
    answer.read_all().await;
    assert_whole(&answer, "stopping", 200);
    let reply = pending.await.unwrap().expect("the call is answered");
    assert_eq!(reply.outcome, OutcomeWire::Complete, "{reply:?}");
    assert!(entry.wait_end().await.success());
    let closed = system.platform.truth().appends;
    let closed = closed.iter().filter(|row| row.body.contains("\"kind\":\"close\"")).count();
    assert_eq!(closed, 1, "the outcome of the call is in the log");
}
