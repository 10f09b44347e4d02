//! Tests of routes and API keys.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use banyan_core::pipeline::routes::CallerLimits;
use banyan_core::pipeline::routes::KeyOwner;
use banyan_core::pipeline::routes::RouteKind;
use banyan_core::pipeline::routes::RouteMiss;
use banyan_core::pipeline::routes::RouteSpec;
use banyan_core::pipeline::routes::RouteTable;
use banyan_core::pipeline::routes::ServiceShare;
use banyan_core::units::ByteCount;

const LIMITS: CallerLimits = CallerLimits {
    head_size: ByteCount(16_384),
    body_size: ByteCount(1_000),
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};

fn route(name: &str, host: &str, prefix: &str, shares: &[(&str, u32)]) -> RouteSpec {
    let share = |(service, weight): &(&str, u32)| ServiceShare {
        service: service.parse().expect("a name"),
        weight: *weight,
    };
    RouteSpec {
        name: SmolStr::new(name),
        host: SmolStr::new(host),
        prefix: SmolStr::new(prefix),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(2),
        latency_target: Duration::from_millis(300),
        pause_target: None,
        max_attempts: 2,
        priority: 1,
        open: name == "open",
        shares: shares.iter().map(share).collect(),
    }
}

fn table() -> RouteTable {
    let routes = vec![
        route("outer", "one.example", "/a/", &[("s1", 1)]),
        route("inner", "one.example", "/a/b/", &[("s1", 1)]),
        route("other", "two.example", "/a/", &[("s1", 1)]),
        route("open", "one.example", "/open/", &[("s1", 1)]),
    ];
    let owner = KeyOwner { workspace: "w1".parse().expect("a name"), priority: None };
    let keys = BTreeMap::from([(SmolStr::new("k1"), owner)]);
    RouteTable::new(1, routes, Vec::new(), LIMITS, Some(keys))
}

fn name_of(host: &str, path: &str) -> Result<SmolStr, RouteMiss> {
    table().route(host, path).map(|route| route.name.clone())
}

#[test]
fn the_longest_prefix_of_the_host_s_routes_wins() {
    assert_eq!(name_of("one.example", "/a/x").as_deref(), Ok("outer"));
    assert_eq!(name_of("one.example", "/a/b/x").as_deref(), Ok("inner"));
    assert_eq!(name_of("one.example", "/a/b/").as_deref(), Ok("inner"));
    assert_eq!(name_of("one.example", "/a/b").as_deref(), Ok("outer"));
    assert_eq!(name_of("two.example", "/a/b/x").as_deref(), Ok("other"));
}

#[test]
fn hosts_are_compared_without_case_and_port() {
    assert_eq!(name_of("ONE.example:8080", "/a/x").as_deref(), Ok("outer"));
}

#[test]
fn requests_without_a_matching_route_are_rejected() {
    assert_eq!(name_of("one.example", "/b/x"), Err(RouteMiss::NoRoute));
    assert_eq!(name_of("three.example", "/a/x"), Err(RouteMiss::NoRoute));
    assert_eq!(name_of("one.example", "/a"), Err(RouteMiss::NoRoute));
    assert_eq!(name_of("one.example", ""), Err(RouteMiss::NoRoute));
}

#[test]
fn a_route_needs_a_known_key_unless_it_is_open() {
    let table = table();
    let closed = table.route("one.example", "/a/x").expect("a route");
    let open = table.route("one.example", "/open/x").expect("a route");
    let owner = table.owner(closed, Some("k1")).expect("a known key").expect("an owner");
    assert_eq!(owner.workspace.as_str(), "w1");
    assert_eq!(table.owner(closed, Some("k2")), Err(RouteMiss::NoKey));
    assert_eq!(table.owner(closed, None), Err(RouteMiss::NoKey));
    assert_eq!(table.owner(open, None), Ok(None));
}

#[test]
fn shares_receive_requests_by_weight() {
    let split = route("split", "h", "/", &[("s1", 90), ("s2", 10)]);
    let second = (0..1_000).filter(|draw| split.service_for(*draw).as_str() == "s2").count();
    assert_eq!(second, 100);
}

#[test]
fn a_share_of_weight_zero_receives_no_requests() {
    let split = route("split", "h", "/", &[("s1", 0), ("s2", 5)]);
    assert!((0..100).all(|draw| split.service_for(draw).as_str() == "s2"));
}

#[test]
fn priorities_compete_where_routes_or_keys_of_a_service_differ() {
    // Guards against a new behaviour that takes effect where all requests are equally urgent.
    let table = |priorities: [u8; 2], key_priority: Option<u8>, open: bool| {
        let mut routes = vec![
            route("one", "one.example", "/a/", &[("s1", 1), ("s2", 1)]),
            route("two", "one.example", "/b/", &[("s1", 1), ("s2", 0)]),
        ];
        for (route, priority) in routes.iter_mut().zip(priorities) {
            route.priority = priority;
            route.open = open;
        }
        let owner = |priority| KeyOwner { workspace: "w1".parse().expect("a name"), priority };
        let keys = BTreeMap::from([
            (SmolStr::new("k1"), owner(None)),
            (SmolStr::new("k2"), owner(key_priority)),
        ]);
        let table = RouteTable::new(1, routes, Vec::new(), LIMITS, Some(keys));
        ["s1", "s2"].map(|name| table.has_competing_priorities(&name.parse().expect("a name")))
    };
    assert_eq!(table([1, 1], None, false), [false, false]);
    assert_eq!(table([0, 2], None, false), [true, false]);
    assert_eq!(table([1, 1], Some(1), false), [false, false]);
    assert_eq!(table([1, 1], Some(0), false), [true, true]);
    assert_eq!(table([1, 1], Some(0), true), [false, false]);
}
