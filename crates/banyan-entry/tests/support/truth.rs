//! Verdicts from what the stand-ins really ran, never from the system's own word.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::LAYERS;
use super::TestSystem;
use super::caller::AnswerStream;
use banyan_standin::engine::EngineHandle;
use banyan_standin::reference::expected_answer;
use banyan_standin::truth::RunKind;
use banyan_wire::caller::OutcomeWire;

/// The engine that ran the newest step of a stage for a request.
pub fn serving_engine<'a>(system: &'a TestSystem, stage: usize, request: &str) -> &'a EngineHandle {
    let newest = |engine: &EngineHandle| {
        let runs = engine.truth().runs;
        let newest = runs.iter().filter(|run| run.step.request == request);
        newest.map(|run| run.step.token).max()
    };
    let engines = system.engines[stage].iter();
    engines.max_by_key(|engine| newest(engine)).expect("the stage has an engine")
}

/// Asserts that an answer is whole and the right one, with its token count and end mark.
pub fn assert_whole(answer: &AnswerStream, prompt: &str, max_tokens: u64) {
    assert!(answer.error.is_none(), "the answer failed: {:?}", answer.error);
    assert_eq!(answer.tokens, expected_answer(LAYERS, prompt, max_tokens), "tokens of {prompt}");
    let end = answer.end.as_ref().expect("the stream says how it ended");
    assert_eq!(end.outcome, OutcomeWire::Complete);
    assert_eq!(end.tokens, max_tokens);
    assert!(answer.done, "the stream has its end mark");
}

/// How often each token ran on each stage as a step, and by engine: (stage, token) to engines.
pub fn step_runs(system: &TestSystem, request: &str) -> BTreeMap<(usize, u64), Vec<SmolStr>> {
    let mut rows: BTreeMap<(usize, u64), Vec<SmolStr>> = BTreeMap::new();
    for (stage, replicas) in system.engines.iter().enumerate() {
        for engine in replicas {
            let truth = engine.truth();
            let runs = truth.runs.iter().filter(|run| run.step.request == request);
            for run in runs.filter(|run| run.kind == RunKind::Step) {
                rows.entry((stage, run.step.token)).or_default().push(truth.name.clone());
            }
        }
    }
    rows
}

/// Asserts that every token ran exactly once on every stage, except that the step that was under
/// way on `lost`, whose output went nowhere, may have run there as well.
pub fn assert_once(system: &TestSystem, request: &str, tokens: u64, lost: Option<&str>) {
    let runs = step_runs(system, request);
    let mut repeated = 0;
    for stage in 0..system.engines.len() {
        for token in 0..tokens {
            let engines = runs.get(&(stage, token)).cloned().unwrap_or_default();
            let kept = engines.iter().filter(|engine| Some(engine.as_str()) != lost).count();
            assert!(kept <= 1, "stage {stage} ran token {token} {kept} times: {engines:?}");
            assert!(!engines.is_empty(), "stage {stage} never ran token {token}");
            repeated += engines.len() - 1;
        }
    }
    let allowed = usize::from(lost.is_some());
    assert!(repeated <= allowed, "{repeated} steps ran again: {runs:?}");
}
