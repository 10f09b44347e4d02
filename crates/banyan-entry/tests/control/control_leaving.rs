//! A target with any sign of leaving gets no new work, and gets work again when it returns.

use http::Method;
use tokio::time::Duration;

use crate::support::FaultyLink;
use crate::support::events;
use crate::support::read_status;
use crate::support::send;
use crate::support::start_booking;
use crate::support::start_entries;
use crate::support::start_entry;
use crate::support::start_platform;
use crate::support::until;
use crate::support::until_revision;
use crate::support::usable_peers;
use banyan_core::event::EventKind;
use banyan_entry::daemon::RunningEntry;
use banyan_standin::fault::PlatformFault;
use banyan_standin::platform::PlatformHandle;
use banyan_wire::platform::InstanceRole;
use banyan_wire::platform::InstanceState;
use banyan_wire::platform::InstanceWire;

/// The time after the first sign of leaving within which new work to a target must stop.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

fn announce(platform: &PlatformHandle, state: InstanceState) {
    platform.announce(InstanceWire {
        name: "booking-1".into(),
        role: InstanceRole::Target,
        state,
        zone: "gebze".into(),
        caller_address: None,
        peer_address: None,
        operator_address: None,
    });
}

fn is_leaving(entry: &RunningEntry) -> bool {
    entry.state.tables().targets.rows.values().any(|row| row.leaving.any())
}

/// Waits until a target counts as leaving; fails after [`LEAVING_LIMIT`].
async fn until_leaving(entry: &RunningEntry) {
    let waited = tokio::time::timeout(LEAVING_LIMIT, until("leaving", || is_leaving(entry)));
    assert!(waited.await.is_ok(), "the target still gets work");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_listed_as_leaving_gets_no_work_until_it_is_listed_as_live() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(1, platform.address, booking.address).await;
    let entry = &entries[0];
    announce(&platform, InstanceState::Live);
    assert_eq!(read_status(entry).await.0, 200);
    announce(&platform, InstanceState::Leaving);
    until_leaving(entry).await;
    let (status, body) = read_status(entry).await;
    assert_eq!((status, body["error"]["type"].as_str()), (503, Some("no_target")), "{body}");
    until("the event", || events(entry, EventKind::TargetLeaving).len() == 1).await;

    // An outage of the list does not undo that the target is leaving.
    platform.fault(PlatformFault::InstanceOutage { out: true });
    announce(&platform, InstanceState::Live);
    assert_eq!(read_status(entry).await.0, 503);
    platform.fault(PlatformFault::InstanceOutage { out: false });
    until("the return", || !is_leaving(entry)).await;
    assert_eq!(read_status(entry).await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn delisted_target_is_leaving_and_a_never_listed_one_is_not() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(1, platform.address, booking.address).await;
    let entry = &entries[0];
    assert_eq!(read_status(entry).await.0, 200);
    announce(&platform, InstanceState::Live);
    // A target that was never listed does not count as leaving, so the test waits for the listing.
    until("the list", || entry.state.tables().leaving.is_known_target("booking-1")).await;
    let path = "/instances/booking-1";
    send(Method::DELETE, platform.address, path, &[], String::new()).await;
    until_leaving(entry).await;
    announce(&platform, InstanceState::Live);
    until("the return", || !is_leaving(entry)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn peer_report_of_leaving_reaches_an_instance_without_the_list() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(1, platform.address, booking.address).await;
    let link = FaultyLink::to(platform.address).await;
    let cut = start_entry("e-9", link.address, &[entries[0].peer_address]).await;
    let revision = entries[0].state.tables().revision.0;
    until_revision(&cut.state, revision).await;
    until("the peers", || usable_peers(&cut) == 1 && usable_peers(&entries[0]) == 1).await;
    link.set_open(false);
    announce(&platform, InstanceState::Leaving);
    until_leaving(&cut).await;
    assert_eq!(read_status(&cut).await.0, 503);
    announce(&platform, InstanceState::Live);
    until("the return", || !is_leaving(&cut)).await;
    assert_eq!(read_status(&cut).await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn own_report_of_leaving_overrides_a_stale_list() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(1, platform.address, booking.address).await;
    announce(&platform, InstanceState::Live);
    platform.fault(PlatformFault::InstanceLag { lag_ms: 600_000 });
    let leaving = |leaving| banyan_standin::fault::ServiceFault::Leaving { leaving };
    booking.fault(leaving(true));
    until_leaving(&entries[0]).await;
    booking.fault(leaving(false));
    until("the return", || !is_leaving(&entries[0])).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_list_does_not_undo_leaving() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(1, platform.address, booking.address).await;
    let entry = &entries[0];
    announce(&platform, InstanceState::Live);
    announce(&platform, InstanceState::Leaving);
    until_leaving(entry).await;
    platform.fault(PlatformFault::InstanceLag { lag_ms: 600_000 });
    // The stale list is read several times during this wait.
    let seen = entry.state.now();
    until("some reads of the list", || entry.state.now().since(seen) > LEAVING_LIMIT).await;
    assert!(is_leaving(entry));
    assert_eq!(read_status(entry).await.0, 503);
}
