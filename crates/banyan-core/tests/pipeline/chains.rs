//! Tests of the choice of chains.

use std::collections::BTreeSet;

use proptest::prelude::*;

use crate::support::at;
use crate::support::fleet;
use crate::support::layers;
use crate::support::model;
use crate::support::service;
use crate::support::target;
use crate::support::zone;
use banyan_core::ids::LayerRange;
use banyan_core::pipeline::chain::ChainFilter;
use banyan_core::pipeline::chain::ChainPool;
use banyan_core::pipeline::chain::RequestSize;
use banyan_core::pipeline::fleet::FleetTable;
use banyan_core::pipeline::load::LoadTable;
use banyan_core::pipeline::load::LoadView;
use banyan_core::pipeline::load::PeerLoadTable;
use banyan_core::pipeline::reservation::UNRESERVED_FULLNESS;
use banyan_core::pipeline::suspicion::ProbeOutcome;
use banyan_core::pipeline::suspicion::SuspicionTable;
use banyan_core::pipeline::target_chain::TargetChain;
use banyan_core::units::Moment;
use banyan_core::units::TokenCount;

const SIZE: RequestSize = RequestSize { prompt: TokenCount(800), total: TokenCount(950) };

fn pool(fleet: &FleetTable, suspicions: &SuspicionTable, now: Moment) -> ChainPool {
    let mut pool = ChainPool::default();
    pool.refresh(&model(), &service(), 1, fleet, suspicions, now);
    pool
}

fn choose(pool: &ChainPool, loads: &LoadTable, from: &str) -> Option<std::sync::Arc<TargetChain>> {
    let peers = PeerLoadTable::default();
    let view = LoadView { own: loads, peers: &peers, peer_scale: 1.0 };
    let closed = BTreeSet::new();
    let filter = ChainFilter { avoided: &[], closed: &closed, max_fullness: UNRESERVED_FULLNESS };
    pool.clone().choose(&view, &zone(from), SIZE, 0, filter).map(|choice| choice.chain)
}

fn ranges(chain: &TargetChain) -> Vec<LayerRange> {
    chain.parts.iter().map(|part| part.range).collect()
}

/// Asserts that a chain runs every layer once and in order, and uses each engine once.
fn assert_covers_all_layers(chain: &TargetChain, layers: u32) {
    let mut at = 0;
    let mut targets = Vec::new();
    for part in &chain.parts {
        assert_eq!(part.range.first, at, "{chain:?}");
        at = part.range.end;
        targets.push(&part.target);
    }
    assert_eq!(at, layers);
    targets.sort();
    targets.dedup();
    assert_eq!(targets.len(), chain.parts.len(), "an engine appears in the chain twice");
}

#[test]
fn chains_run_every_layer_once_in_order() {
    let fleet = fleet(&[
        ("a1", "a", "fast-vast", layers(0, 15)),
        ("a2", "a", "fast-vast", layers(12, 40)),
        ("a3", "a", "slow-vast", layers(35, 60)),
        ("a4", "a", "slow-vast", layers(60, 80)),
    ]);
    let pool = pool(&fleet, &SuspicionTable::default(), at(0));
    for chain in pool.chains() {
        assert_covers_all_layers(chain, 80);
    }
    let chain = choose(&pool, &LoadTable::default(), "a").expect("a chain");
    assert_eq!(ranges(&chain)[0].first, 0);
}

#[test]
fn an_engine_nested_in_another_does_not_make_it_appear_twice() {
    // The fast engine holds the middle of the slow one's layers. Using it would need the slow
    // engine both before and after it.
    let fleet = fleet(&[
        ("wide", "a", "slow-vast", layers(0, 80)),
        ("quick", "a", "fast-vast", layers(20, 60)),
    ]);
    let pool = pool(&fleet, &SuspicionTable::default(), at(0));
    assert!(!pool.chains().is_empty());
    for chain in pool.chains() {
        assert_covers_all_layers(chain, 80);
    }
}

#[test]
fn a_chain_stays_in_one_zone_where_one_holds_all_layers() {
    let fleet = fleet(&[
        ("a1", "a", "slow-vast", layers(0, 40)),
        ("a2", "a", "slow-vast", layers(40, 80)),
        ("b1", "b", "fast-vast", layers(0, 40)),
    ]);
    let pool = pool(&fleet, &SuspicionTable::default(), at(0));
    assert!(pool.chains().iter().all(|chain| chain.zone == Some(zone("a"))));
}

#[test]
fn a_chain_crosses_zones_only_where_no_zone_holds_all_layers() {
    let fleet =
        fleet(&[("a1", "a", "fast-vast", layers(0, 40)), ("b1", "b", "fast-vast", layers(40, 80))]);
    let pool = pool(&fleet, &SuspicionTable::default(), at(0));
    let chain = choose(&pool, &LoadTable::default(), "a").expect("a chain");
    assert_eq!(chain.zone, None);
    assert_covers_all_layers(&chain, 80);
}

#[test]
fn a_chain_over_several_zones_has_as_few_crossings_as_possible() {
    // Each crossing sends the activations of the whole prompt over a link that all requests share.
    let fleet = fleet(&[
        ("a1", "a", "slow-vast", layers(0, 20)),
        ("b1", "b", "fast-vast", layers(20, 40)),
        ("a2", "a", "slow-vast", layers(20, 40)),
        ("b2", "b", "fast-vast", layers(0, 20)),
        ("a3", "a", "slow-vast", layers(40, 60)),
        ("b3", "b", "fast-vast", layers(60, 80)),
    ]);
    let pool = pool(&fleet, &SuspicionTable::default(), at(0));
    let chain = choose(&pool, &LoadTable::default(), "a").expect("a chain");
    let names: Vec<&str> = chain.parts.iter().map(|part| part.target.as_str()).collect();
    assert_eq!(names, ["a1", "a2", "a3", "b3"]);
}

#[test]
fn a_zone_that_lacks_a_few_layers_uses_remote_engines_when_the_other_zone_is_full() {
    let fleet = fleet(&[
        ("a1", "a", "slow-vast", layers(0, 35)),
        ("a2", "a", "slow-vast", layers(45, 80)),
        ("b1", "b", "slow-vast", layers(0, 35)),
        ("b2", "b", "slow-vast", layers(35, 45)),
        ("b3", "b", "slow-vast", layers(45, 80)),
    ]);
    let pool = pool(&fleet, &SuspicionTable::default(), at(0));
    let initial = choose(&pool, &LoadTable::default(), "a").expect("a chain");
    assert_eq!(initial.zone, Some(zone("b")), "a zone with all layers is preferred");
    let mut loads = LoadTable::default();
    loads.add(&target("b1"), TokenCount(5_000_000), 35, true);
    let bridged = choose(&pool, &loads, "a").expect("a chain");
    let names: Vec<&str> = bridged.parts.iter().map(|part| part.target.as_str()).collect();
    assert_eq!(names, ["a1", "b2", "a2"]);
}

#[test]
fn suspected_engines_are_preferred_to_a_chain_over_several_zones() {
    // Sending activations to another zone costs more than the request is worth, while a suspicion
    // lasts only a second.
    let fleet = fleet(&[
        ("a1", "a", "fast-vast", layers(0, 40)),
        ("a2", "a", "fast-vast", layers(40, 80)),
        ("b1", "b", "fast-vast", layers(0, 40)),
        ("b2", "b", "fast-vast", layers(40, 80)),
    ]);
    let mut suspicions = SuspicionTable::default();
    suspicions.note_failure(&target("a1"), at(0));
    suspicions.note_failure(&target("b2"), at(0));
    let pool = pool(&fleet, &suspicions, at(10));
    assert!(pool.chains().iter().all(|chain| chain.zone.is_some()), "{:?}", pool.chains());
}

#[test]
fn unreachable_engines_are_not_used() {
    let fleet =
        fleet(&[("a1", "a", "fast-vast", layers(0, 80)), ("b1", "b", "slow-vast", layers(0, 80))]);
    let mut suspicions = SuspicionTable::default();
    suspicions.record_probe(&target("a1"), ProbeOutcome::NoAnswer, at(0));
    let pool = pool(&fleet, &suspicions, at(10));
    let chain = choose(&pool, &LoadTable::default(), "a").expect("a chain");
    assert_eq!(chain.zone, Some(zone("b")));
}

#[test]
fn layers_that_are_being_dropped_are_not_used() {
    let mut fleet =
        fleet(&[("a1", "a", "fast-vast", layers(0, 80)), ("b1", "b", "slow-vast", layers(0, 80))]);
    fleet.set_ordered(|id| (id.as_str() == "a1").then_some(layers(0, 20)));
    let pool = pool(&fleet, &SuspicionTable::default(), at(0));
    let chain = choose(&pool, &LoadTable::default(), "a").expect("a chain");
    assert_eq!(chain.zone, Some(zone("b")));
}

#[test]
fn layers_that_are_being_loaded_reduce_the_request_capacity() {
    // Regression: an engine that was loading more layers still accepted requests for its old
    // capacity and had to abort some of them later.
    let mut fleet = fleet(&[
        ("a1", "a", "fast-vast", layers(0, 40)),
        ("a2", "a", "fast", layers(40, 55)),
        ("a3", "a", "fast-vast", layers(55, 80)),
    ]);
    let token_capacity = |fleet: &FleetTable| {
        let pool = pool(fleet, &SuspicionTable::default(), at(0));
        pool.chains()[0].parts[1].token_layers
    };
    let before = token_capacity(&fleet);
    fleet.set_ordered(|id| (id.as_str() == "a2").then_some(layers(40, 60)));
    let loading = token_capacity(&fleet);
    assert!(loading * 8 < before, "{loading} of {before}");
}

/// Engines of one zone that hold eight layers each, in `copies` copies of the model.
fn many_copies(copies: usize) -> FleetTable {
    let names: Vec<(String, u32)> = (0..copies)
        .flat_map(|copy| (0..10).map(move |place| (format!("e{copy}-{place}"), place)))
        .collect();
    let rows: Vec<_> = names
        .iter()
        .map(|(name, place)| (name.as_str(), "a", "slow", layers(place * 8, place * 8 + 8)))
        .collect();
    fleet(&rows)
}

#[test]
fn every_engine_of_a_zone_is_part_of_a_chain() {
    // Regression: with only four chains per zone, two thirds of the engines of a zone of 130 stayed
    // idle in a burst.
    let fleet = many_copies(10);
    let pool = pool(&fleet, &SuspicionTable::default(), at(0));
    let used: std::collections::BTreeSet<_> =
        pool.chains().iter().flat_map(|chain| &chain.parts).map(|part| &part.target).collect();
    assert_eq!(used.len(), 100);
}

#[test]
fn a_full_fast_engine_does_not_block_the_zone() {
    // Regression: every chain of the zone used the fast engine. Once it was full, no chain had
    // capacity, although the other engines did.
    let mut rows = vec![
        ("quick".to_owned(), "fast", layers(0, 16)),
        ("long-a".to_owned(), "slow-vast", layers(0, 24)),
        ("long-b".to_owned(), "slow-vast", layers(0, 24)),
    ];
    for place in 0..7 {
        for copy in ["a", "b"] {
            let first = 24 + place * 8;
            rows.push((format!("{copy}{place}"), "middle", layers(first, first + 8)));
        }
    }
    let rows: Vec<_> =
        rows.iter().map(|(name, kind, held)| (name.as_str(), "a", *kind, *held)).collect();
    let fleet = fleet(&rows);
    let pool = pool(&fleet, &SuspicionTable::default(), at(0));
    let mut loads = LoadTable::default();
    loads.add(&target("quick"), TokenCount(100_000), 16, true);
    let chain = choose(&pool, &loads, "a").expect("a chain without the full engine");
    assert!(!chain.uses_any(&[target("quick")]), "{chain:?}");
}

#[test]
fn a_slow_engine_is_not_used_if_another_holds_its_layers() {
    let mut fleet = fleet(&[
        ("a1", "a", "fast", layers(0, 15)),
        ("a2", "a", "fast", layers(0, 15)),
        ("a3", "a", "fast-vast", layers(15, 80)),
    ]);
    fleet.note_slowdown(&target("a1"), 8.0, at(0));
    let pool = pool(&fleet, &SuspicionTable::default(), at(0));
    let chain = choose(&pool, &LoadTable::default(), "a").expect("a chain");
    assert!(!chain.uses_any(&[target("a1")]), "{chain:?}");
    assert!(chain.step_time < std::time::Duration::from_millis(4), "{:?}", chain.step_time);
}

#[test]
fn chains_are_found_for_any_reported_slowdown() {
    let mut fleet = fleet(&[("a1", "a", "fast-vast", layers(0, 80))]);
    for (millis, factor) in [(1, 1e300), (2, f64::INFINITY), (3, f64::NAN), (4, -5.0), (5, 0.0)] {
        fleet.note_slowdown(&target("a1"), factor, at(millis));
        let pool = pool(&fleet, &SuspicionTable::default(), at(millis));
        assert!(choose(&pool, &LoadTable::default(), "a").is_some(), "{factor}");
    }
}

#[test]
fn instances_together_use_all_engines_of_a_large_zone() {
    let fleet = many_copies(60);
    let mut used = std::collections::BTreeSet::new();
    for index in 0..40 {
        let instance = format!("front-{index}").parse().expect("a name");
        let mut pool = ChainPool::for_instance(&instance);
        pool.refresh(&model(), &service(), 1, &fleet, &SuspicionTable::default(), at(0));
        assert!(pool.chains().len() <= 16);
        used.extend(
            pool.chains().iter().flat_map(|chain| chain.parts.clone()).map(|part| part.target),
        );
    }
    assert!(used.len() >= 590, "{} of 600 engines are used", used.len());
}

#[test]
fn a_full_chain_is_not_chosen() {
    let fleet =
        fleet(&[("a1", "a", "fast-vast", layers(0, 15)), ("a2", "a", "fast-vast", layers(15, 80))]);
    let pool = pool(&fleet, &SuspicionTable::default(), at(0));
    let mut loads = LoadTable::default();
    loads.add(&target("a1"), TokenCount(5_000_000), 15, true);
    assert_eq!(choose(&pool, &loads, "a"), None);
}

#[test]
fn prompts_waiting_for_prefill_raise_the_score_of_a_chain() {
    // If waiting prompts didn't count, 70 streams that are rerouted at once would queue up at one
    // chain while another has capacity.
    let fleet =
        fleet(&[("a1", "a", "slow-vast", layers(0, 80)), ("b1", "b", "slow-vast", layers(0, 80))]);
    let pool = pool(&fleet, &SuspicionTable::default(), at(0));
    let mut loads = LoadTable::default();
    let initial = choose(&pool, &loads, "a").expect("a chain");
    assert_eq!(initial.zone, Some(zone("a")));
    for _ in 0..10 {
        loads.add_pending_prefill(&target("a1"), TokenCount(800));
    }
    let second = choose(&pool, &loads, "a").expect("a chain");
    assert_eq!(second.zone, Some(zone("b")));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// Every chain covers all layers, whichever ranges the engines hold.
    #[test]
    fn chains_always_cover_all_layers(held in proptest::collection::vec((0u32..80, 1u32..60, 0usize..3), 1..16)) {
        let names: Vec<String> = (0..held.len()).map(|index| format!("e{index}")).collect();
        let kinds = ["fast", "slow", "fast-vast"];
        let rows: Vec<(&str, &str, &str, LayerRange)> = held
            .iter()
            .enumerate()
            .map(|(index, (first, length, kind))| {
                let end = (first + length).min(80);
                (names[index].as_str(), "a", kinds[*kind], layers(*first, end))
            })
            .collect();
        let covered = (0..80).all(|layer| {
            rows.iter().any(|(.., range)| range.first <= layer && layer < range.end)
        });
        let pool = pool(&fleet(&rows), &SuspicionTable::default(), at(0));
        for chain in pool.chains() {
            assert_covers_all_layers(chain, 80);
        }
        if !covered {
            prop_assert!(pool.chains().is_empty());
        }
    }
}
