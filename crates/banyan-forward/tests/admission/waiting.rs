//! Tests of the streams that wait for room.

use std::sync::Arc;
use std::time::Duration;

use crate::support::LAYERS;
use crate::support::SIZE;
use crate::support::engine;
use crate::support::rank;
use crate::support::service;
use crate::support::settings;
use crate::support::tables;
use banyan_core::ids::WorkspaceId;
use banyan_core::pipeline::chain::ChainChoice;
use banyan_core::pipeline::target_chain::TargetChain;
use banyan_core::units::Moment;
use banyan_forward::decisions::admission::RoomQuery;
use banyan_forward::decisions::tables::ForwardTables;
use banyan_forward::decisions::waiting::QueuePlace;

/// When the requests of these tests arrive, after the engine was filled.
const NOW: Moment = Moment(100_000_000);

fn workspace(name: &str) -> WorkspaceId {
    name.parse().expect("a name")
}

/// Tables whose only engine is full, with the chain of the requests on it. One of them ends each
/// `interval_millis`, and another takes its room.
fn full_tables(interval_millis: u64) -> (ForwardTables, Arc<TargetChain>) {
    let mut tables = tables(&[0, 1, 2]);
    let mut chain = None;
    loop {
        let service = service();
        let query = RoomQuery { service: &service, size: SIZE, avoided: &[], rank: None };
        let (choice, _) = tables.admit_to_chain(&query, &settings(), Moment(0));
        let Some(choice) = choice else { break };
        tables.add_chain_load(&choice.chain, SIZE.total);
        chain = Some(choice.chain);
    }
    let chain = chain.expect("the engine has room");
    for index in 1..4 {
        tables.release_chain(
            &chain,
            SIZE.total,
            &settings(),
            Moment(index * interval_millis * 1_000),
        );
        tables.add_chain_load(&chain, SIZE.total);
    }
    (tables, chain)
}

/// Asks for room with a latency target of one second, and queues if there is none.
fn queue(tables: &mut ForwardTables, name: &str, priority: u8, content: u64) -> Option<QueuePlace> {
    let service = service();
    let rank = rank(priority, content);
    let query = RoomQuery { service: &service, size: SIZE, avoided: &[], rank };
    let (choice, decision) = tables.admit_to_chain(&query, &settings(), NOW);
    assert!(choice.is_none(), "there is no room");
    let decision = decision.expect("priorities differ");
    let due = NOW + Duration::from_secs(1);
    tables.queue_stream(&query, Some(&workspace(name)), &decision, due, &settings(), NOW)
}

fn granted(place: &mut QueuePlace) -> Option<ChainChoice> {
    place.granted.try_recv().ok()
}

fn running(tables: &ForwardTables) -> u64 {
    tables.loads.get(&engine()).token_layers / (SIZE.total.0 * u64::from(LAYERS.count()))
}

#[test]
fn released_room_goes_to_the_most_urgent_stream_that_waits() {
    let (mut tables, chain) = full_tables(10);
    let mut relaxed = queue(&mut tables, "w1", 2, 1).expect("a place");
    let mut urgent = queue(&mut tables, "w1", 0, 2).expect("a place");
    let full = running(&tables);
    assert!(granted(&mut urgent).is_none());
    tables.release_chain(&chain, SIZE.total, &settings(), NOW);
    assert!(granted(&mut urgent).is_some());
    assert!(granted(&mut relaxed).is_none());
    assert_eq!(running(&tables), full, "the room is reserved at once");
}

#[test]
fn a_stream_waits_only_if_it_can_still_be_on_time() {
    // Guards against requests that are held and refused later.
    let (mut slow, _) = full_tables(600);
    assert!(queue(&mut slow, "w1", 0, 1).is_none(), "room is expected too late");
    let (mut quick, _) = full_tables(10);
    let place = queue(&mut quick, "w1", 0, 1).expect("a place");
    assert!(place.latest < NOW + Duration::from_secs(1));
    let mut unknown = full_tables(10).0;
    unknown.releases.forget(&service());
    assert!(queue(&mut unknown, "w1", 0, 1).is_none(), "nothing to estimate from");
}

#[test]
fn room_is_not_kept_for_a_caller_that_disconnected() {
    let (mut tables, chain) = full_tables(10);
    let full = running(&tables);
    drop(queue(&mut tables, "w1", 0, 1).expect("a place"));
    let mut next = queue(&mut tables, "w1", 0, 2).expect("a place");
    tables.release_chain(&chain, SIZE.total, &settings(), NOW);
    assert!(granted(&mut next).is_some());
    assert_eq!(running(&tables), full);
    let left = queue(&mut tables, "w1", 0, 3).expect("a place");
    tables.leave_queue(&service(), &left.id);
    tables.release_chain(&chain, SIZE.total, &settings(), NOW);
    assert_eq!(running(&tables), full - 1);
}

#[test]
fn a_flooding_workspace_keeps_no_other_out_of_the_queue() {
    let (mut tables, chain) = full_tables(1);
    let flood: Vec<_> = (0..200).filter_map(|index| queue(&mut tables, "w1", 1, index)).collect();
    assert!(flood.len() <= 64, "the queue is bounded: {}", flood.len());
    let mut other = queue(&mut tables, "w2", 1, 1_000).expect("a place");
    for _ in 0..2 {
        tables.release_chain(&chain, SIZE.total, &settings(), NOW);
    }
    assert!(granted(&mut other).is_some(), "the other workspace has every second turn");
}

#[test]
fn less_urgent_streams_give_way_in_a_full_queue() {
    let (mut tables, _) = full_tables(1);
    let mut flood: Vec<_> =
        (0..200).filter_map(|index| queue(&mut tables, "w1", 2, index)).collect();
    assert_eq!(flood.len(), 64);
    let _urgent = queue(&mut tables, "w2", 0, 1_000).expect("a place");
    let closed = |place: &mut QueuePlace| {
        matches!(place.granted.try_recv(), Err(tokio::sync::oneshot::error::TryRecvError::Closed))
    };
    assert_eq!(flood.iter_mut().filter_map(|place| closed(place).then_some(())).count(), 1);
}

#[test]
fn streams_that_return_on_time_precede_new_ones_of_their_priority() {
    let (mut tables, chain) = full_tables(10);
    let service = service();
    let rank = rank(1, 7);
    let query = RoomQuery { service: &service, size: SIZE, avoided: &[], rank };
    let before = Moment(NOW.0 - 500_000);
    let (_, decision) = tables.admit_to_chain(&query, &settings(), before);
    let decision = decision.expect("priorities differ");
    let planned = tables.plan_return(&query, &decision, Duration::from_secs(5), before);
    assert!(planned.wait <= Duration::from_millis(500), "{planned:?}");
    let mut new = queue(&mut tables, "w1", 1, 8).expect("a place");
    let mut returned = queue(&mut tables, "w1", 1, 7).expect("a place");
    tables.release_chain(&chain, SIZE.total, &settings(), NOW);
    assert!(granted(&mut returned).is_some());
    assert!(granted(&mut new).is_none());
}
