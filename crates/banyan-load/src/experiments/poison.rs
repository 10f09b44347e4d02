//! A request that kills each engine that runs it, sent again through different entries: [`run`].
//!
//! Engines that die are started again after a moment, as an operator's supervisor does.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::bench::LoadBench;
use crate::caller::CallEnd;
use crate::caller::CallOrder;
use crate::caller::call;
use crate::experiments::ExperimentOrder;
use crate::load::EntryList;
use crate::plan::BenchPlan;
use crate::plan::DecisionChoice;
use crate::report::ExperimentLine;
use crate::schedule::LoadSchedule;
use crate::schedule::StreamShape;
use crate::session::run_session;
use crate::tally::report_ends;
use banyan_http::client::plain_client;

/// The share of the bound that innocent requests offer.
const LOAD: f64 = 0.3;
/// The length of the load.
const LOAD_TIME: Duration = Duration::from_secs(18);
/// When the request comes for the first time.
const FIRST_SENT: Duration = Duration::from_secs(4);
/// The time between two times that it is sent.
const SEND_PAUSE: Duration = Duration::from_millis(500);
/// How often it is sent.
const SEND_COUNT: usize = 20;
/// The time from an engine's end until it runs again.
const RESTART_PAUSE: Duration = Duration::from_secs(1);
/// The time between two looks at the engines.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// The most engines that may be lost to the request.
const TARGET_LOST: usize = 2;

/// Runs the experiment.
pub async fn run(order: ExperimentOrder) -> eyre::Result<ExperimentLine> {
    let mut line = ExperimentLine::new(
        "poison",
        order.seed,
        "engines lost to one request sent 20 times",
        "at most 2 engines lost; innocent requests in the same batch all served",
    );
    let naive = measure(order.seed, DecisionChoice::Random, &mut line).await?;
    line.baseline = Some(naive.lost as f64);
    let judged = match order.naive_only {
        true => naive,
        false => measure(order.seed, DecisionChoice::Product, &mut line).await?,
    };
    line.figure = judged.lost as f64;
    line.check(judged.lost <= TARGET_LOST, format!("{} engines were lost", judged.lost));
    line.check(judged.cut == 0, format!("{} innocent requests were not served", judged.cut));
    Ok(line)
}

/// The figures that are judged.
struct PoisonFigures {
    /// Engines lost.
    lost: usize,
    /// Innocent requests that were not served.
    cut: usize,
}

async fn measure(
    seed: u64,
    decisions: DecisionChoice,
    line: &mut ExperimentLine,
) -> eyre::Result<PoisonFigures> {
    let name = decisions.name();
    let prompt = format!("the request that stops engines, {seed}");
    let mut plan = BenchPlan {
        decisions,
        stages: 2,
        step_times: vec![Duration::from_millis(20); 4],
        poison: vec![prompt.clone()],
        ..BenchPlan::default()
    };
    plan.capacity = plan.full_capacity();
    let shape = StreamShape::at_load(&plan, LOAD, LOAD_TIME);
    let schedule = LoadSchedule::of_stream(&shape, seed);
    eprintln!("poison: {name}, {} innocent requests", schedule.requests.len());
    let mut lost = 0;
    let mut ends = BTreeMap::new();
    let result = run_session(plan, schedule, async |bench, entries, start| {
        let sends = tokio::spawn(send_poison(bench.plan.clone(), entries.clone(), prompt, start));
        lost = restart_dead(bench, start).await?;
        ends = sends.await?;
        Ok(())
    })
    .await?;
    line.add(format!("{name}_engines_lost"), lost as f64);
    for (end, count) in ends {
        line.add(format!("{name}_poison_{end}"), f64::from(count));
    }
    line.add(format!("{name}_steps_run_again"), result.ledger.steps_run_again() as f64);
    line.add(format!("{name}_rebuilt_tokens"), result.ledger.rebuilt_tokens() as f64);
    report_ends(&result.records, &format!("{name}_innocent_"), line);
    let served = result.records.iter().filter(|record| record.end == CallEnd::Complete).count();
    Ok(PoisonFigures { lost, cut: result.records.len() - served })
}

/// Sends the request again and again through the entries in turn; gives how each time ended.
async fn send_poison(
    plan: BenchPlan,
    entries: EntryList,
    prompt: String,
    start: Instant,
) -> BTreeMap<SmolStr, u32> {
    let client = plain_client();
    let mut calls = JoinSet::new();
    for turn in 0..SEND_COUNT {
        let at = start + FIRST_SENT + SEND_PAUSE * turn as u32;
        tokio::time::sleep_until(at).await;
        let Some((_, address)) = entries.pick(turn % plan.entries) else { continue };
        let order = CallOrder {
            address,
            token: plan.workspaces[0].token(),
            prompt: prompt.clone(),
            tokens: 8,
            deadline: Duration::from_secs(10),
            layers: plan.layers,
        };
        let client = client.clone();
        calls.spawn(async move { call(&client, &order).await.end });
    }
    let mut ends = BTreeMap::new();
    for end in calls.join_all().await {
        let name = match end {
            CallEnd::NotRun(kind) => format_smolstr!("not_run_{kind}"),
            CallEnd::Complete => SmolStr::new_static("complete"),
            CallEnd::Unknown(_) => SmolStr::new_static("unknown"),
            CallEnd::Unreached | CallEnd::Lost(_) => SmolStr::new_static("lost"),
            CallEnd::Wrong(_) => SmolStr::new_static("wrong"),
        };
        *ends.entry(name).or_default() += 1;
    }
    ends
}

/// Starts dead engines again until the load ends; gives how many died.
async fn restart_dead(bench: &mut LoadBench, start: Instant) -> eyre::Result<usize> {
    let mut lost = 0;
    let mut dead: BTreeMap<usize, Instant> = BTreeMap::new();
    while start.elapsed() < LOAD_TIME {
        for index in 0..bench.engines.len() {
            if !dead.contains_key(&index) && bench.engines[index].process.has_ended() {
                eprintln!("poison: {} died", bench.engines[index].plan.name);
                lost += 1;
                dead.insert(index, Instant::now());
            }
        }
        let due: Vec<usize> = dead
            .iter()
            .filter(|(_, since)| since.elapsed() >= RESTART_PAUSE)
            .map(|(index, _)| *index)
            .collect();
        for index in due {
            bench.restart_engine(index).await?;
            dead.remove(&index);
        }
        sleep(LOOK_PAUSE).await;
    }
    Ok(lost)
}
