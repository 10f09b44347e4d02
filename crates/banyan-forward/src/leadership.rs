//! Which instance orders layers onto engines, and the orders: [`run_leadership`].
//!
//! The group's membership gives the leader a number that grows with each change; it goes with each
//! order, so that engines refuse an earlier leader. Orders are level-triggered: what engines say they
//! hold is compared with the plan, and the difference is ordered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::edges::LayerOrder;
use crate::edges::OrderOutcome;
use crate::edges::Platform;
use crate::membership::keep_membership;
use crate::probes::observe_target;
use crate::state::ForwardState;
use crate::state::ForwardTables;
use crate::state::PendingOrder;
use banyan_core::ids::FencingToken;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::fleet::FleetTable;
use banyan_core::pipeline::load::LoadView;
use banyan_core::pipeline::model::PipelineModel;
use banyan_core::pipeline::placement::PlacementOrder;
use banyan_core::pipeline::placement::PlacementTarget;
use banyan_core::pipeline::placement::plan_placement;
use banyan_core::units::Moment;

/// The time between two looks at whether layers should be ordered.
const PLAN_PAUSE: Duration = Duration::from_millis(250);
/// The time for which changes are gathered before layers are planned.
const GATHER_TIME: Duration = Duration::from_millis(10);
/// The longest time that giving an order takes: the engine is asked for its state first.
const GIVE_LIMIT: Duration = Duration::from_secs(2);
/// The time for which an engine is left alone after it refused an order.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);
/// The time without new engines after which the first layout is planned: engines that start together
/// are listed one after the other, and a layout over the first few would crowd them.
const SETTLE_TIME: Duration = Duration::from_millis(1_700);
/// The longest time that the first layout waits for the list of engines to settle.
const SETTLE_LIMIT: Duration = Duration::from_secs(4);
/// The time after which a peer stands in for a leader that is not heard while the group is silent.
const DEPUTY_TIME: Duration = Duration::from_millis(2_500);
/// The time between two questions to an engine that is loading layers.
const LOADING_PAUSE: Duration = Duration::from_millis(300);
/// The time that an engine may take to tell its state.
const STATE_LIMIT: Duration = Duration::from_millis(600);
/// How much longer than its share of the load time a load may take before it is ordered again.
const LOAD_MARGIN: Duration = Duration::from_secs(3);

/// Keeps this instance in the group; where it leads, orders layers onto engines.
pub async fn run_leadership<P: Platform>(state: Arc<ForwardState<P>>) {
    tokio::join!(keep_membership(state.clone()), run_placement(state));
}

async fn run_placement<P: Platform>(state: Arc<ForwardState<P>>) {
    loop {
        // What changes together, as several engines that crash, is planned for together.
        let _ = tokio::time::timeout(PLAN_PAUSE, state.plan_due.notified()).await;
        tokio::time::sleep(GATHER_TIME).await;
        state.tables().expire_orders(state.now());
        let Some(generation) = leading_generation(&state) else { continue };
        observe_pending(&state);
        carry_out(&state, generation, due_orders(&state));
    }
}

/// The fencing token with which this instance may order layers now, if it may.
fn leading_generation<P>(state: &ForwardState<P>) -> Option<u64> {
    let tables = state.tables();
    let generation = match tables.membership {
        Some(place) if place.leads => Some(place.generation),
        _ => deputy_generation(state, &tables),
    };
    generation.filter(|generation| *generation > tables.fenced_generation)
}

/// While the group is silent and no leader is heard, the peer with the lowest name orders layers with
/// the newest number that any of them has heard. Two that both take themselves for it do no harm: each
/// order names the orders that the engine has begun before, and never more layers than fit.
fn deputy_generation<P>(state: &ForwardState<P>, tables: &ForwardTables) -> Option<u64> {
    let now = state.now();
    let settings = state.settings();
    let group_silent = now.since(tables.membership_confirmed_at) >= DEPUTY_TIME;
    let leader_silent = tables.leader_seen_at.is_none_or(|at| now.since(at) >= DEPUTY_TIME);
    if !settings.bounds.engines_check_fences || !group_silent || !leader_silent {
        return None;
    }
    let lowest = tables.peer_loads.lowest(now).is_none_or(|peer| settings.instance < *peer);
    let heard = tables.membership.map_or(0, |place| place.generation);
    let generation = heard.max(tables.highest_seen_generation);
    (lowest && generation > 0).then_some(generation)
}

/// Asks the engines whose loads should be done by now which layers they hold.
fn observe_pending<P: Platform>(state: &Arc<ForwardState<P>>) {
    for (id, address) in due_questions(state) {
        let state = state.clone();
        tokio::spawn(async move {
            // A question without an answer is asked again, and logged where it is asked.
            let _ = observe_target(&state, &id, address, STATE_LIMIT).await;
        });
    }
}

/// The engines that are asked now which layers they hold.
fn due_questions<P>(state: &ForwardState<P>) -> Vec<(TargetId, SocketAddr)> {
    let now = state.now();
    let mut guard = state.tables();
    let tables = &mut *guard;
    let mut due = Vec::new();
    for (id, order) in &mut tables.pending_orders {
        if order.range.is_none() || now < order.next_check_at {
            continue;
        }
        order.next_check_at = now + LOADING_PAUSE;
        if let Some(row) = tables.fleet.rows.get(id) {
            due.push((id.clone(), row.report.address));
        }
    }
    due
}

/// The orders that are due now for all models.
fn due_orders<P>(state: &ForwardState<P>) -> Vec<(Arc<PipelineModel>, PlacementOrder)> {
    let now = state.now();
    let mut guard = state.tables();
    let tables = &mut *guard;
    let Some(routes) = tables.route_table() else { return Vec::new() };
    let mut due = Vec::new();
    for (service, spec) in &routes.services {
        let Some(model) = &spec.model else { continue };
        let mut targets = placement_targets(model, service, tables, now);
        targets.retain(|target| !is_lost(tables, &target.id, now));
        if targets.iter().all(|target| target.range.is_none())
            && !has_settled(&tables.fleet, service, now)
        {
            continue;
        }
        let orders = plan_placement(model, &targets);
        due.extend(orders.into_iter().map(|order| (model.clone(), order)));
    }
    due
}

/// Whether an engine is taken as lost: nothing runs where it was, or it answers neither this instance
/// nor some peer.
fn is_lost(tables: &ForwardTables, id: &TargetId, now: Moment) -> bool {
    if tables.suspicions.is_absent(id, now) {
        return true;
    }
    let alone = tables.peer_loads.heard(now) == 0;
    let peer_agrees = || tables.peer_loads.unreachable(now).any(|other| other == id);
    tables.suspicions.is_unreachable(id, now) && (alone || peer_agrees())
}

/// Whether no engine was listed lately, or the first one long enough ago.
fn has_settled(fleet: &FleetTable, service: &ServiceId, now: Moment) -> bool {
    let listed = || fleet.of_service(service).map(|(_, row)| row.changed);
    let newest = listed().max().unwrap_or_default();
    let oldest = listed().min().unwrap_or_default();
    now.since(newest) >= SETTLE_TIME || now.since(oldest) >= SETTLE_LIMIT
}

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
        let held = row.report.held.iter().copied().max_by_key(|range| range.count());
        let held = held.filter(|range| range.end <= model.layers);
        if pending.get(id).is_some_and(|order| order.range.is_some() && order.range == held) {
            pending.remove(id);
        }
        let order = pending.get(id);
        targets.push(PlacementTarget {
            id: id.clone(),
            zone: row.report.zone.clone(),
            memory: kind.memory,
            slowness: (kind.step_factor * 1_000.0) as u64,
            range: order.and_then(|order| order.range).or(held),
            load: loads.token_layers(id) as u64,
            busy: order.is_some(),
        });
    }
    tables.sync_orders();
    targets
}

/// Gives orders, each in a task of its own: an engine that does not answer holds up no other.
fn carry_out<P: Platform>(
    state: &Arc<ForwardState<P>>,
    generation: u64,
    orders: Vec<(Arc<PipelineModel>, PlacementOrder)>,
) {
    let count = orders.len() as u32;
    for (model, order) in orders {
        note_given(state, &order);
        let state = state.clone();
        tokio::spawn(async move {
            let end = give_order(&state, generation, &order).await;
            let stretch = count.div_ceil(model.loads_at_once.max(1)).max(1);
            let load = model.load_time_of(order.range.count());
            note_end(&state, generation, order, end, load, load * stretch + LOAD_MARGIN);
        });
    }
}

/// Notes that an engine is being told which layers to hold.
fn note_given<P>(state: &ForwardState<P>, order: &PlacementOrder) {
    let now = state.now();
    let until = now + GIVE_LIMIT;
    let pending =
        PendingOrder { range: Some(order.range), next_check_at: until, expires_at: until };
    state.tables().set_pending_order(order.target.clone(), Some(pending));
}

/// How an order ended.
#[derive(Clone, Copy, Debug)]
enum OrderEnd {
    Outcome(OrderOutcome),
    /// The engine is busy with an earlier order.
    Busy,
    /// It is not known what became of it.
    Unknown,
}

impl OrderEnd {
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

async fn give_order<P: Platform>(
    state: &ForwardState<P>,
    generation: u64,
    order: &PlacementOrder,
) -> OrderEnd {
    let address = state.tables().fleet.rows.get(&order.target).map(|row| row.report.address);
    let Some(address) = address else { return OrderEnd::Busy };
    let Ok(engine) = observe_target(state, &order.target, address, STATE_LIMIT).await else {
        return OrderEnd::Busy;
    };
    if engine.busy {
        return OrderEnd::Busy;
    }
    if engine.held == [order.range] {
        return OrderEnd::Outcome(OrderOutcome::Taken);
    }
    let order = LayerOrder {
        target: &order.target,
        address,
        range: order.range,
        fence: FencingToken(generation),
        expected: engine.accepted_orders,
    };
    match state.platform.place(&order).await {
        Ok(outcome) => OrderEnd::Outcome(outcome),
        Err(error) => {
            tracing::info!(part = "placement", target = %order.target, %error, "Not answered.");
            OrderEnd::Unknown
        }
    }
}

fn note_end<P>(
    state: &ForwardState<P>,
    generation: u64,
    order: PlacementOrder,
    end: OrderEnd,
    load: Duration,
    load_limit: Duration,
) {
    let now = state.now();
    let range = order.range;
    let layers = range.to_string();
    let target = order.target;
    metrics::counter!("banyan_orders_total", "end" => end.as_str()).increment(1);
    tracing::info!(part = "placement", %target, %layers, generation, ?end, "Ordered layers.");
    let pending = match end {
        OrderEnd::Outcome(OrderOutcome::Taken) => Some(PendingOrder {
            range: Some(range),
            next_check_at: now + load,
            expires_at: now + load_limit,
        }),
        OrderEnd::Outcome(OrderOutcome::Conflict | OrderOutcome::Refused(_)) | OrderEnd::Busy => {
            Some(PendingOrder { range: None, next_check_at: now, expires_at: now + REFUSED_PAUSE })
        }
        OrderEnd::Outcome(OrderOutcome::Fenced) => {
            let mut tables = state.tables();
            tables.fenced_generation = tables.fenced_generation.max(generation);
            None
        }
        // Whether it was begun shows in the engine's state when the next plan is carried out; a copy
        // that comes late names an earlier number of orders then, and is refused.
        OrderEnd::Unknown => {
            state.plan_due.notify_one();
            None
        }
    };
    state.tables().set_pending_order(target, pending);
}
