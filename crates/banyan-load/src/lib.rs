//! Load and experiments: open loop, deterministic by seed, with every answer checked.
//!
//! An experiment starts a [`mod@bench`] of real processes on loopback, offers it a [`schedule`] of
//! requests through [`load`] while a [`session`] plays faults beside it, reads what really ran from
//! the engines' [`ground_truth`], and reports one [`report::ExperimentLine`]. [`experiments`] holds
//! one module each. The control work alone is measured by [`control`].
//! [`emulate`] plays load patterns against the decisions in virtual time, without any process.

pub mod bench;
pub mod caller;
pub mod control;
pub mod emulate;
pub mod experiments;
pub mod ground_truth;
pub mod load;
pub mod plan;
pub mod process;
pub mod report;
pub mod schedule;
pub mod session;
pub mod tally;
