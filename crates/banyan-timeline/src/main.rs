//! The program `banyan-timeline`; see the library.

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
        // A reader that closes the pipe, such as head, has seen enough.
        if writeln!(output, "{line}").is_err() {
            break;
        }
    }
    report.exit.into()
}
