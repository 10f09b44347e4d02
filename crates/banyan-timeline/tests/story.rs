//! Tests that the trace of a failed request shows its cause, on recorded logs.

use std::path::PathBuf;

use banyan_timeline::story::StoryLine;
use banyan_timeline::story::build_story;

fn recorded_lines() -> Vec<StoryLine> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/recorded");
    let mut lines = Vec::new();
    for entry in std::fs::read_dir(folder).expect("the recorded lines") {
        let path = entry.expect("a file").path();
        let instance = path.file_stem().expect("a name").to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&path).expect("lines");
        lines.extend(text.lines().filter_map(|line| StoryLine::parse(&instance, line)));
    }
    lines
}

fn story(request: &str) -> Vec<String> {
    build_story(&recorded_lines(), request).expect("a story")
}

/// Returns the index of the first line that contains all of `parts`.
fn position_of(story: &[String], parts: &[&str]) -> usize {
    let contains_all = |line: &String| parts.iter().all(|part| line.contains(part));
    story
        .iter()
        .position(contains_all)
        .unwrap_or_else(|| panic!("no line contains {parts:?}: {story:#?}"))
}

#[test]
fn refused_request_shows_the_layer_order_that_preceded_it() {
    let story = story("952c609d1ef3f4ae");
    let ordered = position_of(&story, &["Ordered layers.", "i-7c322e36e9"]);
    let failed =
        position_of(&story, &["An attempt failed.", "i-7c322e36e9", "it refused the request"]);
    let refused = position_of(&story, &["Refused.", "cause=no_room", "after_ms=400"]);
    assert!(ordered < failed && failed < refused);
    position_of(&story, &["The chains changed."]);
}

#[test]
fn interrupted_stream_shows_the_unresponsive_engine() {
    let story = story("82ff5fea6586a0c2");
    let suspected = position_of(&story, &["Doubted.", "i-0d2e28d383", "no answer to a probe"]);
    let interrupted = position_of(&story, &["The stream was interrupted.", "last_event=62"]);
    let ended = position_of(&story, &["The stream ended.", "outcome=no_room"]);
    assert!(suspected <= interrupted && interrupted < ended);
    let chains = position_of(&story, &["The chains changed.", "hr-east-c"]);
    assert!(chains < ended, "the instance state comes before the end");
}

#[test]
fn unknown_outcome_shows_the_closed_connections() {
    let story = story("d4220ad6d4d13e49");
    let failures: Vec<&String> =
        story.iter().filter(|line| line.contains("An attempt failed.")).collect();
    assert_eq!(failures.len(), 2);
    assert!(failures.iter().all(|line| line.contains("the connection ended")));
    position_of(&story, &["Refused.", "cause=outcome_unknown", "status=502"]);
}

#[test]
fn lines_of_other_requests_are_excluded() {
    let story = story("952c609d1ef3f4ae");
    assert!(story.iter().all(|line| !line.contains("82ff5fea6586a0c2")));
}

#[test]
fn unknown_request_id_is_reported() {
    let error = build_story(&recorded_lines(), "nobody").expect_err("no story");
    assert!(error.to_string().contains("nobody"));
}

#[test]
fn invalid_log_lines_are_ignored() {
    assert!(StoryLine::parse("a", "not JSON").is_none());
    assert!(StoryLine::parse("a", "{\"message\":\"no time\"}").is_none());
    assert!(StoryLine::parse("a", "{\"timestamp\":\"yesterday\"}").is_none());
}
