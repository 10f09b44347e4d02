//! From a failed request's id to its cause, on lines that a recorded day gave.

use std::path::PathBuf;

use banyan_timeline::story::StoryLine;
use banyan_timeline::story::tell_story;

fn recorded() -> Vec<StoryLine> {
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
    tell_story(&recorded(), request).expect("a story")
}

/// The place of the first line that holds all of these.
fn place(story: &[String], parts: &[&str]) -> usize {
    let holds = |line: &String| parts.iter().all(|part| line.contains(part));
    story.iter().position(holds).unwrap_or_else(|| panic!("no line holds {parts:?}: {story:#?}"))
}

#[test]
fn a_refused_request_leads_to_the_order_that_took_its_engine() {
    let story = story("952c609d1ef3f4ae");
    let ordered = place(&story, &["Ordered layers.", "i-7c322e36e9"]);
    let failed = place(&story, &["An attempt failed.", "i-7c322e36e9", "it refused the request"]);
    let refused = place(&story, &["Refused.", "cause=no_room", "after_ms=400"]);
    assert!(ordered < failed && failed < refused);
    place(&story, &["The chains changed."]);
}

#[test]
fn a_broken_stream_leads_to_the_engine_that_fell_silent() {
    let story = story("82ff5fea6586a0c2");
    let doubted = place(&story, &["Doubted.", "i-0d2e28d383", "no answer to a probe"]);
    let interrupted = place(&story, &["The stream was interrupted.", "last_event=62"]);
    let ended = place(&story, &["The stream ended.", "outcome=no_room"]);
    assert!(doubted <= interrupted && interrupted < ended);
    let chains = place(&story, &["The chains changed.", "hr-east-c"]);
    assert!(chains < ended, "what the instance believed stands before the end");
}

#[test]
fn an_unknown_outcome_leads_to_the_connections_that_ended() {
    let story = story("d4220ad6d4d13e49");
    let failures: Vec<&String> =
        story.iter().filter(|line| line.contains("An attempt failed.")).collect();
    assert_eq!(failures.len(), 2);
    assert!(failures.iter().all(|line| line.contains("the connection ended")));
    place(&story, &["Refused.", "cause=outcome_unknown", "status=502"]);
}

#[test]
fn lines_of_other_requests_are_left_out() {
    let story = story("952c609d1ef3f4ae");
    assert!(story.iter().all(|line| !line.contains("82ff5fea6586a0c2")));
}

#[test]
fn an_id_that_no_line_bears_is_named() {
    let error = tell_story(&recorded(), "nobody").expect_err("no story");
    assert!(error.to_string().contains("nobody"));
}

#[test]
fn what_is_no_line_is_passed_over() {
    assert!(StoryLine::parse("a", "not JSON").is_none());
    assert!(StoryLine::parse("a", "{\"message\":\"no time\"}").is_none());
    assert!(StoryLine::parse("a", "{\"timestamp\":\"yesterday\"}").is_none());
}
