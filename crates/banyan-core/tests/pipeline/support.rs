//! Builders of models, accelerators and fleets for the tests.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use smol_str::format_smolstr;

use banyan_core::ids::LayerRange;
use banyan_core::ids::LogOffset;
use banyan_core::ids::ServiceId;
use banyan_core::ids::StoreEra;
use banyan_core::ids::TargetId;
use banyan_core::ids::ZoneId;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::fleet::FleetTable;
use banyan_core::pipeline::fleet::TargetPhase;
use banyan_core::pipeline::fleet::TargetReport;
use banyan_core::pipeline::log_position::LogPosition;
use banyan_core::pipeline::model::AcceleratorKind;
use banyan_core::pipeline::model::PassTiming;
use banyan_core::pipeline::model::PipelineModel;
use banyan_core::pipeline::placement_target::PlacementTarget;
use banyan_core::pipeline::report_stamp::ReportStamp;
use banyan_core::units::ByteCount;
use banyan_core::units::Moment;
use banyan_core::units::TokenCount;

/// Bytes in a gigabyte.
const GIGABYTE: u64 = 1_000_000_000;

/// The accelerator kinds: name, memory in gigabytes, slowdown factor. The last two can hold the
/// whole model.
pub const KINDS: [(&str, u64, f64); 5] = [
    ("fast", 36, 3.0),
    ("middle", 22, 16.0),
    ("slow", 14, 15.0),
    ("fast-vast", 300, 3.0),
    ("slow-vast", 300, 16.0),
];

/// A position in the store's first era.
pub fn position(offset: u64) -> LogPosition {
    in_era(1, offset)
}

/// A position in one of the store's eras.
pub fn in_era(era: u64, offset: u64) -> LogPosition {
    LogPosition { era: StoreEra(era), offset: LogOffset(offset) }
}

/// A report of the first run of an engine that holds all layers.
pub fn numbered(name: &str, sequence: u64, phase: TargetPhase) -> FleetChange {
    let mut report = report("a", "fast", 1, &[layers(0, 80)]);
    report.phase = phase;
    report.stamp = ReportStamp { born: Some(1), sequence: Some(sequence) };
    FleetChange::Reported(target(name), report)
}

/// A model of 80 layers.
pub fn model() -> PipelineModel {
    let kind = |(name, memory, factor): (&str, u64, f64)| {
        let kind = AcceleratorKind {
            memory: ByteCount(memory * GIGABYTE),
            step_factor: factor,
            prefill_factor: factor,
        };
        (SmolStr::new(name), kind)
    };
    PipelineModel {
        name: "model".parse().expect("a name"),
        layers: 80,
        layer_size: ByteCount(1_750_000_000),
        token_size: ByteCount(459_000),
        request_capacity: TokenCount(100_000),
        load_time: Duration::from_secs(14),
        loads_at_once: 6,
        kinds: KINDS.into_iter().map(kind).collect(),
        timing: PassTiming {
            step: Duration::from_micros(850),
            step_per_request: Duration::from_micros(3),
            step_per_thousand_tokens: Duration::from_micros(4),
            prefill_throughput: 252_000.0,
            stride: 2,
            cross_zone_per_token: Duration::from_micros(100),
        },
        usual_prompt: TokenCount(772),
        usual_answer: TokenCount(154),
    }
}

/// A range of layers.
pub fn layers(first: u32, end: u32) -> LayerRange {
    LayerRange { first, end }
}

/// A target's id.
pub fn target(name: &str) -> TargetId {
    name.parse().expect("a name")
}

/// A zone's id.
pub fn zone(name: &str) -> ZoneId {
    name.parse().expect("a name")
}

/// The service of all engines.
pub fn service() -> ServiceId {
    "engines".parse().expect("a name")
}

/// A moment, in milliseconds.
pub fn at(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

/// An engine of a kind that holds a range, as input for the placement.
pub fn engine(name: &str, in_zone: &str, kind: &str, range: Option<LayerRange>) -> PlacementTarget {
    let (_, memory, factor) = KINDS.into_iter().find(|row| row.0 == kind).expect("a kind");
    PlacementTarget {
        id: target(name),
        zone: zone(in_zone),
        memory: ByteCount(memory * GIGABYTE),
        step_time_permille: (factor * 1_000.0) as u64,
        range,
        load: 0,
        busy: false,
    }
}

/// Engines of one zone, by kind and number.
pub fn engines(in_zone: &str, counts: &[(&str, u32)]) -> Vec<PlacementTarget> {
    let mut engines = Vec::new();
    for (kind, count) in counts {
        for index in 0..*count {
            let name = format_smolstr!("{in_zone}-{kind}-{index}");
            engines.push(engine(&name, in_zone, kind, None));
        }
    }
    engines
}

/// A report of an engine.
pub fn report(in_zone: &str, kind: &str, port: u16, held: &[LayerRange]) -> TargetReport {
    TargetReport {
        service: service(),
        address: format!("10.0.0.1:{port}").parse().expect("an address"),
        zone: zone(in_zone),
        phase: TargetPhase::Ready,
        slots: 192,
        kind: Some(SmolStr::new(kind)),
        held: held.to_vec(),
        stamp: ReportStamp { born: Some(1), sequence: None },
    }
}

/// A fleet of engines: name, zone, kind and layers of each.
pub fn fleet(rows: &[(&str, &str, &str, LayerRange)]) -> FleetTable {
    let mut table = FleetTable::default();
    for (index, (name, in_zone, kind, held)) in rows.iter().enumerate() {
        let report = report(in_zone, kind, 1_000 + index as u16, &[*held]);
        table.apply(FleetChange::Reported(target(name), report), at(0));
    }
    table
}

/// The number of engines that hold each layer, by zone.
pub fn holders(targets: &[PlacementTarget]) -> BTreeMap<ZoneId, Vec<u32>> {
    let mut zones: BTreeMap<ZoneId, Vec<u32>> = BTreeMap::new();
    for target in targets {
        let holders = zones.entry(target.zone.clone()).or_insert_with(|| vec![0; 80]);
        if let Some(range) = target.range {
            for layer in range.first..range.end {
                holders[layer as usize] += 1;
            }
        }
    }
    zones
}
