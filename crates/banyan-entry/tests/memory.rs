//! Resident memory and descriptors of an entry under clients that send or read too slowly, too much
//! or not at all.
//!
//! Each test starts the entry as a process and asserts only that it lives, that its resident memory
//! and its open descriptors stay within the defaults, and that it then answers an ordinary request.
//! The crowds and the bounds are fixed: they must not be changed to make a test pass.

mod support;

use std::iter;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::StatusCode;
use serde_json::json;
use support::SystemPlan;
use support::TOKEN;
use support::TestSystem;
use support::caller::call;
use support::process::EntryProcess;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// The memory of an entry whose settings name none, in MB.
const DEFAULT_MEMORY_MB: usize = 128;
/// The descriptors of an entry whose settings name none, without those for files.
const DEFAULT_SOCKETS: usize = 824;
/// The size of the largest body that an entry accepts.
const MAX_BODY_BYTES: usize = 1 << 20;
/// The number of clients that send bodies. Together these exceed the entry's memory.
const BODY_CLIENTS: usize = 160;
/// The number of clients that send no request. It is larger than the number of descriptors.
const SILENT_CLIENTS: usize = 900;
/// How much of a body is not sent.
const MISSING_BYTES: usize = 50_000;
/// The length of a large piece or chunk.
const LARGE_PIECE_BYTES: usize = 64 << 10;
/// The length of a very small chunk.
const SMALL_CHUNK_BYTES: usize = 16;
/// What is sent in very small chunks.
const SMALL_CHUNKS_BYTES: usize = 512 << 10;
/// What is sent of a message to a peer; the entry accepts larger ones.
const MESSAGE_BYTES: usize = 1 << 20;
/// The time for which a client tries to send one piece. After it the entry reads no more of it.
const SEND_LIMIT: Duration = Duration::from_secs(4);
/// The time within which an ordinary request is answered after it was asked again and again.
/// Exceeding it means that the entry hangs.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// The time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// The time between two looks at the entry's memory while it settles.
const SETTLE_INTERVAL: Duration = Duration::from_millis(700);
/// The most looks at the entry's memory while it settles.
const SETTLE_CHECKS: u32 = 20;

/// Held by the test that runs, since the tests measure one process at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Opens connections and sends the pieces on all of them at the same rate. The connections stay
/// open until they are dropped.
async fn run_crowd(
    address: SocketAddr,
    clients: usize,
    pieces: impl IntoIterator<Item = Bytes>,
) -> Vec<Option<TcpStream>> {
    let connecting = (0..clients).map(|_| async move {
        let stream = tokio::time::timeout(SEND_LIMIT, TcpStream::connect(address)).await;
        stream.ok().and_then(Result::ok)
    });
    let mut streams = join_all(connecting).await;
    let mut stopped = vec![false; clients];
    for piece in pieces {
        let sending = streams.iter_mut().zip(&mut stopped).map(|(stream, stopped)| {
            let piece = piece.clone();
            async move {
                let Some(stream) = stream.as_mut().filter(|_| !*stopped) else { return };
                let sent = tokio::time::timeout(SEND_LIMIT, stream.write_all(&piece)).await;
                *stopped = !matches!(sent, Ok(Ok(())));
            }
        });
        join_all(sending).await;
    }
    streams
}

fn memory_kb(process: u32, name: &str) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with(name)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Waits until the entry has read what was sent, which shows in its memory, but not for ever.
async fn settle(entry: &EntryProcess) {
    let mut last = 0;
    for _ in 0..SETTLE_CHECKS {
        let now = memory_kb(entry.id(), "VmRSS");
        if now == last {
            return;
        }
        last = now;
        tokio::time::sleep(SETTLE_INTERVAL).await;
    }
}

async fn assert_within_limits(entry: &mut EntryProcess) {
    settle(entry).await;
    assert!(entry.is_running(), "the entry ended");
    let (peak, now) = (memory_kb(entry.id(), "VmHWM"), memory_kb(entry.id(), "VmRSS"));
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", entry.id())).unwrap().count();
    eprintln!("peak {peak} kB, now {now} kB, {descriptors} descriptors");
    let limit = DEFAULT_MEMORY_MB * 1_000_000 / 1_024;
    assert!(peak <= limit, "resident memory reached {peak} kB of {limit} kB");
    assert!(now <= limit, "resident memory is {now} kB of {limit} kB");
    assert!(descriptors <= DEFAULT_SOCKETS, "{descriptors} descriptors, of {DEFAULT_SOCKETS}");
}

async fn assert_serves(entry: &EntryProcess) {
    let address = entry.caller_address;
    let deadline = tokio::time::Instant::now() + WAIT_LIMIT;
    loop {
        // A connection that the entry closes makes the call panic.
        let order = json!({"fitter": 7});
        let reply = tokio::spawn(async move { call(address, "status", None, &order).await }).await;
        if reply.as_ref().is_ok_and(|reply| reply.status == StatusCode::OK) {
            return;
        }
        assert!(tokio::time::Instant::now() < deadline, "no answer but {reply:?}");
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn assert_endures(
    address: impl Fn(&EntryProcess) -> SocketAddr,
    clients: usize,
    pieces: impl IntoIterator<Item = Bytes>,
) {
    let _turn = ONE_AT_A_TIME.lock().await;
    let system = TestSystem::start(SystemPlan { entries: 0, ..Default::default() }).await;
    let mut entry = EntryProcess::start("entry-1", system.platform.address).await;
    assert_serves(&entry).await;
    let crowd = run_crowd(address(&entry), clients, pieces).await;
    assert_within_limits(&mut entry).await;
    assert_serves(&entry).await;
    assert_within_limits(&mut entry).await;
    drop(crowd);
    assert_serves(&entry).await;
}

fn head(framing: &str) -> Bytes {
    Bytes::from(format!(
        "POST /v1/services/booking/status HTTP/1.1\r\nhost: entry\r\n\
         authorization: Bearer {TOKEN}\r\n{framing}\r\n\r\n"
    ))
}

fn chunks(total: usize, length: usize) -> Bytes {
    let chunk = format!("{length:x}\r\n{}\r\n", "x".repeat(length));
    Bytes::from(chunk.repeat(total / length))
}

fn unfinished_head(length: usize) -> Bytes {
    Bytes::from(format!("GET / HTTP/1.1\r\nhost: entry\r\nx: {}", "x".repeat(length)))
}

/// Pieces of a body that ends `MISSING_BYTES` before its announced end.
fn pieces(head: Bytes) -> impl Iterator<Item = Bytes> {
    let piece = Bytes::from(vec![b'x'; LARGE_PIECE_BYTES]);
    let count = (MAX_BODY_BYTES - MISSING_BYTES) / LARGE_PIECE_BYTES;
    iter::once(head).chain(iter::repeat_n(piece, count))
}

async fn assert_endures_bodies(pieces: impl IntoIterator<Item = Bytes>) {
    assert_endures(|entry| entry.caller_address, BODY_CLIENTS, pieces).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies_that_stop_short_of_their_end() {
    // Regression: nothing limited the sum of the bodies that are received at one time.
    let body = Bytes::from(vec![b'x'; MAX_BODY_BYTES - MISSING_BYTES]);
    assert_endures_bodies([head(&format!("content-length: {MAX_BODY_BYTES}")), body]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_pieces_that_stop_short() {
    assert_endures_bodies(pieces(head(&format!("content-length: {MAX_BODY_BYTES}")))).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_announce_more_than_the_limit() {
    assert_endures_bodies(pieces(head("content-length: 400000000"))).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_large_chunks_that_stop_short() {
    let count = (MAX_BODY_BYTES - MISSING_BYTES) / LARGE_PIECE_BYTES;
    let chunk = chunks(LARGE_PIECE_BYTES, LARGE_PIECE_BYTES);
    let chunks = iter::repeat_n(chunk, count);
    assert_endures_bodies(iter::once(head("transfer-encoding: chunked")).chain(chunks)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_very_small_chunks_that_stop_short() {
    let chunks = chunks(SMALL_CHUNKS_BYTES, SMALL_CHUNK_BYTES);
    assert_endures_bodies([head("transfer-encoding: chunked"), chunks]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_over_the_limit_without_announcement() {
    let chunk = chunks(LARGE_PIECE_BYTES, LARGE_PIECE_BYTES);
    let chunks = iter::repeat_n(chunk, 3 * MAX_BODY_BYTES / LARGE_PIECE_BYTES);
    assert_endures_bodies(iter::once(head("transfer-encoding: chunked")).chain(chunks)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_of_callers() {
    // Regression: nothing limited the number of connections.
    assert_endures(|entry| entry.caller_address, SILENT_CLIENTS, []).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_heads_of_callers_that_stop_short() {
    let head = unfinished_head(390_000);
    assert_endures(|entry| entry.caller_address, SILENT_CLIENTS, [head]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_heads_of_operators_that_stop_short() {
    let head = unfinished_head(390_000);
    assert_endures(|entry| entry.operator_address, SILENT_CLIENTS, [head]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn messages_of_peers_that_stop_short() {
    let mut message = (MESSAGE_BYTES as u32 + 1).to_be_bytes().to_vec();
    message.resize(MESSAGE_BYTES, 0);
    assert_endures(|entry| entry.peer_address, SILENT_CLIENTS, [Bytes::from(message)]).await;
}
