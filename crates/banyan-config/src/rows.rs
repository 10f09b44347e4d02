//! The rows of declaration files as written, with their places: [`DeclaredRows`].
//!
//! A row is kept even where a field of it is wrong, so that checks over rows do not report
//! consequences of an error that is reported already; such a field is `None`.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::error::DeclarationErrorKind;
use crate::limits;
use crate::reader::ErrorList;
use crate::reader::FieldReader;
use crate::reader::Placed;
use crate::reader::TextPlace;
use crate::reader::parse_name;
use crate::reader::shown_text;
use banyan_core::declaration::CallSpec;
use banyan_core::declaration::PolicySpec;
use banyan_core::ids::CallId;
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

/// The hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

/// The fields of a declaration file.
const FILE_FIELDS: [&str; 6] = ["zones", "workspaces", "models", "targets", "services", "policy"];

/// All rows of all files.
#[derive(Debug, Default)]
pub(crate) struct DeclaredRows {
    /// Availability zones.
    pub(crate) zones: Vec<ZoneRow>,
    /// Workspaces.
    pub(crate) workspaces: Vec<WorkspaceRow>,
    /// Models.
    pub(crate) models: Vec<ModelRow>,
    /// Targets.
    pub(crate) targets: Vec<TargetRow>,
    /// Services.
    pub(crate) services: Vec<ServiceRow>,
    /// The policy, and where it stands.
    pub(crate) policy: Option<(TextPlace, PolicySpec)>,
}

/// An availability zone.
#[derive(Debug)]
pub(crate) struct ZoneRow {
    pub(crate) name: Option<Placed<ZoneId>>,
    pub(crate) region: Option<RegionId>,
    /// Its index in its file, for the path.
    pub(crate) index: usize,
}

/// A workspace.
#[derive(Debug)]
pub(crate) struct WorkspaceRow {
    pub(crate) name: Option<Placed<WorkspaceId>>,
    /// Each digest with its index.
    pub(crate) digests: Vec<(usize, Placed<SmolStr>)>,
    pub(crate) share: u32,
    pub(crate) request_limit: Option<RequestRate>,
    pub(crate) token_limit: Option<TokenRate>,
    pub(crate) priority: u8,
    /// Its index in its file, for the path.
    pub(crate) index: usize,
}

/// A model.
#[derive(Debug)]
pub(crate) struct ModelRow {
    pub(crate) name: Option<Placed<ModelId>>,
    pub(crate) layers: Option<u32>,
    pub(crate) answer_limit: TokenCount,
    pub(crate) handoff: ByteCount,
    /// Its index in its file, for the path.
    pub(crate) index: usize,
}

/// A target.
#[derive(Debug)]
pub(crate) struct TargetRow {
    pub(crate) name: Option<Placed<TargetId>>,
    pub(crate) address: Option<Placed<SocketAddr>>,
    pub(crate) zone: Option<Placed<ZoneId>>,
    pub(crate) checks_fence: bool,
    pub(crate) role: Option<RoleRow>,
    /// Its index in its file, for the path.
    pub(crate) index: usize,
}

/// What a target does.
#[derive(Debug)]
pub(crate) enum RoleRow {
    /// Runs layers of a model.
    Engine(EngineRow),
    /// Answers calls of a service.
    Service {
        /// The service.
        service: Placed<ServiceId>,
        /// The calls that the row says it answers; `None` where it does not say.
        calls: Option<Vec<(usize, Placed<CallId>)>>,
        /// Where the row begins.
        place: TextPlace,
    },
}

/// The engine of a target.
#[derive(Debug)]
pub(crate) struct EngineRow {
    pub(crate) model: Option<Placed<ModelId>>,
    pub(crate) layers: Option<Placed<LayerRange>>,
    pub(crate) batch: u32,
    pub(crate) accelerator: SmolStr,
    pub(crate) step_time: Duration,
    pub(crate) link_bytes_per_second: u64,
}

/// A service.
#[derive(Debug)]
pub(crate) struct ServiceRow {
    pub(crate) name: Option<Placed<ServiceId>>,
    /// Its calls, each with its index.
    pub(crate) calls: Vec<(usize, Placed<CallId>, CallSpec)>,
    /// Its index in its file, for the path.
    pub(crate) index: usize,
}

/// Reads one file into `rows`.
pub(crate) fn read_file(
    rows: &mut DeclaredRows,
    reader: &FieldReader<'_, '_>,
    errors: &mut ErrorList<'_>,
) {
    reader.check_names(&FILE_FIELDS, errors);
    reader.each_object("zones", errors, |index, zone, errors| {
        rows.zones.push(read_zone(index, zone, errors));
    });
    reader.each_object("workspaces", errors, |index, workspace, errors| {
        rows.workspaces.push(read_workspace(index, workspace, errors));
    });
    reader.each_object("models", errors, |index, model, errors| {
        rows.models.push(read_model(index, model, errors));
    });
    reader.each_object("targets", errors, |index, target, errors| {
        rows.targets.push(read_target(index, target, errors));
    });
    reader.each_object("services", errors, |index, service, errors| {
        rows.services.push(read_service(index, service, errors));
    });
    let policy = reader.object("policy", errors, read_policy);
    let Some(policy) = policy else { return };
    let place = reader.place_of("policy");
    if let Some((first, _)) = rows.policy {
        let first = errors.position(first);
        errors.add(place, "policy", DeclarationErrorKind::PolicyTwice { first });
        return;
    }
    rows.policy = Some((place, policy));
}

fn read_zone(index: usize, reader: &FieldReader<'_, '_>, errors: &mut ErrorList<'_>) -> ZoneRow {
    reader.check_names(&["name", "region"], errors);
    require(reader, &[("name", "the zone's name"), ("region", "the region's name")], errors);
    ZoneRow {
        name: reader.name("name", errors),
        region: reader.name("region", errors).map(|region| region.value),
        index,
    }
}

fn read_workspace(
    index: usize,
    reader: &FieldReader<'_, '_>,
    errors: &mut ErrorList<'_>,
) -> WorkspaceRow {
    let fields =
        ["name", "token_digests", "share", "requests_per_second", "tokens_per_second", "priority"];
    reader.check_names(&fields, errors);
    let needed = [
        ("name", "the workspace's name"),
        ("token_digests", "a list of SHA-256 digests of tokens"),
    ];
    require(reader, &needed, errors);
    let mut digests = Vec::new();
    let mut count = 0;
    reader.each_text("token_digests", errors, |text, path, errors| {
        let digest_index = count;
        count += 1;
        if !is_digest(text.value) {
            let text_shown = shown_text(text.value);
            errors.add(text.place, path, DeclarationErrorKind::BadDigest { text: text_shown });
            return;
        }
        let value = SmolStr::new(text.value);
        digests.push((digest_index, Placed { value, place: text.place }));
    });
    let rate = |name, errors: &mut ErrorList<'_>| {
        reader.number(name, limits::RATE.least, limits::RATE.most, errors)
    };
    WorkspaceRow {
        name: reader.name("name", errors),
        digests,
        share: small_number(reader, "share", limits::SHARE, 1, errors),
        request_limit: rate("requests_per_second", errors).map(RequestRate),
        token_limit: rate("tokens_per_second", errors).map(TokenRate),
        priority: small_number(reader, "priority", limits::PRIORITY, 5, errors) as u8,
        index,
    }
}

fn read_model(index: usize, reader: &FieldReader<'_, '_>, errors: &mut ErrorList<'_>) -> ModelRow {
    reader.check_names(&["name", "layers", "answer_tokens", "handoff_bytes"], errors);
    require(reader, &[("name", "the model's name"), ("layers", "the number of layers")], errors);
    let layers = reader.number("layers", limits::LAYERS.least, limits::LAYERS.most, errors);
    ModelRow {
        name: reader.name("name", errors),
        layers: layers.map(|layers| layers as u32),
        answer_limit: TokenCount(number(
            reader,
            "answer_tokens",
            limits::ANSWER_TOKENS,
            limits::DEFAULT_ANSWER_TOKENS,
            errors,
        )),
        handoff: ByteCount(number(
            reader,
            "handoff_bytes",
            limits::HANDOFF_BYTES,
            limits::DEFAULT_HANDOFF_BYTES,
            errors,
        )),
        index,
    }
}

fn read_target(
    index: usize,
    reader: &FieldReader<'_, '_>,
    errors: &mut ErrorList<'_>,
) -> TargetRow {
    let fields = ["name", "address", "zone", "checks_fence", "engine", "service", "calls"];
    reader.check_names(&fields, errors);
    let needed = [
        ("name", "the target's name"),
        ("address", "IP:PORT"),
        ("zone", "a declared availability zone"),
    ];
    require(reader, &needed, errors);
    TargetRow {
        name: reader.name("name", errors),
        address: read_address(reader, errors),
        zone: reader.name("zone", errors),
        checks_fence: reader.flag("checks_fence", errors).unwrap_or(false),
        role: read_role(reader, errors),
        index,
    }
}

fn read_address(
    reader: &FieldReader<'_, '_>,
    errors: &mut ErrorList<'_>,
) -> Option<Placed<SocketAddr>> {
    let address = reader.address("address", errors)?;
    if address.value.port() == 0 || address.value.ip().is_unspecified() {
        let kind = DeclarationErrorKind::BadAddress {
            text: smol_str::format_smolstr!("{}", address.value),
            expected: "the IP number and port by which every instance reaches the target",
        };
        errors.add(address.place, format!("{}.address", reader.path()), kind);
        return None;
    }
    Some(address)
}

fn read_role(reader: &FieldReader<'_, '_>, errors: &mut ErrorList<'_>) -> Option<RoleRow> {
    match (reader.has("engine"), reader.has("service"), reader.has("calls")) {
        (true, false, false) => reader.object("engine", errors, read_engine).map(RoleRow::Engine),
        (false, true, _) => {
            let service = reader.name("service", errors)?;
            let calls = reader.has("calls").then(|| read_call_names(reader, errors));
            Some(RoleRow::Service { service, calls, place: reader.place() })
        }
        _ => {
            errors.add(reader.place(), reader.path(), DeclarationErrorKind::BadRole);
            None
        }
    }
}

fn read_call_names(
    reader: &FieldReader<'_, '_>,
    errors: &mut ErrorList<'_>,
) -> Vec<(usize, Placed<CallId>)> {
    let mut calls = Vec::new();
    let mut count = 0;
    reader.each_text("calls", errors, |text, path, errors| {
        let index = count;
        count += 1;
        calls.extend(parse_name(text, path, errors).map(|call| (index, call)));
    });
    calls
}

fn read_engine(reader: &FieldReader<'_, '_>, errors: &mut ErrorList<'_>) -> EngineRow {
    let fields = ["model", "layers", "batch", "accelerator", "step_ms", "link_bytes_per_second"];
    reader.check_names(&fields, errors);
    let needed = [
        ("model", "a declared model"),
        ("layers", "FIRST-LAST, such as 0-11"),
        ("batch", "the number of steps in one batch"),
        ("accelerator", "the kind of accelerator"),
        ("step_ms", "the time of one batch in milliseconds"),
        ("link_bytes_per_second", "the speed of the link in bytes a second"),
    ];
    require(reader, &needed, errors);
    let accelerator = reader.text("accelerator", errors).map(|text| SmolStr::new(text.value));
    let step_ms = number(reader, "step_ms", limits::STEP_MS, 1, errors);
    EngineRow {
        model: reader.name("model", errors),
        layers: reader.name("layers", errors),
        batch: small_number(reader, "batch", limits::BATCH, 1, errors),
        accelerator: accelerator.unwrap_or_default(),
        step_time: Duration::from_millis(step_ms),
        link_bytes_per_second: number(
            reader,
            "link_bytes_per_second",
            limits::LINK_BYTES_PER_SECOND,
            1,
            errors,
        ),
    }
}

fn read_service(
    index: usize,
    reader: &FieldReader<'_, '_>,
    errors: &mut ErrorList<'_>,
) -> ServiceRow {
    reader.check_names(&["name", "calls"], errors);
    require(reader, &[("name", "the service's name"), ("calls", "a list of calls")], errors);
    let mut calls = Vec::new();
    reader.each_object("calls", errors, |call_index, call, errors| {
        if let Some((name, spec)) = read_call(call, errors) {
            calls.push((call_index, name, spec));
        }
    });
    ServiceRow { name: reader.name("name", errors), calls, index }
}

fn read_call(
    reader: &FieldReader<'_, '_>,
    errors: &mut ErrorList<'_>,
) -> Option<(Placed<CallId>, CallSpec)> {
    reader.check_names(&["name", "repeatable", "timeout_ms"], errors);
    let needed = [
        ("name", "the call's name"),
        ("repeatable", "true where running the call twice does no harm, else false"),
    ];
    require(reader, &needed, errors);
    let timeout_ms =
        number(reader, "timeout_ms", limits::TIME_MS, limits::DEFAULT_CALL_TIMEOUT_MS, errors);
    let name = reader.name("name", errors);
    let repeatable = reader.flag("repeatable", errors).unwrap_or(false);
    Some((name?, CallSpec { repeatable, timeout: Duration::from_millis(timeout_ms) }))
}

fn read_policy(reader: &FieldReader<'_, '_>, errors: &mut ErrorList<'_>) -> PolicySpec {
    let fields = [
        "default_deadline_ms",
        "queue_limit",
        "retry_percent",
        "key_memory_ms",
        "suspect_after_ms",
        "ejection_floor_percent",
        "quarantine_ms",
    ];
    reader.check_names(&fields, errors);
    let base = PolicySpec::default();
    let mut time = |name, base: Duration| {
        let given = reader.number(name, limits::TIME_MS.least, limits::TIME_MS.most, errors);
        given.map_or(base, Duration::from_millis)
    };
    let default_deadline = time("default_deadline_ms", base.default_deadline);
    let key_memory = time("key_memory_ms", base.key_memory);
    let suspect_after = time("suspect_after_ms", base.suspect_after);
    let quarantine = time("quarantine_ms", base.quarantine);
    let mut percent = |name, base: u32| small_number(reader, name, limits::PERCENT, base, errors);
    let retry_percent = percent("retry_percent", base.retry_percent);
    let ejection_floor_percent = percent("ejection_floor_percent", base.ejection_floor_percent);
    PolicySpec {
        default_deadline,
        queue_limit: small_number(reader, "queue_limit", limits::QUEUE, base.queue_limit, errors),
        retry_percent,
        key_memory,
        suspect_after,
        ejection_floor_percent,
        quarantine,
    }
}

fn require(
    reader: &FieldReader<'_, '_>,
    fields: &[(&'static str, &'static str)],
    errors: &mut ErrorList<'_>,
) {
    for (name, expected) in fields {
        if !reader.has(name) {
            reader.note_missing(name, expected, errors);
        }
    }
}

fn number(
    reader: &FieldReader<'_, '_>,
    name: &str,
    limit: limits::NumberLimit,
    default: u64,
    errors: &mut ErrorList<'_>,
) -> u64 {
    reader.number(name, limit.least, limit.most, errors).unwrap_or(default)
}

/// A number whose limit fits 32 bits.
fn small_number(
    reader: &FieldReader<'_, '_>,
    name: &str,
    limit: limits::NumberLimit,
    default: u32,
    errors: &mut ErrorList<'_>,
) -> u32 {
    number(reader, name, limit, u64::from(default), errors) as u32
}

fn is_digest(text: &str) -> bool {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == DIGEST_DIGITS && text.bytes().all(is_digit)
}
