//! Runs one answer over a chain of engines: [`LineageRun`].
//!
//! Each token passes through the stages in order. The entry keeps the inputs of every stage, so
//! that a stage that dies in the middle of a token is replaced without running the earlier stages
//! again: the replacement rebuilds its cache from the kept inputs and runs the step.

mod chain;
mod step;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::refusal::Refusal;
use crate::state::EntryState;
use crate::steps::StepAnswer;
use banyan_core::declaration::ModelSpec;
use banyan_core::event::EventKind;
use banyan_core::ids::ModelId;
use banyan_core::ids::RequestId;
use banyan_core::ids::TargetId;
use banyan_core::ids::WorkspaceId;
use banyan_core::record::ContentDigest;
use banyan_core::serving::choice::StageChoice;
use banyan_core::units::Moment;
use banyan_wire::engine::CancelOrder;
use banyan_wire::engine::HandOff;
use banyan_wire::engine::PREFIX_TOKENS;
use banyan_wire::engine::TokenWire;

/// Targets tried for one step before the answer is given up.
const TARGETS_PER_STEP: u32 = 6;
/// The pause before another look for a usable target.
const NO_TARGET_PAUSE: Duration = Duration::from_millis(100);
/// The number of prompt bytes that one modelled token stands for.
const BYTES_PER_TOKEN: usize = 4;

/// What an answer is asked for.
#[derive(Clone, Debug)]
pub struct AnswerOrder {
    /// The request.
    pub request: RequestId,
    /// On whose behalf.
    pub workspace: WorkspaceId,
    /// The workspace's priority.
    pub priority: u8,
    /// The model.
    pub model: ModelId,
    /// What is declared of it.
    pub spec: ModelSpec,
    /// The prompt.
    pub prompt: String,
    /// The digest of model and prompt.
    pub content: ContentDigest,
    /// The most tokens to answer with.
    pub max_tokens: u64,
    /// When the answer must have ended.
    pub deadline: Moment,
}

/// One stage of a running answer.
#[derive(Clone, Debug)]
struct RunningStage {
    choice: StageChoice,
    /// The lineage of its steps.
    lineage: u32,
    /// The inputs of the stage so far, one a token. Invariant: at most one more than the tokens
    /// that the stage has answered.
    inputs: Vec<HandOff>,
}

/// An answer under way.
#[derive(Debug)]
pub struct LineageRun {
    state: Arc<EntryState>,
    order: AnswerOrder,
    /// The lineages begun after the first one, so that none mixes with an older one on its target.
    lineages: u32,
    stages: Vec<RunningStage>,
    prefixes: Vec<u64>,
    /// Targets that failed this answer and are not tried again for it.
    failed: BTreeSet<TargetId>,
    /// Every target that may keep state of this request.
    touched: BTreeSet<TargetId>,
    /// The target that has a step of this answer under way.
    running_on: Option<TargetId>,
    /// The stage and token of the step in which a target crashed, until it has run elsewhere.
    crashed_in: Option<(usize, u64)>,
    /// The token that is run now, or next.
    token: u64,
    /// The input of the first stage for that token.
    next_input: HandOff,
    /// The tokens of the answer so far. Invariant: at least `token` of them; more while a new
    /// lineage runs again what an earlier one made.
    texts: Vec<SmolStr>,
    /// The size of all kept inputs, in bytes; over a limit none are kept.
    kept_bytes: u64,
}

/// What became of a step, over all targets tried.
enum StageVerdict {
    /// It ran.
    Answered(StepAnswer),
    /// Its stage cannot go on: the answer begins anew on another chain.
    Restart,
}

/// What became of a step on one target.
enum StepVerdict {
    /// It ran.
    Answered(StepAnswer),
    /// The target is given up for this answer.
    GiveUp(SmolStr),
    /// The target does not take part at present; another is to be found.
    Unwilling(SmolStr),
}

impl LineageRun {
    /// Chooses a chain for an answer. Nothing is sent yet.
    pub fn start(state: Arc<EntryState>, order: AnswerOrder) -> Result<Self, Refusal> {
        let prefixes = prefix_digests(&order.prompt);
        let next_input = HandOff::from_prompt(&order.prompt, order.spec.handoff.0);
        let mut run = Self {
            state,
            order,
            lineages: 0,
            stages: Vec::new(),
            prefixes,
            failed: BTreeSet::new(),
            touched: BTreeSet::new(),
            running_on: None,
            crashed_in: None,
            token: 0,
            next_input,
            texts: Vec::new(),
            kept_bytes: 0,
        };
        if !run.choose() {
            let what = SmolStr::new(run.order.model.as_str());
            return Err(Refusal::NoTarget { what, retry_after: Duration::from_secs(1) });
        }
        Ok(run)
    }

    /// Runs the next token through all stages.
    pub async fn next_token(&mut self) -> Result<TokenWire, Refusal> {
        loop {
            let Some(token) = self.run_token().await? else {
                self.begin_lineage().await?;
                continue;
            };
            let handoff = self.order.spec.handoff.0;
            self.next_input = HandOff::from_token(&token.text, self.token, handoff);
            let known = self.texts.get(self.token as usize).cloned();
            self.token += 1;
            match known {
                None => {
                    self.texts.push(token.text.clone());
                    return Ok(token);
                }
                Some(text) if text == token.text => {}
                // What the caller has cannot be taken back, and must not be mixed with this.
                Some(_) => return Err(Refusal::Cut("the answer came out differently".to_owned())),
            }
        }
    }

    /// Runs the current token through all stages; nothing where the answer has to begin anew.
    async fn run_token(&mut self) -> Result<Option<TokenWire>, Refusal> {
        let mut input = self.next_input;
        let mut token = None;
        for stage in 0..self.stages.len() {
            match self.run_stage(stage, input).await? {
                StageVerdict::Answered(answer) => {
                    input = answer.output;
                    token = answer.token;
                }
                StageVerdict::Restart => return Ok(None),
            }
        }
        match token {
            Some(token) => Ok(Some(token)),
            None => Err(Refusal::Cut("the last stage gave no token".to_owned())),
        }
    }

    /// Begins the answer anew as another lineage, on a chain chosen now or as soon as there is one.
    async fn begin_lineage(&mut self) -> Result<(), Refusal> {
        self.release_stages();
        self.lineage += 1;
        self.token = 0;
        self.next_input = HandOff::from_prompt(&self.order.prompt, self.order.spec.handoff.0);
        self.kept_bytes = 0;
        let name = self.order.request.to_string();
<<<<<<< HEAD
        let detail = format_smolstr!("lineage {}, {} tokens again", self.lineage, self.texts.len());
        self.state.journal.record(EventKind::Retried, &name, "", &detail);
        while !self.choose() {
            self.check_deadline()?;
            self.failed.clear();
            tokio::time::sleep(NO_TARGET_PAUSE).await;
=======
        self.state.journal.record(EventKind::Routed, &name, "", &names.join(" > "));
        let stage = |choice| RunningStage { choice, lineage: 0, inputs: Vec::new() };
        self.stages = chain.into_iter().map(stage).collect();
        true
    }

    /// The targets that may not be chosen: those that failed this answer and, for a suspect, those
    /// that have another suspect right now.
    fn excluded(&self, tables: &EntryTables) -> BTreeSet<TargetId> {
        let mut excluded = self.failed.clone();
        if tables.suspects.is_suspect(self.order.content) {
            excluded.extend(tables.suspects.occupied(self.order.content));
        }
        excluded
    }

    fn query<'a>(&'a self, excluded: &'a BTreeSet<TargetId>, draw: u64) -> ChainQuery<'a> {
        ChainQuery {
            model: &self.order.model,
            layers: self.order.spec.layers,
            handoff: self.order.spec.handoff,
            zone: &self.state.settings.zone,
            prefixes: &self.prefixes,
            excluded,
            draw,
>>>>>>> part-f
        }
        Ok(())
    }

    /// Runs the step of the current token on one stage, replacing the stage's target as needed.
    async fn run_stage(&mut self, stage: usize, input: HandOff) -> Result<StageVerdict, Refusal> {
        self.keep_input(stage, input);
        let mut rebuild = false;
        let mut given_up = 0;
        while given_up < TARGETS_PER_STEP {
            match self.try_target(stage, rebuild).await? {
                StepVerdict::Answered(answer) => {
                    self.note_survived(stage);
                    return Ok(StageVerdict::Answered(answer));
                }
                StepVerdict::GiveUp(reason) => {
                    let target = self.stages[stage].choice.target.clone();
                    log::info!(
                        "steps: Request {} gives up {target}: {reason}.",
                        self.order.request
                    );
                    self.failed.insert(target);
                    given_up += 1;
                }
                StepVerdict::Unwilling(reason) => {
                    log::debug!("steps: Request {} moves on: {reason}.", self.order.request);
                }
            }
            if !self.state.decisions.replace_stages {
                return Err(Refusal::Cut("a target failed".to_owned()));
            }
            if !self.replace(stage).await? {
                return Ok(StageVerdict::Restart);
            }
            rebuild = true;
        }
        Err(Refusal::Cut("too many targets failed in a row".to_owned()))
    }
<<<<<<< HEAD
=======

    /// Tries the current step on the stage's target.
    async fn try_target(&mut self, stage: usize, rebuild: bool) -> Result<StepVerdict, Refusal> {
        let mut rebuild = rebuild;
        let mut renewed = false;
        let mut tries = 0;
        let mut overdue_turns = 0;
        loop {
            self.check_deadline()?;
            self.check_quarantine()?;
            let target = self.stages[stage].choice.target.clone();
            match self.send(stage, rebuild, overdue_turns).await? {
                Ok(answer) => return Ok(StepVerdict::Answered(answer)),
                Err(StepError::Refused(StepRefusal::Lineage { .. })) if !rebuild => rebuild = true,
                Err(StepError::Refused(StepRefusal::Lineage { expected: Some(_) })) if !renewed => {
                    // It served this stage before and missed the tokens that another ran since.
                    renewed = true;
                    self.lineages += 1;
                    self.stages[stage].lineage = self.lineages;
                    self.note_retry(&target, "it holds an older state of the answer");
                }
                Err(StepError::Refused(StepRefusal::Full { retry_after_ms })) => {
                    let pause = Duration::from_millis(retry_after_ms).max(FULL_PAUSE);
                    tokio::time::sleep(pause).await;
                }
                Err(StepError::Refused(StepRefusal::Late)) => {
                    return Err(Refusal::Cut("the deadline passed".to_owned()));
                }
                Err(StepError::Refused(reason)) => {
                    return Ok(StepVerdict::Unwilling(format_smolstr!("{target}: {reason:?}")));
                }
                Err(StepError::Silent) if tries + 1 < TRIES_PER_TARGET => {
                    // The same step id on a new connection: an engine that ran it answers again.
                    tries += 1;
                    self.note_retry(&target, "its connection went silent");
                }
                Err(StepError::Broken(reason)) if tries + 1 < TRIES_PER_TARGET => {
                    tries += 1;
                    self.note_retry(&target, &reason);
                }
                Err(StepError::Overdue) => {
                    // An engine that still runs the step takes the repeat for the same one.
                    overdue_turns += 1;
                    self.note_retry(&target, "its answer is overdue");
                }
                Err(StepError::Occupied) => {
                    // Suspects take turns; the one that runs there may soon be done.
                    tokio::time::sleep(FULL_PAUSE).await;
                    return Ok(StepVerdict::Unwilling(format_smolstr!("{target} has a suspect")));
                }
                Err(error) => {
                    let reason = error.to_string();
                    self.note_failure(stage, &target, &error, tries + overdue_turns > 0);
                    return Ok(StepVerdict::GiveUp(SmolStr::new(reason)));
                }
            }
        }
    }

    /// Sends the current step once; `overdue_turns` counts the times that it was overdue before.
    async fn send(
        &mut self,
        stage: usize,
        rebuild: bool,
        overdue_turns: u32,
    ) -> Result<Result<StepAnswer, StepError>, Refusal> {
        let now = self.state.now();
        let order = self.step_order(stage, rebuild, now);
        let target = self.stages[stage].choice.target.clone();
        let row = {
            let mut tables = self.state.tables();
            tables.targets.note_sent(&target);
            let silence = tables.declaration.policy.suspect_after;
            let row = tables.targets.rows.get(&target);
            row.map(|row| (row.spec.address, silence, row.latency))
        };
        let Some((address, silence, latency)) = row else {
            let reason = SmolStr::new_static("it is no longer declared");
            return Ok(Err(StepError::Connect(reason)));
        };
        let request = self.order.request.clone();
        // A step that is tried again holds its place on the target.
        if self.running_on.is_none() {
            let content = self.order.content;
            if !crashes::note_running(&self.state, &target, &request, content).await {
                self.state.tables().targets.note_ended(&target, None, now);
                return Ok(Err(StepError::Occupied));
            }
            self.running_on = Some(target.clone());
        }
        self.touched.insert(target.clone());
        let name = request.to_string();
        let detail = format_smolstr!("token {} stage {stage}", self.token);
        self.state.journal.record(EventKind::StepSent, &name, target.as_str(), &detail);
        let patience = (latency * OVERDUE_FACTOR).max(OVERDUE_FLOOR) * (1 << overdue_turns.min(6));
        let until = self.order.deadline.min(now + patience);
        let result = tokio::time::timeout_at(
            self.state.clock.instant(until),
            self.state.steps.run(&target, address, order, silence),
        );
        let result = result.await.unwrap_or(Err(StepError::Overdue));
        let ended = self.state.now();
        let took = result.is_ok().then(|| ended.since(now));
        self.state.tables().targets.note_ended(&target, took, ended);
        // A step whose connection broke is still counted as running there: the target may have
        // crashed of it, which the next try shows.
        if !matches!(result, Err(StepError::Broken(_) | StepError::Connect(_))) {
            self.note_idle();
        }
        if result.is_ok() {
            self.state.journal.record(EventKind::StepAnswered, &name, target.as_str(), &detail);
        }
        Ok(result)
    }

    fn step_order(&self, stage: usize, rebuild: bool, now: Moment) -> StepOrder {
        let running = &self.stages[stage];
        let layers: LayerRange = running.choice.layers;
        let input = running.inputs.last().copied().unwrap_or(self.next_input);
        let tokens = (self.order.prompt.len() / BYTES_PER_TOKEN + 1) as u32;
        let work = if rebuild && self.token > 0 {
            StepWork::Rebuild { inputs: running.inputs.clone(), tokens }
        } else if self.token == 0 {
            StepWork::Prompt { input, tokens, prefixes: self.prefixes.clone() }
        } else {
            StepWork::Token { input }
        };
        StepOrder {
            step: StepId {
                request: self.order.request.clone().into(),
                lineage: running.lineage,
                token: self.token,
                stage: stage as u32,
            },
            model: self.order.model.clone().into(),
            first_layer: layers.first,
            end_layer: layers.end,
            work,
            priority: self.order.priority,
            deadline_ms: self.order.deadline.since(now).as_millis() as u64,
        }
    }

    /// Finds another target for a stage's layers, waiting for one within the deadline.
    async fn replace(&mut self, stage: usize) -> Result<(), Refusal> {
        let layers = self.stages[stage].choice.layers;
        loop {
            self.check_deadline()?;
            let choice = {
                let now = self.state.now();
                let mut tables = self.state.tables();
                tables.targets.advance(now);
                let choose_stage = self.state.decisions.choose_stage;
                let draw = rand::random();
                let excluded = self.excluded(&tables);
                let choice = choose_stage(&tables.targets, &self.query(&excluded, draw), layers);
                if let Some(choice) = &choice {
                    tables.targets.note_unassigned(&self.stages[stage].choice.target);
                    tables.targets.note_assigned(&choice.target);
                }
                choice
            };
            if let Some(choice) = choice {
                self.note_replacement(stage, &choice);
                self.stages[stage].choice = choice;
                return Ok(());
            }
            // A target that failed this answer may have come back, which is better than none.
            self.failed.clear();
            tokio::time::sleep(NO_TARGET_PAUSE).await;
        }
    }

    fn note_replacement(&self, stage: usize, choice: &StageChoice) {
        metric::count_replacement();
        let dead = &self.stages[stage].choice.target;
        let detail = format_smolstr!("stage {stage}, token {}, instead of {dead}", self.token);
        let name = self.order.request.to_string();
        self.state.journal.record(EventKind::StageReplaced, &name, choice.target.as_str(), &detail);
    }

    /// Suspects a target that failed a step; `sent` says whether an earlier try reached it.
    fn note_failure(&mut self, stage: usize, target: &TargetId, error: &StepError, sent: bool) {
        let reason = error.to_string();
        match error {
            StepError::Silent => crashes::note_silence(&self.state, target, &reason),
            StepError::Connect(_) if !sent => {
                // The step never got there, so it was not under way when the target crashed.
                self.note_idle();
                crashes::note_crash(&self.state, target, &reason);
            }
            _ => {
                crashes::note_crash(&self.state, target, &reason);
                self.crashed_in = Some((stage, self.token));
            }
        }
        self.note_idle();
    }

    /// Clears the content where the very step that a target crashed in has run on another one: a
    /// content that crashes targets would have crashed that one too.
    fn note_survived(&mut self, stage: usize) {
        if self.crashed_in == Some((stage, self.token)) {
            self.crashed_in = None;
            self.state.tables().suspects.clear(self.order.content);
        }
    }

    /// Notes that no step of this answer is under way any more.
    fn note_idle(&mut self) {
        let Some(target) = self.running_on.take() else { return };
        crashes::note_idle(&self.state, &target, &self.order.request, self.order.content);
    }

    fn note_retry(&self, target: &TargetId, reason: &str) {
        metric::count_retry();
        let name = self.order.request.to_string();
        self.state.journal.record(EventKind::Retried, &name, target.as_str(), reason);
    }

    fn check_deadline(&self) -> Result<(), Refusal> {
        if self.state.now() >= self.order.deadline {
            return Err(Refusal::Cut("the deadline passed".to_owned()));
        }
        Ok(())
    }

    fn check_quarantine(&self) -> Result<(), Refusal> {
        if crashes::is_quarantined(&self.state, self.order.content) {
            return Err(Refusal::Cut("its content stops the targets that run it".to_owned()));
        }
        Ok(())
    }
>>>>>>> part-f
}

impl Drop for LineageRun {
    fn drop(&mut self) {
        self.note_idle();
        self.release_stages();
        let request = self.order.request.clone();
        let mut addresses = Vec::new();
        {
            let tables = self.state.tables();
            for target in &self.touched {
                if let Some(row) = tables.targets.rows.get(target) {
                    addresses.push(row.spec.address);
                }
            }
        }
        let state = self.state.clone();
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        runtime.spawn(async move {
            let order = CancelOrder { request: request.into() };
            for address in addresses {
                state.steps.cancel(address, &order).await;
            }
        });
    }
}

fn prefix_digests(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    let unit = BYTES_PER_TOKEN * PREFIX_TOKENS as usize;
    (1..=bytes.len() / unit).map(|count| ContentDigest::of(&bytes[..count * unit]).0).collect()
}
