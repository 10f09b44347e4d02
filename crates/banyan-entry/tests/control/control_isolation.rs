//! When an isolated instance refuses requests, and when it keeps serving without the log.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::support::operator_status;
use crate::support::read_status;
use crate::support::start_booking;
use crate::support::start_entries;
use crate::support::start_platform;
use crate::support::until;
use banyan_core::units::Moment;
use banyan_entry::daemon::RunningEntry;
use banyan_entry::isolation::ISOLATION_BOUND;
use banyan_entry::isolation::is_isolated;
use banyan_entry::peers::PeerTable;
use banyan_standin::fault::PlatformFault;
use banyan_wire::peer::PeerDigest;

/// Waits until the log was unreachable for 1.5 times the isolation bound.
async fn until_log_is_long_unreachable(entry: &RunningEntry) {
    until("a long outage", || {
        let read_at = entry.state.folds.tables().configuration_read_at().unwrap();
        entry.state.now().since(read_at) > ISOLATION_BOUND + ISOLATION_BOUND / 2
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_hears_nobody_takes_no_requests_until_it_does() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let mut entries = start_entries(2, platform.address, booking.address).await;
    drop(entries.pop());
    let entry = &entries[0];
    platform.fault(PlatformFault::Outage { reads: true, appends: true });
    until("isolation", || is_isolated(&entry.state)).await;
    let (status, body) = read_status(entry).await;
    assert_eq!((status, body["error"]["type"].as_str()), (503, Some("isolated")), "{body}");
    assert_eq!(body["error"]["outcome"], "not-run");
    assert_eq!(operator_status(entry).await["ready"]["ready"], false);
    platform.fault(PlatformFault::Outage { reads: false, appends: false });
    until("the end of isolation", || !is_isolated(&entry.state)).await;
    assert_eq!(read_status(entry).await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_with_live_peers_keep_serving_during_a_log_outage() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(2, platform.address, booking.address).await;
    platform.fault(PlatformFault::Outage { reads: true, appends: true });
    for entry in &entries {
        until_log_is_long_unreachable(entry).await;
        assert!(!is_isolated(&entry.state));
        assert_eq!(read_status(entry).await.0, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_peers_goes_on_alone() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(1, platform.address, booking.address).await;
    platform.fault(PlatformFault::Outage { reads: true, appends: true });
    until_log_is_long_unreachable(&entries[0]).await;
    assert_eq!(read_status(&entries[0]).await.0, 200);
}

#[test]
fn silent_peer_is_removed_only_if_a_current_list_does_not_name_it() {
    let settings = crate::support::settings("e-1", "127.0.0.1:9".parse().unwrap(), &[]);
    let mut table = PeerTable::from_settings(&settings);
    let digest = PeerDigest { instance: "e-2".into(), ..PeerDigest::default() };
    table.note_digest(&digest, Some("127.0.0.1:10".parse().unwrap()), Moment(0));
    let minutes = |count: u64| Moment(0) + Duration::from_secs(60 * count);
    // Without the list, this instance may be the partitioned one.
    table.forget_gone(minutes(5));
    assert_eq!(table.rows.len(), 1);
    table.note_listed(BTreeMap::new(), minutes(6));
    table.forget_gone(minutes(6));
    assert_eq!(table.rows.len(), 0);
}
