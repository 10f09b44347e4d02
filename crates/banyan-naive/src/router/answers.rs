//! Answers of models: [`run_answer`] takes each token through the stages.

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

/// Failures of one answer after which it is taken for ended.
const FAILURE_LIMIT: u32 = 20;
/// The time that each step is given, in milliseconds.
const STEP_DEADLINE_MS: u64 = 60_000;
/// The size of a hand-off, in bytes.
const HANDOFF_BYTES: u64 = 16;

/// One stage of a running answer.
struct AnswerStage {
    layers: LayerRange,
    engines: Vec<SocketAddr>,
    /// The position among `engines` of the one in use.
    engine: usize,
    lineage: u32,
    /// The token that the lineage began with.
    first_token: u64,
}

/// A step's output and, on the last stage, its token.
type StepOutput = (StageActivations, Option<TokenWire>);

/// An answer under way.
struct AnswerRun<'a> {
    state: &'a RouterState,
    request: &'a SmolStr,
    order: &'a CompletionRequest,
    stages: Vec<AnswerStage>,
    failures: u32,
}

/// Runs an answer and sends its tokens; the end of the channel is the end of the answer.
pub(super) async fn run_answer(
    state: &RouterState,
    request: &SmolStr,
    order: &CompletionRequest,
    tokens: &mpsc::Sender<SmolStr>,
) {
    let stages = state.engines(&order.model).into_iter().map(|(layers, engines)| AnswerStage {
        layers,
        engines,
        engine: 0,
        lineage: 0,
        first_token: 0,
    });
    let stages = stages.collect();
    let mut run = AnswerRun { state, request, order, stages, failures: 0 };
    let mut sent = 0;
    let (mut index, mut input) = (0, run.prompt());
    while index < order.max_tokens {
        let Some(token) = run.token(index, input).await else {
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

impl AnswerRun<'_> {
    fn prompt(&self) -> StageActivations {
        StageActivations::from_prompt(&self.order.prompt, HANDOFF_BYTES)
    }

    /// Takes one token through the stages; nothing where the answer is to end or to begin anew.
    async fn token(&mut self, token: u64, mut input: StageActivations) -> Option<TokenWire> {
        let mut text = None;
        for stage in 0..self.stages.len() {
            (input, text) = self.stage(stage, token, input).await?;
        }
        text
    }

    async fn stage(
        &mut self,
        stage: usize,
        token: u64,
        input: StageActivations,
    ) -> Option<StepOutput> {
        loop {
            let output = self.step(stage, token, input).await;
            if output.is_some() {
                return output;
            }
            self.failures += 1;
            let row = &mut self.stages[stage];
            row.engine = (row.engine + 1) % row.engines.len();
            match self.state.options.steps {
                StepFailure::RetryStepElsewhere if self.failures <= FAILURE_LIMIT => {
                    // The other engine takes the step as the beginning of a new lineage.
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

    /// Sends one step and takes the first answer that comes, whichever step it names.
    async fn step(&self, stage: usize, token: u64, input: StageActivations) -> Option<StepOutput> {
        let row = &self.stages[stage];
        let token = token - row.first_token;
        let work = match token {
            0 => StepWork::Prompt { input, tokens: 1, prefixes: Vec::new() },
            _ => StepWork::Token { input },
        };
        let order = StepRequest {
            step: StepId {
                request: self.request.clone(),
                lineage: row.lineage,
                token,
                stage: stage as u32,
            },
            model: self.order.model.clone(),
            first_layer: row.layers.first,
            end_layer: row.layers.end,
            work,
            priority: 5,
            deadline_ms: STEP_DEADLINE_MS,
        };
        let body = encode(&StepBatch { steps: vec![order] });
        let address = *row.engines.get(row.engine)?;
        let sent = self.state.client.send(Method::POST, address, "/v1/steps", body);
        let lines = sent.await.ok()?;
        let events = lines.split(|byte| *byte == b'\n');
        events.filter_map(|line| serde_json::from_slice(line).ok()).find_map(|event| match event {
            StepEvent::Answer { output, token, .. } => Some((output, token)),
            _ => None,
        })
    }
}
