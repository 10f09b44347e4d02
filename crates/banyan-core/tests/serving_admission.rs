//! Tests of admission, fair shares and limits. The naive queue for comparison serves in order of
//! arrival and is limited by a plain count.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;

use banyan_core::ids::RequestId;
use banyan_core::ids::WorkspaceId;
use banyan_core::serving::admission::AdmissionQueue;
use banyan_core::serving::admission::AdmissionVerdict;
use banyan_core::serving::admission_request::AdmissionRequest;
use banyan_core::serving::capacity::capacity_share;
use banyan_core::serving::limits::LimitTable;
use banyan_core::serving::limits::UsagePage;
use banyan_core::units::Moment;
use banyan_naive::admission::AdmissionModel;
use banyan_naive::admission::ArrivalQueue;
use banyan_naive::admission::OverloadInput;
use banyan_naive::admission::OverloadOutput;
use banyan_naive::admission::run_overload;
use banyan_naive::fixtures::mixed_splits;
use banyan_naive::fixtures::workspace_name;

fn new_queue(capacity: u32, queue_limit: u32) -> AdmissionQueue {
    AdmissionQueue { capacity, queue_limit, ..AdmissionQueue::default() }
}

fn id(counter: u64) -> RequestId {
    RequestId { incarnation: "run".parse().unwrap(), counter }
}

fn request(counter: u64, workspace: usize, share: u32, priority: u8) -> AdmissionRequest {
    AdmissionRequest {
        request: id(counter),
        workspace: workspace_name(workspace),
        share,
        priority,
        tokens: 10,
        deadline: Moment(3_600_000_000),
    }
}

/// An event that changes the queue or advances the clock.
#[derive(Clone, Debug)]
enum Input {
    Offer { workspace: usize, share: u32, priority: u8, tokens: u64, patience_ms: u64 },
    Release(usize),
    Withdraw(usize),
    Pause(u64),
}

fn input_sequences() -> impl Strategy<Value = Vec<Input>> {
    let offer = (0usize..5, 1u32..4, 0u8..10, 0u64..500, 0u64..5000).prop_map(
        |(workspace, share, priority, tokens, patience_ms)| Input::Offer {
            workspace,
            share,
            priority,
            tokens,
            patience_ms,
        },
    );
    let input = prop_oneof![
        5 => offer,
        3 => (0usize..64).prop_map(Input::Release),
        1 => (0usize..64).prop_map(Input::Withdraw),
        2 => (1u64..2000).prop_map(Input::Pause),
    ];
    prop::collection::vec(input, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn each_request_is_admitted_or_refused_once_within_capacity(
        inputs in input_sequences(),
        capacity in 1u32..6,
        queue_limit in 0u32..12,
    ) {
        let mut queue = new_queue(capacity, queue_limit);
        let mut now = Moment(1);
        let mut counter = 0;
        let mut active: BTreeSet<RequestId> = BTreeSet::new();
        let mut waiting: BTreeSet<RequestId> = BTreeSet::new();
        for input in inputs {
            match input {
                Input::Offer { workspace, share, priority, tokens, patience_ms } => {
                    counter += 1;
                    let deadline = now + Duration::from_millis(patience_ms);
                    let offer = request(counter, workspace, share, priority);
                    let offer = AdmissionRequest { tokens, deadline, ..offer };
                    let verdict = queue.offer(offer, now);
                    match verdict {
                        AdmissionVerdict::Admitted => drop(active.insert(id(counter))),
                        AdmissionVerdict::Queued => drop(waiting.insert(id(counter))),
                        AdmissionVerdict::Refused { retry_after } => {
                            prop_assert!(!retry_after.is_zero());
                        }
                    }
                }
                Input::Release(index) => {
                    let Some(ended) = active.iter().nth(index).cloned() else { continue };
                    active.remove(&ended);
                    queue.settle(&ended, 1);
                    queue.release(&ended, now);
                }
                Input::Withdraw(index) => {
                    let Some(withdrawn) = waiting.iter().nth(index).cloned() else { continue };
                    waiting.remove(&withdrawn);
                    queue.withdraw(&withdrawn);
                }
                Input::Pause(millis) => now = now + Duration::from_millis(millis),
            }
            let round = queue.tick(now);
            for (refused, _) in round.refused {
                prop_assert!(waiting.remove(&refused), "{refused} was refused without waiting");
            }
            for admitted in round.admitted {
                prop_assert!(waiting.remove(&admitted), "{admitted} was admitted without waiting");
                active.insert(admitted);
            }
            prop_assert!(active.len() as u32 <= capacity);
            prop_assert!(waiting.len() as u32 <= queue_limit);
            prop_assert!(waiting.is_empty() || active.len() as u32 == capacity);
            prop_assert_eq!(&queue.active.keys().cloned().collect::<BTreeSet<_>>(), &active);
            prop_assert_eq!(&queue.waiting.requests().cloned().collect::<BTreeSet<_>>(), &waiting);
        }
    }
}

/// Fills a queue of capacity one from several workspaces and counts the served requests of each
/// over `turns`.
fn served_over_turns(workspaces: &[(u32, u8)], turns: usize) -> BTreeMap<WorkspaceId, usize> {
    let mut queue = new_queue(1, 100_000);
    queue.offer(request(0, 99, 1, 5), Moment(0));
    queue.release(&id(0), Moment(1000));
    queue.offer(request(1, 99, 1, 5), Moment(1000));
    let mut counter = 1;
    for (number, (share, priority)) in workspaces.iter().enumerate() {
        for _ in 0..turns {
            counter += 1;
            let verdict = queue.offer(request(counter, number, *share, *priority), Moment(1000));
            assert_eq!(verdict, AdmissionVerdict::Queued);
        }
    }
    let mut served: BTreeMap<WorkspaceId, usize> = BTreeMap::new();
    let mut now = Moment(1000);
    for _ in 0..turns {
        now = now + Duration::from_millis(1);
        let running: Vec<_> = queue.active.keys().cloned().collect();
        running.iter().for_each(|request| queue.release(request, now));
        queue.tick(now);
        for row in queue.active.values() {
            *served.entry(row.workspace.clone()).or_default() += 1;
        }
    }
    served
}

#[test]
fn workspaces_are_served_in_proportion_to_their_shares() {
    let served = served_over_turns(&[(1, 5), (3, 5), (4, 5)], 400);
    assert_eq!(served[&workspace_name(0)], 50);
    assert_eq!(served[&workspace_name(1)], 150);
    assert_eq!(served[&workspace_name(2)], 200);
}

#[test]
fn low_priority_waits_longer_but_does_not_starve() {
    let served = served_over_turns(&[(1, 9), (1, 0)], 400);
    assert_eq!(served[&workspace_name(1)], 100);
}

#[test]
fn full_queue_displaces_a_request_of_the_longest_backlog() {
    let mut queue = new_queue(1, 4);
    queue.offer(request(0, 0, 1, 5), Moment(0));
    queue.release(&id(0), Moment(1));
    for counter in 1..=5 {
        queue.offer(request(counter, 0, 1, 5), Moment(1));
    }
    let over_share = queue.offer(request(6, 0, 1, 5), Moment(1));
    assert!(matches!(over_share, AdmissionVerdict::Refused { .. }), "{over_share:?}");
    assert_eq!(queue.offer(request(7, 1, 1, 5), Moment(1)), AdmissionVerdict::Queued);
    let refused: Vec<RequestId> =
        queue.tick(Moment(1)).refused.into_iter().map(|(request, _)| request).collect();
    assert_eq!(refused, vec![id(5)]);
}

#[test]
fn request_with_an_unmeetable_deadline_is_refused_at_once() {
    let mut queue = new_queue(1, 100);
    queue.offer(request(1, 0, 1, 5), Moment(0));
    queue.release(&id(1), Moment(1_000_000));
    queue.offer(request(2, 0, 1, 5), Moment(1_000_000));
    let unmeetable = AdmissionRequest { deadline: Moment(2_500_000), ..request(3, 0, 1, 5) };
    let verdict = queue.offer(unmeetable, Moment(1_000_000));
    let AdmissionVerdict::Refused { retry_after } = verdict else { panic!("{verdict:?}") };
    assert!(retry_after >= Duration::from_secs(1));
}

fn overload(seed: u64, model: AdmissionModel) -> OverloadOutput {
    let input = OverloadInput {
        capacity: 40,
        service: Duration::from_secs(1),
        request_timeout: Duration::from_secs(5),
        overload: 3.0,
        large_workspace_share: 0.8,
        duration: Duration::from_secs(60),
        seed,
    };
    run_overload(input, model)
}

#[test]
fn overload_by_a_large_workspace_does_not_reduce_service_to_small_ones() {
    for seed in 1..=3 {
        let naive = ArrivalQueue { capacity: 40, queue_limit: 1000, ..ArrivalQueue::default() };
        let product = overload(seed, AdmissionModel::Product(Box::new(new_queue(40, 1000))));
        let naive = overload(seed, AdmissionModel::Naive(naive));
        assert!(product.goodput > 0.9, "goodput {}", product.goodput);
        assert!(product.goodput > naive.goodput);
        assert!(product.missed * 100 <= product.accepted, "{} missed", product.missed);
        for number in 1..10 {
            let (offered, served) = product.workspaces[&workspace_name(number)];
            assert!(served * 100 >= offered * 99, "{served} of {offered} of workspace {number}");
        }
    }
}

#[test]
fn capacity_depends_on_engines_and_live_instances() {
    let small = capacity_share(&mixed_splits(1), 1);
    assert_eq!(capacity_share(&mixed_splits(7), 7), small);
    assert!(capacity_share(&mixed_splits(7), 1).abs_diff(small * 7) <= 7);
    assert!(capacity_share(&mixed_splits(0), 7) >= 1);
}

/// The rate that instances with these demands per second are granted together, measured over the
/// second half of the run.
fn granted_rate(demands: &[u64], limit: u64, exchange: bool) -> u64 {
    let workspace = workspace_name(0);
    let mut tables = vec![LimitTable::default(); demands.len()];
    let mut granted = 0;
    let seconds = 20;
    for step in 0..seconds * 100 {
        let now = Moment(step * 10_000);
        for (own, demand) in demands.iter().enumerate() {
            tables[own].set_live(demands.len() as u64);
            let attempts = (step + 1) * demand / 100 - step * demand / 100;
            for _ in 0..attempts {
                let granted_now = tables[own].take(&workspace, limit, 1, now).is_ok();
                granted += u64::from(granted_now && step >= seconds * 50);
            }
            if exchange && step % 50 == own as u64 {
                let peer = (own + 1 + (step / 50) as usize % (demands.len() - 1)) % demands.len();
                let rows =
                    tables[peer].demands_after(None).map(|(name, demand)| (name.clone(), demand));
                let page = UsagePage { rows: rows.collect(), whole: true };
                tables[own].note_usage(&page, now);
            }
        }
    }
    granted * 2 / seconds
}

#[test]
fn limit_is_split_by_demand_and_not_exceeded() {
    for demands in [[100; 7], [700, 0, 0, 0, 0, 0, 0], [300, 200, 50, 50, 50, 50, 0]] {
        let rate = granted_rate(&demands, 200, true);
        assert!((180..=220).contains(&rate), "{rate} per second for {demands:?}");
        // Without reports from peers the parts are equal and add up to the limit at most.
        let without_reports = granted_rate(&demands, 200, false);
        assert!(without_reports <= 202, "{without_reports} per second for {demands:?}");
    }
}

#[test]
fn request_larger_than_the_bucket_is_granted_after_a_wait() {
    let mut table = LimitTable::default();
    table.set_live(10);
    let workspace = workspace_name(0);
    let wait = table.take(&workspace, 100, 500, Moment(0)).unwrap_err();
    assert_eq!(wait, Duration::from_secs(50));
    assert!(table.take(&workspace, 100, 500, Moment(0) + wait * 2).is_ok());
}
