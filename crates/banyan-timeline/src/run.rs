//! Carries out a parsed command line: [`run_command`].

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use clap::ArgMatches;
use smol_str::SmolStr;

use crate::collect::EventSources;
use crate::collect::ProcessAddress;
use crate::collect::collect_events;
use crate::filter::EventFilter;
use crate::filter::apply_filter;
use crate::merge::merge_replies;
use crate::picture::timeline_page;
use crate::story::StoryLine;
use crate::story::build_story;
use crate::text::json_lines;
use crate::text::text_lines;
use banyan_http::client::JsonClient;

/// Every source returned its events.
pub const EXIT_DONE: u8 = 0;
/// The command line is wrong, or the page cannot be written.
pub const EXIT_USAGE: u8 = 2;
/// No source returned any events, or no log line contains the story's request.
pub const EXIT_NO_EVENTS: u8 = 3;
/// Some sources could not be read.
pub const EXIT_PARTIAL: u8 = 4;

/// Output and exit code of a run.
#[derive(Clone, Debug, Default)]
pub struct TimelineReport {
    /// Lines for standard output, one per event or log line.
    pub lines: Vec<String>,
    /// Messages about errors and missing events, for standard error.
    pub notes: Vec<String>,
    /// Exit code of the process, one of the `EXIT_` constants.
    pub exit: u8,
}

/// Collects, merges, filters and renders the events, or runs the `story` subcommand.
pub async fn run_command(matches: &ArgMatches) -> TimelineReport {
    if let Some(story) = matches.subcommand_matches("story") {
        return run_story(story);
    }
    let sources = parse_sources(matches);
    if sources.platform.is_none() && sources.processes.is_empty() && sources.files.is_empty() {
        let note = "no event source given: use --platform, --process or --file";
        return TimelineReport { notes: vec![note.into()], exit: EXIT_USAGE, lines: Vec::new() };
    }
    let timeout_ms = matches.get_one::<u64>("timeout-ms").copied().unwrap_or_default();
    let client = JsonClient::new(Duration::from_millis(timeout_ms));
    let collected = collect_events(&client, &sources).await;
    let mut notes: Vec<String> = collected.errors.iter().map(ToString::to_string).collect();
    let exit = match (collected.replies.is_empty(), notes.is_empty()) {
        (true, _) => EXIT_NO_EVENTS,
        (false, true) => EXIT_DONE,
        (false, false) => EXIT_PARTIAL,
    };
    let mut timeline = merge_replies(collected.replies);
    apply_filter(&mut timeline, &parse_filter(matches));
    for gap in &timeline.gaps {
        notes.push(format!("{}: {} events are missing: {}", gap.process, gap.count, gap.reason));
    }
    let lines = match matches.get_flag("json") {
        true => json_lines(&timeline),
        false => text_lines(&timeline),
    };
    if let Some(path) = matches.get_one::<String>("html")
        && let Err(error) = fs::write(path, timeline_page(&timeline))
    {
        notes.push(format!("cannot write {path}: {error}; choose a writable file"));
        return TimelineReport { lines, notes, exit: EXIT_USAGE };
    }
    TimelineReport { lines, notes, exit }
}

fn parse_sources(matches: &ArgMatches) -> EventSources {
    EventSources {
        platform: matches.get_one::<SocketAddr>("platform").copied(),
        processes: matches
            .get_many::<ProcessAddress>("process")
            .unwrap_or_default()
            .cloned()
            .collect(),
        files: matches.get_many::<String>("file").unwrap_or_default().cloned().collect(),
    }
}

fn parse_filter(matches: &ArgMatches) -> EventFilter {
    let set = |name: &str| -> BTreeSet<SmolStr> {
        matches.get_many::<String>(name).unwrap_or_default().map(SmolStr::new).collect()
    };
    EventFilter {
        requests: set("request"),
        targets: set("target"),
        instances: set("instance"),
        kinds: set("kind"),
        last: matches.get_one::<u64>("last").map(|last| *last as usize),
    }
}

fn run_story(matches: &ArgMatches) -> TimelineReport {
    let request = matches.get_one::<String>("request").map_or("", String::as_str);
    let mut report = TimelineReport::default();
    let mut lines = Vec::new();
    for file in matches.get_many::<String>("file").into_iter().flatten() {
        let path = Path::new(file);
        let instance = path.file_stem().map_or(file.as_str().into(), |stem| stem.to_string_lossy());
        match fs::read_to_string(path) {
            Ok(text) => {
                lines.extend(text.lines().filter_map(|line| StoryLine::parse(&instance, line)));
            }
            Err(error) => {
                report.notes.push(format!("cannot read {file}: {error}"));
                report.exit = EXIT_PARTIAL;
            }
        }
    }
    match build_story(&lines, request) {
        Ok(story) => report.lines = story,
        Err(error) => {
            report.notes.push(error.to_string());
            report.exit = EXIT_NO_EVENTS;
        }
    }
    report
}
