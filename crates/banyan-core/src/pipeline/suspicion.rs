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
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(25);
/// How long an instance waits for the checker of a target before it probes the target itself.
pub const CHECKER_TIMEOUT: Duration = Duration::from_millis(15);
/// The time within which a token that a target forwarded proves to others that it is alive.
const PROGRESS_VALIDITY: Duration = Duration::from_millis(70);

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

/// What a checker knows about a target that another instance asks about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CheckOutcome {
    /// It forwarded a token or answered a probe this long ago.
    Alive(Duration),
    /// A recent probe failed.
    Unreachable,
    /// A probe has not been answered yet.
    Unknown,
}

/// A target that did not answer.
#[derive(Clone, Copy, Debug)]
struct UnreachableRow {
    found: Moment,
    outcome: ProbeOutcome,
}

impl UnreachableRow {
    fn is_valid(&self, now: Moment) -> bool {
        now.since(self.found) < UNREACHABLE_TIME
    }
}

/// A probe or a question to a checker that has begun.
#[derive(Clone, Copy, Debug)]
struct PendingProbe {
    started: Moment,
    /// How long it may stay unanswered before the target counts as unresponsive.
    timeout: Duration,
    /// Whether the target proved to be alive since. A checker may say so from what it saw before
    /// this question.
    answered: bool,
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
    unreachable: BTreeMap<TargetId, UnreachableRow>,
    probing: BTreeMap<TargetId, PendingProbe>,
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
            let is_recent = |probe: &PendingProbe| now.since(probe.started) < PROBE_INTERVAL;
            if self.probing.get(id).is_some_and(is_recent) {
                continue;
            }
            let probe = PendingProbe { started: now, timeout: PROBE_TIMEOUT, answered: false };
            self.probing.insert(id.clone(), probe);
            due.push(id.clone());
        }
        due
    }

    /// Records that the checker of a target is asked first, which takes longer.
    pub fn await_checker(&mut self, id: &TargetId) {
        if let Some(probe) = self.probing.get_mut(id) {
            probe.timeout = CHECKER_TIMEOUT + PROBE_TIMEOUT;
        }
    }

    /// What this instance can say as the checker of a target without another probe.
    pub fn known_outcome(&self, id: &TargetId, now: Moment) -> CheckOutcome {
        let age = |seen: Option<&Moment>| seen.map(|seen| now.since(*seen));
        let progress = age(self.progress.get(id)).filter(|age| *age < PROGRESS_VALIDITY);
        let answered = age(self.answered.get(id)).filter(|age| *age < PROBE_INTERVAL);
        if let Some(age) = progress.or(answered) {
            return CheckOutcome::Alive(age);
        }
        let is_recent = |row: &UnreachableRow| now.since(row.found) < PROBE_INTERVAL;
        if self.unreachable.get(id).is_some_and(is_recent) {
            CheckOutcome::Unreachable
        } else {
            CheckOutcome::Unknown
        }
    }

    /// Records what the checker of a target said, and returns whether this instance must probe the
    /// target itself. The word of a checker ends a suspicion, but never causes one: a checker that
    /// is slow or cut off would turn all instances against a sound target. It only extends what
    /// this instance found itself.
    pub fn record_check(&mut self, id: &TargetId, outcome: CheckOutcome, now: Moment) -> bool {
        match outcome {
            CheckOutcome::Alive(age) => {
                self.record_alive(id, now.before(age));
                false
            }
            CheckOutcome::Unreachable => match self.unreachable.get_mut(id) {
                Some(row) if row.is_valid(now) => {
                    row.found = now;
                    false
                }
                _ => true,
            },
            CheckOutcome::Unknown => true,
        }
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
        ids.filter(|id| self.is_overdue(id, now)).cloned().collect()
    }

    fn is_overdue(&self, id: &TargetId, now: Moment) -> bool {
        let Some(probe) = self.probing.get(id) else { return false };
        let waited = now.since(probe.started);
        !probe.answered && (probe.timeout..PROBE_VALIDITY).contains(&waited)
    }

    /// Records the outcome of this instance's own probe. Returns whether the target's reachability
    /// changed.
    pub fn record_probe(&mut self, id: &TargetId, end: ProbeOutcome, now: Moment) -> bool {
        if end == ProbeOutcome::Answered {
            return self.record_alive(id, now);
        }
        self.answered.remove(id);
        self.note_failure(id, now);
        let row = UnreachableRow { found: now, outcome: end };
        let before = self.unreachable.insert(id.clone(), row);
        let changed = before.is_none_or(|before| before.outcome != end);
        self.revision += u64::from(changed);
        changed
    }

    fn record_alive(&mut self, id: &TargetId, at: Moment) -> bool {
        if let Some(probe) = self.probing.get_mut(id) {
            probe.answered = true;
        }
        let newest = self.answered.get(id).map_or(at, |known| at.max(*known));
        self.answered.insert(id.clone(), newest);
        let was_suspect = self.rows.remove(id).is_some();
        let changed = self.unreachable.remove(id).is_some();
        self.revision += u64::from(was_suspect || changed);
        changed
    }

    /// Whether a recent probe of a target went unanswered or was refused.
    pub fn is_unreachable(&self, id: &TargetId, now: Moment) -> bool {
        self.unreachable.get(id).is_some_and(|row| row.is_valid(now))
    }

    /// Whether the target's host recently refused a connection.
    pub fn is_absent(&self, id: &TargetId, now: Moment) -> bool {
        let absent =
            |row: &UnreachableRow| row.is_valid(now) && row.outcome == ProbeOutcome::Absent;
        self.unreachable.get(id).is_some_and(absent)
    }

    /// The targets that did not answer a recent probe.
    pub fn unreachable(&self, now: Moment) -> impl Iterator<Item = &TargetId> {
        self.unreachable.iter().filter(move |(_, row)| row.is_valid(now)).map(|(id, _)| id)
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

    /// When a target last answered or forwarded a token.
    pub fn last_progress(&self, id: &TargetId) -> Option<Moment> {
        self.progress.get(id).copied()
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
