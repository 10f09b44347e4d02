//! The status that an instance reports to operators.

use crate::control_joining::folded_body;
use crate::support::append;
use crate::support::declaration;
use crate::support::propose;
use crate::support::start_booking;
use crate::support::start_entries;
use crate::support::start_entry;
use crate::support::start_platform;
use crate::support::until;
use banyan_core::fold::checkpoint_facts;
use banyan_core::ids::LogOffset;
use banyan_core::units::Moment;
use banyan_core::units::WallMillis;
use banyan_entry::daemon::readiness;
use banyan_entry::operator::log_status;
use banyan_standin::fault::PlatformFault;
use banyan_wire::log::encode_facts;

#[tokio::test(flavor = "multi_thread")]
async fn read_during_a_status_request_counts_as_no_silence() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(1, platform.address, booking.address).await;
    let folds = entries[0].state.folds.tables();
    // The status samples the time first, so a stream may be read before it reads the folds.
    let status = log_status(&folds, Moment(0));
    assert_eq!(status.silent_ms, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_is_not_ready_before_it_has_read_what_came_after_its_checkpoint() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let text = declaration(booking.address);
    let first = propose(platform.address, "p-1", 0, &text).await + 1;
    let body = folded_body(&platform.truth(), first);
    let id = || "c-1".parse().unwrap();
    let facts = checkpoint_facts(LogOffset(first), WallMillis(1), &body, body.len(), id);
    let second = propose(platform.address, "p-2", first, &text).await + 1;
    let checkpoint = serde_json::from_slice(&encode_facts(&facts)).unwrap();
    append(platform.address, "configuration", checkpoint).await;
    // Slow reads separate the restore from the checkpoint from the read of later entries.
    platform.fault(PlatformFault::Slow { delay_ms: 150 });
    let entry = start_entry("e-1", platform.address, &[]).await;
    until("readiness", || readiness(&entry.state).ready).await;
    assert_eq!(entry.state.tables().revision.0, second);
}
