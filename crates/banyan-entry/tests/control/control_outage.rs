//! At-most-once calls while the log rejects appends, loses answers or is slow.

use futures::future::join_all;
use serde_json::Value;

use crate::support::book;
use crate::support::book_at;
use crate::support::read_status;
use crate::support::start_booking;
use crate::support::start_entries;
use crate::support::start_platform;
use crate::support::until;
use banyan_core::ids::RecordId;
use banyan_core::record::CLAIM_PARTITIONS;
use banyan_core::record::ClaimKey;
use banyan_core::record::FactBody;
use banyan_core::record::LogFact;
use banyan_core::record::StreamId;
use banyan_entry::platform::PlatformClient;
use banyan_entry::writer::LogWriter;
use banyan_standin::fault::ConnectionFault;
use banyan_standin::fault::LossKind;
use banyan_standin::fault::PlatformFault;
use banyan_standin::fault::ServiceFault;
use banyan_standin::platform::PlatformHandle;
use banyan_standin::service::ServiceHandle;

fn runs(booking: &ServiceHandle, key: &str) -> u64 {
    let body = serde_json::json!({ "for": key }).to_string();
    booking.runs_by_body().get(&body).copied().unwrap_or(0)
}

fn facts(platform: &PlatformHandle, kind: &str, key: &str) -> usize {
    let appends = platform.truth().appends;
    let bodies = appends.iter().filter_map(|row| serde_json::from_str::<Value>(&row.body).ok());
    let facts = bodies.flat_map(|body| body["facts"].as_array().cloned().unwrap_or_default());
    facts.filter(|fact| fact["kind"] == kind && fact["key"] == key).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn during_an_append_outage_a_keyed_call_is_not_run_now_or_later() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(2, platform.address, booking.address).await;
    platform.fault(PlatformFault::Outage { reads: false, appends: true });
    for entry in &entries {
        let (status, body) = book(entry, "k-1", 8000).await;
        assert_eq!((status, &body["error"]["outcome"]), (503, &Value::from("not-run")), "{body}");
        assert_eq!(read_status(entry).await.0, 200);
    }
    platform.fault(PlatformFault::Outage { reads: false, appends: false });
    until("the releases", || facts(&platform, "release", "k-1") >= 2).await;
    assert_eq!(runs(&booking, "k-1"), 0);
    until("no open claim", || entries.iter().all(|entry| entry.state.outbox.is_empty())).await;
    let mut status = 503;
    while status == 503 {
        status = book(&entries[0], "k-1", 8000).await.0;
    }
    assert_eq!((status, runs(&booking, "k-1")), (200, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_lands_after_its_call_was_refused_is_never_sent() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(1, platform.address, booking.address).await;
    platform.fault(PlatformFault::LateAppends { count: 3, delay_ms: 400 });
    let (status, body) = book(&entries[0], "k-1", 8000).await;
    assert_eq!((status, &body["error"]["outcome"]), (503, &Value::from("not-run")), "{body}");
    until("the late claim", || facts(&platform, "claim", "k-1") >= 1).await;
    until("its release", || facts(&platform, "release", "k-1") >= 1).await;
    assert_eq!(runs(&booking, "k-1"), 0);
    let mut status = 503;
    while status == 503 {
        status = book(&entries[0], "k-1", 8000).await.0;
    }
    assert_eq!((status, runs(&booking, "k-1")), (200, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_append_answer_does_not_repeat_the_call() {
    for how in [LossKind::Cut, LossKind::Silent] {
        let platform = start_platform().await;
        let booking = start_booking().await;
        let entries = start_entries(2, platform.address, booking.address).await;
        for (number, entry) in entries.iter().enumerate() {
            platform.fault(PlatformFault::LoseAnswers { count: 1, how });
            let key = format!("k-{number}");
            let (status, body) = book(entry, &key, 8000).await;
            assert_eq!((status, runs(&booking, &key)), (200, 1), "{body}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn rate_limited_log_never_causes_a_second_run() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(3, platform.address, booking.address).await;
    platform.fault(PlatformFault::AppendRate { per_second: 8 });
    let keys: Vec<String> = (0..60).map(|number| format!("k-{number}")).collect();
    let calls = keys.iter().enumerate();
    let calls = calls.map(|(number, key)| book_at(entries[number % 3].caller_address, key, 8000));
    let answers = join_all(calls).await;
    for (key, (status, body)) in keys.iter().zip(answers) {
        let expected = match status {
            200 => 1,
            _ => {
                assert_eq!(body["error"]["outcome"], "not-run", "{body}");
                0
            }
        };
        assert_eq!(runs(&booking, key), expected, "{key}: {body}");
    }
    platform.fault(PlatformFault::AppendRate { per_second: 1000 });
    until("all facts", || entries.iter().all(|entry| entry.state.outbox.is_empty())).await;
    for key in &keys {
        assert_eq!(facts(&platform, "close", key) >= 1, runs(&booking, key) == 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_waits_until_the_end_of_a_call_is_in_the_log() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entry = start_entries(1, platform.address, booking.address).await.remove(0);
    booking.fault(ServiceFault::Slow { percent: 4000 });
    let caller = entry.caller_address;
    let call = tokio::spawn(async move { book_at(caller, "k-1", 8000).await });
    until("the dispatch", || {
        !crate::support::events(&entry, banyan_core::event::EventKind::Dispatched).is_empty()
    })
    .await;
    platform.fault(PlatformFault::Outage { reads: false, appends: true });
    let stop = tokio::spawn(entry.shutdown());
    assert_eq!(call.await.unwrap().0, 200);
    assert_eq!(facts(&platform, "close", "k-1"), 0);
    platform.fault(PlatformFault::Outage { reads: false, appends: false });
    stop.await.unwrap();
    assert!(facts(&platform, "close", "k-1") >= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_call_succeeds_after_all_log_connections_froze() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(2, platform.address, booking.address).await;
    // Many concurrent claims leave many idle connections to the log.
    let keys: Vec<String> = (0..100).map(|number| format!("k-{number}")).collect();
    let calls = keys.iter().enumerate();
    let calls = calls.map(|(number, key)| book_at(entries[number % 2].caller_address, key, 8000));
    assert!(join_all(calls).await.iter().all(|(status, _)| *status == 200));
    platform.fault(PlatformFault::Connection(ConnectionFault::Silence));
    for number in 0..16 {
        let key = format!("after-{number}");
        let (status, body) = book(&entries[number % 2], &key, 8000).await;
        assert_eq!((status, runs(&booking, &key)), (200, 1), "{key}: {body}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn timestamped_key_is_not_rejected_as_future_while_the_log_is_idle() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(1, platform.address, booking.address).await;
    platform.fault(PlatformFault::Outage { reads: false, appends: true });
    let key = uuid::Uuid::now_v7().to_string();
    let calls = [0, 1, 2].map(|_| book(&entries[0], &key, 8000));
    for (status, body) in join_all(calls).await {
        assert_eq!((status, body["error"]["type"].as_str()), (503, Some("log_away")), "{body}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_beyond_the_queue_limit_are_refused() {
    let platform = start_platform().await;
    platform.fault(PlatformFault::Outage { reads: true, appends: true });
    let writer = LogWriter::new(PlatformClient::new(platform.address));
    let until = tokio::time::Instant::now() + std::time::Duration::from_secs(600);
    let offer = |number: usize| {
        let key = ClaimKey { workspace: "w".parse().unwrap(), key: "k".parse().unwrap() };
        let id: RecordId = format!("r-{number}").parse().unwrap();
        let body = FactBody::Release { key, claim: id.clone() };
        writer.try_submit(StreamId::Claims(0), LogFact { id, body }, until)
    };
    let accepted = (0..10_000).take_while(|number| offer(*number).is_ok()).count();
    assert_eq!(accepted, 4_096);
    platform.fault(PlatformFault::Outage { reads: false, appends: false });
    crate::support::until("room in the queue", || offer(accepted).is_ok()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_of_a_newer_format_blocks_claims_but_not_repeatable_calls() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(1, platform.address, booking.address).await;
    let entry = &entries[0];
    for partition in 0..CLAIM_PARTITIONS {
        let stream = StreamId::Claims(partition).to_string();
        let newer = serde_json::json!({ "format": 99, "facts": [] });
        crate::support::append(platform.address, &stream, newer).await;
    }
    until("all claim streams to count as unreachable", || {
        let now = entry.state.now();
        let folds = entry.state.folds.tables();
        (0..CLAIM_PARTITIONS).all(|partition| !folds.is_receiving(StreamId::Claims(partition), now))
    })
    .await;
    let (status, body) = book(entry, "k-1", 8000).await;
    assert_eq!((status, &body["error"]["outcome"]), (503, &Value::from("not-run")), "{body}");
    assert_eq!(read_status(entry).await.0, 200);
    assert_eq!(runs(&booking, "k-1"), 0);
}
