//! Model answers: [`run_answer`] runs each token through the stages.

use std::net::SocketAddr;

use http::Method;
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::router::StepFailure;
use crate::router::tables::RouterState;
use banyan_core::ids::LayerRange;
use banyan_http::client::encode;
use banyan_wire::caller::CompletionRequest;
use banyan_wire::engine::StageActivations;
use banyan_wire::engine::StepBatch;
use banyan_wire::engine::StepEvent;
use banyan_wire::engine::StepId;
use banyan_wire::engine::StepRequest;
use banyan_wire::engine::StepWork;
use banyan_wire::engine::TokenWire;

/// The number of failed steps after which an answer ends.
const FAILURE_LIMIT: u32 = 20;
/// The deadline of each step, in milliseconds.
const STEP_DEADLINE_MS: u64 = 60_000;
/// The size of the activations passed between stages, in bytes.
const HANDOFF_BYTES: u64 = 16;

/// One stage of a running answer.
struct AnswerStage {
    layers: LayerRange,
    engines: Vec<SocketAddr>,
    /// The index in `engines` of the engine in use.
    engine: usize,
    lineage: u32,
    /// The first token of the current lineage.
    first_token: u64,
}

/// A step's output and, on the last stage, its token.
type StepOutput = (StageActivations, Option<TokenWire>);

/// The state of an answer in progress.
struct RunningAnswer<'a> {
    state: &'a RouterState,
    request: &'a SmolStr,
    completion: &'a CompletionRequest,
    stages: Vec<AnswerStage>,
    failures: u32,
}

/// Runs an answer and sends its tokens; closing the channel ends the answer.
pub(super) async fn run_answer(
    state: &RouterState,
    request: &SmolStr,
    completion: &CompletionRequest,
    tokens: &mpsc::Sender<SmolStr>,
) {
    let stages = state.engines(&completion.model).into_iter().map(|(layers, engines)| {
        AnswerStage { layers, engines, engine: 0, lineage: 0, first_token: 0 }
    });
    let stages = stages.collect();
    let mut run = RunningAnswer { state, request, completion, stages, failures: 0 };
    let mut sent = 0;
    let (mut index, mut input) = (0, run.prompt());
    while index < completion.max_tokens {
        let Some(token) = run.run_token(index, input).await else {
            if state.options.steps == StepFailure::EndAnswer || run.failures > FAILURE_LIMIT {
                return;
            }
            (index, input) = (0, run.prompt());
            continue;
        };
        input = StageActivations::from_token(&token.text, index, HANDOFF_BYTES);
        index += 1;
        if index > sent {
            sent = index;
            if tokens.send(token.text).await.is_err() || token.last {
                return;
            }
        }
    }
}

impl RunningAnswer<'_> {
    fn prompt(&self) -> StageActivations {
        StageActivations::from_prompt(&self.completion.prompt, HANDOFF_BYTES)
    }

    /// Runs one token through the stages; `None` if the answer has to end or restart.
    async fn run_token(&mut self, token: u64, mut input: StageActivations) -> Option<TokenWire> {
        let mut text = None;
        for stage in 0..self.stages.len() {
            (input, text) = self.run_stage(stage, token, input).await?;
        }
        text
    }

    async fn run_stage(
        &mut self,
        stage: usize,
        token: u64,
        input: StageActivations,
    ) -> Option<StepOutput> {
        loop {
            let output = self.run_step(stage, token, input).await;
            if output.is_some() {
                return output;
            }
            self.failures += 1;
            let row = &mut self.stages[stage];
            row.engine = (row.engine + 1) % row.engines.len();
            match self.state.options.steps {
                StepFailure::RetryStepElsewhere if self.failures <= FAILURE_LIMIT => {
                    // The other engine runs the step as the start of a new lineage.
                    row.lineage += 1;
                    row.first_token = token;
                }
                StepFailure::RestartAnswer => {
                    self.stages.iter_mut().for_each(|row| row.lineage += 1);
                    return None;
                }
                _ => return None,
            }
        }
    }

    /// Sends one step and returns the first answer received, without checking its step id.
    async fn run_step(
        &self,
        stage: usize,
        token: u64,
        input: StageActivations,
    ) -> Option<StepOutput> {
        let row = &self.stages[stage];
        let token = token - row.first_token;
        let work = match token {
            0 => StepWork::Prompt { input, tokens: 1, prefixes: Vec::new() },
            _ => StepWork::Token { input },
        };
        let step_request = StepRequest {
            step: StepId {
                request: self.request.clone(),
                lineage: row.lineage,
                token,
                stage: stage as u32,
            },
            model: self.completion.model.clone(),
            first_layer: row.layers.first,
            end_layer: row.layers.end,
            work,
            priority: 5,
            deadline_ms: STEP_DEADLINE_MS,
        };
        let body = encode(&StepBatch { steps: vec![step_request] });
        let address = *row.engines.get(row.engine)?;
        let response = self.state.client.send(Method::POST, address, "/v1/steps", body);
        let lines = response.await.ok()?;
        let events = lines.split(|byte| *byte == b'\n');
        events.filter_map(|line| serde_json::from_slice(line).ok()).find_map(|event| match event {
            StepEvent::Answer { output, token, .. } => Some((output, token)),
            _ => None,
        })
    }
}
