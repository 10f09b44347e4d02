//! Detection of requests that crash targets: [`SuspectTable`].
//!
//! When a target crashes, every content in flight there becomes a suspect. A suspect runs on at
//! most one target at a time, and a target runs at most one suspect. After a second crash, the only
//! suspect that was in flight there is therefore the cause. It is convicted: it counts as the cause,
//! and its requests are refused. If several suspects were in flight at a crash nevertheless, none is
//! convicted yet. An instance knows only its own requests in flight, so a referee per target, which
//! is outside this crate, ensures that suspects of different instances don't share the target.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::TargetId;
use crate::record::ContentDigest;
use crate::units::Moment;

/// The number of crashes of different target runs that convicts a content.
const CONVICTION_CRASHES: usize = 2;
/// The largest number of suspects; the oldest is dropped first.
const MAX_SUSPECTS: usize = 4096;
/// The largest number of contents that are remembered as cleared.
const MAX_CLEARED: usize = 4096;
/// The time after which a suspicion without another crash ends.
const SUSPICION_TTL: Duration = Duration::from_secs(600);

/// A run of a target that ended in a crash: the target and its incarnation.
pub type CrashedRun = (TargetId, SmolStr);

/// The contents that may crash targets.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    /// The suspects. Invariant: at most `MAX_SUSPECTS`.
    pub rows: BTreeMap<ContentDigest, SuspectRow>,
    /// The suspects that are running, each with its target.
    pub probation: BTreeMap<ContentDigest, TargetId>,
    /// The crashes for which a content was cleared, so that older reports of peers do not make it a
    /// suspect again.
    cleared: BTreeMap<ContentDigest, BTreeSet<CrashedRun>>,
    /// The time of the last tick.
    now: Moment,
}

/// A content that may crash targets.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SuspectRow {
    /// The target runs that crashed while the content was in flight there.
    pub crashes: BTreeSet<CrashedRun>,
    /// When the newest of these crashes was recorded.
    pub noted: Moment,
}

impl SuspectTable {
    /// Records a crash of one run of a target with these contents in flight. Returns the convicted
    /// one, if any.
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
        // Only a content that was a suspect before can be the cause. It is convicted if it is the
        // only one.
        let [culprit] = suspects[..] else { return Vec::new() };
        self.explain_crashes(culprit);
        vec![culprit]
    }

    /// Removes the crashes that a convicted content explains from the other contents.
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

    /// Merges a peer's record of a suspect. Returns whether the suspect is convicted by it.
    ///
    /// A content whose crashes were observed by different instances is convicted only if no other
    /// suspect shares all of them.
    pub fn merge(&mut self, content: ContentDigest, crashes: &BTreeSet<CrashedRun>) -> bool {
        let before = self.crash_count(content);
        let cleared = self.cleared.get(&content).cloned().unwrap_or_default();
        for run in crashes.difference(&cleared) {
            self.add_crash(content, run.clone());
        }
        let Some(row) = self.rows.get(&content) else { return false };
        if row.crashes.len() < CONVICTION_CRASHES || row.crashes.len() == before {
            return false;
        }
        let mut others = self.rows.iter().filter(|(other, _)| **other != content);
        !others.any(|(_, other)| row.crashes.is_subset(&other.crashes))
    }

    /// Whether a content is a suspect.
    pub fn is_suspect(&self, content: ContentDigest) -> bool {
        self.rows.contains_key(&content)
    }

    /// The targets that a suspect must not be sent to because another suspect is running there.
    pub fn occupied(&self, content: ContentDigest) -> BTreeSet<TargetId> {
        let others = self.probation.iter().filter(|(other, _)| **other != content);
        others.map(|(_, target)| target.clone()).collect()
    }

    /// Reserves a target for a suspect's step. Returns false if another suspect is running there,
    /// or if the same content is running for another request.
    pub fn enter(&mut self, content: ContentDigest, target: &TargetId) -> bool {
        if !self.is_suspect(content) {
            return true;
        }
        let conflicts =
            |(other, at): (&ContentDigest, &TargetId)| *other == content || at == target;
        if self.probation.iter().any(conflicts) {
            return false;
        }
        self.probation.insert(content, target.clone());
        true
    }

    /// Releases a suspect's target after its step.
    pub fn leave(&mut self, content: ContentDigest) {
        self.probation.remove(&content);
    }

    /// Clears a content after a request with it was served to its end.
    pub fn clear(&mut self, content: ContentDigest) {
        self.probation.remove(&content);
        let Some(row) = self.rows.remove(&content) else { return };
        if self.cleared.len() >= MAX_CLEARED {
            self.cleared.pop_first();
        }
        self.cleared.entry(content).or_default().extend(row.crashes);
    }

    /// Drops suspicions that have expired.
    pub fn tick(&mut self, now: Moment) {
        self.now = now;
        self.rows.retain(|_, row| now.since(row.noted) <= SUSPICION_TTL);
    }

    /// The suspects to send to peers, newest first.
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
        if self.rows.len() >= MAX_SUSPECTS && !self.rows.contains_key(&content) {
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
