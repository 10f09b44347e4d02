//! Gossips with peers: [`run_exchange`] exchanges digests with a few of them in each round.

use std::net::SocketAddr;
use std::sync::Arc;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::MissedTickBehavior;

use crate::crashes;
use crate::peer_link;
use crate::peers::EXCHANGE_INTERVAL;
use crate::peers::PeerChange;
use crate::state::EntryState;
use crate::state::EntryTables;
use crate::state::ServingPhase;
use crate::tables::fold_hub::all_streams;
use banyan_core::event::EventKind;
use banyan_core::event::HybridStamp;
use banyan_core::ids::TargetId;
use banyan_core::record::ContentDigest;
use banyan_core::serving::exchange;
use banyan_core::serving::exchange::ExchangeDigest;
use banyan_core::serving::exchange::build_digest;
use banyan_core::serving::exchange::choose_peers;
use banyan_core::serving::ring::InstanceRing;
use banyan_core::serving::subset::narrow_groups;
use banyan_core::units::Moment;
use banyan_wire::peer::PeerDigest;

/// With fewer peers than this, each peer is contacted within a bounded number of rounds; with more,
/// information also spreads through other instances.
const ROUND_ROBIN_LIMIT: usize = 8;

/// Exchanges digests with a few peers each round for as long as the daemon runs.
pub async fn run_exchange(state: Arc<EntryState>) {
    let mut ticks = tokio::time::interval(EXCHANGE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = state.now();
        let (round, known_addresses) = {
            let mut tables = state.tables();
            tables.peers.forget_gone(now);
            refresh_ring(&state, &mut tables);
            tables.limits.tick(now);
            (round_addresses(&mut tables), tables.peers.known_addresses())
        };
        state.links.keep_only(&known_addresses);
        for address in round {
            tokio::spawn(exchange_with(state.clone(), address));
        }
    }
}

/// The digest that this instance sends to peers.
pub fn own_digest(state: &EntryState) -> PeerDigest {
    let now = state.now();
    let (next, silent_ms) = {
        let folds = state.folds.tables();
        let started = all_streams().filter(|stream| folds.started.contains(stream));
        let next = started.map(|stream| (format_smolstr!("{stream}"), folds.next(stream).0));
        let silent_ms =
            folds.configuration_read_at().map_or(u64::MAX, |at| now.since(at).as_millis() as u64);
        (next.collect(), silent_ms)
    };
    let draining = *state.phase.borrow() != ServingPhase::Serving;
    let mut tables = state.tables();
    let EntryTables { exchange, targets, limits, suspects, .. } = &mut *tables;
    let serving_digest = build_digest(exchange, targets, limits, suspects, now).into();
    let revision = tables.revision.0;
    drop(tables);
    PeerDigest {
        instance: SmolStr::new(state.settings.instance.as_str()),
        incarnation: state.incarnation.clone().into(),
        zone: SmolStr::new(state.settings.zone.as_str()),
        stamp: format_smolstr!("{}", state.journal.stamp()),
        revision,
        next,
        log_silent_ms: silent_ms,
        draining,
        news: serving_digest,
    }
}

/// Applies a digest from a peer; `address` is the address called, if this instance made the call.
pub fn apply_digest(state: &EntryState, digest: &PeerDigest, address: Option<SocketAddr>) {
    if digest.instance == state.settings.instance.as_str() {
        // The settings may list this instance's own address among the peers.
        if let Some(address) = address {
            state.tables().peers.unidentified_addresses.remove(&address);
        }
        return;
    }
    if let Ok(stamp) = digest.stamp.parse::<HybridStamp>() {
        state.journal.observe(stamp);
    }
    let now = state.now();
    let change = state.tables().peers.note_digest(digest, address, now);
    note_change(state, change);
    match digest.news.clone().try_into() {
        Ok(digest) => apply_serving_digest(state, &digest, now),
        Err(error) => log::warn!("peers: {} sent a malformed digest: {error}.", digest.instance),
    }
}

fn apply_serving_digest(state: &EntryState, digest: &ExchangeDigest, now: Moment) {
    let mut tables = state.tables();
    let EntryTables { exchange: exchange_state, targets, limits, suspects, .. } = &mut *tables;
    let to_quarantine =
        exchange::apply_digest(exchange_state, targets, limits, suspects, digest, now);
    let evidence = |content: &ContentDigest| {
        let row = tables.suspects.rows.get(content)?;
        Some((*content, row.crashes.first()?.0.clone()))
    };
    let to_quarantine: Vec<(ContentDigest, TargetId)> =
        to_quarantine.iter().filter_map(evidence).collect();
    drop(tables);
    if !state.decisions.quarantine {
        return;
    }
    for (content, target) in to_quarantine {
        crashes::quarantine(state, content, target.as_str());
    }
}

/// Rebuilds the ring and the target subset when the live instances or the revision change.
fn refresh_ring(state: &EntryState, tables: &mut EntryTables) {
    let mut live = tables.peers.live();
    live.insert(state.settings.instance.clone(), state.settings.zone.clone());
    let Some(ring) = InstanceRing::of(&live, &state.settings.instance) else { return };
    if tables.ring == ring && tables.ring_revision == tables.revision {
        return;
    }
    narrow_groups(&mut tables.targets, &ring);
    tables.ring = ring;
    tables.ring_revision = tables.revision;
}

fn round_addresses(tables: &mut EntryTables) -> Vec<SocketAddr> {
    if tables.peers.rows.len() < ROUND_ROBIN_LIMIT {
        return tables.peers.next_round();
    }
    let peers = choose_peers(&tables.ring, tables.exchange.round);
    tables.peers.addresses(&peers)
}

async fn exchange_with(state: Arc<EntryState>, address: SocketAddr) {
    let digest = own_digest(&state);
    match peer_link::exchange(&state, address, digest).await {
        Ok(digest) => apply_digest(&state, &digest, Some(address)),
        Err(error) => {
            log::debug!("peers: The exchange with {address} failed: {error}.");
            let change = state.tables().peers.note_failure(address);
            note_change(&state, change);
        }
    }
}

/// Logs and records that a peer became suspected or trusted.
pub fn note_change(state: &EntryState, change: Option<PeerChange>) {
    let (kind, instance) = match change {
        None => return,
        Some(PeerChange::Suspected(instance)) => (EventKind::PeerSuspected, instance),
        Some(PeerChange::Trusted(instance)) => (EventKind::PeerTrusted, instance),
    };
    log::info!("peers: {instance} changed: {kind}.");
    state.journal.record(kind, "", "", instance.as_str());
}
