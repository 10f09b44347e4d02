//! The share of the engines' bound that is reached at saturation: [`run`].
//!
//! Each stage has a fast, a middle and a slow engine. Under 0.8 of the bound the latencies are
//! taken, under 1.2 the tokens a second.

use std::time::Duration;

use crate::caller::CallEnd;
use crate::experiments::ExperimentOrder;
use crate::load::CallRecord;
use crate::plan::BenchPlan;
use crate::plan::DecisionChoice;
use crate::report::ExperimentLine;
use crate::report::rounded;
use crate::schedule::LoadSchedule;
use crate::schedule::StreamShape;
use crate::session::run_session;
use crate::tally::first_token_latencies;
use crate::tally::report_ends;
use crate::tally::token_gaps;
use crate::tally::tokens_between;

/// The share of the bound under which latencies are taken.
const EASY_LOAD: f64 = 0.8;
/// The share of the bound that saturates the engines.
const FULL_LOAD: f64 = 1.2;
/// The length of the easy load.
const EASY_TIME: Duration = Duration::from_secs(8);
/// The length of the full load.
const FULL_TIME: Duration = Duration::from_secs(13);
/// The part of the full load in which the engines fill up and that is not measured.
const FILL_TIME: Duration = Duration::from_secs(6);
/// The share of the bound to be reached.
const TARGET_SHARE: f64 = 0.9;

/// Runs the experiment.
pub async fn run(order: ExperimentOrder) -> eyre::Result<ExperimentLine> {
    let mut line = ExperimentLine::new(
        "throughput",
        order.seed,
        "share of the engines' bound in tokens a second",
        "at least 0.90 of the bound, and above every baseline",
    );
    let mut best_naive: f64 = 0.0;
    for naive in DecisionChoice::NAIVE {
        let share = saturate(order.seed, naive, &mut line).await?;
        best_naive = best_naive.max(share);
    }
    line.baseline = Some(rounded(best_naive));
    line.figure = rounded(best_naive);
    if !order.naive_only {
        measure_easy(order.seed, &mut line).await?;
        let share = saturate(order.seed, DecisionChoice::Product, &mut line).await?;
        line.figure = rounded(share);
        line.check(share > best_naive, "above every baseline");
    }
    let share = line.figure;
    line.check(share >= TARGET_SHARE, "0.90 of the bound");
    Ok(line)
}

fn plan(decisions: DecisionChoice) -> BenchPlan {
    let mut plan = BenchPlan { decisions, ..BenchPlan::default() };
    plan.capacity = plan.full_capacity();
    plan
}

async fn offer(
    seed: u64,
    decisions: DecisionChoice,
    load: f64,
    time: Duration,
) -> eyre::Result<(Vec<CallRecord>, f64)> {
    let plan = plan(decisions);
    let shape = StreamShape::at_load(&plan, load, time);
    let bound = shape.bound(&plan) * shape.mean_tokens();
    let schedule = LoadSchedule::of_stream(&shape, seed);
    let count = schedule.requests.len();
    eprintln!("throughput: {} at {load} of the bound, {count} requests", decisions.name());
    let result = run_session(plan, schedule, async |_, _, _| Ok(())).await?;
    Ok((result.records, bound))
}

/// The share of the bound reached at saturation.
async fn saturate(
    seed: u64,
    decisions: DecisionChoice,
    line: &mut ExperimentLine,
) -> eyre::Result<f64> {
    let (records, bound) = offer(seed, decisions, FULL_LOAD, FULL_TIME).await?;
    let tokens = tokens_between(&records, FILL_TIME, FULL_TIME);
    let rate = tokens as f64 / (FULL_TIME - FILL_TIME).as_secs_f64();
    line.add("bound_tokens_per_second", bound);
    let filling = tokens_between(&records, FILL_TIME - Duration::from_secs(2), FILL_TIME);
    line.add(format!("{}_share_while_filling", decisions.name()), filling as f64 / 2.0 / bound);
    let name = decisions.name();
    line.add(format!("{name}_tokens_per_second"), rate);
    line.add(format!("{name}_share"), rate / bound);
    report_ends(&records, &format!("{name}_full_"), line);
    first_token_latencies(records.iter())?.report(&format!("{name}_full_first_token"), line);
    let served = records.iter().filter(|record| record.end == CallEnd::Complete);
    token_gaps(served)?.report(&format!("{name}_full_inter_token"), line);
    eprintln!("throughput: {name} reached {:.3} of the bound", rate / bound);
    Ok(rate / bound)
}

async fn measure_easy(seed: u64, line: &mut ExperimentLine) -> eyre::Result<()> {
    let (records, _) = offer(seed, DecisionChoice::Product, EASY_LOAD, EASY_TIME).await?;
    report_ends(&records, "product_easy_", line);
    first_token_latencies(records.iter())?.report("product_easy_first_token", line);
    token_gaps(records.iter())?.report("product_easy_inter_token", line);
    Ok(())
}
