//! Runs several streams under generated engine faults. Each stream is complete and correct or
//! reports that it is not, and no layer runs twice if its engine kept its state.
//!
//! `BANYAN_HISTORIES` sets the number of histories and `BANYAN_SEED` the seed.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRunner;
use smol_str::SmolStr;
use support::LAYERS;
use support::SystemPlan;
use support::TestSystem;
use support::caller::AnswerStream;
use support::caller::open_stream;
use support::wait_for;
use tokio::runtime::Runtime;

use banyan_naive::router::NaiveOptions;
use banyan_naive::router::NaiveRouter;
use banyan_naive::router::StepFailure;
use banyan_standin::fault::ConnectionFault;
use banyan_standin::fault::EngineFault;
use banyan_standin::fault::LossKind;
use banyan_standin::reference::expected_answer;
use banyan_standin::truth::RunKind;
use banyan_wire::caller::OutcomeWire;

/// The number of stages, and of engines for each stage.
const STAGES: usize = 3;
const REPLICAS: usize = 2;
/// The number of concurrent streams, over two entries.
const STREAMS: usize = 4;
/// The number of tokens of each stream.
const TOKENS: u64 = 24;
/// The longest wait for the tokens before a fault, since an earlier fault may delay them.
const TOKEN_WAIT: Duration = Duration::from_millis(400);
/// The maximum number of tries to shrink a history that violates the model.
const SHRINK_LIMIT: u32 = 30;

/// A fault of one engine, set once the first stream has received `tokens` more tokens.
#[derive(Clone, Debug)]
struct StageFault {
    tokens: usize,
    stage: usize,
    replica: usize,
    fault: EngineFault,
}

/// The faults of one engine, from which it follows whether it kept its place in every stream.
#[derive(Clone, Copy, Debug, Default)]
struct EngineRecord {
    /// The number of faults that make it lose its state or its connections for a time.
    breaking_faults: u32,
    /// The number of faults that each lose one answer.
    lossy_faults: u32,
    /// Whether it was killed and has not been restarted.
    down: bool,
}

impl EngineRecord {
    fn note(&mut self, fault: &EngineFault) {
        match fault {
            EngineFault::Connection(ConnectionFault::Kill) => self.down = true,
            EngineFault::Connection(ConnectionFault::Restart) => self.down = false,
            _ => {}
        }
        match fault {
            EngineFault::Connection(ConnectionFault::Silence) => self.lossy_faults += 1,
            EngineFault::LoseAnswers { .. } => self.lossy_faults += 1,
            EngineFault::Connection(_) => self.breaking_faults += 1,
            _ => {}
        }
    }

    /// Whether every stream could stay with the engine: one lost answer is requested again.
    fn kept_place(self) -> bool {
        self.breaking_faults == 0 && self.lossy_faults <= 1
    }
}

fn loss_kind() -> impl Strategy<Value = LossKind> {
    prop_oneof![Just(LossKind::Cut), Just(LossKind::Silent)]
}

fn connection_fault() -> impl Strategy<Value = ConnectionFault> {
    prop_oneof![
        Just(ConnectionFault::Kill),
        Just(ConnectionFault::Restart),
        Just(ConnectionFault::Freeze),
        Just(ConnectionFault::Thaw),
        Just(ConnectionFault::Cut),
        Just(ConnectionFault::Restore),
        Just(ConnectionFault::Silence),
    ]
}

fn engine_fault() -> impl Strategy<Value = EngineFault> {
    prop_oneof![
        5 => connection_fault().prop_map(EngineFault::Connection),
        2 => loss_kind().prop_map(|how| EngineFault::LoseAnswers { count: 1, how }),
        1 => (1..6u32).prop_map(|count| EngineFault::DuplicateAnswers { count }),
        2 => (1..6u32).prop_map(|count| EngineFault::CrossAnswers { count }),
        1 => (50..2000u32).prop_map(|percent| EngineFault::Slow { percent }),
        1 => any::<bool>().prop_map(|leaving| EngineFault::Leaving { leaving }),
    ]
}

fn stage_fault() -> impl Strategy<Value = StageFault> {
    (0..4usize, 0..STAGES, 0..REPLICAS, engine_fault())
        .prop_map(|(tokens, stage, replica, fault)| StageFault { tokens, stage, replica, fault })
}

fn prompt(number: usize) -> String {
    format!("note {number}")
}

async fn start_system(entries: u32) -> TestSystem {
    let (stages, replicas) = (STAGES as u32, REPLICAS as u32);
    TestSystem::start(SystemPlan { stages, replicas, entries, ..Default::default() }).await
}

async fn play_product(faults: &[StageFault]) -> Result<(), String> {
    let system = start_system(2).await;
    let callers = [system.caller(0), system.caller(1)];
    play(&system, callers, faults).await
}

async fn play_naive(faults: &[StageFault], steps: StepFailure) -> Result<(), String> {
    let system = start_system(0).await;
    let options = NaiveOptions { steps, ..NaiveOptions::new(system.platform.address) };
    let router = NaiveRouter::start(options).await.unwrap();
    wait_for("the declaration", || router.configuration_next() > 0).await;
    play(&system, [router.caller_address; 2], faults).await
}

async fn play(
    system: &TestSystem,
    callers: [SocketAddr; 2],
    faults: &[StageFault],
) -> Result<(), String> {
    let mut answers = Vec::new();
    for number in 0..STREAMS {
        answers.push(open_stream(callers[number % 2], &prompt(number), TOKENS).await.unwrap());
    }
    let mut records: BTreeMap<SmolStr, EngineRecord> = BTreeMap::new();
    for StageFault { tokens, stage, replica, fault } in faults {
        let reached = answers[0].tokens.len() + tokens;
        let _ = tokio::time::timeout(TOKEN_WAIT, answers[0].read_tokens(reached)).await;
        let engine = &system.engines[*stage][*replica];
        records.entry(engine.truth().name).or_default().note(fault);
        engine.fault(fault.clone());
    }
    end_faults(system, &records);
    futures::future::join_all(answers.iter_mut().map(AnswerStream::read_all)).await;
    for (number, answer) in answers.iter().enumerate() {
        check_answer(answer, &prompt(number)).map_err(|error| format!("{error}: {answer:?}"))?;
        check_runs(system, &records, &answer.request)?;
    }
    Ok(())
}

/// Ends the lasting faults, so that every stream can end.
fn end_faults(system: &TestSystem, records: &BTreeMap<SmolStr, EngineRecord>) {
    for engine in system.engines.iter().flatten() {
        if records.get(&engine.truth().name).is_some_and(|record| record.down) {
            engine.fault(EngineFault::Connection(ConnectionFault::Restart));
        }
        for fault in [ConnectionFault::Restore, ConnectionFault::Thaw] {
            engine.fault(EngineFault::Connection(fault));
        }
        engine.fault(EngineFault::Slow { percent: 100 });
        engine.fault(EngineFault::Leaving { leaving: false });
    }
}

/// Checks that a complete answer is correct and that an incomplete one reports it.
fn check_answer(answer: &AnswerStream, prompt: &str) -> Result<(), String> {
    let expected = expected_answer(LAYERS, prompt, TOKENS);
    if !expected.starts_with(&answer.tokens) {
        return Err("a token is wrong".to_owned());
    }
    match (&answer.end, &answer.error) {
        (Some(end), None) if answer.done => {
            let reports_complete = end.outcome == OutcomeWire::Complete && end.tokens == TOKENS;
            let whole = reports_complete && answer.tokens == expected;
            whole.then_some(()).ok_or_else(|| "a part passes for the whole".to_owned())
        }
        (None, Some(error)) if !answer.done => {
            let reports_unknown = error.error.outcome == OutcomeWire::Unknown;
            reports_unknown
                .then_some(())
                .ok_or_else(|| "an answer that ran is 'not run'".to_owned())
        }
        _ => Err("the stream does not say how it ended".to_owned()),
    }
}

/// Checks that no engine incarnation runs a token twice in a lineage, and that no two engines that
/// kept their place run the same token.
fn check_runs(
    system: &TestSystem,
    records: &BTreeMap<SmolStr, EngineRecord>,
    request: &str,
) -> Result<(), String> {
    for (stage, replicas) in system.engines.iter().enumerate() {
        let mut by_run: BTreeMap<(SmolStr, u32, u64), u32> = BTreeMap::new();
        let mut by_token: BTreeMap<u64, Vec<SmolStr>> = BTreeMap::new();
        for engine in replicas {
            let truth = engine.truth();
            let kept = records.get(&truth.name).copied().unwrap_or_default().kept_place();
            for run in truth.runs.iter().filter(|run| run.step.request == request) {
                let step = &run.step;
                let key = (run.incarnation.clone(), step.lineage, step.token);
                *by_run.entry(key).or_default() += 1;
                if kept && run.kind == RunKind::Step {
                    by_token.entry(step.token).or_default().push(truth.name.clone());
                }
            }
        }
        if let Some((run, count)) = by_run.iter().find(|(_, count)| **count > 1) {
            return Err(format!("{request} on stage {stage}: {run:?} ran {count} times"));
        }
        if let Some((token, engines)) = by_token.iter().find(|(_, engines)| engines.len() > 1) {
            return Err(format!("{request} on stage {stage}: token {token} ran on {engines:?}"));
        }
    }
    Ok(())
}

fn config() -> Config {
    let number = |name: &str, default: u64| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    Config {
        cases: number("BANYAN_HISTORIES", 12) as u32,
        rng_seed: RngSeed::Fixed(number("BANYAN_SEED", 31)),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Plays generated histories until one violates the model; returns the violation and the shrunk
/// history.
fn find_violation<F>(max_shrink_iters: u32, play: impl Fn(Vec<StageFault>) -> F) -> Option<String>
where
    F: Future<Output = Result<(), String>>,
{
    let histories = prop::collection::vec(stage_fault(), 2..7);
    let runtime = Runtime::new().unwrap();
    let config = Config { max_shrink_iters, ..config() };
    let result = TestRunner::new(config)
        .run(&histories, |faults| runtime.block_on(play(faults)).map_err(TestCaseError::fail));
    match result {
        Ok(()) => None,
        Err(TestError::Fail(reason, faults)) => Some(format!("{reason}\n{faults:#?}")),
        Err(TestError::Abort(reason)) => Some(reason.to_string()),
    }
}

#[test]
fn product_keeps_every_stream_whole_or_says_that_it_is_not() {
    let violation =
        find_violation(SHRINK_LIMIT, |faults| async move { play_product(&faults).await });
    assert!(violation.is_none(), "{}", violation.unwrap_or_default());
}

/// Asserts that a naive router gives a wrong or short answer or runs layers twice.
fn check_naive(steps: StepFailure) {
    let violation = find_violation(0, |faults| async move { play_naive(&faults, steps).await });
    let violation = violation.expect("no history shows that the router is naive");
    let wrong = ["a token is wrong", "a part passes for the whole", " ran "];
    assert!(wrong.iter().any(|text| violation.contains(text)), "{violation}");
}

#[test]
fn naive_router_that_ends_at_a_failure_breaks_the_model() {
    check_naive(StepFailure::EndAnswer);
}

#[test]
fn naive_router_that_sends_steps_elsewhere_breaks_the_model() {
    check_naive(StepFailure::RetryStepElsewhere);
}

#[test]
fn naive_router_that_begins_anew_breaks_the_model() {
    check_naive(StepFailure::RestartAnswer);
}
