//! A leaving target gets no new work, and a stopping instance ends all its running requests first.

mod support;

use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use support::SystemPlan;
use support::TestSystem;
use support::caller::call;
use support::caller::open_stream;
use support::truth::assert_whole;
use support::truth::serving_engine;
use support::wait_for;

use banyan_standin::engine::EngineHandle;
use banyan_standin::fault::EngineFault;
use banyan_standin::fault::PlatformFault;
use banyan_wire::caller::OutcomeWire;

/// The number of tokens of each answer.
const TOKENS: u64 = 30;

fn started_lineages(engine: &EngineHandle) -> usize {
    engine.truth().runs.iter().filter(|run| run.step.token == 0).count()
}

async fn run_answers(system: &TestSystem, count: usize) {
    for number in 0..count {
        let prompt = format!("after {number}");
        let mut answer = open_stream(system.caller(0), &prompt, 2).await.unwrap();
        answer.read_all().await;
        assert_whole(&answer, &prompt, 2);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_engine_ends_its_streams_and_gets_no_new_one() {
    let system = TestSystem::start(SystemPlan { stages: 1, ..Default::default() }).await;
    let prompt = "under way";
    let mut answer = open_stream(system.caller(0), prompt, TOKENS).await.unwrap();
    answer.read_tokens(2).await;
    let engine = serving_engine(&system, 0, &answer.request);
    engine.fault(EngineFault::Leaving { leaving: true });
    let name = engine.truth().name;
    let knows_leaving = |leaving: bool| {
        let tables = system.entries[0].state.tables();
        tables.targets.rows[&name.parse().unwrap()].leaving.any() == leaving
    };
    wait_for("the entry knows that the engine is leaving", || knows_leaving(true)).await;
    let before = started_lineages(engine);
    run_answers(&system, 10).await;
    assert_eq!(started_lineages(engine), before, "a leaving engine got new work");
    answer.read_all().await;
    assert_whole(&answer, prompt, TOKENS);
    let runs = engine.truth().runs.iter().filter(|run| run.step.request == answer.request).count();
    assert_eq!(runs as u64, TOKENS, "the running stream was moved");

    engine.fault(EngineFault::Leaving { leaving: false });
    wait_for("the entry knows that the engine is back", || knows_leaving(false)).await;
    let served_again = async {
        while started_lineages(engine) == before {
            run_answers(&system, 1).await;
        }
    };
    tokio::time::timeout(support::WAIT_LIMIT, served_again).await.expect("it gets work again");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_ends_every_stream_under_way_and_refuses_new_requests() {
    let mut system = TestSystem::start(SystemPlan::default()).await;
    let caller = system.caller(0);
    let mut answers = Vec::new();
    for number in 0..6 {
        let prompt = format!("note {number}");
        let mut answer = open_stream(caller, &prompt, 300).await.unwrap();
        answer.read_tokens(1).await;
        answers.push((prompt, answer));
    }
    let entry = system.entries.remove(0);
    let state = entry.state.clone();
    let stopped = tokio::spawn(entry.shutdown());
    let mut phase = state.phase.subscribe();
    phase.wait_for(|phase| *phase == banyan_entry::state::ServingPhase::Draining).await.unwrap();
    let refused = open_stream(caller, "too late", 3).await.unwrap_err();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.outcome, OutcomeWire::NotRun);
    for (prompt, answer) in &mut answers {
        answer.read_all().await;
        assert_whole(answer, prompt, 300);
    }
    stopped.await.unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_takes_what_still_arrives_while_the_balancer_notices() {
    let mut system = TestSystem::start(SystemPlan::default()).await;
    let caller = system.caller(0);
    let entry = system.entries.remove(0);
    let state = entry.state.clone();
    let stopped = tokio::spawn(entry.shutdown());
    let mut phase = state.phase.subscribe();
    phase.wait_for(|phase| *phase == banyan_entry::state::ServingPhase::Unready).await.unwrap();
    let mut answer = open_stream(caller, "just in time", 5).await.unwrap();
    answer.read_all().await;
    assert_whole(&answer, "just in time", 5);
    stopped.await.unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn rolling_restart_of_all_entries_under_load_cuts_nothing() {
    let plan = SystemPlan { entries: 7, step_time: Duration::from_millis(2), ..Default::default() };
    let mut system = TestSystem::start(plan).await;
    for turn in 0..7 {
        let mut answers = Vec::new();
        for entry in 0..system.entries.len() {
            let prompt = format!("turn {turn} entry {entry}");
            let mut answer = open_stream(system.caller(entry), &prompt, 40).await.unwrap();
            answer.read_tokens(1).await;
            answers.push((prompt, answer));
        }
        let stopped = tokio::spawn(system.entries.remove(0).shutdown());
        let body = json!({"turn": turn});
        let key = format!("key-{turn}");
        let reply = call(system.caller(0), "book", Some(&key), &body).await;
        assert_eq!(reply.outcome, OutcomeWire::Complete, "{reply:?}");
        for (prompt, answer) in &mut answers {
            answer.read_all().await;
            assert_whole(answer, prompt, 40);
        }
        stopped.await.unwrap();
        system.add_entry(&format!("entry-new-{turn}")).await;
    }
    assert_eq!(system.services[0].truth().runs.len(), 7);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_while_a_stage_is_replaced_and_the_log_is_down_cuts_nothing() {
    let mut system = TestSystem::start(SystemPlan::default()).await;
    let prompt = "everything at once";
    let mut answer = open_stream(system.caller(0), prompt, TOKENS).await.unwrap();
    answer.read_tokens(2).await;
    system.platform.fault(PlatformFault::Outage { reads: true, appends: true });
    let engine = serving_engine(&system, 1, &answer.request);
    engine.fault(EngineFault::Connection(banyan_standin::fault::ConnectionFault::Freeze));
    let entry = system.entries.remove(0);
    let stopped = tokio::spawn(entry.shutdown());
    answer.read_all().await;
    assert_whole(&answer, prompt, TOKENS);
    stopped.await.unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_waits_for_a_slow_caller() {
    let mut system = TestSystem::start(SystemPlan::default()).await;
    let prompt = "read slowly";
    let mut answer = open_stream(system.caller(0), prompt, 200).await.unwrap();
    answer.read_tokens(1).await;
    let entry = system.entries.remove(0);
    let state = entry.state.clone();
    let stopped = tokio::spawn(entry.shutdown());
    wait_for("the whole answer has been made", || state.tables().admission.active() == 0).await;
    // Nothing was read in the meantime, so the caller has not received the rest of the answer yet.
    answer.read_all().await;
    assert_whole(&answer, prompt, 200);
    stopped.await.unwrap();
}
