//! The forwarding daemon. It forwards whole requests to chains of inference engines, which pass
//! tokens to each other, and to replicas of plain services.
//!
//! - [`callers`] accepts the callers' connections, reads and routes each request, and defines the
//!   daemon's own answers.
//! - [`engines`] sends a request to a chain of engines or to a replica and relays the answer. It
//!   also probes engines that are silent.
//! - [`store`] follows the platform's configuration and list of targets, and keeps the instance in
//!   the group of instances.
//! - [`peers`] exchanges loads, observations and the data read from the store with other instances.
//! - [`decisions`] holds the tables on which the decisions of `banyan_core` are based, and assigns
//!   layers to engines while the instance is the leader.
//! - [`daemon`] starts and stops all tasks, which share [`state`].
//!
//! The platform is accessed through the traits of [`edges`].

pub mod callers;
pub mod daemon;
pub mod decisions;
pub mod edges;
pub mod engines;
pub mod log_budget;
pub mod logs;
pub mod metric;
pub mod peers;
pub mod settings;
pub mod state;
pub mod store;
