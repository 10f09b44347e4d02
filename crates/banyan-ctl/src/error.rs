//! Why a subcommand could not be carried out: [`CtlError`].

use smol_str::SmolStr;
use thiserror::Error;

use crate::report::ExitKind;
use banyan_core::ids::IdError;
use banyan_http::client::CallError;

/// Why a subcommand has no result.
#[derive(Debug, Error)]
pub enum CtlError {
    /// A file cannot be read.
    #[error("{file} cannot be read: {reason}; name a readable declaration file")]
    FileUnreadable {
        /// The file as named.
        file: SmolStr,
        /// What the system said.
        reason: String,
    },
    /// The file's name cannot be a declaration's name.
    #[error("{file} cannot be applied under its own name: {source}; choose one with --name")]
    BadName {
        /// The file as named.
        file: SmolStr,
        /// What is wrong with it.
        source: IdError,
    },
    /// The command line names neither the platform nor an entry.
    #[error("no entry is known; give --platform IP:PORT or --entry IP:PORT")]
    NoEntryGiven,
    /// A subcommand needs the platform.
    #[error("the platform's address is needed to reach the log; give --platform IP:PORT")]
    NoPlatformGiven,
    /// The instance list names no live entry.
    #[error(
        "the platform's instance list at {platform} names no live entry; start one, or give \
         --entry IP:PORT if the list lags"
    )]
    NoEntryListed {
        /// The platform's address.
        platform: SmolStr,
    },
    /// No entry answers.
    #[error("none of the {count} known entries answers, the last one so: {last}")]
    NoEntryAnswers {
        /// How many were asked.
        count: usize,
        /// What became of the last call.
        last: SmolStr,
    },
    /// The platform or an entry does not answer as it should.
    #[error("no answer came: {0}")]
    NoAnswer(#[from] CallError),
}

impl CtlError {
    /// The exit code.
    pub fn exit(&self) -> ExitKind {
        match self {
            CtlError::FileUnreadable { .. }
            | CtlError::BadName { .. }
            | CtlError::NoEntryGiven
            | CtlError::NoPlatformGiven => ExitKind::Usage,
            CtlError::NoEntryListed { .. }
            | CtlError::NoEntryAnswers { .. }
            | CtlError::NoAnswer(_) => ExitKind::Unknown,
        }
    }
}
