//! Sends the orders of the leader to engines.
//!
//! Each order states the number of orders that the engine has accepted so far, so that a delayed
//! copy of it has no effect after a newer one.

use std::sync::Arc;
use std::time::Duration;

use crate::decisions::leading::leading_generation;
use crate::decisions::tables::PendingOrder;
use crate::edges::LayerOrder;
use crate::edges::OrderOutcome;
use crate::edges::Platform;
use crate::engines::leaving;
use crate::engines::probes::observe_target;
use crate::state::ForwardState;
use banyan_core::ids::FencingToken;
use banyan_core::pipeline::model::PipelineModel;
use banyan_core::pipeline::placement::PlacementOrder;

/// The time after which an order that is being sent expires. It covers the request for the engine's
/// state that precedes the order.
const ORDER_SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// The time for which an engine gets no orders after it refused one or was busy.
const REFUSED_ORDER_PAUSE: Duration = Duration::from_millis(500);
/// The timeout of a state request to an engine.
pub(super) const STATE_TIMEOUT: Duration = Duration::from_millis(600);
/// The time added to the expected duration of a load before the order expires and can be sent
/// again.
const LOAD_MARGIN: Duration = Duration::from_secs(3);

/// Sends each order in a separate task, so that an unresponsive engine does not delay the others.
pub(super) fn send_orders<P: Platform>(
    state: &Arc<ForwardState<P>>,
    generation: u64,
    orders: Vec<(Arc<PipelineModel>, PlacementOrder)>,
) {
    // The orders of all models are counted, as if all loads slowed each other down.
    let order_count = orders.len() as u32;
    for (model, order) in orders {
        record_sent_order(state, &order);
        let state = state.clone();
        tokio::spawn(async move {
            let attempt = send_order(&state, generation, &order).await;
            let batches = order_count.div_ceil(model.loads_at_once.max(1)).max(1);
            let load_time = model.load_time_of(order.range.count());
            record_order_attempt(
                &state,
                generation,
                order,
                attempt,
                load_time,
                load_time * batches + LOAD_MARGIN,
            );
        });
    }
}

/// Records that an order is being sent to an engine.
fn record_sent_order<P>(state: &ForwardState<P>, order: &PlacementOrder) {
    let now = state.now();
    let expires_at = now + ORDER_SEND_TIMEOUT;
    let pending = PendingOrder { range: Some(order.range), next_check_at: expires_at, expires_at };
    state.tables().set_pending_order(order.target.clone(), Some(pending));
}

/// How an attempt to send an order ended. The names of the variants are written to the log.
#[derive(Clone, Copy, Debug)]
enum OrderAttempt {
    /// The engine answered, or holds the layers already.
    Outcome(OrderOutcome),
    /// The order was not sent: the engine is busy with an earlier one, did not report its state, or
    /// is not listed, or this instance no longer leads.
    Busy,
    /// The engine did not answer, so that the order may have been accepted.
    Unknown,
}

impl OrderAttempt {
    fn as_str(self) -> &'static str {
        match self {
            Self::Outcome(OrderOutcome::Taken) => "taken",
            Self::Outcome(OrderOutcome::Conflict) => "conflict",
            Self::Outcome(OrderOutcome::Fenced) => "fenced",
            Self::Outcome(OrderOutcome::Refused(_)) => "refused",
            Self::Busy => "busy",
            Self::Unknown => "unknown",
        }
    }
}

/// Reads the engine's state and sends it the order, unless the engine is busy or holds the layers
/// already.
async fn send_order<P: Platform>(
    state: &ForwardState<P>,
    generation: u64,
    order: &PlacementOrder,
) -> OrderAttempt {
    let address = state.tables().fleet.rows.get(&order.target).map(|row| row.report.address);
    let Some(address) = address else { return OrderAttempt::Busy };
    let Ok(engine) = observe_target(state, &order.target, address, STATE_TIMEOUT).await else {
        return OrderAttempt::Busy;
    };
    if engine.busy {
        return OrderAttempt::Busy;
    }
    if engine.held == [order.range] {
        return OrderAttempt::Outcome(OrderOutcome::Taken);
    }
    // Earlier steps may have taken long, or the process may have been paused.
    if leading_generation(state) != Some(generation) {
        return OrderAttempt::Busy;
    }
    let order = LayerOrder {
        target: &order.target,
        address,
        range: order.range,
        fence: FencingToken(generation),
        expected_orders: engine.accepted_orders,
    };
    match state.platform.place(&order).await {
        Ok(answer) => {
            if answer.leaving {
                leaving::note_answer(state, order.target);
            }
            OrderAttempt::Outcome(answer.outcome)
        }
        Err(error) => {
            tracing::info!(part = "placement", target = %order.target, %error, "An order failed.");
            OrderAttempt::Unknown
        }
    }
}

/// Logs the end of an attempt to send an order, and updates the pending orders accordingly.
fn record_order_attempt<P>(
    state: &ForwardState<P>,
    generation: u64,
    order: PlacementOrder,
    attempt: OrderAttempt,
    load_time: Duration,
    order_timeout: Duration,
) {
    let now = state.now();
    let range = order.range;
    let layers = range.to_string();
    let target = order.target;
    metrics::counter!("banyan_orders_total", "end" => attempt.as_str()).increment(1);
    tracing::info!(
        part = "placement",
        %target,
        %layers,
        generation,
        end = ?attempt,
        "Ordered layers."
    );
    let pending = match attempt {
        OrderAttempt::Outcome(OrderOutcome::Taken) => Some(PendingOrder {
            range: Some(range),
            next_check_at: now + load_time,
            expires_at: now + order_timeout,
        }),
        OrderAttempt::Outcome(OrderOutcome::Conflict | OrderOutcome::Refused(_))
        | OrderAttempt::Busy => Some(PendingOrder {
            range: None,
            next_check_at: now,
            expires_at: now + REFUSED_ORDER_PAUSE,
        }),
        OrderAttempt::Outcome(OrderOutcome::Fenced) => {
            let mut tables = state.tables();
            tables.fenced_generation = tables.fenced_generation.max(generation);
            None
        }
        // The next planning round reads the engine's state and finds out whether the order was
        // accepted. If a delayed copy of this order arrives after a newer one, the engine rejects
        // it, because it states a lower number of accepted orders.
        OrderAttempt::Unknown => {
            state.plan_due.notify_one();
            None
        }
    };
    state.tables().set_pending_order(target, pending);
}
