//! The platform's HTTP interface: its log, its instance list and its weight store.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /log/{stream}` | appends the request's body; responds with [`AppendReply`] |
//! | `GET /log/{stream}?from=N&limit=K&wait_ms=M` | [`ReadReply`]; waits up to `M` ms for an entry at `N` |
//! | `GET /instances` | [`InstancesReply`], which may be out of date |
//! | `PUT /instances/{name}` | registers the [`InstanceWire`] in the body; `DELETE` removes it |
//! | `GET /weights/{name}` | a model's weights; 429 above the store's rate limit |
//!
//! Status 429 means that the rate limit is reached, 503 means an outage. Both calls can be retried.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The response to an append that took effect. If no response arrives, the append may still have
/// taken effect.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AppendReply {
    /// The offset assigned to the entry.
    pub offset: u64,
}

/// Consecutive entries of a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadReply {
    /// The oldest offset that the log still keeps.
    pub first: u64,
    /// The offset that the next append will get.
    pub next: u64,
    /// The entries from the requested offset on (or from `first` if that is greater), in order.
    pub entries: Vec<ReadEntry>,
}

/// One entry of a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadEntry {
    /// The entry's offset.
    pub offset: u64,
    /// When the platform accepted the entry, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The entry's body as text; the bodies that instances append are JSON.
    pub body: String,
}

/// The platform's list of instances, which may be some seconds old.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct InstancesReply {
    /// Increases with each change of the list.
    pub version: u64,
    /// The registered instances.
    pub instances: Vec<InstanceWire>,
}

/// The kind of process that an instance runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceRole {
    /// An entry daemon.
    Entry,
    /// A target: an engine or a service replica. Its name is the target's id in the declaration.
    Target,
}

/// Whether an instance accepts new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance accepts new work.
    Live,
    /// The instance is about to shut down and accepts no new work.
    Leaving,
}

/// One instance in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceWire {
    /// The instance's name; for a target, its id in the declaration.
    pub name: SmolStr,
    /// The kind of process that the instance runs.
    pub role: InstanceRole,
    /// Whether the instance accepts new work.
    pub state: InstanceState,
    /// The instance's availability zone.
    pub zone: SmolStr,
    /// For entry daemons: the address for callers, `IP:PORT`.
    pub caller_address: Option<SmolStr>,
    /// For entry daemons: the address for peers, `IP:PORT`.
    pub peer_address: Option<SmolStr>,
    /// For entry daemons: the address for operators, `IP:PORT`.
    pub operator_address: Option<SmolStr>,
}
