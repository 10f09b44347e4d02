//! Structured log lines: one JSON object for each decision.
//!
//! [`start_logging`] sets up the writer. Logging never blocks a request: lines within the budget go
//! to a bounded queue, which a separate thread writes out. Lines that exceed the budget or the
//! queue are dropped and counted. The budget drops routine lines first.

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

use crate::callers::answer::Refusal;
use crate::callers::routed_request::RoutedRequest;
use crate::decisions::admission::AdmissionDecision;
use crate::decisions::admission::PlannedReturn;
use crate::decisions::waiting::QueuePlace;
use crate::edges::OrderError;
use crate::edges::OrderOutcome;
use crate::edges::RequestToken;
use crate::log_budget::LinePriority;
use crate::log_budget::LogBudget;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::ids::ZoneId;
use banyan_core::pipeline::chain::ChainChoice;
use banyan_core::pipeline::crashes::TargetCrash;
use banyan_core::pipeline::prompt_order::Urgency;
use banyan_core::pipeline::target_chain::TargetChain;
use banyan_core::pipeline::target_limits::TargetLimit;
use banyan_core::units::Moment;
use banyan_http::clock::RuntimeClock;

/// The largest number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 4_096;
/// The default sustained rate, in lines per second.
pub const DEFAULT_LINES_PER_SECOND: f64 = 200.0;
/// The size of a burst, in seconds of the sustained rate.
const BURST_SECONDS: f64 = 5.0;
/// The time between two reports of dropped lines.
const DROPPED_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// The `tracing` target of lines about successful operations.
const ROUTINE: &str = "routine";

/// The log writer with its budget. Lines are written until this is dropped.
pub struct RunningLog {
    budget: Arc<LogBudget>,
    queue_errors: ErrorCounter,
    _guard: WorkerGuard,
}

/// The settings of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// The lowest level that is logged, for all lines or by target, such as `info` or
    /// `info,routine=warn`.
    pub filter: String,
    /// The sustained rate, in lines per second. Invariant: positive.
    pub rate: f64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { filter: "info".to_owned(), rate: DEFAULT_LINES_PER_SECOND }
    }
}

/// Returns a valid filter unchanged, or a message that explains why it is invalid.
pub fn check_filter(text: &str) -> Result<String, String> {
    match EnvFilter::try_new(text) {
        Ok(_) => Ok(text.to_owned()),
        Err(error) => Err(format!("{error}: write a level, or levels by target")),
    }
}

/// Starts writing structured lines to `output`. Stops when the returned log is dropped.
pub fn start_logging<W>(settings: &LogSettings, output: W) -> RunningLog
where
    W: std::io::Write + Send + 'static,
{
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, guard) = builder.finish(output);
    let queue_errors = writer.error_counter();
    let budget = Arc::new(LogBudget::new(settings.rate, settings.rate * BURST_SECONDS));
    let clock = RuntimeClock::start();
    let filter_budget = budget.clone();
    let admit = dynamic_filter_fn(move |metadata, _| {
        let routine = metadata.target() == ROUTINE;
        let priority = if routine { LinePriority::Routine } else { LinePriority::Important };
        !metadata.is_event() || filter_budget.admit(priority, clock.now())
    });
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(writer)
        .with_filter(admit);
    tracing_subscriber::registry().with(EnvFilter::new(&settings.filter)).with(lines).init();
    RunningLog { budget, queue_errors, _guard: guard }
}

impl RunningLog {
    /// Logs the number of dropped lines periodically, if there are any. Never returns.
    pub async fn report_dropped(&self) {
        let mut reported = 0;
        loop {
            tokio::time::sleep(DROPPED_REPORT_INTERVAL).await;
            let over_budget = self.budget.take_dropped();
            let total = self.queue_errors.dropped_lines();
            let unwritten = total - reported;
            reported = total;
            if over_budget + unwritten as u64 > 0 {
                metrics::counter!("banyan_log_lines_dropped_total")
                    .increment(over_budget + unwritten as u64);
                tracing::warn!(part = "log", over_budget, unwritten, "Lines were left out.");
            }
        }
    }
}

/// Logs that the daemon refused a request. `took` is absent if the time was not measured.
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

/// Logs that a target's answer, which was received completely, is relayed.
pub fn answered(
    request: &RoutedRequest,
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
        request = %request.token,
        route = %request.route.name,
        version = request.version,
        target,
        attempts,
        status = status.as_u16(),
        took_ms = took.as_millis() as u64,
        "Request answered."
    );
}

/// Logs the chain chosen for a request, with the values that determined the choice.
pub fn chain_chosen(
    token: &RequestToken,
    choice: &ChainChoice,
    attempts: u32,
    last_event: Option<u64>,
    urgency: Option<Urgency>,
) {
    let urgency = urgency.map(Urgency::level);
    if let Some(level) = urgency {
        // There are ten levels, which bounds the label.
        metrics::counter!("banyan_urgencies_total", "urgency" => level.to_string()).increment(1);
    }
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
        urgency,
        "A chain was chosen."
    );
}

/// Logs that a request waits for room.
pub fn admission_queued(request: &RoutedRequest, decision: &AdmissionDecision, place: &QueuePlace) {
    count_admission(request, decision, "queued");
    tracing::info!(
        target: ROUTINE,
        part = "request",
        request = %request.token,
        priority = decision.rank.priority.0,
        arrival = ?decision.arrival,
        ahead = place.ahead,
        estimate_ms = place.estimate.as_millis() as u64,
        "Waits for room."
    );
}

/// Logs that a request was admitted to a chain by its priority.
pub fn admitted(request: &RoutedRequest, decision: &AdmissionDecision, now: Moment) {
    count_admission(request, decision, "admitted");
    tracing::info!(
        target: ROUTINE,
        part = "request",
        request = %request.token,
        priority = decision.rank.priority.0,
        arrival = ?decision.arrival,
        limit = (decision.limit * 100.0).round() / 100.0,
        held_ms = now.since(request.received).as_millis() as u64,
        "Admitted by priority."
    );
}

/// Logs that no chain had room for a request of its priority, and when its caller returns.
pub fn admission_refused(
    request: &RoutedRequest,
    decision: &AdmissionDecision,
    planned: &PlannedReturn,
    now: Moment,
) {
    count_admission(request, decision, "no_room");
    tracing::info!(
        part = "request",
        request = %request.token,
        priority = decision.rank.priority.0,
        arrival = ?decision.arrival,
        limit = (decision.limit * 100.0).round() / 100.0,
        ahead = planned.ahead,
        estimate_ms = planned.estimate.map(|estimate| estimate.as_millis() as u64),
        after_ms = planned.wait.as_millis() as u64,
        held_ms = now.since(request.received).as_millis() as u64,
        "No room for its priority."
    );
}

/// Counts by service, priority and outcome, whose numbers the configuration bounds.
fn count_admission(request: &RoutedRequest, decision: &AdmissionDecision, outcome: &'static str) {
    metrics::counter!(
        "banyan_admissions_total",
        "service" => request.service.id.to_string(),
        "priority" => decision.rank.priority.to_string(),
        "outcome" => outcome
    )
    .increment(1);
}

/// Logs that one attempt of a request failed.
pub fn attempt_failed(request: &RoutedRequest, target: &TargetId, cause: &str) {
    metrics::counter!("banyan_attempt_failures_total").increment(1);
    tracing::info!(
        part = "request",
        request = %request.token,
        %target,
        prompt_parts = prompt_text(request),
        cause,
        "An attempt failed."
    );
}

/// Logs that a target is suspected to have failed and is avoided for a while.
pub fn target_suspected(token: &RequestToken, target: &TargetId, cause: &str) {
    tracing::info!(part = "health", request = %token, %target, cause, "Doubted.");
}

/// Logs that a target rejected a request for lack of room. `place` tells whether it is the first
/// engine of the chain or a later one.
pub fn target_full(target: &TargetId, place: &str) {
    tracing::info!(part = "room", %target, engine = place, "A target had no room for a request.");
}

/// Logs that a chain sent the first event of a stream.
pub fn stream_opened(request: &RoutedRequest, chain: &TargetChain, took: Duration) {
    metrics::histogram!("banyan_first_event_seconds").record(took.as_secs_f64());
    tracing::info!(
        target: ROUTINE,
        part = "request",
        request = %request.token,
        route = %request.route.name,
        version = request.version,
        chain = %chain_text(chain),
        took_ms = took.as_millis() as u64,
        "The stream began."
    );
}

/// Logs the number of usable chains by zone after the set of chains changed.
pub fn chains_changed(service: &ServiceId, chains: &[Arc<TargetChain>], fleet: u64) {
    let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
    for chain in chains {
        *zones.entry(chain.zone.as_ref().map_or("several", ZoneId::as_str)).or_default() += 1;
    }
    let zones = format!("{zones:?}");
    tracing::info!(part = "health", %service, fleet, zones, "The chains changed.");
}

/// Logs that a target crashed, `written` after it began the answer to a request. `suspects` is the
/// number of the request's traits that are suspected of it.
pub fn crash_suspected(
    request: &RoutedRequest,
    target: &TargetId,
    written: Duration,
    suspects: usize,
) {
    metrics::counter!("banyan_target_crashes_total").increment(1);
    tracing::info!(
        part = "health",
        request = %request.token,
        %target,
        prompt_parts = prompt_text(request),
        written_ms = written.as_millis() as u64,
        suspects,
        "A target crashed under a request."
    );
}

/// Logs that a target had crashed under a request that it left without an answer. `suspects` is the
/// number of the request's traits that are suspected of it.
pub fn silent_crash_suspected(crash: &TargetCrash, suspects: usize) {
    metrics::counter!("banyan_silent_crashes_total").increment(1);
    tracing::info!(
        part = "health",
        target = %crash.target,
        run = crash.run,
        suspects,
        "A target turned out to have crashed under a request without an answer."
    );
}

/// Logs that a target named another limit, or none any more. `source` is where that was learned.
pub fn limit_changed(target: &TargetId, limit: Option<TargetLimit>, source: &str) {
    metrics::counter!("banyan_limit_changes_total").increment(1);
    let limit = limit.map_or("none".to_owned(), |limit| limit.to_string());
    tracing::info!(part = "health", %target, limit, source, "A target's limit changed.");
}

/// Logs that a stream ended early or stalled, `written` after its first event on this chain.
pub fn stream_interrupted(
    request: &RoutedRequest,
    chain: &TargetChain,
    written: Duration,
    last_event: Option<u64>,
    cause: &str,
) {
    metrics::counter!("banyan_stream_interruptions_total").increment(1);
    tracing::info!(
        part = "request",
        request = %request.token,
        chain = %chain_text(chain),
        prompt_parts = prompt_text(request),
        written_ms = written.as_millis() as u64,
        last_event,
        cause,
        "The stream was interrupted."
    );
}

/// Logs the outcome of an order to the first engine of a chain to replace other engines of the
/// chain.
pub fn stream_rerouted(
    token: &RequestToken,
    chain: &TargetChain,
    rerouted: &TargetChain,
    outcome: &Result<OrderOutcome, OrderError>,
    accepted: bool,
) {
    metrics::counter!("banyan_reroutes_total", "taken" => accepted.to_string()).increment(1);
    let from = chain_text(chain);
    let to = chain_text(rerouted);
    tracing::info!(part = "request", request = %token, from, to, ?outcome, "Reroute requested.");
}

/// The outcome of a stream that ended normally.
pub const COMPLETE: &str = "complete";

/// Logs the end of a stream with its outcome.
pub fn stream_ended(
    request: &RoutedRequest,
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
    let token = request.token.0.as_str();
    let text = "The stream ended.";
    if outcome == COMPLETE {
        tracing::info!(target: ROUTINE, part = "request", request = token, outcome, last_event,
            resumed, longest_pause_ms, took_ms, "{text}");
    } else {
        tracing::info!(
            part = "request",
            request = token,
            outcome,
            last_event,
            resumed,
            longest_pause_ms,
            took_ms,
            "{text}"
        );
    }
}

/// The parts of a request's prompt that other requests may have too, for log lines.
fn prompt_text(request: &RoutedRequest) -> String {
    let parts: Vec<&str> =
        request.caller.shared_parts().iter().map(|part| part.0.as_str()).collect();
    parts.join(" ")
}

/// The engines of a chain with their layers, in order, for log lines.
fn chain_text(chain: &TargetChain) -> String {
    let parts: Vec<String> =
        chain.parts.iter().map(|part| format!("{}:{}", part.target, part.range)).collect();
    parts.join(" ")
}
