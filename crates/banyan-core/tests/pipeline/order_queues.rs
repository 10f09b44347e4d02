//! Tests of the queue of a leader's orders, with the load pattern of a start of 3,000 engines at
//! once before a leader with 0.12 cores.

use std::collections::BTreeSet;

use smol_str::format_smolstr;

use crate::support::at;
use crate::support::engines;
use crate::support::layers;
use crate::support::model;
use crate::support::report;
use crate::support::target;
use banyan_core::ids::TargetId;
use banyan_core::ids::ZoneId;
use banyan_core::pipeline::duties::DutyCapacity;
use banyan_core::pipeline::engine_states::EngineStates;
use banyan_core::pipeline::order_queue::CallEnd;
use banyan_core::pipeline::order_queue::CallLimit;
use banyan_core::pipeline::order_queue::CallPurpose;
use banyan_core::pipeline::order_queue::OrderQueue;
use banyan_core::pipeline::order_queue::QueuedOrder;
use banyan_core::pipeline::order_queue::call_limit;
use banyan_core::pipeline::placement::PlacementOrder;
use banyan_core::pipeline::placement::plan_copies;
use banyan_core::pipeline::placement::sending_order;
use banyan_core::pipeline::placement_target::PlacementTarget;

/// The leader's machine, in thousandths of a core.
const CAPACITY: DutyCapacity = DutyCapacity(120);
/// The time after which a call to an engine has failed.
const TIMEOUT_MS: u64 = 600;
/// The work of one call, in microseconds of a core.
const CALL_WORK_US: u64 = 500;

/// A call that the leader's machine works on, together with all others in flight.
struct ActiveCall {
    target: TargetId,
    sent_ms: u64,
    work_left_us: f64,
}

fn queued(order: PlacementOrder) -> QueuedOrder {
    QueuedOrder { load_time: model().load_time_of(order.range.count()), loads_at_once: 6, order }
}

fn queue_of(names: &[&str], limit: CallLimit) -> OrderQueue {
    let mut queue = OrderQueue::default();
    queue.set_limit(limit);
    let order = |name: &&str| PlacementOrder { target: target(name), range: layers(0, 8) };
    queue.replace_waiting(1, names.iter().map(order).map(queued).collect());
    queue
}

fn nine_zones() -> Vec<PlacementTarget> {
    let zone = |index: u32| {
        let name = format_smolstr!("z{index}");
        engines(&name, &[("fast", 60), ("middle", 120), ("slow", 153)])
    };
    (0..9).flat_map(zone).collect()
}

/// Sends a plan from a machine whose calls share its processor. Returns the engines that answered,
/// in order, until `end_ms`.
fn send_plan(orders: Vec<PlacementOrder>, limit: CallLimit, end_ms: u64) -> Vec<TargetId> {
    let mut queue = OrderQueue::default();
    queue.set_limit(limit);
    queue.replace_waiting(1, orders.into_iter().map(queued).collect());
    let mut active: Vec<ActiveCall> = Vec::new();
    let mut answered = Vec::new();
    for now_ms in 0..end_ms {
        while let Some(next) = queue.start_order(1) {
            let target = next.order.target;
            let work_left_us = CALL_WORK_US as f64;
            active.push(ActiveCall { target, sent_ms: now_ms, work_left_us });
        }
        let share_us = f64::from(CAPACITY.0) / active.len().max(1) as f64;
        for call in &mut active {
            call.work_left_us -= share_us;
        }
        for call in active.extract_if(.., |call| call.work_left_us <= 0.0) {
            queue.finish(CallPurpose::Order, &call.target, CallEnd::Answered, at(now_ms));
            answered.push(call.target);
        }
        for call in active.extract_if(.., |call| now_ms - call.sent_ms >= TIMEOUT_MS) {
            queue.finish(CallPurpose::Order, &call.target, CallEnd::TimedOut, at(now_ms));
        }
    }
    answered
}

#[test]
fn a_small_leader_gives_all_of_3000_engines_their_orders() {
    // Observed with all calls in flight at once: every call timed out, so that no engine ever held
    // a layer.
    let orders = || sending_order(plan_copies(&model(), &nine_zones()));
    let count = orders().len();
    assert!(count > 2_900, "{count}");
    assert_eq!(send_plan(orders(), None, 20_000).len(), 0);
    assert_eq!(send_plan(orders(), call_limit(Some(300), CAPACITY), 20_000).len(), count);
}

#[test]
fn a_zone_holds_all_layers_before_other_zones_get_orders() {
    // Failure: with the orders of all zones interleaved, no zone could serve until the last.
    let targets = nine_zones();
    let orders = sending_order(plan_copies(&model(), &targets));
    let zone_of = |order: &PlacementOrder| -> &ZoneId {
        &targets.iter().find(|target| target.id == order.target).expect("an engine").zone
    };
    let mut complete: BTreeSet<&ZoneId> = BTreeSet::new();
    let mut held = BTreeSet::new();
    let mut zone = zone_of(&orders[0]);
    for order in &orders {
        if complete.len() == 9 {
            break;
        }
        assert!(held.is_empty() || zone_of(order) == zone, "{order:?} before {zone} is complete");
        zone = zone_of(order);
        held.extend(order.range.first..order.range.end);
        if held.len() == 80 {
            assert!(complete.insert(zone), "{zone} gets a second copy before others have one");
            held.clear();
        }
    }
    assert_eq!(complete.len(), 9);
}

#[test]
fn a_partly_sent_copy_is_continued_before_another_is_begun() {
    // Failure: a new plan after each change moves to another zone, so that no zone is completed.
    let mut targets = nine_zones();
    let first = sending_order(plan_copies(&model(), &targets));
    let zone_of = |targets: &[PlacementTarget], order: &PlacementOrder| {
        targets.iter().find(|target| target.id == order.target).expect("an engine").zone.clone()
    };
    let middle_zone = first.iter().find(|order| zone_of(&targets, order).as_str() == "z4");
    let sent = middle_zone.expect("an order for the zone").clone();
    let engine = targets.iter_mut().find(|target| target.id == sent.target).expect("an engine");
    engine.range = Some(sent.range);
    engine.busy = true;
    let next = sending_order(plan_copies(&model(), &targets));
    assert_eq!(zone_of(&targets, &next[0]).as_str(), "z4");
}

#[test]
fn timeouts_reduce_the_calls_in_flight_and_answers_raise_them() {
    // Failure: a leader that repeats calls at its full rate while all time out.
    let names: Vec<String> = (0..200).map(|index| format!("e{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut queue = queue_of(&names, Some(30));
    let start_all = |queue: &mut OrderQueue| {
        let started: Vec<TargetId> =
            std::iter::from_fn(|| queue.start_order(1)).map(|next| next.order.target).collect();
        started
    };
    let first = start_all(&mut queue);
    assert_eq!(first.len(), 30);
    for id in &first {
        queue.finish(CallPurpose::Order, id, CallEnd::TimedOut, at(600));
    }
    let second = start_all(&mut queue);
    assert_eq!(second.len(), 15);
    for id in &second {
        queue.finish(CallPurpose::Order, id, CallEnd::Answered, at(700));
    }
    assert_eq!(start_all(&mut queue).len(), 16);
}

#[test]
fn an_engine_that_does_not_answer_is_called_ever_less_often() {
    // Failure: an engine that is cut off takes a call of the leader every half second.
    let mut queue = queue_of(&["e1"], Some(30));
    let id = target("e1");
    let mut pauses = Vec::new();
    for _ in 0..7 {
        queue.finish(CallPurpose::Check, &id, CallEnd::TimedOut, at(0));
        pauses.push(queue.pause_of(&id).as_millis());
    }
    assert_eq!(pauses, [500, 1_000, 2_000, 4_000, 8_000, 8_000, 8_000]);
    queue.finish(CallPurpose::Check, &id, CallEnd::Answered, at(0));
    assert_eq!(queue.pause_of(&id).as_millis(), 500);
}

#[test]
fn questions_about_loads_leave_room_for_orders() {
    // Failure: thousands of loads that are due at once keep the leader from sending orders.
    let mut queue = queue_of(&["e1", "e2"], Some(8));
    let checks = (0..100).filter(|_| queue.start_check()).count();
    assert_eq!(checks, 2);
    assert!(queue.start_order(1).is_some());
}

#[test]
fn orders_of_another_generation_are_not_sent() {
    // Failure: a new leadership of the same instance sends the plan of its former one.
    let mut queue = queue_of(&["e1"], Some(8));
    assert_eq!(queue.start_order(2), None);
    assert!(queue.start_order(1).is_some());
}

#[test]
fn few_instances_send_all_orders_at_once() {
    assert_eq!(call_limit(Some(23), CAPACITY), None);
    assert_eq!(call_limit(Some(24), CAPACITY), Some(30));
    assert_eq!(call_limit(None, DutyCapacity(10)), Some(4));
}

#[test]
fn the_state_is_requested_only_if_it_is_not_known() {
    // Failure: each order needs two calls, although the answer to the first is known.
    let mut states = EngineStates::default();
    let id = target("e1");
    let empty = report("a", "fast", 1, &[]);
    let holding = report("a", "fast", 1, &[layers(0, 8)]);
    assert_eq!(states.expected_orders(&id, &empty), Some(0));
    assert_eq!(states.expected_orders(&id, &holding), None);
    states.record_idle(&id, Some(1), 3);
    assert_eq!(states.expected_orders(&id, &holding), Some(3));
    // After a conflict or without an answer, the number is not known, also of an empty engine.
    states.record_unsure(&id);
    assert_eq!(states.expected_orders(&id, &empty), None);
    // A later run has accepted none of the earlier run's orders.
    states.record_idle(&id, Some(0), 3);
    assert_eq!(states.expected_orders(&id, &holding), None);
}

/// An engine as the protocol describes it: it refuses lower fencing tokens and orders that state
/// another number of accepted orders.
#[derive(Default)]
struct EngineModel {
    fence: u64,
    accepted_orders: u64,
    accepted: Vec<u64>,
}

impl EngineModel {
    fn place(&mut self, fence: u64, expected_orders: u64) {
        if fence >= self.fence && expected_orders == self.accepted_orders {
            self.fence = fence;
            self.accepted_orders += 1;
            self.accepted.push(fence);
        }
    }
}

#[test]
fn of_two_leaders_that_order_without_state_requests_one_is_refused() {
    // Failure: both rely on what they know of an engine, and it loads layers for both.
    let id = target("e1");
    let empty = report("a", "fast", 1, &[]);
    let states = [EngineStates::default(), EngineStates::default()];
    let expected = states.map(|states| states.expected_orders(&id, &empty).expect("a number"));
    for generations in [[5, 6], [6, 5]] {
        let mut engine = EngineModel::default();
        for (generation, expected_orders) in generations.into_iter().zip(expected) {
            engine.place(generation, expected_orders);
        }
        assert_eq!(engine.accepted, [generations[0]]);
    }
    // A former leader that read the state after its successor's order is refused by its token.
    let mut engine = EngineModel::default();
    engine.place(6, 0);
    engine.place(5, 1);
    assert_eq!(engine.accepted, [6]);
}
