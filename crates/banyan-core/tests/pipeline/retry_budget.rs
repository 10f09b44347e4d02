//! The shared budget of retries.

use std::time::Duration;

use crate::support::at;
use crate::support::service;
use banyan_core::pipeline::retries::RetryBounds;
use banyan_core::pipeline::retries::RetryShare;

const BOUNDS: RetryBounds =
    RetryBounds { ratio: 0.2, window: Duration::from_secs(10), extra: 198.0 };

/// Retries that one instance gets while each of its requests asks for one; `instances` is how many it
/// knows of.
fn taken(instances: Option<usize>, requests: u64) -> u64 {
    let mut retries = RetryShare::default();
    if let Some(instances) = instances {
        retries.set_instance_count(instances);
    }
    let mut taken = 0;
    for request in 0..requests {
        let now = at(request * 10_000 / requests);
        retries.note_request(&service(), &BOUNDS, now);
        taken += u64::from(retries.try_take(&service(), &BOUNDS, now));
    }
    taken
}

#[test]
fn all_instances_together_keep_the_budget() {
    // 700 requests each in the window.
    let sum: u64 = (0..7).map(|_| taken(Some(7), 700)).sum();
    let budget = 0.2 * 4_900.0 + 198.0;
    assert!((sum as f64) <= budget, "{sum} of {budget}");
    assert!(sum as f64 >= 0.7 * budget, "{sum} of {budget}: the budget is of use");
}

#[test]
fn instances_that_were_just_added_break_no_budget() {
    // Eight know of themselves alone, the two new ones of all ten.
    let sum: u64 = (0..8).map(|_| taken(Some(8), 500)).sum();
    let sum = sum + 2 * taken(Some(10), 500);
    let budget = 0.2 * 5_000.0 + 198.0;
    assert!((sum as f64) <= budget, "{sum} of {budget}");
}

#[test]
fn each_of_many_instances_has_a_part() {
    // With parts dealt out eight times, 61 of 73 instances had none: streams that an engine's loss cut
    // were not sent again there, as their instance's own requests earn too little.
    let sum: u64 = (0..73).map(|_| taken(Some(73), 1)).sum();
    assert!(sum >= 73, "{sum}");
}

#[test]
fn an_instance_that_knows_of_no_others_yet_has_the_ratio_alone() {
    let sum = taken(None, 1_000);
    assert!(sum <= 200, "{sum}");
    assert!(sum >= 100, "{sum}");
}

#[test]
fn retries_come_back_as_the_window_moves_on() {
    let mut retries = RetryShare::default();
    retries.set_instance_count(100);
    assert!(retries.try_take(&service(), &BOUNDS, at(0)));
    assert!(!retries.try_take(&service(), &BOUNDS, at(10)));
    assert!(retries.try_take(&service(), &BOUNDS, at(10_000)));
}
