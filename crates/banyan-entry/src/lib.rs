//! The entry daemon: the shell around the core's decisions.
//!
//! A request comes in through [`caller`], is let in by [`admission`], and is served by
//! [`completion`] (a token loop over a chain of engines, whose steps [`steps`] carries) or by
//! [`services`] (one call, which [`claims`] guards where it may run at most once). Meanwhile
//! [`follower`] folds the platform's log from where [`joining`] starts it, [`checkpoints`] keeps a
//! start possible, [`writer`] appends and [`probes`] watches the targets. [`peers`] are the other
//! instances: [`exchange`] talks to them, [`peer_server`] answers them, [`relay`] reads the log
//! through them, [`listing`] finds them. [`daemon`] starts and stops all of it.

pub mod admission;
pub mod caller;
pub mod checkpoints;
pub mod claim_route;
pub mod claims;
pub mod completion;
pub mod counted;
pub mod crashes;
pub mod daemon;
pub mod exchange;
pub mod follower;
pub mod isolation;
pub mod joining;
pub mod journal;
pub mod leaving;
pub mod lineage;
pub mod listing;
pub mod metric;
pub mod operator;
pub mod peer_link;
pub mod peer_server;
pub mod peers;
pub mod platform;
pub mod prefixes;
pub mod probes;
pub mod refusal;
pub mod relay;
pub mod services;
pub mod state;
pub mod steps;
pub mod tables;
pub mod trials;
pub mod writer;
