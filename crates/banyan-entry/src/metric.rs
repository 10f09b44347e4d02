//! The daemon's metrics. Labels have low cardinality and never contain a request id.

use metrics::counter;
use metrics::describe_counter;
use metrics::describe_gauge;
use metrics::describe_histogram;
use metrics::gauge;
use metrics::histogram;

use banyan_wire::caller::OutcomeWire;

/// Registers the descriptions of all metrics; called once at startup.
pub fn describe() {
    describe_counter!("banyan_requests_total", "Requests ended, by outcome.");
    describe_counter!("banyan_tokens_total", "Tokens sent to callers.");
    describe_counter!("banyan_retries_total", "Steps and calls that were tried again.");
    describe_counter!("banyan_stage_replacements_total", "Dead stages replaced by another target.");
    describe_counter!("banyan_dropped_answers_total", "Answers that matched no step waited for.");
    describe_histogram!("banyan_first_token_seconds", "Time from arrival to the first token.");
    describe_gauge!("banyan_active_requests", "Requests under way.");
    describe_gauge!("banyan_queued_requests", "Requests waiting for admission.");
    describe_gauge!("banyan_revision_in_force", "The configuration revision in force here.");
}

/// Counts a finished request by outcome.
pub fn count_request(outcome: OutcomeWire) {
    counter!("banyan_requests_total", "outcome" => outcome.to_string()).increment(1);
}

/// Counts tokens sent to callers.
pub fn count_tokens(tokens: u64) {
    counter!("banyan_tokens_total").increment(tokens);
}

/// Counts a repeated step or call.
pub fn count_retry() {
    counter!("banyan_retries_total").increment(1);
}

/// Counts a failed stage that another target replaced.
pub fn count_replacement() {
    counter!("banyan_stage_replacements_total").increment(1);
}

/// Counts an answer for which no step was waiting.
pub fn count_dropped_answer() {
    counter!("banyan_dropped_answers_total").increment(1);
}

/// Records the time to first token, in seconds.
pub fn record_first_token(seconds: f64) {
    histogram!("banyan_first_token_seconds").record(seconds);
}

/// Sets the gauges for active and queued requests and the revision in force.
pub fn set_gauges(active: usize, queued: usize, revision: u64) {
    gauge!("banyan_active_requests").set(active as f64);
    gauge!("banyan_queued_requests").set(queued as f64);
    gauge!("banyan_revision_in_force").set(revision as f64);
}
