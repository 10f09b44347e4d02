//! Tests of the placement of layers.

use proptest::prelude::*;

use crate::support::engine;
use crate::support::engines;
use crate::support::holders;
use crate::support::layers;
use crate::support::model;
use banyan_core::pipeline::placement::PlacementOrder;
use banyan_core::pipeline::placement::plan_placement;
use banyan_core::pipeline::placement_target::PlacementTarget;
use banyan_core::units::TokenCount;

/// Applies orders to the engines.
fn apply_orders(targets: &mut [PlacementTarget], orders: &[PlacementOrder]) {
    for order in orders {
        let row = targets.iter_mut().find(|target| target.id == order.target);
        row.expect("an engine that exists").range = Some(order.range);
    }
}

/// Plans and applies orders until a plan is empty. Returns the number of rounds, and panics if the
/// plans do not converge.
fn plan_until_stable(targets: &mut [PlacementTarget]) -> usize {
    for round in 0..20 {
        let orders = plan_placement(&model(), targets);
        if orders.is_empty() {
            return round;
        }
        apply_orders(targets, &orders);
    }
    panic!("the plans do not converge: {targets:?}");
}

fn three_zones() -> Vec<PlacementTarget> {
    let mut targets = engines("a", &[("fast", 3), ("middle", 3), ("slow", 5)]);
    targets.extend(engines("b", &[("fast", 1), ("middle", 5), ("slow", 8)]));
    targets.extend(engines("c", &[("fast", 1), ("middle", 7), ("slow", 5)]));
    targets
}

#[test]
fn every_zone_that_can_hold_a_copy_gets_one() {
    let mut targets = three_zones();
    plan_until_stable(&mut targets);
    for (zone, holders) in holders(&targets) {
        assert!(holders.iter().all(|count| *count >= 1), "{zone}: {holders:?}");
    }
}

#[test]
fn a_zone_with_memory_for_two_copies_holds_each_layer_twice() {
    // Regression: some layers had one holder and others three. The layers with one holder limited
    // the zone to half of the load.
    let mut targets = engines("a", &[("fast", 2), ("middle", 8), ("slow", 11)]);
    plan_until_stable(&mut targets);
    let holders = &holders(&targets)[&crate::support::zone("a")];
    assert!(holders.iter().all(|count| *count >= 2), "{holders:?}");
}

#[test]
fn engines_keep_memory_for_the_desired_request_tokens() {
    let mut targets = three_zones();
    plan_until_stable(&mut targets);
    let model = model();
    for target in &targets {
        let held = target.range.expect("every engine holds layers").count();
        let capacity = model.token_capacity(target.memory, held, held);
        assert!(capacity >= TokenCount(100_000), "{}: {held} layers leave {capacity}", target.id);
    }
}

#[test]
fn a_stable_placement_gets_no_orders() {
    let mut targets = three_zones();
    plan_until_stable(&mut targets);
    assert_eq!(plan_placement(&model(), &targets), Vec::new());
}

#[test]
fn each_engine_gets_at_most_one_order() {
    // Two engines that leave at the same time leave gaps that are filled by moving and by extending
    // other engines. An engine that was moved into one gap must not be extended into the other by
    // the same plan.
    let mut targets = three_zones();
    plan_until_stable(&mut targets);
    for leaving in ["b-fast-0", "b-middle-0", "b-middle-1", "b-slow-0"] {
        targets.retain(|target| target.id.as_str() != leaving);
        let orders = plan_placement(&model(), &targets);
        let mut ids: Vec<_> = orders.iter().map(|order| &order.target).collect();
        ids.sort();
        ids.dedup();
        assert_eq!(ids.len(), orders.len(), "{orders:?}");
    }
}

#[test]
fn the_layers_of_a_lost_engine_are_ordered_elsewhere_in_the_next_plan() {
    let mut targets = three_zones();
    plan_until_stable(&mut targets);
    targets.retain(|target| target.id.as_str() != "a-fast-1");
    let orders = plan_placement(&model(), &targets);
    assert!(!orders.is_empty());
    apply_orders(&mut targets, &orders);
    let zone_a = &holders(&targets)[&crate::support::zone("a")];
    assert!(zone_a.iter().all(|count| *count >= 1), "{zone_a:?}");
}

#[test]
fn nothing_is_moved_while_no_layer_is_missing() {
    let mut targets = three_zones();
    plan_until_stable(&mut targets);
    let before = targets.clone();
    // One engine restarts empty. Only that engine gets an order.
    let restarted =
        targets.iter_mut().find(|target| target.id.as_str() == "c-slow-4").expect("a row");
    restarted.range = None;
    let removed = before.iter().find(|target| target.id.as_str() == "c-slow-4").expect("a row");
    let held = removed.range.expect("it held layers");
    let others = holders(&targets)[&crate::support::zone("c")].clone();
    let missing = (held.first..held.end).any(|layer| others[layer as usize] == 0);
    let orders = plan_placement(&model(), &targets);
    if !missing {
        assert!(orders.iter().all(|order| order.target.as_str() == "c-slow-4"), "{orders:?}");
    }
    assert!(orders.iter().any(|order| order.target.as_str() == "c-slow-4"));
}

/// Engines of one zone that hold each layer except the first nine once.
fn copy_without_first_nine() -> Vec<PlacementTarget> {
    vec![
        engine("rest", "a", "fast", Some(layers(9, 24))),
        engine("rest-2", "a", "fast", Some(layers(24, 39))),
        engine("rest-3", "a", "fast", Some(layers(39, 54))),
        engine("rest-4", "a", "fast", Some(layers(54, 69))),
        engine("rest-5", "a", "fast", Some(layers(69, 80))),
    ]
}

#[test]
fn an_engine_without_requests_is_moved_before_a_loaded_one() {
    // Layers 0 to 8 are missing. Two engines hold layers that have other holders. One of them has
    // requests, and would wait for their end before it loads anything.
    let mut targets = copy_without_first_nine();
    targets.push(engine("carrying", "a", "middle", Some(layers(9, 18))));
    targets.push(engine("idle", "a", "middle", Some(layers(20, 29))));
    targets[5].load = 40_000;
    let orders = plan_placement(&model(), &targets);
    assert_eq!(orders, vec![PlacementOrder { target: targets[6].id.clone(), range: layers(0, 9) }]);
}

#[test]
fn an_engine_is_not_moved_while_other_holders_still_load_its_layers() {
    // If it moved before the others have loaded its layers, it would leave a second gap.
    let mut targets = copy_without_first_nine();
    targets.push(engine("twin", "a", "middle", Some(layers(24, 33))));
    targets[1].busy = true;
    let orders = plan_placement(&model(), &targets);
    let moved = orders.iter().find(|order| order.target.as_str() == "twin");
    assert_eq!(moved, None, "{orders:?}");
}

#[test]
fn only_missing_layers_are_loaded_first_and_the_range_grows_later() {
    // The load time grows with the number of layers, and the zone serves no requests meanwhile.
    let mut targets = vec![
        engine("rest", "a", "fast", Some(layers(0, 15))),
        engine("rest-2", "a", "fast", Some(layers(15, 30))),
        engine("rest-3", "a", "fast", Some(layers(36, 51))),
        engine("rest-4", "a", "fast", Some(layers(51, 66))),
        engine("rest-5", "a", "fast", Some(layers(66, 80))),
        engine("spare", "a", "fast", Some(layers(0, 15))),
    ];
    targets[0].load = 10_000;
    let orders = plan_placement(&model(), &targets);
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!(orders[0].range, layers(30, 36));
    apply_orders(&mut targets, &orders);
    plan_until_stable(&mut targets);
    assert_eq!(targets[5].range.expect("it holds layers").count(), 15);
}

#[test]
fn a_busy_engine_gets_no_order() {
    let mut targets = engines("a", &[("fast", 6)]);
    targets[2].busy = true;
    let orders = plan_placement(&model(), &targets);
    assert!(orders.iter().all(|order| order.target != targets[2].id), "{orders:?}");
}

#[test]
fn a_layout_of_few_engines_regains_request_capacity_when_others_join() {
    // With four known engines, a copy of the model fits into the zone only without the desired
    // request capacity.
    let mut targets = engines("a", &[("fast", 4)]);
    plan_until_stable(&mut targets);
    let tight = targets.iter().filter_map(|target| target.range).map(|range| range.count());
    assert_eq!(tight.max(), Some(20));
    targets.extend(engines("a", &[("middle", 6), ("slow", 6)]));
    plan_until_stable(&mut targets);
    let model = model();
    for target in targets.iter().filter(|target| target.id.as_str().contains("fast")) {
        let held = target.range.expect("it holds layers").count();
        assert!(held <= model.layers_that_fit(target.memory, model.request_capacity), "{target:?}");
    }
    assert!(holders(&targets)[&crate::support::zone("a")].iter().all(|count| *count >= 1));
}

#[test]
fn a_neighbour_with_spare_memory_takes_layers_of_an_overfull_engine() {
    // The middle engine was extended into a gap and has memory for few requests. The last one has
    // spare memory.
    let mut targets = vec![
        engine("first", "a", "fast-vast", Some(layers(0, 60))),
        engine("tight", "a", "middle", Some(layers(60, 72))),
        engine("last", "a", "fast", Some(layers(72, 80))),
    ];
    plan_until_stable(&mut targets);
    let model = model();
    let tight = targets[1].range.expect("it holds layers");
    assert!(tight.count() <= model.layers_that_fit(targets[1].memory, model.request_capacity));
    assert!(holders(&targets)[&crate::support::zone("a")].iter().all(|count| *count >= 1));
}

#[test]
fn zones_too_small_for_a_copy_share_one() {
    let mut targets = engines("a", &[("fast", 3)]);
    targets.extend(engines("b", &[("fast", 3)]));
    plan_until_stable(&mut targets);
    let all: Vec<u32> = holders(&targets)
        .into_values()
        .reduce(|left, right| left.iter().zip(right).map(|(a, b)| a + b).collect())
        .expect("two zones");
    assert!(all.iter().all(|count| *count >= 1), "{all:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// After any loss of engines, orders fit into the engine and the model, and plans converge.
    #[test]
    fn orders_fit_and_plans_converge(
        fast in 0u32..5,
        middle in 0u32..10,
        slow in 0u32..10,
        removed in proptest::collection::vec(0usize..24, 0..6),
    ) {
        let model = model();
        let mut targets = engines("a", &[("fast", fast), ("middle", middle), ("slow", slow)]);
        plan_until_stable(&mut targets);
        for index in removed {
            if index < targets.len() {
                targets.remove(index);
            }
            let orders = plan_placement(&model, &targets);
            for order in &orders {
                let row = targets.iter().find(|target| target.id == order.target).expect("a row");
                let most = model.layers_that_fit(row.memory, TokenCount(0));
                prop_assert!(order.range.count() <= most);
                prop_assert!(order.range.first < order.range.end && order.range.end <= 80);
            }
            apply_orders(&mut targets, &orders);
        }
        plan_until_stable(&mut targets);
        let memory: u32 =
            targets.iter().map(|row| model.layers_that_fit(row.memory, TokenCount(0))).sum();
        if memory >= 2 * model.layers {
            let holders = holders(&targets);
            prop_assert!(holders.values().all(|zone| zone.iter().all(|count| *count >= 1)));
        }
    }

    #[test]
    fn as_many_copies_are_placed_as_memory_allows(
        fast in 0..4u32,
        middle in 0..20u32,
        slow in 0..20u32,
    ) {
        let mut targets = engines("a", &[("fast", fast), ("middle", middle), ("slow", slow)]);
        plan_until_stable(&mut targets);
        let model = model();
        let fit = |target: &PlacementTarget| {
            model.layers_that_fit(target.memory, TokenCount(100_000))
        };
        let memory: u32 = targets.iter().map(fit).sum();
        let holders = holders(&targets);
        let least = holders.values().flatten().copied().min().unwrap_or_default();
        // Ranges that overlap by a few layers waste at most a tenth of a copy.
        prop_assert!(least + 1 > memory * 9 / 10 / 80, "{memory} {holders:?}");
    }
}
