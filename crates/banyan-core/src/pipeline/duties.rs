//! What an instance can spend on work for others ([`DutyCapacity`]), and for how long it may lead
//! ([`LeadershipLease`]).
//!
//! Machines differ. Reading the store for a zone, leading and checking engines go to those that can
//! carry it, by what each says of itself.

use std::cmp::Reverse;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::ids::ZoneId;
use crate::units::Moment;

/// The number of other announced instances from which on a fleet counts as large. With fewer, an
/// instance's first digest rounds reach all of them, and its state of the group is complete.
const LARGE_FLEET_PEERS: usize = 24;

/// Whether the number of other announced instances is known and small.
pub fn is_small_fleet(peers: Option<usize>) -> bool {
    peers.is_some_and(|peers| peers < LARGE_FLEET_PEERS)
}

/// The largest number of other announced instances with which each hears the status of all others
/// while it is valid: 15 rounds of 8 exchanges in 6 s.
const FULLY_HEARD_PEERS: usize = 120;

/// Whether each instance hears the status of all others. It then chooses members of the group by
/// their capacity. In a larger fleet it does not know all capacities, and only what members state,
/// which others pass on, reaches it in time.
pub fn hears_all_peers(peers: usize) -> bool {
    peers <= FULLY_HEARD_PEERS
}

/// What an instance can spend on work for others, in thousandths of a processor core.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct DutyCapacity(pub u32);

impl fmt::Display for DutyCapacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m", self.0)
    }
}

impl FromStr for DutyCapacity {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.strip_suffix('m').unwrap_or(text).parse().map(Self)
    }
}

/// The order in which instances take on work for others: by capacity, then by name.
pub type DutyRank<'a> = (Reverse<DutyCapacity>, &'a InstanceId);

/// The instance that makes a decision about its own duties.
#[derive(Clone, Copy, Debug)]
pub struct OwnInstance<'a> {
    /// Its name.
    pub name: &'a InstanceId,
    /// Its availability zone.
    pub zone: &'a ZoneId,
    /// What it can spend on work for others.
    pub capacity: DutyCapacity,
}

impl OwnInstance<'_> {
    /// Its place in the order of duties.
    pub fn rank(&self) -> DutyRank<'_> {
        (Reverse(self.capacity), self.name)
    }
}

/// The right to order layers, which the group of instances grants for a limited time.
#[derive(Clone, Copy, Debug)]
pub struct LeadershipLease {
    /// When the last call that the group answered was sent.
    pub confirmed: Moment,
    /// How long the group waits for the next call before it chooses another leader.
    pub ttl: Duration,
    /// Whether engines reject orders of a former leader. The leader may then go on while the group
    /// does not answer.
    pub engines_check_fences: bool,
}

impl LeadershipLease {
    /// Whether orders may be sent at `now`. This is asked before each order, since the process may
    /// have been paused since the last one.
    pub fn is_valid(&self, now: Moment) -> bool {
        self.engines_check_fences || now.since(self.confirmed) < self.ttl
    }
}
