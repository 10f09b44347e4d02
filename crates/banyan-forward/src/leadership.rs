//! Which instance orders layers onto engines, and the orders: [`run_leadership`].
//!
//! The group's membership gives the leader a number that grows with each change; it goes with each
//! order, so that engines refuse an earlier leader. Orders are level-triggered: what engines say they
//! hold is compared with the plan, and the difference is ordered.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::edges::OrderOutcome;
use crate::edges::Platform;
use crate::feeds::note_trouble;
use crate::state::ForwardState;
use banyan_core::ids::FenceNumber;
use banyan_core::ids::LayerRange;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::fleet::FleetTable;
use banyan_core::pipeline::fleet::TargetRow;
use banyan_core::pipeline::model::PipelineModel;
use banyan_core::pipeline::placement::PlacementOrder;
use banyan_core::pipeline::placement::PlacementTarget;
use banyan_core::pipeline::placement::plan_placement;
use banyan_core::units::Moment;

/// The time between two words to the group.
pub const MEMBERSHIP_PAUSE: Duration = Duration::from_millis(700);
/// The time after which the group takes an instance as gone that says nothing.
pub const MEMBERSHIP_TTL: Duration = Duration::from_millis(2_200);
/// The time between two looks at whether layers should be ordered.
const PLAN_PAUSE: Duration = Duration::from_millis(250);
/// The time that an order which was not answered may take to be carried out late.
const LATE_ORDER_TIME: Duration = Duration::from_secs(3);
/// The time for which an engine is left alone after it refused an order.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);
/// The time without new engines after which the first layout is planned: engines that start together
/// are listed one after the other, and a layout over the first few would crowd them.
const SETTLE_TIME: Duration = Duration::from_millis(800);
/// The longest time that the first layout waits for the list of engines to settle.
const SETTLE_LIMIT: Duration = Duration::from_secs(3);
/// How much longer than its share of the load time a load may take before it is ordered again.
const LOAD_MARGIN: Duration = Duration::from_secs(3);

/// An order that an engine has been given.
#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    range: Option<LayerRange>,
    until: Moment,
}

/// What the leader knows beside the tables.
#[derive(Debug, Default)]
struct LeaderDesk {
    pending: BTreeMap<TargetId, PendingOrder>,
    /// The generation in which an engine told this instance that it has been replaced.
    fenced: Option<u64>,
}

/// Keeps this instance in the group; where it leads, orders layers onto engines.
pub async fn run_leadership<P: Platform>(state: Arc<ForwardState<P>>) {
    tokio::join!(keep_membership(state.clone()), run_placement(state));
}

async fn keep_membership<P: Platform>(state: Arc<ForwardState<P>>) {
    let mut generation = 0;
    let mut heard = state.now();
    loop {
        let asked = state.now();
        match state.platform.keep_membership(generation).await {
            Ok(place) => {
                heard = asked;
                generation = place.generation;
                let before = state.tables().membership;
                state.tables().set_membership(place);
                if before.is_none_or(|before| before.leads != place.leads) {
                    let leads = place.leads;
                    tracing::info!(part = "leadership", generation, leads, "The group answered.");
                }
            }
            Err(error) => note_trouble(&state, "membership", &error),
        }
        if state.now().since(heard) >= MEMBERSHIP_TTL {
            step_down(&state);
        }
        tokio::time::sleep(MEMBERSHIP_PAUSE).await;
    }
}

/// Leads no longer until the group answers again, since it may have made another instance the leader.
fn step_down<P>(state: &ForwardState<P>) {
    let mut tables = state.tables();
    if let Some(place) = &mut tables.membership
        && place.leads
    {
        place.leads = false;
        tracing::info!(part = "leadership", leads = false, "The group does not answer.");
    }
}

async fn run_placement<P: Platform>(state: Arc<ForwardState<P>>) {
    let mut desk = LeaderDesk::default();
    loop {
        tokio::time::sleep(PLAN_PAUSE).await;
        let Some(generation) = leading_generation(&state) else {
            desk.pending.clear();
            continue;
        };
        if desk.fenced.is_some_and(|fenced| fenced >= generation) {
            continue;
        }
        let orders = due_orders(&state, &mut desk);
        carry_out(&state, &mut desk, generation, orders).await;
    }
}

fn leading_generation<P>(state: &ForwardState<P>) -> Option<u64> {
    let tables = state.tables();
    tables.membership.filter(|place| place.leads).map(|place| place.generation)
}

/// The orders that are due now for all models.
fn due_orders<P>(
    state: &ForwardState<P>,
    desk: &mut LeaderDesk,
) -> Vec<(Arc<PipelineModel>, PlacementOrder)> {
    let now = state.now();
    let tables = state.tables();
    let Some(routes) = tables.route_table() else { return Vec::new() };
    desk.pending.retain(|_, order| now < order.until);
    let mut due = Vec::new();
    for (service, spec) in &routes.services {
        let Some(model) = &spec.model else { continue };
        let targets = placement_targets(model, service, &tables.fleet.rows, &mut desk.pending);
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
    rows: &BTreeMap<TargetId, TargetRow>,
    pending: &mut BTreeMap<TargetId, PendingOrder>,
) -> Vec<PlacementTarget> {
    let mut targets = Vec::new();
    for (id, row) in rows {
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
            busy: order.is_some(),
        });
    }
    targets
}

async fn carry_out<P: Platform>(
    state: &Arc<ForwardState<P>>,
    desk: &mut LeaderDesk,
    generation: u64,
    orders: Vec<(Arc<PipelineModel>, PlacementOrder)>,
) {
    let count = orders.len() as u32;
    let running: FuturesUnordered<_> = orders
        .into_iter()
        .map(|(model, order)| async move {
            let end = give_order(state, generation, &order).await;
            (model, order, end)
        })
        .collect();
    let ends: Vec<_> = running.collect().await;
    for (model, order, end) in ends {
        let stretch = count.div_ceil(model.loads_at_once.max(1)).max(1);
        let load = model.load_time_of(order.range.count()) * stretch + LOAD_MARGIN;
        note_end(state, desk, generation, order, end, load);
    }
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

async fn give_order<P: Platform>(
    state: &ForwardState<P>,
    generation: u64,
    order: &PlacementOrder,
) -> OrderEnd {
    let address = state.tables().fleet.rows.get(&order.target).map(|row| row.report.address);
    let Some(address) = address else { return OrderEnd::Busy };
    let engine = match state.platform.engine_state(address).await {
        Ok(engine) => engine,
        Err(error) => {
            tracing::info!(part = "placement", target = %order.target, %error, "Not asked.");
            return OrderEnd::Busy;
        }
    };
    if engine.busy {
        return OrderEnd::Busy;
    }
    if engine.held == [order.range] {
        return OrderEnd::Outcome(OrderOutcome::Taken);
    }
    let fence = FenceNumber(generation);
    let expected = engine.accepted_orders;
    let placed = state.platform.place(&order.target, address, order.range, fence, expected).await;
    match placed {
        Ok(outcome) => OrderEnd::Outcome(outcome),
        Err(error) => {
            tracing::info!(part = "placement", target = %order.target, %error, "Not answered.");
            OrderEnd::Unknown
        }
    }
}

fn note_end<P>(
    state: &ForwardState<P>,
    desk: &mut LeaderDesk,
    generation: u64,
    order: PlacementOrder,
    end: OrderEnd,
    load: Duration,
) {
    let now = state.now();
    let range = order.range;
    let layers = range.to_string();
    let target = order.target;
    tracing::info!(part = "placement", %target, %layers, generation, ?end, "Ordered layers.");
    let pending = match end {
        OrderEnd::Outcome(OrderOutcome::Taken) => {
            PendingOrder { range: Some(range), until: now + load }
        }
        OrderEnd::Outcome(OrderOutcome::Fenced) => {
            desk.fenced = Some(generation);
            return;
        }
        OrderEnd::Outcome(OrderOutcome::Conflict | OrderOutcome::Refused(_)) | OrderEnd::Busy => {
            PendingOrder { range: None, until: now + REFUSED_PAUSE }
        }
        OrderEnd::Unknown => PendingOrder { range: Some(range), until: now + LATE_ORDER_TIME },
    };
    desk.pending.insert(target, pending);
}
