//! How instances find each other, exchange digests and read the log through each other.

use crate::support::FaultyLink;
use crate::support::book;
use crate::support::declaration;
use crate::support::events;
use crate::support::operator_status;
use crate::support::propose;
use crate::support::start_booking;
use crate::support::start_entries;
use crate::support::start_entry;
use crate::support::start_platform;
use crate::support::until;
use crate::support::until_revision;
use crate::support::usable_peers;
use banyan_core::event::EventKind;
use banyan_standin::fault::PlatformFault;

#[tokio::test(flavor = "multi_thread")]
async fn dead_peer_is_suspected_and_its_restart_is_trusted() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let mut entries = start_entries(3, platform.address, booking.address).await;
    drop(entries.pop());
    until("the suspicion", || {
        events(&entries[0], EventKind::PeerSuspected).contains(&"e-3".into())
    })
    .await;
    let status = operator_status(&entries[0]).await;
    let peers = status["peers"].as_array().unwrap();
    let states: Vec<_> = peers.iter().map(|peer| (&peer["peer"], &peer["state"])).collect();
    assert_eq!(states.len(), 2);
    assert!(states.contains(&(&"e-2".into(), &"trusted".into())), "{states:?}");
    assert!(states.contains(&(&"e-3".into(), &"suspected".into())), "{states:?}");

    let again = start_entry("e-3", platform.address, &[]).await;
    until("trust", || usable_peers(&entries[0]) == 2 && usable_peers(&again) == 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_peer_is_reported_as_leaving_and_removed() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let mut entries = start_entries(2, platform.address, booking.address).await;
    let stopping = entries.pop().unwrap();
    let stop = tokio::spawn(stopping.shutdown());
    until("the peer to be leaving", || {
        entries[0].state.tables().peers.rows.values().any(|row| row.leaving())
    })
    .await;
    stop.await.unwrap();
    until("the removal of the peer", || entries[0].state.tables().peers.rows.is_empty()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_cut_off_from_the_log_gets_configuration_and_claims_through_peers() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(2, platform.address, booking.address).await;
    let link = FaultyLink::to(platform.address).await;
    let cut = start_entry("e-9", link.address, &[entries[0].peer_address]).await;
    let mut base = entries[0].state.tables().revision.0;
    until_revision(&cut.state, base).await;
    until("the peers", || usable_peers(&cut) == 2 && usable_peers(&entries[1]) == 2).await;
    until("all streams", || cut.state.folds.tables().log_reachable()).await;
    link.set_open(false);
    until("the loss of the log", || !events(&cut, EventKind::LogLost).is_empty()).await;
    for id in ["p-2", "p-3"] {
        base = propose(platform.address, id, base, &declaration(booking.address)).await + 1;
        until_revision(&cut.state, base).await;
    }
    // All streams are relayed by peers.
    until("the relay", || {
        let now = cut.state.now();
        let folds = cut.state.folds.tables();
        banyan_entry::tables::fold_hub::all_streams().all(|stream| folds.is_receiving(stream, now))
    })
    .await;
    for number in 0..16 {
        let key = format!("k-{number}");
        let (status, body) = book(&cut, &key, 8000).await;
        assert_eq!((status, body["run"].as_u64()), (200, Some(1)), "{key}: {body}");
        let (status, body) = book(&entries[1], &key, 8000).await;
        assert_eq!((status, body["run"].as_u64()), (200, Some(1)), "{key}: {body}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_peer_connection_is_replaced() {
    let platform = start_platform().await;
    platform.fault(PlatformFault::InstanceOutage { out: true });
    let far = start_entry("e-1", platform.address, &[]).await;
    let link = FaultyLink::to(far.peer_address).await;
    let near = start_entry("e-2", platform.address, &[link.address]).await;
    until("trust", || usable_peers(&near) == 1).await;
    link.freeze();
    let frozen_at = near.state.now();
    until("a digest on a new connection", || {
        near.state.tables().peers.last_heard().is_some_and(|heard| {
            heard.since(frozen_at) > banyan_entry::peers::EXCHANGE_INTERVAL * 2
        })
    })
    .await;
}
