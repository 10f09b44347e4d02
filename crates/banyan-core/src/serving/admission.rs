//! Who is let in: [`AdmissionQueue`].
//!
//! A request is let in at once while there is room, waits while its deadline can still be met, and
//! is refused before waiting is hopeless. Among workspaces that wait, the one that has had least
//! for its share goes first.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::RequestId;
use crate::ids::WorkspaceId;
use crate::units::Moment;

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

/// The queue of one instance.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    /// The most requests under way at once.
    pub capacity: u32,
    /// The most requests that wait.
    pub queue_limit: u32,
    /// Requests under way, with when each was admitted.
    pub active: BTreeMap<RequestId, Moment>,
    /// Requests that wait, oldest first.
    pub waiting: Vec<AdmissionRequest>,
    /// Tokens given to each workspace, divided by its share; decides who goes first.
    pub served: BTreeMap<WorkspaceId, u64>,
    /// The smoothed time that a request takes.
    pub service_time: Duration,
}

impl AdmissionQueue {
    /// Asks for a request to be let in.
    pub fn offer(&mut self, request: AdmissionRequest, now: Moment) -> AdmissionVerdict {
        if (self.active.len() as u32) < self.capacity && self.waiting.is_empty() {
            self.admit(&request, now);
            return AdmissionVerdict::Admitted;
        }
        let wait = self.expected_wait(self.waiting.len());
        let hopeless = now + wait + self.service_time > request.deadline;
        if hopeless || self.waiting.len() as u32 >= self.queue_limit {
            return AdmissionVerdict::Refused { retry_after: wait.max(self.service_time) };
        }
        self.waiting.push(request);
        AdmissionVerdict::Queued
    }

    /// Notes that a request that was admitted has ended.
    pub fn release(&mut self, request: &RequestId, now: Moment) {
        let Some(since) = self.active.remove(request) else { return };
        let took = now.since(since);
        self.service_time =
            if self.service_time.is_zero() { took } else { (self.service_time * 7 + took) / 8 };
    }

    /// Forgets a request that waits and whose caller is gone.
    pub fn withdraw(&mut self, request: &RequestId) {
        self.waiting.retain(|waiting| waiting.request != *request);
    }

    /// Lets in what there is room for and refuses what became hopeless.
    pub fn tick(&mut self, now: Moment) -> AdmissionRound {
        let mut round = AdmissionRound::default();
        let service_time = self.service_time;
        let retry_after = self.expected_wait(self.waiting.len()).max(service_time);
        self.waiting.retain(|waiting| {
            let hopeless = now + service_time > waiting.deadline;
            if hopeless {
                round.refused.push((waiting.request.clone(), retry_after));
            }
            !hopeless
        });
        while (self.active.len() as u32) < self.capacity {
            let Some(index) = self.next_waiting() else { break };
            let request = self.waiting.remove(index);
            self.admit(&request, now);
            round.admitted.push(request.request);
        }
        round
    }

    fn next_waiting(&self) -> Option<usize> {
        let served = |workspace: &WorkspaceId| self.served.get(workspace).copied().unwrap_or(0);
        let rank =
            |waiting: &AdmissionRequest| (9 - waiting.priority.min(9), served(&waiting.workspace));
        (0..self.waiting.len()).min_by_key(|index| rank(&self.waiting[*index]))
    }

    fn admit(&mut self, request: &AdmissionRequest, now: Moment) {
        self.active.insert(request.request.clone(), now);
        let floor = self.served.values().min().copied().unwrap_or(0);
        let served = self.served.entry(request.workspace.clone()).or_insert(floor);
        *served += request.tokens / u64::from(request.share.max(1));
    }

    fn expected_wait(&self, ahead: usize) -> Duration {
        let rounds = ahead as u32 / self.capacity.max(1) + 1;
        self.service_time * rounds
    }
}
