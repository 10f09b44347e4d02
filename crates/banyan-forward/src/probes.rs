//! Asks targets that are doubted whether they are there: [`probe_targets`], [`watch_unreachable`]; and
//! engines how quick they are: [`watch_paces`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::edges::EngineState;
use crate::edges::OrderError;
use crate::edges::Platform;
use crate::edges::with_time_limit;
use crate::state::ForwardState;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::fleet::TargetRow;
use banyan_core::pipeline::suspicion::ProbeEnd;

/// The time within which a target that is there answers.
const PROBE_LIMIT: Duration = Duration::from_millis(200);
/// The time between two probes of targets that did not answer.
const REPEAT_PAUSE: Duration = Duration::from_millis(400);

/// The time between two rounds of questions to engines how quick they are.
const PACE_PAUSE: Duration = Duration::from_millis(500);
/// The rounds in which each engine is asked once.
const PACE_ROUNDS: usize = 4;
/// The most engines that one instance asks in a round, so that large zones cost it no more.
const PACES_AT_ONCE: usize = 24;
/// The time within which an engine tells how quick it is.
const PACE_LIMIT: Duration = Duration::from_millis(300);

/// About how many instances check what peers say of a target.
const CHECKERS: u64 = 7;

/// Begins to probe the targets to which no probe is under way.
pub fn probe_targets<P: Platform>(state: &Arc<ForwardState<P>>, ids: &[TargetId]) {
    let now = state.now();
    let fresh = state.tables().suspicions.begin_probes(ids, now);
    for id in fresh {
        tokio::spawn(probe_target(state.clone(), id));
    }
}

/// Probes targets that did not answer until they do, or until they are gone.
pub async fn watch_unreachable<P: Platform>(state: Arc<ForwardState<P>>) {
    loop {
        tokio::time::sleep(REPEAT_PAUSE).await;
        let now = state.now();
        let unreachable = state.tables().suspicions.unreachable(now);
        probe_targets(&state, &unreachable);
        check_hints(&state);
    }
}

/// Asks the engines of the zone in turn how quick they are, where this instance reads the platform's
/// store for the zone; the others learn from digests which are slow.
pub async fn watch_paces<P: Platform>(state: Arc<ForwardState<P>>) {
    let mut turn = 0;
    loop {
        tokio::time::sleep(PACE_PAUSE).await;
        if !*state.reading.borrow() {
            continue;
        }
        let engines = near_engines(&state);
        let count = engines.len().div_ceil(PACE_ROUNDS).min(PACES_AT_ONCE);
        for (id, address) in engines.iter().cycle().skip(turn).take(count).cloned() {
            let state = state.clone();
            // An engine that does not answer shows where it is used.
            tokio::spawn(async move {
                let _ = observe_target(&state, &id, address, PACE_LIMIT).await;
            });
        }
        turn = (turn + count) % engines.len().max(1);
    }
}

/// The engines of this instance's zone that hold layers.
fn near_engines<P>(state: &ForwardState<P>) -> Vec<(TargetId, SocketAddr)> {
    let settings = state.settings();
    let tables = state.tables();
    let near = |row: &TargetRow| {
        row.takes_work() && row.report.zone == settings.zone && !row.report.held.is_empty()
    };
    let rows = tables.fleet.rows.iter().filter(|(_, row)| near(row));
    rows.map(|(id, row)| (id.clone(), row.report.address)).collect()
}

async fn probe_target<P: Platform>(state: Arc<ForwardState<P>>, id: TargetId) {
    let address = state.tables().fleet.rows.get(&id).map(|row| row.report.address);
    let end = match address {
        Some(address) => match observe_target(&state, &id, address, PROBE_LIMIT).await {
            Ok(_) => ProbeEnd::Answered,
            Err(OrderError::Absent) => ProbeEnd::Absent,
            Err(OrderError::NoAnswer { .. }) => ProbeEnd::NoAnswer,
        },
        None => ProbeEnd::Answered,
    };
    let ended = match end {
        ProbeEnd::Answered => "answered",
        ProbeEnd::NoAnswer => "no_answer",
        ProbeEnd::Absent => "absent",
    };
    metrics::counter!("banyan_probes_total", "end" => ended).increment(1);
    let now = state.now();
    if state.tables().suspicions.end_probe(&id, end, now) {
        tracing::info!(part = "health", target = %id, ?end, "A doubted target was probed.");
        state.plan_due.notify_one();
    }
}

/// Asks a target for its state and takes in which layers it holds.
pub async fn observe_target<P: Platform>(
    state: &ForwardState<P>,
    id: &TargetId,
    address: SocketAddr,
    limit: Duration,
) -> Result<EngineState, OrderError> {
    let asked = state.now();
    let asking = state.platform.engine_state(address);
    let answer = with_time_limit(limit, asking).await;
    if let Err(error) = &answer {
        tracing::debug!(part = "health", target = %id, %error, "It was asked in vain.");
    }
    let engine = answer?;
    // While layers come and go, the target's record is the better word.
    if !engine.busy {
        let now = state.now();
        state.tables().fleet.observe(id, &engine.held, asked, now);
    }
    state.tables().fleet.note_pace(id, engine.slowdown, asked);
    Ok(engine)
}

/// Probes targets that peers cannot reach, if it falls to this instance to check their word.
pub fn check_hints<P: Platform>(state: &Arc<ForwardState<P>>) {
    let now = state.now();
    let settings = state.settings();
    let tables = state.tables();
    let instances = tables.peer_loads.heard(now) as u64 + 1;
    let hinted: Vec<TargetId> = tables
        .peer_loads
        .unreachable(now)
        .filter(|id| !tables.suspicions.is_unreachable(id, now))
        .filter(|id| is_checker(settings.instance.as_str(), id, instances))
        .cloned()
        .collect();
    drop(tables);
    probe_targets(state, &hinted);
}

/// Whether an instance is among the few that check what peers say of a target.
fn is_checker(instance: &str, id: &TargetId, instances: u64) -> bool {
    let seed = xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes());
    let place = xxhash_rust::xxh3::xxh3_64_with_seed(instance.as_bytes(), seed);
    place % instances < CHECKERS
}
