//! Entry point of `banyan-timeline`; the library does the work.

use std::io;
use std::io::Write;
use std::process::ExitCode;

use banyan_timeline::command::timeline_command;
use banyan_timeline::run::run_command;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    env_logger::init();
    let report = run_command(&timeline_command().get_matches()).await;
    for note in &report.notes {
        eprintln!("banyan-timeline: {note}");
    }
    let mut output = io::stdout().lock();
    for line in &report.lines {
        // Not an error: the reader may close the pipe early, as `head` does.
        if writeln!(output, "{line}").is_err() {
            break;
        }
    }
    report.exit.into()
}
