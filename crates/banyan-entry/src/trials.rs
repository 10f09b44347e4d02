//! Lets at most one suspect run on a target at a time, across all instances: [`begin_trial`].
//!
//! If two suspects of different instances ran on one target, its crash could not be attributed to
//! one of them, and harmless content could be quarantined. Each target therefore has a coordinator,
//! the instance that is preferred for it, which every instance asks before it sends a suspect's
//! step. The coordinator keeps soft state only: if it is unreachable, or two instances see
//! different coordinators, two trials may overlap. This risks a wrong quarantine, but never a wrong
//! answer.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use smol_str::SmolStr;

use crate::peer_link;
use crate::state::EntryState;
use banyan_core::ids::InstanceId;
use banyan_core::ids::TargetId;
use banyan_core::record::ContentDigest;
use banyan_core::rendezvous::preferred_owners;
use banyan_wire::peer::TrialRequest;

/// Asks the target's coordinator whether a suspect may run there now.
pub async fn begin_trial(state: &EntryState, target: &TargetId, content: ContentDigest) -> bool {
    match coordinator_address(state, target) {
        None => decide_trial(state, target.clone(), content, true),
        Some(address) => {
            let order = trial_order(target, content, true);
            // If the coordinator does not answer, the suspect runs anyway, or it might never run.
            peer_link::trial(state, address, order).await.unwrap_or(true)
        }
    }
}

/// Tells the target's coordinator that a suspect's step has ended there.
pub fn end_trial(state: &Arc<EntryState>, target: &TargetId, content: ContentDigest) {
    let Some(address) = coordinator_address(state, target) else {
        decide_trial(state, target.clone(), content, false);
        return;
    };
    let order = trial_order(target, content, false);
    let state = state.clone();
    let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
    runtime.spawn(async move {
        if let Err(error) = peer_link::trial(&state, address, order).await {
            log::debug!("quarantine: The end of a trial was not reported: {error}.");
        }
    });
}

/// Answers as the coordinator; `begins` says whether a trial begins or ends.
pub fn decide_trial(
    state: &EntryState,
    target: TargetId,
    content: ContentDigest,
    begins: bool,
) -> bool {
    let now = state.now();
    let mut tables = state.tables();
    if begins {
        return tables.trials.begin(target, content, now);
    }
    tables.trials.end(&target, content);
    true
}

/// The address of the target's coordinator; `None` if it is this instance.
fn coordinator_address(state: &EntryState, target: &TargetId) -> Option<SocketAddr> {
    let tables = state.tables();
    let peers = tables.peers.rows.iter().filter(|(_, row)| row.usable());
    let mut live: BTreeSet<InstanceId> = peers.map(|(instance, _)| instance.clone()).collect();
    live.insert(state.settings.instance.clone());
    let key = format!("trial {target}");
    let first = preferred_owners(&key, &live).into_iter().next()?;
    tables.peers.rows.get(&first)?.address
}

fn trial_order(target: &TargetId, content: ContentDigest, begins: bool) -> TrialRequest {
    TrialRequest { target: SmolStr::new(target.as_str()), content: content.0, begins }
}
