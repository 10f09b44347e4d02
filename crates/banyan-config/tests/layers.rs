//! Chains of layers against a naive search over all paths.

use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use banyan_config::layers::ChainFault;
use banyan_config::layers::find_faults;
use banyan_core::ids::LayerRange;

const LAYERS: u32 = 6;
const SEED: u64 = 3;

/// All ranges that lie on a complete chain, by walking every path.
fn on_chains(ranges: &BTreeSet<LayerRange>) -> BTreeSet<LayerRange> {
    let mut found = BTreeSet::new();
    walk(ranges, 0, &mut Vec::new(), &mut found);
    found
}

fn walk(
    ranges: &BTreeSet<LayerRange>,
    at: u32,
    path: &mut Vec<LayerRange>,
    found: &mut BTreeSet<LayerRange>,
) {
    if at == LAYERS {
        found.extend(path.iter().copied());
        return;
    }
    for range in ranges.iter().filter(|range| range.first == at) {
        path.push(*range);
        walk(ranges, range.end, path, found);
        path.pop();
    }
}

fn set(ranges: &[(u32, u32)]) -> BTreeSet<LayerRange> {
    ranges.iter().map(|(first, end)| LayerRange { first: *first, end: *end }).collect()
}

#[test]
fn replicas_and_different_splits_stand_side_by_side() {
    assert_eq!(find_faults(&set(&[(0, 3), (3, 6), (0, 2), (2, 6)]), LAYERS), []);
}

#[test]
fn range_inside_a_whole_one_overlaps() {
    let faults = find_faults(&set(&[(0, 6), (2, 4)]), LAYERS);
    assert_eq!(faults.len(), 1);
    assert!(matches!(faults[0].1, ChainFault::Overlap { .. }));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn faults_agree_with_all_paths(
        pairs in proptest::collection::btree_set((0u32..LAYERS, 1u32..=LAYERS), 1..8)
    ) {
        let ranges: BTreeSet<LayerRange> = pairs
            .into_iter()
            .filter(|(first, end)| first < end)
            .map(|(first, end)| LayerRange { first, end })
            .collect();
        let naive = on_chains(&ranges);
        let faults = find_faults(&ranges, LAYERS);
        for (range, _) in &faults {
            prop_assert!(!naive.contains(range), "{range} lies on a chain");
        }
        prop_assert_eq!(faults.is_empty(), naive == ranges);
    }
}
