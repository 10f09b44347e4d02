//! Tests of the load of targets.

use std::collections::BTreeMap;

use crate::support::at;
use crate::support::target;
use banyan_core::ids::InstanceId;
use banyan_core::pipeline::load::LoadTable;
use banyan_core::pipeline::load::LoadView;
use banyan_core::pipeline::load::PeerLoadTable;
use banyan_core::pipeline::load::TargetLoad;
use banyan_core::units::TokenCount;

fn peer(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn report(token_layers: u64) -> BTreeMap<banyan_core::ids::TargetId, TargetLoad> {
    let load = TargetLoad { requests: 1, first_requests: 1, token_layers, pending_prefill: 0 };
    BTreeMap::from([(target("a"), load)])
}

#[test]
fn peer_loads_count_until_their_reports_expire() {
    let mut own = LoadTable::default();
    own.add(&target("a"), TokenCount(100), 10, true);
    own.set_baseline();
    let mut peers = PeerLoadTable::default();
    peers.record_peer(peer("p1"), report(500), vec![], at(0));
    peers.record_peer(peer("p2"), report(700), vec![target("dead")], at(1_500));
    let view = LoadView { own: &own, peers: &peers, peer_scale: 1.0 };
    assert_eq!(view.token_layers(&target("a")) as u64, 1_000 + 500 + 700);
    assert_eq!(peers.live_peer_count(at(1_600)), 2);
    peers.record_peer(peer("p2"), report(700), vec![target("dead")], at(2_100));
    let view = LoadView { own: &own, peers: &peers, peer_scale: 1.0 };
    assert_eq!(view.token_layers(&target("a")) as u64, 1_000 + 700);
    assert_eq!(peers.unreachable(at(2_200)).collect::<Vec<_>>(), vec![&target("dead")]);
}

#[test]
fn peers_are_assumed_to_add_as_much_load_as_this_instance_between_exchanges() {
    // Regression: seven instances each filled an engine between two exchanges, so that it got seven
    // times the load that it has capacity for.
    let mut own = LoadTable::default();
    own.add(&target("a"), TokenCount(100), 10, true);
    let mut peers = PeerLoadTable::default();
    peers.record_peer(peer("p1"), report(500), vec![], at(0));
    peers.record_peer(peer("p2"), report(700), vec![], at(0));
    own.set_baseline();
    own.add(&target("a"), TokenCount(30), 10, true);
    let view = LoadView { own: &own, peers: &peers, peer_scale: 1.0 };
    assert_eq!(view.token_layers(&target("a")) as u64, 1_300 + 1_200 + 2 * 300);
    own.set_baseline();
    let view = LoadView { own: &own, peers: &peers, peer_scale: 1.0 };
    assert_eq!(view.token_layers(&target("a")) as u64, 1_300 + 1_200);
}

#[test]
fn a_request_that_ends_leaves_no_load() {
    let mut own = LoadTable::default();
    own.add(&target("a"), TokenCount(100), 10, true);
    own.add_pending_prefill(&target("a"), TokenCount(80));
    own.remove_pending_prefill(&target("a"), TokenCount(80));
    own.remove(&target("a"), TokenCount(100), 10, true);
    assert_eq!(own.rows().count(), 0);
}
