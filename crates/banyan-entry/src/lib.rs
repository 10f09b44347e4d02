//! The entry daemon: the shell around the core's decisions.
//!
//! A request comes in through [`caller`], is let in by [`admission`], and is served by
//! [`completion`] (a token loop over a chain of engines, whose steps [`steps`] carries) or by
//! [`services`] (one call, which [`claims`] guards where it may run at most once). Meanwhile
//! [`follower`] folds the platform's log, [`writer`] appends to it, [`probes`] watches the targets
//! and [`peers`] talks to the other instances. [`daemon`] starts and stops all of it.

pub mod admission;
pub mod caller;
pub mod claims;
pub mod clock;
pub mod completion;
pub mod crashes;
pub mod daemon;
pub mod follower;
pub mod journal;
pub mod lineage;
pub mod metric;
pub mod operator;
pub mod peers;
pub mod platform;
pub mod probes;
pub mod refusal;
pub mod services;
pub mod state;
pub mod steps;
pub mod writer;
