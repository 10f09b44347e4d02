//! The priority with which a request is admitted: [`EffectivePriority`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::ids::ServiceId;
use crate::pipeline::routes::KeyOwner;
use crate::pipeline::routes::RouteSpec;

/// The priority of a request: its workspace's, or its route's if the workspace has none. Zero is
/// the most urgent, and less urgent priorities are greater.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct EffectivePriority(pub u8);

impl EffectivePriority {
    /// The priority of a request on `route` from the owner of an API key, or without a key.
    pub fn of(route: &RouteSpec, owner: Option<&KeyOwner>) -> Self {
        Self(owner.and_then(|owner| owner.priority).unwrap_or(route.priority))
    }
}

impl fmt::Display for EffectivePriority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for EffectivePriority {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// The effective priorities that requests of each service can have. `owners` is `None` if no
/// request needs a key.
pub fn priorities_by_service<'a>(
    routes: impl IntoIterator<Item = &'a RouteSpec>,
    owners: Option<impl IntoIterator<Item = &'a KeyOwner>>,
) -> BTreeMap<ServiceId, BTreeSet<EffectivePriority>> {
    // Thousands of workspaces share a few priorities, so each is combined with each route once.
    let owner_priorities: Option<BTreeSet<Option<u8>>> =
        owners.map(|owners| owners.into_iter().map(|owner| owner.priority).collect());
    let mut services: BTreeMap<ServiceId, BTreeSet<EffectivePriority>> = BTreeMap::new();
    for route in routes {
        let priorities: BTreeSet<EffectivePriority> = match &owner_priorities {
            Some(owners) if !route.open => owners
                .iter()
                .map(|priority| EffectivePriority(priority.unwrap_or(route.priority)))
                .collect(),
            _ => BTreeSet::from([EffectivePriority(route.priority)]),
        };
        let receiving = route.shares.iter().filter(|share| share.weight > 0);
        for share in receiving {
            services.entry(share.service.clone()).or_default().extend(&priorities);
        }
    }
    services
}
