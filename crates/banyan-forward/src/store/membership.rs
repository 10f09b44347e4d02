//! This instance's membership in the group of instances: [`keep_membership`].
//!
//! The group determines the leader. Only a few instances of each zone are members, since each
//! further member makes the calls to the group more expensive. In a large fleet
//! [`banyan_core::pipeline::group`] decides who joins.

use std::sync::Arc;
use std::time::Duration;

use crate::edges::Platform;
use crate::state::ForwardState;
use crate::store::call_outcomes::record_store_failure;
use crate::store::call_outcomes::record_store_success;
use banyan_core::pipeline::duties::is_small_fleet;

/// The time between two heartbeats to the group.
pub const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(700);
/// The time without a heartbeat after which the group removes an instance.
pub const MEMBERSHIP_TTL: Duration = Duration::from_millis(2_200);

/// The time between two checks of the number of instances at startup.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum number of checks of the number of instances at startup.
const MAX_STARTUP_CHECKS: u32 = 60;

/// Keeps this instance in the group while it should be a member. Runs until the daemon stops.
pub async fn keep_membership<P: Platform>(state: Arc<ForwardState<P>>) {
    let mut generation = 0;
    wait_for_peers(&state).await;
    loop {
        if !should_be_member(&state) {
            leave_group(&state).await;
            generation = 0;
            tokio::time::sleep(MEMBERSHIP_INTERVAL).await;
            continue;
        }
        let requested_at = state.now();
        match state.platform.keep_membership(generation).await {
            Ok(membership) => {
                record_store_success(&state, "membership");
                generation = membership.generation;
                let mut tables = state.tables();
                let previous = tables.membership;
                tables.membership = Some(membership);
                tables.membership_confirmed_at = requested_at;
                drop(tables);
                if previous.is_none_or(|previous| previous.leads != membership.leads) {
                    let leads = membership.leads;
                    tracing::info!(
                        part = "leadership",
                        generation,
                        leads,
                        "The leadership status changed."
                    );
                }
            }
            Err(error) => record_store_failure(&state, "membership", &error),
        }
        // If engines check fencing tokens, they reject orders of a former leader. This instance can
        // then keep leading while the group does not respond. Otherwise it must step down, since
        // the group may have chosen another leader.
        let engines_check_fences = state.settings().bounds.engines_check_fences;
        let confirmed_at = state.tables().membership_confirmed_at;
        if !engines_check_fences && state.now().since(confirmed_at) >= MEMBERSHIP_TTL {
            step_down(&state);
        }
        tokio::time::sleep(MEMBERSHIP_INTERVAL).await;
    }
}

/// Gives digests of other instances time to arrive at startup, unless there are only a few
/// instances. If there are many or their number is not known, all checks are made. An instance that
/// joins the group only to leave it again makes the group redistribute its work needlessly.
async fn wait_for_peers<P: Platform>(state: &ForwardState<P>) {
    for _ in 0..MAX_STARTUP_CHECKS {
        if is_small_fleet(state.tables().peers_listed) {
            return;
        }
        tokio::time::sleep(STARTUP_CHECK_INTERVAL).await;
    }
}

/// Whether this instance should be a member of the group. The standbys of each zone are, unless the
/// fleet is so large that instances do not hear of all others.
fn should_be_member<P>(state: &ForwardState<P>) -> bool {
    let settings = state.settings();
    let own = settings.own_instance();
    let now = state.now();
    let mut guard = state.tables();
    let tables = &mut *guard;
    if !tables.passes_statements_on(now) {
        return tables.readers.is_standby(&own, now);
    }
    let zone_peers = tables.readers.live_zone_peers(&own, now);
    tables.group.should_be_member(&own, tables.membership.is_some(), zone_peers, now)
}

/// Leaves the group, if this instance is a member, because enough others of the zone are members.
async fn leave_group<P: Platform>(state: &ForwardState<P>) {
    if !clear_membership(state) {
        return;
    }
    match state.platform.leave().await {
        Ok(()) => {
            tracing::info!(part = "leadership", "Left the group: enough other members in the zone.")
        }
        Err(error) => record_store_failure(state, "membership", &error),
    }
}

/// Clears this instance's membership. Returns whether it was a member.
fn clear_membership<P>(state: &ForwardState<P>) -> bool {
    let now = state.now();
    let mut tables = state.tables();
    // An instance that is not a member learns of the leader from peers. The silence of a group that
    // it does not call must not make it a deputy.
    tables.membership_confirmed_at = now;
    let Some(membership) = tables.membership.take() else { return false };
    tables.highest_seen_generation = tables.highest_seen_generation.max(membership.generation);
    true
}

/// Stops leading until the group answers again, since it may have chosen another leader.
fn step_down<P>(state: &ForwardState<P>) {
    let mut tables = state.tables();
    if let Some(membership) = &mut tables.membership
        && membership.leads
    {
        membership.leads = false;
        tracing::info!(
            part = "leadership",
            leads = false,
            "Stopped leading: the group does not answer."
        );
    }
}
