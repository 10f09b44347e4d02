//! HTTP as all our programs use it: [`server`] runs a set of routes, [`client`] calls with JSON.
//! [`clock`] holds the clocks that they read.
//!
//! Server and client switch off the delay that TCP adds to small writes, since tokens are small.

pub mod client;
pub mod clock;
pub mod server;
