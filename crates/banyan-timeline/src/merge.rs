//! Merges the events of several processes into one sequence: [`MergedTimeline`].

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use banyan_core::event::HybridStamp;
use banyan_wire::operator::EventWire;
use banyan_wire::operator::EventsReply;

/// An event and the process that recorded it; serialized as one line of JSON.
///
/// The kind is kept as text so that kinds added by newer versions can be shown.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProcessEvent {
    /// Name of the process that recorded the event.
    pub process: SmolStr,
    /// The event as received.
    #[serde(flatten)]
    pub event: EventWire,
}

/// Events that a process has dropped, or whose timestamps cannot be parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TimelineGap {
    /// Name of the process that recorded them.
    pub process: SmolStr,
    /// Number of missing events.
    pub count: u64,
    /// Why they are missing, as shown to the user.
    pub reason: &'static str,
}

/// The events of all processes in causal order.
///
/// Invariant: `events` is sorted by timestamp, then process; an event received twice appears once.
#[derive(Clone, Debug, Default)]
pub struct MergedTimeline {
    /// The events, each with its parsed timestamp.
    pub events: Vec<(HybridStamp, ProcessEvent)>,
    /// Missing events, by process and reason.
    pub gaps: Vec<TimelineGap>,
}

/// Merges the events recorded by several processes.
///
/// An event's hybrid timestamp is greater than that of every event that causally precedes it,
/// also across processes that exchange messages. Sorting by timestamp therefore never shows an
/// effect before its cause.
pub fn merge_replies(replies: Vec<EventsReply>) -> MergedTimeline {
    let mut timeline = MergedTimeline::default();
    for reply in replies {
        let process = reply.process;
        let mut unparsed = 0;
        for event in reply.events {
            match event.stamp.parse::<HybridStamp>() {
                Ok(stamp) => {
                    let row = ProcessEvent { process: process.clone(), event };
                    timeline.events.push((stamp, row));
                }
                Err(_) => unparsed += 1,
            }
        }
        record_gap(
            &mut timeline,
            &process,
            reply.dropped,
            "dropped because the event buffer was full",
        );
        record_gap(&mut timeline, &process, unparsed, "their timestamps cannot be parsed");
    }
    timeline
        .events
        .sort_by(|(a_stamp, a), (b_stamp, b)| (a_stamp, &a.process).cmp(&(b_stamp, &b.process)));
    timeline.events.dedup();
    timeline
}

fn record_gap(timeline: &mut MergedTimeline, process: &SmolStr, count: u64, reason: &'static str) {
    if count > 0 {
        timeline.gaps.push(TimelineGap { process: process.clone(), count, reason });
    }
}
