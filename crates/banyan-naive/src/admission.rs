//! First come, first served admission, [`ArrivalQueue`], and an overload model, [`run_overload`].

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
use banyan_core::serving::admission::AdmissionRound;
use banyan_core::serving::admission::AdmissionVerdict;
use banyan_core::serving::admission_request::AdmissionRequest;
use banyan_core::units::Moment;

/// Admits requests in order of arrival up to its capacity; refuses only when the queue is full.
#[derive(Clone, Debug, Default)]
pub struct ArrivalQueue {
    /// The maximum number of active requests.
    pub capacity: u32,
    /// The maximum number of queued requests.
    pub queue_limit: u32,
    /// The number of active requests.
    pub active: u32,
    /// The queued requests, oldest first.
    pub waiting: VecDeque<RequestId>,
}

/// The admission algorithm under test.
#[derive(Clone, Debug)]
pub enum AdmissionModel {
    /// The product's admission queue.
    Product(Box<AdmissionQueue>),
    /// The naive queue: first come, first served.
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

/// Input of an overload run: one large workspace competes with nine small ones.
#[derive(Clone, Copy, Debug)]
pub struct OverloadInput {
    /// The maximum number of active requests.
    pub capacity: u32,
    /// The mean service time of a request.
    pub service: Duration,
    /// The time from the arrival of a request to its deadline.
    pub request_timeout: Duration,
    /// The demand as a multiple of the capacity.
    pub overload: f64,
    /// The share of the demand that comes from the large workspace, from 0 to 1.
    pub large_workspace_share: f64,
    /// The time during which requests arrive.
    pub duration: Duration,
    /// The seed of arrivals, workspaces and service times.
    pub seed: u64,
}

/// Results of an overload run.
#[derive(Clone, Debug, Default)]
pub struct OverloadOutput {
    /// The service time of requests that met their deadline, as a fraction of the capacity.
    pub goodput: f64,
    /// The number of requests offered and of those that met their deadline, by workspace.
    pub workspaces: BTreeMap<WorkspaceId, (u64, u64)>,
    /// The number of requests that were admitted or queued.
    pub accepted: u64,
    /// The number of accepted requests that missed their deadline or were refused after queueing.
    pub missed: u64,
    /// The number of requests that were refused on arrival.
    pub refused: u64,
}

#[derive(Clone, Debug)]
struct Demand {
    workspace: WorkspaceId,
    service_us: u64,
    deadline: Moment,
}

/// Simulates an overload of an admission queue.
pub fn run_overload(input: OverloadInput, mut model: AdmissionModel) -> OverloadOutput {
    let mut rng = DrawSource::new(input.seed);
    let mut output = OverloadOutput::default();
    let mut demands: BTreeMap<RequestId, Demand> = BTreeMap::new();
    let mut completions: BinaryHeap<Reverse<(u64, RequestId)>> = BinaryHeap::new();
    let service = input.service.as_micros() as f64;
    let mean_gap_us = service / f64::from(input.capacity) / input.overload;
    let mut next_arrival = rng.exponential(mean_gap_us);
    let mut counter = 0;
    let end_us = input.duration.as_micros() as u64;
    let mut useful_us = 0;
    while next_arrival < end_us || !completions.is_empty() {
        let completion_first = completions
            .peek()
            .is_some_and(|Reverse((at, _))| *at <= next_arrival || next_arrival >= end_us);
        let now = if completion_first {
            let Some(Reverse((at, request))) = completions.pop() else { break };
            let demand = demands.remove(&request);
            model.release(&request, Moment(at));
            if let Some(demand) = demand {
                let in_time = at <= demand.deadline.0;
                useful_us += if in_time && at <= end_us { demand.service_us } else { 0 };
                output.missed += u64::from(!in_time);
                output.workspaces.entry(demand.workspace).or_default().1 += u64::from(in_time);
            }
            at
        } else {
            counter += 1;
            let request = RequestId { incarnation: incarnation(), counter };
            let demand = draw_demand(&input, &mut rng, next_arrival);
            output.workspaces.entry(demand.workspace.clone()).or_default().0 += 1;
            let offer = AdmissionRequest {
                request: request.clone(),
                workspace: demand.workspace.clone(),
                share: 1,
                priority: 5,
                tokens: demand.service_us / 10_000,
                deadline: demand.deadline,
            };
            let verdict = model.offer(offer, Moment(next_arrival));
            output.accepted += u64::from(!matches!(verdict, AdmissionVerdict::Refused { .. }));
            output.refused += u64::from(matches!(verdict, AdmissionVerdict::Refused { .. }));
            if verdict == AdmissionVerdict::Admitted {
                completions.push(Reverse((next_arrival + demand.service_us, request.clone())));
            }
            demands.insert(request, demand);
            let now = next_arrival;
            next_arrival += rng.exponential(mean_gap_us);
            now
        };
        let round = model.tick(Moment(now));
        output.missed += round.refused.len() as u64;
        for (request, _) in round.refused {
            demands.remove(&request);
        }
        for request in round.admitted {
            let Some(demand) = demands.get(&request) else { continue };
            completions.push(Reverse((now + demand.service_us, request)));
        }
    }
    output.goodput = useful_us as f64 / (end_us as f64 * f64::from(input.capacity));
    output
}

fn draw_demand(input: &OverloadInput, rng: &mut DrawSource, now: u64) -> Demand {
    let large = rng.fraction() < input.large_workspace_share;
    let number = if large { 0 } else { 1 + rng.below(9) as usize };
    // Uniform between 0.5 and 1.5 times the mean.
    let service_us = input.service.as_micros() as f64 * (0.5 + rng.fraction());
    Demand {
        workspace: workspace_name(number),
        service_us: service_us as u64,
        deadline: Moment(now) + input.request_timeout,
    }
}

fn incarnation() -> banyan_core::ids::IncarnationId {
    "model".parse().expect("\"model\" is a valid incarnation id")
}
