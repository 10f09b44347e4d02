//! Open connections go silent without a sign while new ones work: [`run`].

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::bench::LoadBench;
use crate::caller::CallEnd;
use crate::experiments::ExperimentOrder;
use crate::load::EntryList;
use crate::plan::BenchPlan;
use crate::plan::DecisionChoice;
use crate::report::ExperimentLine;
use crate::report::rounded;
use crate::schedule::LoadSchedule;
use crate::schedule::StreamShape;
use crate::session::run_session;
use crate::tally::longest_stall;
use crate::tally::report_ends;
use banyan_standin::fault::ConnectionFault;
use banyan_standin::fault::EngineFault;

/// The share of the bound that is offered.
const LOAD: f64 = 0.4;
/// The length of the load.
const LOAD_TIME: Duration = Duration::from_secs(20);
/// When all connections to one engine go silent.
const ONE_SILENT: Duration = Duration::from_secs(5);
/// When those to all engines do.
const ALL_SILENT: Duration = Duration::from_secs(12);
/// The longest time until a stream goes on, in milliseconds.
const TARGET_MS: f64 = 2000.0;

/// Runs the experiment.
pub async fn run(order: ExperimentOrder) -> eyre::Result<ExperimentLine> {
    let mut line = ExperimentLine::new(
        "silent",
        order.seed,
        "longest time for which a stream stood still, in ms",
        "streams go on over a new connection within 2 s, nothing run again",
    );
    let naive = measure(order.seed, DecisionChoice::Random, &mut line).await?;
    line.baseline = Some(rounded(naive.stall_ms));
    let judged = match order.naive_only {
        true => naive,
        false => measure(order.seed, DecisionChoice::Product, &mut line).await?,
    };
    line.figure = rounded(judged.stall_ms);
    line.check(judged.stall_ms <= TARGET_MS, "streams go on within 2 s");
    line.check(judged.again == 0, format!("{} tokens ran again", judged.again));
    line.check(judged.cut == 0, format!("{} requests were cut", judged.cut));
    Ok(line)
}

/// The figures that are judged.
struct SilentFigures {
    /// The longest time for which a stream stood still.
    stall_ms: f64,
    /// Tokens that ran again, as a step or to rebuild a cache.
    again: u64,
    /// Requests that were not served.
    cut: usize,
}

async fn measure(
    seed: u64,
    decisions: DecisionChoice,
    line: &mut ExperimentLine,
) -> eyre::Result<SilentFigures> {
    let name = decisions.name();
    let step_times = vec![Duration::from_millis(20); 2];
    let mut plan = BenchPlan { decisions, stages: 2, step_times, ..BenchPlan::default() };
    plan.capacity = plan.full_capacity();
    let shape = StreamShape::at_load(&plan, LOAD, LOAD_TIME);
    let schedule = LoadSchedule::of_stream(&shape, seed);
    eprintln!("silent: {name}, {} requests", schedule.requests.len());
    let result = run_session(plan, schedule, silence).await?;
    let one = longest_stall(&result.records, ONE_SILENT, ALL_SILENT).as_secs_f64() * 1000.0;
    let all = longest_stall(&result.records, ALL_SILENT, LOAD_TIME).as_secs_f64() * 1000.0;
    let again = result.ledger.steps_run_again() + result.ledger.rebuilt_tokens();
    let cut = result.records.iter().filter(|record| record.end != CallEnd::Complete).count();
    line.add(format!("{name}_stall_one_engine_ms"), one);
    line.add(format!("{name}_stall_all_engines_ms"), all);
    line.add(format!("{name}_tokens_run_again"), again as f64);
    report_ends(&result.records, &format!("{name}_"), line);
    Ok(SilentFigures { stall_ms: one.max(all), again, cut })
}

async fn silence(bench: &mut LoadBench, _entries: &EntryList, start: Instant) -> eyre::Result<()> {
    let fault = EngineFault::Connection(ConnectionFault::Silence);
    sleep_until(start + ONE_SILENT).await;
    eprintln!("silent: the connections to one engine");
    bench.fault_engine(0, &fault).await;
    sleep_until(start + ALL_SILENT).await;
    eprintln!("silent: the connections to all engines");
    for index in 0..bench.engines.len() {
        bench.fault_engine(index, &fault).await;
    }
    Ok(())
}
