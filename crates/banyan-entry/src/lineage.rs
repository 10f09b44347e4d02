//! Runs one answer over a chain of engines: [`LineageRun`].
//!
//! Each token passes through the stages in order. The entry keeps the inputs of every stage, so
//! that a stage that fails in the middle of a token is replaced without running the earlier stages
//! again: the replacement rebuilds its cache from the kept inputs and runs the step. If that is not
//! possible, the answer restarts under a new lineage number.

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

/// The number of targets that may fail one step before the answer fails.
const TARGETS_PER_STEP: u32 = 6;
/// The pause between two searches for a usable target.
const NO_TARGET_PAUSE: Duration = Duration::from_millis(100);
/// The number of prompt bytes per modelled token.
const BYTES_PER_TOKEN: usize = 4;

/// A validated completion request.
#[derive(Clone, Debug)]
pub struct AnswerOrder {
    /// The request's id, which its steps and log lines carry.
    pub request: RequestId,
    /// The workspace that sent the request.
    pub workspace: WorkspaceId,
    /// The workspace's priority.
    pub priority: u8,
    /// The requested model.
    pub model: ModelId,
    /// The model's declaration when the request arrived.
    pub spec: ModelSpec,
    /// The prompt, with the roles of a chat in its lines.
    pub prompt: String,
    /// The digest of model and prompt, by which content is suspected and quarantined.
    pub content: ContentDigest,
    /// The maximum number of tokens in the answer.
    pub max_tokens: u64,
    /// The time by which the answer must be complete.
    pub deadline: Moment,
}

/// One stage of a running answer.
#[derive(Clone, Debug)]
struct RunningStage {
    choice: StageChoice,
    /// The lineage number of the stage's steps.
    lineage: u32,
    /// The inputs of the stage so far, one per token. Invariant: at most one more than the tokens
    /// that the stage has answered.
    inputs: Vec<StageActivations>,
}

/// A running answer.
#[derive(Debug)]
pub struct LineageRun {
    state: Arc<EntryState>,
    order: AnswerOrder,
    /// The newest lineage number. Each restart gets a higher one, so that a target does not mix its
    /// steps with those of an older lineage.
    lineages: u32,
    stages: Vec<RunningStage>,
    prefixes: Vec<u64>,
    /// Targets that failed this answer and are not tried again for it.
    failed: BTreeSet<TargetId>,
    /// Every target that may keep state of this request.
    contacted: BTreeSet<TargetId>,
    /// The target on which a step of this answer is running.
    running_on: Option<TargetId>,
    /// The stage and token of the step during which a target crashed, until that step has run on
    /// another target.
    crashed_in: Option<(usize, u64)>,
    /// The index of the token that is running or runs next.
    token: u64,
    /// The input of the first stage for that token.
    next_input: StageActivations,
    /// The texts of the tokens generated so far. Invariant: at least `token` of them; more while a
    /// new lineage repeats the tokens of an earlier one.
    texts: Vec<SmolStr>,
    /// The size of all kept inputs, in bytes. Over a limit, stages keep only their newest input.
    kept_bytes: u64,
}

/// The result of a step over all targets tried.
enum StageVerdict {
    /// A target ran the step.
    Answered(StepAnswer),
    /// The stage cannot continue; the answer must restart on another chain.
    Restart,
}

/// The result of a step on one target.
enum StepVerdict {
    /// The target ran the step.
    Answered(StepAnswer),
    /// The target failed and is not tried again for this answer.
    Failed(SmolStr),
    /// The target does not accept the step at present; another target is needed.
    Declined(SmolStr),
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
            contacted: BTreeSet::new(),
            running_on: None,
            crashed_in: None,
            token: 0,
            next_input,
            texts: Vec::new(),
            kept_bytes: 0,
        };
        if !run.choose_chain() {
            let what = SmolStr::new(run.order.model.as_str());
            return Err(Refusal::NoTarget { what, retry_after: Duration::from_secs(1) });
        }
        Ok(run)
    }

    /// Runs the next token through all stages.
    pub async fn next_token(&mut self) -> Result<TokenWire, Refusal> {
        loop {
            let Some(token) = self.run_token().await? else {
                self.restart().await?;
                continue;
            };
            let handoff = self.order.spec.handoff.0;
            self.next_input = StageActivations::from_token(&token.text, self.token, handoff);
            let earlier_text = self.texts.get(self.token as usize).cloned();
            self.token += 1;
            match earlier_text {
                None => {
                    self.texts.push(token.text.clone());
                    return Ok(token);
                }
                Some(text) if text == token.text => {}
                // The caller already has the earlier tokens; they must not be mixed with others.
                Some(_) => {
                    return Err(Refusal::Incomplete("the answer came out differently".to_owned()));
                }
            }
        }
    }

    /// Runs the current token through all stages; returns `None` if the answer must restart.
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
            None => Err(Refusal::Incomplete("the last stage gave no token".to_owned())),
        }
    }

    /// Restarts the answer as a new lineage, on a chain chosen now or as soon as one is usable.
    async fn restart(&mut self) -> Result<(), Refusal> {
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
        while !self.choose_chain() {
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
        let mut failed_targets = 0;
        while failed_targets < TARGETS_PER_STEP {
            match self.try_target(stage, rebuild).await? {
                StepVerdict::Answered(answer) => {
                    self.clear_suspicion(stage);
                    return Ok(StageVerdict::Answered(answer));
                }
                StepVerdict::Failed(reason) => {
                    let target = self.stages[stage].choice.target.clone();
                    log::info!(
                        "steps: Request {} stops using {target}: {reason}.",
                        self.order.request
                    );
                    self.failed.insert(target);
                    failed_targets += 1;
                }
                StepVerdict::Declined(reason) => {
                    log::debug!(
                        "steps: Request {} tries another target: {reason}.",
                        self.order.request
                    );
                }
            }
            if !self.state.decisions.replace_stages {
                return Err(Refusal::Incomplete("a target failed".to_owned()));
            }
            if !self.replace_target(stage).await? {
                return Ok(StageVerdict::Restart);
            }
            rebuild = true;
        }
        Err(Refusal::Incomplete("too many targets failed in a row".to_owned()))
    }
}

impl Drop for LineageRun {
    fn drop(&mut self) {
        self.note_step_ended();
        self.release_stages();
        let request = self.order.request.clone();
        let mut addresses = Vec::new();
        {
            let tables = self.state.tables();
            for target in &self.contacted {
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

/// The digests of a prompt's prefixes, shortest first. Each is [`PREFIX_TOKENS`] modelled tokens
/// longer than the one before.
pub fn prefix_digests(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    let unit_bytes = BYTES_PER_TOKEN * PREFIX_TOKENS as usize;
    (1..=bytes.len() / unit_bytes)
        .map(|count| ContentDigest::of(&bytes[..count * unit_bytes]).0)
        .collect()
}
