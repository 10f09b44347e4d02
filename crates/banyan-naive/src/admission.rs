//! First come, first served: [`ArrivalQueue`], and a model to compare it in: [`run_overload`].

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::draws::DrawSource;
use crate::fixtures::workspace_name;
use banyan_core::ids::RequestId;
use banyan_core::ids::WorkspaceId;
use banyan_core::serving::admission::AdmissionQueue;
use banyan_core::serving::admission::AdmissionRequest;
use banyan_core::serving::admission::AdmissionRound;
use banyan_core::serving::admission::AdmissionVerdict;
use banyan_core::units::Moment;

/// Lets requests in by order of arrival while there is room, and refuses only when it is full.
#[derive(Clone, Debug, Default)]
pub struct ArrivalQueue {
    /// The most requests under way at once.
    pub capacity: u32,
    /// The most requests that wait.
    pub queue_limit: u32,
    /// The requests under way.
    pub active: u32,
    /// Those that wait, oldest first.
    pub waiting: VecDeque<RequestId>,
}

/// Either way to admit.
#[derive(Clone, Debug)]
pub enum AdmissionModel {
    /// The product's.
    Product(Box<AdmissionQueue>),
    /// The naive one.
    Naive(ArrivalQueue),
}

impl AdmissionModel {
    fn offer(&mut self, request: AdmissionRequest, now: Moment) -> AdmissionVerdict {
        match self {
            AdmissionModel::Product(queue) => queue.offer(request, now),
            AdmissionModel::Naive(queue) => queue.offer(request),
        }
    }

    fn release(&mut self, request: &RequestId, now: Moment) {
        match self {
            AdmissionModel::Product(queue) => queue.release(request, now),
            AdmissionModel::Naive(queue) => queue.active -= 1,
        }
    }

    fn tick(&mut self, now: Moment) -> AdmissionRound {
        match self {
            AdmissionModel::Product(queue) => queue.tick(now),
            AdmissionModel::Naive(queue) => queue.tick(),
        }
    }
}

impl ArrivalQueue {
    fn offer(&mut self, request: AdmissionRequest) -> AdmissionVerdict {
        if self.active < self.capacity && self.waiting.is_empty() {
            self.active += 1;
            return AdmissionVerdict::Admitted;
        }
        if self.waiting.len() as u32 >= self.queue_limit {
            return AdmissionVerdict::Refused { retry_after: Duration::from_secs(1) };
        }
        self.waiting.push_back(request.request);
        AdmissionVerdict::Queued
    }

    fn tick(&mut self) -> AdmissionRound {
        let mut round = AdmissionRound::default();
        while self.active < self.capacity {
            let Some(request) = self.waiting.pop_front() else { break };
            self.active += 1;
            round.admitted.push(request);
        }
        round
    }
}

/// An overload: one large workspace against nine small ones.
#[derive(Clone, Copy, Debug)]
pub struct OverloadInput {
    /// The most requests under way at once.
    pub capacity: u32,
    /// The time that a request takes on average.
    pub service: Duration,
    /// The time that each caller gives a request.
    pub request_timeout: Duration,
    /// The demand as a multiple of what can be served.
    pub overload: f64,
    /// The part of the demand that comes from the large workspace.
    pub large_workspace_share: f64,
    /// How long requests arrive.
    pub duration: Duration,
    /// The seed.
    pub seed: u64,
}

/// What became of the requests of an overload.
#[derive(Clone, Debug, Default)]
pub struct OverloadOutput {
    /// The time spent on requests that ended in time, as a part of all time there is.
    pub goodput: f64,
    /// By workspace: requests offered and ended in time.
    pub workspaces: BTreeMap<WorkspaceId, (u64, u64)>,
    /// Requests that were let in or queued.
    pub accepted: u64,
    /// Accepted requests that missed their deadline or were refused after queueing.
    pub missed: u64,
    /// Requests that were refused when offered.
    pub refused: u64,
}

#[derive(Clone, Debug)]
struct Demand {
    workspace: WorkspaceId,
    takes: u64,
    deadline: Moment,
}

/// Runs an overload through an admission queue.
pub fn run_overload(input: OverloadInput, mut model: AdmissionModel) -> OverloadOutput {
    let mut draws = DrawSource::new(input.seed);
    let mut output = OverloadOutput::default();
    let mut demands: BTreeMap<RequestId, Demand> = BTreeMap::new();
    let mut ends: BinaryHeap<Reverse<(u64, RequestId)>> = BinaryHeap::new();
    let service = input.service.as_micros() as f64;
    let gap = service / f64::from(input.capacity) / input.overload;
    let mut next = draws.exponential(gap);
    let mut counter = 0;
    let end = input.duration.as_micros() as u64;
    let mut useful = 0;
    while next < end || !ends.is_empty() {
        let end_first = ends.peek().is_some_and(|Reverse((at, _))| *at <= next || next >= end);
        let now = if end_first {
            let Some(Reverse((at, request))) = ends.pop() else { break };
            let demand = demands.remove(&request);
            model.release(&request, Moment(at));
            if let Some(demand) = demand {
                let met = at <= demand.deadline.0;
                useful += if met && at <= end { demand.takes } else { 0 };
                output.missed += u64::from(!met);
                output.workspaces.entry(demand.workspace).or_default().1 += u64::from(met);
            }
            at
        } else {
            counter += 1;
            let request = RequestId { incarnation: incarnation(), counter };
            let demand = draw_demand(&input, &mut draws, next);
            output.workspaces.entry(demand.workspace.clone()).or_default().0 += 1;
            let offer = AdmissionRequest {
                request: request.clone(),
                workspace: demand.workspace.clone(),
                share: 1,
                priority: 5,
                tokens: demand.takes / 10_000,
                deadline: demand.deadline,
            };
            let verdict = model.offer(offer, Moment(next));
            output.accepted += u64::from(!matches!(verdict, AdmissionVerdict::Refused { .. }));
            output.refused += u64::from(matches!(verdict, AdmissionVerdict::Refused { .. }));
            if verdict == AdmissionVerdict::Admitted {
                ends.push(Reverse((next + demand.takes, request.clone())));
            }
            demands.insert(request, demand);
            let now = next;
            next += draws.exponential(gap);
            now
        };
        let round = model.tick(Moment(now));
        output.missed += round.refused.len() as u64;
        for (request, _) in round.refused {
            demands.remove(&request);
        }
        for request in round.admitted {
            let Some(demand) = demands.get(&request) else { continue };
            ends.push(Reverse((now + demand.takes, request)));
        }
    }
    output.goodput = useful as f64 / (end as f64 * f64::from(input.capacity));
    output
}

fn draw_demand(input: &OverloadInput, draws: &mut DrawSource, now: u64) -> Demand {
    let large = draws.fraction() < input.large_workspace_share;
    let number = if large { 0 } else { 1 + draws.below(9) as usize };
    // Between half and one and a half of the mean.
    let takes = input.service.as_micros() as f64 * (0.5 + draws.fraction());
    Demand {
        workspace: workspace_name(number),
        takes: takes as u64,
        deadline: Moment(now) + input.request_timeout,
    }
}

fn incarnation() -> banyan_core::ids::IncarnationId {
    "model".parse().expect("a word is a valid name")
}
