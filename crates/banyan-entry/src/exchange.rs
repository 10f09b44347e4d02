//! Talks to peers in rounds: [`run_exchange`] swaps digests with a few of them at a time.

use std::net::SocketAddr;
use std::sync::Arc;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::MissedTickBehavior;

use crate::crashes;
use crate::follower::all_streams;
use crate::peer_link;
use crate::peers::EXCHANGE_PAUSE;
use crate::peers::PeerChange;
use crate::state::EntryState;
use crate::state::ServingPhase;
use banyan_core::event::EventKind;
use banyan_core::event::HybridStamp;
use banyan_core::serving::targets::TargetHealth;
use banyan_wire::peer::PeerDigest;
use banyan_wire::peer::TargetDigest;

/// The most targets that one digest tells of.
const TARGET_LIMIT: usize = 64;

/// Exchanges digests with a few peers in turn for as long as the daemon runs.
pub async fn run_exchange(state: Arc<EntryState>) {
    let mut ticks = tokio::time::interval(EXCHANGE_PAUSE);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = state.now();
        let round = {
            let mut tables = state.tables();
            tables.peers.forget_gone(now);
            tables.peers.next_round()
        };
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
    let tables = state.tables();
    PeerDigest {
        instance: SmolStr::new(state.settings.instance.as_str()),
        incarnation: state.incarnation.clone().into(),
        zone: SmolStr::new(state.settings.zone.as_str()),
        stamp: format_smolstr!("{}", state.journal.stamp()),
        revision: tables.revision.0,
        next,
        log_silent_ms: silent,
        draining,
        targets: target_digests(&tables),
        usage: Vec::new(),
        suspects: crashes::told_suspects(&tables),
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
    crashes::take_suspects(state, &digest.suspects);
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

/// Only what this instance saw itself is told on, or words would keep each other alive for ever.
fn target_digests(tables: &crate::state::EntryTables) -> Vec<TargetDigest> {
    let rows = tables.targets.rows.iter();
    let told = rows.filter_map(|(target, row)| {
        let leaving = row.leaving.own_word || row.leaving.listed;
        let suspected = row.health != TargetHealth::Trusted;
        (leaving || suspected).then(|| TargetDigest {
            target: SmolStr::new(target.as_str()),
            leaving,
            suspected,
            load: row.expected_load(),
        })
    });
    let mut told: Vec<TargetDigest> = told.collect();
    told.sort_by_key(|target| std::cmp::Reverse(target.leaving));
    told.truncate(TARGET_LIMIT);
    told
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
