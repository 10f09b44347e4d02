//! Runs the batches: [`run_batches`].

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::engine::EngineApp;
use crate::engine::lineage::TokenRun;
use crate::engine::state::EngineState;
use crate::engine::state::RunningBatch;
use crate::engine::stream::StreamItem;
use crate::engine::stream::StreamSender;
use crate::fault::LossKind;
use crate::truth::RunRow;
use crate::truth::wall_ms;
use banyan_wire::engine::StepEvent;
use banyan_wire::engine::StepRequest;
use banyan_wire::engine::StepWork;

/// A batch that ends later than planned by more than this does not let the next one catch up.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(20);
/// The time between two measurements of the load.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Runs one batch after the other, for as long as the engine lives.
///
/// Batches start by plan and not by when a timer fired, so that the engine's rate is the declared
/// one.
pub(super) async fn run_batches(app: Arc<EngineApp>) {
    let mut free_at = Instant::now();
    loop {
        let taken = app.lock().take_batch();
        let Some(batch) = taken else {
            app.arrived.notified().await;
            app.gate.thawed().await;
            continue;
        };
        let end = free_at.max(batch.arrived) + batch.cost;
        sleep_until(end).await;
        app.gate.thawed().await;
        free_at = end;
        if Instant::now() > end + CATCH_UP_LIMIT {
            free_at = Instant::now();
        }
        finish_batch(&app, batch);
    }
}

/// Measures the load now and then, for reports that lag.
pub(super) async fn publish_reports(app: Arc<EngineApp>) {
    loop {
        measure_load(&app);
        sleep(REPORT_INTERVAL).await;
    }
}

fn measure_load(app: &EngineApp) {
    let mut state = app.lock();
    let now = Instant::now();
    let report = (now, state.load());
    state.reports.push_back(report);
    let lag = app.options.load_lag;
    while state.reports.get(1).is_some_and(|(at, _)| *at + lag <= now) {
        state.reports.pop_front();
    }
}

fn finish_batch(app: &Arc<EngineApp>, batch: RunningBatch) {
    let mut state = app.lock();
    state.set_idle();
    if state.truth.incarnation != batch.incarnation {
        // The run that took the batch up has ended.
        return;
    }
    if batch.crashes {
        state.record_crash(&batch);
        drop(state);
        app.crash();
        return;
    }
    let mut rows = Vec::new();
    let mut answers = Vec::new();
    for (order, cached) in &batch.steps {
        run_step(app, &mut state, order, *cached, &mut rows, &mut answers);
    }
    app.write_truth(&rows);
    state.truth.runs.append(&mut rows);
    for (event, waiters) in answers {
        give_answer(&mut state, event, waiters);
    }
}

fn run_step(
    app: &EngineApp,
    state: &mut EngineState,
    order: &StepRequest,
    cached: u32,
    rows: &mut Vec<RunRow>,
    answers: &mut Vec<(StepEvent, Vec<StreamSender>)>,
) {
    let last_stage = state.is_last_stage(order.end_layer);
    let ends = app.options.answer_tokens.is_some_and(|tokens| order.step.token + 1 >= tokens);
    let Some((result, runs, waiters)) = state.lineages.run(order, last_stage, ends) else {
        return;
    };
    if let StepWork::Prompt { prefixes, .. } = &order.work {
        state.prefixes.store(prefixes);
    }
    rows.extend(runs.into_iter().map(|run| truth_row(state, order, run, cached)));
    let event = state.answer(order.step.clone(), result, cached);
    answers.push((event, waiters));
}

fn truth_row(
    state: &EngineState,
    order: &StepRequest,
    (token, kind): TokenRun,
    cached: u32,
) -> RunRow {
    let mut step = order.step.clone();
    step.token = token;
    let prompt = match &order.work {
        StepWork::Prompt { tokens, .. } | StepWork::Rebuild { tokens, .. } => *tokens,
        StepWork::Token { .. } => 0,
    };
    let read = if token == 0 { prompt - cached } else { 0 };
    RunRow {
        step,
        first_layer: order.first_layer,
        end_layer: order.end_layer,
        kind,
        read,
        cached,
        incarnation: state.truth.incarnation.clone(),
        at_ms: wall_ms(),
    }
}

/// Sends an answer to all who wait for it, as the faults that are set will have it.
fn give_answer(state: &mut EngineState, event: StepEvent, waiters: Vec<StreamSender>) {
    let mut items = Vec::new();
    if state.faults.lost_answers > 0 {
        state.faults.lost_answers -= 1;
        if state.faults.loss == Some(LossKind::Cut) {
            items.push(StreamItem::Break);
        }
        send_items(Duration::ZERO, items, waiters);
        return;
    }
    if state.faults.crossings > 0
        && let Some(previous) = state.previous.clone()
    {
        state.faults.crossings -= 1;
        items.push(StreamItem::Extra(previous));
    }
    if state.faults.duplicates > 0 {
        state.faults.duplicates -= 1;
        items.push(StreamItem::Extra(event.clone()));
    }
    state.previous = Some(event.clone());
    let delay = link_delay(&event, state.faults.link_rate);
    items.push(StreamItem::Final(event));
    send_items(delay, items, waiters);
}

fn link_delay(event: &StepEvent, bytes_per_second: u64) -> Duration {
    match event {
        StepEvent::Answer { output, .. } if bytes_per_second > 0 => {
            Duration::from_secs_f64(output.bytes as f64 / bytes_per_second as f64)
        }
        _ => Duration::ZERO,
    }
}

fn send_items(delay: Duration, items: Vec<StreamItem>, waiters: Vec<StreamSender>) {
    let send = move || {
        for waiter in waiters {
            for item in &items {
                // A caller that has gone needs no answer.
                let _ = waiter.send(item.clone());
            }
        }
    };
    if delay.is_zero() {
        send();
        return;
    }
    tokio::spawn(async move {
        sleep(delay).await;
        send();
    });
}
