//! The program `banyan-timeline`: events of all processes as one causal line.
//!
//! [`collect`] gets the events of each process, [`merge`] puts them in the order of their hybrid
//! stamps, [`filter`] picks those asked for; [`text`] and [`picture`] show them.
//! [`story`] tells one request's story from the structured lines of the forwarding daemon.

pub mod collect;
pub mod command;
pub mod filter;
pub mod merge;
pub mod picture;
pub mod run;
pub mod story;
pub mod text;
