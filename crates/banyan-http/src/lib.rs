//! HTTP for all programs: [`server`] serves a set of routes, [`client`] makes JSON calls,
//! [`connection`] makes calls with raw bodies, and [`clock`] provides the clocks.
//!
//! Server and client set `TCP_NODELAY`, since Nagle's algorithm would delay tokens, which are small
//! writes.

pub mod client;
pub mod clock;
pub mod connection;
pub mod head_limit;
pub mod observed_stream;
pub mod server;
