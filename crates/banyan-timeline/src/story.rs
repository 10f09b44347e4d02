//! Traces one request through the structured logs of several instances: [`build_story`].
//!
//! Each file holds the log that one instance wrote to standard output. The trace contains the log
//! lines of the request, lines about its targets from shortly before it until its end that belong
//! to no request, and the last line about each kind of instance state before the request ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde_json::Map;
use serde_json::Value;
use smol_str::SmolStr;
use thiserror::Error;

/// How long before a request lines about its targets are included, in seconds.
const TARGET_CONTEXT_S: f64 = 10.0;
/// Values of the `part` field whose last line before the end shows the instance's state.
const STATE_PARTS: [&str; 4] = ["configuration", "store", "leadership", "daemon"];
/// Message of the log lines that list the current chains.
const CHAINS_MESSAGE: &str = "The chains changed.";

/// A request that cannot be traced.
#[derive(Clone, Debug, Error)]
pub enum StoryError {
    /// No log line contains the request's id.
    #[error(
        "no log line contains the request '{0}': check the id, and name the files of all instances"
    )]
    UnknownRequest(SmolStr),
}

/// A log line of an instance.
#[derive(Clone, Debug)]
pub struct StoryLine {
    /// Name of the instance, taken from the log file's name.
    pub instance: SmolStr,
    /// Time by the instance's clock, in seconds since an arbitrary origin. Differences are exact
    /// only within a month.
    pub time_s: f64,
    /// All fields of the JSON object.
    pub fields: Map<String, Value>,
}

impl StoryLine {
    /// Parses a log line. Returns `None` unless it is a JSON object with a valid `timestamp`.
    pub fn parse(instance: &str, text: &str) -> Option<Self> {
        let fields: Map<String, Value> = serde_json::from_str(text).ok()?;
        let time_s = parse_timestamp(fields.get("timestamp")?.as_str()?)?;
        Some(Self { instance: SmolStr::new(instance), time_s, fields })
    }

    fn field_text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Formats the line for people: time, instance, part, message, then the remaining fields.
    fn format_line(&self) -> String {
        let mut out = format!(
            "{} {:<20} {:<13} {}",
            self.field_text("timestamp").unwrap_or(""),
            self.instance,
            self.field_text("part").unwrap_or(""),
            self.field_text("message").unwrap_or("")
        );
        for (name, value) in &self.fields {
            if ["timestamp", "level", "message", "part", "request"].contains(&name.as_str()) {
                continue;
            }
            let shown = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            out.push_str(&format!(" {name}={shown}"));
        }
        out
    }
}

/// Selects the log lines that explain a request and formats them in time order.
pub fn build_story(lines: &[StoryLine], request: &str) -> Result<Vec<String>, StoryError> {
    let request_lines: Vec<&StoryLine> =
        lines.iter().filter(|line| line.field_text("request") == Some(request)).collect();
    let (Some(start), Some(end)) = (
        request_lines.iter().map(|line| line.time_s).reduce(f64::min),
        request_lines.iter().map(|line| line.time_s).reduce(f64::max),
    ) else {
        return Err(StoryError::UnknownRequest(SmolStr::new(request)));
    };
    let targets: BTreeSet<&str> =
        request_lines.iter().filter_map(|line| line.field_text("target")).collect();
    let instances: BTreeSet<&str> =
        request_lines.iter().map(|line| line.instance.as_str()).collect();
    let target_lines = lines.iter().filter(|line| {
        let same_target = line.field_text("target").is_some_and(|target| targets.contains(target));
        let has_request = line.field_text("request").is_some();
        same_target && !has_request && (start - TARGET_CONTEXT_S..=end).contains(&line.time_s)
    });
    let mut story: Vec<&StoryLine> = request_lines.iter().copied().chain(target_lines).collect();
    story.extend(latest_state_lines(lines, &instances, end));
    story.sort_by(|a, b| a.time_s.total_cmp(&b.time_s));
    Ok(story.into_iter().map(StoryLine::format_line).collect())
}

/// Returns the last line up to `end` for each kind of state and each of the given instances.
fn latest_state_lines<'a>(
    lines: &'a [StoryLine],
    instances: &BTreeSet<&str>,
    end: f64,
) -> impl Iterator<Item = &'a StoryLine> {
    let mut newest: BTreeMap<(&str, &str), &StoryLine> = BTreeMap::new();
    for line in lines {
        if line.time_s > end || !instances.contains(line.instance.as_str()) {
            continue;
        }
        let part = line.field_text("part").unwrap_or("");
        let kind =
            if line.field_text("message") == Some(CHAINS_MESSAGE) { CHAINS_MESSAGE } else { part };
        if kind != CHAINS_MESSAGE && !STATE_PARTS.contains(&kind) {
            continue;
        }
        let latest = newest.entry((line.instance.as_str(), kind)).or_insert(line);
        if latest.time_s <= line.time_s {
            *latest = line;
        }
    }
    newest.into_values()
}

/// Converts a timestamp to seconds since an arbitrary origin; the format is
/// `2026-05-07T16:13:48.534420Z`.
fn parse_timestamp(timestamp: &str) -> Option<f64> {
    let (date, time) = timestamp.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.split('-').map(|part| part.parse::<f64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let mut clock = time.split(':').map(|part| part.parse::<f64>().ok());
    let (hour, minute, second) = (clock.next()??, clock.next()??, clock.next()??);
    // Counting 31 days for every month preserves the order. Differences across the end of a
    // shorter month are too large by whole days.
    let days = (year * 12.0 + month) * 31.0 + day;
    Some(((days * 24.0 + hour) * 60.0 + minute) * 60.0 + second)
}
