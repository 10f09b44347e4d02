//! Asks targets that are doubted whether they are there: [`probe_targets`], [`watch_unreachable`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::edges::Platform;
use crate::state::ForwardState;
use banyan_core::ids::TargetId;

/// The time within which a target that is there answers.
const PROBE_LIMIT: Duration = Duration::from_millis(200);
/// The time between two probes of targets that did not answer.
const REPEAT_PAUSE: Duration = Duration::from_millis(500);

/// Begins to probe the targets to which no probe is under way.
pub fn probe_targets<P: Platform>(state: &Arc<ForwardState<P>>, ids: &[TargetId]) {
    let fresh = state.tables().suspicions.begin_probes(ids);
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
    }
}

async fn probe_target<P: Platform>(state: Arc<ForwardState<P>>, id: TargetId) {
    let address = state.tables().fleet.rows.get(&id).map(|row| row.report.address);
    let answered = match address {
        Some(address) => answers(&state, address).await,
        None => true,
    };
    let now = state.now();
    state.tables().suspicions.end_probe(&id, answered, now);
    if !answered {
        tracing::info!(part = "health", target = %id, "It does not answer.");
    }
}

/// Whether a target answers a probe in time.
pub async fn answers<P: Platform>(state: &ForwardState<P>, address: SocketAddr) -> bool {
    let asking = state.platform.engine_state(address);
    matches!(tokio::time::timeout(PROBE_LIMIT, asking).await, Ok(Ok(_)))
}
