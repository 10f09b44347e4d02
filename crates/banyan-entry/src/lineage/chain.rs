//! Chooses the targets of an answer: the chain at its start, and replacements for failed stages.

use std::collections::BTreeSet;

use smol_str::format_smolstr;

use super::LineageRun;
use super::NO_TARGET_PAUSE;
use super::RunningStage;
use crate::metric;
use crate::refusal::Refusal;
use crate::state::EntryTables;
use banyan_core::event::EventKind;
use banyan_core::ids::TargetId;
use banyan_core::serving::chain_query::ChainQuery;
use banyan_core::serving::choice::StageChoice;

impl LineageRun {
    pub(super) fn choose_chain(&mut self) -> bool {
        let now = self.state.now();
        let draw = rand::random();
        let mut tables = self.state.tables();
        tables.targets.advance(now);
        let choose_chain = self.state.decisions.choose_chain;
        let excluded = self.excluded(&tables);
        let chain = choose_chain(&tables.targets, &self.query(&excluded, draw));
        let Some(chain) = chain else { return false };
        for stage in &chain {
            tables.targets.note_assigned(&stage.target);
        }
        drop(tables);
        let names: Vec<&str> = chain.iter().map(|stage| stage.target.as_str()).collect();
        let name = self.order.request.to_string();
        self.state.journal.record(EventKind::Routed, &name, "", &names.join(" > "));
        let lineage = self.lineages;
        let stage = |choice| RunningStage { choice, lineage, inputs: Vec::new() };
        self.stages = chain.into_iter().map(stage).collect();
        true
    }

    /// The targets that may not be chosen: those that failed this answer and, if its content is a
    /// suspect, those that are running another suspect.
    pub(super) fn excluded(&self, tables: &EntryTables) -> BTreeSet<TargetId> {
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
        }
    }

    /// Chooses another target for a stage's layers, waiting for one until the deadline. Returns
    /// false if the answer must restart instead, because another chain with other layer ranges is
    /// usable now or because the inputs for a rebuild were not kept.
    pub(super) async fn replace_target(&mut self, stage: usize) -> Result<bool, Refusal> {
        if !self.is_rebuildable(stage) {
            return Ok(false);
        }
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
                return Ok(true);
            }
            if self.has_other_chain() {
                return Ok(false);
            }
            // A target that failed earlier may have recovered, so all are tried again.
            self.failed.clear();
            tokio::time::sleep(NO_TARGET_PAUSE).await;
        }
    }

    fn has_other_chain(&self) -> bool {
        let tables = self.state.tables();
        let excluded = self.excluded(&tables);
        let choose_chain = self.state.decisions.choose_chain;
        choose_chain(&tables.targets, &self.query(&excluded, rand::random())).is_some()
    }

    fn note_replacement(&self, stage: usize, choice: &StageChoice) {
        metric::count_replacement();
        let replaced = &self.stages[stage].choice.target;
        let detail = format_smolstr!("stage {stage}, token {}, instead of {replaced}", self.token);
        let name = self.order.request.to_string();
        self.state.journal.record(EventKind::StageReplaced, &name, choice.target.as_str(), &detail);
    }

    /// Releases the chain's targets, so that they no longer count as assigned to this answer.
    pub(super) fn release_stages(&mut self) {
        let mut tables = self.state.tables();
        for stage in &self.stages {
            tables.targets.note_unassigned(&stage.choice.target);
        }
        drop(tables);
        self.stages.clear();
    }
}
