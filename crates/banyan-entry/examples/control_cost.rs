//! Measures the cost of the control plane: log appends for keyed calls, with and without routing
//! claims through owners, and the bytes per second of idle peer exchange. Run it with
//! `cargo run -p banyan-entry --example control_cost`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use banyan_config::settings::parse_settings;
use banyan_core::serving::decisions::DecisionSet;
use banyan_entry::daemon::RunningEntry;
use banyan_entry::daemon::readiness;
use banyan_entry::daemon::start;
use banyan_http::client::PlainClient;
use banyan_http::client::plain_client;
use banyan_standin::fault::PlatformFault;
use banyan_standin::platform;
use banyan_standin::platform::PlatformHandle;
use banyan_standin::platform::PlatformOptions;
use banyan_standin::service;
use banyan_standin::service::ServiceOptions;

/// The number of instances.
const INSTANCES: usize = 7;
/// Keyed calls per second, over all instances.
const CALL_RATE: u64 = 1_000;
/// How long calls are made, and how long the idle exchange is measured.
const PERIOD: Duration = Duration::from_secs(10);
/// The bearer token of the declared workspace.
const TOKEN: &str = "quickstart-visits";

#[tokio::main]
async fn main() -> eyre::Result<()> {
    for (name, rate) in [("several hundred appends a second", 400), ("no limit", 1_000_000)] {
        for owners in [true, false] {
            let figures = measure(owners, rate).await?;
            println!("{}", json!({ "owners": owners, "log": name, "figures": figures }));
        }
    }
    Ok(())
}

async fn measure(owners: bool, append_rate: u32) -> eyre::Result<Value> {
    let platform =
        platform::start(PlatformOptions { append_rate, ..PlatformOptions::default() }).await?;
    // Without the instance list, instances do not find each other and append their own claims.
    platform.fault(PlatformFault::InstanceOutage { out: !owners });
    let booking =
        service::start(ServiceOptions { name: "booking-1".into(), ..Default::default() }).await?;
    let entries = start_entries(&platform, booking.address, owners).await?;
    let bytes = || -> u64 { entries.iter().map(|entry| entry.state.links.bytes()).sum() };

    let before = bytes();
    tokio::time::sleep(PERIOD).await;
    let idle = (bytes() - before) / (PERIOD.as_secs() * INSTANCES as u64);

    let before = platform.truth();
    let (calls_before, started) = (bytes(), Instant::now());
    let (mut latencies, refused) = call_for(&entries).await;
    let took = started.elapsed().as_secs_f64();
    let peer_bytes = (bytes() - calls_before) as f64 / took / INSTANCES as f64;
    let after = platform.truth();
    latencies.sort();
    let at = |share: f64| {
        let place = (latencies.len() as f64 * share) as usize;
        latencies.get(place).map_or(0, |time| time.as_millis() as u64)
    };
    let runs = booking.runs_by_body();
    Ok(json!({
        "calls": CALL_RATE * PERIOD.as_secs(),
        "served": latencies.len(),
        "refused": refused,
        "run_twice": runs.values().filter(|count| **count > 1).count(),
        "appends_per_second": (after.appends.len() - before.appends.len()) as f64 / took,
        "throttled_per_second": (after.throttled - before.throttled) as f64 / took,
        "latency_ms": { "p50": at(0.50), "p99": at(0.99) },
        "idle_peer_bytes_per_second_per_instance": idle,
        "peer_bytes_per_second_per_instance": peer_bytes as u64,
    }))
}

async fn start_entries(
    platform: &PlatformHandle,
    booking: SocketAddr,
    owners: bool,
) -> eyre::Result<Vec<RunningEntry>> {
    let proposal = json!({ "format": 1, "facts": [{
        "id": "p-1", "kind": "proposal", "file": "main", "base": 0, "author": "op",
        "text": declaration(booking).to_string(),
    }]});
    let path = format!("http://{}/log/configuration", platform.address);
    let request = Request::post(path).body(Full::new(Bytes::from(proposal.to_string())))?;
    plain_client().request(request).await?;
    let mut entries = Vec::new();
    for number in 1..=INSTANCES {
        let text = json!({
            "instance": format!("e-{number}"),
            "zone": "gebze",
            "caller_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "operator_address": "127.0.0.1:0",
            "platform_address": platform.address,
            "capacity": 2000,
        });
        let settings = parse_settings("example", &text.to_string())?;
        entries.push(start(settings, DecisionSet::product(), None).await?);
    }
    let peers = if owners { INSTANCES - 1 } else { 0 };
    for entry in &entries {
        let known = || entry.state.tables().peers.rows.values().filter(|row| row.usable()).count();
        while !readiness(&entry.state).ready || known() < peers {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    Ok(entries)
}

fn declaration(booking: SocketAddr) -> Value {
    json!({
        "zones": [{ "name": "gebze", "region": "marmara" }],
        "workspaces": [{
            "name": "stable-visits",
            "token_digests": ["1ebbb15a0cb7b9915d106e1ae678d74a084a4e8ba7388411d5850f2e134b8367"],
        }],
        "targets": [
            { "name": "booking-1", "address": booking, "zone": "gebze", "service": "booking" },
        ],
        "services": [{
            "name": "booking",
            "calls": [{ "name": "book", "repeatable": false, "timeout_ms": 5000 }],
        }],
    })
}

/// Makes keyed calls at [`CALL_RATE`]; returns the latencies of the successful ones and the number
/// of refused ones by reason.
async fn call_for(entries: &[RunningEntry]) -> (Vec<Duration>, BTreeMap<String, usize>) {
    let client = plain_client();
    let mut ticks = tokio::time::interval(Duration::from_micros(1_000_000 / CALL_RATE));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut calls = JoinSet::new();
    for number in 0..CALL_RATE * PERIOD.as_secs() {
        ticks.tick().await;
        let address = entries[number as usize % entries.len()].caller_address;
        calls.spawn(book(client.clone(), address, number));
    }
    let mut latencies = Vec::new();
    let mut refused: BTreeMap<String, usize> = BTreeMap::new();
    for result in calls.join_all().await {
        match result {
            Ok(took) => latencies.push(took),
            Err(reason) => *refused.entry(reason).or_default() += 1,
        }
    }
    (latencies, refused)
}

/// Makes one call; returns its latency, or the reason if it was refused.
async fn book(client: PlainClient, address: SocketAddr, number: u64) -> Result<Duration, String> {
    let started = Instant::now();
    let body = json!({ "number": number }).to_string();
    let request = Request::post(format!("http://{address}/v1/services/booking/book"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .header("idempotency-key", format!("key-{number}"))
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| error.to_string())?;
    let answer = client.request(request).await.map_err(|error| error.to_string())?;
    let served = answer.status().is_success();
    let body = answer.into_body().collect().await.map_err(|error| error.to_string())?.to_bytes();
    if served {
        return Ok(started.elapsed());
    }
    let reply: Value = serde_json::from_slice(&body).unwrap_or_default();
    Err(reply["error"]["type"].as_str().unwrap_or("malformed").to_owned())
}
