//! The wire types of every protocol, apart from the types that the core works with.
//!
//! One module a protocol: [`log`] is what we write into the platform's log, [`checkpoint`] the
//! state of a fold as checkpoints and peers carry it, [`platform`] the
//! platform's own interface, [`engine`] and [`service`] the targets', [`caller`] the interface for
//! callers, [`operator`] the read-back port, [`peer`] what our instances say to each other, [`forward`]
//! the same for those that forward whole requests. Each
//! type converts with `From` to the wire and with `TryFrom` back, so that whatever a peer or an
//! older version sends is checked at the edge.

pub mod caller;
pub mod checkpoint;
pub mod engine;
pub mod forward;
pub mod log;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod service;
