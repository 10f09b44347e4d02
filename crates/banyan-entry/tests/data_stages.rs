//! Every layer runs exactly once for each token, in order, whatever fault occurs in one stage.

mod support;

use std::time::Duration;

use support::SystemPlan;
use support::TestSystem;
use support::caller::open_stream;
use support::truth::assert_once;
use support::truth::assert_whole;
use support::truth::serving_engine;

use banyan_standin::fault::ConnectionFault;
use banyan_standin::fault::EngineFault;
use banyan_standin::fault::LossKind;

/// The number of tokens of each answer.
const TOKENS: u64 = 12;
/// The number of tokens read before the fault.
const TOKENS_BEFORE: usize = 3;

/// Sets one fault on the engine that serves each stage in turn, in the middle of an answer.
///
/// `loses_state` says whether the engine may lose its state together with the running step.
async fn check_fault(fault: EngineFault, loses_state: bool) {
    let system = TestSystem::start(SystemPlan::default()).await;
    for stage in 0..system.engines.len() {
        let prompt = format!("a dictated note, stage {stage}");
        let mut answer = open_stream(system.caller(0), &prompt, TOKENS).await.unwrap();
        answer.read_tokens(TOKENS_BEFORE).await;
        let engine = serving_engine(&system, stage, &answer.request);
        let name = engine.truth().name;
        engine.fault(fault.clone());
        answer.read_all().await;
        assert_whole(&answer, &prompt, TOKENS);
        assert_once(&system, &answer.request, TOKENS, loses_state.then_some(name.as_str()));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_without_fault_is_whole() {
    let system = TestSystem::start(SystemPlan::default()).await;
    let mut answer = open_stream(system.caller(0), "a plain note", TOKENS).await.unwrap();
    answer.read_all().await;
    assert_whole(&answer, "a plain note", TOKENS);
    assert_once(&system, &answer.request, TOKENS, None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_stage_is_replaced() {
    check_fault(EngineFault::Connection(ConnectionFault::Kill), true).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_stage_is_replaced() {
    check_fault(EngineFault::Connection(ConnectionFault::Freeze), true).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_stage_is_replaced() {
    check_fault(EngineFault::Connection(ConnectionFault::Cut), true).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_are_replaced_and_nothing_runs_again() {
    check_fault(EngineFault::Connection(ConnectionFault::Silence), false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_lost_with_its_connection_is_asked_for_again() {
    let how = LossKind::Cut;
    check_fault(EngineFault::LoseAnswers { count: 1, how }, false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_lost_in_silence_is_asked_for_again() {
    let how = LossKind::Silent;
    check_fault(EngineFault::LoseAnswers { count: 1, how }, false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn duplicated_answers_are_taken_once() {
    check_fault(EngineFault::DuplicateAnswers { count: 3 }, false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crossed_answers_are_dropped() {
    check_fault(EngineFault::CrossAnswers { count: 3 }, false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_stage_delays_and_loses_nothing() {
    check_fault(EngineFault::Slow { percent: 10_000 }, false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dead_replacement_is_replaced_too() {
    let plan = SystemPlan { replicas: 3, ..Default::default() };
    let system = TestSystem::start(plan).await;
    let prompt = "two faults in a row";
    let mut answer = open_stream(system.caller(0), prompt, TOKENS).await.unwrap();
    for round in 0..2 {
        answer.read_tokens(TOKENS_BEFORE * (round + 1)).await;
        let engine = serving_engine(&system, 1, &answer.request);
        engine.fault(EngineFault::Connection(ConnectionFault::Kill));
    }
    answer.read_all().await;
    assert_whole(&answer, prompt, TOKENS);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_stages_that_die_together_are_both_replaced() {
    let system = TestSystem::start(SystemPlan::default()).await;
    let prompt = "two faults at once";
    let mut answer = open_stream(system.caller(0), prompt, TOKENS).await.unwrap();
    answer.read_tokens(TOKENS_BEFORE).await;
    let first = serving_engine(&system, 0, &answer.request);
    let last = serving_engine(&system, 2, &answer.request);
    first.fault(EngineFault::Connection(ConnectionFault::Kill));
    last.fault(EngineFault::Connection(ConnectionFault::Freeze));
    answer.read_all().await;
    assert_whole(&answer, prompt, TOKENS);
}

/// Kills the engine that serves the second stage; returns the request of the complete answer.
async fn lose_stage(system: &TestSystem, prompt: &str) -> String {
    let mut answer = open_stream(system.caller(0), prompt, TOKENS).await.unwrap();
    answer.read_tokens(TOKENS_BEFORE).await;
    let engine = serving_engine(system, 1, &answer.request);
    engine.fault(EngineFault::Connection(ConnectionFault::Kill));
    answer.read_all().await;
    assert_whole(&answer, prompt, TOKENS);
    answer.request.to_string()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stage_without_a_spare_goes_on_over_a_chain_cut_otherwise() {
    let plan = SystemPlan { replicas: 1, ..Default::default() };
    let mut system = TestSystem::start(plan).await;
    // The engine with the whole model is declared only after the answer's chain was chosen,
    // because otherwise the answer would run there from the start.
    let prompt = "a spare of another cut";
    let mut answer = open_stream(system.caller(0), prompt, 60).await.unwrap();
    answer.read_tokens(TOKENS_BEFORE).await;
    system.add_whole_engine(1).await;
    let engine = serving_engine(&system, 1, &answer.request);
    engine.fault(EngineFault::Connection(ConnectionFault::Kill));
    answer.read_all().await;
    assert_whole(&answer, prompt, 60);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_restarts_when_a_stage_is_lost_whose_inputs_were_too_large_to_keep() {
    // Each hand-off is larger than half of the limit for the kept inputs of one answer.
    let plan = SystemPlan { handoff_bytes: 40 << 20, ..Default::default() };
    let system = TestSystem::start(plan).await;
    let request = lose_stage(&system, "inputs too large").await;
    let is_own_run = |run: &banyan_standin::truth::RunRow| run.step.request == request.as_str();
    let engines = system.engines.iter().flatten();
    let own_runs = engines.flat_map(|engine| engine.truth().runs).filter(is_own_run);
    assert_eq!(own_runs.map(|run| run.step.lineage).max(), Some(1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stage_that_restarts_rebuilds_its_cache() {
    let plan =
        SystemPlan { replicas: 1, step_time: Duration::from_millis(3), ..Default::default() };
    let system = TestSystem::start(plan).await;
    let prompt = "no spare at all";
    let mut answer = open_stream(system.caller(0), prompt, TOKENS).await.unwrap();
    answer.read_tokens(TOKENS_BEFORE).await;
    let engine = serving_engine(&system, 1, &answer.request);
    engine.fault(EngineFault::Connection(ConnectionFault::Kill));
    engine.fault(EngineFault::Connection(ConnectionFault::Restart));
    answer.read_all().await;
    assert_whole(&answer, prompt, TOKENS);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_that_comes_back_with_an_older_state_of_the_answer_serves_it_again() {
    let system = TestSystem::start(SystemPlan::default()).await;
    let prompt = "there and back";
    let tokens = 200;
    let mut answer = open_stream(system.caller(0), prompt, tokens).await.unwrap();
    answer.read_tokens(TOKENS_BEFORE).await;
    let first = serving_engine(&system, 1, &answer.request);
    first.fault(EngineFault::Connection(ConnectionFault::Freeze));
    let known = answer.tokens.len();
    answer.read_tokens(known + 2 * TOKENS_BEFORE).await;
    let second = serving_engine(&system, 1, &answer.request);
    assert_ne!(first.truth().name, second.truth().name, "the stage was not replaced");
    first.fault(EngineFault::Connection(ConnectionFault::Thaw));
    second.fault(EngineFault::Connection(ConnectionFault::Kill));
    answer.read_all().await;
    assert_whole(&answer, prompt, tokens);
}
