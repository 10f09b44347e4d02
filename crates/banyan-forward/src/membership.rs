//! This instance's place in the group of instances: [`keep_membership`].

use std::sync::Arc;
use std::time::Duration;

use crate::edges::Platform;
use crate::feeds::note_answer;
use crate::feeds::note_trouble;
use crate::state::ForwardState;

/// The time between two words to the group.
pub const MEMBERSHIP_PAUSE: Duration = Duration::from_millis(700);
/// The time after which the group takes an instance as gone that says nothing.
pub const MEMBERSHIP_TTL: Duration = Duration::from_millis(2_200);

/// Stays in the group until the daemon ends.
pub async fn keep_membership<P: Platform>(state: Arc<ForwardState<P>>) {
    let mut generation = 0;
    loop {
        let asked = state.now();
        match state.platform.keep_membership(generation).await {
            Ok(place) => {
                note_answer(&state, "membership");
                generation = place.generation;
                let mut tables = state.tables();
                let before = tables.membership;
                tables.set_membership(place);
                tables.membership_heard = asked;
                drop(tables);
                if before.is_none_or(|before| before.leads != place.leads) {
                    let leads = place.leads;
                    tracing::info!(part = "leadership", generation, leads, "The group answered.");
                }
            }
            Err(error) => note_trouble(&state, "membership", &error),
        }
        // Engines that check fencing tokens refuse an earlier leader, so that it may go on while the
        // group is silent; otherwise another instance may lead by now.
        let fenced = state.settings().bounds.engines_check_fences;
        let heard = state.tables().membership_heard;
        if !fenced && state.now().since(heard) >= MEMBERSHIP_TTL {
            step_down(&state);
        }
        tokio::time::sleep(MEMBERSHIP_PAUSE).await;
    }
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
