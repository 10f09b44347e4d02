//! Bounds and queues the calls of a leader to engines: [`OrderQueue`].
//!
//! A leader of thousands of engines that calls all of them at once exceeds its machine: no call
//! ends within its timeout, and no engine gets an order. At most [`CallLimit`] calls are therefore
//! in flight, and the other orders wait in the sequence of the plan. Timeouts halve the number of
//! calls in flight, answers raise it again. An engine whose call timed out gets no calls for a time
//! that doubles with each timeout in a row.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::TargetId;
use crate::pipeline::duties::DutyCapacity;
use crate::pipeline::duties::is_small_fleet;
use crate::pipeline::placement::PlacementOrder;
use crate::units::Moment;

/// The processor capacity per call in flight, in thousandths of a core. A call costs about half a
/// millisecond of a core, so that this many calls take about a third of an engine's call timeout of
/// 350 ms, also if the machine does other work.
const MILLICORES_PER_CALL: u32 = 4;
/// The smallest limit, which keeps orders flowing past a few engines that do not answer.
const MIN_CALLS: usize = 4;
/// The largest limit. It bounds the connections that a leader with a large machine opens.
const MAX_CALLS: usize = 128;
/// The limit on a machine whose capacity is not in the settings.
const DEFAULT_CALLS: usize = 32;
/// The shortest time between two reductions of the limit. Calls that were sent together time out
/// together and tell the same.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(600);
/// The share of the calls in flight that may ask engines whether their loads are complete. Records
/// in the store tell the same a little later, and orders do not wait for it.
const CHECK_SHARE: usize = 4;
/// The time for which an engine gets no call after its first timeout.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The largest number of times that the pause doubles: up to 8 s.
const MAX_DOUBLINGS: u32 = 4;

/// The largest number of calls to engines in flight, or `None` if there is no limit.
pub type CallLimit = Option<usize>;

/// The limit for a leader on a machine of this capacity. There is none in a small fleet, where
/// all engines can be called at once. `peers` is the number of other announced instances, if known.
pub fn call_limit(peers: Option<usize>, capacity: DutyCapacity) -> CallLimit {
    if is_small_fleet(peers) {
        return None;
    }
    if capacity == DutyCapacity(0) {
        return Some(DEFAULT_CALLS);
    }
    Some(((capacity.0 / MILLICORES_PER_CALL) as usize).clamp(MIN_CALLS, MAX_CALLS))
}

/// An order that waits to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedOrder {
    /// The order.
    pub order: PlacementOrder,
    /// How long the load takes on its own.
    pub load_time: Duration,
    /// How many loads run at full speed at once. Invariant: at least one.
    pub loads_at_once: u32,
}

/// What a call to an engine is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallPurpose {
    /// It sends an order, or reads the state that the order depends on.
    Order,
    /// It asks whether a load is complete.
    Check,
}

/// How a call to an engine ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The engine or its host answered, whatever the answer.
    Answered,
    /// No answer arrived in time.
    TimedOut,
    /// Nothing was sent.
    NotSent,
}

/// The orders that wait, and the calls in flight.
#[derive(Debug, Default)]
pub struct OrderQueue {
    waiting: VecDeque<QueuedOrder>,
    /// The generation under which the waiting orders were planned.
    generation: u64,
    limit: CallLimit,
    /// The reduced limit. Invariant: at most `limit`.
    window: usize,
    /// The answers since the window last changed.
    answers: usize,
    reduced_at: Option<Moment>,
    orders_in_flight: usize,
    checks_in_flight: usize,
    /// The number of timeouts in a row, by engine.
    timeouts: BTreeMap<TargetId, u32>,
}

impl OrderQueue {
    /// Sets the largest number of calls in flight.
    pub fn set_limit(&mut self, limit: CallLimit) {
        if self.limit != limit {
            self.limit = limit;
            self.window = limit.unwrap_or_default();
        }
    }

    /// Whether the number of calls in flight is limited.
    pub fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Replaces the waiting orders by those of a new plan, in the sequence in which they are sent.
    pub fn replace_waiting(&mut self, generation: u64, orders: Vec<QueuedOrder>) {
        self.generation = generation;
        self.waiting = orders.into();
    }

    /// Drops the waiting orders and the known timeouts, since this instance does not lead any more.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.timeouts.clear();
    }

    /// The number of orders that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// The number of calls in flight.
    pub fn calls_in_flight(&self) -> usize {
        self.orders_in_flight + self.checks_in_flight
    }

    /// Takes the next order to send under a generation, if a call may be started. Orders that were
    /// planned under another generation are not sent.
    pub fn start_order(&mut self, generation: u64) -> Option<QueuedOrder> {
        if generation != self.generation || self.free_calls() == 0 {
            return None;
        }
        let order = self.waiting.pop_front()?;
        self.orders_in_flight += 1;
        Some(order)
    }

    /// Counts a call that asks whether a load is complete. Returns whether it may be made.
    pub fn start_check(&mut self) -> bool {
        let share = self.window.div_ceil(CHECK_SHARE);
        if self.is_limited() && (self.checks_in_flight >= share || self.free_calls() == 0) {
            return false;
        }
        self.checks_in_flight += 1;
        true
    }

    /// Records the end of a call.
    pub fn finish(&mut self, purpose: CallPurpose, target: &TargetId, end: CallEnd, now: Moment) {
        let in_flight = match purpose {
            CallPurpose::Order => &mut self.orders_in_flight,
            CallPurpose::Check => &mut self.checks_in_flight,
        };
        *in_flight = in_flight.saturating_sub(1);
        match end {
            CallEnd::Answered => {
                self.timeouts.remove(target);
                self.raise();
            }
            CallEnd::TimedOut => {
                *self.timeouts.entry(target.clone()).or_default() += 1;
                self.reduce(now);
            }
            CallEnd::NotSent => {}
        }
    }

    /// How long an engine gets no further call after its latest one.
    pub fn pause_of(&self, target: &TargetId) -> Duration {
        let timeouts = self.timeouts.get(target).copied().unwrap_or_default();
        FIRST_PAUSE * 2_u32.pow(timeouts.saturating_sub(1).min(MAX_DOUBLINGS))
    }

    /// Forgets the timeouts of engines that are no longer listed.
    pub fn retain_targets(&mut self, is_listed: impl Fn(&TargetId) -> bool) {
        self.timeouts.retain(|id, _| is_listed(id));
    }

    fn free_calls(&self) -> usize {
        match self.limit {
            Some(_) => self.window.saturating_sub(self.calls_in_flight()),
            None => usize::MAX,
        }
    }

    /// Raises the window by one for as many answers as it has calls.
    fn raise(&mut self) {
        self.answers += 1;
        if self.answers >= self.window {
            self.answers = 0;
            self.window = (self.window + 1).min(self.limit.unwrap_or_default());
        }
    }

    fn reduce(&mut self, now: Moment) {
        if self.reduced_at.is_some_and(|at| now.since(at) < REDUCTION_INTERVAL) {
            return;
        }
        self.reduced_at = Some(now);
        self.answers = 0;
        self.window = (self.window / 2).max(MIN_CALLS).min(self.limit.unwrap_or_default());
    }
}
