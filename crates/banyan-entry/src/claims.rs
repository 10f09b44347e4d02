//! Calls that run at most once: [`acquire`] returns a [`HeldClaim`] or the known outcome.
//!
//! The call of a key is dispatched only by the process whose claim was read back from the log as
//! the winning one, and at most once by that process. A claim that is given up before anything was
//! sent is first removed from the local ledger, so that it can never be dispatched, and then
//! released in the log.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::claim_route;
use crate::refusal::Refusal;
use crate::state::EntryState;
use crate::tables::claim_ledger::LedgerPhase;
use crate::tables::claim_ledger::LedgerRow;
use crate::tables::fact_outbox::PendingClaim;
use crate::writer::QueueFull;
use banyan_core::event::EventKind;
use banyan_core::fold::ClaimRow;
use banyan_core::fold::ClaimState;
use banyan_core::fold::ClaimVerdict;
use banyan_core::fold::KeyFreshness;
use banyan_core::fold::key_freshness;
use banyan_core::ids::RecordId;
use banyan_core::ids::RequestId;
use banyan_core::record::CallOutcome;
use banyan_core::record::ClaimKey;
use banyan_core::record::ContentDigest;
use banyan_core::record::FactBody;
use banyan_core::record::LogFact;
use banyan_core::record::StreamId;
use banyan_core::units::WallMillis;

/// The longest time to wait for a claim to be read back.
const CLAIM_WAIT: Duration = Duration::from_secs(3);
/// The longest time to wait for the outcome of another holder's claim.
const HOLDER_WAIT: Duration = Duration::from_secs(5);
/// The retry delay that callers are told when too many claims wait for the log.
const QUEUE_PAUSE: Duration = Duration::from_secs(1);
/// The maximum number of attempts to claim a key. An attempt is void if it reaches the log too late.
const CLAIM_TRIES: u32 = 3;

/// The result of acquiring a key.
#[derive(Debug)]
pub enum KeyAcquisition {
    /// The call may be dispatched once.
    Acquired(HeldClaim),
    /// An earlier request dispatched the call, with this outcome.
    Ended(CallOutcome),
}

/// The winning claim of a key. Dropping it releases the claim, or closes it with an unknown outcome
/// if its call was dispatched.
#[derive(Debug)]
pub struct HeldClaim {
    state: Arc<EntryState>,
    key: ClaimKey,
    claim: RecordId,
    phase: HeldPhase,
}

/// The progress of a claim as seen by the request that holds it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HeldPhase {
    /// The claim has no open record in the log and will not get one.
    NotOpenInLog,
    /// The claim's record may be in the log, or may still get there.
    Appended,
    /// The call may have been sent.
    Dispatched,
    /// The outcome is known and is being appended to the log.
    Closed,
}

impl HeldClaim {
    /// Marks the claim as dispatched. Must be called once, right before the first byte is sent.
    pub fn dispatch(&mut self) {
        self.phase = HeldPhase::Dispatched;
        self.state.ledger.set_phase(&self.key, &self.claim, LedgerPhase::Dispatched);
    }

    /// Ends the claim with an outcome, locally at once and in the log as soon as it accepts it.
    pub fn close(mut self, outcome: CallOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: CallOutcome) {
        self.phase = HeldPhase::Closed;
        let state = &self.state;
        let memory = state.tables().declaration.policy.key_memory;
        let body = FactBody::Close {
            key: self.key.clone(),
            claim: self.claim.clone(),
            outcome: outcome.clone(),
            memory_ms: memory.as_millis() as u64,
        };
        append_fact(state, &self.key, body);
        state.ledger.set_phase(&self.key, &self.claim, LedgerPhase::Ended(outcome));
        let (key, claim) = (self.key.clone(), self.claim.clone());
        tokio::spawn(forget_when_folded(state.clone(), key, claim));
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        match self.phase {
            HeldPhase::NotOpenInLog => self.state.ledger.forget(&self.key, &self.claim),
            HeldPhase::Appended => abandon(&self.state, &self.key, &self.claim),
            // The request ended without an outcome, and the call may have run.
            HeldPhase::Dispatched => self.end(CallOutcome::Unknown),
            HeldPhase::Closed => {}
        }
    }
}

/// Acquires the right to dispatch the call of a key, or returns the call's outcome.
pub async fn acquire(
    state: &Arc<EntryState>,
    request: &RequestId,
    key: &ClaimKey,
    content: ContentDigest,
    deadline: Instant,
) -> Result<KeyAcquisition, Refusal> {
    // The fold time of a quiet stream is old until a newly appended claim advances it.
    let mut time_is_fresh = false;
    for _ in 0..CLAIM_TRIES {
        check_key_time(state, key, time_is_fresh)?;
        // The time is read before the key, so that it is never later than the key's state.
        let seen = fold_time(state, key);
        if let Some(row) = folded_row(state, key) {
            match wait_for_holder(state, key, content, row, deadline).await? {
                Some(outcome) => return Ok(KeyAcquisition::Ended(outcome)),
                None => continue,
            }
        }
        let claim = state.next_record();
        if let Some(row) = state.ledger.enter(key, &claim, content) {
            match wait_for_local_claim(row, content, deadline).await? {
                Some(outcome) => return Ok(KeyAcquisition::Ended(outcome)),
                None => continue,
            }
        }
        match claim_key(state, request, key, claim, content, seen, deadline).await? {
            KeyClaim::Won(held) => return Ok(KeyAcquisition::Acquired(held)),
            KeyClaim::Void => {
                wait_for_time(state, key, seen, deadline).await;
                time_is_fresh = fold_time(state, key) > seen;
            }
            KeyClaim::Lost(row) => {
                if let Some(outcome) = wait_for_holder(state, key, content, row, deadline).await? {
                    return Ok(KeyAcquisition::Ended(outcome));
                }
            }
        }
    }
    Err(Refusal::LogUnavailable)
}

/// The verdict on a claim of the ledger.
enum KeyClaim {
    Won(HeldClaim),
    Lost(ClaimRow),
    Void,
}

/// Appends a claim of the ledger to the log and waits for the fold's verdict.
async fn claim_key(
    state: &Arc<EntryState>,
    request: &RequestId,
    key: &ClaimKey,
    claim: RecordId,
    content: ContentDigest,
    seen: WallMillis,
    deadline: Instant,
) -> Result<KeyClaim, Refusal> {
    // Every return below except `KeyClaim::Won` drops `held`, which gives the claim up.
    let mut held = HeldClaim {
        state: state.clone(),
        key: key.clone(),
        claim: claim.clone(),
        phase: HeldPhase::NotOpenInLog,
    };
    if !claim_route::can_claim(state, StreamId::Claims(key.partition())) {
        return Err(Refusal::LogUnavailable);
    }
    let name = request.to_string();
    state.journal.record(EventKind::ClaimAppended, &name, "", &key.to_string());
    let claimant = state.incarnation.clone();
    let pending = PendingClaim { claim, key: key.clone(), claimant, content, seen };
    let until = deadline.min(Instant::now() + CLAIM_WAIT);
    held.phase = HeldPhase::Appended;
    let verdict = claim_route::append_and_read_verdict(state, &pending, until)
        .await
        .map_err(|QueueFull| Refusal::Overloaded { retry_after: QUEUE_PAUSE })?;
    state.journal.record(EventKind::ClaimRead, &name, "", verdict_name(&verdict));
    match verdict {
        ClaimVerdict::Won => Ok(KeyClaim::Won(held)),
        ClaimVerdict::Lost(row) => {
            // While the winning claim is open it may still be released, and then a late copy of
            // this record could win, so this claim must be released too.
            if row.state != ClaimState::Open {
                held.phase = HeldPhase::NotOpenInLog;
            }
            Ok(KeyClaim::Lost(row))
        }
        ClaimVerdict::Void => {
            held.phase = HeldPhase::NotOpenInLog;
            Ok(KeyClaim::Void)
        }
        ClaimVerdict::Unseen => Err(Refusal::LogUnavailable),
    }
}

/// Refuses a key that embeds its creation time, as UUIDv7 does, once its outcome may have been
/// forgotten.
///
/// A key whose time is ahead of the log's is refused only if a new entry has just set the log's
/// time.
fn check_key_time(state: &EntryState, key: &ClaimKey, time_is_fresh: bool) -> Result<(), Refusal> {
    match key_freshness(&key.key, fold_time(state, key)) {
        KeyFreshness::TooOld => Err(Refusal::KeyExpired),
        KeyFreshness::TooNew if time_is_fresh => Err(Refusal::KeyFromFuture),
        _ => Ok(()),
    }
}

fn fold_time(state: &EntryState, key: &ClaimKey) -> WallMillis {
    state.folds.tables().claims[usize::from(key.partition())].time
}

fn folded_row(state: &EntryState, key: &ClaimKey) -> Option<ClaimRow> {
    let folds = state.folds.tables();
    folds.claims[usize::from(key.partition())].rows.get(key).cloned()
}

/// Waits for the outcome of a claim in the log; `None` if the claim was released, so that its call
/// did not run. If the claim is gone and was not released, its call may have run.
async fn wait_for_holder(
    state: &EntryState,
    key: &ClaimKey,
    content: ContentDigest,
    mut row: ClaimRow,
    deadline: Instant,
) -> Result<Option<CallOutcome>, Refusal> {
    let until = deadline.min(Instant::now() + HOLDER_WAIT);
    let mut progress = state.folds.subscribe();
    // The local fold may be behind the one that returned the row.
    let mut was_folded = false;
    loop {
        match folded_row(state, key) {
            Some(folded) => {
                was_folded = true;
                row = folded;
            }
            None if is_released(state, key, &row.claim) => return Ok(None),
            // The claim ended, and the fold removed it again before this check.
            None if was_folded => return Err(Refusal::CallUnknown),
            None => {}
        }
        if row.content != content {
            return Err(Refusal::KeyReused);
        }
        if let ClaimState::Closed { outcome, .. } = row.state {
            return Ok(Some(outcome));
        }
        if tokio::time::timeout_at(until, progress.changed()).await.is_err() {
            return Err(Refusal::CallUnknown);
        }
    }
}

/// Waits until the fold's time of a key's stream is later than `seen`.
///
/// A claim is void if the stream's time was far ahead of what its claimant had folded, for example
/// after the stream was quiet for long. The next claim must be made with the newer time.
async fn wait_for_time(state: &EntryState, key: &ClaimKey, seen: WallMillis, deadline: Instant) {
    let until = deadline.min(Instant::now() + CLAIM_WAIT);
    let mut progress = state.folds.subscribe();
    while fold_time(state, key) <= seen {
        if tokio::time::timeout_at(until, progress.changed()).await.is_err() {
            return;
        }
    }
}

fn is_released(state: &EntryState, key: &ClaimKey, claim: &RecordId) -> bool {
    let folds = state.folds.tables();
    folds.claims[usize::from(key.partition())].is_released(claim)
}

/// Waits for a claim that another request of this process holds; `None` if it was given up.
async fn wait_for_local_claim(
    row: LedgerRow,
    content: ContentDigest,
    deadline: Instant,
) -> Result<Option<CallOutcome>, Refusal> {
    if row.content != content {
        return Err(Refusal::KeyReused);
    }
    let mut phase = row.phase.subscribe();
    let ended =
        phase.wait_for(|phase| matches!(phase, LedgerPhase::Ended(_) | LedgerPhase::Abandoned));
    match tokio::time::timeout_at(deadline, ended).await {
        Ok(Ok(phase)) => match &*phase {
            LedgerPhase::Ended(outcome) => Ok(Some(outcome.clone())),
            _ => Ok(None),
        },
        Ok(Err(_)) => Ok(None),
        Err(_) => Err(Refusal::CallUnknown),
    }
}

/// Gives up a claim that was not dispatched, first in the local ledger and then in the log.
fn abandon(state: &Arc<EntryState>, key: &ClaimKey, claim: &RecordId) {
    state.ledger.forget(key, claim);
    state.journal.record(EventKind::ClaimReleased, "", "", &key.to_string());
    append_fact(state, key, FactBody::Release { key: key.clone(), claim: claim.clone() });
}

fn append_fact(state: &Arc<EntryState>, key: &ClaimKey, body: FactBody) {
    let fact = LogFact { id: state.next_record(), body };
    claim_route::append_reliably(state, StreamId::Claims(key.partition()), fact);
}

/// Keeps an ended claim in the ledger until the local fold contains the claim's outcome.
async fn forget_when_folded(state: Arc<EntryState>, key: ClaimKey, claim: RecordId) {
    let mut progress = state.folds.subscribe();
    let mut was_folded = false;
    loop {
        let row = folded_row(&state, &key).filter(|row| row.claim == claim);
        let ended = match &row {
            Some(row) => row.state != ClaimState::Open,
            // The local fold may not contain the claim yet.
            None => was_folded,
        };
        was_folded |= row.is_some();
        if ended || progress.changed().await.is_err() {
            break;
        }
    }
    state.ledger.forget(&key, &claim);
}

fn verdict_name(verdict: &ClaimVerdict) -> &'static str {
    match verdict {
        ClaimVerdict::Won => "won",
        ClaimVerdict::Lost(_) => "lost",
        ClaimVerdict::Void => "void",
        ClaimVerdict::Unseen => "unseen",
    }
}
