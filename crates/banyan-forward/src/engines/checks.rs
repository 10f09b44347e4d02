//! Checks of silent targets that instances of a zone share: [`check_targets`] asks the checker of
//! each target, [`answer_check`] answers as the checker.
//!
//! Streams of many instances are silent at the same moment, mostly without a fault. Each instance
//! asks the checker, which probes the engine once for all of them. An instance probes a target
//! itself if it is the checker, or if the checker does not say that the target is alive.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::edges::Platform;
use crate::engines::probes::probe_target;
use crate::engines::probes::probe_targets;
use crate::peers::peer_link::call_context;
use crate::state::ForwardState;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::suspicion::CHECKER_TIMEOUT;
use banyan_core::pipeline::suspicion::CheckOutcome;
use banyan_wire::forward::CheckWire;

/// The interval between checks of unreachable targets.
const UNREACHABLE_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// The time for which a checker waits for its probes before it answers what it knows.
const CHECK_WAIT: Duration = Duration::from_millis(7);
/// The largest number of targets in one question to a checker.
const MAX_CHECKED_TARGETS: usize = 64;

/// Has the given targets checked, except those for which that was begun recently.
pub fn check_targets<P: Platform>(state: &Arc<ForwardState<P>>, ids: &[TargetId]) {
    let now = state.now();
    let settings = state.settings();
    let own = settings.own_instance();
    let mut asked: BTreeMap<SocketAddr, Vec<TargetId>> = BTreeMap::new();
    let mut tables = state.tables();
    for id in tables.suspicions.begin_probes(ids, now) {
        match tables.readers.checker(&own, &id, now) {
            Some(address) => {
                tables.suspicions.await_checker(&id);
                asked.entry(address).or_default().push(id);
            }
            None => {
                tokio::spawn(probe_target(state.clone(), id));
            }
        }
    }
    drop(tables);
    for (address, ids) in asked {
        for part in ids.chunks(MAX_CHECKED_TARGETS) {
            tokio::spawn(ask_checker(state.clone(), address, part.to_vec()));
        }
    }
}

/// Has unreachable targets checked repeatedly, so that their recovery is noticed. The instance that
/// orders layers probes them itself, and those that peers report as unreachable: it moves the
/// layers of a target that both it and another instance cannot reach. If all instances checked what
/// one of them reports, a probe that was answered late would make hundreds more.
pub async fn watch_unreachable<P: Platform>(state: Arc<ForwardState<P>>) {
    loop {
        tokio::time::sleep(UNREACHABLE_CHECK_INTERVAL).await;
        let now = state.now();
        let tables = state.tables();
        let mut ids: Vec<TargetId> = tables.suspicions.unreachable(now).cloned().collect();
        if !tables.orders_layers {
            drop(tables);
            check_targets(&state, &ids);
            continue;
        }
        ids.extend(tables.peer_loads.unreachable(now).cloned());
        drop(tables);
        ids.sort();
        ids.dedup();
        probe_targets(&state, &ids);
    }
}

/// Asks the checker of the targets and records its answer. Probes the targets if it does not
/// answer.
async fn ask_checker<P: Platform>(
    state: Arc<ForwardState<P>>,
    address: SocketAddr,
    ids: Vec<TargetId>,
) {
    let names = ids.iter().map(|id| SmolStr::new(id.as_str())).collect();
    let question = async {
        let link = state.peer_links.get(address).await?;
        link.check(call_context(CHECKER_TIMEOUT), names).await.ok()
    };
    let answer = tokio::time::timeout(CHECKER_TIMEOUT, question).await.ok().flatten();
    let end = if answer.is_some() { "told" } else { "silent" };
    metrics::counter!("banyan_checks_total", "end" => end).increment(ids.len() as u64);
    let Some(outcomes) = answer.filter(|outcomes| outcomes.len() == ids.len()) else {
        return probe_instead(&state, address, ids);
    };
    let now = state.now();
    let mut tables = state.tables();
    let checked = ids.into_iter().zip(outcomes);
    let undecided: Vec<TargetId> = checked
        .filter(|(id, outcome)| tables.suspicions.record_check(id, (*outcome).into(), now))
        .map(|(id, _)| id)
        .collect();
    drop(tables);
    for id in undecided {
        tokio::spawn(probe_target(state.clone(), id));
    }
}

/// Probes targets whose checker did not answer.
fn probe_instead<P: Platform>(
    state: &Arc<ForwardState<P>>,
    checker: SocketAddr,
    ids: Vec<TargetId>,
) {
    tracing::debug!(part = "health", %checker, "A checker did not answer.");
    state.peer_links.remove(checker);
    state.tables().readers.note_silent_checker(checker, state.now());
    for id in ids {
        tokio::spawn(probe_target(state.clone(), id));
    }
}

/// Answers another instance that asks this one to check targets: one outcome for each of them, in
/// the same order. Probes those about which nothing recent is known.
pub async fn answer_check<P: Platform>(
    state: &Arc<ForwardState<P>>,
    names: Vec<SmolStr>,
) -> Vec<CheckWire> {
    let ids: Vec<TargetId> =
        names.into_iter().take(MAX_CHECKED_TARGETS).map(TargetId::new).collect();
    let mut probe_ended = state.probe_ended.subscribe();
    let deadline = Instant::now() + CHECK_WAIT;
    let mut outcomes = known_outcomes(state, &ids);
    let unknown = ids.iter().zip(&outcomes).filter(|(_, known)| **known == CheckOutcome::Unknown);
    let unknown: Vec<TargetId> = unknown.map(|(id, _)| id.clone()).collect();
    probe_targets(state, &unknown);
    while outcomes.contains(&CheckOutcome::Unknown)
        && tokio::time::timeout_at(deadline, probe_ended.changed()).await.is_ok()
    {
        outcomes = known_outcomes(state, &ids);
    }
    outcomes.into_iter().map(CheckWire::from).collect()
}

fn known_outcomes<P>(state: &ForwardState<P>, ids: &[TargetId]) -> Vec<CheckOutcome> {
    let now = state.now();
    let tables = state.tables();
    ids.iter().map(|id| tables.suspicions.known_outcome(id, now)).collect()
}
