//! The program `banyan-timeline`: merges the events of all processes in causal order.
//!
//! [`collect`] fetches the events of each process, [`merge`] sorts them by hybrid timestamp and
//! [`filter`] selects the requested ones. [`text`] and [`picture`] render them.
//! [`story`] traces one request through the structured logs of the forwarding daemon.

pub mod collect;
pub mod command;
pub mod filter;
pub mod merge;
pub mod picture;
pub mod run;
pub mod story;
pub mod text;
