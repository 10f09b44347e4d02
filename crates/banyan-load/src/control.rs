//! The cost of the control work alone: [`run`].
//!
//! One daemon's tables are filled as at several sizes, up to the one that the project is sized for,
//! and each piece of its control work is run through the core and the wire types: processor time a
//! unit, units a second, memory and bytes a second. The naive counterpart asks every target, tells
//! every peer everything and looks at every target for each request.

mod claims;
mod costs;
mod fleet;
mod meter;
mod traffic;

use crate::control::claims::ClaimCost;
use crate::control::costs::ControlCosts;
use crate::control::fleet::FleetSize;
use crate::control::fleet::SyntheticDaemon;
use crate::control::traffic::ControlTraffic;
use crate::report::ExperimentLine;

/// What a daemon may spend on control, in percent of a core.
const CORE_LIMIT_PERCENT: f64 = 2.1;
/// What a daemon may spend on control, in bytes of memory.
const MEMORY_LIMIT_BYTES: f64 = 128e6;
/// What a daemon may spend on control, in bytes a second.
const TRAFFIC_LIMIT_BYTES: f64 = 20e3;
/// The sizes that are measured, as parts of the largest.
const SIZES: [f64; 4] = [0.125, 0.25, 0.5, 1.0];

/// What one size cost.
#[derive(Debug)]
struct SizeReport {
    size: FleetSize,
    costs: ControlCosts,
    traffic: ControlTraffic,
    memory_bytes: f64,
}

/// Measures the control work of one daemon at several sizes.
pub async fn run(seed: u64) -> eyre::Result<ExperimentLine> {
    let mut reports = Vec::new();
    // Kept to the end, so that memory is not used again and shows in the process's size.
    let mut daemons = Vec::new();
    for part in SIZES {
        let size = FleetSize::part(part);
        let before = meter::resident_bytes()?;
        let mut daemon = SyntheticDaemon::build(size, seed)?;
        let memory_bytes = meter::resident_bytes()? - before;
        let costs = ControlCosts::measure(&mut daemon)?;
        let traffic = ControlTraffic::measure(&mut daemon)?;
        let report = SizeReport { size, costs, traffic, memory_bytes };
        print(&report);
        reports.push(report);
        daemons.push(daemon);
    }
    print_slopes(&reports);
    let Some(largest) = reports.last() else { eyre::bail!("no size was measured: add one") };
    let claim = ClaimCost::measure()?;
    let ClaimCost { micros, bytes } = claim;
    eprintln!("control: a call that may run at most once: {micros:.2} us, {bytes:.0} bytes");
    let mut line = line(seed, largest);
    line.add("claim_micros", claim.micros);
    line.add("claim_bytes", claim.bytes);
    Ok(line)
}

fn print(report: &SizeReport) {
    let SizeReport { size, costs, traffic, memory_bytes } = report;
    eprintln!(
        "control: {} daemons, {} engines, {} workspaces: {:.3}% of a core, {:.1} MB, {:.0} B/s",
        size.daemons,
        size.engines,
        size.workspaces,
        costs.core_percent(),
        memory_bytes / 1e6,
        traffic.product(),
    );
    for cost in &costs.product {
        eprintln!(
            "control:   {:<34} {:>10.2} us x {:>8.2}/s = {:.4}%",
            cost.name,
            cost.micros,
            cost.per_second,
            cost.core_percent()
        );
    }
    for part in &traffic.parts {
        eprintln!(
            "control:   {:<34} {:>10.0} B  x {:>8.2}/s = {:.0} B/s",
            part.name,
            part.bytes,
            part.per_second,
            part.rate()
        );
    }
}

/// Prints how each line grows from half the largest size to the largest.
fn print_slopes(reports: &[SizeReport]) {
    let [.., half, full] = reports else { return };
    eprintln!(
        "control: growth from half the size to the whole (1.0 is none, 2.0 is in proportion)"
    );
    for (half, full) in half.costs.product.iter().zip(&full.costs.product) {
        eprintln!(
            "control:   {:<34} a unit x{:.2}, a second x{:.2}",
            full.name,
            full.micros / half.micros,
            full.core_percent() / half.core_percent()
        );
    }
    for (half, full) in half.traffic.parts.iter().zip(&full.traffic.parts) {
        eprintln!("control:   {:<34} bytes a second x{:.2}", full.name, full.rate() / half.rate());
    }
    let engines = f64::from(full.size.engines - half.size.engines);
    let bytes = full.memory_bytes - half.memory_bytes;
    eprintln!(
        "control:   memory: {:.0} bytes an engine with its part of all else",
        bytes / engines
    );
}

fn line(seed: u64, report: &SizeReport) -> ExperimentLine {
    let target = "at 470 daemons, 5300 engines, 8000 workspaces: 2.1% of a core, 128 MB, 20 KB/s";
    let mut line = ExperimentLine::new("control", seed, "percent of a core", target);
    let costs = &report.costs;
    let traffic = &report.traffic;
    line.figure = crate::report::rounded(costs.core_percent());
    line.baseline = Some(crate::report::rounded(costs.naive_core_percent()));
    line.add("memory_megabytes", report.memory_bytes / 1e6);
    line.add("bytes_per_second", traffic.product());
    line.add("bytes_per_second_baseline", traffic.naive());
    line.add("step_bookkeeping_micros", costs.step_micros);
    for cost in &costs.product {
        line.add(format!("micros {}", cost.name), cost.micros);
        line.add(format!("core_percent {}", cost.name), cost.core_percent());
    }
    for part in &traffic.parts {
        line.add(format!("bytes_per_second {}", part.name), part.rate());
    }
    for part in &traffic.outside {
        line.add(format!("bytes_per_second_outside {}", part.name), part.rate());
    }
    line.check(costs.core_percent() <= CORE_LIMIT_PERCENT, "processor time");
    line.check(report.memory_bytes <= MEMORY_LIMIT_BYTES, "memory");
    line.check(traffic.product() <= TRAFFIC_LIMIT_BYTES, "bytes a second");
    let whole = traffic.product() + traffic.outside();
    let part = "bytes a second with the instance list and all claims as they are read today";
    line.check(whole <= TRAFFIC_LIMIT_BYTES, part);
    for part in &traffic.outside {
        line.notes.push(format!("not in bytes_per_second: {}: {}", part.name, part.note));
    }
    line
}
