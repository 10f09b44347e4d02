//! Brings claims and their ends to the log through the partition's preferred owner, an instance
//! that gathers those of all others into few appends: [`settle_claim`] and [`keep_fact`].
//!
//! The owner is for speed alone. Its answer to a claim is its fold's verdict, read back from the
//! log; where it does not answer in time, this instance appends the same record itself.

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

/// The time between two looks at whether a stream is heard.
const HEARD_PAUSE: Duration = Duration::from_millis(100);
/// The longest time that the owner has to answer a claim.
const OWNER_WAIT: Duration = Duration::from_millis(700);
/// The most peers that one claim is tried through.
const OWNER_TRIES: usize = 2;
/// The longest time that an owner works on a claim for a peer.
const OWNER_LIMIT: Duration = Duration::from_secs(2);
/// The time that ends of claims are gathered before they go out together.
const KEEP_GATHER: Duration = Duration::from_millis(20);
/// The time that an owner tries to append facts for a peer.
const DELIVER_LIMIT: Duration = Duration::from_millis(1500);
/// The most facts in one delivery to an owner.
const DELIVER_FACTS: usize = 128;

/// Whether new claims of a stream can be brought to the log and read back, as far as is known.
pub fn can_claim(state: &EntryState, stream: StreamId) -> bool {
    let heard = state.folds.tables().is_heard(stream, state.now());
    heard && (!state.writer.is_failing(stream) || !owner_addresses(state, stream).is_empty())
}

/// Brings a claim to the log and gives the verdict of a fold that holds it; `Unseen` when none did
/// in time or the log takes nothing.
pub async fn settle_claim(
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

/// Appends a claim for a peer and answers with this instance's fold.
pub async fn claim_for_peer(state: &Arc<EntryState>, order: ClaimRequest) -> ClaimReply {
    let wait = Duration::from_millis(order.wait_ms).min(OWNER_LIMIT);
    let Some(pending) = parse_order(order) else { return ClaimReply::Unseen };
    let until = Instant::now() + wait;
    match append_claim(state, &pending, until).await {
        Ok(verdict) => reply(verdict),
        Err(QueueFull) => ClaimReply::Unseen,
    }
}

/// Appends facts for a peer; says whether they have landed.
pub async fn deliver_for_peer(state: &EntryState, order: &DeliverRequest) -> bool {
    let Ok(stream) = order.stream.parse::<StreamId>() else { return false };
    let entry = decode_entry(LogOffset(0), WallMillis(0), &order.facts);
    let Ok(entry) = entry else { return false };
    if state.writer.is_failing(stream) {
        return false;
    }
    let until = Some(Instant::now() + DELIVER_LIMIT);
    let facts = entry.facts.into_iter();
    let landed = facts.map(|fact| state.writer.submit_tracked(stream, fact, until));
    join_all(landed).await.iter().all(Result::is_ok)
}

/// Brings a fact to the log, however long it takes.
pub fn keep_fact(state: &Arc<EntryState>, stream: StreamId, fact: LogFact) {
    let mut rows = state.outbox.lock();
    let fresh = !rows.contains_key(&stream);
    rows.entry(stream).or_default().waiting.push(fact);
    drop(rows);
    if fresh {
        tokio::spawn(send_kept(state.clone(), stream));
    }
}

/// The peers to go through for a stream, the preferred one first; none where this instance is
/// preferred and reads the log itself.
fn owner_addresses(state: &EntryState, stream: StreamId) -> Vec<SocketAddr> {
    let own = &state.settings.instance;
    let reads = state.folds.tables().reachable.get(&stream) == Some(&true);
    let tables = state.tables();
    let mut writers = tables.peers.writers();
    if reads {
        writers.insert(own.clone());
    }
    let owners = preferred_owners(&format_smolstr!("{stream}"), &writers);
    let before = owners.iter().take_while(|owner| *owner != own).take(OWNER_TRIES);
    before.filter_map(|owner| tables.peers.rows.get(owner)?.address).collect()
}

async fn ask_owner(
    state: &EntryState,
    pending: &PendingClaim,
    owner: SocketAddr,
    until: Instant,
) -> ClaimVerdict {
    let wait = until.saturating_duration_since(Instant::now());
    let order = order_of(pending, wait);
    // This instance's own fold may know first.
    tokio::select! {
        reply = peer_link::claim(state, owner, order) => match reply {
            Ok(reply) => verdict(reply),
            Err(error) => {
                log::debug!("claims: {owner} did not settle {}: {error}.", pending.claim);
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
    if !state.folds.tables().is_heard(stream, state.now()) {
        return Ok(ClaimVerdict::Unseen);
    }
    state.writer.offer(stream, pending.fact(), until)?;
    Ok(read_back(state, pending, until, true).await)
}

/// Waits until the fold knows a claim. With `appending`, it gives up when the log takes no appends.
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
        let heard = state.folds.tables().is_heard(stream, state.now());
        if appending && (!heard || state.writer.is_failing(stream)) {
            return ClaimVerdict::Unseen;
        }
        tokio::select! {
            _ = progress.changed() => {}
            () = appended => {}
            // Whether the stream is heard changes with time alone.
            () = tokio::time::sleep(HEARD_PAUSE) => {}
            () = tokio::time::sleep_until(until) => return ClaimVerdict::Unseen,
        }
    }
}

fn folded_verdict(state: &EntryState, pending: &PendingClaim) -> ClaimVerdict {
    let folds = state.folds.tables();
    let fold = &folds.claims[usize::from(pending.key.partition())];
    fold.verdict(&pending.key, &pending.claim)
}

async fn send_kept(state: Arc<EntryState>, stream: StreamId) {
    loop {
        tokio::time::sleep(KEEP_GATHER).await;
        let batch = {
            let mut rows = state.outbox.lock();
            let Some(row) = rows.get_mut(&stream) else { return };
            let count = row.waiting.len().min(DELIVER_FACTS);
            let batch: Vec<LogFact> = row.waiting.drain(..count).collect();
            row.under_way = batch.len();
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
        let order = DeliverRequest { stream: format_smolstr!("{stream}"), facts: facts.clone() };
        match peer_link::deliver(state, owner, order).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => log::debug!("claims: {owner} did not take facts: {error}."),
        }
    }
    // The owner may have appended them all the same: the copies fold to nothing.
    let landed = batch.into_iter().map(|fact| state.writer.submit_tracked(stream, fact, None));
    join_all(landed).await;
}

fn order_of(pending: &PendingClaim, wait: Duration) -> ClaimRequest {
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

fn parse_order(order: ClaimRequest) -> Option<PendingClaim> {
    let workspace = order.workspace.parse().ok()?;
    Some(PendingClaim {
        claim: order.claim.parse().ok()?,
        key: ClaimKey { workspace, key: order.key.parse().ok()? },
        claimant: order.claimant.parse().ok()?,
        content: ContentDigest(order.content),
        seen: WallMillis(order.seen_ms),
    })
}

fn reply(verdict: ClaimVerdict) -> ClaimReply {
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

/// The owner's verdict; one that is malformed tells nothing.
fn verdict(reply: ClaimReply) -> ClaimVerdict {
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
