//! The platform's interface: its log, its instance list and its weight store, over HTTP.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /log/{stream}` | appends the request's body; answers [`AppendReply`] |
//! | `GET /log/{stream}?from=N&limit=K&wait_ms=M` | [`ReadReply`]; waits up to `M` ms for an entry at `N` |
//! | `GET /instances` | [`InstancesReply`], which may lag |
//! | `PUT /instances/{name}` | an [`InstanceWire`] announces itself; `DELETE` takes it off |
//! | `GET /weights/{name}` | a model's weights; 429 above the store's rate |
//!
//! Status 429 means that the rate limit is reached, 503 an outage; both may be tried again.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The answer to an append that took effect. Its loss says nothing about the append.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AppendReply {
    /// The offset that the entry got.
    pub offset: u64,
}

/// Entries of a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadReply {
    /// The oldest offset still kept.
    pub first: u64,
    /// The offset that the next append will get.
    pub next: u64,
    /// Entries from the asked offset (or from `first` where that is greater), in order.
    pub entries: Vec<ReadEntry>,
}

/// One entry of a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReadEntry {
    /// Its offset.
    pub offset: u64,
    /// When the platform took it, in milliseconds of the Unix epoch.
    pub at_ms: u64,
    /// Its body as text; our bodies are JSON.
    pub body: String,
}

/// The platform's list of instances, as of some seconds ago.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct InstancesReply {
    /// Grows with each change of the list.
    pub version: u64,
    /// The rows.
    pub instances: Vec<InstanceWire>,
}

/// What an instance runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceRole {
    /// An entry daemon of ours.
    Entry,
    /// A target: an engine or a service replica, by the name that the declaration gives it.
    Target,
}

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It takes work.
    Live,
    /// It is about to go and takes no new work.
    Leaving,
}

/// A row of the instance list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceWire {
    /// The instance's name; for targets the id in the declaration.
    pub name: SmolStr,
    /// What it runs.
    pub role: InstanceRole,
    /// Whether it stays.
    pub state: InstanceState,
    /// Its availability zone.
    pub zone: SmolStr,
    /// For entries: where callers reach it, `IP:PORT`.
    pub caller_address: Option<SmolStr>,
    /// For entries: where peers reach it.
    pub peer_address: Option<SmolStr>,
    /// For entries: where operators reach it.
    pub operator_address: Option<SmolStr>,
}
