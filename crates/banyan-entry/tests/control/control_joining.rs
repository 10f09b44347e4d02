//! How an instance restores its state at startup and after retention removed unread entries.

use std::time::Duration;

use serde_json::json;

use crate::support::FaultyLink;
use crate::support::append;
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
use banyan_core::event::EventKind;
use banyan_core::fold::ConfigurationFold;
use banyan_core::fold::checkpoint_facts;
use banyan_core::ids::LogOffset;
use banyan_core::record::StreamId;
use banyan_core::units::WallMillis;
use banyan_entry::checkpoints::write_checkpoint;
use banyan_standin::fault::ConnectionFault;
use banyan_standin::fault::PlatformFault;
use banyan_wire::checkpoint::encode_configuration;
use banyan_wire::log::decode_entry;
use banyan_wire::log::encode_facts;

/// The time within which an accepted configuration must be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(9);

/// Folds the configuration entries with offsets below `end` and encodes them as a checkpoint body.
pub fn folded_body(truth: &banyan_standin::truth::PlatformTruth, end: u64) -> Vec<u8> {
    let mut fold = ConfigurationFold::new(banyan_config::merge_files);
    let rows = truth.appends.iter().filter(|row| row.stream == "configuration");
    for row in rows.filter(|row| row.offset < end) {
        let at = WallMillis(row.at_ms);
        fold.apply(&decode_entry(LogOffset(row.offset), at, row.body.as_bytes()).unwrap());
    }
    encode_configuration(fold.snapshot()).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn starts_from_a_checkpoint_when_retention_passed_the_proposal() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let offset = propose(platform.address, "p-1", 0, &declaration(booking.address)).await;
    let body = folded_body(&platform.truth(), offset + 1);
    let mut count = 0;
    let facts = checkpoint_facts(LogOffset(offset + 1), WallMillis(1), &body, 64, || {
        count += 1;
        format!("c-{count}").parse().unwrap()
    });
    assert!(facts.len() > 1);
    for fact in facts {
        let body = serde_json::from_slice(&encode_facts(&[fact])).unwrap();
        append(platform.address, "configuration", body).await;
    }
    platform.fault(PlatformFault::Trim { stream: "configuration".into(), first: offset + 1 });

    let entry = start_entry("e-1", platform.address, &[]).await;
    until_revision(&entry.state, offset + 1).await;
    assert_eq!(operator_status(&entry).await["log"]["started_from"], "checkpoint");
    // The instance also folds the entries after the checkpoint.
    let second = propose(platform.address, "p-2", offset + 1, &declaration(booking.address)).await;
    until_revision(&entry.state, second + 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_starts_in_an_outage_takes_a_peers_state() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let first = start_entry("e-1", platform.address, &[]).await;
    let offset = propose(platform.address, "p-1", 0, &declaration(booking.address)).await;
    until_revision(&first.state, offset + 1).await;
    platform.fault(PlatformFault::Outage { reads: true, appends: true });

    let second = start_entry("e-2", platform.address, &[first.peer_address]).await;
    until_revision(&second.state, offset + 1).await;
    assert_eq!(operator_status(&second).await["log"]["started_from"], "peer e-1");
    platform.fault(PlatformFault::Outage { reads: false, appends: false });
    let next = propose(platform.address, "p-2", offset + 1, &declaration(booking.address)).await;
    until_revision(&second.state, next + 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_behind_retention_adopts_a_peers_state_and_never_regresses() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let text = declaration(booking.address);
    let link = FaultyLink::to(platform.address).await;
    let ahead = start_entry("e-1", platform.address, &[]).await;
    let behind = start_entry("e-2", link.address, &[]).await;
    let offset = propose(platform.address, "p-1", 0, &text).await;
    until_revision(&ahead.state, offset + 1).await;
    until_revision(&behind.state, offset + 1).await;

    link.set_open(false);
    let mut base = offset + 1;
    for id in ["p-2", "p-3"] {
        base = propose(platform.address, id, base, &text).await + 1;
    }
    until_revision(&ahead.state, base).await;
    platform.fault(PlatformFault::Trim { stream: "configuration".into(), first: base });
    behind.state.tables().peers.unidentified_addresses.insert(ahead.peer_address);
    link.set_open(true);
    until_revision(&behind.state, base).await;
    let last = propose(platform.address, "p-4", base, &text).await + 1;
    until_revision(&behind.state, last).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_retention_passed_goes_on_from_a_checkpoint() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let text = declaration(booking.address);
    let link = FaultyLink::to(platform.address).await;
    platform.fault(PlatformFault::InstanceOutage { out: true });
    let writer = start_entry("e-1", platform.address, &[]).await;
    let behind = start_entry("e-2", link.address, &[]).await;
    let mut base = propose(platform.address, "p-1", 0, &text).await + 1;
    until_revision(&behind.state, base).await;
    link.set_open(false);
    for id in ["p-2", "p-3"] {
        base = propose(platform.address, id, base, &text).await + 1;
    }
    until_revision(&writer.state, base).await;
    write_checkpoint(&writer.state, StreamId::Configuration).await.unwrap();
    platform.fault(PlatformFault::Trim { stream: "configuration".into(), first: base });
    link.set_open(true);
    until_revision(&behind.state, base).await;
    assert_eq!(operator_status(&behind).await["log"]["started_from"], "checkpoint");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_comes_into_force_in_time_although_the_log_is_slow() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entry = start_entry("e-1", platform.address, &[]).await;
    let first = propose(platform.address, "p-1", 0, &declaration(booking.address)).await + 1;
    until_revision(&entry.state, first).await;
    until("all streams", || entry.state.folds.tables().log_reachable()).await;
    platform.fault(PlatformFault::Slow { delay_ms: 1_500 });
    // Reads that started before the fault have ended once a read has failed.
    until("a read that failed", || !events(&entry, EventKind::LogLost).is_empty()).await;
    let text = declaration(booking.address);
    let second = propose(platform.address, "p-2", first, &text).await + 1;
    let in_force = tokio::time::timeout(IN_FORCE_LIMIT, until_revision(&entry.state, second));
    assert!(in_force.await.is_ok(), "the revision is not in force in time");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_comes_into_force_in_time_although_connections_went_silent() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(2, platform.address, booking.address).await;
    let mut base = entries[0].state.folds.tables().configuration.revision.0;
    for id in ["p-2", "p-3"] {
        platform.fault(PlatformFault::Connection(ConnectionFault::Silence));
        base = propose(platform.address, id, base, &declaration(booking.address)).await + 1;
        for entry in &entries {
            let in_force = until_revision(&entry.state, base);
            let in_force = tokio::time::timeout(IN_FORCE_LIMIT, in_force).await;
            assert!(in_force.is_ok(), "the revision is not in force in time");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn all_instances_restarted_at_once_after_retention_find_the_checkpoints() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let mut base = 0;
    for id in 0..5 {
        let text = declaration(booking.address);
        base = propose(platform.address, &format!("p-{id}"), base, &text).await + 1;
    }
    let entry = start_entry("e-1", platform.address, &[]).await;
    until_revision(&entry.state, base).await;
    write_checkpoint(&entry.state, StreamId::Configuration).await.unwrap();
    drop(entry);
    platform.fault(PlatformFault::Trim { stream: "configuration".into(), first: base });

    let mut entries = Vec::new();
    for name in ["e-1", "e-2", "e-3"] {
        entries.push(start_entry(name, platform.address, &[]).await);
    }
    for entry in &entries {
        until_revision(&entry.state, base).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_state_that_is_gone_everywhere_is_not_made_up() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let offset = propose(platform.address, "p-1", 0, &declaration(booking.address)).await;
    let empty = json!({ "format": 1, "facts": [] });
    append(platform.address, "configuration", empty).await;
    platform.fault(PlatformFault::Trim { stream: "configuration".into(), first: offset + 1 });
    let entry = start_entry("e-1", platform.address, &[]).await;
    let status = async {
        loop {
            let status = operator_status(&entry).await;
            if status["log"]["started_from"].as_str().is_some_and(|text| text.contains("gone")) {
                return status;
            }
            tokio::task::yield_now().await;
        }
    };
    let status = tokio::time::timeout(Duration::from_secs(20), status).await.unwrap();
    assert_eq!(status["ready"]["ready"], false);
    until("nothing in force", || entry.state.tables().revision.0 == 0).await;
}
