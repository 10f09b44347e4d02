//! Which requests crash targets: [`SuspectTable`].
//!
//! When a target crashes, every content in flight there becomes a suspect. A suspect runs on at
//! most one target at a time, and a target runs at most one suspect, so a second crash names the
//! culprit: the only suspect that was in flight there. It is convicted and refused. Where several
//! suspects were in flight at a crash all the same, none is convicted yet. Instances know only their
//! own requests in flight, so the shell has a referee for each target that keeps suspects of
//! different instances apart.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::TargetId;
use crate::record::ContentDigest;
use crate::units::Moment;

/// Crashes of different target runs that convict a content.
const CONVICTING_CRASHES: usize = 2;
/// The suspects that are kept; the oldest are dropped first.
const SUSPECT_LIMIT: usize = 4096;
/// The contents that are remembered as cleared.
const CLEARED_LIMIT: usize = 4096;
/// How long a suspicion lasts without another crash.
const SUSPICION_LIFE: Duration = Duration::from_secs(600);

/// One run of a target, which ended in a crash.
pub type CrashedRun = (TargetId, SmolStr);

/// The contents under suspicion.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    /// The suspects. Invariant: at most `SUSPECT_LIMIT`.
    pub rows: BTreeMap<ContentDigest, SuspectRow>,
    /// Suspects running now, with their target.
    pub probation: BTreeMap<ContentDigest, TargetId>,
    /// Crashes of which a content was cleared, so that peers' older word does not bring them back.
    cleared: BTreeMap<ContentDigest, BTreeSet<CrashedRun>>,
    /// The latest moment that any input brought.
    now: Moment,
}

/// A content under suspicion.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SuspectRow {
    /// The target runs that crashed while it was in flight there.
    pub crashes: BTreeSet<CrashedRun>,
    /// When the last of them was noted.
    pub noted: Moment,
}

impl SuspectTable {
    /// Notes a crash of one run of a target with these contents in flight; gives those convicted.
    pub fn note_crash(
        &mut self,
        target: &TargetId,
        incarnation: &SmolStr,
        contents: &BTreeSet<ContentDigest>,
    ) -> Vec<ContentDigest> {
        let run = (target.clone(), incarnation.clone());
        let suspects: Vec<ContentDigest> = contents
            .iter()
            .filter(|content| self.crashed_elsewhere(**content, &run))
            .copied()
            .collect();
        for content in contents {
            self.add_crash(*content, run.clone());
        }
        // Nobody but the suspects can be the culprit, and a single one is.
        let [culprit] = suspects[..] else { return Vec::new() };
        self.explain_crashes(culprit);
        vec![culprit]
    }

    /// Clears the other contents of the crashes that a convicted one explains.
    fn explain_crashes(&mut self, culprit: ContentDigest) {
        let Some(explained) = self.rows.get(&culprit).map(|row| row.crashes.clone()) else {
            return;
        };
        for (content, row) in &mut self.rows {
            if *content != culprit {
                row.crashes.retain(|run| !explained.contains(run));
            }
        }
        self.rows.retain(|_, row| !row.crashes.is_empty());
    }

    /// Takes in a peer's suspect; true where that convicts it.
    ///
    /// A content whose crashes were seen by different instances is convicted only if no other
    /// suspect shares all of them.
    pub fn merge(&mut self, content: ContentDigest, crashes: &BTreeSet<CrashedRun>) -> bool {
        let before = self.crash_count(content);
        let cleared = self.cleared.get(&content).cloned().unwrap_or_default();
        for run in crashes.difference(&cleared) {
            self.add_crash(content, run.clone());
        }
        let Some(row) = self.rows.get(&content) else { return false };
        if row.crashes.len() < CONVICTING_CRASHES || row.crashes.len() == before {
            return false;
        }
        let mut others = self.rows.iter().filter(|(other, _)| **other != content);
        !others.any(|(_, other)| row.crashes.is_subset(&other.crashes))
    }

    /// Whether a content is a suspect.
    pub fn is_suspect(&self, content: ContentDigest) -> bool {
        self.rows.contains_key(&content)
    }

    /// The targets that a suspect may not be sent to, because each has another one.
    pub fn occupied(&self, content: ContentDigest) -> BTreeSet<TargetId> {
        let others = self.probation.iter().filter(|(other, _)| **other != content);
        others.map(|(_, target)| target.clone()).collect()
    }

    /// Takes a target for a suspect's step; false where another suspect is running there, or where
    /// the same content is running for another request.
    pub fn enter(&mut self, content: ContentDigest, target: &TargetId) -> bool {
        if !self.is_suspect(content) {
            return true;
        }
        let taken = |(other, at): (&ContentDigest, &TargetId)| *other == content || at == target;
        if self.probation.iter().any(taken) {
            return false;
        }
        self.probation.insert(content, target.clone());
        true
    }

    /// Gives up a suspect's target after its step.
    pub fn leave(&mut self, content: ContentDigest) {
        self.probation.remove(&content);
    }

    /// Clears a content that was served whole.
    pub fn clear(&mut self, content: ContentDigest) {
        self.probation.remove(&content);
        let Some(row) = self.rows.remove(&content) else { return };
        if self.cleared.len() >= CLEARED_LIMIT {
            self.cleared.pop_first();
        }
        self.cleared.entry(content).or_default().extend(row.crashes);
    }

    /// Forgets suspicions that came to nothing.
    pub fn tick(&mut self, now: Moment) {
        self.now = now;
        self.rows.retain(|_, row| now.since(row.noted) <= SUSPICION_LIFE);
    }

    /// The suspects to tell peers of, the newest first.
    pub fn newest(&self, limit: usize) -> Vec<(ContentDigest, &SuspectRow)> {
        let mut rows: Vec<_> = self.rows.iter().map(|(content, row)| (*content, row)).collect();
        rows.sort_by_key(|(content, row)| (std::cmp::Reverse(row.noted), *content));
        rows.truncate(limit);
        rows
    }

    fn crash_count(&self, content: ContentDigest) -> usize {
        self.rows.get(&content).map_or(0, |row| row.crashes.len())
    }

    fn crashed_elsewhere(&self, content: ContentDigest, run: &CrashedRun) -> bool {
        let row = self.rows.get(&content);
        row.is_some_and(|row| row.crashes.iter().any(|crash| crash != run))
    }

    fn add_crash(&mut self, content: ContentDigest, run: CrashedRun) {
        if self.rows.len() >= SUSPECT_LIMIT && !self.rows.contains_key(&content) {
            let oldest = self.rows.iter().min_by_key(|(_, row)| row.noted);
            let oldest = oldest.map(|(content, _)| *content);
            oldest.map(|content| self.rows.remove(&content));
        }
        let row = self.rows.entry(content).or_default();
        if row.crashes.insert(run) {
            row.noted = self.now;
        }
    }
}
