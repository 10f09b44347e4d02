//! The same seed gives the same requests, at the rate and with the shape that was asked for.

use std::time::Duration;

use banyan_load::plan::BYTES_PER_TOKEN;
use banyan_load::plan::BenchPlan;
use banyan_load::schedule::LoadSchedule;
use banyan_load::schedule::PlannedRequest;
use banyan_load::schedule::StreamShape;

fn schedule(seed: u64) -> Vec<PlannedRequest> {
    let shape = StreamShape::at_load(&BenchPlan::default(), 2.0, Duration::from_secs(60));
    LoadSchedule::of_stream(&shape, seed).requests
}

#[test]
fn the_seed_decides_everything() {
    let parts = |seed| {
        let rows = schedule(seed).into_iter();
        rows.map(|row| (row.at, row.entry, row.prompt, row.tokens)).collect::<Vec<_>>()
    };
    assert_eq!(parts(7), parts(7));
    assert_ne!(parts(7), parts(8));
}

#[test]
fn requests_come_at_the_rate_and_in_order() {
    let plan = BenchPlan::default();
    let shape = StreamShape::at_load(&plan, 2.0, Duration::from_secs(60));
    let requests = schedule(1);
    let expected = shape.rate * 60.0;
    let count = requests.len() as f64;
    assert!((count - expected).abs() < expected * 0.1, "{count} instead of {expected}");
    assert!(requests.is_sorted_by_key(|request| request.at));
    assert!(requests.iter().all(|request| (16..=48).contains(&request.tokens)));
    let longest = (shape.prompt_tokens * BYTES_PER_TOKEN) as usize;
    assert!(requests.iter().all(|request| request.prompt.len() < longest));
}

#[test]
fn the_bound_is_what_full_batches_give() {
    let step_times = vec![Duration::from_millis(20); 2];
    let plan = BenchPlan { step_times, batch: 8, prefill_rate: 1000, ..BenchPlan::default() };
    // A request holds an eighth of 10 batches and reads 100 tokens: 0.025 s + 0.1 s of an engine.
    let bound = plan.request_bound(10.0, 100.0);
    assert!((bound - 2.0 / 0.125).abs() < 1e-9, "{bound}");
}

#[test]
fn the_balancer_spreads_requests_evenly_over_the_entries_that_take_them() {
    let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let entries = banyan_load::load::EntryList::new(vec![address(1), address(2), address(3)]);
    entries.remove(0);
    entries.put(3, address(4));
    let mut counts = [0; 4];
    for request in schedule(1) {
        let (index, _) = entries.pick(request.entry).expect("an entry");
        counts[index] += 1;
    }
    let total: usize = counts.iter().sum();
    assert_eq!(counts[0], 0);
    assert!(counts[1..].iter().all(|count| count * 3 > total * 8 / 10), "{counts:?}");
}
