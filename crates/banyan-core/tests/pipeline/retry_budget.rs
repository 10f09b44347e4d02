//! The shared budget of retries.

use std::time::Duration;

use crate::support::at;
use crate::support::service;
use banyan_core::pipeline::retries::RetryBounds;
use banyan_core::pipeline::retries::RetryShare;

const BOUNDS: RetryBounds =
    RetryBounds { ratio: 0.2, window: Duration::from_secs(10), extra: 198.0 };

/// Retries that one instance gets while each of its requests asks for one.
fn taken(share: f64, requests: u64) -> u64 {
    let mut retries = RetryShare::default();
    retries.set_share(share);
    let mut taken = 0;
    for request in 0..requests {
        let now = at(request * 10_000 / requests);
        retries.note_request(&service(), &BOUNDS, now);
        taken += u64::from(retries.take(&service(), &BOUNDS, now));
    }
    taken
}

#[test]
fn all_instances_together_keep_the_budget() {
    // Eight parts dealt out to seven instances, in whatever way: 700 requests each in the window.
    let parts = [2, 1, 1, 1, 1, 1, 1];
    let sum: u64 = parts.iter().map(|part| taken(f64::from(*part) / 8.0, 700)).sum();
    let budget = 0.2 * 4_900.0 + 198.0;
    assert!((sum as f64) <= budget, "{sum} of {budget}");
    assert!(sum as f64 >= 0.7 * budget, "{sum} of {budget}: the budget is of use");
}

#[test]
fn an_instance_without_a_part_has_the_ratio_alone() {
    let sum = taken(0.0, 1_000);
    assert!(sum <= 200, "{sum}");
    assert!(sum >= 100, "{sum}");
}

#[test]
fn retries_come_back_as_the_window_moves_on() {
    let mut retries = RetryShare::default();
    retries.set_share(0.01);
    assert!(retries.take(&service(), &BOUNDS, at(0)));
    assert!(!retries.take(&service(), &BOUNDS, at(10)));
    assert!(retries.take(&service(), &BOUNDS, at(10_000)));
}
