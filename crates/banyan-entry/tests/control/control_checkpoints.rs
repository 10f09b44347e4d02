//! Running instances write checkpoints, so that retention never removes entries that a starting
//! instance needs.

use http::Method;
use serde_json::json;

use crate::support::events;
use crate::support::operator_status;
use crate::support::start_booking;
use crate::support::start_entries;
use crate::support::start_entry;
use crate::support::start_platform;
use crate::support::until;
use crate::support::until_revision;
use banyan_core::event::EventKind;
use banyan_standin::fault::PlatformFault;

/// More entries than may follow a checkpoint before the next one is due.
const ENTRIES: usize = 2_100;

#[tokio::test(flavor = "multi_thread")]
async fn new_instance_starts_from_a_checkpoint_written_after_many_entries() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(2, platform.address, booking.address).await;
    platform.fault(PlatformFault::AppendRate { per_second: 1_000_000 });
    let client = banyan_http::client::JsonClient::new(std::time::Duration::from_secs(5));
    let body = bytes::Bytes::from(json!({ "format": 1, "facts": [] }).to_string());
    let mut last = 0;
    for _ in 0..ENTRIES {
        let path = "/log/configuration";
        let answer = client.send(Method::POST, platform.address, path, body.clone()).await.unwrap();
        let answer: serde_json::Value = serde_json::from_slice(&answer).unwrap();
        last = answer["offset"].as_u64().unwrap();
    }
    let written = || {
        let all = entries.iter().flat_map(|entry| events(entry, EventKind::Checkpoint));
        all.filter(|detail| detail.starts_with("configuration before")).count()
    };
    until("a checkpoint", || written() >= 1).await;
    let appends = platform.truth().appends;
    let checkpoint = appends.iter().rev().find(|row| row.body.contains("\"checkpoint\"")).unwrap();
    let body: serde_json::Value = serde_json::from_str(&checkpoint.body).unwrap();
    let next = body["facts"][0]["next"].as_u64().unwrap();
    assert!(next <= last + 1);
    platform.fault(PlatformFault::Trim { stream: "configuration".into(), first: next });

    let revision = entries[0].state.tables().revision.0;
    let joined = start_entry("e-9", platform.address, &[]).await;
    until_revision(&joined.state, revision).await;
    assert_eq!(operator_status(&joined).await["log"]["started_from"], "checkpoint");
}
