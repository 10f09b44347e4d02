//! HTTP as all our programs use it: [`server`] runs a set of routes, [`client`] calls with JSON.
//!
//! Both switch off the delay that TCP adds to small writes, since tokens are small.

pub mod client;
pub mod server;
