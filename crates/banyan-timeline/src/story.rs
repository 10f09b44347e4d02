//! One request's story from the structured lines of several instances: [`tell_story`].
//!
//! Each file holds the lines that one instance wrote to standard output. The story has the lines of
//! the request itself, what was decided about the targets in them shortly before, and what the
//! instance believed last before the request ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde_json::Map;
use serde_json::Value;
use smol_str::SmolStr;
use thiserror::Error;

/// The time before a request in which what was decided about its targets belongs to its story.
const BEFORE_S: f64 = 10.0;
/// The parts whose newest line before the end tells what the instance believed.
const BELIEFS: [&str; 4] = ["configuration", "store", "leadership", "daemon"];
/// The message of lines that tell which chains exist.
const CHAINS_MESSAGE: &str = "The chains changed.";

/// Why there is no story.
#[derive(Clone, Debug, Error)]
pub enum StoryError {
    /// No line bears the request's id.
    #[error("no line bears the request '{0}': check the id, and name the files of all instances")]
    Unknown(SmolStr),
}

/// A line that an instance wrote.
#[derive(Clone, Debug)]
pub struct StoryLine {
    /// The instance, by its file's name.
    pub instance: SmolStr,
    /// Seconds since an arbitrary day, by the instance's clock.
    pub at_s: f64,
    /// The line.
    pub fields: Map<String, Value>,
}

impl StoryLine {
    /// Reads a line; what is no line of ours is none.
    pub fn parse(instance: &str, text: &str) -> Option<Self> {
        let fields: Map<String, Value> = serde_json::from_str(text).ok()?;
        let at_s = seconds(fields.get("timestamp")?.as_str()?)?;
        Some(Self { instance: SmolStr::new(instance), at_s, fields })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// The line as a person reads it.
    fn show(&self) -> String {
        let mut out = format!(
            "{} {:<20} {:<13} {}",
            self.text("timestamp").unwrap_or(""),
            self.instance,
            self.text("part").unwrap_or(""),
            self.text("message").unwrap_or("")
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

/// The lines that explain a request, in the order of their time.
pub fn tell_story(lines: &[StoryLine], request: &str) -> Result<Vec<String>, StoryError> {
    let own: Vec<&StoryLine> =
        lines.iter().filter(|line| line.text("request") == Some(request)).collect();
    let (Some(begin), Some(end)) = (
        own.iter().map(|line| line.at_s).reduce(f64::min),
        own.iter().map(|line| line.at_s).reduce(f64::max),
    ) else {
        return Err(StoryError::Unknown(SmolStr::new(request)));
    };
    let targets: BTreeSet<&str> = own.iter().filter_map(|line| line.text("target")).collect();
    let instances: BTreeSet<&str> = own.iter().map(|line| line.instance.as_str()).collect();
    let about_targets = lines.iter().filter(|line| {
        let named = line.text("target").is_some_and(|target| targets.contains(target));
        let others = line.text("request").is_some();
        named && !others && (begin - BEFORE_S..=end).contains(&line.at_s)
    });
    let mut story: Vec<&StoryLine> = own.iter().copied().chain(about_targets).collect();
    story.extend(beliefs(lines, &instances, end));
    story.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    Ok(story.into_iter().map(StoryLine::show).collect())
}

/// The newest line of each belief that the request's instances wrote before its end.
fn beliefs<'a>(
    lines: &'a [StoryLine],
    instances: &BTreeSet<&str>,
    end: f64,
) -> impl Iterator<Item = &'a StoryLine> {
    let mut newest: BTreeMap<(&str, &str), &StoryLine> = BTreeMap::new();
    for line in lines {
        if line.at_s > end || !instances.contains(line.instance.as_str()) {
            continue;
        }
        let part = line.text("part").unwrap_or("");
        let kind = if line.text("message") == Some(CHAINS_MESSAGE) { CHAINS_MESSAGE } else { part };
        if kind != CHAINS_MESSAGE && !BELIEFS.contains(&kind) {
            continue;
        }
        let known = newest.entry((line.instance.as_str(), kind)).or_insert(line);
        if known.at_s <= line.at_s {
            *known = line;
        }
    }
    newest.into_values()
}

/// The seconds of a time such as `2026-05-07T16:13:48.534420Z`.
fn seconds(timestamp: &str) -> Option<f64> {
    let (date, time) = timestamp.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.split('-').map(|part| part.parse::<f64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let mut clock = time.split(':').map(|part| part.parse::<f64>().ok());
    let (hour, minute, second) = (clock.next()??, clock.next()??, clock.next()??);
    // Months of equal length keep the order, which is all that a story needs.
    let days = (year * 12.0 + month) * 31.0 + day;
    Some(((days * 24.0 + hour) * 60.0 + minute) * 60.0 + second)
}
