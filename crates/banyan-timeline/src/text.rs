//! Renders the timeline as text or JSON lines: [`text_lines`] and [`json_lines`].

use crate::merge::MergedTimeline;
use crate::merge::ProcessEvent;
use banyan_core::event::HybridStamp;

/// Formats one line per event: timestamp, milliseconds since the first event shown, process, kind
/// and the non-empty request, target and detail.
pub fn text_lines(timeline: &MergedTimeline) -> Vec<String> {
    let start = timeline.events.first().map_or(0, |(stamp, _)| stamp.millis);
    let width = timeline.events.iter().map(|(_, row)| row.process.len()).max().unwrap_or(0);
    let line = |(stamp, row): &(HybridStamp, ProcessEvent)| {
        let elapsed_ms = stamp.millis - start;
        let mut line =
            format!("{stamp} +{elapsed_ms} ms {:width$} {}", row.process, row.event.kind);
        let request = row.event.request.as_str();
        let target = row.event.target.as_str();
        for (label, value) in
            [(" request ", request), (" target ", target), (": ", &row.event.detail)]
        {
            if !value.is_empty() {
                line.push_str(label);
                line.push_str(value);
            }
        }
        line
    };
    timeline.events.iter().map(line).collect()
}

/// Formats each event as one line of JSON.
pub fn json_lines(timeline: &MergedTimeline) -> Vec<String> {
    let events = timeline.events.iter();
    events.map(|(_, row)| serde_json::to_string(row).unwrap_or_default()).collect()
}
