//! The bytes a second of the control work: [`ControlTraffic`].

use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::control::costs::PROBES;
use crate::control::costs::ROUNDS;
use crate::control::fleet::START;
use crate::control::fleet::SyntheticDaemon;
use crate::control::fleet::workspace_name;
use banyan_core::ids::IncarnationId;
use banyan_core::record::CallOutcome;
use banyan_core::record::ClaimKey;
use banyan_core::record::ContentDigest;
use banyan_core::record::FactBody;
use banyan_core::record::LogFact;
use banyan_core::serving::exchange::build_digest;
use banyan_core::serving::exchange::choose_peers;
use banyan_core::units::WallMillis;
use banyan_wire::engine::LoadReport;
use banyan_wire::log::encode_facts;
use banyan_wire::platform::InstanceRole;
use banyan_wire::platform::InstanceState;
use banyan_wire::platform::InstanceWire;

/// The head of a request and of its answer on a connection that is kept open, in bytes.
const HTTP_HEAD_BYTES: f64 = 180.0;
/// The frame and the fixed part of a digest, in bytes.
const DIGEST_HEAD_BYTES: f64 = 120.0;
/// The part of all requests that carry an idempotency key.
const KEYED_PART: f64 = 0.01;
/// Seconds of a day.
const DAY: f64 = 86_400.0;

/// One kind of traffic, both directions together.
#[derive(Clone, Debug)]
pub struct TrafficPart {
    /// What it is.
    pub name: &'static str,
    /// The bytes of one unit.
    pub bytes: f64,
    /// Units a second at one daemon.
    pub per_second: f64,
    /// What a reader must know.
    pub note: &'static str,
}

impl TrafficPart {
    /// Its bytes a second.
    pub fn rate(&self) -> f64 {
        self.bytes * self.per_second
    }
}

/// All control traffic of one daemon.
#[derive(Clone, Debug)]
pub struct ControlTraffic {
    /// What the product sends and receives.
    pub parts: Vec<TrafficPart>,
    /// What the core does not bound and the platform's interface costs as it stands.
    pub outside: Vec<TrafficPart>,
    /// The bytes a second of asking every target and telling every peer everything.
    naive: f64,
}

impl ControlTraffic {
    /// Counts the bytes of one second.
    pub fn measure(daemon: &mut SyntheticDaemon) -> eyre::Result<Self> {
        let size = daemon.size;
        let probe = serde_json::to_string(&load_report())?.len() as f64 + HTTP_HEAD_BYTES;
        let digest = mean_digest(daemon) + DIGEST_HEAD_BYTES;
        let watched = daemon.watched().len() as f64;
        // Each exchange brings one digest each way, and as many are asked for as answered.
        let digests = 4.0 * ROUNDS * choose_peers(&daemon.ring, 0).len() as f64;
        let files: usize = daemon.files.values().map(|text| text.len()).sum();
        let file = files as f64 / daemon.files.len() as f64;
        let part = |name, bytes, per_second| TrafficPart { name, bytes, per_second, note: "" };
        let parts = vec![
            part("asking targets for their load", probe, watched * PROBES),
            part("digests of peers", digest, digests),
            part("configuration files from the log", file, size.changes / DAY),
        ];
        let instances = f64::from(size.daemons + size.engines) * instance_bytes()?;
        let claims = size.requests * KEYED_PART;
        let outside = vec![
            TrafficPart {
                name: "the whole instance list each second",
                bytes: instances,
                per_second: 1.0,
                note: "the platform's call has no deltas; see docs/CAPACITY.md",
            },
            TrafficPart {
                name: "claims of all partitions",
                bytes: claim_bytes()?,
                per_second: claims,
                note: "if one request in a hundred has a key and every daemon folds every partition",
            },
        ];
        let peers = f64::from(size.daemons - 1);
        let engines = f64::from(size.engines);
        // A digest of everything: a name, a load and an age for each engine.
        let naive = engines * probe * PROBES + 2.0 * peers * engines * 20.0;
        Ok(Self { parts, outside, naive })
    }

    /// The product's bytes a second.
    pub fn product(&self) -> f64 {
        self.parts.iter().map(TrafficPart::rate).sum()
    }

    /// The bytes a second that come on top.
    pub fn outside(&self) -> f64 {
        self.outside.iter().map(TrafficPart::rate).sum()
    }

    /// The naive way's bytes a second.
    pub fn naive(&self) -> f64 {
        self.naive
    }
}

fn mean_digest(daemon: &mut SyntheticDaemon) -> f64 {
    let SyntheticDaemon { exchange, table, limits, suspects, .. } = daemon;
    let count = 100;
    let digests =
        (0..count).map(|_| build_digest(exchange, table, limits, suspects, START).bytes());
    digests.sum::<usize>() as f64 / f64::from(count)
}

fn load_report() -> LoadReport {
    LoadReport {
        incarnation: SmolStr::new_static("engine-0001@0123456789ab"),
        running: 16,
        queued: 4,
        lineages: 60,
        cache_used: 100_000,
        cache_limit: 200_000,
        step_us: 20_000,
        leaving: false,
        age_ms: 250,
    }
}

fn instance_bytes() -> eyre::Result<f64> {
    let address = || Some(SmolStr::new_static("10.0.0.1:8080"));
    let row = InstanceWire {
        name: SmolStr::new_static("entry-001"),
        role: InstanceRole::Entry,
        state: InstanceState::Live,
        zone: SmolStr::new_static("zone-0"),
        caller_address: address(),
        peer_address: address(),
        operator_address: address(),
    };
    Ok(serde_json::to_string(&row)?.len() as f64)
}

/// The bytes of a claim and of its close, in one append each, as the log keeps them.
fn claim_bytes() -> eyre::Result<f64> {
    let key = ClaimKey {
        workspace: workspace_name(1),
        key: "0198c0de-7000-7000-8000-000000000001".parse()?,
    };
    let claimant: IncarnationId = "entry-001@0123456789ab".parse()?;
    let id = |number: u32| format_smolstr!("entry-001@0123456789ab/{number}").parse();
    let claim = FactBody::Claim {
        key: key.clone(),
        claimant,
        content: ContentDigest(1),
        seen: WallMillis(1_767_225_600_000),
    };
    let outcome = CallOutcome::Answered { status: 200, body: vec![b'x'; 64] };
    let close = FactBody::Close { key, claim: id(1)?, outcome, memory_ms: 3_600_000 };
    let claim = encode_facts(&[LogFact { id: id(1)?, body: claim }]);
    let close = encode_facts(&[LogFact { id: id(2)?, body: close }]);
    Ok((claim.len() + close.len()) as f64)
}
