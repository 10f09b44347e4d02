//! The time until requests are served as before, after each of several failures: [`run`].
//!
//! One load at half of the bound runs through five failures: an engine is killed, another stands
//! still in the middle of a token, an entry is killed, a link slows down a hundredfold, and the log
//! is away.

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
use crate::tally::longest_stall;
use crate::tally::report_ends;
use banyan_core::event::EventKind;
use banyan_standin::fault::ConnectionFault;
use banyan_standin::fault::EngineFault;
use banyan_standin::fault::PlatformFault;

/// The share of the bound that is offered, so that the other engines of a stage can take over.
const LOAD: f64 = 0.5;
/// The time before the first failure.
const WARM_TIME: Duration = Duration::from_secs(6);
/// The time between two failures.
const WINDOW: Duration = Duration::from_secs(8);
/// The time from a failure to its repair.
const REPAIR_AFTER: Duration = Duration::from_millis(4500);
/// The time after a repair, or after the start, until the load is steady again.
const SETTLE_TIME: Duration = Duration::from_millis(1000);
/// The longest time from a dead stage's detection until its streams go on, in milliseconds.
const TARGET_RESUME_MS: f64 = 1000.0;
/// The most by which a request may be slowed while the log is away.
const TARGET_SLOWDOWN: f64 = 0.05;
/// The speed of a link that slowed down a hundredfold.
const SLOW_LINK: u64 = 1_250_000;

/// The failures, in order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    EngineKilled,
    StageFrozen,
    EntryKilled,
    LinkSlowed,
    LogAway,
}

const FAILURES: [Failure; 5] = [
    Failure::EngineKilled,
    Failure::StageFrozen,
    Failure::EntryKilled,
    Failure::LinkSlowed,
    Failure::LogAway,
];

impl Failure {
    fn name(self) -> &'static str {
        match self {
            Failure::EngineKilled => "engine_killed",
            Failure::StageFrozen => "stage_frozen",
            Failure::EntryKilled => "entry_killed",
            Failure::LinkSlowed => "link_slowed",
            Failure::LogAway => "log_away",
        }
    }

    /// When it happens, from the start of the load.
    fn at(self) -> Duration {
        let index = FAILURES.iter().position(|other| *other == self).unwrap_or_default();
        WARM_TIME + WINDOW * index as u32
    }

    /// The engine that it strikes, if it strikes one: another stage each time.
    fn engine(self) -> Option<usize> {
        match self {
            Failure::EngineKilled => Some(0),
            Failure::StageFrozen => Some(4),
            Failure::LinkSlowed => Some(8),
            Failure::EntryKilled | Failure::LogAway => None,
        }
    }
}

/// Runs the experiment.
pub async fn run(order: ExperimentOrder) -> eyre::Result<ExperimentLine> {
    let mut line = ExperimentLine::new(
        "recovery",
        order.seed,
        "longest time from a dead stage's detection until its streams go on, in ms",
        "within 1 s of detection; no request cut that a spare could serve; log outage: no \
         repeatable request lost or slowed by more than 5%",
    );
    let naive = measure(order.seed, DecisionChoice::Random, &mut line).await?;
    line.baseline = Some(rounded(naive.resume_ms));
    let judged = match order.naive_only {
        true => naive,
        false => measure(order.seed, DecisionChoice::Product, &mut line).await?,
    };
    line.figure = rounded(judged.resume_ms);
    line.check(judged.resume_ms <= TARGET_RESUME_MS, "streams go on within 1 s of detection");
    line.check(judged.cut == 0, format!("{} requests were cut", judged.cut));
    line.check(judged.slowdown <= TARGET_SLOWDOWN, "slowed by at most 5% while the log is away");
    Ok(line)
}

/// The figures that are judged.
struct RecoveryFigures {
    /// The longest time from detection until a stream goes on.
    resume_ms: f64,
    /// Requests cut by any failure but an entry's own.
    cut: usize,
    /// The share by which the time of a token grew while the log was away.
    slowdown: f64,
}

async fn measure(
    seed: u64,
    decisions: DecisionChoice,
    line: &mut ExperimentLine,
) -> eyre::Result<RecoveryFigures> {
    let name = decisions.name();
    let step_times = vec![Duration::from_millis(20); 3];
    let mut plan = BenchPlan { decisions, step_times, ..BenchPlan::default() };
    plan.capacity = plan.full_capacity();
    let shape = StreamShape::at_load(&plan, LOAD, WARM_TIME + WINDOW * FAILURES.len() as u32);
    let schedule = LoadSchedule::of_stream(&shape, seed);
    eprintln!("recovery: {name}, {} requests through 5 failures", schedule.requests.len());
    let result = run_session(plan, schedule, play_failures).await?;
    line.add(format!("{name}_steps_run_again"), result.ledger.steps_run_again() as f64);
    line.add(format!("{name}_rebuilt_tokens"), result.ledger.rebuilt_tokens() as f64);
    line.add(format!("{name}_steps"), result.ledger.steps() as f64);
    report_ends(&result.records, &format!("{name}_"), line);
    Ok(judge(&result, name, line))
}

async fn play_failures(
    bench: &mut LoadBench,
    entries: &EntryList,
    start: Instant,
) -> eyre::Result<()> {
    for failure in FAILURES {
        sleep_until(start + failure.at()).await;
        eprintln!("recovery: {}", failure.name());
        strike(bench, failure).await?;
        sleep_until(start + failure.at() + REPAIR_AFTER).await;
        repair(bench, entries, failure).await?;
    }
    Ok(())
}

async fn strike(bench: &mut LoadBench, failure: Failure) -> eyre::Result<()> {
    let engine = failure.engine().unwrap_or_default();
    match failure {
        Failure::EngineKilled => bench.engines[engine].process.kill().await?,
        Failure::StageFrozen => {
            let fault = EngineFault::Connection(ConnectionFault::Freeze);
            bench.fault_engine(engine, &fault).await;
        }
        Failure::EntryKilled => {
            bench.entries.last_mut().ok_or_eyre("no entry")?.process.kill().await?;
        }
        Failure::LinkSlowed => {
            let fault = EngineFault::Link { bytes_per_second: SLOW_LINK };
            bench.fault_engine(engine, &fault).await;
        }
        Failure::LogAway => {
            bench.fault_platform(&PlatformFault::Outage { reads: true, appends: true }).await;
        }
    }
    Ok(())
}

async fn repair(bench: &mut LoadBench, entries: &EntryList, failure: Failure) -> eyre::Result<()> {
    let engine = failure.engine().unwrap_or_default();
    match failure {
        Failure::EngineKilled => bench.restart_engine(engine).await?,
        Failure::StageFrozen => {
            let fault = EngineFault::Connection(ConnectionFault::Thaw);
            bench.fault_engine(engine, &fault).await;
        }
        Failure::EntryKilled => {
            let index = bench.entries.len() - 1;
            let entry = bench.start_entry(bench.entries.len()).await?;
            bench.wait_entry(&entry).await?;
            entries.put(index, entry.ready.caller_address);
            bench.entries[index] = entry;
        }
        Failure::LinkSlowed => {
            let fault = EngineFault::Link { bytes_per_second: 0 };
            bench.fault_engine(engine, &fault).await;
        }
        Failure::LogAway => {
            bench.fault_platform(&PlatformFault::Outage { reads: false, appends: false }).await;
        }
    }
    Ok(())
}

fn judge(result: &SessionResult, name: &str, line: &mut ExperimentLine) -> RecoveryFigures {
    let mut figures = RecoveryFigures { resume_ms: 0.0, cut: 0, slowdown: 0.0 };
    let usual = token_time(&result.records, &calm_spans());
    line.add(format!("{name}_usual_token_ms"), usual);
    for failure in FAILURES {
        let (from, until) = (failure.at(), failure.at() + WINDOW);
        let row = |what: &str| format!("{name}_{}_{what}", failure.name());
        let cut = cut_between(&result.records, from, until);
        let recovered = cut.iter().map(|record| record.ended - from).max().unwrap_or_default();
        line.add(row("requests_cut"), cut.len() as f64);
        line.add(row("last_cut_after_ms"), millis(recovered));
        let stall = longest_stall(&result.records, from, until);
        line.add(row("longest_stall_ms"), millis(stall));
        let slowdown = token_time(&result.records, &[(from, from + REPAIR_AFTER)]) / usual - 1.0;
        line.add(row("slowdown"), slowdown);
        match failure {
            Failure::EngineKilled | Failure::StageFrozen => {
                figures.cut += cut.len();
                let detected = detection(result, failure).unwrap_or_default();
                line.add(row("detected_after_ms"), millis(detected));
                let resume = millis(stall.saturating_sub(detected));
                figures.resume_ms = figures.resume_ms.max(resume);
            }
            Failure::LogAway => {
                figures.cut += cut.len();
                figures.slowdown = slowdown;
            }
            Failure::LinkSlowed => figures.cut += cut.len(),
            // A caller's connection ends with its entry; no spare entry can go on with it.
            Failure::EntryKilled => {}
        }
    }
    figures
}

/// Requests that ended between two times without their whole answer.
fn cut_between(records: &[CallRecord], from: Duration, until: Duration) -> Vec<&CallRecord> {
    let ended = records.iter().filter(|record| record.ended >= from && record.ended < until);
    ended.filter(|record| record.end != CallEnd::Complete).collect()
}

/// The stretches without any failure.
fn calm_spans() -> Vec<(Duration, Duration)> {
    let repaired = FAILURES.iter().map(|failure| failure.at() + REPAIR_AFTER);
    let before = FAILURES.iter().skip(1).map(|failure| failure.at());
    let mut spans: Vec<(Duration, Duration)> =
        repaired.zip(before).map(|(from, until)| (from + SETTLE_TIME, until)).collect();
    spans.push((SETTLE_TIME * 3, WARM_TIME));
    spans
}

/// The time from a failure until an entry first noticed that the engine it struck does not answer.
fn detection(result: &SessionResult, failure: Failure) -> Option<Duration> {
    let plan = BenchPlan::default();
    let engine = plan.engines().get(failure.engine()?)?.name.clone();
    let noticed = result.events.iter().filter(|event| {
        let kind = matches!(event.kind, EventKind::TargetSuspected | EventKind::Retried);
        kind && event.target == engine && event.at >= failure.at()
    });
    noticed.map(|event| event.at - failure.at()).min()
}

/// The mean time of a token within the spans, in milliseconds.
fn token_time(records: &[CallRecord], spans: &[(Duration, Duration)]) -> f64 {
    let within = |pair: &[Duration]| spans.iter().any(|span| pair[0] >= span.0 && pair[1] < span.1);
    let mut total = Duration::ZERO;
    let mut count = 0;
    for record in records {
        for pair in record.tokens.windows(2).filter(|pair| within(pair)) {
            total += pair[1] - pair[0];
            count += 1;
        }
    }
    millis(total) / f64::from(count.max(1))
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
