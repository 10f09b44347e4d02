//! What a subcommand gives back: [`CommandReport`].

use std::process::ExitCode;

use serde::Serialize;

/// How a subcommand ended; the process's exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitKind {
    /// Done.
    Done = 0,
    /// The file is invalid or was refused; nothing changed.
    Refused = 1,
    /// The command line or a local file is wrong; nothing was asked.
    Usage = 2,
    /// The outcome is not known: nobody answered in time.
    Unknown = 3,
    /// Done, but not every live instance has it or answers.
    NotEverywhere = 4,
}

impl From<ExitKind> for ExitCode {
    fn from(kind: ExitKind) -> Self {
        ExitCode::from(kind as u8)
    }
}

/// The result of a subcommand, for people and for programs.
#[derive(Clone, Debug)]
pub struct CommandReport {
    /// How it ended.
    pub exit: ExitKind,
    /// The result for people.
    pub text: String,
    /// The result as one line of JSON.
    pub json: String,
}

impl CommandReport {
    /// A report with `value` as its JSON.
    pub fn new(exit: ExitKind, text: String, value: &impl Serialize) -> Self {
        let json = serde_json::to_string(value).unwrap_or_default();
        Self { exit, text, json }
    }
}
