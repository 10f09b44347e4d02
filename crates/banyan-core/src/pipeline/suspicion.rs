//! Which targets are doubted: [`SuspicionTable`].
//!
//! Doubt comes from what this instance saw itself: refused connections, answers that broke off,
//! streams that stand still. It is soft state: a doubted target is avoided while there is another.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::TargetId;
use crate::units::Moment;

/// The time for which one failure makes a target avoided.
const FIRST_DOUBT: Duration = Duration::from_millis(1_000);
/// The longest time for which a target is avoided after repeated failures.
const LONGEST_DOUBT: Duration = Duration::from_millis(4_000);
/// The time for which a target is avoided that stated that it does not run a request.
const REFUSAL_DOUBT: Duration = Duration::from_millis(500);
/// The time after which an earlier failure no longer lengthens the next doubt.
const FORGET_TIME: Duration = Duration::from_secs(10);

/// The time for which a target counts as unreachable after it did not answer a probe.
const UNREACHABLE_TIME: Duration = Duration::from_millis(1_500);

/// The time between two probes of one target at least.
const PROBE_PAUSE: Duration = Duration::from_millis(300);
/// The time for which an answered probe shows that a target is there.
const ANSWER_TIME: Duration = Duration::from_millis(1_000);

/// The time after which a probe that was not answered speaks against a target.
const ANSWER_PATIENCE: Duration = Duration::from_millis(25);

/// The time within which several notes of a failure are taken as notes of the same one.
const SAME_FAILURE_TIME: Duration = Duration::from_millis(200);

/// How a probe ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// The target answered.
    Answered,
    /// Nothing came in time: the target may be slow, or out of this instance's reach.
    NoAnswer,
    /// The target's host refused the connection, so that nothing runs there.
    Absent,
}

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
    /// Until when targets are avoided that stated that they do not run a request.
    refused: BTreeMap<TargetId, Moment>,
    progress: BTreeMap<TargetId, Moment>,
    /// Until when targets count as unreachable, and whether their hosts say that nothing runs there.
    unreachable: BTreeMap<TargetId, (Moment, ProbeOutcome)>,
    probing: BTreeMap<TargetId, Moment>,
    answered: BTreeMap<TargetId, Moment>,
    /// Grows with each change of who is doubted.
    pub revision: u64,
}

impl SuspicionTable {
    /// Notes that a target failed.
    pub fn note_failure(&mut self, id: &TargetId, now: Moment) {
        let same = |row: &DoubtRow| now < row.until && now.since(row.noted) < SAME_FAILURE_TIME;
        if self.rows.get(id).is_some_and(same) {
            return;
        }
        let failures = match self.rows.get(id) {
            Some(row) if now.since(row.noted) < FORGET_TIME => row.failures.saturating_add(1),
            _ => 1,
        };
        let doubt = FIRST_DOUBT.saturating_mul(failures).min(LONGEST_DOUBT);
        self.rows.insert(id.clone(), DoubtRow { until: now + doubt, noted: now, failures });
        self.revision += 1;
    }

    /// Notes that a target stated that it does not run a request. It may be out of memory for now, or
    /// leaving, which its record tells; it has not failed.
    pub fn note_refusal(&mut self, id: &TargetId, now: Moment) {
        let before = self.refused.insert(id.clone(), now + REFUSAL_DOUBT);
        if before.is_none_or(|until| until <= now) {
            self.revision += 1;
        }
    }

    /// Takes the targets out of `ids` that no probe was begun to lately, and notes that one is now.
    pub fn begin_probes(&mut self, ids: &[TargetId], now: Moment) -> Vec<TargetId> {
        let mut fresh = Vec::new();
        for id in ids {
            if self.probing.get(id).is_some_and(|begun| now.since(*begun) < PROBE_PAUSE) {
                continue;
            }
            self.probing.insert(id.clone(), now);
            fresh.push(id.clone());
        }
        fresh
    }

    /// The targets of `ids` that neither passed a token on for `silence` nor answered a probe lately.
    pub fn silent<'a>(
        &self,
        ids: impl Iterator<Item = &'a TargetId>,
        silence: Duration,
        now: Moment,
    ) -> Vec<TargetId> {
        let lately = |seen: Option<&Moment>, time: Duration| {
            seen.is_some_and(|seen| now.since(*seen) < time)
        };
        ids.filter(|id| !lately(self.progress.get(*id), silence))
            .filter(|id| !lately(self.answered.get(*id), ANSWER_TIME))
            .cloned()
            .collect()
    }

    /// The targets of `ids` that have not answered a probe that was begun long enough ago.
    pub fn unresponsive<'a>(
        &self,
        ids: impl Iterator<Item = &'a TargetId>,
        now: Moment,
    ) -> Vec<TargetId> {
        let overdue = |id: &&TargetId| {
            let Some(begun) = self.probing.get(*id) else { return false };
            let answered = self.answered.get(*id).is_some_and(|at| at >= begun);
            let waited = now.since(*begun);
            !answered && (ANSWER_PATIENCE..ANSWER_TIME).contains(&waited)
        };
        ids.filter(overdue).cloned().collect()
    }

    /// Takes in how a probe ended; tells whether that is news.
    pub fn record_probe(&mut self, id: &TargetId, end: ProbeOutcome, now: Moment) -> bool {
        if end == ProbeOutcome::Answered {
            self.answered.insert(id.clone(), now);
            let doubted = self.rows.remove(id).is_some();
            let news = self.unreachable.remove(id).is_some();
            self.revision += u64::from(doubted || news);
            return news;
        }
        self.answered.remove(id);
        self.note_failure(id, now);
        let before = self.unreachable.insert(id.clone(), (now + UNREACHABLE_TIME, end));
        let news = before.is_none_or(|(_, before)| before != end);
        self.revision += u64::from(news);
        news
    }

    /// Whether a target did not answer a probe lately.
    pub fn is_unreachable(&self, id: &TargetId, now: Moment) -> bool {
        self.unreachable.get(id).is_some_and(|(until, _)| now < *until)
    }

    /// Whether nothing runs where a target was, as its host said lately.
    pub fn is_absent(&self, id: &TargetId, now: Moment) -> bool {
        let absent =
            |(until, end): &(Moment, ProbeOutcome)| now < *until && *end == ProbeOutcome::Absent;
        self.unreachable.get(id).is_some_and(absent)
    }

    /// The targets that did not answer a probe lately.
    pub fn unreachable(&self, now: Moment) -> Vec<TargetId> {
        let lately = self.unreachable.iter().filter(|(_, (until, _))| now < *until);
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

    /// Whether a target is doubted now.
    pub fn is_suspect(&self, id: &TargetId, now: Moment) -> bool {
        let failed = self.rows.get(id).is_some_and(|row| now < row.until);
        failed || self.refused.get(id).is_some_and(|until| now < *until)
    }

    /// The earliest moment at which a doubt ends, if there is any after `now`.
    pub fn next_expiry(&self, now: Moment) -> Option<Moment> {
        let failed = self.rows.values().map(|row| row.until);
        let refused = self.refused.values().copied();
        failed.chain(refused).filter(|until| *until > now).min()
    }

    /// Forgets a target that is gone.
    pub fn forget(&mut self, id: &TargetId) {
        self.rows.remove(id);
        self.refused.remove(id);
        self.progress.remove(id);
        self.unreachable.remove(id);
        self.probing.remove(id);
        self.answered.remove(id);
    }
}
