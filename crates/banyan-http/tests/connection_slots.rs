//! Which connection is closed when all slots are in use.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;

use banyan_core::units::ByteCount;
use banyan_http::connection_slots::ConnectionSlots;
use banyan_http::connection_slots::RequestGuard;
use banyan_http::tracked_body::TrackedBody;

/// The time in which a notification that was sent is received.
const SHORT_TIME: Duration = Duration::from_millis(10);

#[tokio::test(start_paused = true)]
async fn an_answer_that_is_being_sent_keeps_its_connection() {
    // Regression: a connection counted as idle once the head of its answer existed. At the limit,
    // the longest running stream was closed for the sake of a new connection.
    let slots = ConnectionSlots::new("callers", 2, ByteCount(u64::MAX));
    let sending = slots.admit(|| false).await.expect("a slot");
    let idle = slots.admit(|| false).await.expect("a slot");
    let request = RequestGuard::begin(sending.clone());
    let mut body = TrackedBody::new(Full::new(Bytes::from_static(b"event")), Some(request));
    let frame = body.frame().await.expect("a frame").expect("no error");
    drop(body);
    drop(RequestGuard::begin(idle.clone()));
    assert!(tokio::time::timeout(SHORT_TIME, slots.admit(|| false)).await.is_err());
    assert!(tokio::time::timeout(SHORT_TIME, idle.must_end()).await.is_ok());
    assert!(tokio::time::timeout(SHORT_TIME, sending.must_end()).await.is_err());
    drop(idle);
    assert!(slots.admit(|| false).await.is_some());
    drop(frame);
}

#[tokio::test(start_paused = true)]
async fn a_connection_whose_answers_were_sent_gives_way() {
    // Guards against requests that stay in progress for ever, which would refuse new connections.
    let slots = ConnectionSlots::new("callers", 1, ByteCount(u64::MAX));
    let first = slots.admit(|| false).await.expect("a slot");
    let request = RequestGuard::begin(first.clone());
    let body = TrackedBody::new(Full::new(Bytes::from_static(b"answer")), Some(request));
    drop(body.collect().await.expect("no error").to_bytes());
    assert!(tokio::time::timeout(SHORT_TIME, slots.admit(|| false)).await.is_err());
    assert!(tokio::time::timeout(SHORT_TIME, first.must_end()).await.is_ok());
}
