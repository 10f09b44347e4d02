//! Assignment of layers to engines by the leader: [`run_leadership`].
//!
//! The group has a generation that increases with each change of its members. Each order carries it
//! as a fencing token, so that engines reject orders of a former leader. Orders are
//! level-triggered: the layers that engines report are compared with the plan, and orders are sent
//! for the differences.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::decisions::leading::leading_generation;
use crate::decisions::orders::STATE_TIMEOUT;
use crate::decisions::orders::call_end;
use crate::decisions::orders::send_orders;
use crate::decisions::tables::ForwardTables;
use crate::decisions::tables::PendingOrder;
use crate::edges::EngineState;
use crate::edges::OrderError;
use crate::edges::Platform;
use crate::engines::probes::observe_target;
use crate::state::ForwardState;
use crate::store::membership::keep_membership;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::fleet::FleetTable;
use banyan_core::pipeline::load::LoadView;
use banyan_core::pipeline::model::PipelineModel;
use banyan_core::pipeline::order_queue::CallPurpose;
use banyan_core::pipeline::order_queue::QueuedOrder;
use banyan_core::pipeline::order_queue::call_limit;
use banyan_core::pipeline::placement::PlacementOrder;
use banyan_core::pipeline::placement::plan_copies;
use banyan_core::pipeline::placement::sending_order;
use banyan_core::pipeline::placement_target::PlacementTarget;
use banyan_core::units::Moment;

/// The longest time between two planning rounds.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// The time for which changes are collected before a planning round.
const COLLECT_TIME: Duration = Duration::from_millis(10);
/// The time without a change of a listed engine after which the first layout is planned. Engines
/// that start together are listed one after another, and a layout over the first few would put too
/// many layers on each.
const SETTLE_TIME: Duration = Duration::from_millis(1_700);
/// The time after which one unchanged engine is enough to plan the first layout, although others
/// still change.
const SETTLE_LIMIT: Duration = Duration::from_secs(4);
/// The time between two state requests to an engine that is loading layers.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// The time between two plans in a large fleet, as a multiple of the time that the last one took.
/// Planning then takes at most a fifth of one core's time, however many engines there are.
const PLAN_PAUSE_FACTOR: u32 = 4;

/// Keeps this instance in the group, and assigns layers to engines while it leads.
pub async fn run_leadership<P: Platform>(state: Arc<ForwardState<P>>) {
    tokio::join!(keep_membership(state.clone()), run_placement(state));
}

async fn run_placement<P: Platform>(state: Arc<ForwardState<P>>) {
    let mut next_plan_at = Moment::default();
    loop {
        // Changes that occur together, such as the crash of several engines, are handled in one
        // round.
        let _ = tokio::time::timeout(PLAN_INTERVAL, state.plan_due.notified()).await;
        tokio::time::sleep(COLLECT_TIME).await;
        state.tables().expire_orders(state.now());
        let generation = leading_generation(&state);
        state.tables().orders_layers = generation.is_some();
        let Some(generation) = generation else {
            state.tables().order_queue.clear();
            continue;
        };
        set_call_limit(&state);
        check_pending_loads(&state);
        let started_at = state.now();
        if started_at >= next_plan_at {
            let orders = due_orders(&state, generation);
            let mut tables = state.tables();
            tables.order_queue.replace_waiting(generation, orders);
            if tables.order_queue.is_limited() {
                let ended_at = state.now();
                next_plan_at = ended_at + ended_at.since(started_at) * PLAN_PAUSE_FACTOR;
            }
        }
        send_orders(&state, generation);
    }
}

/// Sets how many calls to engines may be in flight, and forgets engines that are no longer listed.
fn set_call_limit<P>(state: &ForwardState<P>) {
    let capacity = state.settings().duty_capacity;
    let mut guard = state.tables();
    let tables = &mut *guard;
    tables.order_queue.set_limit(call_limit(tables.peers_listed, capacity));
    let rows = &tables.fleet.rows;
    tables.order_queue.retain_targets(|id| rows.contains_key(id));
    tables.engine_states.retain_targets(|id| rows.contains_key(id));
}

/// Asks engines whose loads should be complete which layers they hold.
fn check_pending_loads<P: Platform>(state: &Arc<ForwardState<P>>) {
    for (id, address) in due_load_checks(state) {
        let state = state.clone();
        tokio::spawn(async move {
            let asked_at = state.now();
            let answer = observe_target(&state, &id, address, STATE_TIMEOUT).await;
            record_load_check(&state, &id, answer, asked_at);
        });
    }
}

/// Records how a question to an engine ended whose load should be complete. `observe_target` has
/// recorded the engine's layers and logged a failure.
fn record_load_check<P>(
    state: &ForwardState<P>,
    id: &TargetId,
    answer: Result<EngineState, OrderError>,
    asked_at: Moment,
) {
    let now = state.now();
    let mut tables = state.tables();
    let end = call_end(&answer);
    tables.order_queue.finish(CallPurpose::Check, id, end, now);
    if !tables.order_queue.is_limited() {
        return;
    }
    let pause = tables.order_queue.pause_of(id);
    let Some(order) = tables.pending_orders.get_mut(id) else { return };
    match answer {
        Ok(engine) => {
            // The engine accepted the order before it was asked, and ended it without the layers.
            // With many loads, the order would expire only much later.
            let taken_before = order.taken_at.is_some_and(|at| at < asked_at);
            let lacks_layers = order.range.is_some_and(|range| engine.held != [range]);
            if taken_before && lacks_layers && !engine.busy {
                tables.set_pending_order(id.clone(), None);
            }
        }
        Err(OrderError::NoAnswer { .. }) => order.next_check_at = now + pause,
        Err(OrderError::Absent) => {}
    }
}

/// The engines whose pending loads are due for a check, those that have waited longest first.
/// Schedules the next check of each.
fn due_load_checks<P>(state: &ForwardState<P>) -> Vec<(TargetId, SocketAddr)> {
    let now = state.now();
    let mut guard = state.tables();
    let tables = &mut *guard;
    let mut waiting: Vec<(&TargetId, &mut PendingOrder)> = tables
        .pending_orders
        .iter_mut()
        .filter(|(_, order)| order.range.is_some() && now >= order.next_check_at)
        .collect();
    waiting.sort_by_key(|(_, order)| order.next_check_at);
    let mut due = Vec::new();
    for (id, order) in waiting {
        let Some(row) = tables.fleet.rows.get(id) else { continue };
        if !tables.order_queue.start_check() {
            break;
        }
        order.next_check_at = now + LOAD_CHECK_INTERVAL;
        due.push((id.clone(), row.report.address));
    }
    due
}

/// The orders to send now, for all models, in the sequence in which they are sent.
fn due_orders<P>(state: &ForwardState<P>, generation: u64) -> Vec<QueuedOrder> {
    let mut due = Vec::new();
    // The tables are not locked while the planner runs, since planning for thousands of engines
    // takes long.
    for (model, targets) in plan_inputs(state, generation) {
        let load_times = |order: PlacementOrder| QueuedOrder {
            load_time: model.load_time_of(order.range.count()),
            loads_at_once: model.loads_at_once.max(1),
            order,
        };
        due.extend(sending_order(plan_copies(&model, &targets)).into_iter().map(load_times));
    }
    due
}

/// The models and their engines as input for the planner. Drops the orders that wait, since an
/// order that is started while the planner runs would be planned a second time.
fn plan_inputs<P>(
    state: &ForwardState<P>,
    generation: u64,
) -> Vec<(Arc<PipelineModel>, Vec<PlacementTarget>)> {
    let now = state.now();
    let mut guard = state.tables();
    let tables = &mut *guard;
    tables.order_queue.replace_waiting(generation, Vec::new());
    let Some(routes) = tables.route_table() else { return Vec::new() };
    let mut inputs = Vec::new();
    for (service, spec) in &routes.services {
        let Some(model) = &spec.model else { continue };
        let mut targets = placement_targets(model, service, tables, now);
        targets.retain(|target| !is_lost(tables, &target.id, now));
        if targets.iter().all(|target| target.range.is_none())
            && !has_settled(&tables.fleet, service, now)
        {
            continue;
        }
        inputs.push((model.clone(), targets));
    }
    inputs
}

/// Whether an engine is considered lost: its host refuses connections, or both this instance and at
/// least one live peer find it unreachable. Without live peers, this instance's observation is
/// enough.
fn is_lost(tables: &ForwardTables, id: &TargetId, now: Moment) -> bool {
    if tables.suspicions.is_absent(id, now) {
        return true;
    }
    let no_peers = tables.peer_loads.live_peer_count(now) == 0;
    let peer_confirms = || tables.peer_loads.unreachable(now).any(|other| other == id);
    tables.suspicions.is_unreachable(id, now) && (no_peers || peer_confirms())
}

/// Whether the first layout can be planned: no listed engine has changed for `SETTLE_TIME`, or one
/// of them has not changed for `SETTLE_LIMIT`.
fn has_settled(fleet: &FleetTable, service: &ServiceId, now: Moment) -> bool {
    let change_times = || fleet.of_service(service).map(|(_, row)| row.changed);
    let newest = change_times().max().unwrap_or_default();
    let oldest = change_times().min().unwrap_or_default();
    now.since(newest) >= SETTLE_TIME || now.since(oldest) >= SETTLE_LIMIT
}

/// The engines of a service as input for the planner. Removes pending orders that are complete.
fn placement_targets(
    model: &PipelineModel,
    service: &ServiceId,
    tables: &mut ForwardTables,
    now: Moment,
) -> Vec<PlacementTarget> {
    let peer_scale = tables.peer_scale(now);
    let loads = LoadView { own: &tables.loads, peers: &tables.peer_loads, peer_scale };
    let pending = &mut tables.pending_orders;
    let mut targets = Vec::new();
    for (id, row) in &tables.fleet.rows {
        if row.report.service != *service || !row.takes_work() {
            continue;
        }
        let Some(kind) = row.report.kind.as_ref().and_then(|kind| model.kinds.get(kind)) else {
            continue;
        };
        let held_range = row.report.held.iter().copied().max_by_key(|range| range.count());
        let held_range = held_range.filter(|range| range.end <= model.layers);
        if pending.get(id).is_some_and(|order| order.range.is_some() && order.range == held_range) {
            pending.remove(id);
        }
        let order = pending.get(id);
        targets.push(PlacementTarget {
            id: id.clone(),
            zone: row.report.zone.clone(),
            memory: kind.memory,
            step_time_permille: (kind.step_factor * 1_000.0) as u64,
            range: order.and_then(|order| order.range).or(held_range),
            load: loads.token_layers(id) as u64,
            busy: order.is_some(),
        });
    }
    tables.sync_orders();
    targets
}
