//! Tests of moving running requests off engines of their chains.

use crate::support::at;
use crate::support::fleet;
use crate::support::layers;
use crate::support::model;
use crate::support::service;
use crate::support::target;
use banyan_core::pipeline::chain::ChainPool;
use banyan_core::pipeline::fleet::FleetTable;
use banyan_core::pipeline::load::LoadTable;
use banyan_core::pipeline::load::LoadView;
use banyan_core::pipeline::load::PeerLoadTable;
use banyan_core::pipeline::reroute::RerouteQuery;
use banyan_core::pipeline::reroute::reroute_chain;
use banyan_core::pipeline::suspicion::SuspicionTable;
use banyan_core::pipeline::target_chain::TargetChain;
use banyan_core::units::TokenCount;

/// The best chain of a fleet.
fn first_chain(fleet: &FleetTable) -> TargetChain {
    let mut pool = ChainPool::default();
    pool.refresh(&model(), &service(), 1, fleet, &SuspicionTable::default(), at(0));
    TargetChain::clone(&pool.chains()[0])
}

/// The chain of a request after rerouting around some engines.
fn without(fleet: &FleetTable, chain: &TargetChain, replaced: &[&str]) -> Option<Vec<String>> {
    let avoided: Vec<_> = replaced.iter().map(|name| target(name)).collect();
    let own = LoadTable::default();
    let peers = PeerLoadTable::default();
    let model = model();
    let query = RerouteQuery {
        model: &model,
        service: &service(),
        fleet,
        suspicions: &SuspicionTable::default(),
        loads: LoadView { own: &own, peers: &peers, peer_scale: 1.0 },
        avoided: &avoided,
        total: TokenCount(950),
        now: at(0),
    };
    let parts = reroute_chain(&query, chain)?.parts;
    Some(parts.iter().map(|part| format!("{}:{}", part.target, part.range)).collect())
}

#[test]
fn a_replacement_with_more_layers_than_the_gap_runs_only_the_gap() {
    // Regression: a search past the end of the gap panicked, which ended the task and the caller's
    // stream.
    let fleet = fleet(&[
        ("a1", "a", "fast-vast", layers(0, 20)),
        ("a2", "a", "fast-vast", layers(20, 40)),
        ("a3", "a", "fast-vast", layers(40, 80)),
        ("spare", "a", "slow-vast", layers(15, 50)),
    ]);
    let chain = first_chain(&fleet);
    let parts = without(&fleet, &chain, &["a2"]).expect("another chain");
    assert_eq!(parts, ["a1:0-19", "spare:20-39", "a3:40-79"]);
}

#[test]
fn adjacent_engines_that_are_replaced_form_one_gap() {
    let fleet = fleet(&[
        ("a1", "a", "fast-vast", layers(0, 20)),
        ("a2", "a", "fast-vast", layers(20, 40)),
        ("a3", "a", "fast-vast", layers(40, 60)),
        ("a4", "a", "fast-vast", layers(60, 80)),
        ("spare", "a", "slow-vast", layers(10, 70)),
    ]);
    let chain = first_chain(&fleet);
    let parts = without(&fleet, &chain, &["a2", "a3"]).expect("another chain");
    assert_eq!(parts, ["a1:0-19", "spare:20-59", "a4:60-79"]);
    let last = without(&fleet, &chain, &["a3"]).expect("another chain");
    assert_eq!(last, ["a1:0-19", "a2:20-39", "spare:40-59", "a4:60-79"]);
}

#[test]
fn the_first_engine_and_sole_holders_cannot_be_replaced() {
    let fleet = fleet(&[
        ("a1", "a", "fast-vast", layers(0, 20)),
        ("a2", "a", "fast-vast", layers(20, 80)),
        ("spare", "a", "slow-vast", layers(0, 60)),
    ]);
    let chain = first_chain(&fleet);
    assert_eq!(without(&fleet, &chain, &["a1"]), None);
    assert_eq!(without(&fleet, &chain, &["a2"]), None, "no other engine holds the last layers");
    assert_eq!(without(&fleet, &chain, &[]), None, "no engine needs replacement");
}
