//! Tests of the room that requests of each priority may use.

use crate::support::LAYERS;
use crate::support::SIZE;
use crate::support::admit;
use crate::support::engine;
use crate::support::rank;
use crate::support::tables;
use banyan_core::pipeline::reservation::UNRESERVED_FULLNESS;
use banyan_core::units::Moment;
use banyan_forward::decisions::tables::ForwardTables;

/// Offers requests of priorities 0 and 1 in turn, which never end. Returns which are admitted.
fn admitted(tables: &mut ForwardTables, ranked: bool) -> Vec<bool> {
    let offer = |index: u64| {
        let now = Moment(index * 10_000);
        let rank = if ranked { rank((index % 2) as u8, index) } else { None };
        let choice = admit(tables, rank, now);
        if choice.is_some() {
            tables.loads.add(&engine(), SIZE.total, LAYERS.count(), true);
        }
        choice.is_some()
    };
    (0..1_000).map(offer).collect()
}

#[test]
fn requests_of_one_priority_are_admitted_as_without_priorities() {
    // Guards against changed decisions where the configuration ranks nothing.
    let uniform = admitted(&mut tables(&[1, 1]), true);
    assert_eq!(uniform, admitted(&mut tables(&[1, 1]), false));
    assert!(uniform.contains(&true) && uniform.contains(&false), "the engine fills up");
}

#[test]
fn the_last_room_is_kept_for_urgent_requests_and_further_attempts() {
    let mut tables = tables(&[0, 1]);
    let admitted = admitted(&mut tables, true);
    let count = |odd| admitted.iter().skip(odd).step_by(2).filter(|is| **is).count();
    assert!(count(0) > count(1), "{} and {}", count(0), count(1));
    tables.loads.remove(&engine(), SIZE.total, LAYERS.count(), true);
    let now = Moment(10_000_000);
    assert!(admit(&mut tables, rank(1, 2_000), now).is_none());
    let retried = admit(&mut tables, None, now).expect("room for a further attempt");
    assert!(retried.fullness <= UNRESERVED_FULLNESS);
}
