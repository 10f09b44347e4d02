//! Tests of target and chain selection, against an exhaustive search and in the batch model.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use smol_str::SmolStr;

use banyan_core::declaration::Declaration;
use banyan_core::ids::InstanceId;
use banyan_core::ids::LayerRange;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::serving::capacity::capacity_share;
use banyan_core::serving::chain_query::ChainQuery;
use banyan_core::serving::choice::choose_chain;
use banyan_core::serving::choice::choose_replica;
use banyan_core::serving::choice::choose_stage;
use banyan_core::serving::decisions::DecisionSet;
use banyan_core::serving::health::note_failure;
use banyan_core::serving::ring::InstanceRing;
use banyan_core::serving::ring::LiveInstances;
use banyan_core::serving::subset::narrow_groups;
use banyan_core::serving::subset::near_limit;
use banyan_core::serving::targets::ReportedLoad;
use banyan_core::serving::targets::TargetTable;
use banyan_core::units::ByteCount;
use banyan_core::units::Moment;
use banyan_naive::batch_model::BatchModel;
use banyan_naive::batch_model::ModelInput;
use banyan_naive::batch_model::ModelOutput;
use banyan_naive::choice;
use banyan_naive::fixtures::EngineKind;
use banyan_naive::fixtures::add_engine;
use banyan_naive::fixtures::add_model;
use banyan_naive::fixtures::add_replica;
use banyan_naive::fixtures::empty_declaration;
use banyan_naive::fixtures::mixed_splits;
use banyan_naive::fixtures::model_name;
use banyan_naive::fixtures::target_name;
use banyan_naive::fixtures::token_bound;
use banyan_naive::fixtures::zone_name;

const LAYERS: u32 = 6;

fn new_table(declaration: &Declaration) -> TargetTable {
    let mut table = TargetTable::default();
    table.apply_declaration(declaration, Moment(0));
    table
}

fn engines(ranges: &[(u32, u32)]) -> Declaration {
    let mut declaration = empty_declaration();
    let model = model_name(0);
    add_model(&mut declaration, model.clone(), LAYERS, 4096);
    for (first, count) in ranges {
        let layers = LayerRange { first: *first, end: first + count };
        let link_bytes_per_second = 100_000_000;
        let kind = EngineKind { layers, batch: 4, step_ms: 10, link_bytes_per_second };
        add_engine(&mut declaration, &model, kind);
    }
    declaration
}

fn with_query<T>(
    layers: u32,
    excluded: &BTreeSet<TargetId>,
    draw: u64,
    run: impl FnOnce(&ChainQuery<'_>) -> T,
) -> T {
    run(&ChainQuery {
        model: &model_name(0),
        layers,
        handoff: ByteCount(4096),
        zone: &zone_name(0),
        prefixes: &[],
        excluded,
        draw,
    })
}

fn live_instances(count: usize) -> LiveInstances {
    (0..count).map(|number| (instance(number), zone_name(number % 3))).collect()
}

fn instance(number: usize) -> InstanceId {
    format!("instance-{number:03}").parse().unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn chain_is_found_if_and_only_if_one_exists(
        ranges in prop::collection::vec((0u32..LAYERS, 1u32..4), 0..24),
        failed in prop::collection::btree_set(0usize..24, 0..8),
        excluded in prop::collection::btree_set(0usize..24, 0..8),
        draw in any::<u64>(),
    ) {
        let mut table = new_table(&engines(&ranges));
        for number in failed {
            let reason = SmolStr::new_static("connection refused");
            note_failure(&mut table, &target_name(number), reason, Moment(1));
        }
        let excluded = excluded.into_iter().map(target_name).collect();
        with_query(LAYERS, &excluded, draw, |query| {
            let chain = choose_chain(&table, query);
            prop_assert_eq!(chain.is_some(), choice::chain_exists(&table, query, 0));
            let mut boundary = 0;
            for stage in chain.iter().flatten() {
                prop_assert_eq!(stage.layers.first, boundary);
                prop_assert!(table.rows[&stage.target].usable());
                prop_assert!(!excluded.contains(&stage.target));
                boundary = stage.layers.end;
            }
            prop_assert!(chain.is_none() || boundary == LAYERS);
            Ok(())
        })?;
    }
}

#[test]
fn stage_is_replaced_by_a_target_with_the_same_layers() {
    let table = new_table(&engines(&[(0, 3), (3, 3), (3, 3), (3, 2), (0, 6)]));
    let excluded = BTreeSet::from([target_name(1)]);
    let layers = LayerRange { first: 3, end: 6 };
    let stage = with_query(LAYERS, &excluded, 7, |query| choose_stage(&table, query, layers));
    assert_eq!(stage.map(|stage| stage.target), Some(target_name(2)));
}

#[test]
fn stale_report_is_corrected_by_own_load() {
    let mut table = new_table(&engines(&[(0, 6)]));
    let target = target_name(0);
    table.advance(Moment(1_000_000));
    table.note_sent(&target);
    table.note_sent(&target);
    let measured = Moment(1_000_000);
    let report = ReportedLoad { load: 5, measured, ..ReportedLoad::default() };
    table.advance(Moment(1_200_000));
    table.note_sent(&target);
    table.note_report(&target, report, Moment(1_300_000));
    // Three of the five reported steps are of other instances, and three are in flight from this
    // one.
    assert_eq!(table.rows[&target].expected_load(), 6);
    table.note_ended(&target, Some(Duration::from_millis(20)), Moment(1_400_000));
    assert_eq!(table.rows[&target].expected_load(), 5);
}

#[test]
fn slow_link_is_avoided_and_retried() {
    let mut table = new_table(&engines(&[(0, 6), (0, 6)]));
    let slow = target_name(0);
    let slow_choices = |table: &TargetTable| {
        let none = BTreeSet::new();
        let choose = |draw| with_query(LAYERS, &none, draw, |query| choose_chain(table, query));
        (0..50).filter_map(choose).filter(|chain| chain[0].target == slow).count()
    };
    // The other target is in another zone, so the near one is chosen while its link is fast.
    let mut now = Moment(10_000_000);
    table.advance(now);
    assert_eq!(slow_choices(&table), 50);
    for _ in 0..16 {
        now = now + Duration::from_millis(100);
        table.note_sent(&slow);
        table.note_ended(&slow, Some(Duration::from_millis(400)), now);
    }
    assert_eq!(slow_choices(&table), 0);
    for _ in 0..400 {
        now = now + Duration::from_millis(200);
        let step_time = Duration::from_millis(10);
        let report = ReportedLoad { step_time, measured: now, ..ReportedLoad::default() };
        table.note_report(&slow, report, now);
    }
    assert_eq!(slow_choices(&table), 50);
}

#[test]
fn returning_replica_is_warmed_up() {
    let mut declaration = empty_declaration();
    let service: ServiceId = "booking".parse().unwrap();
    let first = add_replica(&mut declaration, &service);
    add_replica(&mut declaration, &service);
    let mut table = new_table(&declaration);
    table.advance(Moment(60_000_000));
    table.rows.get_mut(&first).unwrap().usable_since = Moment(60_000_000);
    let mut cold_calls = 0;
    for draw in 0..40 {
        let target = choose_replica(&table, &service, &BTreeSet::new(), draw).unwrap();
        cold_calls += u32::from(target == first);
        table.note_sent(&target);
    }
    // The cold replica has a quarter of the other's capacity, so it gets one call in five.
    assert!((6..=10).contains(&cold_calls), "{cold_calls} of 40 calls went to the cold replica");
}

#[test]
fn targets_are_near_to_the_same_number_of_instances() {
    let declaration = mixed_splits(60);
    let live = live_instances(47);
    let mut near: BTreeMap<TargetId, usize> = BTreeMap::new();
    let mut watchers: BTreeMap<TargetId, usize> = BTreeMap::new();
    let mut table = new_table(&declaration);
    for own in live.keys() {
        let ring = InstanceRing::of(&live, own).unwrap();
        narrow_groups(&mut table, &ring);
        for group in table.groups.all() {
            assert_eq!(group.near.len(), near_limit(6));
            for target in &group.near {
                *near.entry(target.clone()).or_default() += 1;
                let is_watched = group.watched.contains(target);
                *watchers.entry(target.clone()).or_default() += usize::from(is_watched);
            }
        }
    }
    assert_eq!(near.len(), declaration.targets.len());
    let (least, most) = (near.values().min().unwrap(), near.values().max().unwrap());
    assert!(most - least <= 1, "near to {least} to {most} instances");
    assert!(watchers.values().all(|count| *count == 2), "{watchers:?}");
}

#[test]
fn far_target_is_used_if_no_near_one_is_available() {
    let mut table = new_table(&mixed_splits(60));
    let ring = InstanceRing::of(&live_instances(47), &instance(3)).unwrap();
    narrow_groups(&mut table, &ring);
    let excluded: BTreeSet<TargetId> =
        table.groups.all().flat_map(|group| group.near.iter().cloned()).collect();
    let chain = with_query(48, &excluded, 1, |query| choose_chain(&table, query));
    assert!(chain.is_some());
}

/// The input of a run on mixed splits, with a demand of this multiple of the engines' bound, and
/// the bound in tokens per second.
fn mixed_splits_input(demand: f64, stream_limit: u32) -> (ModelInput, f64) {
    let declaration = mixed_splits(4);
    let model = model_name(0);
    let cuts = [LayerRange { first: 0, end: 24 }, LayerRange { first: 24, end: 48 }];
    let bound = token_bound(&declaration, &model, &cuts);
    let input = ModelInput {
        declaration,
        model,
        instances: 7,
        rate: bound * demand / 50.0,
        tokens: 50,
        report_every: Duration::from_millis(200),
        report_lag: Duration::from_millis(250),
        duration: Duration::from_secs(8),
        warm_up: Duration::from_secs(4),
        slow_links: Vec::new(),
        exchange: true,
        stream_limit,
        prompts: None,
        seed: 11,
    };
    (input, bound)
}

#[test]
fn mixed_splits_reach_the_bound_and_beat_the_naive_choices() {
    let (input, bound) = mixed_splits_input(1.1, u32::MAX);
    let product = BatchModel::run(input.clone(), DecisionSet::product()).token_rate;
    assert!(product > bound * 0.95, "{product} of {bound} tokens per second");
    for naive in [choice::random(), choice::round_robin(), choice::least_reported()] {
        let naive = BatchModel::run(input.clone(), naive).token_rate;
        assert!(product > naive, "{product} against {naive} tokens per second");
    }
}

#[test]
fn stream_limit_keeps_engines_busy_and_token_intervals_short() {
    let (input, bound) = mixed_splits_input(3.0, capacity_share(&mixed_splits(4), 7));
    let limited = BatchModel::run(input, DecisionSet::product());
    let (input, _) = mixed_splits_input(3.0, u32::MAX);
    let unlimited = BatchModel::run(input, DecisionSet::product());
    let rate = limited.token_rate;
    assert!(rate > bound * 0.9, "{rate} of {bound} tokens per second");
    let interval_p95 = |output: &ModelOutput| ModelOutput::percentile(&output.between_tokens, 95);
    assert!(interval_p95(&limited) * 2 < interval_p95(&unlimited));
}
