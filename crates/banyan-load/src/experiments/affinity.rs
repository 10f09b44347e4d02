//! Prompts that share prefixes, on engines whose caches hold half of them: [`run`].
//!
//! The best possible reads each shared prefix once for each stage. Cache events come late, and one
//! of five is lost.

use std::time::Duration;

use crate::caller::CallEnd;
use crate::experiments::ExperimentOrder;
use crate::ground_truth::RunLedger;
use crate::plan::BenchPlan;
use crate::plan::DecisionChoice;
use crate::report::ExperimentLine;
use crate::report::rounded;
use crate::schedule::LoadSchedule;
use crate::schedule::PlannedRequest;
use crate::schedule::unique_prompt;
use crate::session::run_session;
use crate::tally::first_token_latencies;
use crate::tally::report_ends;
use banyan_naive::draws::DrawSource;

/// Groups of prompts that share a prefix.
const GROUP_COUNT: u64 = 8;
/// The tokens of a shared prefix.
const SHARED_TOKENS: u64 = 1024;
/// The tokens of a prompt that it shares with none.
const OWN_TOKENS: u64 = 32;
/// Tokens that an engine's cache holds: half of the groups.
const CACHE_TOKENS: u64 = SHARED_TOKENS * GROUP_COUNT / 2;
/// Prompt tokens that an engine reads a second.
const PREFILL_RATE: u64 = 8000;
/// Requests a second.
const RATE: f64 = 16.0;
/// The length of the load.
const LOAD_TIME: Duration = Duration::from_secs(20);
/// The share of the best possible saving to be reached.
const TARGET_SAVED: f64 = 0.8;
/// The most by which the busiest engine may exceed the mean, above that of the naive choice.
const BALANCE_MARGIN: f64 = 0.1;

/// Runs the experiment.
pub async fn run(order: ExperimentOrder) -> eyre::Result<ExperimentLine> {
    let mut line = ExperimentLine::new(
        "affinity",
        order.seed,
        "prompt tokens saved by caches, as a share of the best possible",
        "at least 0.80 of the best possible and above no affinity, at no loss of balance",
    );
    let naive = measure(order.seed, DecisionChoice::Random, &mut line).await?;
    line.baseline = Some(rounded(naive.saved));
    let mut judged = AffinityFigures { ..naive };
    if !order.naive_only {
        judged = measure(order.seed, DecisionChoice::Product, &mut line).await?;
        line.check(judged.saved > naive.saved, "more saved than without affinity");
        let balanced = judged.imbalance <= naive.imbalance + BALANCE_MARGIN;
        line.check(balanced, "no loss of balance");
    }
    line.figure = rounded(judged.saved);
    line.check(judged.saved >= TARGET_SAVED, "0.80 of the best possible");
    line.check(judged.cut == 0, format!("{} requests were not served", judged.cut));
    Ok(line)
}

/// The figures that are judged.
struct AffinityFigures {
    /// Prompt tokens saved, as a share of the best possible.
    saved: f64,
    /// The steps of the busiest engine, as a multiple of the mean.
    imbalance: f64,
    /// Requests that were not served.
    cut: usize,
}

fn schedule(seed: u64) -> LoadSchedule {
    let mut draws = DrawSource::new(seed);
    let shared: Vec<String> =
        (0..GROUP_COUNT).map(|_| unique_prompt(&mut draws, SHARED_TOKENS + 1)).collect();
    let mut schedule = LoadSchedule::default();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_micros(draws.exponential(1_000_000.0 / RATE));
        if at >= LOAD_TIME {
            return schedule;
        }
        let group = draws.below(GROUP_COUNT) as usize;
        let own = unique_prompt(&mut draws, OWN_TOKENS);
        schedule.requests.push(PlannedRequest {
            at,
            workspace: 0,
            entry: draws.draw() as usize,
            prompt: format!("{}{own}", shared[group]),
            tokens: 4 + draws.below(9),
            deadline: Duration::from_secs(20),
        });
    }
}

async fn measure(
    seed: u64,
    decisions: DecisionChoice,
    line: &mut ExperimentLine,
) -> eyre::Result<AffinityFigures> {
    let name = decisions.name();
    let mut plan = BenchPlan {
        decisions,
        stages: 1,
        step_times: vec![Duration::from_millis(10); 4],
        prefill_rate: PREFILL_RATE,
        cache_limit: CACHE_TOKENS,
        cache_gaps: 5,
        ..BenchPlan::default()
    };
    plan.capacity = plan.full_capacity();
    let schedule = schedule(seed);
    let count = schedule.requests.len() as u64;
    eprintln!("affinity: {name}, {count} requests");
    let result = run_session(plan, schedule, async |_, _, _| Ok(())).await?;
    let (read, saved) = result.ledger.prompt_tokens();
    let best = count.saturating_sub(GROUP_COUNT) * SHARED_TOKENS;
    let figures = AffinityFigures {
        saved: saved as f64 / best.max(1) as f64,
        imbalance: imbalance(&result.ledger),
        cut: result.records.iter().filter(|record| record.end != CallEnd::Complete).count(),
    };
    line.add(format!("{name}_tokens_read"), read as f64);
    line.add(format!("{name}_tokens_saved"), saved as f64);
    line.add(format!("{name}_saved_share"), figures.saved);
    line.add("best_tokens_saved", best as f64);
    line.add(format!("{name}_busiest_engine"), figures.imbalance);
    report_ends(&result.records, &format!("{name}_"), line);
    first_token_latencies(result.records.iter())?.report(&format!("{name}_first_token"), line);
    Ok(figures)
}

/// The steps of the busiest engine, as a multiple of the mean.
fn imbalance(ledger: &RunLedger) -> f64 {
    let counts = || ledger.by_engine.values().map(Vec::len);
    let mean = counts().sum::<usize>() as f64 / counts().count().max(1) as f64;
    counts().max().unwrap_or_default() as f64 / mean.max(1.0)
}
