//! Structured log lines: one JSON object for each decision.
//!
//! [`start_logging`] sets up the writer. It never holds up a request: lines within the budget go to a
//! bounded queue that a thread of its own empties; what the budget or the queue does not take is
//! dropped and counted, lines about what went well first.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tracing_appender::non_blocking::ErrorCounter;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::Layer;
use tracing_subscriber::filter::dynamic_filter_fn;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::answer::Refusal;
use crate::edges::OrderError;
use crate::edges::OrderOutcome;
use crate::edges::RequestToken;
use crate::log_budget::LineWeight;
use crate::log_budget::LogBudget;
use crate::routed_request::RoutedRequest;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::ids::ZoneId;
use banyan_core::pipeline::chain::ChainChoice;
use banyan_core::pipeline::chain::TargetChain;
use banyan_http::clock::RuntimeClock;

/// Lines that wait to be written at most.
const QUEUE_LINES: usize = 4_096;
/// Lines a second in the long run, unless the settings say otherwise.
pub const LINES_A_SECOND: f64 = 200.0;
/// How many seconds' lines may be written at once.
const BURST_SECONDS: f64 = 5.0;
/// The time between two lines about lines that were left out.
const DROPPED_PAUSE: Duration = Duration::from_secs(5);
/// The target of lines about what went well.
const ROUTINE: &str = "routine";

/// The writer of log lines and what bounds it.
pub struct RunningLog {
    budget: Arc<LogBudget>,
    lost: ErrorCounter,
    _guard: WorkerGuard,
}

/// What is logged.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// The lowest level, for all lines or by target, such as `info` or `info,routine=warn`.
    pub filter: String,
    /// Lines a second in the long run. Invariant: positive.
    pub rate: f64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { filter: "info".to_owned(), rate: LINES_A_SECOND }
    }
}

/// Takes a filter that can be used as it is, and says of another one what is wrong with it.
pub fn check_filter(text: &str) -> Result<String, String> {
    match EnvFilter::try_new(text) {
        Ok(_) => Ok(text.to_owned()),
        Err(error) => Err(format!("{error}: write a level, or levels by target")),
    }
}

/// Writes structured lines to `output` until the log is dropped.
pub fn start_logging<W>(settings: &LogSettings, output: W) -> RunningLog
where
    W: std::io::Write + Send + 'static,
{
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUE_LINES);
    let (writer, guard) = builder.finish(output);
    let lost = writer.error_counter();
    let budget = Arc::new(LogBudget::new(settings.rate, settings.rate * BURST_SECONDS));
    let clock = RuntimeClock::start();
    let admitting = budget.clone();
    let admit = dynamic_filter_fn(move |metadata, _| {
        let routine = metadata.target() == ROUTINE;
        let weight = if routine { LineWeight::Routine } else { LineWeight::Important };
        !metadata.is_event() || admitting.admit(weight, clock.now())
    });
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(writer)
        .with_filter(admit);
    tracing_subscriber::registry().with(EnvFilter::new(&settings.filter)).with(lines).init();
    RunningLog { budget, lost, _guard: guard }
}

impl RunningLog {
    /// Tells how many lines were left out, now and then, for as long as the daemon runs.
    pub async fn report_dropped(&self) {
        let mut known_lost = 0;
        loop {
            tokio::time::sleep(DROPPED_PAUSE).await;
            let over_budget = self.budget.take_dropped();
            let lost = self.lost.dropped_lines();
            let unwritten = lost - known_lost;
            known_lost = lost;
            if over_budget + unwritten as u64 > 0 {
                metrics::counter!("banyan_log_lines_dropped_total")
                    .increment(over_budget + unwritten as u64);
                tracing::warn!(part = "log", over_budget, unwritten, "Lines were left out.");
            }
        }
    }
}

/// Logs that a request got an answer of the daemon's own.
pub fn refused(token: Option<&RequestToken>, refusal: Refusal, took: Option<Duration>) {
    let request = token.map_or("", |token| token.0.as_str());
    let status = refusal.status().as_u16();
    let cause = refusal.as_str();
    let after_ms = match refusal {
        Refusal::NotRun(_, after) => after.as_millis() as u64,
        _ => 0,
    };
    let took_ms = took.unwrap_or_default().as_millis() as u64;
    metrics::counter!("banyan_refusals_total", "cause" => cause).increment(1);
    metrics::counter!("banyan_requests_total", "outcome" => "refused").increment(1);
    tracing::info!(part = "request", request, status, cause, after_ms, took_ms, "Refused.");
}

/// Logs that a target's answer was passed on whole.
pub fn answered(
    ticket: &RoutedRequest,
    status: StatusCode,
    target: Option<&TargetId>,
    attempts: u32,
    took: Duration,
) {
    let target = target.map_or("", TargetId::as_str);
    metrics::histogram!("banyan_answer_seconds").record(took.as_secs_f64());
    let outcome = if status.is_server_error() { "failed" } else { "answered" };
    metrics::counter!("banyan_requests_total", "outcome" => outcome).increment(1);
    tracing::info!(
        target: ROUTINE,
        part = "request",
        request = %ticket.token,
        route = %ticket.route.name,
        version = ticket.version,
        target,
        attempts,
        status = status.as_u16(),
        took_ms = took.as_millis() as u64,
        "Answered."
    );
}

/// Logs which chain a request is sent to, and what decided it.
pub fn chain_chosen(
    token: &RequestToken,
    choice: &ChainChoice,
    attempts: u32,
    last_event: Option<u64>,
) {
    tracing::info!(
        target: ROUTINE,
        part = "request",
        request = %token,
        first = %choice.chain.parts[0].target,
        zone = choice.chain.zone.as_ref().map_or("several", ZoneId::as_str),
        fullness = (choice.fullness * 100.0).round() / 100.0,
        first_event_ms = choice.first_event.as_millis() as u64,
        attempts,
        last_event,
        "A chain was chosen."
    );
}

/// Logs that one attempt of a request failed.
pub fn attempt_failed(token: &RequestToken, target: &TargetId, cause: &str) {
    metrics::counter!("banyan_attempt_failures_total").increment(1);
    tracing::info!(part = "request", request = %token, %target, cause, "An attempt failed.");
}

/// Logs that a target is avoided for a while.
pub fn doubted(token: &RequestToken, target: &TargetId, cause: &str) {
    tracing::info!(part = "health", request = %token, %target, cause, "Doubted.");
}

/// Logs that a chain gave its first event.
pub fn stream_opened(ticket: &RoutedRequest, chain: &TargetChain, took: Duration) {
    metrics::histogram!("banyan_first_event_seconds").record(took.as_secs_f64());
    tracing::info!(
        target: ROUTINE,
        part = "request",
        request = %ticket.token,
        route = %ticket.route.name,
        version = ticket.version,
        chain = %chain_text(chain),
        took_ms = took.as_millis() as u64,
        "The stream began."
    );
}

/// Logs which chains are worth using now.
pub fn chains_changed(service: &ServiceId, chains: &[Arc<TargetChain>], fleet: u64) {
    let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
    for chain in chains {
        *zones.entry(chain.zone.as_ref().map_or("several", ZoneId::as_str)).or_default() += 1;
    }
    let zones = format!("{zones:?}");
    tracing::info!(part = "health", %service, fleet, zones, "The chains changed.");
}

/// Logs that a stream broke off or stands still.
pub fn stream_interrupted(
    ticket: &RoutedRequest,
    chain: &TargetChain,
    after: Option<u64>,
    cause: &str,
) {
    metrics::counter!("banyan_stream_interruptions_total").increment(1);
    tracing::info!(
        part = "request",
        request = %ticket.token,
        chain = %chain_text(chain),
        last_event = after,
        cause,
        "The stream was interrupted."
    );
}

/// Logs that the first engine of a stream's chain was told to leave some of the others.
pub fn stream_rerouted(
    token: &RequestToken,
    chain: &TargetChain,
    rerouted: &TargetChain,
    outcome: &Result<OrderOutcome, OrderError>,
    taken: bool,
) {
    metrics::counter!("banyan_reroutes_total", "taken" => taken.to_string()).increment(1);
    let from = chain_text(chain);
    let to = chain_text(rerouted);
    tracing::info!(part = "request", request = %token, from, to, ?outcome, "The chain changed.");
}

/// The outcome of a stream that came to its end.
pub const COMPLETE: &str = "complete";

/// Logs how a stream ended.
pub fn stream_ended(
    ticket: &RoutedRequest,
    outcome: &str,
    last_event: Option<u64>,
    resumed: u32,
    longest_pause: Duration,
    took: Duration,
) {
    metrics::histogram!("banyan_longest_pause_seconds").record(longest_pause.as_secs_f64());
    let kind = if outcome == COMPLETE { "streamed" } else { "broken_off" };
    metrics::counter!("banyan_requests_total", "outcome" => kind).increment(1);
    let took_ms = took.as_millis() as u64;
    let longest_pause_ms = longest_pause.as_millis() as u64;
    let request = ticket.token.0.as_str();
    let text = "The stream ended.";
    if outcome == COMPLETE {
        tracing::info!(target: ROUTINE, part = "request", request, outcome, last_event, resumed,
            longest_pause_ms, took_ms, "{text}");
    } else {
        tracing::info!(
            part = "request",
            request,
            outcome,
            last_event,
            resumed,
            longest_pause_ms,
            took_ms,
            "{text}"
        );
    }
}

/// The engines of a chain with their layers.
fn chain_text(chain: &TargetChain) -> String {
    let parts: Vec<String> =
        chain.parts.iter().map(|part| format!("{}:{}", part.target, part.range)).collect();
    parts.join(" ")
}
