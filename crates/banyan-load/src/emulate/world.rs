//! Moves engines, streams and instances on, a millisecond at a time: [`EmulatedWorld`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::format_smolstr;

use crate::emulate::engines::EngineModel;
use crate::emulate::engines::ReadingWork;
use crate::emulate::engines::StreamNumber;
use crate::emulate::fleet_file::FleetFile;
use crate::emulate::instances::DecisionKind;
use crate::emulate::instances::InstanceModel;
use crate::emulate::instances::KnownWorld;
use crate::emulate::long_prompts::usual_policy;
use crate::emulate::patterns::LoadPattern;
use crate::emulate::report::PatternTally;
use crate::emulate::report::RequestOutcome;
use banyan_core::ids::LayerRange;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::chain::RequestSize;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::fleet::FleetTable;
use banyan_core::pipeline::fleet::TargetPhase;
use banyan_core::pipeline::fleet::TargetReport;
use banyan_core::pipeline::model::PipelineModel;
use banyan_core::pipeline::placement::plan_placement;
use banyan_core::pipeline::placement_target::PlacementTarget;
use banyan_core::pipeline::prompt_order::PromptPolicy;
use banyan_core::pipeline::prompt_order::PromptRequest;
use banyan_core::pipeline::prompt_order::Urgency;
use banyan_core::pipeline::report_stamp::ReportStamp;
use banyan_core::pipeline::target_chain::TargetChain;
use banyan_core::units::Moment;
use banyan_core::units::TokenCount;
use banyan_naive::draws::DrawSource;

/// The time before the load in which layers are placed.
const LEAD_MS: u64 = 30_000;
/// The time after the load in which streams end.
const DRAIN_MS: u64 = 12_000;
/// The time between two exchanges of the instances.
const EXCHANGE_MS: u64 = 400;
/// The time between two plans of the leader.
const PLAN_MS: u64 = 250;
/// The time after which the product finds an engine that does not answer.
const PROBED_MS: u64 = 100;
/// The time after which the record of a silent engine lapses.
const LAPSE_MS: u64 = 3_600;
/// The time after which a refused caller comes back, once.
const COMEBACK_MS: u64 = 600;
/// The time after which a caller gives up a stream that gives no event.
const PATIENCE_MS: u64 = 2_000;
/// Prompts that an engine reads in turns under a pattern with long prompts.
const MIXED_TURNS: usize = 2;
/// What engines take for the urgency of a stream without one.
const USUAL_URGENCY: u8 = 5;

/// A stream from its request to its end.
#[derive(Debug)]
struct StreamModel {
    workspace: usize,
    instance: usize,
    chain: Option<Arc<TargetChain>>,
    prompt: u64,
    answer: u64,
    given: u64,
    asked_ms: u64,
    first_ms: Option<u64>,
    last_ms: u64,
    next_ms: u64,
    longest_ms: u64,
    /// Engines that still have to read the prompt, one after the other.
    unread: usize,
    urgency: u8,
    is_long: bool,
    waiting: bool,
    came_back: bool,
    moved: u32,
    ended: bool,
}

/// A deployment under a load pattern.
pub struct EmulatedWorld {
    file: FleetFile,
    model: PipelineModel,
    service: ServiceId,
    kind: DecisionKind,
    now_ms: u64,
    engines: BTreeMap<TargetId, EngineModel>,
    fleet: FleetTable,
    instances: Vec<InstanceModel>,
    streams: Vec<StreamModel>,
    /// Streams that have not ended.
    open: Vec<StreamNumber>,
    /// Callers that were refused, by the time at which they come back.
    returning: BTreeMap<u64, Vec<(usize, u64, u64)>>,
    silent: BTreeMap<TargetId, u64>,
    draws: DrawSource,
    tally: PatternTally,
    /// How the routes differ, under a pattern with long prompts.
    policy: Option<Arc<PromptPolicy>>,
    /// Requests that callers sent for the first time.
    arrivals: u64,
}

impl EmulatedWorld {
    /// A deployment whose engines are empty.
    pub fn new(file: FleetFile, kind: DecisionKind, seed: u64) -> Self {
        let model = file.pipeline_model();
        let mut engines = BTreeMap::new();
        for entry in &file.engines {
            for index in 0..entry.count {
                let id = format_smolstr!("{}-{}-{index}", entry.zone, entry.kind);
                let id: TargetId = id.parse().expect("a valid name");
                let zone = entry.zone.parse().expect("a valid name");
                engines.insert(id.clone(), EngineModel::new(id, zone, entry.kind.clone(), 1));
            }
        }
        let mut zones: Vec<_> = file.engines.iter().map(|entry| entry.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        let instance = |index: usize| {
            let id = format_smolstr!("front-{index}").parse().expect("a valid name");
            InstanceModel::new(id, zones[index % zones.len()].parse().expect("a valid name"))
        };
        let instances = (0..file.instances).map(instance).collect();
        let tally = PatternTally::new(file.traffic.workspaces);
        Self {
            model,
            service: "engines".parse().expect("a valid name"),
            kind,
            now_ms: 0,
            engines,
            fleet: FleetTable::default(),
            instances,
            streams: Vec::new(),
            open: Vec::new(),
            returning: BTreeMap::new(),
            silent: BTreeMap::new(),
            draws: DrawSource::new(seed),
            tally,
            policy: None,
            arrivals: 0,
            file,
        }
    }

    /// Plays a pattern to its end.
    pub fn play(mut self, pattern: &LoadPattern) -> PatternTally {
        if pattern.long.is_some() {
            self.policy = Some(usual_policy(&self.file.traffic));
            self.engines.values_mut().for_each(|engine| engine.turns = MIXED_TURNS);
        }
        while self.now_ms < LEAD_MS {
            self.advance();
        }
        let mut due = 0.0;
        while self.now_ms < LEAD_MS + pattern.length_ms {
            let at = self.now_ms - LEAD_MS;
            for fault in pattern.faults.iter().filter(|fault| fault.at_ms == at) {
                self.crash(fault.zone_index, fault.back_after_ms);
            }
            due += self.file.traffic.per_s * pattern.factor(at) / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                self.arrive(pattern, at);
            }
            self.advance();
        }
        for _ in 0..DRAIN_MS {
            self.advance();
        }
        self.tally
    }

    fn now(&self) -> Moment {
        Moment(self.now_ms * 1_000)
    }

    /// One more millisecond.
    fn advance(&mut self) {
        self.now_ms += 1;
        if self.now_ms.is_multiple_of(EXCHANGE_MS) {
            self.exchange();
        }
        self.notice_silence();
        if self.now_ms.is_multiple_of(PLAN_MS) {
            self.plan();
        }
        if let Some(callers) = self.returning.remove(&self.now_ms) {
            for (workspace, prompt, answer) in callers {
                self.request(workspace, prompt, answer, true);
            }
        }
        self.advance_engines();
        self.advance_streams();
    }

    fn advance_engines(&mut self) {
        let loads = self.engines.values().filter(|engine| engine.loading.is_some()).count();
        let pace = (f64::from(self.model.loads_at_once) / loads.max(1) as f64).min(1.0);
        let now_ms = self.now_ms;
        let mut read = Vec::new();
        let mut changed = Vec::new();
        for engine in self.engines.values_mut() {
            let before = (engine.held, engine.alive);
            read.extend(engine.advance(now_ms, pace));
            if before != (engine.held, engine.alive) {
                changed.push(engine.id.clone());
            }
        }
        for id in changed {
            self.list(&id);
        }
        for stream in read {
            self.note_read(stream);
        }
    }

    /// Writes an engine's record as the instances read it.
    fn list(&mut self, id: &TargetId) {
        let engine = &self.engines[id];
        let report = TargetReport {
            service: self.service.clone(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: engine.zone.clone(),
            phase: TargetPhase::Ready,
            slots: u32::MAX,
            kind: Some(engine.kind.clone()),
            held: engine.held.into_iter().collect(),
            stamp: ReportStamp::default(),
        };
        self.silent.remove(id);
        self.fleet.apply(FleetChange::Reported(id.clone(), report), Moment(self.now_ms * 1_000));
    }

    fn crash(&mut self, zone_index: usize, back_after_ms: Option<u64>) {
        let zones: Vec<_> = {
            let mut zones: Vec<_> = self.engines.values().map(|engine| &engine.zone).collect();
            zones.sort();
            zones.dedup();
            zones.into_iter().cloned().collect()
        };
        let zone = &zones[zone_index % zones.len()];
        let holds = |engine: &&mut EngineModel| engine.zone == *zone && engine.held.is_some();
        let back_ms = back_after_ms.map(|after| self.now_ms + after);
        if let Some(engine) = self.engines.values_mut().find(holds) {
            engine.crash(back_ms);
            self.silent.insert(engine.id.clone(), self.now_ms);
        }
    }

    /// Takes silent engines out: after a probe with the product's decisions, when the record lapses
    /// with the naive ones.
    fn notice_silence(&mut self) {
        let limit = match self.kind {
            DecisionKind::Product | DecisionKind::Unordered => PROBED_MS,
            DecisionKind::Naive => LAPSE_MS,
        };
        let found: Vec<TargetId> = self
            .silent
            .iter()
            .filter(|(_, since)| **since + limit == self.now_ms)
            .map(|(id, _)| id.clone())
            .collect();
        let now = self.now();
        for id in found {
            self.fleet.apply(FleetChange::Removed(id.clone()), now);
            self.move_streams(&id);
        }
    }

    /// Sends the streams of a lost engine to other chains.
    fn move_streams(&mut self, lost: &TargetId) {
        for number in self.open.clone() {
            let stream = &self.streams[number];
            let uses = |chain: &Arc<TargetChain>| chain.uses_any(std::slice::from_ref(lost));
            if stream.chain.as_ref().is_some_and(uses) {
                self.release(number);
                self.streams[number].moved += 1;
                if !self.send(number, std::slice::from_ref(lost)) {
                    self.end(number, RequestOutcome::Broken);
                }
            }
        }
    }

    fn plan(&mut self) {
        let mut targets = Vec::new();
        for engine in self.engines.values().filter(|engine| !self.silent.contains_key(&engine.id)) {
            let kind = &self.model.kinds[&engine.kind];
            targets.push(PlacementTarget {
                id: engine.id.clone(),
                zone: engine.zone.clone(),
                memory: kind.memory,
                step_time_permille: (kind.step_factor * 1_000.0) as u64,
                range: engine.loading.map(|(range, _)| range).or(engine.held),
                load: engine.used as u64,
                busy: engine.loading.is_some(),
            });
        }
        for order in plan_placement(&self.model, &targets) {
            let load_ms = self.load_ms(&order.target, order.range);
            let engine = self.engines.get_mut(&order.target).expect("a planned engine");
            engine.place(order.range, load_ms);
            self.list(&order.target);
        }
    }

    /// The time to load what an engine does not hold yet.
    fn load_ms(&self, id: &TargetId, range: LayerRange) -> f64 {
        let kept = self.engines[id].held.and_then(|held| held.overlap(range));
        let kept = kept.map_or(0, LayerRange::count);
        self.model.load_time_of(range.count() - kept).as_secs_f64() * 1e3
    }

    fn exchange(&mut self) {
        let now = self.now();
        let digests: Vec<_> =
            self.instances.iter().map(|one| (one.id.clone(), one.digest())).collect();
        for instance in &mut self.instances {
            for (peer, digest) in digests.iter().filter(|(peer, _)| *peer != instance.id) {
                instance.peers.record_peer(peer.clone(), digest.clone(), Vec::new(), now);
            }
            instance.loads.set_baseline();
        }
    }

    fn arrive(&mut self, pattern: &LoadPattern, at_ms: u64) {
        let workspaces = self.file.traffic.workspaces as u64;
        let large = self.draws.below(2) == 0;
        let workspace = if large { 0 } else { self.draws.below(workspaces) as usize };
        let prompt = 1 + self.draws.below(2 * self.file.traffic.prompt_tokens);
        let answer = 2 + self.draws.below(2 * self.file.traffic.answer_tokens);
        self.arrivals += 1;
        let long = pattern.long.filter(|long| long.is_long(self.arrivals, at_ms));
        match long {
            Some(long) if long.times == 0 => {}
            Some(long) => {
                // Long prompts vary less than short ones, so that the lengths do not overlap.
                let usual = self.file.traffic.prompt_tokens;
                self.request(workspace, usual * long.times + prompt, answer, false);
            }
            None => self.request(workspace, prompt, answer, false),
        }
    }

    fn request(&mut self, workspace: usize, prompt: u64, answer: u64, came_back: bool) {
        if !came_back {
            self.tally.asked(workspace, self.now_ms - LEAD_MS);
        }
        let instance = self.draws.below(self.instances.len() as u64) as usize;
        let number = self.streams.len();
        self.streams.push(StreamModel {
            workspace,
            instance,
            chain: None,
            prompt,
            answer,
            given: 0,
            asked_ms: self.now_ms,
            first_ms: None,
            last_ms: self.now_ms,
            next_ms: 0,
            longest_ms: 0,
            unread: 0,
            urgency: USUAL_URGENCY,
            is_long: prompt > 2 * self.file.traffic.prompt_tokens,
            waiting: false,
            came_back,
            moved: 0,
            ended: false,
        });
        self.open.push(number);
        self.instances[instance].note_prompt(TokenCount(prompt));
        if self.send(number, &[]) {
            return;
        }
        self.end(number, RequestOutcome::Refused);
        if !came_back {
            let at = self.now_ms + COMEBACK_MS + self.draws.below(COMEBACK_MS);
            self.returning.entry(at).or_default().push((workspace, prompt, answer));
        }
    }

    /// Chooses a chain for a stream and begins to read its prompt there.
    fn send(&mut self, number: StreamNumber, avoided: &[TargetId]) -> bool {
        let now = self.now();
        let stream = &self.streams[number];
        let prompt = stream.prompt + stream.given;
        let size = RequestSize {
            prompt: TokenCount(prompt),
            total: TokenCount(stream.prompt + self.file.traffic.answer_tokens),
        };
        let instance = &mut self.instances[stream.instance];
        let known = KnownWorld {
            kind: self.kind,
            model: &self.model,
            service: &self.service,
            fleet: &self.fleet,
            policy: self.policy.as_ref(),
        };
        let choice = instance.choose(&known, size, avoided, now);
        let Some(choice) = choice else { return false };
        instance.lease(&choice.chain, size.total, true);
        let request = PromptRequest {
            prompt: size.prompt,
            priority: 0,
            latency_target: Duration::from_millis(self.file.traffic.first_event_ms),
            waited: Duration::from_millis(self.now_ms - stream.asked_ms),
            resuming: stream.first_ms.is_some(),
        };
        let urgency = self.policy.as_ref().and_then(|_| instance.urgency(&request, &choice));
        let urgency = urgency.map_or(USUAL_URGENCY, Urgency::level);
        let stream = &mut self.streams[number];
        stream.chain = Some(choice.chain);
        stream.urgency = urgency;
        stream.waiting = true;
        self.admit(number);
        true
    }

    /// Begins to read a prompt if every engine of the chain has room for it.
    fn admit(&mut self, number: StreamNumber) {
        let stream = &self.streams[number];
        let Some(chain) = stream.chain.clone() else { return };
        let tokens = stream.prompt + stream.given;
        let fits = chain.parts.iter().all(|part| {
            let used = self.engines[&part.target].used;
            used + (tokens * u64::from(part.range.count())) as f64 <= part.token_layers as f64
        });
        if !fits {
            return;
        }
        for part in &chain.parts {
            let engine = self.engines.get_mut(&part.target).expect("an engine of a chain");
            engine.used += (tokens * u64::from(part.range.count())) as f64;
            self.instances[stream.instance]
                .loads
                .add_pending_prefill(&part.target, TokenCount(tokens));
        }
        let stream = &mut self.streams[number];
        stream.waiting = false;
        stream.unread = chain.parts.len();
        self.read_next(number);
    }

    /// Lets the next engine of a stream's chain read its prompt.
    fn read_next(&mut self, number: StreamNumber) {
        let stream = &self.streams[number];
        let Some(chain) = &stream.chain else { return };
        let part = &chain.parts[chain.parts.len() - stream.unread];
        let tokens = (stream.prompt + stream.given) as f64;
        let left_ms = part.prefill_time.as_secs_f64() * 1e3 * tokens;
        let engine = self.engines.get_mut(&part.target).expect("an engine of a chain");
        engine.queue(ReadingWork { stream: number, left_ms, urgency: stream.urgency });
    }

    fn note_read(&mut self, number: StreamNumber) {
        let stream = &mut self.streams[number];
        stream.unread = stream.unread.saturating_sub(1);
        if stream.ended {
            return;
        }
        if stream.unread > 0 {
            self.read_next(number);
            return;
        }
        let Some(chain) = stream.chain.clone() else { return };
        let tokens = TokenCount(stream.prompt + stream.given);
        stream.next_ms = self.now_ms + millis(chain.step_time).max(1);
        for part in &chain.parts {
            self.instances[stream.instance].loads.remove_pending_prefill(&part.target, tokens);
        }
    }

    fn advance_streams(&mut self) {
        let mut open = self.open.clone();
        open.sort_by_key(|number| self.streams[*number].urgency);
        for number in open {
            let stream = &self.streams[number];
            if stream.ended {
                continue;
            }
            if self.now_ms - stream.last_ms >= PATIENCE_MS {
                self.end(number, RequestOutcome::Abandoned);
            } else if stream.waiting {
                self.admit(number);
            } else if stream.unread == 0 && stream.next_ms <= self.now_ms {
                self.give_event(number);
            }
        }
        let streams = &self.streams;
        self.open.retain(|number| !streams[*number].ended);
    }

    fn give_event(&mut self, number: StreamNumber) {
        let stream = &mut self.streams[number];
        let Some(chain) = stream.chain.clone() else { return };
        if chain.parts.iter().any(|part| !self.engines[&part.target].alive) {
            return;
        }
        let stride = u64::from(self.model.timing.stride);
        match stream.first_ms {
            None => stream.first_ms = Some(self.now_ms),
            Some(_) => {
                stream.longest_ms = stream.longest_ms.max(self.now_ms - stream.last_ms);
            }
        }
        stream.last_ms = self.now_ms;
        stream.given += stride;
        stream.next_ms = self.now_ms + millis(chain.step_time * stride as u32).max(1);
        for part in &chain.parts {
            let engine = self.engines.get_mut(&part.target).expect("an engine of a chain");
            engine.used += (stride * u64::from(part.range.count())) as f64;
        }
        if stream.given >= stream.answer {
            self.end(number, RequestOutcome::Served);
        }
    }

    /// Takes a stream off its chain.
    fn release(&mut self, number: StreamNumber) {
        let stream = &mut self.streams[number];
        let Some(chain) = stream.chain.take() else { return };
        let total = TokenCount(stream.prompt + self.file.traffic.answer_tokens);
        let tokens = stream.prompt + stream.given;
        let reading = !stream.waiting && stream.unread > 0;
        let held = !stream.waiting;
        let instance = &mut self.instances[stream.instance];
        instance.lease(&chain, total, false);
        for part in &chain.parts {
            if reading {
                instance.loads.remove_pending_prefill(&part.target, TokenCount(tokens));
            }
            let engine = self.engines.get_mut(&part.target).expect("an engine of a chain");
            engine.reading.retain(|work| work.stream != number);
            if held {
                let freed = (tokens * u64::from(part.range.count())) as f64;
                engine.used = (engine.used - freed).max(0.0);
            }
        }
        stream.unread = 0;
    }

    fn end(&mut self, number: StreamNumber, outcome: RequestOutcome) {
        self.release(number);
        let stream = &mut self.streams[number];
        stream.ended = true;
        let late = |limit: u64, took: u64| took > limit;
        let first = stream.first_ms.map_or(u64::MAX, |first| first - stream.asked_ms);
        let on_time = !late(self.file.traffic.first_event_ms, first)
            && !late(self.file.traffic.pause_ms, stream.longest_ms);
        let outcome = match outcome {
            RequestOutcome::Served if stream.came_back => RequestOutcome::Returned,
            RequestOutcome::Served if !on_time => RequestOutcome::Late,
            other => other,
        };
        self.tally.note(stream.workspace, stream.asked_ms - LEAD_MS, outcome);
        if outcome == RequestOutcome::Abandoned && stream.first_ms.is_some() {
            self.tally.moved_pause(self.now_ms - stream.last_ms);
        } else if stream.moved > 0 {
            self.tally.moved_pause(stream.longest_ms);
        }
        if first != u64::MAX {
            self.tally.first_event(first);
        }
        self.tally.prompt(stream.is_long, (first != u64::MAX).then_some(first), outcome);
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
