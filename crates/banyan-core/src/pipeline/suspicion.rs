//! Which targets are doubted: [`SuspicionTable`].
//!
//! Doubt comes from what this instance saw itself: refused connections, answers that broke off,
//! streams that stand still. It is soft state: a doubted target is avoided while there is another.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::TargetId;
use crate::units::Moment;

/// The time for which one failure makes a target avoided.
const FIRST_DOUBT: Duration = Duration::from_millis(1_000);
/// The longest time for which a target is avoided after repeated failures.
const LONGEST_DOUBT: Duration = Duration::from_millis(4_000);
/// The time after which an earlier failure no longer lengthens the next doubt.
const FORGET_TIME: Duration = Duration::from_secs(10);

/// The time for which a target counts as unreachable after it did not answer a probe.
const UNREACHABLE_TIME: Duration = Duration::from_millis(1_500);

/// What is held against one target.
#[derive(Clone, Copy, Debug)]
struct DoubtRow {
    until: Moment,
    noted: Moment,
    failures: u32,
}

/// The targets that are doubted.
#[derive(Debug, Default)]
pub struct SuspicionTable {
    rows: BTreeMap<TargetId, DoubtRow>,
    progress: BTreeMap<TargetId, Moment>,
    unreachable: BTreeMap<TargetId, Moment>,
    probing: BTreeSet<TargetId>,
    /// Grows with each change of who is doubted.
    pub revision: u64,
}

impl SuspicionTable {
    /// Notes that a target failed.
    pub fn note_failure(&mut self, id: &TargetId, now: Moment) {
        let failures = match self.rows.get(id) {
            Some(row) if now.since(row.noted) < FORGET_TIME => row.failures.saturating_add(1),
            _ => 1,
        };
        let doubt = FIRST_DOUBT.saturating_mul(failures).min(LONGEST_DOUBT);
        self.rows.insert(id.clone(), DoubtRow { until: now + doubt, noted: now, failures });
        self.revision += 1;
    }

    /// Takes the targets out of `ids` that no probe is under way to, and notes that one is now.
    pub fn begin_probes(&mut self, ids: &[TargetId]) -> Vec<TargetId> {
        ids.iter().filter(|id| self.probing.insert((*id).clone())).cloned().collect()
    }

    /// Takes in whether a target answered a probe; tells whether that is news.
    pub fn end_probe(&mut self, id: &TargetId, answered: bool, now: Moment) -> bool {
        self.probing.remove(id);
        self.revision += 1;
        if answered {
            self.rows.remove(id);
            return self.unreachable.remove(id).is_some();
        }
        self.note_failure(id, now);
        self.unreachable.insert(id.clone(), now + UNREACHABLE_TIME).is_none()
    }

    /// Whether a target did not answer a probe lately.
    pub fn is_unreachable(&self, id: &TargetId, now: Moment) -> bool {
        self.unreachable.get(id).is_some_and(|until| now < *until)
    }

    /// The targets that did not answer a probe lately.
    pub fn unreachable(&self, now: Moment) -> Vec<TargetId> {
        let lately = self.unreachable.iter().filter(|(_, until)| now < **until);
        lately.map(|(id, _)| id.clone()).collect()
    }

    /// Notes that a target answered or passed a token on.
    pub fn note_progress(&mut self, id: &TargetId, now: Moment) {
        match self.progress.get_mut(id) {
            Some(seen) => *seen = now,
            None => {
                self.progress.insert(id.clone(), now);
            }
        }
    }

    /// When a target was last seen to work.
    pub fn last_progress(&self, id: &TargetId) -> Option<Moment> {
        self.progress.get(id).copied()
    }

    /// Whether a target is doubted now.
    pub fn is_doubted(&self, id: &TargetId, now: Moment) -> bool {
        self.rows.get(id).is_some_and(|row| now < row.until)
    }

    /// The earliest moment at which a doubt ends, if there is any after `now`.
    pub fn next_end(&self, now: Moment) -> Option<Moment> {
        self.rows.values().map(|row| row.until).filter(|until| *until > now).min()
    }

    /// Forgets a target that is gone.
    pub fn forget(&mut self, id: &TargetId) {
        self.rows.remove(id);
        self.progress.remove(id);
        self.unreachable.remove(id);
    }
}
