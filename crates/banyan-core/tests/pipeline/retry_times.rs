//! Tests of the retry delays for refused callers.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::support::at;
use banyan_core::pipeline::retry_after::RetryAfterTable;

#[test]
fn callers_refused_together_get_different_delays() {
    let mut table = RetryAfterTable::default();
    let times: Vec<Duration> = (0..16).map(|_| table.next_delay(at(1_400), at(1_000))).collect();
    let distinct: BTreeSet<Duration> = times.iter().copied().collect();
    assert_eq!(distinct.len(), 16);
    assert!(
        times.iter().all(|time| *time >= Duration::from_millis(400)),
        "no caller retries too early"
    );
    assert!(times.iter().all(|time| *time < Duration::from_millis(800)));
}
