//! Entries and engines join and leave under load: [`run`].

use std::time::Duration;

use eyre::OptionExt;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::bench::LoadBench;
use crate::caller::CallEnd;
use crate::experiments::ExperimentOrder;
use crate::load::CallRecord;
use crate::load::EntryList;
use crate::plan::BenchPlan;
use crate::plan::DecisionChoice;
use crate::report::ExperimentLine;
use crate::report::rounded;
use crate::schedule::LoadSchedule;
use crate::schedule::StreamShape;
use crate::session::SessionResult;
use crate::session::run_session;
use crate::tally::first_token_latencies;
use crate::tally::report_ends;
use banyan_standin::fault::EngineFault;

/// The changes with when each begins, in order.
const PHASES: [(&str, Duration); 4] = [
    ("entry_joins", ENTRY_JOINS),
    ("entry_leaves", ENTRY_LEAVES),
    ("engine_leaves", ENGINE_LEAVES),
    ("engine_joins", ENGINE_JOINS),
];
/// The share of the bound that is offered.
const LOAD: f64 = 0.5;
/// The length of the load.
const LOAD_TIME: Duration = Duration::from_secs(28);
/// The calm time at the start that is left out.
const FILL_TIME: Duration = Duration::from_secs(3);
/// When an entry joins.
const ENTRY_JOINS: Duration = Duration::from_secs(7);
/// When another entry is asked to stop.
const ENTRY_LEAVES: Duration = Duration::from_secs(12);
/// When an engine says that it is leaving.
const ENGINE_LEAVES: Duration = Duration::from_secs(17);
/// When it takes work again.
const ENGINE_JOINS: Duration = Duration::from_secs(22);
/// The time after a sign of leaving in which new work may still come.
const LEAVE_GRACE: Duration = Duration::from_secs(3);
/// The time after an engine's return in which a stampede would show.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// The engine that leaves and returns.
const MOVING_ENGINE: usize = 0;
/// The most that the time to the first token may grow while it settles.
const TARGET_GROWTH: f64 = 1.5;
/// The most requests that a returning engine may get, as a multiple of its fair part.
const TARGET_UNFAIRNESS: f64 = 2.0;

/// Runs the experiment.
pub async fn run(order: ExperimentOrder) -> eyre::Result<ExperimentLine> {
    let mut line = ExperimentLine::new(
        "join",
        order.seed,
        "time to the first token while instances join and leave, 95th percentile, as a multiple \
         of before",
        "at most 1.5 times before, no request cut, no work for a leaving engine after 3 s, a \
         returning one gets at most twice its fair part",
    );
    let naive = measure(order.seed, DecisionChoice::Random, &mut line).await?;
    line.baseline = Some(rounded(naive.growth));
    let judged = match order.naive_only {
        true => naive,
        false => measure(order.seed, DecisionChoice::Product, &mut line).await?,
    };
    line.figure = rounded(judged.growth);
    line.check(judged.growth <= TARGET_GROWTH, "the time to the first token");
    line.check(judged.cut == 0, format!("{} requests were not served", judged.cut));
    line.check(judged.late_work == 0, "a leaving engine got new work after 3 s");
    line.check(judged.unfairness <= TARGET_UNFAIRNESS, "a returning engine's fair part");
    Ok(line)
}

/// The figures that are judged.
struct JoinFigures {
    /// The time to the first token while it settles, as a multiple of before.
    growth: f64,
    /// Requests that were not served.
    cut: usize,
    /// Requests that a leaving engine began after the time allowed.
    late_work: usize,
    /// Requests that a returning engine began, as a multiple of its fair part.
    unfairness: f64,
}

async fn measure(
    seed: u64,
    decisions: DecisionChoice,
    line: &mut ExperimentLine,
) -> eyre::Result<JoinFigures> {
    let name = decisions.name();
    let step_times = vec![Duration::from_millis(20); 3];
    let mut plan = BenchPlan { decisions, stages: 2, step_times, ..BenchPlan::default() };
    plan.capacity = plan.full_capacity();
    let shape = StreamShape::at_load(&plan, LOAD, LOAD_TIME);
    let schedule = LoadSchedule::of_stream(&shape, seed);
    eprintln!("join: {name}, {} requests", schedule.requests.len());
    let result = run_session(plan, schedule, change_instances).await?;
    report_ends(&result.records, &format!("{name}_"), line);
    let before = first_token_p95(&result.records, FILL_TIME, ENTRY_JOINS)?;
    let while_settling = first_token_p95(&result.records, ENTRY_JOINS, LOAD_TIME)?;
    line.add(format!("{name}_first_token_p95_before_ms"), before);
    line.add(format!("{name}_first_token_p95_after_ms"), while_settling);
    let ends = PHASES.iter().skip(1).map(|phase| phase.1).chain([LOAD_TIME]);
    for ((phase, from), until) in PHASES.into_iter().zip(ends) {
        let p95 = first_token_p95(&result.records, from, until)?;
        line.add(format!("{name}_first_token_p95_{phase}_ms"), p95);
    }
    let figures = JoinFigures {
        growth: while_settling / before.max(0.001),
        cut: result.records.iter().filter(|record| record.end != CallEnd::Complete).count(),
        late_work: begun(&result, ENGINE_LEAVES + LEAVE_GRACE, ENGINE_JOINS).0,
        unfairness: {
            let (own, mean) = begun(&result, ENGINE_JOINS, ENGINE_JOINS + RETURN_TIME);
            own as f64 / mean.max(1.0)
        },
    };
    line.add(format!("{name}_late_work"), figures.late_work as f64);
    line.add(format!("{name}_returning_engine_part"), figures.unfairness);
    Ok(figures)
}

async fn change_instances(
    bench: &mut LoadBench,
    entries: &EntryList,
    start: Instant,
) -> eyre::Result<()> {
    sleep_until(start + ENTRY_JOINS).await;
    eprintln!("join: an entry joins");
    let joined = bench.start_entry(bench.entries.len()).await?;
    bench.wait_entry(&joined).await?;
    entries.put(bench.entries.len(), joined.ready.caller_address);
    bench.entries.push(joined);
    sleep_until(start + ENTRY_LEAVES).await;
    eprintln!("join: an entry leaves");
    let leaving = bench.entries.first_mut().ok_or_eyre("no entry")?;
    leaving.process.terminate().await?;
    // The balancer looks at /ready, which the entry has taken back by then.
    tokio::time::sleep(Duration::from_millis(500)).await;
    entries.remove(0);
    sleep_until(start + ENGINE_LEAVES).await;
    eprintln!("join: an engine leaves");
    bench.fault_engine(MOVING_ENGINE, &EngineFault::Leaving { leaving: true }).await;
    sleep_until(start + ENGINE_JOINS).await;
    eprintln!("join: the engine returns");
    bench.fault_engine(MOVING_ENGINE, &EngineFault::Leaving { leaving: false }).await;
    Ok(())
}

fn first_token_p95(records: &[CallRecord], from: Duration, until: Duration) -> eyre::Result<f64> {
    let within = records.iter().filter(|record| record.at >= from && record.at < until);
    Ok(first_token_latencies(within)?.quantile_ms(0.95))
}

/// Requests that the moving engine began between two times, and the mean of its stage's engines.
fn begun(result: &SessionResult, from: Duration, until: Duration) -> (usize, f64) {
    let plan = BenchPlan::default();
    let engines = plan.engines();
    let stage = engines.iter().take(plan.step_times.len());
    let counts: Vec<usize> = stage
        .map(|engine| {
            let rows = result.ledger.by_engine.get(&engine.name);
            let begun = rows.into_iter().flatten().filter(|row| {
                let at = Duration::from_millis(row.at_ms.saturating_sub(result.start_ms));
                row.step.token == 0 && at >= from && at < until
            });
            begun.count()
        })
        .collect();
    let mean = counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64;
    (counts.get(MOVING_ENGINE).copied().unwrap_or_default(), mean)
}
