//! The daemon's metrics: their names, descriptions and histogram buckets.
//!
//! Labels have few distinct values and never identify a request.

use metrics::Unit;
use metrics::describe_counter;
use metrics::describe_gauge;
use metrics::describe_histogram;
use metrics::gauge;
use metrics_exporter_prometheus::BuildError;
use metrics_exporter_prometheus::PrometheusBuilder;

use banyan_core::caller_memory::HoldUse;
use banyan_http::held_memory::CallerMemory;

/// The upper bounds of the histogram buckets, in seconds.
const TIME_BUCKETS: [f64; 13] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 5.0, 20.0];

/// Configures fixed histogram buckets, so that histograms of several instances can be aggregated.
pub fn configure(builder: PrometheusBuilder) -> Result<PrometheusBuilder, BuildError> {
    builder.set_buckets(&TIME_BUCKETS)
}

/// Sets the gauges of the memory that is held for callers.
pub fn set_held_bytes(memory: &CallerMemory) {
    for holds_for in HoldUse::ALL {
        let held = memory.used_for(holds_for).0 as f64;
        gauge!("banyan_held_bytes", "use" => holds_for.as_str()).set(held);
    }
    gauge!("banyan_held_bytes_limit").set(memory.limit().0 as f64);
}

/// Registers the description of every metric. Called once at startup.
pub fn describe() {
    let count = Unit::Count;
    let seconds = Unit::Seconds;
    describe_counter!("banyan_requests_total", count, "Requests that ended, by outcome.");
    describe_counter!("banyan_refusals_total", count, "Answers of the daemon's own, by cause.");
    describe_counter!(
        "banyan_admissions_total",
        count,
        "First attempts of streams of services that rank them, by priority and outcome."
    );
    describe_counter!("banyan_attempt_failures_total", count, "Attempts that failed.");
    describe_counter!(
        "banyan_stream_interruptions_total",
        count,
        "Streams that went on elsewhere."
    );
    describe_counter!(
        "banyan_room_rejections_total",
        count,
        "Requests that targets rejected for lack of room, by place of the full one in the chain."
    );
    describe_counter!(
        "banyan_reroutes_total",
        count,
        "Orders to leave engines of a running chain, by whether they were taken."
    );
    describe_counter!(
        "banyan_urgencies_total",
        count,
        "Streams sent to engines with an urgency, by its level."
    );
    describe_counter!("banyan_orders_total", count, "Orders to hold layers, by how they ended.");
    describe_counter!(
        "banyan_limit_changes_total",
        count,
        "Changes of the limits that targets name."
    );
    describe_counter!(
        "banyan_target_crashes_total",
        count,
        "Requests under whose beginning answer a target crashed."
    );
    describe_counter!("banyan_probes_total", count, "Probes of silent targets, by how they ended.");
    describe_counter!(
        "banyan_checks_total",
        count,
        "Silent targets that were left to their checker, by whether it answered."
    );
    describe_counter!("banyan_store_answers_total", count, "Answered calls to the store, by call.");
    describe_counter!("banyan_store_failures_total", count, "Failed calls to the store, by call.");
    describe_counter!(
        "banyan_reader_failures_total",
        count,
        "Peers that read the store for this instance and gave no news."
    );
    describe_counter!("banyan_log_lines_dropped_total", count, "Log lines that were left out.");
    describe_gauge!("banyan_held_bytes", Unit::Bytes, "Memory held for callers, by use.");
    describe_gauge!("banyan_held_bytes_limit", Unit::Bytes, "The limit of that memory.");
    describe_counter!(
        "banyan_unread_answers_closed_total",
        count,
        "Connections closed since their unread answers took memory that others needed."
    );
    describe_gauge!("banyan_configuration_version", count, "The configuration version in force.");
    describe_histogram!("banyan_answer_seconds", seconds, "Time from a head to the whole answer.");
    describe_histogram!(
        "banyan_first_event_seconds",
        seconds,
        "Time from a head to the first event."
    );
    describe_histogram!(
        "banyan_longest_pause_seconds",
        seconds,
        "The longest pause between two events of a stream."
    );
}
