//! The wire types of every protocol, separate from the types that the core works with.
//!
//! Each protocol has its own module:
//!
//! - [`log`]: the facts written to the platform's log.
//! - [`checkpoint`]: the serialized state of a fold, in checkpoints and in snapshots from peers.
//! - [`platform`]: the platform's own interface.
//! - [`engine`] and [`service`]: the interfaces of the targets.
//! - [`caller`]: the interface for callers.
//! - [`operator`]: the status port for operators.
//! - [`peer`]: the protocol between entry daemons.
//! - [`forward`]: the protocol between forwarding daemons.
//!
//! A core type converts to its wire type with `From` and back with `TryFrom`, so that data from a
//! peer or an older version is validated where it enters the process.

pub mod caller;
pub mod checkpoint;
pub mod engine;
pub mod forward;
pub mod log;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod service;
