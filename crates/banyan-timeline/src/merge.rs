//! Puts the events of several processes into one order: [`MergedTimeline`].

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use banyan_core::event::HybridStamp;
use banyan_wire::operator::EventWire;
use banyan_wire::operator::EventsReply;

/// One event with the process that recorded it, as a line of JSON.
///
/// The kind stays text, so that events of newer versions can be shown too.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProcessEvent {
    /// The process.
    pub process: SmolStr,
    /// The event.
    #[serde(flatten)]
    pub event: EventWire,
}

/// Events that a process has forgotten, or that cannot be placed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TimelineGap {
    /// The process.
    pub process: SmolStr,
    /// How many events are missing.
    pub count: u64,
    /// Why.
    pub reason: &'static str,
}

/// The events of all processes in causal order.
///
/// Invariant: `events` are in order of stamp, then process; an event that came twice stands once.
#[derive(Clone, Debug, Default)]
pub struct MergedTimeline {
    /// The events, each with its stamp as a number.
    pub events: Vec<(HybridStamp, ProcessEvent)>,
    /// What is missing.
    pub gaps: Vec<TimelineGap>,
}

/// Merges what several processes recorded.
///
/// A hybrid stamp is greater than that of every event that came before it, also in other processes
/// that sent a message, so sorting by stamp never shows an effect before its cause.
pub fn merge_replies(replies: Vec<EventsReply>) -> MergedTimeline {
    let mut timeline = MergedTimeline::default();
    for reply in replies {
        let process = reply.process;
        let mut unplaced = 0;
        for event in reply.events {
            match event.stamp.parse::<HybridStamp>() {
                Ok(stamp) => {
                    let row = ProcessEvent { process: process.clone(), event };
                    timeline.events.push((stamp, row));
                }
                Err(_) => unplaced += 1,
            }
        }
        note_gap(&mut timeline, &process, reply.dropped, "forgotten for want of room");
        note_gap(&mut timeline, &process, unplaced, "their stamps cannot be read");
    }
    timeline
        .events
        .sort_by(|(a_stamp, a), (b_stamp, b)| (a_stamp, &a.process).cmp(&(b_stamp, &b.process)));
    timeline.events.dedup();
    timeline
}

fn note_gap(timeline: &mut MergedTimeline, process: &SmolStr, count: u64, reason: &'static str) {
    if count > 0 {
        timeline.gaps.push(TimelineGap { process: process.clone(), count, reason });
    }
}
