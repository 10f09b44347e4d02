//! Who is let in: [`AdmissionQueue`].
//!
//! A request is let in at once while there is room, waits while its deadline can still be met, and
//! is refused before waiting is hopeless. Workspaces that wait take turns by start-time fair
//! queueing: each has a tag that grows by the tokens it was given divided by its share, and the
//! least tag goes first. Most turns look at the priority before the tag; every fourth does not, so
//! that no priority starves. All steps cost the logarithm of the number of waiting requests.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::RequestId;
use crate::ids::WorkspaceId;
use crate::serving::estimate::ServiceEstimates;
use crate::serving::lanes::LaneTable;
use crate::units::Moment;

/// One turn in so many ignores priorities.
const FAIR_TURN: u64 = 4;
/// The wait that must fit into the deadline, in percent of the expected one.
const WAIT_MARGIN_PERCENT: u32 = 200;
/// The least time after which a refused caller is asked back.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(100);

/// What is asked of admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The request.
    pub request: RequestId,
    /// On whose behalf.
    pub workspace: WorkspaceId,
    /// The workspace's share.
    pub share: u32,
    /// The workspace's priority.
    pub priority: u8,
    /// The tokens that it may generate at the most; what it costs.
    pub tokens: u64,
    /// When it must have ended.
    pub deadline: Moment,
}

/// What admission says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionVerdict {
    /// Go ahead.
    Admitted,
    /// Wait for [`AdmissionQueue::tick`] to name the request.
    Queued,
    /// It cannot be served in time.
    Refused {
        /// When it makes sense to try again.
        retry_after: Duration,
    },
}

/// What a tick decided about waiting requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AdmissionRound {
    /// They go ahead, in this order.
    pub admitted: Vec<RequestId>,
    /// They can no longer be served in time.
    pub refused: Vec<(RequestId, Duration)>,
}

/// A request under way.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActiveRequest {
    /// When it was let in.
    pub since: Moment,
    /// On whose behalf.
    pub workspace: WorkspaceId,
    /// The workspace's share.
    pub share: u32,
    /// The tokens that the workspace was charged.
    pub tokens: u64,
}

/// The queue of one instance.
///
/// Invariants: at most `capacity` requests are active, unless it was lowered since; no request is
/// both active and waiting.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    /// The most requests under way at once.
    pub capacity: u32,
    /// The most requests that wait.
    pub queue_limit: u32,
    /// Requests under way.
    pub active: BTreeMap<RequestId, ActiveRequest>,
    /// Requests that wait, by workspace.
    pub lanes: LaneTable,
    /// How long requests take and how fast they end.
    pub estimates: ServiceEstimates,
    /// Requests that made room in a full queue, to be named by the next tick.
    pub displaced: Vec<(RequestId, Duration)>,
    /// Counts the turns.
    pub turns: u64,
}

impl AdmissionQueue {
    /// Asks for a request to be let in.
    pub fn offer(&mut self, request: AdmissionRequest, now: Moment) -> AdmissionVerdict {
        if self.has_room() && self.lanes.is_empty() {
            self.lanes.charge_unopposed(&request.workspace, request.share, request.tokens);
            self.activate(request, now);
            return AdmissionVerdict::Admitted;
        }
        let service = self.estimates.expected(request.tokens);
        let wait = self.expected_wait(&request.workspace, request.share);
        let retry_after = wait.max(service).max(LEAST_RETRY_AFTER);
        if now + wait * WAIT_MARGIN_PERCENT / 100 + service > request.deadline {
            return AdmissionVerdict::Refused { retry_after };
        }
        if self.lanes.len() as u32 >= self.waiting_limit() && !self.displace(&request) {
            return AdmissionVerdict::Refused { retry_after };
        }
        let slack = request.deadline.since(Moment(0)).saturating_sub(service);
        self.lanes.push(request, Moment(0) + slack);
        AdmissionVerdict::Queued
    }

    /// Notes that a request that was admitted has ended.
    pub fn release(&mut self, request: &RequestId, now: Moment) {
        let Some(active) = self.active.remove(request) else { return };
        let busy = !self.lanes.is_empty();
        self.estimates.record(active.tokens, now.since(active.since), busy, now);
    }

    /// Gives a workspace back what an active request did not use of its tokens.
    pub fn settle(&mut self, request: &RequestId, used: u64) {
        let Some(active) = self.active.get_mut(request) else { return };
        let unused = active.tokens.saturating_sub(used);
        active.tokens -= unused;
        self.lanes.refund(&active.workspace, active.share, unused);
    }

    /// Forgets a request that waits and whose caller is gone.
    pub fn withdraw(&mut self, request: &RequestId) {
        self.lanes.remove(request);
        self.displaced.retain(|(displaced, _)| displaced != request);
    }

    /// Lets in what there is room for and refuses what became hopeless.
    pub fn tick(&mut self, now: Moment) -> AdmissionRound {
        let mut refused = std::mem::take(&mut self.displaced);
        while let Some(late) = self.lanes.pop_late(now) {
            let service = self.estimates.expected(late.tokens);
            let wait = self.expected_wait(&late.workspace, late.share);
            refused.push((late.request, wait.max(service).max(LEAST_RETRY_AFTER)));
        }
        let mut admitted = Vec::new();
        while self.has_room() {
            self.turns += 1;
            let by_priority = !self.turns.is_multiple_of(FAIR_TURN);
            let Some(request) = self.lanes.pop_next(by_priority, now) else { break };
            admitted.push(request.request.clone());
            self.activate(request, now);
        }
        AdmissionRound { admitted, refused }
    }

    /// The time until a new request of a workspace would be let in: by what is ahead of it at its
    /// share, or by the pace of the workspace's own turns, which also shows those who come in
    /// before it without waiting.
    fn expected_wait(&self, workspace: &WorkspaceId, share: u32) -> Duration {
        let ahead = self.lanes.expected_ahead(workspace, share);
        let by_share = self.estimates.drain_time(ahead + 1, self.capacity);
        by_share.max(self.lanes.expected_turn(workspace))
    }

    /// The most requests that wait: one for each place until the first has ended, because without
    /// any measured time nobody can tell which would be late.
    fn waiting_limit(&self) -> u32 {
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

    /// Makes room in a full queue at the cost of the workspace that has most waiting for its
    /// share; false where that is the newcomer's own.
    fn displace(&mut self, newcomer: &AdmissionRequest) -> bool {
        let Some(displaced) = self.lanes.pop_longest(&newcomer.workspace, newcomer.share) else {
            return false;
        };
        let wait = self.expected_wait(&displaced.workspace, displaced.share);
        let retry_after = wait.max(self.estimates.expected(displaced.tokens));
        self.displaced.push((displaced.request, retry_after));
        true
    }
}
