//! Tests of effective priorities.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::support::service;
use banyan_core::pipeline::priority::EffectivePriority;
use banyan_core::pipeline::routes::CallerLimits;
use banyan_core::pipeline::routes::KeyOwner;
use banyan_core::pipeline::routes::RouteKind;
use banyan_core::pipeline::routes::RouteSpec;
use banyan_core::pipeline::routes::RouteTable;
use banyan_core::pipeline::routes::ServiceShare;
use banyan_core::units::ByteCount;

fn route(name: &str, priority: u8, open: bool, weight: u32) -> RouteSpec {
    RouteSpec {
        name: SmolStr::new(name),
        host: SmolStr::new("h"),
        prefix: format_smolstr!("/{name}/"),
        kind: RouteKind::ResumableStream,
        timeout: Duration::from_secs(2),
        latency_target: Duration::from_millis(300),
        pause_target: None,
        max_attempts: 2,
        priority,
        open,
        shares: vec![
            ServiceShare { service: "other".parse().expect("a name"), weight: 1 },
            ServiceShare { service: service(), weight },
        ],
    }
}

fn owner(priority: Option<u8>) -> KeyOwner {
    KeyOwner { workspace: "w1".parse().expect("a name"), priority }
}

/// Whether the requests of the service of all engines differ in priority. `owners` are the
/// priorities of the workspaces.
fn ranks_requests(routes: &[RouteSpec], owners: Option<&[Option<u8>]>) -> bool {
    let limits = CallerLimits {
        head_size: ByteCount(1),
        body_size: ByteCount(1),
        head_time: Duration::ZERO,
        idle_time: Duration::ZERO,
    };
    let keys = owners.map(|owners| {
        let rows = owners.iter().enumerate();
        rows.map(|(index, priority)| (format_smolstr!("k{index}"), owner(*priority)))
            .collect::<BTreeMap<_, _>>()
    });
    RouteTable::new(1, routes.to_vec(), Vec::new(), limits, keys)
        .has_competing_priorities(&service())
}

#[test]
fn the_priority_of_a_workspace_overrides_that_of_its_route() {
    let route = route("a", 2, false, 1);
    assert_eq!(EffectivePriority::of(&route, Some(&owner(Some(0)))), EffectivePriority(0));
    assert_eq!(EffectivePriority::of(&route, Some(&owner(None))), EffectivePriority(2));
    assert_eq!(EffectivePriority::of(&route, None), EffectivePriority(2));
}

#[test]
fn priorities_take_effect_only_where_requests_of_a_service_differ_in_them() {
    // Guards against changed decisions on deployments whose configuration ranks nothing.
    let (urgent, relaxed) = (route("a", 0, false, 1), route("b", 2, false, 1));
    assert!(ranks_requests(&[urgent.clone(), relaxed.clone()], None));
    assert!(!ranks_requests(std::slice::from_ref(&relaxed), None));
    assert!(!ranks_requests(&[route("a", 2, true, 1), relaxed.clone()], None));
    // A route that sends the service nothing has no effect on it.
    assert!(!ranks_requests(&[route("a", 0, false, 0), relaxed.clone()], None));
    // Workspaces that override every route make all requests alike.
    assert!(!ranks_requests(&[urgent.clone(), relaxed.clone()], Some(&[Some(1), Some(1)])));
    assert!(ranks_requests(&[urgent, relaxed.clone()], Some(&[Some(1), None])));
    assert!(ranks_requests(std::slice::from_ref(&relaxed), Some(&[Some(1), Some(2)])));
    // Requests on open routes have no workspace.
    assert!(ranks_requests(&[route("a", 0, true, 1), relaxed], Some(&[Some(1)])));
}
