//! Streams that wait for room at a chain: [`WaitingStreams`].

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::format_smolstr;
use tokio::sync::oneshot;

use crate::decisions::admission::AdmissionDecision;
use crate::decisions::admission::RoomQuery;
use crate::decisions::tables::ForwardTables;
use crate::settings::ForwardSettings;
use banyan_core::ids::IncarnationId;
use banyan_core::ids::RequestId;
use banyan_core::ids::ServiceId;
use banyan_core::ids::WorkspaceId;
use banyan_core::pipeline::chain::ChainChoice;
use banyan_core::pipeline::chain::RequestSize;
use banyan_core::pipeline::priority::EffectivePriority;
use banyan_core::pipeline::reservation::UNRESERVED_FULLNESS;
use banyan_core::pipeline::returning::Arrival;
use banyan_core::serving::admission::AdmissionQueue;
use banyan_core::serving::admission::AdmissionVerdict;
use banyan_core::serving::admission::TimeEstimates;
use banyan_core::serving::admission_request::AdmissionRequest;
use banyan_core::units::Moment;

/// The interval at which room is looked for that this instance did not release: engines that became
/// usable, and requests of other instances that ended.
pub const RECHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The largest number of streams of a service that wait. Each keeps its body in memory.
const MAX_WAITING: u32 = 64;

/// The streams of one service that wait for room.
///
/// Invariant: each request in the queue has a waiter, and each waiter is in the queue.
#[derive(Debug, Default)]
pub struct WaitingStreams {
    queue: AdmissionQueue,
    waiters: BTreeMap<RequestId, StreamWaiter>,
    /// The number of the last request that was queued.
    last_id: u64,
    /// When room was last looked for that this instance did not release.
    rechecked: Moment,
}

/// A stream that waits.
#[derive(Debug)]
struct StreamWaiter {
    size: RequestSize,
    priority: EffectivePriority,
    /// Whether it was refused before.
    arrival: Arrival,
    /// Whether it may use room that is reserved for more urgent requests.
    is_exempt: bool,
    /// Receives the chain, at which the room has been reserved.
    granted: oneshot::Sender<ChainChoice>,
}

/// A place in the queue.
#[derive(Debug)]
pub struct QueuePlace {
    /// The request's id in the queue.
    pub id: RequestId,
    /// Receives the chain, or an error if a more urgent request took the place in a full queue.
    pub granted: oneshot::Receiver<ChainChoice>,
    /// The last moment at which it can begin and still be on time.
    pub latest: Moment,
    /// How many are served before it.
    pub ahead: usize,
    /// The estimated wait.
    pub estimate: Duration,
}

/// The priority of a request in the queue; the highest is served first. Requests that were refused
/// and return on time precede others of their priority.
pub fn queue_priority(priority: EffectivePriority, arrival: Arrival, is_exempt: bool) -> u8 {
    let level = if is_exempt { 0 } else { priority.0.min(u8::MAX / 2) };
    u8::MAX - level * 2 - u8::from(arrival != Arrival::OnTime)
}

impl ForwardTables {
    /// Whether requests of at least this priority in the queue wait for room.
    pub(super) fn others_wait_first(&self, service: &ServiceId, priority: u8) -> bool {
        let waiting = self.waiting.get(service);
        let highest = waiting.and_then(|waiting| waiting.queue.waiting.highest_priority());
        highest.is_some_and(|highest| highest >= priority)
    }

    /// Queues a stream without room if, by the estimates, its first event still arrives by
    /// `first_event_due`. Returns `None` if it does not, or if nothing is known to estimate from.
    pub fn queue_stream(
        &mut self,
        query: &RoomQuery<'_>,
        workspace: Option<&WorkspaceId>,
        decision: &AdmissionDecision,
        first_event_due: Moment,
        settings: &ForwardSettings,
        now: Moment,
    ) -> Option<QueuePlace> {
        let RoomQuery { service, size, avoided, .. } = *query;
        let any = self.choose_chain(service, settings, size, avoided, f64::INFINITY, now)?;
        let AdmissionDecision { rank, arrival, is_exempt, .. } = *decision;
        let priority = queue_priority(rank.priority, arrival, is_exempt);
        let returns = self.refused.expected_returns(service, rank.priority, now);
        let urgent_share = self.reservations.urgent_share(service, rank.priority, now);
        let streams = self.waiting.entry(service.clone()).or_default();
        let ahead = streams.queue.waiting.count_from(priority) + returns;
        let wait = self.releases.wait(service, ahead, urgent_share)?;
        let max_waiting = streams.max_waiting_for(priority)?;
        streams.last_id += 1;
        // The ids of the queue are local to this process, so that the incarnation is constant.
        let id = RequestId { incarnation: IncarnationId::new("streams"), counter: streams.last_id };
        let request = AdmissionRequest {
            request: id.clone(),
            workspace: queue_name(workspace, priority),
            share: 1,
            priority,
            tokens: size.total.0,
            deadline: first_event_due,
        };
        let estimates = TimeEstimates { wait, service: any.first_event };
        let verdict = streams.queue.enqueue(request, estimates, max_waiting, now);
        streams.remove_displaced(priority);
        if verdict != AdmissionVerdict::Queued {
            return None;
        }
        let (sender, granted) = oneshot::channel();
        let priority = rank.priority;
        let waiter = StreamWaiter { size, priority, arrival, is_exempt, granted: sender };
        streams.waiters.insert(id.clone(), waiter);
        let due = first_event_due.since(Moment(0)).saturating_sub(any.first_event);
        Some(QueuePlace { id, granted, latest: Moment(0) + due, ahead, estimate: wait })
    }

    /// Like [`Self::admit_waiting`], at most once in [`RECHECK_INTERVAL`] for all that wait.
    pub fn recheck_waiting(
        &mut self,
        service: &ServiceId,
        settings: &ForwardSettings,
        now: Moment,
    ) {
        let Some(streams) = self.waiting.get_mut(service) else { return };
        if now.since(streams.rechecked) < RECHECK_INTERVAL {
            return;
        }
        streams.rechecked = now;
        self.admit_waiting(service, settings, now);
    }

    /// Gives free room to the streams that wait, in their order. Room is reserved for each.
    pub fn admit_waiting(&mut self, service: &ServiceId, settings: &ForwardSettings, now: Moment) {
        let is_empty = |streams: &WaitingStreams| streams.queue.waiting.is_empty();
        if self.waiting.get(service).is_none_or(is_empty) {
            return;
        }
        let mut streams = self.waiting.remove(service).unwrap_or_default();
        loop {
            let mut choice = None;
            let admitted = streams.queue.take_next(now, |request| {
                let waiter = streams.waiters.get(&request.request);
                choice = waiter.and_then(|waiter| self.room_for(service, waiter, settings, now));
                choice.is_some()
            });
            let (Some(admitted), Some(choice)) = (admitted, choice) else { break };
            let Some(waiter) = streams.waiters.remove(&admitted.request) else { continue };
            self.add_chain_load(&choice.chain, waiter.size.total);
            if let Err(choice) = waiter.granted.send(choice) {
                self.remove_chain_load(&choice.chain, waiter.size.total);
            }
        }
        self.waiting.insert(service.clone(), streams);
    }

    /// Removes a stream from the queue.
    pub fn leave_queue(&mut self, service: &ServiceId, id: &RequestId) {
        if let Some(streams) = self.waiting.get_mut(service) {
            streams.queue.withdraw(id);
            streams.waiters.remove(id);
        }
    }

    fn room_for(
        &mut self,
        service: &ServiceId,
        waiter: &StreamWaiter,
        settings: &ForwardSettings,
        now: Moment,
    ) -> Option<ChainChoice> {
        let priority = waiter.priority;
        let limit = match waiter.is_exempt || !self.ranks_requests(service) {
            true => UNRESERVED_FULLNESS,
            false => self.reservations.fullness_limit(service, priority, now),
        };
        let needed = self.needed_size(service, priority, waiter.arrival, waiter.size, now);
        self.choose_chain(service, settings, needed, &[], limit, now)
    }
}

impl WaitingStreams {
    /// How many requests may wait with one of this priority. A less urgent one gives way to it, so
    /// that there may be one more until then. Among equally urgent ones the queue itself decides by
    /// workspace. Returns `None` if only more urgent requests wait in a full queue.
    fn max_waiting_for(&self, priority: u8) -> Option<u32> {
        let waiting = &self.queue.waiting;
        let is_full = waiting.len() >= MAX_WAITING as usize;
        if is_full && waiting.lowest_priority() < Some(priority) {
            return Some(MAX_WAITING + 1);
        }
        let outranked = is_full && waiting.highest_priority() > Some(priority);
        (!outranked).then_some(MAX_WAITING)
    }

    /// Removes the waiters of requests that gave way to one of this priority. Their tasks refuse
    /// them.
    fn remove_displaced(&mut self, priority: u8) {
        if self.queue.waiting.len() > MAX_WAITING as usize
            && let Some(displaced) = self.queue.waiting.pop_below(priority)
        {
            self.waiters.remove(&displaced.request);
        }
        for (displaced, _) in std::mem::take(&mut self.queue.displaced) {
            self.waiters.remove(&displaced);
        }
    }
}

/// The name under which requests of a workspace and a priority share the queue. Workspaces of one
/// priority are served alike, and a workspace may send requests of several.
fn queue_name(workspace: Option<&WorkspaceId>, priority: u8) -> WorkspaceId {
    let workspace = workspace.map_or("", WorkspaceId::as_str);
    WorkspaceId::new(format_smolstr!("{priority}:{workspace}"))
}
