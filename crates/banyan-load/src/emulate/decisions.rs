//! What a decision costs as the fleet grows: [`measure_decisions`].

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::format_smolstr;
use tokio::time::Instant;

use crate::emulate::fleet_file::FleetFile;
use crate::report::ExperimentLine;
use crate::report::rounded;
use banyan_core::ids::LayerRange;
use banyan_core::ids::ServiceId;
use banyan_core::pipeline::chain::ChainFilter;
use banyan_core::pipeline::chain::ChainPool;
use banyan_core::pipeline::chain::RequestSize;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::fleet::FleetTable;
use banyan_core::pipeline::fleet::TargetPhase;
use banyan_core::pipeline::fleet::TargetReport;
use banyan_core::pipeline::load::LoadTable;
use banyan_core::pipeline::load::LoadView;
use banyan_core::pipeline::load::PeerLoadTable;
use banyan_core::pipeline::placement::plan_placement;
use banyan_core::pipeline::placement_target::PlacementTarget;
use banyan_core::pipeline::report_stamp::ReportStamp;
use banyan_core::pipeline::reservation::UNRESERVED_FULLNESS;
use banyan_core::pipeline::suspicion::SuspicionTable;
use banyan_core::units::Moment;
use banyan_core::units::TokenCount;

/// Engines and zones at each size: today's, ten times as many, and the size that decides the design.
const SIZES: [(usize, usize); 3] = [(40, 3), (400, 3), (5_300, 9)];
/// Decisions that one figure is the mean of.
const REPEATS: u32 = 2_000;
/// The most that a decision about a request may take.
const TARGET: Duration = Duration::from_micros(20);

/// Measures choosing a chain, finding chains anew, and planning a placement, at each size.
pub fn measure_decisions(file: &FleetFile) -> ExperimentLine {
    let target = "choosing a chain takes under 20 us at each size";
    let mut line = ExperimentLine::new("decisions", 0, "us, the slowest mean choice", target);
    for (engines, zones) in SIZES {
        let (choose, refresh, plan) = measure_size(file, engines, zones);
        let micros = |time: Duration| time.as_secs_f64() * 1e6;
        line.add(format_smolstr!("choose_us_{engines}"), micros(choose));
        line.add(format_smolstr!("find_chains_ms_{engines}"), micros(refresh) / 1e3);
        line.add(format_smolstr!("plan_placement_ms_{engines}"), micros(plan) / 1e3);
        line.figure = rounded(line.figure.max(micros(choose)));
        line.check(choose < TARGET, format!("choosing among {engines} engines"));
    }
    line
}

fn measure_size(file: &FleetFile, engines: usize, zones: usize) -> (Duration, Duration, Duration) {
    let model = file.pipeline_model();
    let service: ServiceId = "engines".parse().expect("a valid name");
    let kinds: Vec<_> = model.kinds.keys().cloned().collect();
    let mut targets: Vec<PlacementTarget> = (0..engines)
        .map(|index| {
            let kind = &kinds[index / zones % kinds.len()];
            PlacementTarget {
                id: format_smolstr!("e{index}").parse().expect("a valid name"),
                zone: format_smolstr!("z{}", index % zones).parse().expect("a valid name"),
                memory: model.kinds[kind].memory,
                step_time_permille: (model.kinds[kind].step_factor * 1e3) as u64,
                range: None,
                load: 0,
                busy: false,
            }
        })
        .collect();
    let begun = Instant::now();
    let orders = plan_placement(&model, &targets);
    let plan = begun.elapsed();
    let mut fleet = FleetTable::default();
    for order in orders {
        let row = targets.iter_mut().find(|target| target.id == order.target);
        let row = row.expect("an engine that was planned for");
        row.range = Some(order.range);
        let index: usize = row.id.as_str()[1..].parse().unwrap_or(0);
        let report = report(&service, row, &kinds[index / zones % kinds.len()], order.range);
        fleet.apply(FleetChange::Reported(row.id.clone(), report), Moment::default());
    }
    let suspicions = SuspicionTable::default();
    let mut pool = ChainPool::default();
    let begun = Instant::now();
    pool.refresh(&model, &service, 1, &fleet, &suspicions, Moment::default());
    let refresh = begun.elapsed();
    (choose_time(&mut pool, &targets[0]), refresh, plan)
}

fn report(
    service: &ServiceId,
    row: &PlacementTarget,
    kind: &smol_str::SmolStr,
    range: LayerRange,
) -> TargetReport {
    TargetReport {
        service: service.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: row.zone.clone(),
        phase: TargetPhase::Ready,
        slots: u32::MAX,
        kind: Some(kind.clone()),
        held: vec![range],
        stamp: ReportStamp::default(),
    }
}

fn choose_time(pool: &mut ChainPool, near: &PlacementTarget) -> Duration {
    let own = LoadTable::default();
    let peers = PeerLoadTable::default();
    let view = LoadView { own: &own, peers: &peers, peer_scale: 1.0 };
    let size = RequestSize { prompt: TokenCount(800), total: TokenCount(950) };
    let closed = BTreeSet::new();
    let filter = ChainFilter { avoided: &[], closed: &closed, max_fullness: UNRESERVED_FULLNESS };
    let begun = Instant::now();
    for _ in 0..REPEATS {
        std::hint::black_box(pool.choose(&view, &near.zone, size, 0, filter));
    }
    begun.elapsed() / REPEATS
}
