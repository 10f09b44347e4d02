//! Renders the timeline as one self-contained HTML page: [`timeline_page`].
//!
//! Each process has a lane and each event a mark with a tooltip; a thin line joins the events of a
//! request. The distance between two events grows with the time between them, within bounds: events
//! of the same millisecond stay distinguishable and a minute without events does not fill the page.

use std::collections::BTreeMap;
use std::fmt::Write;

use smol_str::SmolStr;

use crate::merge::MergedTimeline;
use crate::merge::ProcessEvent;

/// Width of the column of lane names, in pixels.
const NAME_WIDTH_PX: f64 = 160.0;
/// The height of a lane, in pixels.
const LANE_HEIGHT_PX: f64 = 46.0;
/// Space above the first lane, for the tick labels, in pixels.
const TOP_MARGIN_PX: f64 = 30.0;
/// Minimum distance between two events, in pixels.
const MIN_GAP_PX: f64 = 5.0;
/// Maximum distance between two events, in pixels.
const MAX_GAP_PX: f64 = 60.0;
/// Pixels per millisecond between two events, within the bounds above.
const PX_PER_MS: f64 = 0.8;
/// The radius of a mark, in pixels.
const MARK_RADIUS_PX: f64 = 4.0;
/// Minimum distance between two tick labels, in pixels.
const MIN_TICK_GAP_PX: f64 = 120.0;

const STYLE: &str = "body{font:13px sans-serif;margin:16px;color:#222}\
    .page{overflow-x:auto;border:1px solid #ccc}text{font:12px sans-serif;fill:#333}\
    .lane{stroke:#ddd}.tick{stroke:#eee}.request{fill:none;stroke:#8a8a8a;stroke-opacity:.35}\
    .mark{stroke:#fff;stroke-width:.5}.flow{fill:#2f6fb4}.good{fill:#2e8b57}.bad{fill:#c0392b}\
    .agreed{fill:#8e44ad}.changed{fill:#d98c00}td{padding-right:18px}";

/// CSS class and legend text of each mark colour.
const LEGEND: [(&str, &str); 5] = [
    ("flow", "a request goes on"),
    ("good", "a request ended with its whole answer"),
    ("bad", "refused, unknown, lost or suspected"),
    ("agreed", "read from or written to the log"),
    ("changed", "the instance or a target changed state"),
];

/// Renders the HTML page with the legend, the lanes and the marks.
pub fn timeline_page(timeline: &MergedTimeline) -> String {
    let lanes = lane_positions(timeline);
    let positions = event_positions(timeline);
    let width = positions.last().copied().unwrap_or(NAME_WIDTH_PX) + 40.0;
    let height = TOP_MARGIN_PX + LANE_HEIGHT_PX * lanes.len() as f64 + 10.0;
    let mut page =
        String::from("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    let _ = write!(page, "<title>Time line</title><style>{STYLE}</style></head><body>");
    let count = timeline.events.len();
    let _ = write!(page, "<h1>Time line</h1><p>{count} events of {} processes.", lanes.len());
    for gap in &timeline.gaps {
        let process = escape_html(&gap.process);
        let _ = write!(page, "<br>{process}: {} events are missing, {}.", gap.count, gap.reason);
    }
    page.push_str("</p><table><tr>");
    for (class, meaning) in LEGEND {
        let _ = write!(
            page,
            "<td><svg width=\"12\" height=\"12\"><circle class=\"mark {class}\" cx=\"6\" cy=\"6\" \
             r=\"5\"/></svg> {meaning}</td>"
        );
    }
    let _ = writeln!(
        page,
        "</tr></table><div class=\"page\"><svg width=\"{width:.0}\" height=\"{height:.0}\" \
         role=\"img\" aria-label=\"Time line\">"
    );
    draw_ticks(&mut page, timeline, &positions, height);
    draw_lanes(&mut page, &lanes, width);
    draw_requests(&mut page, timeline, &positions, &lanes);
    draw_marks(&mut page, timeline, &positions, &lanes);
    page.push_str("</svg></div></body></html>\n");
    page
}

/// Returns the vertical position of each process's lane, sorted by name.
fn lane_positions(timeline: &MergedTimeline) -> BTreeMap<&SmolStr, f64> {
    let mut lanes = BTreeMap::new();
    for (_, row) in &timeline.events {
        lanes.insert(&row.process, 0.0);
    }
    for (index, y) in lanes.values_mut().enumerate() {
        *y = TOP_MARGIN_PX + LANE_HEIGHT_PX * (index as f64 + 0.5);
    }
    lanes
}

/// Returns the horizontal position of each event.
fn event_positions(timeline: &MergedTimeline) -> Vec<f64> {
    let mut positions = Vec::with_capacity(timeline.events.len());
    let mut x = NAME_WIDTH_PX;
    let mut previous_ms: Option<u64> = None;
    for (stamp, _) in &timeline.events {
        if let Some(previous_ms) = previous_ms {
            let millis = stamp.millis.saturating_sub(previous_ms) as f64;
            x += (millis * PX_PER_MS).clamp(MIN_GAP_PX, MAX_GAP_PX);
        }
        previous_ms = Some(stamp.millis);
        positions.push(x);
    }
    positions
}

fn draw_ticks(page: &mut String, timeline: &MergedTimeline, positions: &[f64], height: f64) {
    let start = timeline.events.first().map_or(0, |(stamp, _)| stamp.millis);
    let mut next = NAME_WIDTH_PX;
    for ((stamp, _), x) in timeline.events.iter().zip(positions) {
        if *x < next {
            continue;
        }
        next = x + MIN_TICK_GAP_PX;
        let elapsed_ms = stamp.millis - start;
        let _ = writeln!(
            page,
            "<line class=\"tick\" x1=\"{x:.1}\" y1=\"{TOP_MARGIN_PX}\" x2=\"{x:.1}\" \
             y2=\"{height:.0}\"/><text x=\"{x:.1}\" y=\"18\">+{elapsed_ms} ms</text>"
        );
    }
}

fn draw_lanes(page: &mut String, lanes: &BTreeMap<&SmolStr, f64>, width: f64) {
    for (process, y) in lanes {
        let _ = writeln!(
            page,
            "<line class=\"lane\" x1=\"{NAME_WIDTH_PX}\" y1=\"{y}\" x2=\"{width:.0}\" \
             y2=\"{y}\"/><text x=\"8\" y=\"{:.1}\">{}</text>",
            y + 4.0,
            escape_html(process),
        );
    }
}

fn draw_requests(
    page: &mut String,
    timeline: &MergedTimeline,
    positions: &[f64],
    lanes: &BTreeMap<&SmolStr, f64>,
) {
    let mut points: BTreeMap<&SmolStr, String> = BTreeMap::new();
    for ((_, row), x) in timeline.events.iter().zip(positions) {
        if row.event.request.is_empty() {
            continue;
        }
        let y = lanes[&row.process];
        let line = points.entry(&row.event.request).or_default();
        let _ = write!(line, "{x:.1},{y:.1} ");
    }
    for (request, line) in points {
        let _ = writeln!(
            page,
            "<polyline class=\"request\" points=\"{}\"><title>{}</title></polyline>",
            line.trim_end(),
            escape_html(request),
        );
    }
}

fn draw_marks(
    page: &mut String,
    timeline: &MergedTimeline,
    positions: &[f64],
    lanes: &BTreeMap<&SmolStr, f64>,
) {
    for ((stamp, row), x) in timeline.events.iter().zip(positions) {
        let _ = writeln!(
            page,
            "<circle class=\"mark {}\" cx=\"{x:.1}\" cy=\"{:.1}\" r=\"{MARK_RADIUS_PX}\">\
             <title>{stamp}\n{}</title></circle>",
            css_class(&row.event.kind),
            lanes[&row.process],
            escape_html(&tooltip(row)),
        );
    }
}

fn tooltip(row: &ProcessEvent) -> String {
    let mut text = format!("{}: {}", row.process, row.event.kind);
    let fields = [
        ("request", &row.event.request),
        ("target", &row.event.target),
        ("detail", &row.event.detail),
    ];
    for (label, value) in fields {
        if !value.is_empty() {
            let _ = write!(text, "\n{label}: {value}");
        }
    }
    text
}

fn css_class(kind: &str) -> &'static str {
    match kind {
        "completed" => "good",
        "refused" | "outcome-unknown" | "target-suspected" | "peer-suspected" | "log-lost"
        | "quarantined" | "answer-dropped" => "bad",
        "claim-appended" | "claim-read" | "claim-released" | "in-force" | "checkpoint"
        | "log-found" => "agreed",
        "started" | "draining" | "stopped" | "target-trusted" | "peer-trusted"
        | "target-leaving" => "changed",
        _ => "flow",
    }
}

fn escape_html(text: &str) -> String {
    let mut safe = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => safe.push_str("&amp;"),
            '<' => safe.push_str("&lt;"),
            '>' => safe.push_str("&gt;"),
            '"' => safe.push_str("&quot;"),
            _ => safe.push(c),
        }
    }
    safe
}
