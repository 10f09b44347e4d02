//! Runs one step on one target: sends it, retries it and decides whether its failure counts
//! against the target.

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

/// The number of tries of one step on one target before another target is used.
const TRIES_PER_TARGET: u32 = 2;
/// The minimum wait before a step is sent again although its connection is alive.
const OVERDUE_FLOOR: Duration = Duration::from_millis(1000);
/// The wait before a step is sent again, as a multiple of the target's usual step time.
const OVERDUE_FACTOR: u32 = 8;
/// The maximum size of the hand-offs that are kept for one answer, to rebuild stages from.
const KEPT_LIMIT_BYTES: u64 = 64 << 20;
/// The minimum pause before a full engine, or one that is running another suspect, is tried again.
const FULL_PAUSE: Duration = Duration::from_millis(20);

impl LineageRun {
    /// Runs the current step on the stage's target, with retries.
    pub(super) async fn try_target(
        &mut self,
        stage: usize,
        rebuild: bool,
    ) -> Result<StepVerdict, Refusal> {
        let mut rebuild = rebuild;
        let mut lineage_renewed = false;
        let mut tries = 0;
        let mut overdue_count = 0;
        loop {
            self.check_deadline()?;
            self.check_quarantine()?;
            let target = self.stages[stage].choice.target.clone();
            match self.send(stage, rebuild, overdue_count).await? {
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
                Err(StepError::Refused(StepRefusal::Lineage { expected: Some(_) }))
                    if !lineage_renewed =>
                {
                    // The target served this stage before and missed the tokens that another
                    // target has run since.
                    lineage_renewed = true;
                    self.lineages += 1;
                    self.stages[stage].lineage = self.lineages;
                    self.note_retry(&target, "it holds an older state of the answer");
                }
                Err(StepError::Refused(StepRefusal::Full { retry_after_ms })) => {
                    let pause = Duration::from_millis(retry_after_ms).max(FULL_PAUSE);
                    tokio::time::sleep(pause).await;
                }
                Err(StepError::Refused(StepRefusal::Late)) => {
                    return Err(Refusal::Incomplete("the deadline passed".to_owned()));
                }
                Err(StepError::Refused(reason)) => {
                    return Ok(StepVerdict::Declined(format_smolstr!("{target}: {reason:?}")));
                }
                Err(StepError::Silent) if tries + 1 < TRIES_PER_TARGET => {
                    // The step is sent with the same id on a new connection, so an engine that has
                    // run it repeats its answer.
                    tries += 1;
                    self.note_retry(&target, "its connection went silent");
                }
                Err(StepError::Broken(reason)) if tries + 1 < TRIES_PER_TARGET => {
                    tries += 1;
                    self.note_retry(&target, &reason);
                }
                Err(StepError::Overdue) => {
                    // The step is sent again with the same id, so an engine that is still running
                    // it does not run it twice.
                    overdue_count += 1;
                    self.note_retry(&target, "its answer is overdue");
                }
                Err(StepError::Occupied) => {
                    // A target runs one suspect at a time; the current one may end soon.
                    tokio::time::sleep(FULL_PAUSE).await;
                    return Ok(StepVerdict::Declined(format_smolstr!(
                        "{target} is running another suspect"
                    )));
                }
                Err(error) => {
                    let reason = error.to_string();
                    self.note_failure(stage, &target, &error, tries + overdue_count > 0);
                    return Ok(StepVerdict::Failed(SmolStr::new(reason)));
                }
            }
        }
    }

    /// Sends the current step once. `overdue_count` counts how often it was overdue before; each
    /// time doubles the wait.
    async fn send(
        &mut self,
        stage: usize,
        rebuild: bool,
        overdue_count: u32,
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
        // A retried step is still registered on the target.
        if self.running_on.is_none() {
            let content = self.order.content;
            if !crashes::note_step_started(&self.state, &target, &request, content).await {
                self.state.tables().targets.note_ended(&target, None, now);
                return Ok(Err(StepError::Occupied));
            }
            self.running_on = Some(target.clone());
        }
        self.contacted.insert(target.clone());
        let name = request.to_string();
        let detail = format_smolstr!("token {} stage {stage}", self.token);
        self.state.journal.record(EventKind::StepSent, &name, target.as_str(), &detail);
        let answer_wait =
            (latency * OVERDUE_FACTOR).max(OVERDUE_FLOOR) * (1 << overdue_count.min(6));
        let until = self.order.deadline.min(now + answer_wait);
        let result = tokio::time::timeout_at(
            self.state.clock.instant(until),
            self.state.steps.run(&target, address, order, silence),
        );
        let result = result.await.unwrap_or(Err(StepError::Overdue));
        let ended = self.state.now();
        let took = result.is_ok().then(|| ended.since(now));
        self.state.tables().targets.note_ended(&target, took, ended);
        // After a broken connection the step stays registered on the target: it may have crashed
        // the target, which the next try shows.
        if !matches!(result, Err(StepError::Broken(_) | StepError::Connect(_))) {
            self.note_step_ended();
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

    /// Keeps the input of a step. Once the answer's inputs exceed the limit, the stage's earlier
    /// inputs are dropped, and the stage can no longer be rebuilt.
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

    /// Marks a target that failed a step as suspected; `sent` says whether an earlier try was sent.
    fn note_failure(&mut self, stage: usize, target: &TargetId, error: &StepError, sent: bool) {
        let reason = error.to_string();
        match error {
            StepError::Silent => crashes::note_silence(&self.state, target, &reason),
            StepError::Connect(_) if !sent => {
                // The step never reached the target, so it was not running during the crash.
                self.note_step_ended();
                crashes::note_crash(&self.state, target, &reason);
            }
            _ => {
                crashes::note_crash(&self.state, target, &reason);
                self.crashed_in = Some((stage, self.token));
            }
        }
        self.note_step_ended();
    }

    /// Clears the content of suspicion if the step during which a target crashed has now run on
    /// another target: content that crashes targets would have crashed that one too.
    pub(super) fn clear_suspicion(&mut self, stage: usize) {
        if self.crashed_in == Some((stage, self.token)) {
            self.crashed_in = None;
            self.state.tables().suspects.clear(self.order.content);
        }
    }

    /// Records that no step of this answer is running any more.
    pub(super) fn note_step_ended(&mut self) {
        let Some(target) = self.running_on.take() else { return };
        crashes::note_step_ended(&self.state, &target, &self.order.request, self.order.content);
    }

    fn note_retry(&self, target: &TargetId, reason: &str) {
        metric::count_retry();
        let name = self.order.request.to_string();
        self.state.journal.record(EventKind::Retried, &name, target.as_str(), reason);
    }

    pub(super) fn check_deadline(&self) -> Result<(), Refusal> {
        if self.state.now() >= self.order.deadline {
            return Err(Refusal::Incomplete("the deadline passed".to_owned()));
        }
        Ok(())
    }

    fn check_quarantine(&self) -> Result<(), Refusal> {
        if crashes::is_quarantined(&self.state, self.order.content) {
            return Err(Refusal::Incomplete(
                "its content stops the targets that run it".to_owned(),
            ));
        }
        Ok(())
    }
}
