//! The engine keeps its documented rules, also under each fault.

mod common;

use std::time::Duration;

use common::answer;
use common::prompt;
use common::run;
use common::step;
use common::work_of;
use smol_str::SmolStr;
use tokio::time::timeout;

use banyan_core::ids::LayerRange;
use banyan_standin::client::JsonClient;
use banyan_standin::engine;
use banyan_standin::engine::EngineHandle;
use banyan_standin::engine::EngineOptions;
use banyan_standin::fault::ConnectionFault;
use banyan_standin::fault::EngineFault;
use banyan_standin::fault::LossKind;
use banyan_standin::reference::expected_answer;
use banyan_standin::truth::RunKind;
use banyan_wire::engine::CacheCopy;
use banyan_wire::engine::CacheEventsReply;
use banyan_wire::engine::CacheRef;
use banyan_wire::engine::EngineOrder;
use banyan_wire::engine::StageActivations;
use banyan_wire::engine::StepBatch;
use banyan_wire::engine::StepEvent;
use banyan_wire::engine::StepRefusal;
use banyan_wire::engine::StepWork;

const WHOLE: (u32, u32) = (0, 12);
/// Longer than any answer takes; only a test that waits for nothing reaches it.
const QUIET: Duration = Duration::from_millis(700);

fn quick() -> EngineOptions {
    EngineOptions { step_time: Duration::from_millis(2), ..EngineOptions::default() }
}

async fn stage(first: u32, end: u32) -> EngineHandle {
    let layers = LayerRange { first, end };
    engine::start(EngineOptions { layers, ..quick() }).await.expect("a free port")
}

async fn whole() -> EngineHandle {
    stage(0, 12).await
}

fn refused(event: StepEvent) -> StepRefusal {
    match event {
        StepEvent::Refused { reason, .. } => reason,
        other => panic!("not a refusal: {other:?}"),
    }
}

#[tokio::test]
async fn a_chain_of_stages_gives_the_reference_answer() {
    let client = JsonClient::default();
    let stages = [(stage(0, 5).await, (0, 5)), (stage(5, 12).await, (5, 12))];
    let mut input = StageActivations::from_prompt("a saddle", 64);
    let mut given = Vec::new();
    for token in 0..6 {
        let mut text = SmolStr::default();
        for (engine, layers) in &stages {
            let order = step("r", token, *layers, work_of(token, input));
            let (output, made, _) = answer(&client, engine.address, order).await;
            input = output;
            text = made.map(|made| made.text).unwrap_or_default();
        }
        input = StageActivations::from_token(&text, token, 64);
        given.push(text);
    }
    assert_eq!(given, expected_answer(12, "a saddle", 6));
    assert_eq!(stages[0].0.truth().runs.len(), 6);
}

#[tokio::test]
async fn a_step_that_has_run_is_answered_again_without_running() {
    let client = JsonClient::default();
    let engine = whole().await;
    let order = step("r", 0, WHOLE, prompt(StageActivations::from_prompt("p", 1)));
    let first = answer(&client, engine.address, order.clone()).await;
    assert_eq!(answer(&client, engine.address, order).await, first);
    assert_eq!(engine.truth().runs.len(), 1);
}

#[tokio::test]
async fn only_the_next_token_of_a_lineage_runs() {
    let client = JsonClient::default();
    let engine = whole().await;
    let token = |index| {
        step("r", index, WHOLE, StepWork::Token { input: StageActivations { digest: 1, bytes: 1 } })
    };
    let unknown = refused(run(&client, engine.address, token(1)).await);
    assert_eq!(unknown, StepRefusal::Lineage { expected: None });
    let order = step("r", 0, WHOLE, prompt(StageActivations::from_prompt("p", 1)));
    answer(&client, engine.address, order).await;
    let skipped = refused(run(&client, engine.address, token(2)).await);
    assert_eq!(skipped, StepRefusal::Lineage { expected: Some(1) });
    let other = step("q", 0, (12, 24), prompt(StageActivations::from_prompt("p", 1)));
    assert_eq!(refused(run(&client, engine.address, other).await), StepRefusal::WrongLayers);
}

#[tokio::test]
async fn a_running_step_that_is_sent_again_is_waited_for() {
    let client = JsonClient::default();
    let engine = whole().await;
    let order = step("r", 0, WHOLE, prompt(StageActivations::from_prompt("p", 1)));
    let first = answer(&client, engine.address, order.clone());
    let second = answer(&client, engine.address, order);
    let (first, second) = tokio::join!(first, second);
    assert_eq!(first, second);
    assert_eq!(engine.truth().runs.len(), 1);
}

#[tokio::test]
async fn a_lost_answer_is_given_when_the_step_is_sent_again() {
    let client = JsonClient::default();
    let engine = whole().await;
    for (request, how) in [("cut", LossKind::Cut), ("silent", LossKind::Silent)] {
        engine.fault(EngineFault::LoseAnswers { count: 1, how });
        let order = step(request, 0, WHOLE, prompt(StageActivations::from_prompt("p", 1)));
        let batch = StepBatch { steps: vec![order.clone()] };
        let mut reader = client.open_steps(engine.address, &batch).await.expect("a stream");
        match (how, timeout(QUIET, reader.next_event()).await) {
            (LossKind::Cut, Ok(Err(_))) | (LossKind::Silent, Err(_)) => {}
            (how, other) => panic!("{how:?} gave {other:?}"),
        }
        answer(&client, engine.address, order).await;
    }
    assert_eq!(engine.truth().runs.len(), 2);
}

#[tokio::test]
async fn a_rebuilt_cache_goes_on_right_and_a_missing_one_does_not() {
    let client = JsonClient::default();
    let (before, after, empty) = (whole().await, whole().await, whole().await);
    let expected = expected_answer(12, "p", 4);
    let mut inputs = vec![StageActivations::from_prompt("p", 1)];
    for token in 0..3 {
        let order = step("r", token, WHOLE, work_of(token, inputs[token as usize]));
        answer(&client, before.address, order).await;
        inputs.push(StageActivations::from_token(&expected[token as usize], token, 1));
    }
    let last = inputs[3];
    let order = step("r", 3, WHOLE, StepWork::Rebuild { inputs, tokens: 4 });
    let (_, rebuilt, _) = answer(&client, after.address, order.clone()).await;
    assert_eq!(rebuilt.expect("a token").text, expected[3]);
    let kinds: Vec<RunKind> = after.truth().runs.iter().map(|run| run.kind).collect();
    assert_eq!(kinds, [RunKind::Rebuild, RunKind::Rebuild, RunKind::Rebuild, RunKind::Step]);
    // Where the cache is still there, a rebuild runs nothing but the step itself.
    answer(&client, before.address, order).await;
    assert!(before.truth().runs.iter().all(|run| run.kind == RunKind::Step));
    let fresh = step("r", 0, WHOLE, prompt(last));
    let (_, wrong, _) = answer(&client, empty.address, fresh).await;
    assert_ne!(wrong.expect("a token").text, expected[3]);
}

#[tokio::test]
async fn an_exported_cache_goes_on_where_it_is_imported() {
    let client = JsonClient::default();
    let (from, to) = (whole().await, whole().await);
    let order = step("r", 0, WHOLE, prompt(StageActivations::from_prompt("p", 1)));
    answer(&client, from.address, order).await;
    let of = CacheRef { request: SmolStr::new("r"), lineage: 0 };
    let copy = client.post(from.address, "/v1/kv/export", &of).await.expect("an answer");
    let copy: CacheCopy = copy.json().expect("a copy");
    let imported = client.post(to.address, "/v1/kv/import", &copy).await.expect("an answer");
    assert!(imported.status.is_success());
    let expected = expected_answer(12, "p", 2);
    let input = StageActivations::from_token(&expected[0], 0, 1);
    let order = step("r", 1, WHOLE, StepWork::Token { input });
    let (_, token, _) = answer(&client, to.address, order).await;
    assert_eq!(token.expect("a token").text, expected[1]);
}

#[tokio::test]
async fn a_crossed_and_a_doubled_answer_come_beside_the_right_one() {
    let client = JsonClient::default();
    let engine = whole().await;
    let first = step("a", 0, WHOLE, prompt(StageActivations::from_prompt("a", 1)));
    answer(&client, engine.address, first).await;
    engine.fault(EngineFault::CrossAnswers { count: 1 });
    engine.fault(EngineFault::DuplicateAnswers { count: 1 });
    let second = step("b", 0, WHOLE, prompt(StageActivations::from_prompt("b", 1)));
    let batch = StepBatch { steps: vec![second] };
    let mut reader = client.open_steps(engine.address, &batch).await.expect("a stream");
    let mut requests = Vec::new();
    while let Some(event) = reader.next_event().await.expect("a whole stream") {
        if let StepEvent::Answer { step, .. } = event {
            requests.push(step.request);
        }
    }
    assert_eq!(requests, ["a", "b", "b"]);
}

#[tokio::test]
async fn silence_takes_old_connections_and_spares_new_ones() {
    let engine = whole().await;
    let old = JsonClient::default();
    let order = step("r", 0, WHOLE, prompt(StageActivations::from_prompt("p", 1)));
    let batch = StepBatch { steps: vec![order.clone()] };
    // Reads to the end, so that the connection is kept for the next request.
    let mut reader = old.open_steps(engine.address, &batch).await.expect("a stream");
    while reader.next().await.expect("a whole stream").is_some() {}
    engine.fault(EngineFault::Connection(ConnectionFault::Silence));
    assert!(timeout(QUIET, old.open_steps(engine.address, &batch)).await.is_err());
    let new = JsonClient::default();
    answer(&new, engine.address, order).await;
    assert_eq!(engine.truth().runs.len(), 1);
}

#[tokio::test]
async fn a_frozen_engine_runs_on_after_the_thaw() {
    let client = JsonClient::default();
    let engine = whole().await;
    engine.fault(EngineFault::Connection(ConnectionFault::Freeze));
    let order = step("r", 0, WHOLE, prompt(StageActivations::from_prompt("p", 1)));
    let waiting = answer(&client, engine.address, order);
    tokio::pin!(waiting);
    assert!(timeout(QUIET, &mut waiting).await.is_err());
    engine.fault(EngineFault::Connection(ConnectionFault::Thaw));
    waiting.await;
}

#[tokio::test]
async fn a_cut_breaks_connections_until_it_is_restored() {
    let client = JsonClient::default();
    let engine = whole().await;
    let order = step("r", 0, WHOLE, prompt(StageActivations::from_prompt("p", 1)));
    let batch = StepBatch { steps: vec![order.clone()] };
    engine.fault(EngineFault::Connection(ConnectionFault::Cut));
    assert!(client.open_steps(engine.address, &batch).await.is_err());
    engine.fault(EngineFault::Connection(ConnectionFault::Restore));
    answer(&client, engine.address, order).await;
}

#[tokio::test]
async fn poison_crashes_any_stage_and_a_restart_has_lost_all_lineages() {
    let client = JsonClient::default();
    let front = stage(0, 5).await;
    let back = stage(5, 12).await;
    back.fault(EngineFault::Poison { prompts: vec!["bad".to_owned()] });
    let order = step("good", 0, (5, 12), prompt(StageActivations { digest: 9, bytes: 1 }));
    answer(&client, back.address, order.clone()).await;
    let before = back.incarnation();
    let input = StageActivations::from_prompt("bad", 1);
    let (input, _, _) = answer(&client, front.address, step("bad", 0, (0, 5), prompt(input))).await;
    let batch = StepBatch { steps: vec![step("bad", 0, (5, 12), prompt(input))] };
    let mut reader = client.open_steps(back.address, &batch).await.expect("a stream");
    assert!(reader.next_event().await.is_err());
    assert_eq!(back.truth().crashes[0].requests, ["bad"]);
    assert!(client.open_steps(back.address, &batch).await.is_err());
    back.fault(EngineFault::Connection(ConnectionFault::Restart));
    assert_ne!(back.incarnation(), before);
    let mut next = order;
    next.step.token = 1;
    next.work = StepWork::Token { input: StageActivations { digest: 1, bytes: 1 } };
    // The engine binds its port again in its own task; until then connections are refused.
    let event = loop {
        let batch = StepBatch { steps: vec![next.clone()] };
        let Ok(mut reader) = client.open_steps(back.address, &batch).await else {
            tokio::task::yield_now().await;
            continue;
        };
        break reader.next_event().await.expect("an event").expect("an event");
    };
    assert_eq!(refused(event), StepRefusal::Lineage { expected: None });
}

#[tokio::test]
async fn the_higher_priority_is_batched_first() {
    let client = JsonClient::default();
    let engine = engine::start(EngineOptions { batch: 1, ..quick() }).await.expect("a port");
    let orders = ["low", "middle", "high"].into_iter().zip([1, 5, 9]);
    let steps = orders.map(|(request, priority)| {
        let mut order = step(request, 0, WHOLE, prompt(StageActivations::from_prompt("p", 1)));
        order.priority = priority;
        order
    });
    let batch = StepBatch { steps: steps.collect() };
    let mut reader = client.open_steps(engine.address, &batch).await.expect("a stream");
    while reader.next().await.expect("a whole stream").is_some() {}
    let ran = engine.truth().runs.into_iter().map(|run| run.step.request);
    assert_eq!(ran.collect::<Vec<_>>(), ["high", "middle", "low"]);
}

#[tokio::test]
async fn a_leaving_engine_ends_its_lineages_and_takes_no_new_one() {
    let client = JsonClient::default();
    let engine = whole().await;
    let order = step("old", 0, WHOLE, prompt(StageActivations::from_prompt("p", 1)));
    answer(&client, engine.address, order).await;
    engine.fault(EngineFault::Leaving { leaving: true });
    let input = StageActivations { digest: 1, bytes: 1 };
    answer(&client, engine.address, step("old", 1, WHOLE, StepWork::Token { input })).await;
    let order = step("new", 0, WHOLE, prompt(StageActivations::from_prompt("p", 1)));
    assert_eq!(refused(run(&client, engine.address, order).await), StepRefusal::Leaving);
}

#[tokio::test]
async fn cached_prefixes_are_found_until_memory_runs_out() {
    let client = JsonClient::default();
    let options = EngineOptions { cache_limit: 128, cache_lag: Duration::ZERO, ..quick() };
    let engine = engine::start(options).await.expect("a free port");
    let ask = async |request: &str, prefixes: &[u64]| {
        let input = StageActivations::from_prompt("p", 1);
        let work = StepWork::Prompt { input, tokens: 160, prefixes: prefixes.to_vec() };
        answer(&client, engine.address, step(request, 0, WHOLE, work)).await.2
    };
    assert_eq!(ask("a", &[1, 2]).await, 0);
    assert_eq!(ask("b", &[1, 2]).await, 128);
    assert_eq!(ask("c", &[1, 3]).await, 64);
    assert_eq!(ask("d", &[1, 2]).await, 64);
    let path = "/v1/cache-events?from=0";
    let reply: CacheEventsReply = client.get(engine.address, path).await.expect("events");
    let events: Vec<(u64, bool)> =
        reply.events.iter().map(|event| (event.prefix, event.stored)).collect();
    let wanted = [(2, true), (1, true), (3, true), (2, false), (2, true), (3, false)];
    assert_eq!(events, wanted);
    engine.fault(EngineFault::CacheGaps { every: 3 });
    let reply: CacheEventsReply = client.get(engine.address, path).await.expect("events");
    let numbers: Vec<u64> = reply.events.iter().map(|event| event.number).collect();
    assert_eq!(numbers, [0, 1, 3, 4]);
}

#[tokio::test]
async fn an_order_with_an_old_fencing_number_is_refused_where_it_is_checked() {
    let client = JsonClient::default();
    for checks_fence in [true, false] {
        let options = EngineOptions { checks_fence, load_time: Duration::ZERO, ..quick() };
        let engine = engine::start(options).await.expect("a free port");
        let order = |fence| EngineOrder {
            fence,
            model: SmolStr::new("other"),
            first_layer: 0,
            end_layer: 6,
        };
        let new = client.post(engine.address, "/v1/orders", &order(7)).await.expect("an answer");
        assert!(new.status.is_success());
        let old = client.post(engine.address, "/v1/orders", &order(6)).await.expect("an answer");
        assert_eq!(old.status.is_success(), !checks_fence);
    }
}
