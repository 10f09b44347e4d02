//! Three times what the engines can serve, most of it from one workspace: [`run`].
//!
//! The peak goodput is taken at the bound, and the overload follows on the same processes: nine
//! small workspaces ask for a little less than their fair share each, and a large one for all the
//! rest. Every request of the overload counts, from its first moment on.

use std::time::Duration;

use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::caller::CallEnd;
use crate::experiments::ExperimentOrder;
use crate::load::CallRecord;
use crate::plan::BenchPlan;
use crate::plan::DecisionChoice;
use crate::plan::WorkspacePlan;
use crate::report::ExperimentLine;
use crate::report::rounded;
use crate::schedule::LoadSchedule;
use crate::schedule::StreamShape;
use crate::session::run_session;
use crate::tally::LatencySet;
use crate::tally::first_token_latencies;
use crate::tally::report_ends;
use banyan_naive::draws::DrawSource;

/// Small workspaces beside the large one, which is the first.
const SMALL_COUNT: usize = 9;
/// What each small workspace asks for, as a share of the bound; its fair share is a tenth.
const SMALL_LOAD: f64 = 0.09;
/// What all ask for together, as a multiple of the bound.
const OVERLOAD: f64 = 3.0;
/// The length of the load at the bound.
const PEAK_TIME: Duration = Duration::from_secs(10);
/// The length of the overload.
const OVERLOAD_TIME: Duration = Duration::from_secs(16);
/// The part of each in which the goodput is not measured, since the engines fill up.
const FILL_TIME: Duration = Duration::from_secs(4);
/// The deadline of each request.
const DEADLINE: Duration = Duration::from_secs(6);
/// The goodput to be kept, as a share of the peak.
const TARGET_GOODPUT: f64 = 0.9;
/// The share of a small workspace's requests to be served.
const TARGET_SMALL: f64 = 0.9;
/// The longest time that 99 of 100 refusals may take, in milliseconds.
const TARGET_REFUSAL_MS: f64 = 10.0;
/// The most accepted requests that may miss their deadlines.
const TARGET_MISSED: f64 = 0.01;

/// Runs the experiment.
pub async fn run(order: ExperimentOrder) -> eyre::Result<ExperimentLine> {
    let mut line = ExperimentLine::new(
        "overload",
        order.seed,
        "goodput under three times the bound, as a share of its peak",
        "goodput at least 0.90 of its peak; small workspaces get their share; 99 of 100 refusals \
         in under 10 ms; at most 1 in 100 accepted requests misses its deadline",
    );
    let naive = measure(order.seed, DecisionChoice::Random, &mut line).await?;
    line.baseline = Some(rounded(naive.goodput));
    let judged = match order.naive_only {
        true => naive,
        false => measure(order.seed, DecisionChoice::Product, &mut line).await?,
    };
    line.figure = rounded(judged.goodput);
    line.check(judged.goodput >= TARGET_GOODPUT, "0.90 of the peak goodput");
    line.check(judged.small_served >= TARGET_SMALL, "small workspaces get their share");
    line.check(judged.refusal_ms < TARGET_REFUSAL_MS, "99 of 100 refusals in under 10 ms");
    line.check(judged.missed <= TARGET_MISSED, "1 in 100 accepted requests misses its deadline");
    Ok(line)
}

/// The figures that are judged.
struct OverloadFigures {
    /// Goodput as a share of the peak.
    goodput: f64,
    /// The share of requests served of the small workspace that fared worst.
    small_served: f64,
    /// The time of a refusal at the 99th percentile.
    refusal_ms: f64,
    /// The share of accepted requests that missed their deadlines.
    missed: f64,
}

fn plan(decisions: DecisionChoice) -> BenchPlan {
    let workspace = |name: SmolStr| WorkspacePlan { name, share: 1 };
    let small = (0..SMALL_COUNT).map(|index| workspace(format_smolstr!("small-{index}")));
    let mut plan = BenchPlan {
        decisions,
        stages: 2,
        step_times: vec![Duration::from_millis(20); 3],
        workspaces: [workspace(SmolStr::new_static("large"))].into_iter().chain(small).collect(),
        policy: json!({"default_deadline_ms": DEADLINE.as_millis() as u64}),
        ..BenchPlan::default()
    };
    plan.capacity = plan.full_capacity();
    plan
}

/// A tenth of the bound for each workspace, and then the overload.
fn schedule(plan: &BenchPlan, seed: u64) -> LoadSchedule {
    let mut schedule = LoadSchedule::default();
    let mut draws = DrawSource::new(seed);
    let even = 1.0 / plan.workspaces.len() as f64;
    let large = OVERLOAD - SMALL_LOAD * SMALL_COUNT as f64;
    let until = PEAK_TIME + OVERLOAD_TIME;
    for workspace in 0..plan.workspaces.len() {
        let overload = if workspace == 0 { large } else { SMALL_LOAD };
        let spans = [(even, Duration::ZERO, PEAK_TIME), (overload, PEAK_TIME, until)];
        for (load, from, until) in spans {
            let mut shape = StreamShape::at_load(plan, load, until);
            shape.from = from;
            shape.workspace = workspace;
            shape.deadline = DEADLINE;
            schedule.add_stream(&shape, &mut draws);
        }
    }
    schedule
}

async fn measure(
    seed: u64,
    decisions: DecisionChoice,
    line: &mut ExperimentLine,
) -> eyre::Result<OverloadFigures> {
    let name = decisions.name();
    let plan = plan(decisions);
    let schedule = schedule(&plan, seed);
    eprintln!("overload: {name}, {} requests", schedule.requests.len());
    let result = run_session(plan, schedule, async |_, _, _| Ok(())).await?;
    let records = result.records;
    let peak = goodput(&records, FILL_TIME, PEAK_TIME);
    let rate = goodput(&records, PEAK_TIME + FILL_TIME, PEAK_TIME + OVERLOAD_TIME);
    line.add(format!("{name}_bound_tokens_per_second"), peak);
    line.add(format!("{name}_overload_tokens_per_second"), rate);
    let (before, overload): (Vec<CallRecord>, Vec<CallRecord>) =
        records.into_iter().partition(|record| record.at < PEAK_TIME);
    report_ends(&before, &format!("{name}_at_bound_"), line);
    report_ends(&overload, &format!("{name}_"), line);
    let (large, small): (Vec<CallRecord>, Vec<CallRecord>) =
        overload.iter().cloned().partition(|record| record.workspace == 0);
    report_ends(&large, &format!("{name}_large_"), line);
    report_ends(&small, &format!("{name}_small_"), line);
    first_token_latencies(overload.iter())?.report(&format!("{name}_first_token"), line);
    let refusals = refusal_latencies(&overload)?;
    refusals.report(&format!("{name}_refusal"), line);
    let figures = OverloadFigures {
        goodput: rate / peak.max(rate),
        small_served: worst_small(&overload),
        refusal_ms: refusals.quantile_ms(0.99),
        missed: missed_share(&overload),
    };
    line.add(format!("{name}_worst_small_served"), figures.small_served);
    line.add(format!("{name}_missed_deadline"), figures.missed);
    Ok(figures)
}

/// Whether the whole answer came within the deadline.
fn is_good(record: &CallRecord) -> bool {
    record.end == CallEnd::Complete && record.ended <= record.at + record.deadline
}

/// Tokens a second of requests that were served in time.
fn goodput(records: &[CallRecord], from: Duration, until: Duration) -> f64 {
    let good = records.iter().filter(|record| is_good(record));
    let tokens = good.flat_map(|record| &record.tokens);
    let count = tokens.filter(|at| **at >= from && **at < until).count();
    count as f64 / (until - from).as_secs_f64()
}

fn served_share(records: &[CallRecord], workspace: usize) -> f64 {
    let own: Vec<_> = records.iter().filter(|record| record.workspace == workspace).collect();
    let served = own.iter().filter(|record| is_good(record)).count();
    served as f64 / own.len().max(1) as f64
}

fn worst_small(records: &[CallRecord]) -> f64 {
    (1..=SMALL_COUNT).map(|workspace| served_share(records, workspace)).fold(1.0, f64::min)
}

fn refusal_latencies(records: &[CallRecord]) -> eyre::Result<LatencySet> {
    let mut set = LatencySet::new()?;
    for record in records {
        if matches!(record.end, CallEnd::NotRun(_)) {
            set.add(record.ended.saturating_sub(record.at));
        }
    }
    Ok(set)
}

/// Of the requests that were accepted, the share that was not served in time.
fn missed_share(records: &[CallRecord]) -> f64 {
    let accepted: Vec<_> =
        records.iter().filter(|record| !matches!(record.end, CallEnd::NotRun(_))).collect();
    let missed = accepted.iter().filter(|record| !is_good(record)).count();
    missed as f64 / accepted.len().max(1) as f64
}
