//! Which requests may be served, where and how: [`RouteTable`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::ServiceId;
use crate::ids::WorkspaceId;
use crate::pipeline::model::PipelineModel;
use crate::units::ByteCount;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run once at most.
    AtMostOnce,
    /// The answer is a stream of events that another target can go on with.
    ResumableStream,
    /// The answer is a stream of events, and the request may run once at most.
    OneShotStream,
}

impl RouteKind {
    /// Whether a request that may have run can be sent once more.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::OneShotStream)
    }
}

/// A service that takes a part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceId,
    /// Its part, relative to the other shares of the route.
    pub weight: u32,
}

/// A rule for requests of one host and path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteSpec {
    /// The name that operators gave it.
    pub name: SmolStr,
    /// The host, in lower case.
    pub host: SmolStr,
    /// The path prefix. Invariant: it begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub latency_target: Duration,
    /// The longest pause between two events of a stream that is on time.
    pub pause_target: Option<Duration>,
    /// The most targets that one request may be sent to. Invariant: at least one.
    pub max_attempts: u32,
    /// The rank, where zero is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub open: bool,
    /// The services that take its requests. Invariant: not empty.
    pub shares: Vec<ServiceShare>,
}

impl RouteSpec {
    /// The service that a request goes to; `draw` spreads requests over the shares.
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

/// A group of targets that do the same.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub id: ServiceId,
    /// The model, where its targets hold layers of one.
    pub model: Option<Arc<PipelineModel>>,
}

/// Whom a key belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyOwner {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The rank of its requests, which goes before the route's.
    pub priority: Option<u8>,
}

/// Bounds on what callers may send and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The most bytes of a request's head.
    pub head_size: ByteCount,
    /// The most bytes of a request's body.
    pub body_size: ByteCount,
    /// The longest time that a request's head may take to arrive.
    pub head_time: Duration,
    /// The longest time that a connection may stay idle.
    pub idle_time: Duration,
}

/// Why a request has no route or no workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteMiss {
    /// No route has the request's host and a prefix of its path.
    NoRoute,
    /// The route needs a key, and the request has none that is known.
    NoKey,
}

/// One version of the configuration, ready for looking up requests.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// The version. Invariant: an instance never goes back to a lower one.
    pub version: u64,
    /// The services by name.
    pub services: BTreeMap<ServiceId, Arc<ServiceSpec>>,
    /// The bounds for callers.
    pub limits: CallerLimits,
    routes: BTreeMap<SmolStr, BTreeMap<SmolStr, Arc<RouteSpec>>>,
    keys: BTreeMap<SmolStr, KeyOwner>,
    needs_keys: bool,
}

impl RouteTable {
    /// Builds the table of one version; `keys` is `None` where requests need no keys at all.
    pub fn new(
        version: u64,
        routes: Vec<RouteSpec>,
        services: Vec<ServiceSpec>,
        limits: CallerLimits,
        keys: Option<BTreeMap<SmolStr, KeyOwner>>,
    ) -> Self {
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
        }
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<RouteSpec>, RouteMiss> {
        let host = host_name(host).to_ascii_lowercase();
        let prefixes = self.routes.get(host.as_str()).ok_or(RouteMiss::NoRoute)?;
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(route) = prefixes.get(&rest[..=slash]) {
                return Ok(route);
            }
            rest = &rest[..slash];
        }
        Err(RouteMiss::NoRoute)
    }

    /// Whom a request on `route` is for, or `None` where the route needs no key.
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
