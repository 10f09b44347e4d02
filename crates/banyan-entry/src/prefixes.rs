//! Feeds the index of cached prefixes: [`watch_caches`] asks engines for their cache events.
//!
//! Events come late and with gaps; the core's index takes what is missing for doubtful, not for
//! wrong. What this instance sends and finds itself is noted at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::task::JoinSet;

use crate::state::EntryState;
use banyan_core::declaration::TargetRole;
use banyan_core::ids::TargetId;
use banyan_core::serving::prefix::PrefixEvent;
use banyan_http::client::JsonClient;
use banyan_wire::engine::CacheEvent;
use banyan_wire::engine::CacheEventsReply;
use banyan_wire::engine::PREFIX_TOKENS;

/// The time between two questions for an engine's cache events.
const EVENTS_PAUSE: Duration = Duration::from_millis(500);
/// The time that one question may take.
const EVENTS_TIMEOUT: Duration = Duration::from_millis(400);

/// Reads cache events for as long as the daemon runs.
pub async fn watch_caches(state: Arc<EntryState>) {
    let client = JsonClient::new(EVENTS_TIMEOUT);
    // The run of each engine that was read, and the number of its event that comes next.
    let mut places: BTreeMap<TargetId, (SmolStr, u64)> = BTreeMap::new();
    let mut ticks = tokio::time::interval(EVENTS_PAUSE);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let mut questions = JoinSet::new();
        for (target, address) in engines(&state) {
            let from = places.get(&target).map_or(0, |(_, next)| *next);
            let client = client.clone();
            questions.spawn(async move {
                let path = format!("/v1/cache-events?from={from}");
                let reply: Option<CacheEventsReply> = client.get(address, &path).await.ok();
                (target, reply)
            });
        }
        for (target, reply) in questions.join_all().await {
            let Some(reply) = reply else { continue };
            let place = places.entry(target.clone()).or_default();
            if place.0 != reply.incarnation {
                // A new run counts its events from the beginning.
                let next = if place.0.is_empty() { place.1 } else { 0 };
                *place = (reply.incarnation.clone(), next);
            }
            place.1 = reply.events.last().map_or(place.1, |event| event.number + 1);
            note_events(&state, &target, &reply);
        }
    }
}

/// Notes what a target really had of a prompt; `cached` counts prompt tokens.
pub fn note_found(state: &EntryState, target: &TargetId, prefixes: &[u64], cached: u32) {
    let found = (cached / PREFIX_TOKENS) as usize;
    let mut tables = state.tables();
    tables.targets.prefixes.note_found(target, prefixes, found);
    tables.targets.prefixes.note_sent(target, prefixes);
}

fn engines(state: &EntryState) -> Vec<(TargetId, SocketAddr)> {
    let tables = state.tables();
    let rows = tables.targets.rows.iter();
    let engines = rows.filter(|(_, row)| matches!(row.spec.role, TargetRole::Engine { .. }));
    engines.map(|(target, row)| (target.clone(), row.spec.address)).collect()
}

fn note_events(state: &EntryState, target: &TargetId, reply: &CacheEventsReply) {
    let events: Vec<PrefixEvent> = reply.events.iter().map(prefix_event).collect();
    let mut tables = state.tables();
    tables.targets.prefixes.note_events(target, &reply.incarnation, &events);
}

fn prefix_event(event: &CacheEvent) -> PrefixEvent {
    PrefixEvent { number: event.number, prefix: event.prefix, stored: event.stored }
}
