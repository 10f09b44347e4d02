//! The timeline: the events of one process in bounded memory, ordered by a hybrid logical clock.
//!
//! [`EventRing`] holds the newest events. [`HybridClock`] gives each event a timestamp greater than
//! that of every earlier event in this process and of every timestamp received from another.

use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;

use smol_str::SmolStr;

use crate::ids::IdError;

/// A timestamp of the hybrid logical clock, written `MILLIS.COUNTER`.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct HybridStamp {
    /// Milliseconds since the Unix epoch; ahead of the local clock if another process was ahead.
    pub millis: u64,
    /// Orders the events of the same millisecond.
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
        let error = || IdError::Malformed {
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
    /// Returns the timestamp of a local event at the wall-clock time `wall_millis`.
    pub fn tick(&mut self, wall_millis: u64) -> HybridStamp {
        self.latest = if wall_millis > self.latest.millis {
            HybridStamp { millis: wall_millis, counter: 0 }
        } else {
            HybridStamp { millis: self.latest.millis, counter: self.latest.counter + 1 }
        };
        self.latest
    }

    /// Records a timestamp from another process, so that later local events are ordered after it.
    pub fn observe(&mut self, stamp: HybridStamp) {
        self.latest = self.latest.max(stamp);
    }
}

/// The kind of an event. The set is fixed, so that readers can rely on the names.
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
    /// A step or call was retried.
    Retried,
    /// An answer matched no outstanding step or call and was dropped.
    AnswerDropped,
    /// The failed target of a stage was replaced by another.
    StageReplaced,
    /// A claim was appended.
    ClaimAppended,
    /// A claim was read back from the log, with its verdict.
    ClaimRead,
    /// A claim was released before anything was sent.
    ClaimReleased,
    /// A call was dispatched to a service.
    Dispatched,
    /// A request ended with its complete answer.
    Completed,
    /// A request was refused and did not run.
    Refused,
    /// A request ended without a known outcome; it may have run.
    OutcomeUnknown,
    /// A configuration came into force on this instance.
    InForce,
    /// A target is suspected to have failed.
    TargetSuspected,
    /// A target is no longer suspected.
    TargetTrusted,
    /// A target is shutting down and gets no new work.
    TargetLeaving,
    /// A peer is suspected to have failed.
    PeerSuspected,
    /// A peer is no longer suspected.
    PeerTrusted,
    /// The log is unreachable.
    LogLost,
    /// The log is reachable again.
    LogFound,
    /// A checkpoint was written, or a fold was started from one.
    Checkpoint,
    /// A request's content was put in quarantine.
    Quarantined,
    /// The instance began to shut down.
    Draining,
    /// The instance stopped.
    Stopped,
}

/// All kinds with their names on the wire and in the timeline.
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
        row.map(|(kind, _)| *kind).ok_or_else(|| IdError::Malformed {
            kind: "event kind",
            text: SmolStr::new(text),
            expected: "one of the names in docs/operators/timeline.md",
        })
    }
}

/// One event of the timeline.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TimelineEvent {
    /// The position in the causal order.
    pub stamp: HybridStamp,
    /// The kind of the event.
    pub kind: EventKind,
    /// The request concerned, or empty.
    pub request: SmolStr,
    /// The target concerned, or empty.
    pub target: SmolStr,
    /// A short description for people.
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
    /// Creates a ring that keeps the newest `limit` events.
    pub fn new(limit: usize) -> Self {
        Self { events: VecDeque::new(), limit, dropped: 0 }
    }

    /// Adds an event and drops the oldest one if the ring is full.
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

    /// The number of events dropped because the ring was full.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
