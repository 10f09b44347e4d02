//! What the tests of the engine share: steps and short ways to run them.

#![allow(dead_code)]

use std::net::SocketAddr;

use smol_str::SmolStr;

use banyan_standin::client::JsonClient;
use banyan_wire::engine::StageActivations;
use banyan_wire::engine::StepBatch;
use banyan_wire::engine::StepEvent;
use banyan_wire::engine::StepId;
use banyan_wire::engine::StepRequest;
use banyan_wire::engine::StepWork;
use banyan_wire::engine::TokenWire;

/// A step of layers `first..end` of the model called `model`.
pub fn step(request: &str, token: u64, layers: (u32, u32), work: StepWork) -> StepRequest {
    StepRequest {
        step: StepId { request: SmolStr::new(request), lineage: 0, token, stage: layers.0 },
        model: SmolStr::new("model"),
        first_layer: layers.0,
        end_layer: layers.1,
        work,
        priority: 5,
        deadline_ms: 60_000,
    }
}

/// Work on a prompt without prefixes.
pub fn prompt(input: StageActivations) -> StepWork {
    StepWork::Prompt { input, tokens: 4, prefixes: Vec::new() }
}

/// Work of a token: the prompt for token zero.
pub fn work_of(token: u64, input: StageActivations) -> StepWork {
    if token == 0 { prompt(input) } else { StepWork::Token { input } }
}

/// Runs one step and gives its first event that is no heartbeat.
pub async fn run(client: &JsonClient, address: SocketAddr, order: StepRequest) -> StepEvent {
    let batch = StepBatch { steps: vec![order] };
    let mut reader = client.open_steps(address, &batch).await.expect("a stream");
    reader.next_event().await.expect("a whole event").expect("an event before the end")
}

/// Runs one step that must be answered.
pub async fn answer(
    client: &JsonClient,
    address: SocketAddr,
    order: StepRequest,
) -> (StageActivations, Option<TokenWire>, u32) {
    match run(client, address, order).await {
        StepEvent::Answer { output, token, cached, .. } => (output, token, cached),
        other => panic!("not an answer: {other:?}"),
    }
}
