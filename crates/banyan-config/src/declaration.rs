//! Declaration files: [`merge_files`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;

use banyan_core::declaration::CallSpec;
use banyan_core::declaration::Declaration;
use banyan_core::declaration::ModelSpec;
use banyan_core::declaration::PolicySpec;
use banyan_core::declaration::ServiceSpec;
use banyan_core::declaration::TargetRole;
use banyan_core::declaration::TargetSpec;
use banyan_core::declaration::WorkspaceSpec;
use banyan_core::declaration::ZoneSpec;
use banyan_core::ids::CallId;
use banyan_core::ids::FileId;
use banyan_core::ids::LayerRange;
use banyan_core::ids::ModelId;
use banyan_core::ids::RegionId;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::ids::WorkspaceId;
use banyan_core::ids::ZoneId;
use banyan_core::units::ByteCount;
use banyan_core::units::RequestRate;
use banyan_core::units::TokenCount;
use banyan_core::units::TokenRate;

/// The union of all files, validated, or a text that says what is wrong and how to mend it.
pub fn merge_files(files: &BTreeMap<FileId, Arc<str>>) -> Result<Declaration, String> {
    let mut declaration = Declaration::default();
    for (name, text) in files {
        let file: FileText = jsonc_parser::parse_to_serde_value(text, &Default::default())
            .map_err(|error| format!("{name}: {error}"))?;
        add_file(&mut declaration, file)?;
    }
    Ok(declaration)
}

/// A declaration file as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileText {
    #[serde(default)]
    zones: Vec<ZoneText>,
    #[serde(default)]
    workspaces: Vec<WorkspaceText>,
    #[serde(default)]
    models: Vec<ModelText>,
    #[serde(default)]
    targets: Vec<TargetText>,
    #[serde(default)]
    services: Vec<ServiceText>,
    #[serde(default)]
    policy: Option<PolicyText>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneText {
    name: ZoneId,
    region: RegionId,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkspaceText {
    name: WorkspaceId,
    token_digests: Vec<SmolStr>,
    share: Option<u32>,
    requests_per_second: Option<u64>,
    tokens_per_second: Option<u64>,
    priority: Option<u8>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ModelText {
    name: ModelId,
    layers: u32,
    answer_tokens: Option<u64>,
    handoff_bytes: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TargetText {
    name: TargetId,
    address: SocketAddr,
    zone: ZoneId,
    #[serde(default)]
    checks_fence: bool,
    engine: Option<EngineText>,
    service: Option<ServiceId>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EngineText {
    model: ModelId,
    layers: SmolStr,
    batch: u32,
    accelerator: SmolStr,
    step_ms: u64,
    link_bytes_per_second: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceText {
    name: ServiceId,
    calls: Vec<CallText>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CallText {
    name: CallId,
    repeatable: bool,
    timeout_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PolicyText {
    default_deadline_ms: Option<u64>,
    queue_limit: Option<u32>,
    retry_percent: Option<u32>,
    key_memory_ms: Option<u64>,
    suspect_after_ms: Option<u64>,
    ejection_floor_percent: Option<u32>,
    quarantine_ms: Option<u64>,
}

fn add_file(declaration: &mut Declaration, file: FileText) -> Result<(), String> {
    for zone in file.zones {
        declaration.zones.insert(zone.name, ZoneSpec { region: zone.region });
    }
    for row in file.workspaces {
        let spec = WorkspaceSpec {
            token_digests: row.token_digests,
            share: row.share.unwrap_or(1),
            request_limit: row.requests_per_second.map(RequestRate),
            token_limit: row.tokens_per_second.map(TokenRate),
            priority: row.priority.unwrap_or(5),
        };
        declaration.workspaces.insert(row.name, spec);
    }
    for row in file.models {
        let spec = ModelSpec {
            layers: row.layers,
            answer_limit: TokenCount(row.answer_tokens.unwrap_or(4096)),
            handoff: ByteCount(row.handoff_bytes.unwrap_or(16_384)),
        };
        declaration.models.insert(row.name, spec);
    }
    for row in file.targets {
        let (name, spec) = target_spec(row)?;
        declaration.targets.insert(name, spec);
    }
    for row in file.services {
        let call = |call: CallText| {
            let timeout = Duration::from_millis(call.timeout_ms.unwrap_or(5000));
            (call.name, CallSpec { repeatable: call.repeatable, timeout })
        };
        let calls = row.calls.into_iter().map(call).collect();
        declaration.services.insert(row.name, ServiceSpec { calls });
    }
    if let Some(policy) = file.policy {
        declaration.policy = policy_spec(policy);
    }
    Ok(())
}

fn target_spec(row: TargetText) -> Result<(TargetId, TargetSpec), String> {
    let role = match (row.engine, row.service) {
        (Some(engine), None) => TargetRole::Engine {
            model: engine.model,
            layers: engine.layers.parse::<LayerRange>().map_err(|error| error.to_string())?,
            batch: engine.batch,
            accelerator: engine.accelerator,
            step_time: Duration::from_millis(engine.step_ms),
            link_bytes_per_second: engine.link_bytes_per_second,
        },
        (None, Some(service)) => TargetRole::Service { service },
        _ => {
            let name = row.name;
            return Err(format!("target {name}: give it either 'engine' or 'service'"));
        }
    };
    let spec =
        TargetSpec { address: row.address, zone: row.zone, role, checks_fence: row.checks_fence };
    Ok((row.name, spec))
}

fn policy_spec(text: PolicyText) -> PolicySpec {
    let base = PolicySpec::default();
    let millis = |given: Option<u64>, base| given.map_or(base, Duration::from_millis);
    PolicySpec {
        default_deadline: millis(text.default_deadline_ms, base.default_deadline),
        queue_limit: text.queue_limit.unwrap_or(base.queue_limit),
        retry_percent: text.retry_percent.unwrap_or(base.retry_percent),
        key_memory: millis(text.key_memory_ms, base.key_memory),
        suspect_after: millis(text.suspect_after_ms, base.suspect_after),
        ejection_floor_percent: text.ejection_floor_percent.unwrap_or(base.ejection_floor_percent),
        quarantine: millis(text.quarantine_ms, base.quarantine),
    }
}
