//! Maps requests to services and callers to workspaces: [`RouteTable`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::ServiceId;
use crate::ids::WorkspaceId;
use crate::pipeline::model::PipelineModel;
use crate::pipeline::priority::EffectivePriority;
use crate::pipeline::priority::priorities_by_service;
use crate::pipeline::prompt_order::PromptPolicy;
use crate::units::ByteCount;

/// How often a request may run, and the form of its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The answer is a stream of events that another target can resume.
    ResumableStream,
    /// The answer is a stream of events, and the request may run at most once.
    OneShotStream,
}

impl RouteKind {
    /// Whether a request that may already have run can be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::OneShotStream)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceId,
    /// Its weight relative to the other shares of the route.
    pub weight: u32,
}

/// A rule for requests with one host and path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteSpec {
    /// The name that operators use for it.
    pub name: SmolStr,
    /// The host, in lower case.
    pub host: SmolStr,
    /// The path prefix. Invariant: it begins and ends with a slash.
    pub prefix: SmolStr,
    /// How often its requests may run, and the form of the answers.
    pub kind: RouteKind,
    /// The longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// The latency within which an answer, or the first event of a stream, counts as on time.
    pub latency_target: Duration,
    /// The longest pause between two events of a stream that counts as on time.
    pub pause_target: Option<Duration>,
    /// The largest number of targets that one request may be sent to. Invariant: at least one.
    pub max_attempts: u32,
    /// The priority; zero is the most urgent.
    pub priority: u8,
    /// Whether requests need no API key.
    pub open: bool,
    /// The services that receive its requests. Invariant: not empty.
    pub shares: Vec<ServiceShare>,
}

impl RouteSpec {
    /// The service for a request. `draw` is a random number that distributes requests by weight.
    pub fn service_for(&self, draw: u64) -> &ServiceId {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = draw.checked_rem(total).unwrap_or(0);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return &share.service;
            }
            left -= weight;
        }
        &self.shares[0].service
    }
}

/// A group of interchangeable targets, or of engines that together run one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub id: ServiceId,
    /// The model whose layers its targets hold, if they hold layers.
    pub model: Option<Arc<PipelineModel>>,
}

/// The owner of an API key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyOwner {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The priority of its requests, which overrides the route's.
    pub priority: Option<u8>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The largest size of a request's head.
    pub head_size: ByteCount,
    /// The largest size of a request's body.
    pub body_size: ByteCount,
    /// The longest time that a request's head may take to arrive.
    pub head_time: Duration,
    /// The longest time that a connection may stay idle.
    pub idle_time: Duration,
}

/// The reason that a request has no route or no workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteMiss {
    /// No route matches the request's host and path.
    NoRoute,
    /// The route needs an API key, and the request has no known one.
    NoKey,
}

/// One version of the routing configuration, indexed for lookups.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// The version. Invariant: an instance never goes back to a lower one.
    pub version: u64,
    /// The services by name.
    pub services: BTreeMap<ServiceId, Arc<ServiceSpec>>,
    /// The limits for callers.
    pub limits: CallerLimits,
    routes: BTreeMap<SmolStr, BTreeMap<SmolStr, Arc<RouteSpec>>>,
    keys: BTreeMap<SmolStr, KeyOwner>,
    needs_keys: bool,
    prompt_policies: BTreeMap<ServiceId, Arc<PromptPolicy>>,
    /// The effective priorities that requests of each service can have.
    priorities: BTreeMap<ServiceId, BTreeSet<EffectivePriority>>,
}

impl RouteTable {
    /// Builds the table of one version. `keys` is `None` if no request needs a key.
    pub fn new(
        version: u64,
        routes: Vec<RouteSpec>,
        services: Vec<ServiceSpec>,
        limits: CallerLimits,
        keys: Option<BTreeMap<SmolStr, KeyOwner>>,
    ) -> Self {
        let owners = keys.iter().flat_map(BTreeMap::values);
        let owner_priorities: BTreeSet<u8> = owners.filter_map(|owner| owner.priority).collect();
        let prompt_policies = PromptPolicy::of_routes(&routes, &owner_priorities);
        let owners = keys.as_ref().map(BTreeMap::values);
        let priorities = priorities_by_service(&routes, owners);
        let mut by_host: BTreeMap<SmolStr, BTreeMap<SmolStr, Arc<RouteSpec>>> = BTreeMap::new();
        for route in routes {
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        Self {
            version,
            services: services.into_iter().map(|spec| (spec.id.clone(), Arc::new(spec))).collect(),
            limits,
            routes: by_host,
            needs_keys: keys.is_some(),
            keys: keys.unwrap_or_default(),
            prompt_policies,
            priorities,
        }
    }

    /// Whether requests of a service can have different effective priorities. Only then do
    /// priorities affect which of them are admitted.
    pub fn has_competing_priorities(&self, service: &ServiceId) -> bool {
        self.priorities.get(service).is_some_and(|priorities| priorities.len() > 1)
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<RouteSpec>, RouteMiss> {
        let host = host_name(host).to_ascii_lowercase();
        let prefixes = self.routes.get(host.as_str()).ok_or(RouteMiss::NoRoute)?;
        let mut remaining = path;
        while let Some(slash) = remaining.rfind('/') {
            if let Some(route) = prefixes.get(&remaining[..=slash]) {
                return Ok(route);
            }
            remaining = &remaining[..slash];
        }
        Err(RouteMiss::NoRoute)
    }

    /// How the routes of a service differ, or `None` if they are alike.
    pub fn prompt_policy(&self, service: &ServiceId) -> Option<&Arc<PromptPolicy>> {
        self.prompt_policies.get(service)
    }

    /// The owner of a request on `route`, or `None` if the route needs no key.
    pub fn owner(
        &self,
        route: &RouteSpec,
        key: Option<&str>,
    ) -> Result<Option<&KeyOwner>, RouteMiss> {
        if route.open || !self.needs_keys {
            return Ok(None);
        }
        let key = key.ok_or(RouteMiss::NoKey)?;
        self.keys.get(key).map(Some).ok_or(RouteMiss::NoKey)
    }
}

/// The host without a port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
