//! Tables with one engine, and requests that ask for room at it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;

use banyan_core::ids::LayerRange;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::machine::MachineLimits;
use banyan_core::pipeline::chain::ChainChoice;
use banyan_core::pipeline::chain::RequestSize;
use banyan_core::pipeline::duties::DutyCapacity;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::fleet::TargetPhase;
use banyan_core::pipeline::fleet::TargetReport;
use banyan_core::pipeline::model::AcceleratorKind;
use banyan_core::pipeline::model::PassTiming;
use banyan_core::pipeline::model::PipelineModel;
use banyan_core::pipeline::priority::EffectivePriority;
use banyan_core::pipeline::report_stamp::ReportStamp;
use banyan_core::pipeline::retries::RetryBounds;
use banyan_core::pipeline::routes::CallerLimits;
use banyan_core::pipeline::routes::RouteKind;
use banyan_core::pipeline::routes::RouteSpec;
use banyan_core::pipeline::routes::RouteTable;
use banyan_core::pipeline::routes::ServiceShare;
use banyan_core::pipeline::routes::ServiceSpec;
use banyan_core::record::ContentDigest;
use banyan_core::units::ByteCount;
use banyan_core::units::Moment;
use banyan_core::units::TokenCount;
use banyan_forward::decisions::admission::RequestRank;
use banyan_forward::decisions::admission::RoomQuery;
use banyan_forward::decisions::tables::ForwardTables;
use banyan_forward::settings::ForwardSettings;
use banyan_forward::settings::ServiceBounds;
use banyan_forward::store::configuration_record::ConfigurationRecord;

/// The size of each request.
pub const SIZE: RequestSize = RequestSize { prompt: TokenCount(800), total: TokenCount(1_000) };
/// The layers of the model.
pub const LAYERS: LayerRange = LayerRange { first: 0, end: 10 };

/// The service of the engine.
pub fn service() -> ServiceId {
    "engines".parse().expect("a name")
}

/// The engine.
pub fn engine() -> TargetId {
    "e1".parse().expect("a name")
}

/// The settings of the instance.
pub fn settings() -> ForwardSettings {
    let address = "127.0.0.1:0".parse().expect("an address");
    ForwardSettings {
        instance: "i1".parse().expect("a name"),
        zone: "a".parse().expect("a name"),
        duty_capacity: DutyCapacity::default(),
        machine: MachineLimits { memory: ByteCount(256 << 20), descriptors: 1_024 },
        caller_address: address,
        ready_address: address,
        peer_address: address,
        seeds: Vec::new(),
        metrics_address: None,
        report_interval: Duration::from_secs(1),
        bounds: ServiceBounds {
            retries: RetryBounds { ratio: 0.1, window: Duration::from_secs(10), extra: 1.0 },
            stop_time: Duration::from_secs(5),
            leave_time: Duration::from_secs(1),
            settle_time: Duration::from_secs(1),
            engines_check_fences: true,
        },
    }
}

pub fn model() -> PipelineModel {
    let kind = AcceleratorKind {
        memory: ByteCount(40_000_000_000),
        step_factor: 1.0,
        prefill_factor: 1.0,
    };
    PipelineModel {
        name: "model".parse().expect("a name"),
        layers: 10,
        layer_size: ByteCount(1_000_000_000),
        token_size: ByteCount(100_000),
        request_capacity: TokenCount(100_000),
        load_time: Duration::from_secs(10),
        loads_at_once: 6,
        kinds: [(SmolStr::new("kind"), kind)].into(),
        timing: PassTiming {
            step: Duration::from_micros(850),
            step_per_request: Duration::from_micros(3),
            step_per_thousand_tokens: Duration::from_micros(4),
            prefill_throughput: 252_000.0,
            stride: 2,
            cross_zone_per_token: Duration::from_micros(100),
        },
        usual_prompt: TokenCount(800),
        usual_answer: TokenCount(200),
    }
}

pub fn route(prefix: &str, priority: u8) -> RouteSpec {
    RouteSpec {
        name: SmolStr::new(prefix),
        host: SmolStr::new("h"),
        prefix: SmolStr::new(prefix),
        kind: RouteKind::ResumableStream,
        timeout: Duration::from_secs(20),
        latency_target: Duration::from_secs(1),
        pause_target: None,
        max_attempts: 2,
        priority,
        open: true,
        shares: vec![ServiceShare { service: service(), weight: 1 }],
    }
}

/// Tables with one engine that holds all layers, and routes of these priorities.
pub fn tables(priorities: &[u8]) -> ForwardTables {
    let routes = priorities.iter().enumerate();
    let routes = routes.map(|(index, priority)| route(&format!("/{index}/"), *priority)).collect();
    let spec = ServiceSpec { id: service(), model: Some(Arc::new(model())) };
    let limits = CallerLimits {
        head_size: ByteCount(1),
        body_size: ByteCount(1),
        head_time: Duration::ZERO,
        idle_time: Duration::ZERO,
    };
    let table = Arc::new(RouteTable::new(1, routes, vec![spec], limits, None));
    let mut tables = ForwardTables::default();
    tables.configuration = Some(ConfigurationRecord::new(table, Bytes::new()));
    let report = TargetReport {
        service: service(),
        address: "10.0.0.1:1".parse().expect("an address"),
        zone: "a".parse().expect("a name"),
        phase: TargetPhase::Ready,
        slots: 200,
        kind: Some(SmolStr::new("kind")),
        held: vec![LAYERS],
        stamp: ReportStamp::default(),
    };
    tables.fleet.apply(FleetChange::Reported(engine(), report), Moment(0));
    tables
}

/// Asks for room.
pub fn admit(
    tables: &mut ForwardTables,
    rank: Option<RequestRank>,
    now: Moment,
) -> Option<ChainChoice> {
    let service = service();
    let query = RoomQuery { service: &service, size: SIZE, avoided: &[], rank };
    tables.admit_to_chain(&query, &settings(), now).0
}

/// A request of a priority and with a content.
pub fn rank(priority: u8, content: u64) -> Option<RequestRank> {
    let content = ContentDigest(content);
    Some(RequestRank { priority: EffectivePriority(priority), content })
}
