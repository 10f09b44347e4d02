//! The settings of a forwarding daemon: [`ForwardSettings`].

use std::net::SocketAddr;
use std::time::Duration;

use banyan_core::ids::InstanceId;
use banyan_core::ids::ZoneId;
use banyan_core::machine::MachineLimits;
use banyan_core::pipeline::duties::DutyCapacity;
use banyan_core::pipeline::duties::OwnInstance;
use banyan_core::pipeline::retries::RetryBounds;
use banyan_core::units::ByteCount;

/// The memory of a machine whose settings name none.
pub const DEFAULT_MEMORY: ByteCount = ByteCount(256_000_000);
/// The descriptors of a machine whose settings name none.
pub const DEFAULT_DESCRIPTORS: u32 = 1_024;

/// The settings of one forwarding daemon. Only `bounds` can change while it runs.
#[derive(Clone, Debug)]
pub struct ForwardSettings {
    /// The instance's name.
    pub instance: InstanceId,
    /// The instance's availability zone.
    pub zone: ZoneId,
    /// The memory and the descriptors that its machine gives it.
    pub machine: MachineLimits,
    /// What it can spend on work for other instances.
    pub duty_capacity: DutyCapacity,
    /// The address on which it serves callers.
    pub caller_address: SocketAddr,
    /// The address on which it answers the load balancer's readiness checks.
    pub ready_address: SocketAddr,
    /// The address on which it serves its peers, and which it announces to them.
    pub peer_address: SocketAddr,
    /// Addresses of peers to contact at startup, before others are known.
    pub seeds: Vec<SocketAddr>,
    /// The address on which it serves its metrics, or `None` to not serve them.
    pub metrics_address: Option<SocketAddr>,
    /// The time between two reports of a target to the platform.
    pub report_interval: Duration,
    /// The time limits and ratios that the users set.
    pub bounds: ServiceBounds,
}

impl ForwardSettings {
    /// The instance as decisions about its duties see it.
    pub fn own_instance(&self) -> OwnInstance<'_> {
        OwnInstance { name: &self.instance, zone: &self.zone, capacity: self.duty_capacity }
    }
}

/// Time limits and ratios that the users set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceBounds {
    /// The bounds of the retry budget.
    pub retries: RetryBounds,
    /// The time between a stop request and the exit of the process.
    pub stop_time: Duration,
    /// The time within which new work must stop going to a target that leaves.
    pub leave_time: Duration,
    /// The time that the platform needs to settle after an outage. Within it, removed targets get a
    /// longer grace period.
    pub settle_time: Duration,
    /// Whether engines reject orders with a lower fencing token than the highest that they have
    /// seen.
    pub engines_check_fences: bool,
}
