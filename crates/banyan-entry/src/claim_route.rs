//! Appends claims, outcomes and releases to the log through the partition's preferred owner, with
//! [`append_and_read_verdict`] and [`append_reliably`]. The owner is an instance that combines the
//! records of all instances into a few appends.
//!
//! The owner is only an optimization. It answers a claim with its fold's verdict, read back from
//! the log. If it does not answer in time, this instance appends the same record itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use smol_str::format_smolstr;
use tokio::time::Instant;

use crate::peer_link;
use crate::state::EntryState;
use crate::tables::fact_outbox::PendingClaim;
use crate::writer::QueueFull;
use banyan_core::fold::ClaimRow;
use banyan_core::fold::ClaimState;
use banyan_core::fold::ClaimVerdict;
use banyan_core::ids::LogOffset;
use banyan_core::record::CallOutcome;
use banyan_core::record::ClaimKey;
use banyan_core::record::ContentDigest;
use banyan_core::record::LogFact;
use banyan_core::record::StreamId;
use banyan_core::rendezvous::preferred_owners;
use banyan_core::units::WallMillis;
use banyan_wire::log::decode_entry;
use banyan_wire::log::encode_facts;
use banyan_wire::peer::ClaimReply;
use banyan_wire::peer::ClaimRequest;
use banyan_wire::peer::DeliverRequest;

/// The time between two checks whether a stream is receiving.
const RECEIVING_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The longest wait for an owner's answer to a claim.
const OWNER_WAIT: Duration = Duration::from_millis(700);
/// The maximum number of peers that one claim or batch of facts is sent to.
const OWNER_TRIES: usize = 2;
/// The longest time that an owner spends on a claim for a peer.
const CLAIM_FOR_PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// The time for which outcomes and releases of claims are collected into one batch.
const FACT_BATCH_DELAY: Duration = Duration::from_millis(20);
/// The longest time for which an owner tries to append facts for a peer.
const DELIVER_FOR_PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// The maximum number of facts in one delivery to an owner.
const MAX_FACTS_PER_DELIVERY: usize = 128;

/// Whether new claims of a stream can be appended and read back, judged by this
/// instance's newest reads and appends.
pub fn can_claim(state: &EntryState, stream: StreamId) -> bool {
    let receiving = state.folds.tables().is_receiving(stream, state.now());
    receiving && (!state.writer.is_failing(stream) || !owner_addresses(state, stream).is_empty())
}

/// Appends a claim and returns the verdict of a fold that contains it; `Unseen` if no fold
/// contained it in time or the log accepts no appends.
pub async fn append_and_read_verdict(
    state: &Arc<EntryState>,
    pending: &PendingClaim,
    until: Instant,
) -> Result<ClaimVerdict, QueueFull> {
    for owner in owner_addresses(state, pending.stream()) {
        let owner_until = until.min(Instant::now() + OWNER_WAIT);
        let verdict = ask_owner(state, pending, owner, owner_until).await;
        if verdict != ClaimVerdict::Unseen {
            return Ok(verdict);
        }
    }
    append_claim(state, pending, until).await
}

/// Appends a claim for a peer and answers with the verdict of this instance's fold.
pub async fn claim_for_peer(state: &Arc<EntryState>, request: ClaimRequest) -> ClaimReply {
    let wait = Duration::from_millis(request.wait_ms).min(CLAIM_FOR_PEER_TIMEOUT);
    let Some(pending) = parse_claim_request(request) else { return ClaimReply::Unseen };
    let until = Instant::now() + wait;
    match append_claim(state, &pending, until).await {
        Ok(verdict) => claim_reply(verdict),
        Err(QueueFull) => ClaimReply::Unseen,
    }
}

/// Appends facts for a peer; returns whether all of them were appended.
pub async fn deliver_for_peer(state: &EntryState, request: &DeliverRequest) -> bool {
    let Ok(stream) = request.stream.parse::<StreamId>() else { return false };
    let entry = decode_entry(LogOffset(0), WallMillis(0), &request.facts);
    let Ok(entry) = entry else { return false };
    if state.writer.is_failing(stream) {
        return false;
    }
    let until = Some(Instant::now() + DELIVER_FOR_PEER_TIMEOUT);
    let facts = entry.facts.into_iter();
    let appends = facts.map(|fact| state.writer.submit_tracked(stream, fact, until));
    join_all(appends).await.iter().all(Result::is_ok)
}

/// Appends a fact to the log in the background, with retries until it succeeds.
pub fn append_reliably(state: &Arc<EntryState>, stream: StreamId, fact: LogFact) {
    let mut rows = state.outbox.lock();
    let needs_task = !rows.contains_key(&stream);
    rows.entry(stream).or_default().waiting.push(fact);
    drop(rows);
    if needs_task {
        tokio::spawn(send_outbox(state.clone(), stream));
    }
}

/// The addresses of the peers through which to append to a stream, the preferred one first; empty
/// if this instance is preferred and reads the log itself.
fn owner_addresses(state: &EntryState, stream: StreamId) -> Vec<SocketAddr> {
    let own = &state.settings.instance;
    let reads_log = state.folds.tables().reachable.get(&stream) == Some(&true);
    let tables = state.tables();
    let mut writers = tables.peers.log_writers();
    if reads_log {
        writers.insert(own.clone());
    }
    let owners = preferred_owners(&format_smolstr!("{stream}"), &writers);
    let preferred = owners.iter().take_while(|owner| *owner != own).take(OWNER_TRIES);
    preferred.filter_map(|owner| tables.peers.rows.get(owner)?.address).collect()
}

async fn ask_owner(
    state: &EntryState,
    pending: &PendingClaim,
    owner: SocketAddr,
    until: Instant,
) -> ClaimVerdict {
    let wait = until.saturating_duration_since(Instant::now());
    let request = claim_request(pending, wait);
    // The local fold may contain the claim before the owner answers.
    tokio::select! {
        reply = peer_link::claim(state, owner, request) => match reply {
            Ok(reply) => parse_verdict(reply),
            Err(error) => {
                log::debug!("claims: {owner} did not answer claim {}: {error}.", pending.claim);
                let change = state.tables().peers.note_failure(owner);
                crate::exchange::note_change(state, change);
                ClaimVerdict::Unseen
            }
        },
        verdict = read_back(state, pending, until, false) => verdict,
    }
}

async fn append_claim(
    state: &EntryState,
    pending: &PendingClaim,
    until: Instant,
) -> Result<ClaimVerdict, QueueFull> {
    let stream = pending.stream();
    let known = folded_verdict(state, pending);
    if known != ClaimVerdict::Unseen || state.writer.is_failing(stream) {
        return Ok(known);
    }
    if !state.folds.tables().is_receiving(stream, state.now()) {
        return Ok(ClaimVerdict::Unseen);
    }
    state.writer.try_submit(stream, pending.fact(), until)?;
    Ok(read_back(state, pending, until, true).await)
}

/// Waits until the fold contains a claim. With `appending`, it stops once appends cannot succeed.
async fn read_back(
    state: &EntryState,
    pending: &PendingClaim,
    until: Instant,
    appending: bool,
) -> ClaimVerdict {
    let stream = pending.stream();
    let mut progress = state.folds.subscribe();
    loop {
        let appended = state.writer.subscribe(stream);
        let verdict = folded_verdict(state, pending);
        if verdict != ClaimVerdict::Unseen {
            return verdict;
        }
        let receiving = state.folds.tables().is_receiving(stream, state.now());
        if appending && (!receiving || state.writer.is_failing(stream)) {
            return ClaimVerdict::Unseen;
        }
        tokio::select! {
            _ = progress.changed() => {}
            () = appended => {}
            // Whether the stream is receiving can change by time alone, without a signal.
            () = tokio::time::sleep(RECEIVING_CHECK_INTERVAL) => {}
            () = tokio::time::sleep_until(until) => return ClaimVerdict::Unseen,
        }
    }
}

fn folded_verdict(state: &EntryState, pending: &PendingClaim) -> ClaimVerdict {
    let folds = state.folds.tables();
    let fold = &folds.claims[usize::from(pending.key.partition())];
    fold.verdict(&pending.key, &pending.claim)
}

async fn send_outbox(state: Arc<EntryState>, stream: StreamId) {
    loop {
        tokio::time::sleep(FACT_BATCH_DELAY).await;
        let batch = {
            let mut rows = state.outbox.lock();
            let Some(row) = rows.get_mut(&stream) else { return };
            let count = row.waiting.len().min(MAX_FACTS_PER_DELIVERY);
            let batch: Vec<LogFact> = row.waiting.drain(..count).collect();
            row.in_flight = batch.len();
            if batch.is_empty() {
                rows.remove(&stream);
                return;
            }
            batch
        };
        send_batch(&state, stream, batch).await;
    }
}

async fn send_batch(state: &EntryState, stream: StreamId, batch: Vec<LogFact>) {
    let facts = encode_facts(&batch);
    for owner in owner_addresses(state, stream) {
        let request = DeliverRequest { stream: format_smolstr!("{stream}"), facts: facts.clone() };
        match peer_link::deliver(state, owner, request).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => log::debug!("claims: {owner} did not accept facts: {error}."),
        }
    }
    // The owner may have appended them anyway; folding the copies has no effect.
    let appends = batch.into_iter().map(|fact| state.writer.submit_tracked(stream, fact, None));
    join_all(appends).await;
}

fn claim_request(pending: &PendingClaim, wait: Duration) -> ClaimRequest {
    let PendingClaim { claim, key, claimant, content, seen } = pending.clone();
    ClaimRequest {
        claim: claim.into(),
        workspace: key.workspace.into(),
        key: key.key.into(),
        claimant: claimant.into(),
        content: content.0,
        seen_ms: seen.0,
        wait_ms: wait.as_millis() as u64,
    }
}

fn parse_claim_request(request: ClaimRequest) -> Option<PendingClaim> {
    let workspace = request.workspace.parse().ok()?;
    Some(PendingClaim {
        claim: request.claim.parse().ok()?,
        key: ClaimKey { workspace, key: request.key.parse().ok()? },
        claimant: request.claimant.parse().ok()?,
        content: ContentDigest(request.content),
        seen: WallMillis(request.seen_ms),
    })
}

fn claim_reply(verdict: ClaimVerdict) -> ClaimReply {
    match verdict {
        ClaimVerdict::Won => ClaimReply::Won,
        ClaimVerdict::Void => ClaimReply::Void,
        ClaimVerdict::Unseen => ClaimReply::Unseen,
        ClaimVerdict::Lost(row) => ClaimReply::Lost {
            claim: row.claim.into(),
            claimant: row.claimant.into(),
            content: row.content.0,
            outcome: match row.state {
                ClaimState::Open => None,
                ClaimState::Closed { outcome: CallOutcome::Unknown, .. } => {
                    Some((None, Vec::new()))
                }
                ClaimState::Closed { outcome: CallOutcome::Answered { status, body }, .. } => {
                    Some((Some(status), body))
                }
            },
        },
    }
}

/// The verdict in an owner's reply; `Unseen` if the reply is malformed.
fn parse_verdict(reply: ClaimReply) -> ClaimVerdict {
    match reply {
        ClaimReply::Won => ClaimVerdict::Won,
        ClaimReply::Void => ClaimVerdict::Void,
        ClaimReply::Unseen => ClaimVerdict::Unseen,
        ClaimReply::Lost { claim, claimant, content, outcome } => {
            let (Ok(claim), Ok(claimant)) = (claim.parse(), claimant.parse()) else {
                return ClaimVerdict::Unseen;
            };
            let closed = |outcome| ClaimState::Closed { outcome, until: WallMillis(0) };
            let state = match outcome {
                None => ClaimState::Open,
                Some((None, _)) => closed(CallOutcome::Unknown),
                Some((Some(status), body)) => closed(CallOutcome::Answered { status, body }),
            };
            ClaimVerdict::Lost(ClaimRow { claim, claimant, content: ContentDigest(content), state })
        }
    }
}
