//! Tests of rejections for lack of room.

use std::collections::BTreeSet;

use crate::support::at;
use crate::support::fleet;
use crate::support::layers;
use crate::support::model;
use crate::support::service;
use crate::support::target;
use crate::support::zone;
use banyan_core::pipeline::chain::ChainFilter;
use banyan_core::pipeline::chain::ChainPool;
use banyan_core::pipeline::chain::RequestSize;
use banyan_core::pipeline::load::LoadTable;
use banyan_core::pipeline::load::LoadView;
use banyan_core::pipeline::load::PeerLoadTable;
use banyan_core::pipeline::rejections::REJECTION_VALIDITY;
use banyan_core::pipeline::rejections::RejectionTable;
use banyan_core::pipeline::rejections::RoomReport;
use banyan_core::pipeline::reservation::UNRESERVED_FULLNESS;
use banyan_core::pipeline::suspicion::SuspicionTable;
use banyan_core::pipeline::target_chain::RejectionRule;
use banyan_core::units::TokenCount;

const WITH_ROOM: RoomReport = RoomReport { used: 0.5, waiting: 0, running: 9 };
const FULL: RoomReport = RoomReport { used: 0.99, waiting: 0, running: 40 };
const WAITED_FOR: RoomReport = RoomReport { used: 0.5, waiting: 2, running: 9 };

#[test]
fn a_rejection_holds_for_a_short_time_and_is_news_once() {
    // Load pattern: many requests are rejected by one full engine within a second. Each rejection
    // must extend the time in which it is skipped, and none may close it for ever.
    let mut table = RejectionTable::default();
    assert!(table.note_rejection(&target("a"), at(1_000)));
    assert!(!table.note_rejection(&target("a"), at(1_200)));
    let validity = REJECTION_VALIDITY.as_millis() as u64;
    assert!(table.is_full(&target("a"), at(1_199 + validity)));
    assert!(!table.is_full(&target("a"), at(1_200 + validity)));
    assert!(!table.is_full(&target("b"), at(1_200)));
    table.expire(at(1_200 + validity));
    assert!(table.note_rejection(&target("a"), at(1_200 + validity)));
}

#[test]
fn only_a_report_from_after_the_rejection_that_shows_room_ends_it() {
    // Guards against a report that was requested before the rejection, or that shows waiting
    // requests, sending new ones back to the full engine.
    let mut table = RejectionTable::default();
    table.note_rejection(&target("a"), at(1_000));
    assert!(!table.note_report(&target("a"), WITH_ROOM, at(999)));
    assert!(!table.note_report(&target("a"), FULL, at(1_100)));
    assert!(!table.note_report(&target("a"), WAITED_FOR, at(1_200)));
    assert!(table.is_full(&target("a"), at(1_200 + 499)));
    assert!(table.note_report(&target("a"), WITH_ROOM, at(1_300)));
    assert!(!table.is_full(&target("a"), at(1_300)));
    assert!(!table.note_report(&target("b"), FULL, at(1_300)));
    assert!(!table.is_full(&target("b"), at(1_300)));
}

#[test]
fn new_requests_skip_every_chain_through_a_rejecting_engine_only_where_room_is_accounted_for() {
    // Load pattern: 1,877 of 2,894 rejections came from a later engine, which other chains use too.
    // Without the rule the choice is as before, so that other deployments are served alike.
    let fleet = fleet(&[
        ("first", "a", "fast-vast", layers(0, 40)),
        ("other-first", "a", "fast-vast", layers(0, 40)),
        ("later", "a", "fast-vast", layers(40, 80)),
        ("other-later", "a", "fast-vast", layers(40, 80)),
    ]);
    let mut pool = ChainPool::default();
    pool.refresh(&model(), &service(), 1, &fleet, &SuspicionTable::default(), at(0));
    let mut peers = PeerLoadTable::default();
    peers.rejections.note_rejection(&target("later"), at(0));
    let own = LoadTable::default();
    let size = RequestSize { prompt: TokenCount(800), total: TokenCount(950) };
    let used = |pool: &mut ChainPool, peers: &PeerLoadTable, rule: Option<RejectionRule>| {
        pool.set_rejection_rule(rule);
        let view = LoadView { own: &own, peers, peer_scale: 1.0 };
        let closed = BTreeSet::new();
        let filter =
            ChainFilter { avoided: &[], closed: &closed, max_fullness: UNRESERVED_FULLNESS };
        pool.choose(&view, &zone("a"), size, 0, filter).map(|choice| choice.chain)
    };
    let rule = Some(RejectionRule { now: at(100) });
    let chain = used(&mut pool, &peers, rule).expect("a chain without the full engine");
    assert!(!chain.uses_any(&[target("later")]));
    peers.rejections.note_rejection(&target("other-later"), at(50));
    assert_eq!(used(&mut pool, &peers, rule), None);
    let untouched = used(&mut pool, &PeerLoadTable::default(), None);
    assert_eq!(used(&mut pool, &peers, None), untouched);
    let later = Some(RejectionRule { now: at(600) });
    assert_eq!(used(&mut pool, &peers, later), untouched);
}
