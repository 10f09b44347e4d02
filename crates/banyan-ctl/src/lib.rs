//! The operators' tool `banyanctl`: checks and applies declaration files and reads back what is in
//! force.
//!
//! [`command`] is the command line and [`run::run_command`] carries it out. [`fleet`] finds and asks
//! the entries, [`log_stream`] reads and writes the platform's log; each subcommand has a module.

pub mod apply;
pub mod check;
pub mod command;
pub mod error;
pub mod fleet;
pub mod history;
pub mod in_force;
pub mod log_stream;
pub mod probe;
pub mod report;
pub mod run;
pub mod status;
pub mod stream_check;
