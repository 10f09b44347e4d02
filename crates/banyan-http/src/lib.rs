//! HTTP for all programs: [`server`] serves a set of routes, [`client`] makes JSON calls,
//! [`connection`] makes calls with raw bodies, and [`clock`] provides the clocks. [`held_memory`]
//! accounts for bodies and answers, which [`body_limits`] receives, and
//! [`connection_slots`] limits connections. [`answer_status`] tells which statuses an answer may
//! have, [`tracked_body`] when it was sent.
//!
//! Server and client set `TCP_NODELAY`, since Nagle's algorithm would delay tokens, which are small
//! writes.

pub mod answer_status;
pub mod body_limits;
pub mod client;
pub mod clock;
pub mod connection;
pub mod connection_slots;
pub mod head_limit;
pub mod held_memory;
pub mod observed_stream;
pub mod server;
pub mod tracked_body;
