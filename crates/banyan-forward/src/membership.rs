//! This instance's place in the group of instances: [`keep_membership`].
//!
//! A few instances of each zone belong to the group, so that one of them can lead; the others would
//! only make its calls dearer.

use std::sync::Arc;
use std::time::Duration;

use crate::edges::Platform;
use crate::feeds::record_store_failure;
use crate::feeds::record_store_success;
use crate::state::ForwardState;

/// The time between two words to the group.
pub const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(700);
/// The time after which the group takes an instance as gone that says nothing.
pub const MEMBERSHIP_TTL: Duration = Duration::from_millis(2_200);

/// With fewer other instances each of them is heard at once, and joins at once.
const MANY_INSTANCES: usize = 24;
/// The time between two looks at how many instances there are, at the start.
const START_PAUSE: Duration = Duration::from_millis(20);
/// The number of those looks.
const START_LOOKS: u32 = 60;

/// Stays in the group until the daemon ends.
pub async fn keep_membership<P: Platform>(state: Arc<ForwardState<P>>) {
    let mut generation = 0;
    wait_for_peers(&state).await;
    loop {
        if !stands_by(&state) {
            leave_group(&state).await;
            generation = 0;
            tokio::time::sleep(MEMBERSHIP_INTERVAL).await;
            continue;
        }
        let asked = state.now();
        match state.platform.keep_membership(generation).await {
            Ok(place) => {
                record_store_success(&state, "membership");
                generation = place.generation;
                let mut tables = state.tables();
                let before = tables.membership;
                tables.membership = Some(place);
                tables.membership_confirmed_at = asked;
                drop(tables);
                if before.is_none_or(|before| before.leads != place.leads) {
                    let leads = place.leads;
                    tracing::info!(part = "leadership", generation, leads, "The group answered.");
                }
            }
            Err(error) => record_store_failure(&state, "membership", &error),
        }
        // Engines that check fencing tokens refuse an earlier leader, so that it may go on while the
        // group is silent; otherwise another instance may lead by now.
        let fenced = state.settings().bounds.engines_check_fences;
        let heard = state.tables().membership_confirmed_at;
        if !fenced && state.now().since(heard) >= MEMBERSHIP_TTL {
            step_down(&state);
        }
        tokio::time::sleep(MEMBERSHIP_INTERVAL).await;
    }
}

/// Where there are many instances, waits until some of them were heard: whoever joins only to leave
/// again makes the group deal out its work anew.
async fn wait_for_peers<P: Platform>(state: &ForwardState<P>) {
    for _ in 0..START_LOOKS {
        if state.tables().peers_listed.is_some_and(|listed| listed < MANY_INSTANCES) {
            return;
        }
        tokio::time::sleep(START_PAUSE).await;
    }
}

/// Whether this instance should belong to the group.
fn stands_by<P>(state: &ForwardState<P>) -> bool {
    let settings = state.settings();
    let now = state.now();
    state.tables().readers.stands_by(&settings.instance, &settings.zone, now)
}

/// Belongs to the group no longer, as long as enough others of the zone do.
async fn leave_group<P: Platform>(state: &ForwardState<P>) {
    if !drop_place(state) {
        return;
    }
    match state.platform.leave().await {
        Ok(()) => tracing::info!(part = "leadership", "Left the group to others of the zone."),
        Err(error) => record_store_failure(state, "membership", &error),
    }
}

/// Gives up this instance's place in the group; tells whether it had one.
fn drop_place<P>(state: &ForwardState<P>) -> bool {
    let now = state.now();
    let mut tables = state.tables();
    // The leader is heard from peers, so that nothing is missed while the group is not asked.
    tables.membership_confirmed_at = now;
    let Some(place) = tables.membership.take() else { return false };
    tables.highest_seen_generation = tables.highest_seen_generation.max(place.generation);
    true
}

/// Leads no longer until the group answers again, since it may have made another instance the leader.
fn step_down<P>(state: &ForwardState<P>) {
    let mut tables = state.tables();
    if let Some(place) = &mut tables.membership
        && place.leads
    {
        place.leads = false;
        tracing::info!(part = "leadership", leads = false, "The group does not answer.");
    }
}
