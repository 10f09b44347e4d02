//! Probes suspect targets ([`probe_targets`]) and measures how slow engines are
//! ([`watch_slowdowns`]).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::edges::EngineState;
use crate::edges::OrderError;
use crate::edges::Platform;
use crate::edges::with_time_limit;
use crate::engines::leaving;
use crate::state::ForwardState;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::fleet::TargetRow;
use banyan_core::pipeline::readers::FeedRole;
use banyan_core::pipeline::suspicion::ProbeOutcome;

/// The time limit for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// The interval between rounds of slowdown queries.
const SLOWDOWN_QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// The number of rounds in which every engine of the zone is queried once, unless
/// [`MAX_SLOWDOWN_QUERIES`] makes it take more rounds.
const SLOWDOWN_QUERY_ROUNDS: usize = 4;
/// The maximum number of engines queried in a round, which bounds the load in large zones.
const MAX_SLOWDOWN_QUERIES: usize = 24;
/// The time limit for the answer to a slowdown query.
const SLOWDOWN_QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts this instance's own probes of the given targets, except of those to which one was started
/// recently.
pub fn probe_targets<P: Platform>(state: &Arc<ForwardState<P>>, ids: &[TargetId]) {
    let now = state.now();
    let due_probes = state.tables().suspicions.begin_probes(ids, now);
    for id in due_probes {
        tokio::spawn(probe_target(state.clone(), id));
    }
}

/// Queries the slowdown of the zone's engines in turn, while this instance fetches the platform's
/// records for the zone. Other instances learn the slow engines from digests.
pub async fn watch_slowdowns<P: Platform>(state: Arc<ForwardState<P>>) {
    let mut offset = 0;
    loop {
        tokio::time::sleep(SLOWDOWN_QUERY_INTERVAL).await;
        if *state.feed_role.borrow() == FeedRole::Follower {
            continue;
        }
        let engines = zone_engines(&state);
        let count = engines.len().div_ceil(SLOWDOWN_QUERY_ROUNDS).min(MAX_SLOWDOWN_QUERIES);
        for (id, address) in engines.iter().cycle().skip(offset).take(count).cloned() {
            let state = state.clone();
            // Errors are ignored: requests that use the engine detect that it does not answer.
            tokio::spawn(async move {
                let _ = observe_target(&state, &id, address, SLOWDOWN_QUERY_TIMEOUT).await;
            });
        }
        offset = (offset + count) % engines.len().max(1);
    }
}

/// The ready engines in this instance's zone that hold layers, with their addresses.
fn zone_engines<P>(state: &ForwardState<P>) -> Vec<(TargetId, SocketAddr)> {
    let settings = state.settings();
    let tables = state.tables();
    let in_zone = |row: &TargetRow| {
        row.takes_work() && row.report.zone == settings.zone && !row.report.held.is_empty()
    };
    let rows = tables.fleet.rows.iter().filter(|(_, row)| in_zone(row));
    rows.map(|(id, row)| (id.clone(), row.report.address)).collect()
}

/// Probes one target and records the outcome.
pub(super) async fn probe_target<P: Platform>(state: Arc<ForwardState<P>>, id: TargetId) {
    let address = state.tables().fleet.rows.get(&id).map(|row| row.report.address);
    let outcome = match address {
        Some(address) => match observe_target(&state, &id, address, PROBE_TIMEOUT).await {
            Ok(_) => ProbeOutcome::Answered,
            Err(OrderError::Absent) => ProbeOutcome::Absent,
            Err(OrderError::NoAnswer { .. }) => ProbeOutcome::NoAnswer,
        },
        None => ProbeOutcome::Answered,
    };
    let outcome_label = match outcome {
        ProbeOutcome::Answered => "answered",
        ProbeOutcome::NoAnswer => "no_answer",
        ProbeOutcome::Absent => "absent",
    };
    metrics::counter!("banyan_probes_total", "end" => outcome_label).increment(1);
    let now = state.now();
    let changed = state.tables().suspicions.record_probe(&id, outcome, now);
    state.probe_ended.send_replace(());
    if changed {
        tracing::info!(
            part = "health",
            target = %id,
            end = ?outcome,
            "A target's reachability changed."
        );
        state.plan_due.notify_one();
    }
}

/// Queries a target's state and records its slowdown and, unless an order is in progress, its
/// layers.
pub async fn observe_target<P: Platform>(
    state: &ForwardState<P>,
    id: &TargetId,
    address: SocketAddr,
    timeout: Duration,
) -> Result<EngineState, OrderError> {
    let asked_at = state.now();
    let query = state.platform.engine_state(address);
    let answer = with_time_limit(timeout, query).await;
    if let Err(error) = &answer {
        tracing::debug!(part = "health", target = %id, %error, "Reading the state failed.");
    }
    let engine = answer?;
    if engine.leaving {
        leaving::note_report(state, id, engine.started_at);
    }
    // While an order changes its layers, the target's record in the store is more reliable.
    if !engine.busy {
        let now = state.now();
        state.tables().fleet.observe(id, &engine.held, asked_at, now);
    }
    let mut tables = state.tables();
    tables.fleet.note_slowdown(id, engine.slowdown, asked_at);
    if tables.orders_layers {
        tables.note_engine_state(id, &engine);
    }
    if let Some(room) = engine.room {
        tables.peer_loads.rejections.note_report(id, room, asked_at);
    }
    drop(tables);
    Ok(engine)
}
