//! Tests of the prefix index with late events, gaps and its size limit, against the engine's own
//! cache.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use smol_str::SmolStr;

use banyan_core::ids::LayerRange;
use banyan_core::serving::chain_query::ChainQuery;
use banyan_core::serving::choice;
use banyan_core::serving::decisions::DecisionSet;
use banyan_core::serving::prefix::PrefixEvent;
use banyan_core::serving::prefix::PrefixIndex;
use banyan_naive::batch_model::BatchModel;
use banyan_naive::batch_model::ModelInput;
use banyan_naive::batch_model::ModelOutput;
use banyan_naive::batch_model::PromptInput;
use banyan_naive::fixtures::mixed_splits;
use banyan_naive::fixtures::model_name;
use banyan_naive::fixtures::target_name;
use banyan_naive::fixtures::token_bound;

const RUN: SmolStr = SmolStr::new_static("run-1");

fn stored(number: u64, prefix: u64) -> PrefixEvent {
    PrefixEvent { number, prefix, stored: true }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn index_equals_the_cache_without_gaps(
        events in prop::collection::vec((0u64..20, any::<bool>()), 0..200),
    ) {
        let mut index = PrefixIndex::default();
        let mut cache = BTreeSet::new();
        for (number, (prefix, stored)) in (0..).zip(events) {
            index.note_events(&target_name(0), &RUN, &[PrefixEvent { number, prefix, stored }]);
            if stored { cache.insert(prefix) } else { cache.remove(&prefix) };
        }
        prop_assert_eq!(index.len(), cache.len());
        for prefix in 0..20 {
            let percent = index.cached_percent(&target_name(0), &[prefix]);
            prop_assert_eq!(percent == 100, cache.contains(&prefix));
            prop_assert_eq!(index.holders(&[prefix]).count(), usize::from(percent > 0));
        }
    }
}

#[test]
fn gap_makes_entries_unconfirmed_until_a_new_confirmation() {
    let mut index = PrefixIndex::default();
    let target = target_name(0);
    index.note_events(&target, &RUN, &[stored(0, 1), stored(1, 2), stored(5, 3)]);
    assert_eq!(index.cached_percent(&target, &[1]), 50);
    assert_eq!(index.cached_percent(&target, &[3]), 100);
    index.note_sent(&target, &[1]);
    assert_eq!(index.cached_percent(&target, &[1]), 100);
    index.note_events(&target, &RUN, &[stored(4, 9)]);
    assert_eq!(index.cached_percent(&target, &[9]), 0, "an event with an old number is ignored");
}

#[test]
fn miss_removes_all_entries_with_an_earlier_last_use() {
    let mut index = PrefixIndex::default();
    let target = target_name(0);
    for prefix in 1..=4 {
        index.note_sent(&target, &[prefix]);
    }
    index.note_sent(&target, &[1]);
    index.note_found(&target, &[3], 0);
    let remaining: Vec<u64> =
        (1..=4).filter(|prefix| index.cached_percent(&target, &[*prefix]) > 0).collect();
    assert_eq!(remaining, vec![1, 4]);
}

#[test]
fn new_run_starts_with_an_empty_cache() {
    let mut index = PrefixIndex::default();
    index.note_events(&target_name(0), &RUN, &[stored(0, 1)]);
    let restarted = SmolStr::new_static("run-2");
    index.note_events(&target_name(0), &restarted, &[stored(0, 2)]);
    assert_eq!(index.cached_percent(&target_name(0), &[1]), 0);
    assert_eq!(index.cached_percent(&target_name(0), &[2]), 100);
}

#[test]
fn longest_known_prefix_counts_by_its_part_of_the_prompt() {
    let mut index = PrefixIndex::default();
    index.note_sent(&target_name(0), &[1, 2]);
    assert_eq!(index.cached_percent(&target_name(0), &[1, 2, 3, 4]), 50);
}

#[test]
fn entry_count_is_bounded() {
    let mut index = PrefixIndex::default();
    for prefix in 0..200_000 {
        index.note_sent(&target_name(prefix as usize % 50), &[prefix]);
    }
    assert_eq!(index.len(), 65_536);
    assert_eq!(index.cached_percent(&target_name(0), &[0]), 0);
}

/// Runs the batch model with prompts that share prefixes.
fn run_shared_prompts(seed: u64, decisions: DecisionSet) -> ModelOutput {
    let declaration = mixed_splits(4);
    let model = model_name(0);
    let cuts = [LayerRange { first: 0, end: 24 }, LayerRange { first: 24, end: 48 }];
    let bound = token_bound(&declaration, &model, &cuts);
    let lag = Duration::from_millis(500);
    let prompts = PromptInput { kinds: 64, cached: 16, weight: 6, lag, lost_percent: 10 };
    let input = ModelInput {
        declaration,
        model,
        instances: 7,
        rate: bound * 0.8 / 20.0,
        tokens: 20,
        report_every: Duration::from_millis(200),
        report_lag: Duration::from_millis(250),
        duration: Duration::from_secs(10),
        warm_up: Duration::from_secs(4),
        slow_links: Vec::new(),
        exchange: true,
        stream_limit: u32::MAX,
        prompts: Some(prompts),
        seed,
    };
    BatchModel::run(input, decisions)
}

#[test]
fn shared_prefixes_raise_the_hit_rate_without_lower_throughput() {
    let without = DecisionSet {
        choose_chain: |table, query| {
            choice::choose_chain(table, &ChainQuery { prefixes: &[], ..query.clone() })
        },
        ..DecisionSet::product()
    };
    let hit_rate = |output: &ModelOutput| output.prompts.1 as f64 / output.prompts.0 as f64;
    let (mut rate, mut rate_without) = (0.0, 0.0);
    for seed in 1..=4 {
        let product = run_shared_prompts(seed, DecisionSet::product());
        let without = run_shared_prompts(seed, without);
        assert!(hit_rate(&product) > hit_rate(&without) * 1.1, "seed {seed}");
        rate += product.token_rate;
        rate_without += without.token_rate;
    }
    assert!(rate > rate_without, "{rate} against {rate_without} tokens over four seeds");
}
