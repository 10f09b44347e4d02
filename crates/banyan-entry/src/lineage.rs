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
use banyan_wire::engine::CancelRequest;
use banyan_wire::engine::PREFIX_TOKENS;
use banyan_wire::engine::StageActivations;
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
    inputs: Vec<StageActivations>,
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
    next_input: StageActivations,
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
        let next_input = StageActivations::from_prompt(&order.prompt, order.spec.handoff.0);
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
            self.next_input = StageActivations::from_token(&token.text, self.token, handoff);
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
        self.lineages += 1;
        self.token = 0;
        self.next_input =
            StageActivations::from_prompt(&self.order.prompt, self.order.spec.handoff.0);
        self.kept_bytes = 0;
        let name = self.order.request.to_string();
        let detail =
            format_smolstr!("lineage {}, {} tokens again", self.lineages, self.texts.len());
        self.state.journal.record(EventKind::Retried, &name, "", &detail);
        while !self.choose() {
            self.check_deadline()?;
            self.failed.clear();
            tokio::time::sleep(NO_TARGET_PAUSE).await;
        }
        Ok(())
    }

    /// Runs the step of the current token on one stage, replacing the stage's target as needed.
    async fn run_stage(
        &mut self,
        stage: usize,
        input: StageActivations,
    ) -> Result<StageVerdict, Refusal> {
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
            let order = CancelRequest { request: request.into() };
            for address in addresses {
                state.steps.cancel(address, &order).await;
            }
        });
    }
}

/// Digests of a prompt's growing prefixes, shortest first.
pub fn prefix_digests(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    let unit = BYTES_PER_TOKEN * PREFIX_TOKENS as usize;
    (1..=bytes.len() / unit).map(|count| ContentDigest::of(&bytes[..count * unit]).0).collect()
}
