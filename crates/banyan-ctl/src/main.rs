//! The program `banyanctl`; see the library.

use std::process::ExitCode;

use clap::ArgMatches;
use serde::Serialize;

use banyan_ctl::command::ctl_command;
use banyan_ctl::error::CtlError;
use banyan_ctl::run::run_command;

/// An error, as programs read it.
#[derive(Serialize)]
struct ErrorResult {
    error: String,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    env_logger::init();
    let matches = ctl_command().get_matches();
    let is_json = matches.subcommand().is_some_and(|(_, matches)| is_flagged(matches));
    match run_command(&matches).await {
        Ok(report) => {
            let line = if is_json { report.json } else { report.text };
            // A declaration's text is printed as it is, so that it can be applied again unchanged.
            print!("{line}");
            if !line.ends_with('\n') {
                println!();
            }
            report.exit.into()
        }
        Err(error) => print_error(&error, is_json),
    }
}

/// Whether `--json` stands before or behind the innermost subcommand.
fn is_flagged(matches: &ArgMatches) -> bool {
    let inner = matches.subcommand().is_some_and(|(_, inner)| inner.get_flag("json"));
    inner || matches.get_flag("json")
}

fn print_error(error: &CtlError, is_json: bool) -> ExitCode {
    if is_json {
        let result = ErrorResult { error: error.to_string() };
        println!("{}", serde_json::to_string(&result).unwrap_or_default());
    } else {
        eprintln!("banyanctl: {error}");
    }
    error.exit().into()
}
