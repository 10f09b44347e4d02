//! A request that crashes every target that runs it is detected and refused, and no other request
//! fails with it.

mod support;

use http::StatusCode;
use support::SystemPlan;
use support::TestSystem;
use support::caller::AnswerStream;
use support::caller::CallReply;
use support::caller::open_stream;
use support::truth::assert_whole;
use support::wait_for;

use banyan_standin::fault::EngineFault;
use banyan_wire::caller::OutcomeWire;

/// The prompt that crashes engines.
const POISON: &str = "a prompt that stops every engine";
/// The number of tokens of each answer.
const TOKENS: u64 = 40;

/// A system in which all engines of the second stage crash on the poison prompt.
async fn start(entries: u32, replicas: u32) -> TestSystem {
    let plan = SystemPlan { stages: 2, replicas, entries, ..Default::default() };
    let system = TestSystem::start(plan).await;
    for engine in &system.engines[1] {
        engine.fault(EngineFault::Poison { prompts: vec![POISON.to_owned()] });
    }
    system
}

fn crashes(system: &TestSystem) -> usize {
    system.engines.iter().flatten().map(|engine| engine.truth().crashes.len()).sum()
}

/// Sends the poison prompt, reads the reply and checks that it is not a complete answer.
async fn send_poison(system: &TestSystem, entry: usize) -> Result<AnswerStream, CallReply> {
    let mut answer = open_stream(system.caller(entry), POISON, TOKENS).await?;
    answer.read_all().await;
    assert!(answer.end.is_none(), "the poison was served whole");
    Ok(answer)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn poison_sent_again_through_every_entry_costs_two_engines_and_no_innocent() {
    let system = start(3, 4).await;
    let mut innocents = Vec::new();
    for number in 0..9 {
        let prompt = format!("innocent {number}");
        let mut answer = open_stream(system.caller(number % 3), &prompt, TOKENS).await.unwrap();
        answer.read_tokens(1).await;
        innocents.push((prompt, answer));
    }
    for entry in [0, 1, 2, 0, 1, 2] {
        let result = send_poison(&system, entry).await;
        if let Err(refused) = result {
            assert_ne!(refused.outcome, OutcomeWire::Complete);
        }
    }
    for (prompt, answer) in &mut innocents {
        answer.read_all().await;
        assert_whole(answer, prompt, TOKENS);
    }
    assert!(crashes(&system) <= 2, "{} engines were lost", crashes(&system));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn convicted_content_is_refused_by_every_entry() {
    let system = start(3, 3).await;
    let _ = send_poison(&system, 0).await;
    wait_for("every entry knows the quarantine", || {
        system.entries.iter().all(|entry| {
            let folds = entry.state.folds.tables();
            folds.configuration.quarantines.len() == 1
        })
    })
    .await;
    let before = crashes(&system);
    for entry in 0..3 {
        let refused = send_poison(&system, entry).await.unwrap_err();
        assert_eq!(refused.status, StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(refused.outcome, OutcomeWire::NotRun);
        assert_eq!(refused.body["error"]["type"], "quarantined");
    }
    assert_eq!(crashes(&system), before);
    assert!(before <= 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn innocent_in_the_batch_of_one_crash_is_served_and_cleared() {
    let system = start(1, 3).await;
    let mut answer = open_stream(system.caller(0), "innocent", TOKENS).await.unwrap();
    answer.read_tokens(1).await;
    let _ = send_poison(&system, 0).await;
    answer.read_all().await;
    assert_whole(&answer, "innocent", TOKENS);
    let mut again = open_stream(system.caller(0), "innocent", TOKENS).await.unwrap();
    again.read_all().await;
    assert_whole(&again, "innocent", TOKENS);
}
