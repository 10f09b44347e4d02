//! The operators' configuration: the validated union of all declaration files in force.
//!
//! The configuration crate parses and validates a [`Declaration`]. This crate relies on its
//! invariants without checking them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::CallId;
use crate::ids::LayerRange;
use crate::ids::ModelId;
use crate::ids::RegionId;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::WorkspaceId;
use crate::ids::ZoneId;
use crate::units::ByteCount;
use crate::units::RequestRate;
use crate::units::TokenCount;
use crate::units::TokenRate;

/// The validated configuration.
///
/// Invariants: every reference between rows resolves; each model's layers can be covered by a chain
/// of its targets without gap or overlap; no two rows share an id.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Declaration {
    /// Availability zones and the region of each.
    pub zones: BTreeMap<ZoneId, ZoneSpec>,
    /// Workspaces with their fair shares and limits.
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceSpec>,
    /// Models with their layer counts.
    pub models: BTreeMap<ModelId, ModelSpec>,
    /// Engines and service replicas.
    pub targets: BTreeMap<TargetId, TargetSpec>,
    /// Plain services and their calls.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Settings for overload and failures.
    pub policy: PolicySpec,
}

/// An availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneSpec {
    /// The region that the zone lies in.
    pub region: RegionId,
}

/// A workspace: one paying customer of the operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkspaceSpec {
    /// SHA-256 digests, in lower-case hexadecimal, of its bearer tokens.
    pub token_digests: Vec<SmolStr>,
    /// Weight in fair sharing; at least one.
    pub share: u32,
    /// Limit on requests across all instances; `None` is unlimited.
    pub request_limit: Option<RequestRate>,
    /// Limit on generated tokens across all instances; `None` is unlimited.
    pub token_limit: Option<TokenRate>,
    /// Priority from 0 to 9; requests with a higher priority are served first.
    pub priority: u8,
}

/// A model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelSpec {
    /// The number of layers; each token passes through all of them.
    pub layers: u32,
    /// The greatest number of tokens in one answer.
    pub answer_limit: TokenCount,
    /// The size of the data passed between two stages for one token.
    pub handoff: ByteCount,
}

/// A target: an engine that holds layers of a model, or a replica of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetSpec {
    /// Where the target listens.
    pub address: SocketAddr,
    /// The availability zone of the target.
    pub zone: ZoneId,
    /// Whether the target is an engine or a service replica.
    pub role: TargetRole,
    /// Whether the target rejects commands with an outdated fencing token.
    pub checks_fence: bool,
}

/// Whether a target is an engine or a service replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetRole {
    /// An engine that runs a range of layers of a model.
    Engine {
        /// The model.
        model: ModelId,
        /// The layers that it runs.
        layers: LayerRange,
        /// The number of steps that it runs in one batch.
        batch: u32,
        /// The operators' name for the kind of accelerator.
        accelerator: SmolStr,
        /// The operators' estimate of the time for one batch.
        step_time: Duration,
        /// The bandwidth of the link to the target, in bytes per second.
        link_bytes_per_second: u64,
    },
    /// A replica that answers calls of a plain service.
    Service {
        /// The service.
        service: ServiceId,
    },
}

/// A plain service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceSpec {
    /// The calls it answers.
    pub calls: BTreeMap<CallId, CallSpec>,
}

/// One call of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallSpec {
    /// Whether the call may run more than once. A call that may not runs at most once for each
    /// idempotency key.
    pub repeatable: bool,
    /// The time after which the call is abandoned.
    pub timeout: Duration,
}

/// Settings for overload and failures.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PolicySpec {
    /// The deadline of a request that states none.
    pub default_deadline: Duration,
    /// The greatest number of requests in one instance's queue.
    pub queue_limit: u32,
    /// The number of retries allowed per hundred requests.
    pub retry_percent: u32,
    /// How long the outcome of a call with an idempotency key is kept after the call ended.
    pub key_memory: Duration,
    /// The time without any message from a target after which it is suspected to have failed.
    pub suspect_after: Duration,
    /// The percentage of a group's targets that stays in use even if more are suspected.
    pub ejection_floor_percent: u32,
    /// How long requests with quarantined content are refused.
    pub quarantine: Duration,
}

impl Default for PolicySpec {
    fn default() -> Self {
        Self {
            default_deadline: Duration::from_secs(60),
            queue_limit: 1000,
            retry_percent: 20,
            key_memory: Duration::from_secs(3600),
            suspect_after: Duration::from_millis(600),
            ejection_floor_percent: 50,
            quarantine: Duration::from_secs(600),
        }
    }
}
