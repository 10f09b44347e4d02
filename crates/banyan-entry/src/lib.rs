//! The entry daemon: input and output around the decision logic of `banyan_core`.
//!
//! A request arrives at [`caller`], passes [`admission`], and is served by [`completion`] (a token
//! loop over a chain of engines, with steps sent by [`steps`]) or by [`services`] (one call, which
//! [`claims`] guards if it may run at most once). In the background, [`joining`] restores the state
//! of each stream of the platform's log, [`follower`] folds new entries, [`writer`] appends,
//! [`checkpoints`] lets new instances start after retention, and [`probes`] checks the targets.
//! [`peers`] tracks the other instances: [`listing`] finds them, [`exchange`] sends them digests,
//! [`peer_server`] answers them, and [`relay`] reads the log through them. [`daemon`] starts and
//! stops all tasks.

pub mod admission;
pub mod caller;
pub mod checkpoints;
pub mod claim_route;
pub mod claims;
pub mod completion;
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
