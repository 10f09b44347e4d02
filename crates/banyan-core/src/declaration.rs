//! What the operators want: the validated union of all declaration files in force.
//!
//! [`Declaration`] is made by the configuration crate from file text; nothing else constructs one
//! from outside. The core trusts its invariants.

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

/// Everything declared, after validation.
///
/// Invariants: every reference between rows resolves; each model's layers can be covered by a chain
/// of its targets without gap or overlap; no two rows share an id.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Declaration {
    /// Availability zones and the region of each.
    pub zones: BTreeMap<ZoneId, ZoneSpec>,
    /// Workspaces with their shares and limits.
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceSpec>,
    /// Models with their layer counts.
    pub models: BTreeMap<ModelId, ModelSpec>,
    /// Engines and service replicas.
    pub targets: BTreeMap<TargetId, TargetSpec>,
    /// Plain services and their calls.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// The policy under load and faults.
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
    /// SHA-256 digests, in lower-case hexadecimal, of the bearer tokens that stand for it.
    pub token_digests: Vec<SmolStr>,
    /// Weight in the fair share; at least one.
    pub share: u32,
    /// Limit over all instances together; `None` is unlimited.
    pub request_limit: Option<RequestRate>,
    /// Limit of generated tokens over all instances together; `None` is unlimited.
    pub token_limit: Option<TokenRate>,
    /// Requests with a higher priority are served first; 0 to 9.
    pub priority: u8,
}

/// A model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelSpec {
    /// The number of layers; every one of them runs once for each token.
    pub layers: u32,
    /// The most tokens a single answer may have.
    pub answer_limit: TokenCount,
    /// The size of one token's hand-off between two stages.
    pub handoff: ByteCount,
}

/// A target: an engine that holds layers of a model, or a replica of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetSpec {
    /// Where the target listens.
    pub address: SocketAddr,
    /// The availability zone it stands in.
    pub zone: ZoneId,
    /// What it does.
    pub role: TargetRole,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fence: bool,
}

/// What a target does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetRole {
    /// Runs a range of layers of a model.
    Engine {
        /// The model.
        model: ModelId,
        /// The layers that it holds.
        layers: LayerRange,
        /// The number of steps it runs in one batch.
        batch: u32,
        /// The kind of accelerator, as the operators name it.
        accelerator: SmolStr,
        /// The time that one batch takes, as the operators expect it.
        step_time: Duration,
        /// The speed of the link to it, in bytes a second.
        link_bytes_per_second: u64,
    },
    /// Answers calls of a plain service.
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
    /// Whether the call may be repeated; one that may not runs at most once for each key.
    pub repeatable: bool,
    /// The time after which the call is given up.
    pub timeout: Duration,
}

/// The policy under load and faults.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PolicySpec {
    /// The deadline of a request whose caller gives none.
    pub default_deadline: Duration,
    /// The most requests that wait in one instance's queue.
    pub queue_limit: u32,
    /// Retries allowed for each hundred requests.
    pub retry_percent: u32,
    /// How long the outcome of a keyed call is remembered after it ended.
    pub key_memory: Duration,
    /// The time without a sign of life after which a target is suspected.
    pub suspect_after: Duration,
    /// The share of a group's targets, in percent, that stays in use whatever is suspected.
    pub ejection_floor_percent: u32,
    /// How long a convicted request is refused.
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
