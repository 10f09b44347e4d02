//! The lineages that an engine keeps: [`LineageTable`] decides what becomes of a step.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::engine::stream::StreamSender;
use crate::reference::run_layers;
use crate::reference::token_text;
use crate::truth::RunKind;
use banyan_wire::engine::CacheCopy;
use banyan_wire::engine::CacheRef;
use banyan_wire::engine::StageActivations;
use banyan_wire::engine::StepId;
use banyan_wire::engine::StepRefusal;
use banyan_wire::engine::StepRequest;
use banyan_wire::engine::StepWork;
use banyan_wire::engine::TokenWire;

/// Names a lineage: the request and the lineage's number.
type LineageKey = (SmolStr, u32);

/// What the engine keeps of each lineage.
#[derive(Debug, Default)]
pub(super) struct LineageTable {
    rows: BTreeMap<LineageKey, LineageRow>,
}

/// One lineage.
///
/// Invariant: `state` has one digest for each layer of the range. Where `last` is set, it holds the
/// inputs of all tokens below `expected`, each once and in order; otherwise nothing has run.
#[derive(Debug)]
struct LineageRow {
    first_layer: u32,
    end_layer: u32,
    state: Vec<u64>,
    /// The next token.
    expected: u64,
    last: Option<StepResult>,
    /// The step of token `expected`, where it is queued or running.
    pending: Option<PendingStep>,
}

/// A step that is queued or running.
#[derive(Debug)]
pub(super) struct PendingStep {
    /// The step.
    pub(super) step: StepId,
    /// Who waits for it.
    pub(super) waiters: Vec<StreamSender>,
}

impl PendingStep {
    fn new(order: &StepRequest, sender: &StreamSender) -> Self {
        Self { step: order.step.clone(), waiters: vec![sender.clone()] }
    }
}

/// What a step made.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StepResult {
    /// The hand-off to the next stage.
    pub(super) output: StageActivations,
    /// On the last stage: the token.
    pub(super) token: Option<TokenWire>,
}

/// What becomes of a step that arrives.
#[derive(Debug)]
pub(super) enum StepAdmission {
    /// It is queued.
    Queued,
    /// It is queued or running already, and the answer will go to this sender too.
    Joined,
    /// It has run: this is its answer.
    Repeated(StepResult),
    /// It will not run.
    Refused(StepRefusal),
}

/// One token that a step ran.
pub(super) type TokenRun = (u64, RunKind);

fn key_of(step: &StepId) -> LineageKey {
    (step.request.clone(), step.lineage)
}

impl LineageTable {
    /// The number of lineages.
    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the lineage is known.
    pub(super) fn knows(&self, step: &StepId) -> bool {
        self.rows.contains_key(&key_of(step))
    }

    /// Decides about a step that arrives, and takes it in where it is to run.
    pub(super) fn admit(&mut self, order: &StepRequest, sender: &StreamSender) -> StepAdmission {
        let key = key_of(&order.step);
        if let Some(refusal) = malformed(order) {
            return StepAdmission::Refused(refusal);
        }
        let Some(row) = self.rows.get_mut(&key) else {
            if matches!(order.work, StepWork::Token { .. }) {
                return StepAdmission::Refused(StepRefusal::Lineage { expected: None });
            }
            self.rows.insert(key, LineageRow::new(order, sender));
            return StepAdmission::Queued;
        };
        row.admit(order, sender)
    }

    /// Runs a step that was admitted; gives its result, the tokens run and who waits for it.
    ///
    /// Nothing where the lineage was forgotten meanwhile.
    pub(super) fn run(
        &mut self,
        order: &StepRequest,
        last_stage: bool,
        ends: bool,
    ) -> Option<(StepResult, Vec<TokenRun>, Vec<StreamSender>)> {
        let row = self.rows.get_mut(&key_of(&order.step))?;
        let waiters = row.pending.take()?.waiters;
        let (input, runs) = row.rebuild(order);
        let digest = run_layers(row.first_layer, &mut row.state, input.digest);
        row.expected = order.step.token + 1;
        let token = last_stage.then(|| TokenWire { text: token_text(digest), last: ends });
        let result = StepResult { output: StageActivations { digest, bytes: input.bytes }, token };
        row.last = Some(result.clone());
        Some((result, runs, waiters))
    }

    /// Gives up a step that is queued; the lineage stays as it was. Gives who waits for it.
    pub(super) fn give_up(&mut self, step: &StepId) -> Vec<StreamSender> {
        let key = key_of(step);
        let Some(row) = self.rows.get_mut(&key) else { return Vec::new() };
        let waiters = row.pending.take().map(|pending| pending.waiters).unwrap_or_default();
        if row.last.is_none() {
            self.rows.remove(&key);
        }
        waiters
    }

    /// Forgets a request's lineages; gives the steps that will not run.
    pub(super) fn forget(&mut self, request: &str) -> Vec<PendingStep> {
        let keys: Vec<LineageKey> =
            self.rows.keys().filter(|key| key.0 == request).cloned().collect();
        let rows = keys.iter().filter_map(|key| self.rows.remove(key));
        rows.filter_map(|row| row.pending).collect()
    }

    /// Forgets everything.
    pub(super) fn clear(&mut self) {
        self.rows.clear();
    }

    /// A copy of a lineage's cache.
    pub(super) fn export(&self, of: CacheRef, model: SmolStr, bytes: u64) -> Option<CacheCopy> {
        let row = self.rows.get(&(of.request.clone(), of.lineage))?;
        let last = row.last.as_ref()?;
        Some(CacheCopy {
            of,
            model,
            first_layer: row.first_layer,
            end_layer: row.end_layer,
            next_token: row.expected,
            last_output: Some(last.output),
            last_token: last.token.clone(),
            bytes: bytes * row.expected,
            state: row.state.clone(),
        })
    }

    /// Takes in a copy of a lineage's cache; false where the lineage is known or the copy is torn.
    pub(super) fn import(&mut self, copy: CacheCopy) -> bool {
        let key = (copy.of.request, copy.of.lineage);
        let layers = copy.end_layer.saturating_sub(copy.first_layer) as usize;
        if self.rows.contains_key(&key) || layers != copy.state.len() {
            return false;
        }
        let last = copy.last_output.map(|output| StepResult { output, token: copy.last_token });
        let row = LineageRow {
            first_layer: copy.first_layer,
            end_layer: copy.end_layer,
            state: copy.state,
            expected: copy.next_token,
            last,
            pending: None,
        };
        self.rows.insert(key, row);
        true
    }
}

/// Refuses work that does not fit its own step id.
fn malformed(order: &StepRequest) -> Option<StepRefusal> {
    let fits = match &order.work {
        StepWork::Prompt { .. } => order.step.token == 0,
        StepWork::Token { .. } => order.step.token > 0,
        StepWork::Rebuild { inputs, .. } => inputs.len() as u64 == order.step.token + 1,
    };
    (!fits).then_some(StepRefusal::Lineage { expected: None })
}

impl LineageRow {
    fn new(order: &StepRequest, sender: &StreamSender) -> Self {
        let layers = order.end_layer.saturating_sub(order.first_layer);
        let expected = match &order.work {
            StepWork::Rebuild { .. } => order.step.token,
            _ => 0,
        };
        Self {
            first_layer: order.first_layer,
            end_layer: order.end_layer,
            state: vec![0; layers as usize],
            expected,
            last: None,
            pending: Some(PendingStep::new(order, sender)),
        }
    }

    fn admit(&mut self, order: &StepRequest, sender: &StreamSender) -> StepAdmission {
        if (order.first_layer, order.end_layer) != (self.first_layer, self.end_layer) {
            return StepAdmission::Refused(StepRefusal::WrongLayers);
        }
        let token = order.step.token;
        if token == self.expected {
            if let Some(pending) = &mut self.pending {
                pending.waiters.push(sender.clone());
                return StepAdmission::Joined;
            }
            self.pending = Some(PendingStep::new(order, sender));
            return StepAdmission::Queued;
        }
        let repeated = self.last.as_ref().filter(|_| token + 1 == self.expected);
        match repeated {
            Some(result) => StepAdmission::Repeated(result.clone()),
            None => StepAdmission::Refused(StepRefusal::Lineage { expected: Some(self.expected) }),
        }
    }

    /// Runs the tokens before the step's own again where they are missing.
    ///
    /// Gives the input of the step itself and all runs, with the step's own as the last.
    fn rebuild(&mut self, order: &StepRequest) -> (StageActivations, Vec<TokenRun>) {
        let own = (order.step.token, RunKind::Step);
        let inputs = match &order.work {
            StepWork::Prompt { input, .. } | StepWork::Token { input } => {
                return (*input, vec![own]);
            }
            StepWork::Rebuild { inputs, .. } => inputs,
        };
        let mut runs = Vec::new();
        if self.last.is_none() {
            for (index, input) in (0..order.step.token).zip(inputs) {
                run_layers(self.first_layer, &mut self.state, input.digest);
                runs.push((index, RunKind::Rebuild));
            }
        }
        runs.push(own);
        let input = inputs.last().copied().unwrap_or(StageActivations { digest: 0, bytes: 0 });
        (input, runs)
    }
}
