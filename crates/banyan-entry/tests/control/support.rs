//! Shared test helpers: a platform, a service, daemons, links with faults, and polled waits.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use serde_json::Value;
use serde_json::json;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use banyan_config::settings::EntrySettings;
use banyan_config::settings::parse_settings;
use banyan_core::event::EventKind;
use banyan_core::event::HybridStamp;
use banyan_core::serving::decisions::DecisionSet;
use banyan_entry::daemon::RunningEntry;
use banyan_entry::daemon::readiness;
use banyan_entry::daemon::start;
use banyan_entry::state::EntryState;
use banyan_http::client::plain_client;
use banyan_standin::platform;
use banyan_standin::platform::PlatformHandle;
use banyan_standin::platform::PlatformOptions;
use banyan_standin::service;
use banyan_standin::service::ServiceHandle;
use banyan_standin::service::ServiceOptions;

/// The bearer token of the declared workspace.
const TOKEN: &str = "quickstart-visits";
/// The timeout of every wait.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// The interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Starts a platform without faults.
pub async fn start_platform() -> PlatformHandle {
    platform::start(PlatformOptions::default()).await.unwrap()
}

/// Starts one replica of the booking service.
pub async fn start_booking() -> ServiceHandle {
    service::start(ServiceOptions { name: "booking-1".into(), ..Default::default() }).await.unwrap()
}

/// The settings of a daemon on ports chosen by the system.
pub fn settings(name: &str, platform: SocketAddr, peers: &[SocketAddr]) -> EntrySettings {
    let text = json!({
        "instance": name,
        "zone": "gebze",
        "caller_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "operator_address": "127.0.0.1:0",
        "platform_address": platform,
        "peers": peers,
        "drain_ms": 5000,
    });
    parse_settings("test", &text.to_string()).unwrap()
}

/// Starts a daemon with `peers` as peer addresses in its settings.
pub async fn start_entry(name: &str, platform: SocketAddr, peers: &[SocketAddr]) -> RunningEntry {
    start(settings(name, platform, peers), DecisionSet::product(), None).await.unwrap()
}

/// The text of a declaration with one booking service.
pub fn declaration(booking: SocketAddr) -> String {
    json!({
        "zones": [{ "name": "gebze", "region": "marmara" }],
        "workspaces": [{
            "name": "stable-visits",
            "token_digests": ["1ebbb15a0cb7b9915d106e1ae678d74a084a4e8ba7388411d5850f2e134b8367"],
            "share": 4,
            "priority": 6,
        }],
        "targets": [
            { "name": "booking-1", "address": booking, "zone": "gebze", "service": "booking" },
        ],
        "services": [{
            "name": "booking",
            "calls": [
                { "name": "book", "repeatable": false, "timeout_ms": 5000 },
                { "name": "status", "repeatable": true, "timeout_ms": 2000 },
            ],
        }],
    })
    .to_string()
}

/// Appends a body to a stream and returns its offset.
pub async fn append(platform: SocketAddr, stream: &str, body: Value) -> u64 {
    let (status, answer) =
        send(Method::POST, platform, &format!("/log/{stream}"), &[], body.to_string()).await;
    assert_eq!(status, 200, "{answer}");
    answer["offset"].as_u64().unwrap()
}

/// Proposes a declaration and returns the offset of the proposal.
pub async fn propose(platform: SocketAddr, id: &str, base: u64, text: &str) -> u64 {
    let fact = json!({
        "id": id, "kind": "proposal", "file": "main", "base": base, "author": "op", "text": text,
    });
    append(platform, "configuration", json!({ "format": 1, "facts": [fact] })).await
}

/// Books with an idempotency key and returns the HTTP status and the body.
pub async fn book(entry: &RunningEntry, key: &str, deadline_ms: u64) -> (u16, Value) {
    book_at(entry.caller_address, key, deadline_ms).await
}

/// Like [`book`], at the caller address of an entry.
pub async fn book_at(caller: SocketAddr, key: &str, deadline_ms: u64) -> (u16, Value) {
    let deadline = deadline_ms.to_string();
    let headers = [("idempotency-key", key), (banyan_wire::caller::DEADLINE_HEADER, &deadline)];
    let body = json!({ "for": key }).to_string();
    send(Method::POST, caller, "/v1/services/booking/book", &headers, body).await
}

/// Makes the repeatable `status` call of the booking service.
pub async fn read_status(entry: &RunningEntry) -> (u16, Value) {
    let path = "/v1/services/booking/status";
    send(Method::POST, entry.caller_address, path, &[], "{}".to_owned()).await
}

/// The status that the daemon reports to operators.
pub async fn operator_status(entry: &RunningEntry) -> Value {
    send(Method::GET, entry.operator_address, "/operator/status", &[], String::new()).await.1
}

/// Sends one HTTP request on a new connection.
pub async fn send(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> (u16, Value) {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .header("content-type", "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body))).unwrap();
    let answer = plain_client().request(request).await.unwrap();
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

/// Polls a condition until it holds.
pub async fn until(what: &str, mut reached: impl FnMut() -> bool) {
    let waited = tokio::time::timeout(WAIT_LIMIT, async {
        while !reached() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    assert!(waited.await.is_ok(), "timed out waiting for {what}");
}

/// Waits until a daemon has a revision in force.
pub async fn until_revision(state: &EntryState, revision: u64) {
    until("the revision", || state.tables().revision.0 >= revision).await;
}

/// Starts daemons on the same platform and waits until the declaration of `booking` is in force and
/// they trust each other.
pub async fn start_entries(
    count: usize,
    platform: SocketAddr,
    booking: SocketAddr,
) -> Vec<RunningEntry> {
    let revision = propose(platform, "p-1", 0, &declaration(booking)).await + 1;
    let mut entries = Vec::new();
    for number in 1..=count {
        entries.push(start_entry(&format!("e-{number}"), platform, &[]).await);
    }
    for entry in &entries {
        until_revision(&entry.state, revision).await;
        until("the peers", || usable_peers(entry) + 1 == count).await;
        until("all streams", || readiness(&entry.state).ready).await;
    }
    entries
}

/// The number of peers that a daemon trusts.
pub fn usable_peers(entry: &RunningEntry) -> usize {
    entry.state.tables().peers.rows.values().filter(|row| row.usable()).count()
}

/// The events of a kind that a daemon recorded, by their details.
pub fn events(entry: &RunningEntry, kind: EventKind) -> Vec<String> {
    let (events, _) = entry.state.journal.events_after(HybridStamp::default());
    let events = events.into_iter().filter(|event| event.kind == kind);
    events.map(|event| event.detail.to_string()).collect()
}

/// A TCP proxy whose connections a test can close or freeze.
#[derive(Debug)]
pub struct FaultyLink {
    /// The address to connect to.
    pub address: SocketAddr,
    open: watch::Sender<bool>,
    freeze_count: watch::Sender<u64>,
}

impl FaultyLink {
    /// Starts a proxy to `target` that forwards connections.
    pub async fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let open = watch::Sender::new(true);
        let freeze_count = watch::Sender::new(0);
        let (state, frozen) = (open.subscribe(), freeze_count.subscribe());
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let mut frozen = frozen.clone();
                frozen.mark_unchanged();
                tokio::spawn(forward(near, target, state.clone(), frozen));
            }
        });
        Self { address, open, freeze_count }
    }

    /// Freezes the connections that are open now for good; new ones work.
    pub fn freeze(&self) {
        self.freeze_count.send_modify(|count| *count += 1);
    }

    /// Closes all connections and refuses new ones, or accepts them again.
    pub fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }
}

async fn forward(
    mut near: TcpStream,
    target: SocketAddr,
    mut open: watch::Receiver<bool>,
    mut frozen: watch::Receiver<u64>,
) {
    if !*open.borrow() {
        return;
    }
    let Ok(mut far) = TcpStream::connect(target).await else { return };
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => return,
        _ = open.wait_for(|open| !open) => return,
        _ = frozen.changed() => {}
    }
    // Both ends stay open, but no data is forwarded any more.
    let _ = open.wait_for(|open| !open).await;
}
