//! Talks to peers in rounds: [`run_exchange`] swaps digests with a few of them at a time.

use std::net::SocketAddr;
use std::sync::Arc;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::MissedTickBehavior;

use crate::crashes;
use crate::peer_link;
use crate::peers::EXCHANGE_PAUSE;
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

/// With so few instances, each peer is met after a bounded number of rounds; with more, words go
/// round by way of others.
const FEW_INSTANCES: usize = 8;

/// Exchanges digests with a few peers in turn for as long as the daemon runs.
pub async fn run_exchange(state: Arc<EntryState>) {
    let mut ticks = tokio::time::interval(EXCHANGE_PAUSE);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = state.now();
        let (round, known) = {
            let mut tables = state.tables();
            tables.peers.forget_gone(now);
            refresh_ring(&state, &mut tables);
            tables.limits.tick(now);
            (round_addresses(&mut tables), tables.peers.known())
        };
        state.links.keep_only(&known);
        for address in round {
            tokio::spawn(exchange_with(state.clone(), address));
        }
    }
}

/// What this instance tells peers.
pub fn own_digest(state: &EntryState) -> PeerDigest {
    let now = state.now();
    let (next, silent) = {
        let folds = state.folds.tables();
        let started = all_streams().filter(|stream| folds.started.contains(stream));
        let next = started.map(|stream| (format_smolstr!("{stream}"), folds.next(stream).0));
        let silent =
            folds.configuration_read_at().map_or(u64::MAX, |at| now.since(at).as_millis() as u64);
        (next.collect(), silent)
    };
    let draining = *state.phase.borrow() != ServingPhase::Serving;
    let mut tables = state.tables();
    let EntryTables { exchange, targets, limits, suspects, .. } = &mut *tables;
    let news = build_digest(exchange, targets, limits, suspects, now).into();
    let revision = tables.revision.0;
    drop(tables);
    PeerDigest {
        instance: SmolStr::new(state.settings.instance.as_str()),
        incarnation: state.incarnation.clone().into(),
        zone: SmolStr::new(state.settings.zone.as_str()),
        stamp: format_smolstr!("{}", state.journal.stamp()),
        revision,
        next,
        log_silent_ms: silent,
        draining,
        news,
    }
}

/// Takes in what a peer told; `address` is where it was reached, if this instance called it.
pub fn take_digest(state: &EntryState, digest: &PeerDigest, address: Option<SocketAddr>) {
    if digest.instance == state.settings.instance.as_str() {
        // Our own address may stand among the settings' peers.
        if let Some(address) = address {
            state.tables().peers.greet.remove(&address);
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
        Ok(news) => take_news(state, &news, now),
        Err(error) => log::warn!("peers: {} told something malformed: {error}.", digest.instance),
    }
}

fn take_news(state: &EntryState, news: &ExchangeDigest, now: Moment) {
    let mut tables = state.tables();
    let EntryTables { exchange: round, targets, limits, suspects, .. } = &mut *tables;
    let convicted = exchange::apply_digest(round, targets, limits, suspects, news, now);
    let evidence = |content: &ContentDigest| {
        let row = tables.suspects.rows.get(content)?;
        Some((*content, row.crashes.first()?.0.clone()))
    };
    let convicted: Vec<(ContentDigest, TargetId)> = convicted.iter().filter_map(evidence).collect();
    drop(tables);
    if !state.decisions.quarantine {
        return;
    }
    for (content, target) in convicted {
        crashes::quarantine(state, content, target.as_str());
    }
}

/// Brings what depends on the live instances in line with them.
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
    if tables.peers.rows.len() < FEW_INSTANCES {
        return tables.peers.next_round();
    }
    let peers = choose_peers(&tables.ring, tables.exchange.round);
    tables.peers.addresses(&peers)
}

async fn exchange_with(state: Arc<EntryState>, address: SocketAddr) {
    let digest = own_digest(&state);
    match peer_link::exchange(&state, address, digest).await {
        Ok(digest) => take_digest(&state, &digest, Some(address)),
        Err(error) => {
            log::debug!("peers: {address} was not heard: {error}.");
            let change = state.tables().peers.note_failure(address);
            note_change(&state, change);
        }
    }
}

/// Records a change of trust in a peer.
pub fn note_change(state: &EntryState, change: Option<PeerChange>) {
    let (kind, instance) = match change {
        None => return,
        Some(PeerChange::Suspected(instance)) => (EventKind::PeerSuspected, instance),
        Some(PeerChange::Trusted(instance)) => (EventKind::PeerTrusted, instance),
    };
    log::info!("peers: {instance} changed: {kind}.");
    state.journal.record(kind, "", "", instance.as_str());
}
