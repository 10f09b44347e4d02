//! Tests of the load of targets.

use std::collections::BTreeMap;

use crate::support::at;
use crate::support::target;
use banyan_core::ids::InstanceId;
use banyan_core::pipeline::load::LoadTable;
use banyan_core::pipeline::load::LoadView;
use banyan_core::pipeline::load::PeerLoadTable;
use banyan_core::pipeline::load::PeerReport;
use banyan_core::pipeline::load::PeerScale;
use banyan_core::pipeline::load::TargetLoad;
use banyan_core::pipeline::preference::considered_shares;
use banyan_core::units::TokenCount;

fn peer(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn report(token_layers: u64, unreachable: &[&str]) -> PeerReport {
    let load = TargetLoad { requests: 1, first_requests: 1, token_layers, pending_prefill: 0 };
    let unreachable = unreachable.iter().map(|id| target(id)).collect();
    PeerReport { is_local: true, loads: BTreeMap::from([(target("a"), load)]), unreachable }
}

#[test]
fn peer_loads_count_until_their_reports_expire() {
    let mut own = LoadTable::default();
    own.add(&target("a"), TokenCount(100), 10, true);
    own.set_baseline();
    let mut peers = PeerLoadTable::default();
    peers.record_peer(peer("p1"), report(500, &[]), at(0));
    peers.record_peer(peer("p2"), report(700, &["dead"]), at(1_500));
    let view = LoadView { own: &own, peers: &peers, scale: PeerScale::default() };
    assert_eq!(view.token_layers(&target("a")) as u64, 1_000 + 500 + 700);
    assert_eq!(peers.live_peer_count(at(1_600)), 2);
    peers.record_peer(peer("p2"), report(700, &["dead"]), at(2_100));
    let view = LoadView { own: &own, peers: &peers, scale: PeerScale::default() };
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
    peers.record_peer(peer("p1"), report(500, &[]), at(0));
    peers.record_peer(peer("p2"), report(700, &[]), at(0));
    own.set_baseline();
    own.add(&target("a"), TokenCount(30), 10, true);
    let view = LoadView { own: &own, peers: &peers, scale: PeerScale::default() };
    assert_eq!(view.token_layers(&target("a")) as u64, 1_300 + 1_200 + 2 * 300);
    own.set_baseline();
    let view = LoadView { own: &own, peers: &peers, scale: PeerScale::default() };
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

/// The reports that a naive table would add up anew at each question.
#[derive(Default)]
struct NaiveReports {
    rows: BTreeMap<u64, (u64, bool, u64)>,
}

impl NaiveReports {
    fn sum(&self, is_local: bool) -> u64 {
        let rows = self.rows.values().filter(|(_, local, _)| *local == is_local);
        rows.map(|(_, _, token_layers)| token_layers).sum()
    }
}

#[test]
fn sums_match_the_reports_after_any_order_of_reports() {
    // The table adds and subtracts single reports, since adding up all reports of hundreds of peers
    // at each digest took most of the time of a small instance.
    let own = LoadTable::default();
    let mut peers = PeerLoadTable::default();
    let mut naive = NaiveReports::default();
    let mut draw = 7_u64;
    for step in 0..2_000_u64 {
        draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let (name, token_layers, is_local) =
            (draw >> 60, (draw >> 40) % 500, (draw >> 33).is_multiple_of(2));
        let now = step * 90;
        let report = PeerReport { is_local, ..report(token_layers, &[]) };
        peers.record_peer(peer(&format!("p{name}")), report, at(now));
        naive.rows.retain(|_, (received, ..)| now - *received < 2_000);
        naive.rows.insert(name, (now, is_local, token_layers));
        for (local, remote) in [(1.0, 0.0), (0.0, 1.0), (2.0, 3.0)] {
            let scale = PeerScale { local, remote, ..PeerScale::default() };
            let view = LoadView { own: &own, peers: &peers, scale };
            let expected = local * naive.sum(true) as f64 + remote * naive.sum(false) as f64;
            assert_eq!(view.token_layers(&target("a")), expected, "step {step}");
        }
    }
}

#[test]
fn instances_that_consider_other_engines_add_no_load_to_this_one() {
    // Regression: with 300 instances, each of them was assumed to have sent the same request to the
    // same engine as this one, so that one request filled it, and nine of ten were refused.
    let mut own = LoadTable::default();
    let mut peers = PeerLoadTable::default();
    for index in 0..50 {
        peers.record_peer(peer(&format!("p{index}")), PeerReport::default(), at(0));
        let report = PeerReport { is_local: true, ..PeerReport::default() };
        peers.record_peer(peer(&format!("l{index}")), report, at(0));
    }
    own.add(&target("a"), TokenCount(900), 1, true);
    let (local_overlap, remote_overlap) = considered_shares(1_000);
    let scale = PeerScale { local: 2.0, remote: 4.0, local_overlap, remote_overlap };
    let view = LoadView { own: &own, peers: &peers, scale };
    // 100 instances of the zone consider 128 of 1,000 engines each, 200 others 40 of 1,000.
    let expected = 900.0 * (1.0 + 12.8 + 8.0);
    assert!((view.token_layers(&target("a")) - expected).abs() < 1.0);
    let everybody =
        LoadView { scale: PeerScale { local: 2.0, remote: 4.0, ..PeerScale::default() }, ..view };
    assert!(everybody.token_layers(&target("a")) > 100_000.0, "more than an engine has room for");
}
