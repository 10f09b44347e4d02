//! Tests of the shared retry budget.

use std::time::Duration;

use crate::support::at;
use crate::support::service;
use banyan_core::pipeline::retries::RetryBounds;
use banyan_core::pipeline::retries::RetryShare;

const BOUNDS: RetryBounds =
    RetryBounds { ratio: 0.2, window: Duration::from_secs(10), extra: 198.0 };

/// The number of retries that one instance gets while each of its requests asks for one.
/// `instances` is the number of instances that it knows of.
fn granted(instances: Option<usize>, requests: u64) -> u64 {
    let mut retries = RetryShare::default();
    if let Some(instances) = instances {
        retries.set_instance_count(instances);
    }
    let mut granted = 0;
    for request in 0..requests {
        let now = at(request * 10_000 / requests);
        retries.note_request(&service(), &BOUNDS, now);
        granted += u64::from(retries.try_take(&service(), &BOUNDS, now));
    }
    granted
}

#[test]
fn all_instances_together_stay_within_the_budget() {
    // Each instance has 700 requests in the window.
    let sum: u64 = (0..7).map(|_| granted(Some(7), 700)).sum();
    let budget = 0.2 * 4_900.0 + 198.0;
    assert!((sum as f64) <= budget, "{sum} of {budget}");
    assert!(sum as f64 >= 0.7 * budget, "{sum} of {budget}: most of the budget is usable");
}

#[test]
fn new_instances_do_not_exceed_the_budget() {
    // The eight old instances count eight, and the two new ones count ten.
    let sum: u64 = (0..8).map(|_| granted(Some(8), 500)).sum();
    let sum = sum + 2 * granted(Some(10), 500);
    let budget = 0.2 * 5_000.0 + 198.0;
    assert!((sum as f64) <= budget, "{sum} of {budget}");
}

#[test]
fn each_of_many_instances_has_a_share() {
    // Regression: the extra retries were divided among eight partitions, and 61 of 73 instances had
    // none. These instances did not retry the streams that the loss of an engine ended, since the
    // requests of one instance earn too few retries.
    let sum: u64 = (0..73).map(|_| granted(Some(73), 1)).sum();
    assert!(sum >= 73, "{sum}");
}

#[test]
fn an_instance_without_known_peers_has_no_extra_retries() {
    let sum = granted(None, 1_000);
    assert!(sum <= 200, "{sum}");
    assert!(sum >= 100, "{sum}");
}

#[test]
fn retries_become_available_as_the_window_advances() {
    let mut retries = RetryShare::default();
    retries.set_instance_count(100);
    assert!(retries.try_take(&service(), &BOUNDS, at(0)));
    assert!(!retries.try_take(&service(), &BOUNDS, at(10)));
    assert!(retries.try_take(&service(), &BOUNDS, at(10_000)));
}
