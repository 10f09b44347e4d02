//! The specification of the configuration: one file, racing operators, instances that start anew.
//!
//! Proposals name the revision that they are based on. Instances fold the log at their own pace,
//! write checkpoints that may land at any later time, start from a checkpoint or from a peer, and
//! hand their state over. The log drops its oldest entries at any time. The main type is
//! [`ConfigurationState`].

use crate::search::Specification;

/// A rule that is removed, to show that the search would see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigurationMutant {
    /// A proposal is accepted whatever it is based on.
    AcceptAnyBase,
    /// An invalid proposal takes effect as far as it is valid.
    ApplyInPart,
    /// The copy of a proposal is judged like a new one.
    JudgeCopies,
    /// The instance that an operator speaks to puts a proposal in force when it is appended.
    ForceOnAnswer,
    /// An instance starts from any complete checkpoint, whatever the log still holds.
    StartFromAnyCheckpoint,
    /// An instance starts from the first part of a checkpoint.
    StartFromPart,
    /// Parts of different checkpoints are taken for one.
    MixParts,
    /// An instance starts from nothing although the log has dropped entries.
    StartFromRest,
    /// An instance that fell behind the oldest entry reads on from there.
    SkipGap,
    /// An instance that runs takes over the state of every checkpoint that it reads.
    AdoptCheckpoints,
    /// An instance takes over a peer's state although it has folded more itself.
    AdoptOlder,
}

/// How far the search goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfigurationBounds {
    /// The number of instances.
    pub instances: u8,
    /// The number of proposals; the last one is invalid.
    pub proposals: u8,
    /// The greatest number of entries.
    pub entries: u8,
    /// The number of checkpoints that are written, of two parts each.
    pub checkpoints: u8,
    /// How often an instance may start anew.
    pub restarts: u8,
    /// How often each proposal may be sent again.
    pub retries: u8,
}

/// What an instance has in force, in two halves that only mutants let differ.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct FileContent {
    /// The proposal that the first half comes from; zero is none.
    pub first: u8,
    /// The proposal that the second half comes from.
    pub second: u8,
}

/// What became of a proposal.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FileVerdict {
    /// In force from this revision on.
    Accepted(u8),
    /// Based on another revision than the one in force.
    Conflict,
    /// Not valid.
    Invalid,
}

/// The state of a fold.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct FileState {
    /// The first entry that is not folded.
    pub next: u8,
    /// The revision in force: one more than the entry that brought it; zero is none.
    pub revision: u8,
    /// The content in force.
    pub content: FileContent,
    /// The verdict on each proposal that was folded, in order.
    pub verdicts: Vec<(u8, FileVerdict)>,
}

/// An entry of the stream.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum FileEntry {
    /// A proposal, from one on, with the revision it is based on.
    Proposal {
        /// Which proposal.
        proposal: u8,
        /// The revision that its operator saw.
        base: u8,
    },
    /// One of the two parts of a checkpoint.
    Part {
        /// Which checkpoint.
        checkpoint: u8,
        /// Zero or one.
        part: u8,
        /// The state; each part stands for half of it.
        state: FileState,
    },
}

/// A proposal of an operator.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct FileProposal {
    /// The revision that the operator saw, once it is made.
    pub base: Option<u8>,
    /// The instance that the operator spoke to.
    pub instance: u8,
    /// Copies under way to the log.
    pub copies: u8,
    /// Copies that may still be sent.
    pub retries: u8,
}

/// A checkpoint on its way to the log, written by an instance that may be paused meanwhile.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct FileCheckpoint {
    /// The state, once it is taken.
    pub state: Option<FileState>,
    /// The parts that have landed.
    pub landed: [bool; 2],
}

/// The state of everything.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ConfigurationState {
    /// The whole stream, with what the log has dropped.
    pub entries: Vec<FileEntry>,
    /// The oldest entry that the log still holds.
    pub first: u8,
    /// The state of each instance's fold; none where it has not started.
    pub instances: Vec<Option<FileState>>,
    /// The greatest revision that each instance had in force since it started.
    pub highest: Vec<u8>,
    /// The proposals.
    pub proposals: Vec<FileProposal>,
    /// The checkpoints.
    pub checkpoints: Vec<FileCheckpoint>,
    /// How often instances may still start anew.
    pub restarts: u8,
}

/// A step; numbers are those of proposals, instances and checkpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigurationStep {
    /// An operator makes a proposal on what an instance has in force.
    Propose(u8, u8),
    /// A proposal is sent again, its answer being lost.
    SendAgain(u8),
    /// A copy of a proposal lands.
    Land(u8),
    /// An instance folds the next entry.
    Read(u8),
    /// An instance takes its state for a checkpoint.
    TakeCheckpoint(u8, u8),
    /// A part of a checkpoint lands.
    LandPart(u8, u8),
    /// The log drops its oldest entry.
    Drop,
    /// An instance stops and loses all it had.
    Stop(u8),
    /// An instance starts from the log alone.
    StartFromLog(u8),
    /// An instance takes over the state of another.
    Adopt(u8, u8),
}

/// The specification, with all its rules or with one removed.
pub fn specification(
    bounds: ConfigurationBounds,
    mutant: Option<ConfigurationMutant>,
) -> Specification<ConfigurationState, ConfigurationStep> {
    let proposal = FileProposal { base: None, instance: 0, copies: 0, retries: bounds.retries };
    let initial = ConfigurationState {
        entries: Vec::new(),
        first: 0,
        instances: vec![Some(FileState::default()); bounds.instances as usize],
        highest: vec![0; bounds.instances as usize],
        proposals: vec![proposal; bounds.proposals as usize],
        checkpoints: vec![FileCheckpoint::default(); bounds.checkpoints as usize],
        restarts: bounds.restarts,
    };
    let model = ConfigurationModel { bounds, mutant };
    Specification {
        initial,
        successors: Box::new(move |state| model.successors(state)),
        violation: Box::new(move |state| model.violation(state)),
    }
}

impl FileState {
    /// Folds the next entry. Only the last of `proposals` is invalid.
    pub fn fold(&mut self, entry: &FileEntry, proposals: u8, mutant: Option<ConfigurationMutant>) {
        let position = self.next;
        self.next += 1;
        match entry {
            FileEntry::Proposal { proposal, base } => {
                self.judge(position, *proposal, *base, proposals, mutant);
            }
            FileEntry::Part { state, .. } => {
                if mutant == Some(ConfigurationMutant::AdoptCheckpoints) {
                    *self = FileState { next: self.next, ..state.clone() };
                }
            }
        }
    }

    fn judge(
        &mut self,
        position: u8,
        proposal: u8,
        base: u8,
        proposals: u8,
        mutant: Option<ConfigurationMutant>,
    ) {
        let known = self.verdicts.iter().position(|(judged, _)| *judged == proposal);
        let again = mutant == Some(ConfigurationMutant::JudgeCopies);
        if known.is_some() && !again {
            return;
        }
        let any_base = mutant == Some(ConfigurationMutant::AcceptAnyBase);
        let verdict = if base != self.revision && !any_base {
            FileVerdict::Conflict
        } else if proposal == proposals {
            if mutant == Some(ConfigurationMutant::ApplyInPart) {
                self.content.first = proposal;
            }
            FileVerdict::Invalid
        } else {
            self.force(position + 1, proposal);
            FileVerdict::Accepted(self.revision)
        };
        match known {
            Some(known) => self.verdicts[known].1 = verdict,
            None => self.verdicts.push((proposal, verdict)),
        }
        self.verdicts.sort_unstable();
    }

    fn force(&mut self, revision: u8, proposal: u8) {
        self.revision = revision;
        self.content = FileContent { first: proposal, second: proposal };
    }
}

#[derive(Clone, Copy)]
struct ConfigurationModel {
    bounds: ConfigurationBounds,
    mutant: Option<ConfigurationMutant>,
}

impl ConfigurationModel {
    fn has(&self, mutant: ConfigurationMutant) -> bool {
        self.mutant == Some(mutant)
    }

    fn successors(
        &self,
        state: &ConfigurationState,
    ) -> Vec<(ConfigurationStep, ConfigurationState)> {
        let mut steps = Vec::new();
        for proposal in 1..=self.bounds.proposals {
            self.proposal_steps(&mut steps, state, proposal);
        }
        for instance in 0..self.bounds.instances {
            self.instance_steps(&mut steps, state, instance);
        }
        for checkpoint in 0..self.bounds.checkpoints {
            self.checkpoint_steps(&mut steps, state, checkpoint);
        }
        if (state.first as usize) < state.entries.len() {
            let next = ConfigurationState { first: state.first + 1, ..state.clone() };
            steps.push((ConfigurationStep::Drop, next));
        }
        for (_, next) in &mut steps {
            let had = next.highest.iter_mut().zip(&next.instances);
            for (highest, instance) in had {
                *highest = instance.as_ref().map_or(0, |known| known.revision.max(*highest));
            }
        }
        steps
    }

    fn proposal_steps(
        &self,
        steps: &mut Vec<(ConfigurationStep, ConfigurationState)>,
        state: &ConfigurationState,
        proposal: u8,
    ) {
        let index = proposal as usize - 1;
        let row = state.proposals[index];
        let Some(base) = row.base else {
            for instance in 0..self.bounds.instances {
                let Some(known) = &state.instances[instance as usize] else { continue };
                let mut next = state.clone();
                let row = &mut next.proposals[index];
                row.base = Some(known.revision);
                row.instance = instance;
                row.copies = 1;
                steps.push((ConfigurationStep::Propose(proposal, instance), next));
            }
            return;
        };
        if row.retries > 0 {
            let mut next = state.clone();
            next.proposals[index].retries -= 1;
            next.proposals[index].copies += 1;
            steps.push((ConfigurationStep::SendAgain(proposal), next));
        }
        if row.copies == 0 || state.entries.len() >= self.bounds.entries as usize {
            return;
        }
        let mut next = state.clone();
        next.proposals[index].copies -= 1;
        next.entries.push(FileEntry::Proposal { proposal, base });
        if self.has(ConfigurationMutant::ForceOnAnswer) {
            let revision = next.entries.len() as u8;
            if let Some(known) = &mut next.instances[row.instance as usize] {
                known.force(revision, proposal);
            }
        }
        steps.push((ConfigurationStep::Land(proposal), next));
    }

    fn instance_steps(
        &self,
        steps: &mut Vec<(ConfigurationStep, ConfigurationState)>,
        state: &ConfigurationState,
        instance: u8,
    ) {
        let index = instance as usize;
        let Some(known) = &state.instances[index] else {
            if let Some(start) = self.start(state) {
                let mut next = state.clone();
                next.instances[index] = Some(start);
                steps.push((ConfigurationStep::StartFromLog(instance), next));
            }
            return self.adopt_steps(steps, state, instance);
        };
        let held = known.next >= state.first;
        let skips = self.has(ConfigurationMutant::SkipGap);
        let position = known.next.max(state.first);
        if let Some(entry) = state.entries.get(position as usize).filter(|_| held || skips) {
            let mut next = state.clone();
            let mut known = known.clone();
            known.next = position;
            known.fold(entry, self.bounds.proposals, self.mutant);
            next.instances[index] = Some(known);
            steps.push((ConfigurationStep::Read(instance), next));
        }
        if state.restarts > 0 {
            let mut next = state.clone();
            next.restarts -= 1;
            next.instances[index] = None;
            steps.push((ConfigurationStep::Stop(instance), next));
        }
        self.adopt_steps(steps, state, instance);
    }

    fn adopt_steps(
        &self,
        steps: &mut Vec<(ConfigurationStep, ConfigurationState)>,
        state: &ConfigurationState,
        instance: u8,
    ) {
        let own = state.instances[instance as usize].as_ref();
        for peer in (0..self.bounds.instances).filter(|peer| *peer != instance) {
            let Some(theirs) = &state.instances[peer as usize] else { continue };
            let newer = own.is_none_or(|own| theirs.next > own.next);
            if newer || self.has(ConfigurationMutant::AdoptOlder) {
                let mut next = state.clone();
                next.instances[instance as usize] = Some(theirs.clone());
                steps.push((ConfigurationStep::Adopt(instance, peer), next));
            }
        }
    }

    /// The state that an instance starts from, given what the log still holds.
    fn start(&self, state: &ConfigurationState) -> Option<FileState> {
        let held = &state.entries[state.first as usize..];
        let part = |wanted_checkpoint: Option<u8>, wanted_part: u8| {
            held.iter().rev().find_map(|entry| match entry {
                FileEntry::Part { checkpoint, part, state }
                    if *part == wanted_part
                        && wanted_checkpoint.is_none_or(|wanted| wanted == *checkpoint) =>
                {
                    Some(state)
                }
                _ => None,
            })
        };
        let mut found: Vec<FileState> = Vec::new();
        for checkpoint in 0..self.bounds.checkpoints {
            let first = part(Some(checkpoint), 0);
            let second = part(Some(checkpoint), 1);
            if let (Some(state), Some(_)) = (first, second) {
                found.push(state.clone());
            }
        }
        if let Some(known) = part(None, 0).filter(|_| self.has(ConfigurationMutant::StartFromPart))
        {
            // What the second part would bring is missing.
            let content = FileContent { second: 0, ..known.content };
            found.push(FileState { content, ..known.clone() });
        }
        if let (Some(one), Some(two)) = (part(None, 0), part(None, 1))
            && self.has(ConfigurationMutant::MixParts)
        {
            let content = FileContent { first: one.content.first, second: two.content.second };
            found.push(FileState { content, ..one.clone() });
        }
        let any = self.has(ConfigurationMutant::StartFromAnyCheckpoint);
        let covered = |known: &FileState| any || known.next >= state.first;
        let newest = found.into_iter().filter(covered).max_by_key(|known| known.next);
        if let Some(mut known) = newest {
            known.next = known.next.max(state.first);
            return Some(known);
        }
        if state.first == 0 || self.has(ConfigurationMutant::StartFromRest) {
            return Some(FileState { next: state.first, ..FileState::default() });
        }
        None
    }

    fn checkpoint_steps(
        &self,
        steps: &mut Vec<(ConfigurationStep, ConfigurationState)>,
        state: &ConfigurationState,
        checkpoint: u8,
    ) {
        let index = checkpoint as usize;
        let Some(taken) = &state.checkpoints[index].state else {
            // Checkpoints are alike, so they are taken in order.
            if index > 0 && state.checkpoints[index - 1].state.is_none() {
                return;
            }
            for (instance, known) in (0..).zip(&state.instances) {
                let Some(known) = known.as_ref().filter(|known| known.next > 0) else { continue };
                let mut next = state.clone();
                next.checkpoints[index].state = Some(known.clone());
                steps.push((ConfigurationStep::TakeCheckpoint(checkpoint, instance), next));
            }
            return;
        };
        for part in 0..2 {
            let landed = state.checkpoints[index].landed[part as usize];
            if landed || state.entries.len() >= self.bounds.entries as usize {
                continue;
            }
            let mut next = state.clone();
            next.checkpoints[index].landed[part as usize] = true;
            next.entries.push(FileEntry::Part { checkpoint, part, state: taken.clone() });
            steps.push((ConfigurationStep::LandPart(checkpoint, part), next));
        }
    }

    fn violation(&self, state: &ConfigurationState) -> Option<&'static str> {
        for (known, highest) in state.instances.iter().zip(&state.highest) {
            let Some(known) = known else { continue };
            if known.revision < *highest {
                return Some("the revision in force at an instance never decreases");
            }
            if known.content.first != known.content.second {
                return Some("a file is in force whole or not at all");
            }
        }
        self.disagreement(state)
    }

    /// Holds every instance against the fold of the whole stream by all the rules.
    fn disagreement(&self, state: &ConfigurationState) -> Option<&'static str> {
        let mut truth = FileState::default();
        let mut bases = Vec::new();
        for position in 0..=state.entries.len() {
            let folded = |known: &&FileState| known.next as usize == position;
            if state.instances.iter().flatten().filter(folded).any(|known| *known != truth) {
                return Some("instances that folded the same entries agree, and lose none");
            }
            let Some(entry) = state.entries.get(position) else { break };
            let before = truth.revision;
            truth.fold(
                entry,
                self.bounds.proposals,
                self.mutant.filter(|_| self.rule_is_in_fold()),
            );
            if let FileEntry::Proposal { base, .. } = entry
                && truth.revision != before
            {
                bases.push((*base, before));
            }
        }
        let lost = bases.iter().any(|(base, before)| base != before);
        lost.then_some("an accepted proposal is replaced only by one that is based on it")
    }

    /// Whether the mutant is a fold that all instances share, so that they agree with each other.
    fn rule_is_in_fold(&self) -> bool {
        matches!(
            self.mutant,
            Some(ConfigurationMutant::AcceptAnyBase | ConfigurationMutant::ApplyInPart)
        )
    }
}
