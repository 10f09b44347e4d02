//! Lets at most one suspect run on a target at a time, over all instances: [`begin_trial`].
//!
//! Two suspects of different instances on one target could not be told apart when it crashes, and
//! an innocent one would be convicted. So each target has a referee, the instance that is preferred
//! for it, which every instance asks before a suspect's step. The word of the referee is soft state:
//! where it cannot be asked, or two instances see different referees, a trial may be doubled, which
//! risks a wrong conviction and never a wrong answer.

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

/// Asks the target's referee whether a suspect may run there now.
pub async fn begin_trial(state: &EntryState, target: &TargetId, content: ContentDigest) -> bool {
    match referee(state, target) {
        None => judge(state, target.clone(), content, true),
        Some(address) => {
            let order = trial_order(target, content, true);
            // Without a referee the suspect is tried all the same, or it would never be served.
            peer_link::trial(state, address, order).await.unwrap_or(true)
        }
    }
}

/// Tells the target's referee that a suspect's step has ended there.
pub fn end_trial(state: &Arc<EntryState>, target: &TargetId, content: ContentDigest) {
    let Some(address) = referee(state, target) else {
        judge(state, target.clone(), content, false);
        return;
    };
    let order = trial_order(target, content, false);
    let state = state.clone();
    let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
    runtime.spawn(async move {
        if let Err(error) = peer_link::trial(&state, address, order).await {
            log::debug!("quarantine: The end of a trial was not told: {error}.");
        }
    });
}

/// Answers as the referee; `begins` says whether a trial begins or ends.
pub fn judge(state: &EntryState, target: TargetId, content: ContentDigest, begins: bool) -> bool {
    let now = state.now();
    let mut tables = state.tables();
    if begins {
        return tables.trials.begin(target, content, now);
    }
    tables.trials.end(&target, content);
    true
}

/// Where the target's referee is reached; nothing where it is this instance.
fn referee(state: &EntryState, target: &TargetId) -> Option<SocketAddr> {
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
