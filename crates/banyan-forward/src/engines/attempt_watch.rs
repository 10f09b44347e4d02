//! Attempts that end without an answer: [`watch_attempt`] notes them, [`review_unanswered`] finds out
//! whether their targets crashed.
//!
//! An attempt ends so when its time is over, another target answered first, the caller left, or the
//! connection was lost. None of these tells what became of the target, whose next run or whose
//! record does.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::callers::routed_request::RoutedRequest;
use crate::decisions::tables::ForwardTables;
use crate::edges::Platform;
use crate::engines::link::accepts_connections;
use crate::logs;
use crate::peers::crash_alerts::alert_peers;
use crate::state::ForwardState;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::crashes::CrashEvidence;
use banyan_core::pipeline::crashes::RequestTrait;
use banyan_core::pipeline::crashes::TargetCrash;
use banyan_core::pipeline::unanswered::AttemptReview;
use banyan_core::pipeline::unanswered::TargetSign;
use banyan_core::pipeline::unanswered::UnansweredAttempt;

/// The interval between two reviews of the attempts without an answer.
const REVIEW_INTERVAL: Duration = Duration::from_millis(400);

/// An attempt at a target. If it is dropped before [`AttemptWatch::close`], it counts as one without
/// an answer.
pub struct AttemptWatch {
    note: Option<Box<dyn FnOnce() + Send>>,
}

impl AttemptWatch {
    /// Ends the watch: the target answered, or was not sent the request.
    pub fn close(mut self) {
        self.note = None;
    }
}

impl fmt::Debug for AttemptWatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AttemptWatch").finish_non_exhaustive()
    }
}

impl Drop for AttemptWatch {
    fn drop(&mut self) {
        if let Some(note) = self.note.take() {
            note();
        }
    }
}

/// Watches an attempt that begins now. A target that states no start time cannot be told from its next
/// run, so that nothing is noted of it.
pub fn watch_attempt<P: Send + Sync + 'static>(
    state: &Arc<ForwardState<P>>,
    request: &RoutedRequest,
    target: &TargetId,
) -> AttemptWatch {
    let sent = state.now();
    let report = state
        .tables()
        .fleet
        .rows
        .get(target)
        .and_then(|row| Some((row.report.address, row.report.stamp.born?)));
    let Some((address, run)) = report else { return AttemptWatch { note: None } };
    let (state, target, traits) = (state.clone(), target.clone(), request.traits.clone());
    let note = move || {
        let ended = state.now();
        let attempt = UnansweredAttempt { target, address, run, sent, ended, traits };
        state.tables().unanswered.note(attempt);
    };
    AttemptWatch { note: Some(Box::new(note)) }
}

/// Reviews the attempts without an answer at regular intervals, until the daemon stops.
pub async fn review_unanswered<P: Platform>(state: Arc<ForwardState<P>>) {
    loop {
        tokio::time::sleep(REVIEW_INTERVAL).await;
        let review = review_attempts(&state);
        accuse_requests(&state, review.crashed);
        for attempts in by_target(review.unlisted).into_values() {
            tokio::spawn(examine_unlisted(state.clone(), attempts));
        }
    }
}

fn review_attempts<P>(state: &ForwardState<P>) -> AttemptReview {
    let now = state.now();
    let mut guard = state.tables();
    let tables = &mut *guard;
    if tables.unanswered.is_empty() {
        return AttemptReview::default();
    }
    let ForwardTables { unanswered, history, fleet, suspicions, .. } = tables;
    let sign = |id: &TargetId| match history.listed().get(id) {
        Some(report) => TargetSign::Listed {
            run: report.stamp.born,
            is_leaving: fleet.rows.get(id).is_some_and(|row| row.is_leaving()),
            progress: suspicions.last_progress(id),
        },
        None => TargetSign::Unlisted,
    };
    unanswered.review(sign, now)
}

fn by_target(attempts: Vec<UnansweredAttempt>) -> BTreeMap<TargetId, Vec<UnansweredAttempt>> {
    let mut groups: BTreeMap<TargetId, Vec<UnansweredAttempt>> = BTreeMap::new();
    for attempt in attempts {
        groups.entry(attempt.target.clone()).or_default().push(attempt);
    }
    groups
}

/// Finds out whether a target crashed whose record was removed. One that leaves, or whose record
/// expired while the store was away, still accepts connections, and no other has its address yet.
async fn examine_unlisted<P: Platform>(
    state: Arc<ForwardState<P>>,
    attempts: Vec<UnansweredAttempt>,
) {
    let Some(address) = attempts.first().map(|attempt| attempt.address) else { return };
    let is_replaced = state.tables().fleet.is_listed_at(address);
    if is_replaced || !accepts_connections(address).await {
        accuse_requests(&state, attempts);
    }
}

/// Records that targets crashed under the requests of these attempts, and tells peers.
fn accuse_requests<P: Platform>(state: &Arc<ForwardState<P>>, attempts: Vec<UnansweredAttempt>) {
    if attempts.is_empty() {
        return;
    }
    let now = state.now();
    let mut suspects: BTreeSet<RequestTrait> = BTreeSet::new();
    for attempt in attempts {
        let crash = TargetCrash {
            target: attempt.target,
            run: Some(attempt.run),
            sent: attempt.sent,
            at: attempt.ended,
            evidence: CrashEvidence::Silence,
        };
        let suspected = state.tables().crashes.note_crash(&attempt.traits, &crash, now);
        logs::silent_crash_suspected(&crash, suspected.len());
        suspects.extend(suspected);
    }
    alert_peers(state, suspects.into_iter().collect());
}
