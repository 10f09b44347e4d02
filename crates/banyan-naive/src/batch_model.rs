//! A deterministic model of engines that batch steps: [`BatchModel`].
//!
//! Requests arrive in an open loop at several instances, each with its own target table. Every
//! token passes through the stages of its stream's chain, over the link of each engine. An engine
//! runs up to one batch of steps at a time. Load reports arrive with a delay. Only time is
//! modelled, not content.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;

use crate::draws::DrawSource;
use crate::fixtures::zone_name;
use banyan_core::declaration::Declaration;
use banyan_core::declaration::TargetRole;
use banyan_core::ids::ModelId;
use banyan_core::ids::TargetId;
use banyan_core::serving::chain_query::ChainQuery;
use banyan_core::serving::decisions::DecisionSet;
use banyan_core::serving::prefix::PrefixEvent;
use banyan_core::serving::targets::ReportedLoad;
use banyan_core::serving::targets::TargetTable;
use banyan_core::units::Moment;

/// Input of a run.
#[derive(Clone, Debug)]
pub struct ModelInput {
    /// The engines.
    pub declaration: Declaration,
    /// The model that every request asks for.
    pub model: ModelId,
    /// The number of instances.
    pub instances: usize,
    /// Requests per second over all instances.
    pub rate: f64,
    /// The number of tokens of each answer.
    pub tokens: u32,
    /// The interval between two load reports of an engine.
    pub report_every: Duration,
    /// The delay of a load report.
    pub report_lag: Duration,
    /// The simulated time of the run.
    pub duration: Duration,
    /// The time after which tokens are counted_tokens.
    pub warm_up: Duration,
    /// Links that become slower: the target, the start time and the factor.
    pub slow_links: Vec<(TargetId, Moment, u64)>,
    /// Whether each instance sends its link observations to two random instances every second.
    pub exchange: bool,
    /// The maximum number of streams at each instance; further requests are rejected.
    pub stream_limit: u32,
    /// Prompts with shared prefixes; `None` leaves prompts out of the model.
    pub prompts: Option<PromptInput>,
    /// The seed of arrivals and decisions.
    pub seed: u64,
}

/// Prompts that share prefixes, and engines that cache some of the prefixes.
#[derive(Clone, Copy, Debug)]
pub struct PromptInput {
    /// The number of different prefixes.
    pub kinds: u64,
    /// The number of prefixes that an engine caches.
    pub cached: usize,
    /// The number of batch slots that a prompt takes; one if its prefix is cached.
    pub weight: usize,
    /// The delay of cache events.
    pub lag: Duration,
    /// The percentage of cache events that are lost.
    pub lost_percent: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct ModelOutput {
    /// Tokens per second after the warm-up.
    pub token_rate: f64,
    /// Times to the first token after the warm-up, in microseconds, sorted.
    pub first_token: Vec<u64>,
    /// Times between tokens after the warm-up, in microseconds, sorted.
    pub between_tokens: Vec<u64>,
    /// The number of prompts run by engines, and of those whose prefix was cached.
    pub prompts: (u64, u64),
    /// The number of streams assigned to each target.
    pub streams: BTreeMap<TargetId, u64>,
}

impl ModelOutput {
    /// Returns a percentile of sorted samples; 0 if there are none.
    pub fn percentile(samples: &[u64], percent: usize) -> u64 {
        if samples.is_empty() {
            return 0;
        }
        samples[(samples.len() - 1) * percent / 100]
    }
}

#[derive(Debug)]
enum SimulationEvent {
    Arrival(usize),
    StepArrival { stream: usize },
    BatchEnd { engine: usize },
    Answer { stream: usize },
    Measure { engine: usize },
    Report { engine: usize, load: u32, streams: u32, measured: Moment },
    Exchange { instance: usize },
    CacheEvent { engine: usize, event: PrefixEvent },
}

#[derive(Debug)]
struct Engine {
    target: TargetId,
    batch: usize,
    step_us: u64,
    link_us: u64,
    queue: VecDeque<usize>,
    running: Vec<usize>,
    streams: u32,
    cache: VecDeque<u64>,
    event_count: u64,
}

#[derive(Debug)]
struct Stream {
    instance: usize,
    prompt: u64,
    chain: Vec<usize>,
    stage: usize,
    tokens_made: u32,
    prefix_cached: bool,
    step_sent_at: u64,
    last_token_at: u64,
}

/// The state of a simulation run.
pub struct BatchModel {
    input: ModelInput,
    decisions: DecisionSet,
    tables: Vec<TargetTable>,
    engines: Vec<Engine>,
    streams: Vec<Stream>,
    /// The number of active streams at each instance.
    active: Vec<u32>,
    event_queue: BinaryHeap<Reverse<(u64, u64)>>,
    pending_events: BTreeMap<u64, SimulationEvent>,
    scheduled: u64,
    now: u64,
    /// Generates arrivals and prompts, which don't depend on the decisions.
    load_draws: DrawSource,
    /// Generates all other random numbers.
    draws: DrawSource,
    counted_tokens: u64,
    output: ModelOutput,
}

impl BatchModel {
    /// Simulates the engines with a set of decisions.
    pub fn run(input: ModelInput, decisions: DecisionSet) -> ModelOutput {
        let mut model = Self::new(input, decisions);
        for instance in 0..model.input.instances {
            model.schedule_arrival(instance);
            if model.input.exchange {
                model.schedule(1_000_000, SimulationEvent::Exchange { instance });
            }
        }
        for engine in 0..model.engines.len() {
            let offset = model.draws.below(model.input.report_every.as_micros() as u64);
            model.schedule(offset, SimulationEvent::Measure { engine });
        }
        let end = model.input.duration.as_micros() as u64;
        while let Some(Reverse((at, number))) = model.event_queue.pop() {
            if at > end {
                break;
            }
            model.now = at;
            let event = model.pending_events.remove(&number);
            event.into_iter().for_each(|event| model.handle(event));
        }
        model.finish()
    }

    fn new(input: ModelInput, decisions: DecisionSet) -> Self {
        let mut table = TargetTable::default();
        table.apply_declaration(&input.declaration, Moment(0));
        let handoff = input.declaration.models[&input.model].handoff.0;
        let engines = input.declaration.targets.iter().filter_map(|(target, spec)| {
            let TargetRole::Engine { batch, step_time, link_bytes_per_second, .. } = &spec.role
            else {
                return None;
            };
            Some(Engine {
                target: target.clone(),
                batch: *batch as usize,
                step_us: step_time.as_micros() as u64,
                link_us: handoff * 1_000_000 / link_bytes_per_second,
                queue: VecDeque::new(),
                running: Vec::new(),
                streams: 0,
                cache: VecDeque::new(),
                event_count: 0,
            })
        });
        Self {
            tables: vec![table; input.instances],
            engines: engines.collect(),
            streams: Vec::new(),
            active: vec![0; input.instances],
            event_queue: BinaryHeap::new(),
            pending_events: BTreeMap::new(),
            scheduled: 0,
            now: 0,
            load_draws: DrawSource::new(input.seed),
            draws: DrawSource::new(input.seed ^ u64::MAX),
            counted_tokens: 0,
            output: ModelOutput::default(),
            input,
            decisions,
        }
    }

    fn finish(mut self) -> ModelOutput {
        let counted_for = self.input.duration - self.input.warm_up;
        self.output.token_rate = self.counted_tokens as f64 / counted_for.as_secs_f64();
        self.output.first_token.sort_unstable();
        self.output.between_tokens.sort_unstable();
        self.output
    }

    fn schedule(&mut self, after: u64, event: SimulationEvent) {
        self.scheduled += 1;
        self.event_queue.push(Reverse((self.now + after, self.scheduled)));
        self.pending_events.insert(self.scheduled, event);
    }

    fn schedule_arrival(&mut self, instance: usize) {
        let mean = self.input.instances as f64 * 1_000_000.0 / self.input.rate;
        let after = self.load_draws.exponential(mean);
        self.schedule(after, SimulationEvent::Arrival(instance));
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival(instance) => {
                self.schedule_arrival(instance);
                self.start_stream(instance);
            }
            SimulationEvent::StepArrival { stream } => {
                let engine = self.engine_of(stream);
                self.engines[engine].queue.push_back(stream);
                self.start_batch(engine);
            }
            SimulationEvent::BatchEnd { engine } => {
                let done = std::mem::take(&mut self.engines[engine].running);
                let link = self.link_time(engine);
                for stream in done {
                    self.schedule(link / 2, SimulationEvent::Answer { stream });
                }
                self.start_batch(engine);
            }
            SimulationEvent::Answer { stream } => self.handle_answer(stream),
            SimulationEvent::Measure { engine } => self.measure_load(engine),
            SimulationEvent::Report { engine, load, streams, measured } => {
                self.apply_report(engine, load, streams, measured);
            }
            SimulationEvent::Exchange { instance } => self.exchange_observations(instance),
            SimulationEvent::CacheEvent { engine, event } => {
                let target = &self.engines[engine].target;
                let incarnation = SmolStr::new_static("run-1");
                for table in &mut self.tables {
                    table.prefixes.note_events(target, &incarnation, &[event]);
                }
            }
        }
    }

    fn start_stream(&mut self, instance: usize) {
        let draw = self.draws.draw();
        let prompt = self.draw_prompt();
        let prefixes: &[u64] = if self.input.prompts.is_some() { &[prompt] } else { &[] };
        let table = &mut self.tables[instance];
        table.advance(Moment(self.now));
        let zone = zone_name(instance % 3);
        let spec = &self.input.declaration.models[&self.input.model];
        let query = ChainQuery {
            model: &self.input.model,
            layers: spec.layers,
            handoff: spec.handoff,
            zone: &zone,
            prefixes,
            excluded: &BTreeSet::new(),
            draw,
        };
        if self.active[instance] >= self.input.stream_limit {
            return;
        }
        let Some(chain) = (self.decisions.choose_chain)(table, &query) else { return };
        self.active[instance] += 1;
        for stage in &chain {
            table.note_assigned(&stage.target);
            *self.output.streams.entry(stage.target.clone()).or_default() += 1;
        }
        let index = |target: &TargetId| {
            self.engines.binary_search_by(|engine| engine.target.cmp(target)).unwrap_or(0)
        };
        let chain: Vec<usize> = chain.iter().map(|stage| index(&stage.target)).collect();
        for engine in &chain {
            self.engines[*engine].streams += 1;
        }
        let stream = Stream {
            instance,
            prompt,
            chain,
            stage: 0,
            tokens_made: 0,
            prefix_cached: false,
            step_sent_at: self.now,
            last_token_at: self.now,
        };
        self.streams.push(stream);
        self.send_step(self.streams.len() - 1);
    }

    fn send_step(&mut self, stream: usize) {
        let engine = self.engine_of(stream);
        self.streams[stream].step_sent_at = self.now;
        let table = &mut self.tables[self.streams[stream].instance];
        table.advance(Moment(self.now));
        table.note_sent(&self.engines[engine].target);
        let link = self.link_time(engine);
        self.schedule(link / 2, SimulationEvent::StepArrival { stream });
    }

    fn start_batch(&mut self, engine: usize) {
        let engine_row = &self.engines[engine];
        if !engine_row.running.is_empty() || engine_row.queue.is_empty() {
            return;
        }
        self.fill_batch(engine);
        let step = self.engines[engine].step_us;
        self.schedule(step, SimulationEvent::BatchEnd { engine });
    }

    fn fill_batch(&mut self, engine: usize) {
        let mut room = self.engines[engine].batch;
        while let Some(stream) = self.engines[engine].queue.front().copied() {
            let weight = self.step_weight(engine, stream);
            if weight > room && !self.engines[engine].running.is_empty() {
                break;
            }
            room = room.saturating_sub(weight);
            self.engines[engine].queue.pop_front();
            self.engines[engine].running.push(stream);
            self.run_prompt(engine, stream);
            if room == 0 {
                break;
            }
        }
    }

    fn step_weight(&self, engine: usize, stream: usize) -> usize {
        let row = &self.streams[stream];
        let cached = self.engines[engine].cache.contains(&row.prompt);
        match self.input.prompts {
            Some(prompts) if row.tokens_made == 0 && !cached => prompts.weight,
            _ => 1,
        }
    }

    /// Adds the prefix of a stream's prompt to the engine's cache; evicts the least recently used
    /// prefix if the cache is full.
    fn run_prompt(&mut self, engine: usize, stream: usize) {
        let row = &self.streams[stream];
        let Some(prompts) = self.input.prompts.filter(|_| row.tokens_made == 0) else { return };
        let prompt = row.prompt;
        let cache = &mut self.engines[engine].cache;
        let before = cache.len();
        cache.retain(|cached| *cached != prompt);
        let found = cache.len() < before;
        cache.push_back(prompt);
        let evicted = if cache.len() > prompts.cached { cache.pop_front() } else { None };
        self.streams[stream].prefix_cached = found;
        self.output.prompts.0 += 1;
        self.output.prompts.1 += u64::from(found);
        if !found {
            self.schedule_cache_event(engine, prompt, true, prompts);
        }
        if let Some(evicted) = evicted {
            self.schedule_cache_event(engine, evicted, false, prompts);
        }
    }

    fn schedule_cache_event(
        &mut self,
        engine: usize,
        prefix: u64,
        stored: bool,
        prompts: PromptInput,
    ) {
        let number = self.engines[engine].event_count;
        self.engines[engine].event_count += 1;
        if self.draws.below(100) >= prompts.lost_percent {
            let event = PrefixEvent { number, prefix, stored };
            let lag = prompts.lag.as_micros() as u64;
            self.schedule(lag, SimulationEvent::CacheEvent { engine, event });
        }
    }

    /// Returns a random prefix; low numbers are much more frequent than high ones.
    fn draw_prompt(&mut self) -> u64 {
        let Some(prompts) = self.input.prompts else { return 0 };
        let fraction = self.load_draws.fraction();
        (fraction * fraction * prompts.kinds as f64) as u64
    }

    fn handle_answer(&mut self, stream: usize) {
        let engine = self.engine_of(stream);
        let now = self.now;
        let row = &mut self.streams[stream];
        let elapsed = Duration::from_micros(now - row.step_sent_at);
        self.tables[row.instance].note_ended(
            &self.engines[engine].target,
            Some(elapsed),
            Moment(now),
        );
        if row.tokens_made == 0 && self.input.prompts.is_some() {
            let index = &mut self.tables[row.instance].prefixes;
            let target = &self.engines[engine].target;
            index.note_found(target, &[row.prompt], usize::from(row.prefix_cached));
            index.note_sent(target, &[row.prompt]);
        }
        row.stage += 1;
        if row.stage == row.chain.len() {
            self.record_token(stream);
        }
        if self.streams[stream].tokens_made < self.input.tokens {
            self.send_step(stream);
        }
    }

    fn record_token(&mut self, stream: usize) {
        let row = &mut self.streams[stream];
        row.stage = 0;
        row.tokens_made += 1;
        let elapsed = self.now - row.last_token_at;
        row.last_token_at = self.now;
        if self.now >= self.input.warm_up.as_micros() as u64 {
            self.counted_tokens += 1;
            let first = row.tokens_made == 1;
            let samples = match first {
                true => &mut self.output.first_token,
                false => &mut self.output.between_tokens,
            };
            samples.push(elapsed);
        }
        if row.tokens_made == self.input.tokens {
            self.active[row.instance] -= 1;
            let table = &mut self.tables[row.instance];
            for engine in &row.chain {
                self.engines[*engine].streams -= 1;
                table.note_unassigned(&self.engines[*engine].target);
            }
        }
    }

    fn measure_load(&mut self, engine: usize) {
        let row = &self.engines[engine];
        let load = (row.queue.len() + row.running.len()) as u32;
        let streams = row.streams;
        let measured = Moment(self.now);
        let lag = self.input.report_lag.as_micros() as u64;
        self.schedule(lag, SimulationEvent::Report { engine, load, streams, measured });
        let every = self.input.report_every.as_micros() as u64;
        self.schedule(every, SimulationEvent::Measure { engine });
    }

    fn apply_report(&mut self, engine: usize, load: u32, streams: u32, measured: Moment) {
        let row = &self.engines[engine];
        let step_time = Duration::from_micros(row.step_us);
        let incarnation = SmolStr::new_static("run-1");
        let report = ReportedLoad { incarnation, load, streams, step_time, measured };
        for table in &mut self.tables {
            table.note_report(&row.target, report.clone(), Moment(self.now));
        }
    }

    fn exchange_observations(&mut self, instance: usize) {
        let now = Moment(self.now);
        for _ in 0..2 {
            let peer = self.draws.below(self.tables.len() as u64) as usize;
            for engine in &self.engines {
                let row = &self.tables[instance].rows[&engine.target];
                let observed = row.link.own_excess(row.expected_step(), now);
                let peer_row = self.tables[peer].rows.get_mut(&engine.target);
                if let (Some((excess, at)), Some(row)) = (observed, peer_row) {
                    row.link.note_peer_observation(excess, at);
                }
            }
        }
        self.schedule(1_000_000, SimulationEvent::Exchange { instance });
    }

    fn engine_of(&self, stream: usize) -> usize {
        let row = &self.streams[stream];
        row.chain[row.stage]
    }

    fn link_time(&self, engine: usize) -> u64 {
        let row = &self.engines[engine];
        let slow = self
            .input
            .slow_links
            .iter()
            .find(|(target, at, _)| *target == row.target && at.0 <= self.now);
        row.link_us * slow.map_or(1, |(_, _, factor)| *factor)
    }
}
