//! Placement of layers.

use proptest::prelude::*;

use crate::support::engine;
use crate::support::engines;
use crate::support::holders;
use crate::support::layers;
use crate::support::model;
use banyan_core::pipeline::placement::PlacementOrder;
use banyan_core::pipeline::placement::PlacementTarget;
use banyan_core::pipeline::placement::plan_placement;
use banyan_core::units::TokenCount;

/// Carries orders out.
fn obey(targets: &mut [PlacementTarget], orders: &[PlacementOrder]) {
    for order in orders {
        let row = targets.iter_mut().find(|target| target.id == order.target);
        row.expect("an engine that exists").range = Some(order.range);
    }
}

/// Plans until nothing is left to order; panics if that does not end.
fn settle(targets: &mut [PlacementTarget]) -> usize {
    for round in 0..20 {
        let orders = plan_placement(&model(), targets);
        if orders.is_empty() {
            return round;
        }
        obey(targets, &orders);
    }
    panic!("the plan never settles: {targets:?}");
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
    settle(&mut targets);
    for (zone, holders) in holders(&targets) {
        assert!(holders.iter().all(|count| *count >= 1), "{zone}: {holders:?}");
    }
}

#[test]
fn a_zone_with_memory_for_two_copies_holds_each_layer_twice() {
    // A few layers with one holder, while others had three, filled up at half of the zone's load.
    let mut targets = engines("a", &[("fast", 2), ("middle", 8), ("slow", 11)]);
    settle(&mut targets);
    let holders = &holders(&targets)[&crate::support::zone("a")];
    assert!(holders.iter().all(|count| *count >= 2), "{holders:?}");
}

#[test]
fn engines_keep_room_for_the_wanted_tokens() {
    let mut targets = three_zones();
    settle(&mut targets);
    let model = model();
    for target in &targets {
        let held = target.range.expect("every engine holds layers").count();
        let room = model.token_room(target.memory, held, held);
        assert!(room >= TokenCount(100_000), "{}: {held} layers leave {room}", target.id);
    }
}

#[test]
fn a_plan_that_holds_is_left_alone() {
    let mut targets = three_zones();
    settle(&mut targets);
    assert_eq!(plan_placement(&model(), &targets), Vec::new());
}

#[test]
fn each_engine_gets_one_order_at_most() {
    // Two engines that leave at once make holes that are filled by moving and by growing others; an
    // engine that was moved for one hole must not be grown for the other in the same plan.
    let mut targets = three_zones();
    settle(&mut targets);
    for gone in ["b-fast-0", "b-middle-0", "b-middle-1", "b-slow-0"] {
        targets.retain(|target| target.id.as_str() != gone);
        let orders = plan_placement(&model(), &targets);
        let mut ids: Vec<_> = orders.iter().map(|order| &order.target).collect();
        ids.sort();
        ids.dedup();
        assert_eq!(ids.len(), orders.len(), "{orders:?}");
    }
}

#[test]
fn a_lost_engine_s_layers_are_ordered_elsewhere_at_once() {
    let mut targets = three_zones();
    settle(&mut targets);
    targets.retain(|target| target.id.as_str() != "a-fast-1");
    let orders = plan_placement(&model(), &targets);
    assert!(!orders.is_empty());
    obey(&mut targets, &orders);
    let zone_a = &holders(&targets)[&crate::support::zone("a")];
    assert!(zone_a.iter().all(|count| *count >= 1), "{zone_a:?}");
}

#[test]
fn nothing_is_moved_while_no_layer_is_missing() {
    let mut targets = three_zones();
    settle(&mut targets);
    let before = targets.clone();
    // One engine comes back empty: only it is ordered anything.
    let back = targets.iter_mut().find(|target| target.id.as_str() == "c-slow-4").expect("a row");
    back.range = None;
    let lost = before.iter().find(|target| target.id.as_str() == "c-slow-4").expect("a row");
    let held = lost.range.expect("it held layers");
    let others = holders(&targets)[&crate::support::zone("c")].clone();
    let missing = (held.first..held.end).any(|layer| others[layer as usize] == 0);
    let orders = plan_placement(&model(), &targets);
    if !missing {
        assert!(orders.iter().all(|order| order.target.as_str() == "c-slow-4"), "{orders:?}");
    }
    assert!(orders.iter().any(|order| order.target.as_str() == "c-slow-4"));
}

/// Engines of one zone that hold each layer but the first nine once.
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
fn an_engine_without_requests_is_moved_before_a_busy_one() {
    // Layers 0 to 8 are missing. Two engines hold layers that others hold too; one carries requests,
    // and would wait for them before it loads anything.
    let mut targets = copy_without_first_nine();
    targets.push(engine("carrying", "a", "middle", Some(layers(9, 18))));
    targets.push(engine("idle", "a", "middle", Some(layers(20, 29))));
    targets[5].load = 40_000;
    let orders = plan_placement(&model(), &targets);
    assert_eq!(orders, vec![PlacementOrder { target: targets[6].id.clone(), range: layers(0, 9) }]);
}

#[test]
fn an_engine_is_not_moved_while_the_others_still_load_its_layers() {
    // Moved before they have loaded, it would leave a second gap in the copy.
    let mut targets = copy_without_first_nine();
    targets.push(engine("twin", "a", "middle", Some(layers(24, 33))));
    targets[1].busy = true;
    let orders = plan_placement(&model(), &targets);
    let moved = orders.iter().find(|order| order.target.as_str() == "twin");
    assert_eq!(moved, None, "{orders:?}");
}

#[test]
fn a_hole_is_filled_with_no_more_layers_than_it_has_and_the_rest_comes_later() {
    // A load takes as long as it is large, and the zone serves nothing meanwhile.
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
    obey(&mut targets, &orders);
    settle(&mut targets);
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
fn a_layout_over_the_first_few_engines_is_loosened_later() {
    // With four engines known, a zone's copy fits only without the wanted room.
    let mut targets = engines("a", &[("fast", 4)]);
    settle(&mut targets);
    let tight = targets.iter().filter_map(|target| target.range).map(|range| range.count());
    assert_eq!(tight.max(), Some(20));
    targets.extend(engines("a", &[("middle", 6), ("slow", 6)]));
    settle(&mut targets);
    let model = model();
    for target in targets.iter().filter(|target| target.id.as_str().contains("fast")) {
        let held = target.range.expect("it holds layers").count();
        assert!(held <= model.layers_that_fit(target.memory, model.request_room), "{target:?}");
    }
    assert!(holders(&targets)[&crate::support::zone("a")].iter().all(|count| *count >= 1));
}

#[test]
fn a_neighbour_with_room_relieves_an_engine_that_holds_too_much() {
    // Grown over a hole, the middle engine has room for few requests; the last one has room to spare.
    let mut targets = vec![
        engine("first", "a", "fast-vast", Some(layers(0, 60))),
        engine("tight", "a", "middle", Some(layers(60, 72))),
        engine("last", "a", "fast", Some(layers(72, 80))),
    ];
    settle(&mut targets);
    let model = model();
    let tight = targets[1].range.expect("it holds layers");
    assert!(tight.count() <= model.layers_that_fit(targets[1].memory, model.request_room));
    assert!(holders(&targets)[&crate::support::zone("a")].iter().all(|count| *count >= 1));
}

#[test]
fn zones_too_small_for_a_copy_hold_one_together() {
    let mut targets = engines("a", &[("fast", 3)]);
    targets.extend(engines("b", &[("fast", 3)]));
    settle(&mut targets);
    let all: Vec<u32> = holders(&targets)
        .into_values()
        .reduce(|left, right| left.iter().zip(right).map(|(a, b)| a + b).collect())
        .expect("two zones");
    assert!(all.iter().all(|count| *count >= 1), "{all:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Whatever was lost: no order exceeds an engine's memory or the model, and plans settle.
    #[test]
    fn orders_fit_and_plans_settle(
        fast in 0u32..5,
        middle in 0u32..10,
        slow in 0u32..10,
        lost in proptest::collection::vec(0usize..24, 0..6),
    ) {
        let model = model();
        let mut targets = engines("a", &[("fast", fast), ("middle", middle), ("slow", slow)]);
        settle(&mut targets);
        for index in lost {
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
            obey(&mut targets, &orders);
        }
        settle(&mut targets);
        let memory: u32 =
            targets.iter().map(|row| model.layers_that_fit(row.memory, TokenCount(0))).sum();
        if memory >= 2 * model.layers {
            let holders = holders(&targets);
            prop_assert!(holders.values().all(|zone| zone.iter().all(|count| *count >= 1)));
        }
    }

    #[test]
    fn as_many_whole_copies_are_laid_out_as_memory_allows(
        fast in 0..4u32,
        middle in 0..20u32,
        slow in 0..20u32,
    ) {
        let mut targets = engines("a", &[("fast", fast), ("middle", middle), ("slow", slow)]);
        settle(&mut targets);
        let model = model();
        let fit = |target: &PlacementTarget| {
            model.layers_that_fit(target.memory, TokenCount(100_000))
        };
        let memory: u32 = targets.iter().map(fit).sum();
        let holders = holders(&targets);
        let least = holders.values().flatten().copied().min().unwrap_or_default();
        // An engine's layers that overlap others by a few cost a tenth of a copy at most.
        prop_assert!(least + 1 > memory * 9 / 10 / 80, "{memory} {holders:?}");
    }
}
