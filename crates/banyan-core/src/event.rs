//! The time line: events of one process in bounded memory, ordered by a hybrid logical clock.
//!
//! [`EventRing`] holds the newest events. [`HybridClock`] gives each a stamp that is greater than
//! that of every event known to have come before, in this process or in one that sent it a stamp.

use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;

use smol_str::SmolStr;

use crate::ids::IdError;

/// A stamp of the hybrid logical clock, written `MILLIS.COUNTER`.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct HybridStamp {
    /// Wall-clock milliseconds of the Unix epoch, pushed ahead where another process was ahead.
    pub millis: u64,
    /// Tells apart events of the same millisecond.
    pub counter: u32,
}

impl fmt::Display for HybridStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.millis, self.counter)
    }
}

impl FromStr for HybridStamp {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let error = || IdError::NotNumber {
            kind: "time stamp",
            text: SmolStr::new(text),
            expected: "MILLIS.COUNTER",
        };
        let (millis, counter) = text.split_once('.').ok_or_else(error)?;
        let millis = millis.parse().map_err(|_| error())?;
        let counter = counter.parse().map_err(|_| error())?;
        Ok(Self { millis, counter })
    }
}

/// The hybrid logical clock of one process.
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    latest: HybridStamp,
}

impl HybridClock {
    /// The stamp of an event that happens here at the wall-clock time `wall_millis`.
    pub fn tick(&mut self, wall_millis: u64) -> HybridStamp {
        self.latest = if wall_millis > self.latest.millis {
            HybridStamp { millis: wall_millis, counter: 0 }
        } else {
            HybridStamp { millis: self.latest.millis, counter: self.latest.counter + 1 }
        };
        self.latest
    }

    /// Takes in a stamp from another process, so that later events here come after it.
    pub fn observe(&mut self, stamp: HybridStamp) {
        self.latest = self.latest.max(stamp);
    }
}

/// What kind of thing happened. The set is closed, so that readers can rely on the names.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum EventKind {
    /// The process started.
    Started,
    /// A request was admitted.
    Admitted,
    /// A chain of targets was chosen for a request.
    Routed,
    /// A step was sent to a target.
    StepSent,
    /// A target answered a step.
    StepAnswered,
    /// A step or call was tried again.
    Retried,
    /// An answer did not match what was waited for and was dropped.
    AnswerDropped,
    /// A dead stage was replaced by another target.
    StageReplaced,
    /// A claim was appended.
    ClaimAppended,
    /// A claim was read back from the log, with its verdict.
    ClaimRead,
    /// A claim was given up before anything was sent.
    ClaimReleased,
    /// A call was dispatched to a service.
    Dispatched,
    /// A request ended with its whole answer.
    Completed,
    /// A request was refused and did not run.
    Refused,
    /// A request ended and may have run.
    OutcomeUnknown,
    /// A configuration came into force here.
    InForce,
    /// A target is suspected to have failed.
    TargetSuspected,
    /// A target is trusted again.
    TargetTrusted,
    /// A target is leaving and gets no new work.
    TargetLeaving,
    /// A peer is suspected to have failed.
    PeerSuspected,
    /// A peer is trusted again.
    PeerTrusted,
    /// The log cannot be reached.
    LogLost,
    /// The log can be reached again.
    LogFound,
    /// A checkpoint was written or started from.
    Checkpoint,
    /// A request's content was put in quarantine.
    Quarantined,
    /// A stop of the instance began.
    Draining,
    /// The instance stopped.
    Stopped,
}

/// All kinds with their names on the wire and on the time line.
const EVENT_NAMES: [(EventKind, &str); 27] = [
    (EventKind::Started, "started"),
    (EventKind::Admitted, "admitted"),
    (EventKind::Routed, "routed"),
    (EventKind::StepSent, "step-sent"),
    (EventKind::StepAnswered, "step-answered"),
    (EventKind::Retried, "retried"),
    (EventKind::AnswerDropped, "answer-dropped"),
    (EventKind::StageReplaced, "stage-replaced"),
    (EventKind::ClaimAppended, "claim-appended"),
    (EventKind::ClaimRead, "claim-read"),
    (EventKind::ClaimReleased, "claim-released"),
    (EventKind::Dispatched, "dispatched"),
    (EventKind::Completed, "completed"),
    (EventKind::Refused, "refused"),
    (EventKind::OutcomeUnknown, "outcome-unknown"),
    (EventKind::InForce, "in-force"),
    (EventKind::TargetSuspected, "target-suspected"),
    (EventKind::TargetTrusted, "target-trusted"),
    (EventKind::TargetLeaving, "target-leaving"),
    (EventKind::PeerSuspected, "peer-suspected"),
    (EventKind::PeerTrusted, "peer-trusted"),
    (EventKind::LogLost, "log-lost"),
    (EventKind::LogFound, "log-found"),
    (EventKind::Checkpoint, "checkpoint"),
    (EventKind::Quarantined, "quarantined"),
    (EventKind::Draining, "draining"),
    (EventKind::Stopped, "stopped"),
];

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = EVENT_NAMES.iter().find(|(kind, _)| kind == self).map_or("event", |row| row.1);
        f.write_str(name)
    }
}

impl FromStr for EventKind {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let row = EVENT_NAMES.iter().find(|(_, name)| *name == text);
        row.map(|(kind, _)| *kind).ok_or_else(|| IdError::NotNumber {
            kind: "event kind",
            text: SmolStr::new(text),
            expected: "one of the names in docs/operators/timeline.md",
        })
    }
}

/// One event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TimelineEvent {
    /// Its place in the causal order.
    pub stamp: HybridStamp,
    /// What kind of thing happened.
    pub kind: EventKind,
    /// The request it is about, or empty.
    pub request: SmolStr,
    /// The target it is about, or empty.
    pub target: SmolStr,
    /// A short sentence.
    pub detail: SmolStr,
}

/// The newest events of one process, oldest first.
///
/// Invariant: never holds more than its limit.
#[derive(Clone, Debug)]
pub struct EventRing {
    events: VecDeque<TimelineEvent>,
    limit: usize,
    dropped: u64,
}

impl EventRing {
    /// A ring that keeps the newest `limit` events.
    pub fn new(limit: usize) -> Self {
        Self { events: VecDeque::new(), limit, dropped: 0 }
    }

    /// Adds an event and forgets the oldest where the ring is full.
    pub fn push(&mut self, event: TimelineEvent) {
        if self.events.len() == self.limit {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// The events kept, oldest first.
    pub fn events(&self) -> impl Iterator<Item = &TimelineEvent> {
        self.events.iter()
    }

    /// How many events were forgotten.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
