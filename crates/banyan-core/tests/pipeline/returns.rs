//! Tests of when refused callers return, and of the room held for them.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::support::at;
use crate::support::service;
use banyan_core::pipeline::priority::EffectivePriority;
use banyan_core::pipeline::retry_after::ReleaseTable;
use banyan_core::pipeline::retry_after::RetryAfterTable;
use banyan_core::pipeline::returning::Arrival;
use banyan_core::pipeline::returning::RefusedRequest;
use banyan_core::pipeline::returning::RefusedTable;
use banyan_core::record::ContentDigest;
use banyan_core::units::Moment;
use banyan_core::units::TokenCount;

const RANK: EffectivePriority = EffectivePriority(1);
/// The requests that run at once in a replay.
const PLACES: usize = 20;
/// The mean time that a replayed request runs. With it, five requests end each second.
const RUN_MILLIS: u64 = 4_000;
/// How often a replayed request asks.
const ASKS: u32 = 4;

fn refused_until(time: Moment, priority: u8) -> RefusedRequest {
    let priority = EffectivePriority(priority);
    RefusedRequest { service: service(), priority, tokens: TokenCount(100), time }
}

/// A table that has learnt that refused requests return.
fn table_with_returns() -> RefusedTable {
    let mut table = RefusedTable::default();
    for content in 0..200 {
        table.note_refused(ContentDigest(content), refused_until(at(100), 0), at(0));
        table.note_returned(ContentDigest(content));
    }
    table
}

/// How the repeats of refused requests fared in a replay.
#[derive(Debug, Default)]
struct RepeatCounts {
    refused: u32,
    admitted: u32,
}

/// Replays ten seconds of 2.2 times the requests that fit. `planned` tells whether callers return by
/// the rate at which requests end, with room held for them, or after a constant time.
fn replay(planned: bool) -> RepeatCounts {
    let mut refused = RefusedTable::default();
    let mut releases = ReleaseTable::default();
    let mut delays = RetryAfterTable::default();
    let mut counts = RepeatCounts::default();
    let mut asking: BTreeSet<(u64, u64, u32)> =
        (0..110).map(|index| (index * 91, index, ASKS)).collect();
    let mut ends: BTreeSet<(u64, u64)> = BTreeSet::new();
    while let Some((time, sequence, asks)) = asking.pop_first() {
        while let Some((end, _)) = ends.first().copied().filter(|(end, _)| *end <= time) {
            ends.pop_first();
            releases.note_release(&service(), at(end));
        }
        let (content, now) = (ContentDigest(sequence), at(time));
        let arrival = refused.arrival(content, now);
        let held = match arrival {
            Arrival::New | Arrival::Early if planned => {
                refused.held_tokens(&service(), RANK, now).0 as usize / 100
            }
            _ => 0,
        };
        refused.note_returned(content);
        if ends.len() + held < PLACES {
            ends.insert((time + RUN_MILLIS / 2 + sequence * 617 % RUN_MILLIS, sequence));
            counts.admitted += u32::from(asks < ASKS);
            continue;
        }
        counts.refused += u32::from(asks < ASKS);
        let ahead = refused.expected_returns(&service(), RANK, now);
        let estimate = releases.wait(&service(), ahead, 0.0).filter(|_| planned);
        let wait = match estimate {
            Some(wait) => delays.spread(wait, wait / 4),
            None => delays.next_delay(at(time + 400), now),
        };
        refused.note_refused(content, refused_until(now + wait, RANK.0), now);
        if asks > 1 {
            asking.insert((time + wait.as_millis() as u64, sequence, asks - 1));
        }
    }
    counts
}

#[test]
fn callers_told_by_the_rate_of_ends_are_refused_again_less_often() {
    // Guards against constant delays, after which most callers find no room.
    let (constant, planned) = (replay(false), replay(true));
    assert!(planned.refused * 2 < constant.refused, "{planned:?} {constant:?}");
    assert!(planned.admitted > constant.admitted, "{planned:?} {constant:?}");
}

#[test]
fn the_wait_grows_with_the_requests_ahead_and_the_more_urgent_demand() {
    let mut table = ReleaseTable::default();
    assert_eq!(table.wait(&service(), 0, 0.0), None, "no request has ended");
    for millis in [0, 200, 400, 600] {
        table.note_release(&service(), at(millis));
    }
    let wait = |ahead, share| table.wait(&service(), ahead, share).expect("a wait");
    assert_eq!(wait(0, 0.0), Duration::from_millis(200));
    assert_eq!(wait(4, 0.0), Duration::from_secs(1));
    assert_eq!(wait(0, 0.5), Duration::from_millis(400));
    assert_eq!(wait(0, 1.0), Duration::from_secs(2), "the least share");
    // Regression: the time without requests counted, so that all were told to wait for long.
    table.note_release(&service(), at(100_000));
    assert_eq!(table.wait(&service(), 0, 0.0), Some(Duration::from_millis(200)));
}

#[test]
fn room_is_held_for_due_returns_of_no_lower_urgency() {
    let mut table = table_with_returns();
    table.note_refused(ContentDigest(1_000), refused_until(at(1_000), 1), at(500));
    let held =
        |priority, millis| table.held_tokens(&service(), EffectivePriority(priority), at(millis)).0;
    assert_eq!(held(1, 999), 0, "not due yet");
    assert!(held(1, 1_000) >= 99);
    assert!(held(2, 1_100) >= 99);
    assert_eq!(held(0, 1_100), 0, "more urgent requests do not wait for it");
    assert_eq!(held(1, 1_300), 0, "the caller did not return");
}

#[test]
fn no_room_is_held_where_callers_return_to_other_instances() {
    // Guards against room that stays idle on each of many instances behind a load balancer.
    let mut table = RefusedTable::default();
    for index in 0..500 {
        let now = at(index * 100);
        table.note_refused(ContentDigest(index), refused_until(now, 0), now);
    }
    let held = table.held_tokens(&service(), EffectivePriority(0), at(49_900));
    assert_eq!(held, TokenCount(0));
}

#[test]
fn repeated_requests_are_recognised_for_a_while() {
    let mut table = RefusedTable::default();
    let content = ContentDigest(1);
    assert_eq!(table.arrival(content, at(0)), Arrival::New);
    table.note_refused(content, refused_until(at(500), 0), at(0));
    assert_eq!(table.arrival(content, at(499)), Arrival::Early);
    assert_eq!(table.arrival(content, at(500)), Arrival::OnTime);
    assert_eq!(table.arrival(content, at(2_501)), Arrival::New);
    table.note_returned(content);
    assert_eq!(table.arrival(content, at(500)), Arrival::New);
}

#[test]
fn the_number_of_remembered_requests_is_bounded() {
    let mut table = RefusedTable::default();
    for content in 0..20_000 {
        table.note_refused(ContentDigest(content), refused_until(at(5_000), 0), at(0));
    }
    assert!(table.expected_returns(&service(), EffectivePriority(0), at(0)) <= 8_192);
    assert_eq!(table.arrival(ContentDigest(19_999), at(0)), Arrival::Early, "the newest is kept");
}
