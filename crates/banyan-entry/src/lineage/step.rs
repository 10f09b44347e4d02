//! One step on one target: sending it, trying it again, and what its failure says of the target.

use std::time::Duration;

use smol_str::SmolStr;
use smol_str::format_smolstr;

use super::BYTES_PER_TOKEN;
use super::LineageRun;
use super::StepVerdict;
use crate::crashes;
use crate::metric;
use crate::prefixes::note_found;
use crate::refusal::Refusal;
use crate::steps::StepAnswer;
use crate::steps::StepError;
use banyan_core::event::EventKind;
use banyan_core::ids::LayerRange;
use banyan_core::ids::TargetId;
use banyan_core::units::Moment;
use banyan_wire::engine::StageActivations;
use banyan_wire::engine::StepId;
use banyan_wire::engine::StepRefusal;
use banyan_wire::engine::StepRequest;
use banyan_wire::engine::StepWork;

/// Tries of one step on one target before the target is given up.
const TRIES_PER_TARGET: u32 = 2;
/// The least time after which an answer on a living connection is asked for again.
const OVERDUE_FLOOR: Duration = Duration::from_millis(1000);
/// The number of usual step times after which it is.
const OVERDUE_FACTOR: u32 = 8;
/// The most bytes of hand-offs that are kept for one answer, to rebuild stages from.
const KEPT_LIMIT_BYTES: u64 = 64 << 20;
/// The pause before a full engine is asked again, where it names none.
const FULL_PAUSE: Duration = Duration::from_millis(20);

impl LineageRun {
    /// Tries the current step on the stage's target.
    pub(super) async fn try_target(
        &mut self,
        stage: usize,
        rebuild: bool,
    ) -> Result<StepVerdict, Refusal> {
        let mut rebuild = rebuild;
        let mut renewed = false;
        let mut tries = 0;
        let mut overdue_turns = 0;
        loop {
            self.check_deadline()?;
            self.check_quarantine()?;
            let target = self.stages[stage].choice.target.clone();
            match self.send(stage, rebuild, overdue_turns).await? {
                Ok(answer) => {
                    if self.token == 0 {
                        note_found(&self.state, &target, &self.prefixes, answer.cached);
                    }
                    return Ok(StepVerdict::Answered(answer));
                }
                Err(StepError::Refused(StepRefusal::Lineage { .. }))
                    if !rebuild && self.is_rebuildable(stage) =>
                {
                    rebuild = true;
                }
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

    fn step_order(&self, stage: usize, rebuild: bool, now: Moment) -> StepRequest {
        let running = &self.stages[stage];
        let layers: LayerRange = running.choice.layers;
        let input = running.inputs.last().copied().unwrap_or(self.next_input);
        let tokens = self.prompt_tokens();
        let work = if rebuild && self.token > 0 {
            StepWork::Rebuild { inputs: running.inputs.clone(), tokens }
        } else if self.token == 0 {
            StepWork::Prompt { input, tokens, prefixes: self.prefixes.clone() }
        } else {
            StepWork::Token { input }
        };
        StepRequest {
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

    /// Keeps the input of a step, as long as all inputs of the answer together are not too large.
    pub(super) fn keep_input(&mut self, stage: usize, input: StageActivations) {
        let tokens = if self.token == 0 { u64::from(self.prompt_tokens()) } else { 1 };
        self.kept_bytes += input.bytes * tokens;
        if self.kept_bytes > KEPT_LIMIT_BYTES {
            self.stages[stage].inputs.clear();
        }
        self.stages[stage].inputs.push(input);
    }

    /// Whether a stage's cache can be rebuilt from its kept inputs.
    pub(super) fn is_rebuildable(&self, stage: usize) -> bool {
        self.stages[stage].inputs.len() as u64 == self.token + 1
    }

    fn prompt_tokens(&self) -> u32 {
        (self.order.prompt.len() / BYTES_PER_TOKEN + 1) as u32
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
    pub(super) fn note_survived(&mut self, stage: usize) {
        if self.crashed_in == Some((stage, self.token)) {
            self.crashed_in = None;
            self.state.tables().suspects.clear(self.order.content);
        }
    }

    /// Notes that no step of this answer is under way any more.
    pub(super) fn note_idle(&mut self) {
        let Some(target) = self.running_on.take() else { return };
        crashes::note_idle(&self.state, &target, &self.order.request, self.order.content);
    }

    fn note_retry(&self, target: &TargetId, reason: &str) {
        metric::count_retry();
        let name = self.order.request.to_string();
        self.state.journal.record(EventKind::Retried, &name, target.as_str(), reason);
    }

    pub(super) fn check_deadline(&self) -> Result<(), Refusal> {
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
}
