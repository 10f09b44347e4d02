//! Attempts that ended without an answer, until it is known whether their targets crashed:
//! [`UnansweredTable`].
//!
//! A target whose host goes down with it sends nothing, so the end of an attempt there looks like
//! that at a slow target or across a cut: a time limit, or an answer from another target. Only what
//! the target does afterwards tells them apart. It starts anew, its record expires, or it goes on
//! answering others.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::TargetId;
use crate::pipeline::crashes::RequestTrait;
use crate::units::Moment;

/// How long an attempt is kept: a target that crashed starts anew, or its record expires, within
/// seconds.
const EVIDENCE_TIME: Duration = Duration::from_secs(15);
/// A target that answers within this time after the end of an attempt did not crash under it. A
/// later answer may be that of its next run.
const ALIVE_TIME: Duration = Duration::from_secs(1);
/// An answer so soon after the end of an attempt may have been on its way already.
const TRANSIT_TIME: Duration = Duration::from_millis(50);
/// The largest number of attempts; the one that ended first is dropped first.
const MAX_ATTEMPTS: usize = 1_024;

/// An attempt that ended without a complete answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnansweredAttempt {
    /// The target.
    pub target: TargetId,
    /// The target's address.
    pub address: SocketAddr,
    /// The start time of the target's run, in wall-clock milliseconds.
    pub run: u64,
    /// When the request was sent.
    pub sent: Moment,
    /// When the attempt ended. Invariant: not before `sent`.
    pub ended: Moment,
    /// The traits of its request.
    pub traits: Vec<RequestTrait>,
}

/// What is known about a target now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetSign {
    /// Its record is there.
    Listed {
        /// The start time of its run, if it states one.
        run: Option<u64>,
        /// Whether it leaves.
        is_leaving: bool,
        /// When it last answered or forwarded a token.
        progress: Option<Moment>,
    },
    /// Its record was removed.
    Unlisted,
}

/// What a review of the attempts found.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct AttemptReview {
    /// The attempts whose targets crashed: they have started anew since.
    pub crashed: Vec<UnansweredAttempt>,
    /// The attempts whose targets' records were removed since. Their targets crashed unless they
    /// still accept connections.
    pub unlisted: Vec<UnansweredAttempt>,
}

/// The attempts of the last seconds that ended without an answer.
#[derive(Debug, Default)]
pub struct UnansweredTable {
    /// In the order in which they were noted. Invariant: at most `MAX_ATTEMPTS`.
    attempts: VecDeque<UnansweredAttempt>,
}

impl UnansweredTable {
    /// Notes an attempt that has just ended.
    pub fn note(&mut self, attempt: UnansweredAttempt) {
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts.push_back(attempt);
    }

    /// Whether there are no attempts.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Takes out the attempts whose targets seem to have crashed, and drops those that are too old or
    /// whose targets are alive or leave.
    pub fn review(&mut self, sign: impl Fn(&TargetId) -> TargetSign, now: Moment) -> AttemptReview {
        let mut review = AttemptReview::default();
        for attempt in std::mem::take(&mut self.attempts) {
            match judge(&attempt, sign(&attempt.target), now) {
                AttemptVerdict::Open => self.attempts.push_back(attempt),
                AttemptVerdict::Acquitted => {}
                AttemptVerdict::Crashed => review.crashed.push(attempt),
                AttemptVerdict::Unlisted => review.unlisted.push(attempt),
            }
        }
        review
    }
}

/// Whether a target crashed under an attempt.
enum AttemptVerdict {
    Open,
    Acquitted,
    Crashed,
    Unlisted,
}

fn judge(attempt: &UnansweredAttempt, sign: TargetSign, now: Moment) -> AttemptVerdict {
    if now.since(attempt.ended) >= EVIDENCE_TIME {
        return AttemptVerdict::Acquitted;
    }
    let TargetSign::Listed { run, is_leaving, progress } = sign else {
        return AttemptVerdict::Unlisted;
    };
    if run.is_some_and(|run| run != attempt.run) {
        return AttemptVerdict::Crashed;
    }
    let alive = attempt.ended + TRANSIT_TIME..attempt.ended + ALIVE_TIME;
    if is_leaving || progress.is_some_and(|at| alive.contains(&at)) {
        return AttemptVerdict::Acquitted;
    }
    AttemptVerdict::Open
}
