//! Maintains the index of cached prefixes: [`watch_caches`] polls engines for their cache events.
//!
//! Events arrive late and with gaps; the core's index treats missing ones as uncertain rather than
//! as wrong. Prefixes that this instance sends, or learns of from answers, are recorded at once.

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

/// The time between two polls of an engine's cache events.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The time limit of one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Reads cache events for as long as the daemon runs.
pub async fn watch_caches(state: Arc<EntryState>) {
    let client = JsonClient::new(POLL_TIMEOUT);
    // The incarnation of each polled engine and the number of its next event.
    let mut positions: BTreeMap<TargetId, (SmolStr, u64)> = BTreeMap::new();
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let mut polls = JoinSet::new();
        for (target, address) in engines(&state) {
            let from = positions.get(&target).map_or(0, |(_, next)| *next);
            let client = client.clone();
            polls.spawn(async move {
                let path = format!("/v1/cache-events?from={from}");
                let reply: Option<CacheEventsReply> = client.get(address, &path).await.ok();
                (target, reply)
            });
        }
        for (target, reply) in polls.join_all().await {
            let Some(reply) = reply else { continue };
            let position = positions.entry(target.clone()).or_default();
            if position.0 != reply.incarnation {
                // A new incarnation numbers its events from the beginning.
                let next = if position.0.is_empty() { position.1 } else { 0 };
                *position = (reply.incarnation.clone(), next);
            }
            position.1 = reply.events.last().map_or(position.1, |event| event.number + 1);
            note_events(&state, &target, &reply);
        }
    }
}

/// Records how much of a prompt a target had cached; `cached` counts prompt tokens.
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
