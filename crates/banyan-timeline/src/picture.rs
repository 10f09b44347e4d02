//! The time line as one self-contained page: [`timeline_page`].
//!
//! Each process has a lane and each event a mark with a tooltip; a thin line joins the events of a
//! request. The distance between two events grows with the time between them, within bounds, so
//! that events of one millisecond can be told apart and a quiet minute does not fill the page.

use std::collections::BTreeMap;
use std::fmt::Write;

use smol_str::SmolStr;

use crate::merge::MergedTimeline;
use crate::merge::ProcessEvent;

/// The width of the lane names, in pixels.
const NAME_WIDTH: f64 = 160.0;
/// The height of a lane, in pixels.
const LANE_HEIGHT: f64 = 46.0;
/// The room above the first lane, in pixels.
const TOP: f64 = 30.0;
/// The least distance between two events, in pixels.
const LEAST_GAP: f64 = 5.0;
/// The greatest distance between two events, in pixels.
const GREATEST_GAP: f64 = 60.0;
/// The distance for one millisecond, in pixels.
const MILLISECOND_GAP: f64 = 0.8;
/// The radius of a mark, in pixels.
const MARK_RADIUS: f64 = 4.0;
/// The distance between two times written above the lanes, in pixels.
const TICK_GAP: f64 = 120.0;

const STYLE: &str = "body{font:13px sans-serif;margin:16px;color:#222}\
    .page{overflow-x:auto;border:1px solid #ccc}text{font:12px sans-serif;fill:#333}\
    .lane{stroke:#ddd}.tick{stroke:#eee}.request{fill:none;stroke:#8a8a8a;stroke-opacity:.35}\
    .mark{stroke:#fff;stroke-width:.5}.flow{fill:#2f6fb4}.good{fill:#2e8b57}.bad{fill:#c0392b}\
    .agreed{fill:#8e44ad}.changed{fill:#d98c00}td{padding-right:18px}";

/// What a mark's colour says.
const CLASSES: [(&str, &str); 5] = [
    ("flow", "a request goes on"),
    ("good", "a request ended with its whole answer"),
    ("bad", "refused, unknown, lost or suspected"),
    ("agreed", "read from or written to the log"),
    ("changed", "the instance or a target changed state"),
];

/// The page.
pub fn timeline_page(timeline: &MergedTimeline) -> String {
    let lanes = lanes_of(timeline);
    let places = places_of(timeline);
    let width = places.last().copied().unwrap_or(NAME_WIDTH) + 40.0;
    let height = TOP + LANE_HEIGHT * lanes.len() as f64 + 10.0;
    let mut page =
        String::from("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    let _ = write!(page, "<title>Time line</title><style>{STYLE}</style></head><body>");
    let count = timeline.events.len();
    let _ = write!(page, "<h1>Time line</h1><p>{count} events of {} processes.", lanes.len());
    for gap in &timeline.gaps {
        let process = escaped(&gap.process);
        let _ = write!(page, "<br>{process}: {} events are missing, {}.", gap.count, gap.reason);
    }
    page.push_str("</p><table><tr>");
    for (class, meaning) in CLASSES {
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
    draw_ticks(&mut page, timeline, &places, height);
    draw_lanes(&mut page, &lanes, width);
    draw_requests(&mut page, timeline, &places, &lanes);
    draw_marks(&mut page, timeline, &places, &lanes);
    page.push_str("</svg></div></body></html>\n");
    page
}

/// The height of each process's lane, in order of name.
fn lanes_of(timeline: &MergedTimeline) -> BTreeMap<&SmolStr, f64> {
    let mut lanes = BTreeMap::new();
    for (_, row) in &timeline.events {
        lanes.insert(&row.process, 0.0);
    }
    for (index, height) in lanes.values_mut().enumerate() {
        *height = TOP + LANE_HEIGHT * (index as f64 + 0.5);
    }
    lanes
}

/// The horizontal place of each event.
fn places_of(timeline: &MergedTimeline) -> Vec<f64> {
    let mut places = Vec::with_capacity(timeline.events.len());
    let mut place = NAME_WIDTH;
    let mut before: Option<u64> = None;
    for (stamp, _) in &timeline.events {
        if let Some(before) = before {
            let millis = stamp.millis.saturating_sub(before) as f64;
            place += (millis * MILLISECOND_GAP).clamp(LEAST_GAP, GREATEST_GAP);
        }
        before = Some(stamp.millis);
        places.push(place);
    }
    places
}

fn draw_ticks(page: &mut String, timeline: &MergedTimeline, places: &[f64], height: f64) {
    let start = timeline.events.first().map_or(0, |(stamp, _)| stamp.millis);
    let mut next = NAME_WIDTH;
    for ((stamp, _), place) in timeline.events.iter().zip(places) {
        if *place < next {
            continue;
        }
        next = place + TICK_GAP;
        let after = stamp.millis - start;
        let _ = writeln!(
            page,
            "<line class=\"tick\" x1=\"{place:.1}\" y1=\"{TOP}\" x2=\"{place:.1}\" \
             y2=\"{height:.0}\"/><text x=\"{place:.1}\" y=\"18\">+{after} ms</text>"
        );
    }
}

fn draw_lanes(page: &mut String, lanes: &BTreeMap<&SmolStr, f64>, width: f64) {
    for (process, height) in lanes {
        let _ = writeln!(
            page,
            "<line class=\"lane\" x1=\"{NAME_WIDTH}\" y1=\"{height}\" x2=\"{width:.0}\" \
             y2=\"{height}\"/><text x=\"8\" y=\"{:.1}\">{}</text>",
            height + 4.0,
            escaped(process),
        );
    }
}

fn draw_requests(
    page: &mut String,
    timeline: &MergedTimeline,
    places: &[f64],
    lanes: &BTreeMap<&SmolStr, f64>,
) {
    let mut points: BTreeMap<&SmolStr, String> = BTreeMap::new();
    for ((_, row), place) in timeline.events.iter().zip(places) {
        if row.event.request.is_empty() {
            continue;
        }
        let height = lanes[&row.process];
        let line = points.entry(&row.event.request).or_default();
        let _ = write!(line, "{place:.1},{height:.1} ");
    }
    for (request, line) in points {
        let _ = writeln!(
            page,
            "<polyline class=\"request\" points=\"{}\"><title>{}</title></polyline>",
            line.trim_end(),
            escaped(request),
        );
    }
}

fn draw_marks(
    page: &mut String,
    timeline: &MergedTimeline,
    places: &[f64],
    lanes: &BTreeMap<&SmolStr, f64>,
) {
    for ((stamp, row), place) in timeline.events.iter().zip(places) {
        let _ = writeln!(
            page,
            "<circle class=\"mark {}\" cx=\"{place:.1}\" cy=\"{:.1}\" r=\"{MARK_RADIUS}\">\
             <title>{stamp}\n{}</title></circle>",
            class_of(&row.event.kind),
            lanes[&row.process],
            escaped(&tooltip(row)),
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

fn class_of(kind: &str) -> &'static str {
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

fn escaped(text: &str) -> String {
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
