//! Tracks targets that are suspected of having failed: [`SuspicionTable`].
//!
//! Suspicion comes from what this instance observed itself: refused connections, broken answers,
//! stalled streams. It is soft state: a suspect is avoided only while another target is available.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::TargetId;
use crate::units::Moment;

/// Duration of a suspicion after one failure.
const SUSPICION_TIME: Duration = Duration::from_millis(1_000);
/// Longest duration of a suspicion after repeated failures.
const MAX_SUSPICION_TIME: Duration = Duration::from_millis(4_000);
/// How long a target is avoided after it refused to run a request.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Failures further apart than this do not lengthen the suspicion.
const FAILURE_MEMORY: Duration = Duration::from_secs(10);

/// How long a target counts as unreachable after a probe without an answer.
const UNREACHABLE_TIME: Duration = Duration::from_millis(1_500);

/// Shortest interval between two probes of one target.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// How long an answered probe counts as proof that the target is alive.
const PROBE_VALIDITY: Duration = Duration::from_millis(1_000);

/// How long a probe may stay unanswered before the target counts as unresponsive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(25);

/// Reports within this time of the first one count as the same failure, since many streams report
/// one crash.
const SAME_FAILURE_TIME: Duration = Duration::from_millis(200);

/// The outcome of a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// The target answered.
    Answered,
    /// No answer came in time. The target may be slow, or unreachable from this instance.
    NoAnswer,
    /// The target's host refused the connection, so no process listens there.
    Absent,
}

/// The failures of one target.
#[derive(Clone, Copy, Debug)]
struct FailureRow {
    until: Moment,
    last_failure: Moment,
    failures: u32,
}

/// The targets that are suspected of having failed, and the results of their probes.
#[derive(Debug, Default)]
pub struct SuspicionTable {
    rows: BTreeMap<TargetId, FailureRow>,
    /// Targets that refused to run a request, and until when they are avoided.
    refused: BTreeMap<TargetId, Moment>,
    progress: BTreeMap<TargetId, Moment>,
    /// Unreachable targets: until when they count as such, and whether the host refused
    /// connections.
    unreachable: BTreeMap<TargetId, (Moment, ProbeOutcome)>,
    probing: BTreeMap<TargetId, Moment>,
    answered: BTreeMap<TargetId, Moment>,
    /// Incremented when the set of suspects changes other than by time.
    pub revision: u64,
}

impl SuspicionTable {
    /// Records a failure of a target. Repeated failures lengthen the suspicion.
    pub fn note_failure(&mut self, id: &TargetId, now: Moment) {
        let same =
            |row: &FailureRow| now < row.until && now.since(row.last_failure) < SAME_FAILURE_TIME;
        if self.rows.get(id).is_some_and(same) {
            return;
        }
        let failures = match self.rows.get(id) {
            Some(row) if now.since(row.last_failure) < FAILURE_MEMORY => {
                row.failures.saturating_add(1)
            }
            _ => 1,
        };
        let duration = SUSPICION_TIME.saturating_mul(failures).min(MAX_SUSPICION_TIME);
        self.rows
            .insert(id.clone(), FailureRow { until: now + duration, last_failure: now, failures });
        self.revision += 1;
    }

    /// Records that a target refused to run a request. It may be short of memory, or leaving, which
    /// its record shows. It has not failed.
    pub fn note_refusal(&mut self, id: &TargetId, now: Moment) {
        let before = self.refused.insert(id.clone(), now + REFUSAL_TIME);
        if before.is_none_or(|until| until <= now) {
            self.revision += 1;
        }
    }

    /// Selects the targets of `ids` without a recent probe, and records that a probe of each starts
    /// now.
    pub fn begin_probes(&mut self, ids: &[TargetId], now: Moment) -> Vec<TargetId> {
        let mut due = Vec::new();
        for id in ids {
            if self.probing.get(id).is_some_and(|started| now.since(*started) < PROBE_INTERVAL) {
                continue;
            }
            self.probing.insert(id.clone(), now);
            due.push(id.clone());
        }
        due
    }

    /// The targets of `ids` that have neither forwarded a token within `silence` nor answered a
    /// probe recently.
    pub fn silent<'a>(
        &self,
        ids: impl Iterator<Item = &'a TargetId>,
        silence: Duration,
        now: Moment,
    ) -> Vec<TargetId> {
        let recent = |seen: Option<&Moment>, time: Duration| {
            seen.is_some_and(|seen| now.since(*seen) < time)
        };
        ids.filter(|id| !recent(self.progress.get(*id), silence))
            .filter(|id| !recent(self.answered.get(*id), PROBE_VALIDITY))
            .cloned()
            .collect()
    }

    /// The targets of `ids` with an unanswered probe that was started long enough ago.
    pub fn unresponsive<'a>(
        &self,
        ids: impl Iterator<Item = &'a TargetId>,
        now: Moment,
    ) -> Vec<TargetId> {
        let overdue = |id: &&TargetId| {
            let Some(started) = self.probing.get(*id) else { return false };
            let answered = self.answered.get(*id).is_some_and(|at| at >= started);
            let waited = now.since(*started);
            !answered && (PROBE_TIMEOUT..PROBE_VALIDITY).contains(&waited)
        };
        ids.filter(overdue).cloned().collect()
    }

    /// Records the outcome of a probe. Returns whether the target's reachability changed.
    pub fn record_probe(&mut self, id: &TargetId, end: ProbeOutcome, now: Moment) -> bool {
        if end == ProbeOutcome::Answered {
            self.answered.insert(id.clone(), now);
            let was_suspect = self.rows.remove(id).is_some();
            let changed = self.unreachable.remove(id).is_some();
            self.revision += u64::from(was_suspect || changed);
            return changed;
        }
        self.answered.remove(id);
        self.note_failure(id, now);
        let before = self.unreachable.insert(id.clone(), (now + UNREACHABLE_TIME, end));
        let changed = before.is_none_or(|(_, before)| before != end);
        self.revision += u64::from(changed);
        changed
    }

    /// Whether a recent probe of a target went unanswered or was refused.
    pub fn is_unreachable(&self, id: &TargetId, now: Moment) -> bool {
        self.unreachable.get(id).is_some_and(|(until, _)| now < *until)
    }

    /// Whether the target's host recently refused a connection.
    pub fn is_absent(&self, id: &TargetId, now: Moment) -> bool {
        let absent =
            |(until, end): &(Moment, ProbeOutcome)| now < *until && *end == ProbeOutcome::Absent;
        self.unreachable.get(id).is_some_and(absent)
    }

    /// The targets that did not answer a recent probe.
    pub fn unreachable(&self, now: Moment) -> Vec<TargetId> {
        let recent = self.unreachable.iter().filter(|(_, (until, _))| now < *until);
        recent.map(|(id, _)| id.clone()).collect()
    }

    /// Records that a target answered or forwarded a token.
    pub fn note_progress(&mut self, id: &TargetId, now: Moment) {
        match self.progress.get_mut(id) {
            Some(seen) => *seen = now,
            None => {
                self.progress.insert(id.clone(), now);
            }
        }
    }

    /// Whether a target is suspected now, after a failure or a refusal.
    pub fn is_suspect(&self, id: &TargetId, now: Moment) -> bool {
        let failed = self.rows.get(id).is_some_and(|row| now < row.until);
        failed || self.refused.get(id).is_some_and(|until| now < *until)
    }

    /// The earliest end of a suspicion after `now`.
    pub fn next_expiry(&self, now: Moment) -> Option<Moment> {
        let failed = self.rows.values().map(|row| row.until);
        let refused = self.refused.values().copied();
        failed.chain(refused).filter(|until| *until > now).min()
    }

    /// Drops all state of a target that no longer exists.
    pub fn forget(&mut self, id: &TargetId) {
        self.rows.remove(id);
        self.refused.remove(id);
        self.progress.remove(id);
        self.unreachable.remove(id);
        self.probing.remove(id);
        self.answered.remove(id);
    }
}
