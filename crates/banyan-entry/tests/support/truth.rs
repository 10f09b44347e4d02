//! Checks against what the stand-ins recorded that they ran, not against reports of the system.

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

/// Asserts that an answer is complete and correct, with its token count and end marker.
pub fn assert_whole(answer: &AnswerStream, prompt: &str, max_tokens: u64) {
    assert!(answer.error.is_none(), "the answer failed: {:?}", answer.error);
    assert_eq!(answer.tokens, expected_answer(LAYERS, prompt, max_tokens), "tokens of {prompt}");
    let end = answer.end.as_ref().expect("the stream has a final outcome event");
    assert_eq!(end.outcome, OutcomeWire::Complete);
    assert_eq!(end.tokens, max_tokens);
    assert!(answer.done, "the stream has its end marker");
}

/// The engines that ran each step of a request, by stage and token; an engine that ran a step twice
/// is listed twice.
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

/// Asserts that every token ran exactly once on every stage. One step may have run again if it was
/// in progress on `failed_engine`, since its output was lost.
pub fn assert_once(system: &TestSystem, request: &str, tokens: u64, failed_engine: Option<&str>) {
    let runs = step_runs(system, request);
    let mut repeated = 0;
    for stage in 0..system.engines.len() {
        for token in 0..tokens {
            let engines = runs.get(&(stage, token)).cloned().unwrap_or_default();
            let counted =
                engines.iter().filter(|engine| Some(engine.as_str()) != failed_engine).count();
            assert!(counted <= 1, "stage {stage} ran token {token} {counted} times: {engines:?}");
            assert!(!engines.is_empty(), "stage {stage} never ran token {token}");
            repeated += engines.len() - 1;
        }
    }
    let allowed = usize::from(failed_engine.is_some());
    assert!(repeated <= allowed, "{repeated} steps ran again: {runs:?}");
}
