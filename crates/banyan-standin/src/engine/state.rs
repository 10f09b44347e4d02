//! All that an engine holds: [`EngineState`].

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;

use crate::engine::EngineOptions;
use crate::engine::lineage::LineageTable;
use crate::engine::lineage::StepAdmission;
use crate::engine::lineage::StepResult;
use crate::engine::prefix::PrefixCache;
use crate::engine::stream::StreamItem;
use crate::engine::stream::StreamSender;
use crate::fault::LossKind;
use crate::reference::run_layers;
use crate::truth::CrashRow;
use crate::truth::EngineTruth;
use banyan_core::ids::LayerRange;
use banyan_wire::engine::EngineOrder;
use banyan_wire::engine::LoadReport;
use banyan_wire::engine::RoleReply;
use banyan_wire::engine::StageActivations;
use banyan_wire::engine::StepEvent;
use banyan_wire::engine::StepId;
use banyan_wire::engine::StepRefusal;
use banyan_wire::engine::StepRequest;
use banyan_wire::engine::StepWork;

/// All that an engine holds.
#[derive(Debug)]
pub(super) struct EngineState {
    /// What it holds now.
    pub(super) role: RoleReply,
    /// The number of layers of the whole model.
    model_layers: u32,
    /// The lineages.
    pub(super) lineages: LineageTable,
    /// Steps that wait: higher priority first, then in the order of arrival.
    queue: BTreeMap<(Reverse<u8>, u64), QueuedStep>,
    arrivals: u64,
    queue_limit: usize,
    batch_limit: usize,
    step_time: Duration,
    prefill_rate: u64,
    /// Steps in the batch that is running.
    running: usize,
    /// The prefix cache.
    pub(super) prefixes: PrefixCache,
    cache_limit: u64,
    /// Whether it says that it is leaving.
    pub(super) leaving: bool,
    /// The faults that are set.
    pub(super) faults: EngineFaults,
    /// Inputs of this engine's first layer that crash it.
    poison: BTreeSet<u64>,
    /// Load reports, oldest first, with the time at which each was measured.
    pub(super) reports: VecDeque<(Instant, LoadReport)>,
    /// The answer given last, for [`EngineFaults::crossings`].
    pub(super) previous: Option<StepEvent>,
    /// What really ran.
    pub(super) truth: EngineTruth,
}

/// The faults that are set.
#[derive(Debug)]
pub(super) struct EngineFaults {
    /// The share of the usual time that a batch takes, in percent.
    pub(super) slow_percent: u32,
    /// The speed of the link in bytes a second; zero takes no time.
    pub(super) link_rate: u64,
    /// Answers still to be lost.
    pub(super) lost_answers: u32,
    /// How they are lost.
    pub(super) loss: Option<LossKind>,
    /// Answers still to be given twice.
    pub(super) duplicates: u32,
    /// Answers still to come after one of another step.
    pub(super) crossings: u32,
}

/// A step that waits.
#[derive(Debug)]
pub(super) struct QueuedStep {
    /// The step.
    pub(super) order: StepRequest,
    /// When it came.
    arrived: Instant,
}

/// Steps that run together.
#[derive(Debug)]
pub(super) struct RunningBatch {
    /// The steps with the prompt tokens found in the prefix cache.
    pub(super) steps: Vec<(StepRequest, u32)>,
    /// The time that the batch takes.
    pub(super) cost: Duration,
    /// When its first step came.
    pub(super) arrived: Instant,
    /// Whether one of its steps crashes the engine.
    pub(super) crashes: bool,
    /// The engine's run that took it up.
    pub(super) incarnation: SmolStr,
}

impl EngineState {
    /// An engine that has run nothing.
    pub(super) fn new(options: &EngineOptions) -> Self {
        let LayerRange { first, end } = options.layers;
        let model = options.model.clone();
        let role = RoleReply { fence: 0, model, first_layer: first, end_layer: end };
        let faults = EngineFaults {
            slow_percent: 100,
            link_rate: options.link_bytes_per_second,
            lost_answers: 0,
            loss: None,
            duplicates: 0,
            crossings: 0,
        };
        let truth = EngineTruth {
            name: options.name.clone(),
            incarnation: new_incarnation(&options.name),
            ..EngineTruth::default()
        };
        let mut state = Self {
            role,
            model_layers: options.model_layers,
            lineages: LineageTable::default(),
            queue: BTreeMap::new(),
            arrivals: 0,
            queue_limit: options.queue_limit,
            batch_limit: options.batch,
            step_time: options.step_time,
            prefill_rate: options.prefill_rate.max(1),
            running: 0,
            prefixes: PrefixCache::new(options.cache_limit, options.cache_lag, options.cache_gaps),
            cache_limit: options.cache_limit,
            leaving: false,
            faults,
            poison: BTreeSet::new(),
            reports: VecDeque::new(),
            previous: None,
            truth,
        };
        state.set_poison(&options.poison);
        state
    }

    /// Makes prompts crash the engine, at whichever stage it stands.
    pub(super) fn set_poison(&mut self, prompts: &[String]) {
        let first = self.role.first_layer;
        let input = |prompt: &String| {
            let mut state = vec![0; first as usize];
            run_layers(0, &mut state, StageActivations::from_prompt(prompt, 0).digest)
        };
        self.poison = prompts.iter().map(input).collect();
    }

    /// Takes in a step; gives what can be said about it at once.
    pub(super) fn accept(
        &mut self,
        order: StepRequest,
        sender: &StreamSender,
    ) -> Option<StreamItem> {
        let step = order.step.clone();
        if let Some(reason) = self.refuse_new(&order) {
            return Some(refusal(step, reason));
        }
        match self.lineages.admit(&order, sender) {
            StepAdmission::Joined => None,
            StepAdmission::Repeated(result) => {
                Some(StreamItem::Final(self.answer(step, result, 0)))
            }
            StepAdmission::Refused(reason) => Some(refusal(step, reason)),
            StepAdmission::Queued => self.enqueue(order),
        }
    }

    fn refuse_new(&self, order: &StepRequest) -> Option<StepRefusal> {
        let role = &self.role;
        let held = order.model == role.model
            && order.first_layer >= role.first_layer
            && order.end_layer <= role.end_layer
            && order.first_layer < order.end_layer;
        if !held {
            return Some(StepRefusal::WrongLayers);
        }
        if self.leaving && !self.lineages.knows(&order.step) {
            return Some(StepRefusal::Leaving);
        }
        None
    }

    fn enqueue(&mut self, order: StepRequest) -> Option<StreamItem> {
        let reason = if order.deadline_ms == 0 {
            StepRefusal::Late
        } else if self.queue.len() >= self.queue_limit {
            let batches = self.queue.len() / self.batch_limit.max(1);
            let wait = self.step_time * batches as u32;
            StepRefusal::Full { retry_after_ms: wait.as_millis() as u64 }
        } else {
            let key = (Reverse(order.priority), self.arrivals);
            self.arrivals += 1;
            self.queue.insert(key, QueuedStep { order, arrived: Instant::now() });
            return None;
        };
        self.lineages.give_up(&order.step);
        Some(refusal(order.step, reason))
    }

    /// Takes the next batch out of the queue.
    pub(super) fn take_batch(&mut self) -> Option<RunningBatch> {
        let now = Instant::now();
        let mut steps = Vec::new();
        let mut arrived = now;
        let mut cost = self.step_time * self.faults.slow_percent / 100;
        let mut crashes = false;
        while steps.len() < self.batch_limit {
            let Some((_, queued)) = self.queue.pop_first() else { break };
            if queued.arrived + Duration::from_millis(queued.order.deadline_ms) < now {
                self.refuse_late(&queued.order.step);
                continue;
            }
            arrived = arrived.min(queued.arrived);
            let (cached, extra) = self.reading(&queued.order);
            cost += extra * self.faults.slow_percent / 100;
            crashes |= self.is_poison(&queued.order);
            steps.push((queued.order, cached));
        }
        if steps.is_empty() {
            return None;
        }
        self.running = steps.len();
        let incarnation = self.truth.incarnation.clone();
        Some(RunningBatch { steps, cost, arrived, crashes, incarnation })
    }

    fn refuse_late(&mut self, step: &StepId) {
        for waiter in self.lineages.give_up(step) {
            let _ = waiter.send(refusal(step.clone(), StepRefusal::Late));
        }
    }

    /// Prompt tokens found in the cache, and the time that reading the others takes.
    fn reading(&self, order: &StepRequest) -> (u32, Duration) {
        let (cached, tokens) = match &order.work {
            StepWork::Prompt { tokens, prefixes, .. } => {
                let cached = self.prefixes.cached_tokens(prefixes, *tokens);
                (cached, u64::from(tokens - cached))
            }
            StepWork::Token { .. } => (0, 0),
            StepWork::Rebuild { inputs, tokens } => (0, u64::from(*tokens) + inputs.len() as u64),
        };
        (cached, Duration::from_micros(tokens * 1_000_000 / self.prefill_rate))
    }

    fn is_poison(&self, order: &StepRequest) -> bool {
        match &order.work {
            StepWork::Prompt { input, .. } => self.poison.contains(&input.digest),
            StepWork::Token { .. } => false,
            StepWork::Rebuild { inputs, .. } => {
                inputs.first().is_some_and(|input| self.poison.contains(&input.digest))
            }
        }
    }

    /// Whether a range ends with the model's last layer.
    pub(super) fn is_last_stage(&self, end_layer: u32) -> bool {
        end_layer == self.model_layers
    }

    /// Notes that no batch is running.
    pub(super) fn set_idle(&mut self) {
        self.running = 0;
    }

    /// The event that answers a step.
    pub(super) fn answer(&self, step: StepId, result: StepResult, cached: u32) -> StepEvent {
        StepEvent::Answer {
            step,
            output: result.output,
            token: result.token,
            cached,
            incarnation: self.truth.incarnation.clone(),
        }
    }

    /// Forgets a request.
    pub(super) fn cancel(&mut self, request: &str) {
        self.queue.retain(|_, queued| queued.order.step.request != request);
        for pending in self.lineages.forget(request) {
            for waiter in &pending.waiters {
                let reason = StepRefusal::Lineage { expected: None };
                let _ = waiter.send(refusal(pending.step.clone(), reason));
            }
        }
    }

    /// Takes an order; gives the new role, or nothing where its fencing token is old.
    pub(super) fn take_order(&mut self, order: EngineOrder, checks: bool) -> Option<RoleReply> {
        if checks && order.fence < self.role.fence {
            return None;
        }
        self.truth.orders.push(order.clone());
        self.role = RoleReply {
            fence: self.role.fence.max(order.fence),
            model: order.model,
            first_layer: order.first_layer,
            end_layer: order.end_layer,
        };
        Some(self.role.clone())
    }

    /// Starts a new run: everything but the ground truth is forgotten.
    pub(super) fn forget_all(&mut self) {
        self.lineages.clear();
        self.queue.clear();
        self.prefixes.clear();
        self.previous = None;
        self.reports.clear();
        self.truth.incarnation = new_incarnation(&self.truth.name);
    }

    /// Notes a crash with what was in its batch.
    pub(super) fn record_crash(&mut self, batch: &RunningBatch) {
        let requests = batch.steps.iter().map(|(order, _)| order.step.request.clone());
        let row = CrashRow { incarnation: batch.incarnation.clone(), requests: requests.collect() };
        self.truth.crashes.push(row);
    }

    /// The load right now.
    pub(super) fn load(&self) -> LoadReport {
        LoadReport {
            incarnation: self.truth.incarnation.clone(),
            running: self.running as u32,
            queued: self.queue.len() as u32,
            lineages: self.lineages.len() as u32,
            cache_used: self.prefixes.used_tokens(),
            cache_limit: self.cache_limit,
            step_us: (self.step_time * self.faults.slow_percent / 100).as_micros() as u64,
            leaving: self.leaving,
            age_ms: 0,
        }
    }
}

fn refusal(step: StepId, reason: StepRefusal) -> StreamItem {
    StreamItem::Final(StepEvent::Refused { step, reason })
}

fn new_incarnation(name: &str) -> SmolStr {
    format_smolstr!("{name}-{:08x}", rand::random::<u32>())
}
