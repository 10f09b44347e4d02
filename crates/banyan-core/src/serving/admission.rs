//! Admission control: [`AdmissionQueue`].
//!
//! A request is admitted at once while there is capacity. Otherwise it waits as long as its
//! deadline can still be met, and is refused as soon as it cannot. Waiting workspaces are served by
//! start-time fair queueing: each has a virtual tag that grows by its granted tokens divided by its
//! share, and the lowest tag is served next. Most turns compare the priority before the tag. Every
//! fourth turn ignores priorities, so that no priority starves. Each operation costs the logarithm
//! of the number of waiting requests.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::RequestId;
use crate::ids::WorkspaceId;
use crate::serving::admission_request::AdmissionRequest;
use crate::serving::estimate::ServiceEstimates;
use crate::serving::waiting::WaitingTable;
use crate::units::Moment;

/// Every n-th turn ignores priorities.
const FAIR_TURN_INTERVAL: u64 = 4;
/// The part of the expected wait that must fit before the deadline, in percent.
const WAIT_MARGIN_PERCENT: u32 = 200;
/// The shortest retry delay that is given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The answer to a request for admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionVerdict {
    /// The request may start.
    Admitted,
    /// The request waits until [`AdmissionQueue::tick`] returns it.
    Queued,
    /// The request cannot be served before its deadline, or the queue is full.
    Refused {
        /// The delay after which the caller may try again.
        retry_after: Duration,
    },
}

/// The expected times of a request.
#[derive(Clone, Copy, Debug)]
pub struct TimeEstimates {
    /// How long it waits for room.
    pub wait: Duration,
    /// How long it takes from then to the event that its deadline concerns.
    pub service: Duration,
}

/// The waiting requests that one tick admitted or refused.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AdmissionRound {
    /// Requests that may start, in this order.
    pub admitted: Vec<RequestId>,
    /// Requests that can no longer end in time or were displaced, with their retry delays.
    pub refused: Vec<(RequestId, Duration)>,
}

/// An admitted request that has not ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActiveRequest {
    /// When it was admitted.
    pub since: Moment,
    /// The workspace that sent it.
    pub workspace: WorkspaceId,
    /// The workspace's weight in fair sharing.
    pub share: u32,
    /// The tokens that the workspace was charged.
    pub tokens: u64,
}

/// The admission queue of one instance.
///
/// Invariants: at most `capacity` requests are active, unless the capacity was lowered since; no
/// request is both active and waiting.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    /// The most requests that are active at once.
    pub capacity: u32,
    /// The most requests that wait at once.
    pub queue_limit: u32,
    /// The admitted requests that have not ended.
    pub active: BTreeMap<RequestId, ActiveRequest>,
    /// The waiting requests by workspace.
    pub waiting: WaitingTable,
    /// The measured service times and completion rate.
    pub estimates: ServiceEstimates,
    /// Requests that were displaced from a full queue. The next tick reports them as refused.
    pub displaced: Vec<(RequestId, Duration)>,
    /// The number of turns so far.
    pub turns: u64,
}

impl AdmissionQueue {
    /// Admits, queues or refuses a request.
    pub fn offer(&mut self, request: AdmissionRequest, now: Moment) -> AdmissionVerdict {
        if self.has_room() && self.waiting.is_empty() {
            self.waiting.charge_uncontended(&request.workspace, request.share, request.tokens);
            self.activate(request, now);
            return AdmissionVerdict::Admitted;
        }
        let service = self.estimates.expected(request.tokens);
        let wait = self.expected_wait(&request.workspace, request.share);
        let max_waiting = self.max_waiting();
        self.enqueue(request, TimeEstimates { wait, service }, max_waiting, now)
    }

    /// Queues a request that has no room now, or refuses it. [`Self::offer`] takes room to be a
    /// number of places; where it is something else, the user of the queue calls this with its own
    /// estimates, and [`Self::take_next`] when room may have become free.
    pub fn enqueue(
        &mut self,
        request: AdmissionRequest,
        estimates: TimeEstimates,
        max_waiting: u32,
        now: Moment,
    ) -> AdmissionVerdict {
        let TimeEstimates { wait, service } = estimates;
        let retry_after = wait.max(service).max(MIN_RETRY_AFTER);
        if now + wait * WAIT_MARGIN_PERCENT / 100 + service > request.deadline {
            return AdmissionVerdict::Refused { retry_after };
        }
        if self.waiting.len() as u32 >= max_waiting && !self.displace(&request) {
            return AdmissionVerdict::Refused { retry_after };
        }
        let slack = request.deadline.since(Moment(0)).saturating_sub(service);
        self.waiting.push(request, Moment(0) + slack);
        AdmissionVerdict::Queued
    }

    /// Removes an admitted request that has ended and records its service time.
    pub fn release(&mut self, request: &RequestId, now: Moment) {
        let Some(active) = self.active.remove(request) else { return };
        let busy = !self.waiting.is_empty();
        self.estimates.record(active.tokens, now.since(active.since), busy, now);
    }

    /// Refunds the tokens that an active request was charged for and did not use.
    pub fn settle(&mut self, request: &RequestId, used: u64) {
        let Some(active) = self.active.get_mut(request) else { return };
        let unused = active.tokens.saturating_sub(used);
        active.tokens -= unused;
        self.waiting.refund(&active.workspace, active.share, unused);
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn withdraw(&mut self, request: &RequestId) {
        self.waiting.remove(request);
        self.displaced.retain(|(displaced, _)| displaced != request);
    }

    /// Refuses waiting requests that can no longer end in time, then admits as capacity allows.
    pub fn tick(&mut self, now: Moment) -> AdmissionRound {
        let mut refused = std::mem::take(&mut self.displaced);
        while let Some(expired) = self.waiting.pop_expired(now) {
            let service = self.estimates.expected(expired.tokens);
            let wait = self.expected_wait(&expired.workspace, expired.share);
            refused.push((expired.request, wait.max(service).max(MIN_RETRY_AFTER)));
        }
        let mut admitted = Vec::new();
        while self.has_room() {
            self.turns += 1;
            let by_priority = !self.turns.is_multiple_of(FAIR_TURN_INTERVAL);
            let Some(request) = self.waiting.pop_next(by_priority, now, |_| true) else { break };
            admitted.push(request.request.clone());
            self.activate(request, now);
        }
        AdmissionRound { admitted, refused }
    }

    /// Removes the first waiting request for which `fits` finds room, by priority. Tries only the
    /// oldest request of each of the first workspaces.
    pub fn take_next(
        &mut self,
        now: Moment,
        fits: impl FnMut(&AdmissionRequest) -> bool,
    ) -> Option<AdmissionRequest> {
        self.waiting.pop_next(true, now, fits)
    }

    /// The expected wait of a new request of a workspace. It is the larger of two estimates: the
    /// drain time of the requests ahead of it at its share, and the wait by the measured interval
    /// between the workspace's own turns. The second also reflects other workspaces whose requests
    /// are admitted without waiting.
    fn expected_wait(&self, workspace: &WorkspaceId, share: u32) -> Duration {
        let ahead = self.waiting.expected_ahead(workspace, share);
        let drain_time = self.estimates.drain_time(ahead + 1, self.capacity);
        drain_time.max(self.waiting.expected_turn_wait(workspace))
    }

    /// The present limit of waiting requests. Until the first request has ended, it is at most the
    /// capacity, because without a measured service time it is unknown which requests would end too
    /// late.
    fn max_waiting(&self) -> u32 {
        if self.estimates.is_known() {
            self.queue_limit
        } else {
            self.queue_limit.min(self.capacity)
        }
    }

    fn has_room(&self) -> bool {
        (self.active.len() as u32) < self.capacity
    }

    fn activate(&mut self, request: AdmissionRequest, now: Moment) {
        let AdmissionRequest { request, workspace, share, tokens, .. } = request;
        self.active.insert(request, ActiveRequest { since: now, workspace, share, tokens });
    }

    /// Makes room in a full queue by removing the newest request of the workspace with the longest
    /// backlog for its share. Returns false if that is the workspace of the arriving request.
    fn displace(&mut self, arriving: &AdmissionRequest) -> bool {
        let Some(displaced) =
            self.waiting.pop_from_longest_backlog(&arriving.workspace, arriving.share)
        else {
            return false;
        };
        let wait = self.expected_wait(&displaced.workspace, displaced.share);
        let retry_after = wait.max(self.estimates.expected(displaced.tokens));
        self.displaced.push((displaced.request, retry_after));
        true
    }
}
