//! What a forwarding daemon needs to know of its place: [`ForwardSettings`].

use std::net::SocketAddr;
use std::time::Duration;

use banyan_core::ids::InstanceId;
use banyan_core::ids::ZoneId;
use banyan_core::pipeline::retries::RetryBounds;

/// The settings of one forwarding daemon.
#[derive(Clone, Debug)]
pub struct ForwardSettings {
    /// The instance's name.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready_address: SocketAddr,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// Where some peers may be reached before any is known.
    pub seeds: Vec<SocketAddr>,
    /// Where its metrics are read, if anywhere.
    pub metrics_address: Option<SocketAddr>,
    /// The bounds that the users set.
    pub bounds: ServiceBounds,
}

/// Times and ratios that the users set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceBounds {
    /// The budget of retries.
    pub retries: RetryBounds,
    /// The time between the request to stop and the end of the process.
    pub stop_time: Duration,
    /// The time within which no new work may go to a target that leaves.
    pub leave_time: Duration,
    /// How long the platform counts as unsound after trouble.
    pub settle_time: Duration,
    /// Whether engines refuse orders with a lower fencing token than they have seen.
    pub engines_check_fences: bool,
}
