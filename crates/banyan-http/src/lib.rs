//! HTTP for all programs: [`server`] serves a set of routes, [`client`] makes JSON calls, and
//! [`clock`] provides the clocks.
//!
//! Server and client set `TCP_NODELAY`, since Nagle's algorithm would delay tokens, which are small
//! writes.

pub mod client;
pub mod clock;
pub mod server;
