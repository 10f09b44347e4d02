//! Sends the orders of the leader to engines.
//!
//! Each order states the number of orders that the engine has accepted so far, so that a delayed
//! copy of it has no effect after a newer one. In a large fleet the number of calls in flight is
//! bounded, and the number of accepted orders is not requested where it is known
//! ([`banyan_core::pipeline::order_queue`], [`banyan_core::pipeline::engine_states`]).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::decisions::leading::leading_generation;
use crate::decisions::tables::PendingOrder;
use crate::edges::LayerOrder;
use crate::edges::OrderError;
use crate::edges::OrderOutcome;
use crate::edges::Platform;
use crate::engines::leaving;
use crate::engines::probes::observe_target;
use crate::state::ForwardState;
use banyan_core::ids::FencingToken;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::order_queue::CallEnd;
use banyan_core::pipeline::order_queue::CallPurpose;
use banyan_core::pipeline::order_queue::QueuedOrder;
use banyan_core::pipeline::placement::PlacementOrder;

/// The time after which an order that is being sent expires. It covers the request for the engine's
/// state that precedes the order.
const ORDER_SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// The time for which an engine gets no orders after it refused one, was busy or, in a small fleet,
/// did not answer.
const REFUSED_ORDER_PAUSE: Duration = Duration::from_millis(500);
/// The timeout of a state request to an engine.
pub(super) const STATE_TIMEOUT: Duration = Duration::from_millis(600);
/// The time added to the expected duration of a load before the order expires and can be sent
/// again.
const LOAD_MARGIN: Duration = Duration::from_secs(3);

/// Sends the waiting orders, as many at once as may be in flight. Each is sent in a separate task, so
/// that an unresponsive engine does not delay the others.
pub(super) fn send_orders<P: Platform>(state: &Arc<ForwardState<P>>, generation: u64) {
    let mut started = Vec::new();
    while let Some(order) = start_order(state, generation) {
        started.push(order);
    }
    // The loads of all models are counted, as if all of them slowed each other down.
    let loads = concurrent_loads(state, started.len());
    for order in started {
        tokio::spawn(send_in_turn(state.clone(), generation, order, loads));
    }
}

/// Sends an order, and then others that wait, while calls may be started.
async fn send_in_turn<P: Platform>(
    state: Arc<ForwardState<P>>,
    generation: u64,
    first: QueuedOrder,
    mut loads: u32,
) {
    let mut next = Some(first);
    while let Some(queued) = next {
        let attempt = send_order(&state, generation, &queued.order).await;
        record_order_attempt(&state, generation, queued, attempt, loads);
        next = start_order(&state, generation);
        loads = concurrent_loads(&state, 1);
    }
}

/// The number of loads that may slow each other down: those that are sent together, and in a large
/// fleet, where a plan is sent over some time, all that are pending.
fn concurrent_loads<P>(state: &ForwardState<P>, sent: usize) -> u32 {
    let tables = state.tables();
    let limited = tables.order_queue.is_limited();
    let loads = if limited { tables.pending_orders.len().max(sent) } else { sent };
    loads as u32
}

/// Takes the next order from the queue, and records that it is being sent.
fn start_order<P>(state: &ForwardState<P>, generation: u64) -> Option<QueuedOrder> {
    let now = state.now();
    let mut tables = state.tables();
    let queued = tables.order_queue.start_order(generation)?;
    let expires_at = now + ORDER_SEND_TIMEOUT;
    let pending = PendingOrder {
        range: Some(queued.order.range),
        next_check_at: expires_at,
        expires_at,
        taken_at: None,
    };
    tables.set_pending_order(queued.order.target.clone(), Some(pending));
    Some(queued)
}

/// How an attempt to send an order ended. The names of the variants are written to the log.
#[derive(Clone, Copy, Debug)]
enum OrderAttempt {
    /// The engine answered, or holds the layers already.
    Outcome(OrderOutcome),
    /// The order was not sent: the engine is busy with an earlier one.
    Busy,
    /// The order was not sent: no engine runs at the address.
    Absent,
    /// The order was not sent: the engine did not report its state in time.
    TimedOut,
    /// The order was not sent: the engine is not listed, or this instance no longer leads.
    Dropped,
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
            Self::Absent => "absent",
            Self::TimedOut => "timeout",
            Self::Dropped => "dropped",
            Self::Unknown => "unknown",
        }
    }

    /// What the attempt tells about the rate at which this instance can call engines.
    fn call_end(self) -> CallEnd {
        match self {
            Self::Outcome(_) | Self::Busy | Self::Absent => CallEnd::Answered,
            Self::TimedOut | Self::Unknown => CallEnd::TimedOut,
            Self::Dropped => CallEnd::NotSent,
        }
    }
}

/// What a call to an engine tells about the rate at which this instance can call engines.
pub(super) fn call_end<T>(answer: &Result<T, OrderError>) -> CallEnd {
    match answer {
        Ok(_) | Err(OrderError::Absent) => CallEnd::Answered,
        Err(OrderError::NoAnswer { .. }) => CallEnd::TimedOut,
    }
}

/// Sends an engine the order. Its state is read first unless it is known. After a conflict, what was
/// known is outdated, and the state is read once.
async fn send_order<P: Platform>(
    state: &ForwardState<P>,
    generation: u64,
    order: &PlacementOrder,
) -> OrderAttempt {
    let Some((address, expected_orders)) = known_engine(state, &order.target) else {
        return OrderAttempt::Dropped;
    };
    if let Some(expected_orders) = expected_orders {
        let attempt = place(state, generation, order, address, expected_orders).await;
        if !matches!(attempt, OrderAttempt::Outcome(OrderOutcome::Conflict)) {
            return attempt;
        }
    }
    let engine = match observe_target(state, &order.target, address, STATE_TIMEOUT).await {
        Ok(engine) => engine,
        Err(OrderError::Absent) => return OrderAttempt::Absent,
        Err(OrderError::NoAnswer { .. }) => return OrderAttempt::TimedOut,
    };
    if engine.busy {
        return OrderAttempt::Busy;
    }
    if engine.held == [order.range] {
        return OrderAttempt::Outcome(OrderOutcome::Taken);
    }
    place(state, generation, order, address, engine.accepted_orders).await
}

/// The address of a listed engine, and the number of orders that it has accepted if that need not be
/// requested. In a small fleet it is always requested.
fn known_engine<P>(state: &ForwardState<P>, id: &TargetId) -> Option<(SocketAddr, Option<u64>)> {
    let tables = state.tables();
    let report = &tables.fleet.rows.get(id)?.report;
    let expected = tables.engine_states.expected_orders(id, report);
    Some((report.address, expected.filter(|_| tables.order_queue.is_limited())))
}

/// Sends an engine the order, if this instance still leads.
async fn place<P: Platform>(
    state: &ForwardState<P>,
    generation: u64,
    order: &PlacementOrder,
    address: SocketAddr,
    expected_orders: u64,
) -> OrderAttempt {
    // Earlier steps may have taken long, or the process may have been paused.
    if leading_generation(state) != Some(generation) {
        return OrderAttempt::Dropped;
    }
    let order = LayerOrder {
        target: &order.target,
        address,
        range: order.range,
        fence: FencingToken(generation),
        expected_orders,
    };
    let answer = state.platform.place(&order).await;
    state.tables().engine_states.record_unsure(order.target);
    match answer {
        Ok(answer) => {
            if answer.leaving {
                leaving::note_answer(state, order.target);
            }
            OrderAttempt::Outcome(answer.outcome)
        }
        Err(error) => {
            tracing::info!(part = "placement", target = %order.target, %error, "An order failed.");
            match error {
                OrderError::Absent => OrderAttempt::Absent,
                OrderError::NoAnswer { .. } => OrderAttempt::Unknown,
            }
        }
    }
}

/// Logs the end of an attempt to send an order, and updates the queue and the pending orders
/// accordingly. `loads` is the number of loads that may slow each other down.
fn record_order_attempt<P>(
    state: &ForwardState<P>,
    generation: u64,
    queued: QueuedOrder,
    attempt: OrderAttempt,
    loads: u32,
) {
    let now = state.now();
    let PlacementOrder { range, target } = queued.order;
    let layers = range.to_string();
    metrics::counter!("banyan_orders_total", "end" => attempt.as_str()).increment(1);
    tracing::info!(
        part = "placement",
        %target,
        %layers,
        generation,
        end = ?attempt,
        "Ordered layers."
    );
    let mut tables = state.tables();
    tables.order_queue.finish(CallPurpose::Order, &target, attempt.call_end(), now);
    let limited = tables.order_queue.is_limited();
    let pause = if limited { tables.order_queue.pause_of(&target) } else { REFUSED_ORDER_PAUSE };
    let expires_at = now + pause;
    let pending = match attempt {
        OrderAttempt::Outcome(OrderOutcome::Taken) => {
            let batches = loads.div_ceil(queued.loads_at_once).max(1);
            Some(PendingOrder {
                range: Some(range),
                next_check_at: now + queued.load_time,
                expires_at: now + queued.load_time * batches + LOAD_MARGIN,
                taken_at: Some(now),
            })
        }
        OrderAttempt::Outcome(OrderOutcome::Conflict | OrderOutcome::Refused(_))
        | OrderAttempt::Busy
        | OrderAttempt::Absent
        | OrderAttempt::TimedOut
        | OrderAttempt::Dropped => {
            Some(PendingOrder { range: None, next_check_at: now, expires_at, taken_at: None })
        }
        OrderAttempt::Outcome(OrderOutcome::Fenced) => {
            tables.fenced_generation = tables.fenced_generation.max(generation);
            None
        }
        // The engine is called again only after a pause, since the call may have failed because
        // too many were made. Until then the order counts as accepted.
        OrderAttempt::Unknown if limited => Some(PendingOrder {
            range: Some(range),
            next_check_at: expires_at,
            expires_at,
            taken_at: None,
        }),
        // The next planning round reads the engine's state and finds out whether the order was
        // accepted. If a delayed copy of this order arrives after a newer one, the engine rejects
        // it, because it states a lower number of accepted orders.
        OrderAttempt::Unknown => {
            state.plan_due.notify_one();
            None
        }
    };
    tables.set_pending_order(target, pending);
}
