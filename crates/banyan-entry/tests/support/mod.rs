//! A small system in the test process: a platform, engines, a service and entries on loopback.

#![allow(dead_code, missing_docs)]

pub mod caller;
pub mod process;
pub mod truth;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use banyan_config::settings::EntrySettings;
use banyan_config::settings::parse_settings;
use banyan_core::ids::LayerRange;
use banyan_core::serving::decisions::DecisionSet;
use banyan_entry::daemon;
use banyan_entry::daemon::RunningEntry;
use banyan_http::client::JsonClient;
use banyan_standin::engine;
use banyan_standin::engine::EngineHandle;
use banyan_standin::engine::EngineOptions;
use banyan_standin::platform;
use banyan_standin::platform::PlatformHandle;
use banyan_standin::platform::PlatformOptions;
use banyan_standin::service;
use banyan_standin::service::ServiceHandle;
use banyan_standin::service::ServiceOptions;

/// The bearer token of the only workspace.
pub const TOKEN: &str = "test-token";
/// The layers of the only model.
pub const LAYERS: u32 = 12;
/// The timeout of every wait; a test that reaches it fails.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// The size, timing and policy of a test system.
#[derive(Clone, Debug)]
pub struct SystemPlan {
    /// The number of stages that the model is divided into.
    pub stages: u32,
    /// The number of engines for each stage.
    pub replicas: u32,
    /// The number of engines that hold the whole model; they are the last row of `engines`.
    pub whole: u32,
    /// The size in bytes of the activations passed between stages.
    pub handoff_bytes: u64,
    /// How long an engine takes for a batch.
    pub step_time: Duration,
    /// The number of replicas of the service.
    pub services: u32,
    /// How long a call of the service takes.
    pub call_time: Duration,
    /// The number of entries.
    pub entries: u32,
    /// The `policy` object of the declaration.
    pub policy: Value,
    /// The decision functions and switches of the entries.
    pub decisions: DecisionSet,
}

impl Default for SystemPlan {
    fn default() -> Self {
        Self {
            stages: 3,
            replicas: 2,
            whole: 0,
            handoff_bytes: 16_384,
            step_time: Duration::from_millis(4),
            services: 1,
            call_time: Duration::from_millis(2),
            entries: 1,
            policy: json!({"default_deadline_ms": 25_000}),
            decisions: DecisionSet::product(),
        }
    }
}

/// A running system; dropping it stops every part.
#[derive(Debug)]
pub struct TestSystem {
    pub platform: PlatformHandle,
    /// Engines by stage.
    pub engines: Vec<Vec<EngineHandle>>,
    pub services: Vec<ServiceHandle>,
    pub entries: Vec<RunningEntry>,
    pub plan: SystemPlan,
}

impl TestSystem {
    /// Starts everything, applies the declaration and waits until every entry is ready.
    pub async fn start(plan: SystemPlan) -> Self {
        let platform = platform::start(PlatformOptions::default()).await.unwrap();
        let mut engines = Vec::new();
        for stage in 0..plan.stages {
            let mut replicas = Vec::new();
            for replica in 0..plan.replicas {
                replicas.push(start_engine(&plan, stage, replica).await);
            }
            engines.push(replicas);
        }
        if plan.whole > 0 {
            let mut whole = Vec::new();
            for replica in 0..plan.whole {
                whole.push(start_engine(&plan, plan.stages, replica).await);
            }
            engines.push(whole);
        }
        let mut services = Vec::new();
        for replica in 0..plan.services {
            let name = format!("booking-{replica}").into();
            let options = ServiceOptions { name, delay: plan.call_time, ..Default::default() };
            services.push(service::start(options).await.unwrap());
        }
        let entries = Vec::new();
        let mut system = Self { platform, engines, services, entries, plan };
        system.apply("declaration-1", 0, &system.declaration()).await;
        for index in 0..system.plan.entries {
            system.add_entry(&format!("entry-{index}")).await;
        }
        system.wait_for_peers().await;
        system
    }

    /// Starts one more entry and waits until it is ready.
    pub async fn add_entry(&mut self, name: &str) -> usize {
        let settings = settings(name, self.platform.address, &[]);
        let entry = daemon::start(settings, self.plan.decisions, None).await.unwrap();
        self.entries.push(entry);
        let index = self.entries.len() - 1;
        let entry = &self.entries[index];
        wait_for("the entry is ready and has read every stream", || {
            daemon::readiness(&entry.state).ready && entry.state.folds.tables().log_reachable()
        })
        .await;
        index
    }

    /// Starts an engine that holds the whole model and declares it on top of revision `base`.
    pub async fn add_whole_engine(&mut self, base: u64) {
        let engine = start_engine(&self.plan, self.plan.stages, 0).await;
        self.engines.push(vec![engine]);
        self.plan.whole = 1;
        self.apply("declaration-2", base, &self.declaration()).await;
        wait_for("the new engine is in force", || {
            self.entries.iter().all(|entry| entry.state.tables().revision.0 > base)
        })
        .await;
    }

    /// Waits until every entry has received a digest from every other one.
    pub async fn wait_for_peers(&self) {
        let count = self.entries.len() as u64;
        wait_for("a digest from every entry at every other one", || {
            self.entries.iter().all(|entry| entry.state.tables().live_instances() == count)
        })
        .await;
    }

    /// Appends a proposal to the log, as an operator does.
    pub async fn apply(&self, id: &str, base: u64, text: &Value) {
        append_proposal(self.platform.address, id, base, &text.to_string()).await;
    }

    /// A declaration of all engines and services that were started.
    pub fn declaration(&self) -> Value {
        let mut targets = Vec::new();
        for (stage, replicas) in self.engines.iter().enumerate() {
            for (replica, engine) in replicas.iter().enumerate() {
                targets.push(json!({
                    "name": engine_name(stage as u32, replica as u32),
                    "address": engine.address,
                    "zone": "zone-a",
                    "engine": {
                        "model": "model",
                        "layers": stage_layers(self.plan.stages, stage as u32).to_string(),
                        "batch": 8,
                        "accelerator": "a",
                        "step_ms": self.plan.step_time.as_millis().max(1) as u64,
                        "link_bytes_per_second": 1_000_000_000,
                    },
                }));
            }
        }
        for (replica, service) in self.services.iter().enumerate() {
            targets.push(json!({
                "name": format!("booking-{replica}"),
                "address": service.address,
                "zone": "zone-a",
                "service": "booking",
            }));
        }
        json!({
            "zones": [{"name": "zone-a", "region": "region-a"}],
            "workspaces": [{"name": "workspace-a", "token_digests": [token_digest(TOKEN)]}],
            "models": [{"name": "model", "layers": LAYERS, "answer_tokens": 512,
                "handoff_bytes": self.plan.handoff_bytes}],
            "targets": targets,
            "services": [{"name": "booking", "calls": [
                {"name": "book", "repeatable": false, "timeout_ms": 2000},
                {"name": "status", "repeatable": true, "timeout_ms": 2000},
            ]}],
            "policy": self.plan.policy,
        })
    }

    /// The address on which an entry serves callers.
    pub fn caller(&self, entry: usize) -> SocketAddr {
        self.entries[entry].caller_address
    }
}

/// The settings of an entry on ports chosen by the system.
pub fn settings(name: &str, platform: SocketAddr, peers: &[SocketAddr]) -> EntrySettings {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let text = json!({
        "instance": name,
        "zone": "zone-a",
        "caller_address": any,
        "peer_address": any,
        "operator_address": any,
        "platform_address": platform,
        "peers": peers,
        "capacity": 64,
        "drain_ms": 20_000,
    });
    parse_settings("test", &text.to_string()).unwrap()
}

/// Appends a proposal for the file `main`.
pub async fn append_proposal(platform: SocketAddr, id: &str, base: u64, text: &str) {
    let body = json!({"format": 1, "facts": [{
        "id": id, "kind": "proposal", "file": "main", "base": base, "author": "test", "text": text,
    }]});
    let client = JsonClient::new(WAIT_LIMIT);
    let body = Bytes::from(body.to_string());
    client.send(Method::POST, platform, "/log/configuration", body).await.unwrap();
}

/// Polls a condition every 2 ms until it holds.
pub async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    if tokio::time::timeout(WAIT_LIMIT, wait).await.is_err() {
        panic!("timed out waiting for: {what}");
    }
}

/// The name that the declaration gives an engine.
pub fn engine_name(stage: u32, replica: u32) -> String {
    format!("engine-{stage}-{replica}")
}

/// The layers of a stage; the row after the last stage holds all layers.
fn stage_layers(stages: u32, stage: u32) -> LayerRange {
    if stage == stages {
        return LayerRange { first: 0, end: LAYERS };
    }
    let width = LAYERS / stages;
    let end = if stage + 1 == stages { LAYERS } else { (stage + 1) * width };
    LayerRange { first: stage * width, end }
}

async fn start_engine(plan: &SystemPlan, stage: u32, replica: u32) -> EngineHandle {
    let options = EngineOptions {
        name: engine_name(stage, replica).into(),
        model_layers: LAYERS,
        layers: stage_layers(plan.stages, stage),
        step_time: plan.step_time,
        load_lag: Duration::ZERO,
        ..Default::default()
    };
    engine::start(options).await.unwrap()
}

fn token_digest(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}
