//! Whether this instance may order layers, as the leader or as its deputy.

use std::time::Duration;

use crate::decisions::tables::ForwardTables;
use crate::state::ForwardState;
use crate::store::membership::MEMBERSHIP_TTL;
use banyan_core::pipeline::duties::LeadershipLease;

/// The time without a response of the group or a digest of the leader after which a deputy takes
/// over.
const DEPUTY_DELAY: Duration = Duration::from_millis(2_500);

/// The fencing token for this instance's orders, or `None` if it must not send any.
pub(super) fn leading_generation<P>(state: &ForwardState<P>) -> Option<u64> {
    let tables = state.tables();
    let lease = LeadershipLease {
        confirmed: tables.membership_confirmed_at,
        ttl: MEMBERSHIP_TTL,
        engines_check_fences: state.settings().bounds.engines_check_fences,
    };
    let generation = match tables.membership {
        Some(membership) if tables.is_leader() && lease.is_valid(state.now()) => {
            Some(membership.generation)
        }
        _ => deputy_generation(state, &tables),
    };
    generation.filter(|generation| *generation > tables.fenced_generation)
}

/// The generation that this instance uses as a deputy, or `None` if it is not the deputy.
///
/// While neither the group nor a leader responds, the live instance with the lowest name (in a large
/// fleet, of the members of the group) sends orders with the highest generation that it has seen.
/// There is a deputy only if engines check fencing tokens. Two deputies at the same time do no harm:
/// each order states the number of orders that the engine has accepted so far, so only one of two
/// concurrent orders is accepted, and no order exceeds the engine's memory.
fn deputy_generation<P>(state: &ForwardState<P>, tables: &ForwardTables) -> Option<u64> {
    let now = state.now();
    let settings = state.settings();
    let group_silent = now.since(tables.membership_confirmed_at) >= DEPUTY_DELAY;
    let leader_heard = tables.leader_seen_at.max(tables.group.leader_heard(now));
    let leader_silent = leader_heard.is_none_or(|at| now.since(at) >= DEPUTY_DELAY);
    let is_dropped = tables.group.has_dropped(tables.membership_confirmed_at, MEMBERSHIP_TTL);
    if !settings.bounds.engines_check_fences || !group_silent || !leader_silent || is_dropped {
        return None;
    }
    // In a large fleet only few digests arrive in time, but what members state reaches all.
    let lowest = match tables.passes_statements_on(now) {
        true => tables.group.lowest_live_member(now),
        false => tables.peer_loads.lowest_live_peer(now),
    };
    let is_lowest = lowest.is_none_or(|peer| settings.instance < *peer);
    let own_generation = tables.membership.map_or(0, |membership| membership.generation);
    let generation = own_generation.max(tables.highest_seen_generation);
    (is_lowest && generation > 0).then_some(generation)
}
