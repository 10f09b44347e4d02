//! A deterministic model of engines that batch steps: [`BatchModel`].
//!
//! Open-loop arrivals at several instances, each with a table of its own; every token goes through
//! the stages of its stream's chain over the link of each engine; an engine runs up to a batch of
//! steps at a time; load reports come late. Nothing but time is modelled.

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
use banyan_core::serving::choice::ChainQuery;
use banyan_core::serving::decisions::DecisionSet;
use banyan_core::serving::prefix::PrefixEvent;
use banyan_core::serving::targets::ReportedLoad;
use banyan_core::serving::targets::TargetTable;
use banyan_core::units::Moment;

/// What a run is given.
#[derive(Clone, Debug)]
pub struct ModelInput {
    /// The engines.
    pub declaration: Declaration,
    /// The model that every request asks for.
    pub model: ModelId,
    /// The number of instances.
    pub instances: usize,
    /// Requests a second over all instances.
    pub rate: f64,
    /// Tokens of each answer.
    pub tokens: u32,
    /// The time between two reports of an engine.
    pub report_every: Duration,
    /// How late a report comes.
    pub report_lag: Duration,
    /// How long requests arrive.
    pub duration: Duration,
    /// From when on tokens are counted.
    pub warm_up: Duration,
    /// Links that become slower: target, when, and by which factor.
    pub slow_links: Vec<(TargetId, Moment, u64)>,
    /// Whether instances tell two peers each second what they observe of links.
    pub exchange: bool,
    /// The most streams that run at each instance; further ones are turned away.
    pub stream_limit: u32,
    /// Prompts with shared beginnings, if they are modelled.
    pub prompts: Option<PromptInput>,
    /// The seed of arrivals and draws.
    pub seed: u64,
}

/// Prompts whose beginnings are shared, and engines that cache some of them.
#[derive(Clone, Copy, Debug)]
pub struct PromptInput {
    /// The number of different beginnings.
    pub kinds: u64,
    /// The beginnings that an engine caches.
    pub cached: usize,
    /// The steps that a prompt takes the place of in a batch; one where its beginning is cached.
    pub weight: usize,
    /// How late cache events come.
    pub lag: Duration,
    /// Cache events that are lost, in percent.
    pub lost_percent: u64,
}

/// What a run gave.
#[derive(Clone, Debug, Default)]
pub struct ModelOutput {
    /// Tokens a second after the warm-up.
    pub token_rate: f64,
    /// Times to the first token after the warm-up, in microseconds, sorted.
    pub first_token: Vec<u64>,
    /// Times between tokens after the warm-up, in microseconds, sorted.
    pub between_tokens: Vec<u64>,
    /// Prompts run by engines, and those of them whose beginning was cached.
    pub prompts: (u64, u64),
    /// Streams begun on each target.
    pub streams: BTreeMap<TargetId, u64>,
}

impl ModelOutput {
    /// The value that `percent` in a hundred of the sorted samples stay below.
    pub fn percentile(samples: &[u64], percent: usize) -> u64 {
        if samples.is_empty() {
            return 0;
        }
        samples[(samples.len() - 1) * percent / 100]
    }
}

#[derive(Debug)]
enum Occurrence {
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
    step: u64,
    link: u64,
    queue: VecDeque<usize>,
    running: Vec<usize>,
    streams: u32,
    cache: VecDeque<u64>,
    events: u64,
}

#[derive(Debug)]
struct Stream {
    instance: usize,
    prompt: u64,
    chain: Vec<usize>,
    stage: usize,
    made: u32,
    found: bool,
    sent: u64,
    last: u64,
}

/// The state of a run.
pub struct BatchModel {
    input: ModelInput,
    decisions: DecisionSet,
    tables: Vec<TargetTable>,
    engines: Vec<Engine>,
    streams: Vec<Stream>,
    /// Streams under way at each instance.
    active: Vec<u32>,
    agenda: BinaryHeap<Reverse<(u64, u64)>>,
    occurrences: BTreeMap<u64, Occurrence>,
    planned: u64,
    now: u64,
    /// Arrivals and prompts, the same whatever is decided.
    load_draws: DrawSource,
    /// All else.
    draws: DrawSource,
    counted: u64,
    output: ModelOutput,
}

impl BatchModel {
    /// Runs the model under a set of decisions.
    pub fn run(input: ModelInput, decisions: DecisionSet) -> ModelOutput {
        let mut model = Self::new(input, decisions);
        for instance in 0..model.input.instances {
            model.plan_arrival(instance);
            if model.input.exchange {
                model.plan(1_000_000, Occurrence::Exchange { instance });
            }
        }
        for engine in 0..model.engines.len() {
            let offset = model.draws.below(model.input.report_every.as_micros() as u64);
            model.plan(offset, Occurrence::Measure { engine });
        }
        let end = model.input.duration.as_micros() as u64;
        while let Some(Reverse((at, number))) = model.agenda.pop() {
            if at > end {
                break;
            }
            model.now = at;
            let occurrence = model.occurrences.remove(&number);
            occurrence.into_iter().for_each(|occurrence| model.take(occurrence));
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
                step: step_time.as_micros() as u64,
                link: handoff * 1_000_000 / link_bytes_per_second,
                queue: VecDeque::new(),
                running: Vec::new(),
                streams: 0,
                cache: VecDeque::new(),
                events: 0,
            })
        });
        Self {
            tables: vec![table; input.instances],
            engines: engines.collect(),
            streams: Vec::new(),
            active: vec![0; input.instances],
            agenda: BinaryHeap::new(),
            occurrences: BTreeMap::new(),
            planned: 0,
            now: 0,
            load_draws: DrawSource::new(input.seed),
            draws: DrawSource::new(input.seed ^ u64::MAX),
            counted: 0,
            output: ModelOutput::default(),
            input,
            decisions,
        }
    }

    fn finish(mut self) -> ModelOutput {
        let counted_for = self.input.duration - self.input.warm_up;
        self.output.token_rate = self.counted as f64 / counted_for.as_secs_f64();
        self.output.first_token.sort_unstable();
        self.output.between_tokens.sort_unstable();
        self.output
    }

    fn plan(&mut self, after: u64, occurrence: Occurrence) {
        self.planned += 1;
        self.agenda.push(Reverse((self.now + after, self.planned)));
        self.occurrences.insert(self.planned, occurrence);
    }

    fn plan_arrival(&mut self, instance: usize) {
        let mean = self.input.instances as f64 * 1_000_000.0 / self.input.rate;
        let after = self.load_draws.exponential(mean);
        self.plan(after, Occurrence::Arrival(instance));
    }

    fn take(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Arrival(instance) => {
                self.plan_arrival(instance);
                self.begin_stream(instance);
            }
            Occurrence::StepArrival { stream } => {
                let engine = self.engine_of(stream);
                self.engines[engine].queue.push_back(stream);
                self.begin_batch(engine);
            }
            Occurrence::BatchEnd { engine } => {
                let done = std::mem::take(&mut self.engines[engine].running);
                let link = self.link_time(engine);
                for stream in done {
                    self.plan(link / 2, Occurrence::Answer { stream });
                }
                self.begin_batch(engine);
            }
            Occurrence::Answer { stream } => self.take_answer(stream),
            Occurrence::Measure { engine } => self.measure(engine),
            Occurrence::Report { engine, load, streams, measured } => {
                self.take_report(engine, load, streams, measured);
            }
            Occurrence::Exchange { instance } => self.exchange(instance),
            Occurrence::CacheEvent { engine, event } => {
                let target = &self.engines[engine].target;
                let incarnation = SmolStr::new_static("run-1");
                for table in &mut self.tables {
                    table.prefixes.note_events(target, &incarnation, &[event]);
                }
            }
        }
    }

    fn begin_stream(&mut self, instance: usize) {
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
            made: 0,
            found: false,
            sent: self.now,
            last: self.now,
        };
        self.streams.push(stream);
        self.send_step(self.streams.len() - 1);
    }

    fn send_step(&mut self, stream: usize) {
        let engine = self.engine_of(stream);
        self.streams[stream].sent = self.now;
        let table = &mut self.tables[self.streams[stream].instance];
        table.advance(Moment(self.now));
        table.note_sent(&self.engines[engine].target);
        let link = self.link_time(engine);
        self.plan(link / 2, Occurrence::StepArrival { stream });
    }

    fn begin_batch(&mut self, engine: usize) {
        let engine_row = &self.engines[engine];
        if !engine_row.running.is_empty() || engine_row.queue.is_empty() {
            return;
        }
        self.fill_batch(engine);
        let step = self.engines[engine].step;
        self.plan(step, Occurrence::BatchEnd { engine });
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
            Some(prompts) if row.made == 0 && !cached => prompts.weight,
            _ => 1,
        }
    }

    /// Puts the beginning of a stream's prompt into the engine's cache; the oldest goes.
    fn run_prompt(&mut self, engine: usize, stream: usize) {
        let row = &self.streams[stream];
        let Some(prompts) = self.input.prompts.filter(|_| row.made == 0) else { return };
        let prompt = row.prompt;
        let cache = &mut self.engines[engine].cache;
        let before = cache.len();
        cache.retain(|cached| *cached != prompt);
        let found = cache.len() < before;
        cache.push_back(prompt);
        let evicted = if cache.len() > prompts.cached { cache.pop_front() } else { None };
        self.streams[stream].found = found;
        self.output.prompts.0 += 1;
        self.output.prompts.1 += u64::from(found);
        if !found {
            self.plan_event(engine, prompt, true, prompts);
        }
        if let Some(evicted) = evicted {
            self.plan_event(engine, evicted, false, prompts);
        }
    }

    fn plan_event(&mut self, engine: usize, prefix: u64, stored: bool, prompts: PromptInput) {
        let number = self.engines[engine].events;
        self.engines[engine].events += 1;
        if self.draws.below(100) >= prompts.lost_percent {
            let event = PrefixEvent { number, prefix, stored };
            let lag = prompts.lag.as_micros() as u64;
            self.plan(lag, Occurrence::CacheEvent { engine, event });
        }
    }

    /// Some beginnings are much more frequent than others.
    fn draw_prompt(&mut self) -> u64 {
        let Some(prompts) = self.input.prompts else { return 0 };
        let fraction = self.load_draws.fraction();
        (fraction * fraction * prompts.kinds as f64) as u64
    }

    fn take_answer(&mut self, stream: usize) {
        let engine = self.engine_of(stream);
        let now = self.now;
        let row = &mut self.streams[stream];
        let took = Duration::from_micros(now - row.sent);
        self.tables[row.instance].note_ended(&self.engines[engine].target, Some(took), Moment(now));
        if row.made == 0 && self.input.prompts.is_some() {
            let index = &mut self.tables[row.instance].prefixes;
            let target = &self.engines[engine].target;
            index.note_found(target, &[row.prompt], usize::from(row.found));
            index.note_sent(target, &[row.prompt]);
        }
        row.stage += 1;
        if row.stage == row.chain.len() {
            self.take_token(stream);
        }
        if self.streams[stream].made < self.input.tokens {
            self.send_step(stream);
        }
    }

    fn take_token(&mut self, stream: usize) {
        let row = &mut self.streams[stream];
        row.stage = 0;
        row.made += 1;
        let took = self.now - row.last;
        row.last = self.now;
        if self.now >= self.input.warm_up.as_micros() as u64 {
            self.counted += 1;
            let first = row.made == 1;
            let samples = match first {
                true => &mut self.output.first_token,
                false => &mut self.output.between_tokens,
            };
            samples.push(took);
        }
        if row.made == self.input.tokens {
            self.active[row.instance] -= 1;
            let table = &mut self.tables[row.instance];
            for engine in &row.chain {
                self.engines[*engine].streams -= 1;
                table.note_unassigned(&self.engines[*engine].target);
            }
        }
    }

    fn measure(&mut self, engine: usize) {
        let row = &self.engines[engine];
        let load = (row.queue.len() + row.running.len()) as u32;
        let streams = row.streams;
        let measured = Moment(self.now);
        let lag = self.input.report_lag.as_micros() as u64;
        self.plan(lag, Occurrence::Report { engine, load, streams, measured });
        let every = self.input.report_every.as_micros() as u64;
        self.plan(every, Occurrence::Measure { engine });
    }

    fn take_report(&mut self, engine: usize, load: u32, streams: u32, measured: Moment) {
        let row = &self.engines[engine];
        let step_time = Duration::from_micros(row.step);
        let incarnation = SmolStr::new_static("run-1");
        let report = ReportedLoad { incarnation, load, streams, step_time, measured };
        for table in &mut self.tables {
            table.note_report(&row.target, report.clone(), Moment(self.now));
        }
    }

    fn exchange(&mut self, instance: usize) {
        let now = Moment(self.now);
        for _ in 0..2 {
            let peer = self.draws.below(self.tables.len() as u64) as usize;
            for engine in &self.engines {
                let row = &self.tables[instance].rows[&engine.target];
                let observed = row.link.own_excess(row.expected_step(), now);
                let told = self.tables[peer].rows.get_mut(&engine.target);
                if let (Some((excess, at)), Some(row)) = (observed, told) {
                    row.link.note_peer_observation(excess, at);
                }
            }
        }
        self.plan(1_000_000, Occurrence::Exchange { instance });
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
        row.link * slow.map_or(1, |(_, _, factor)| *factor)
    }
}
