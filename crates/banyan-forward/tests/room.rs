//! Where [`ForwardTables`] accounts for room among all instances, and where it decides as before.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;

use banyan_core::ids::LayerRange;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::machine::MachineLimits;
use banyan_core::pipeline::chain::RequestSize;
use banyan_core::pipeline::duties::DutyCapacity;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::fleet::TargetPhase;
use banyan_core::pipeline::fleet::TargetReport;
use banyan_core::pipeline::model::AcceleratorKind;
use banyan_core::pipeline::model::PassTiming;
use banyan_core::pipeline::model::PipelineModel;
use banyan_core::pipeline::report_stamp::ReportStamp;
use banyan_core::pipeline::reservation::UNRESERVED_FULLNESS;
use banyan_core::pipeline::retries::RetryBounds;
use banyan_core::pipeline::routes::CallerLimits;
use banyan_core::pipeline::routes::RouteKind;
use banyan_core::pipeline::routes::RouteSpec;
use banyan_core::pipeline::routes::RouteTable;
use banyan_core::pipeline::routes::ServiceShare;
use banyan_core::pipeline::routes::ServiceSpec;
use banyan_core::units::ByteCount;
use banyan_core::units::Moment;
use banyan_core::units::TokenCount;
use banyan_forward::decisions::tables::ForwardTables;
use banyan_forward::settings::ForwardSettings;
use banyan_forward::settings::ServiceBounds;
use banyan_forward::store::configuration_record::ConfigurationRecord;

const SIZE: RequestSize = RequestSize { prompt: TokenCount(80), total: TokenCount(95) };

fn service() -> ServiceId {
    "engines".parse().expect("a name")
}

fn engine(name: &str) -> TargetId {
    name.parse().expect("a name")
}

fn model() -> PipelineModel {
    let kind =
        AcceleratorKind { memory: ByteCount(100_000_000), step_factor: 1.0, prefill_factor: 1.0 };
    PipelineModel {
        name: "model".parse().expect("a name"),
        layers: 8,
        layer_size: ByteCount(1_000_000),
        token_size: ByteCount(1_000),
        request_capacity: TokenCount(10_000),
        load_time: Duration::from_secs(1),
        loads_at_once: 1,
        kinds: BTreeMap::from([(SmolStr::new("fast"), kind)]),
        timing: PassTiming {
            step: Duration::from_millis(1),
            step_per_request: Duration::ZERO,
            step_per_thousand_tokens: Duration::ZERO,
            prefill_throughput: 10_000.0,
            stride: 1,
            cross_zone_per_token: Duration::ZERO,
        },
        usual_prompt: TokenCount(80),
        usual_answer: TokenCount(15),
    }
}

fn settings() -> ForwardSettings {
    let address = "127.0.0.1:1".parse().expect("an address");
    ForwardSettings {
        instance: "i1".parse().expect("a name"),
        zone: "a".parse().expect("a name"),
        duty_capacity: DutyCapacity(100),
        machine: MachineLimits { memory: ByteCount(256 << 20), descriptors: 1_024 },
        caller_address: address,
        ready_address: address,
        peer_address: address,
        seeds: Vec::new(),
        metrics_address: None,
        report_interval: Duration::from_secs(1),
        bounds: ServiceBounds {
            retries: RetryBounds { ratio: 0.1, window: Duration::from_secs(10), extra: 10.0 },
            stop_time: Duration::from_secs(1),
            leave_time: Duration::from_secs(1),
            settle_time: Duration::from_secs(1),
            engines_check_fences: true,
        },
    }
}

fn route(prefix: &str, priority: u8) -> RouteSpec {
    RouteSpec {
        name: SmolStr::new(prefix),
        host: SmolStr::new("one.example"),
        prefix: SmolStr::new(prefix),
        kind: RouteKind::ResumableStream,
        timeout: Duration::from_secs(2),
        latency_target: Duration::from_millis(300),
        pause_target: None,
        max_attempts: 2,
        priority,
        open: true,
        shares: vec![ServiceShare { service: service(), weight: 1 }],
    }
}

/// The tables of an instance with one engine that holds the whole model, and `peers` others.
fn tables(priorities: [u8; 2], peers: usize) -> ForwardTables {
    let routes = vec![route("/a/", priorities[0]), route("/b/", priorities[1])];
    let services = vec![ServiceSpec { id: service(), model: Some(Arc::new(model())) }];
    let limits = CallerLimits {
        head_size: ByteCount(16_384),
        body_size: ByteCount(1_000),
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    let table = Arc::new(RouteTable::new(1, routes, services, limits, None));
    let report = TargetReport {
        service: service(),
        address: "10.0.0.1:1".parse().expect("an address"),
        zone: "a".parse().expect("a name"),
        phase: TargetPhase::Ready,
        slots: 100,
        kind: Some(SmolStr::new("fast")),
        held: vec![LayerRange { first: 0, end: 8 }],
        stamp: ReportStamp::default(),
    };
    let mut tables = ForwardTables::default();
    tables.configuration = Some(ConfigurationRecord::new(table, Bytes::new()));
    tables.fleet.apply(FleetChange::Reported(engine("e1"), report), Moment(0));
    tables.set_peers(peers);
    tables
}

/// Whether a new request, and a resumed stream, find a chain after the only engine rejected one.
fn served_after_rejection(priorities: [u8; 2], peers: usize) -> (bool, bool) {
    let mut tables = tables(priorities, peers);
    let (settings, service, now) = (settings(), service(), Moment(1_000));
    assert!(
        tables.choose_chain(&service, &settings, SIZE, &[], UNRESERVED_FULLNESS, now).is_some()
    );
    tables.peer_loads.rejections.note_rejection(&engine("e1"), now);
    let new = tables.choose_chain(&service, &settings, SIZE, &[], UNRESERVED_FULLNESS, now);
    let resumed = tables.choose_chain_to_resume(&service, &settings, SIZE, &[], now);
    (new.is_some(), resumed.is_some())
}

#[test]
fn with_few_instances_or_equal_priorities_a_rejection_changes_no_choice() {
    // Guards deployments that do not call for the accounting: as before, they try a full engine
    // again if there is no other.
    assert_eq!(served_after_rejection([0, 2], 6), (true, true));
    assert_eq!(served_after_rejection([0, 2], 32), (true, true));
    assert_eq!(served_after_rejection([1, 1], 120), (true, true));
    assert_eq!(served_after_rejection([1, 1], 469), (true, true));
}

#[test]
fn a_rejected_engine_gets_no_new_requests_but_streams_that_resume() {
    // Load pattern: 121 instances send new requests to a full engine, each rejected in turn. A
    // stream of which the caller has a part must not be broken off for lack of another engine.
    assert_eq!(served_after_rejection([0, 2], 120), (false, true));
    assert_eq!(served_after_rejection([0, 2], 469), (false, true));
}
