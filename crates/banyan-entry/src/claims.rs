//! Guards calls that may run at most once: [`acquire`] gives a [`HeldClaim`] or the known outcome.
//!
//! A key is dispatched only by the run whose claim was read back from the log as the winning one,
//! and only once in that run's life. A claim that is given up before anything was sent is forgotten
//! here first, so that it can never be dispatched, and released in the log afterwards.

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
use banyan_core::fold::KeyStanding;
use banyan_core::fold::key_standing;
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
/// The longest time to wait for the outcome of a claim that another run holds.
const HOLDER_WAIT: Duration = Duration::from_secs(5);
/// When to try again where too many claims wait for the log.
const QUEUE_PAUSE: Duration = Duration::from_secs(1);
/// Tries to claim a key whose claims land too late.
const CLAIM_TRIES: u32 = 3;

/// What a caller of a keyed call gets.
#[derive(Debug)]
pub enum KeyAcquisition {
    /// It may be dispatched, once.
    Acquired(HeldClaim),
    /// It ran before, and this was its outcome.
    Ended(CallOutcome),
}

/// The winning claim of a key. Dropping it gives it up, or leaves its outcome unknown where it was
/// dispatched.
#[derive(Debug)]
pub struct HeldClaim {
    state: Arc<EntryState>,
    key: ClaimKey,
    claim: RecordId,
    phase: HeldPhase,
}

/// How far a claim of this run got, as the request that holds it knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HeldPhase {
    /// Its record cannot stand open in the log, now or later.
    Unsent,
    /// Its record may stand in the log.
    Appended,
    /// The call may have been sent.
    Dispatched,
    /// Its end is known and on its way to the log.
    Closed,
}

impl HeldClaim {
    /// Marks the claim as dispatched. Called once, right before the first byte is sent.
    pub fn dispatch(&mut self) {
        self.phase = HeldPhase::Dispatched;
        self.state.ledger.set_phase(&self.key, &self.claim, LedgerPhase::Dispatched);
    }

    /// Ends the claim with what is known, here at once and in the log as soon as it takes it.
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
        keep(state, &self.key, body);
        state.ledger.set_phase(&self.key, &self.claim, LedgerPhase::Ended(outcome));
        let (key, claim) = (self.key.clone(), self.claim.clone());
        tokio::spawn(forget_when_folded(state.clone(), key, claim));
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        match self.phase {
            HeldPhase::Unsent => self.state.ledger.forget(&self.key, &self.claim),
            HeldPhase::Appended => abandon(&self.state, &self.key, &self.claim),
            // The request ended without a word on the call, which may have run.
            HeldPhase::Dispatched => self.end(CallOutcome::Unknown),
            HeldPhase::Closed => {}
        }
    }
}

/// Gets the right to dispatch the call that a key stands for, or its outcome.
pub async fn acquire(
    state: &Arc<EntryState>,
    request: &RequestId,
    key: &ClaimKey,
    content: ContentDigest,
    deadline: Instant,
) -> Result<KeyAcquisition, Refusal> {
    // The time of a quiet stream is old, until a claim that landed tells a newer one.
    let mut time_is_fresh = false;
    for _ in 0..CLAIM_TRIES {
        check_key_time(state, key, time_is_fresh)?;
        // The time is read first, so that it is never later than the look at the key.
        let seen = fold_time(state, key);
        if let Some(row) = folded_row(state, key) {
            match wait_for_holder(state, key, content, row, deadline).await? {
                Some(outcome) => return Ok(KeyAcquisition::Ended(outcome)),
                None => continue,
            }
        }
        let claim = state.next_record();
        if let Some(row) = state.ledger.enter(key, &claim, content) {
            match wait_for_own(row, content, deadline).await? {
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

/// What became of a claim that the ledger holds.
enum KeyClaim {
    Won(HeldClaim),
    Lost(ClaimRow),
    Void,
}

/// Brings a claim that stands in the ledger to the log and waits for the fold's verdict.
async fn claim_key(
    state: &Arc<EntryState>,
    request: &RequestId,
    key: &ClaimKey,
    claim: RecordId,
    content: ContentDigest,
    seen: WallMillis,
    deadline: Instant,
) -> Result<KeyClaim, Refusal> {
    // From here on, leaving this function in any way but as the winner gives the claim up.
    let mut held = HeldClaim {
        state: state.clone(),
        key: key.clone(),
        claim: claim.clone(),
        phase: HeldPhase::Unsent,
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
    let verdict = claim_route::settle_claim(state, &pending, until)
        .await
        .map_err(|QueueFull| Refusal::Overloaded { retry_after: QUEUE_PAUSE })?;
    state.journal.record(EventKind::ClaimRead, &name, "", verdict_name(&verdict));
    match verdict {
        ClaimVerdict::Won => Ok(KeyClaim::Won(held)),
        ClaimVerdict::Lost(row) => {
            // A late copy of this record could win once an open winner is released.
            if row.state != ClaimState::Open {
                held.phase = HeldPhase::Unsent;
            }
            Ok(KeyClaim::Lost(row))
        }
        ClaimVerdict::Void => {
            held.phase = HeldPhase::Unsent;
            Ok(KeyClaim::Void)
        }
        ClaimVerdict::Unseen => Err(Refusal::LogUnavailable),
    }
}

/// A key that carries its time, as UUIDv7 does, is refused once its outcome may be forgotten.
///
/// A time ahead of the log's is judged only when an entry has just told the log's time.
fn check_key_time(state: &EntryState, key: &ClaimKey, time_is_fresh: bool) -> Result<(), Refusal> {
    match key_standing(&key.key, fold_time(state, key)) {
        KeyStanding::TooOld => Err(Refusal::KeyExpired),
        KeyStanding::TooNew if time_is_fresh => Err(Refusal::KeyFromFuture),
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

/// Waits for the outcome of a claim that stands in the log; `None` when it was released, so that
/// its call did not run. One that is gone and was not released may have run.
async fn wait_for_holder(
    state: &EntryState,
    key: &ClaimKey,
    content: ContentDigest,
    mut row: ClaimRow,
    deadline: Instant,
) -> Result<Option<CallOutcome>, Refusal> {
    let until = deadline.min(Instant::now() + HOLDER_WAIT);
    let mut progress = state.folds.subscribe();
    // The fold here may be behind the one that gave the row.
    let mut seen = false;
    loop {
        match folded_row(state, key) {
            Some(folded) => {
                seen = true;
                row = folded;
            }
            None if is_released(state, key, &row.claim) => return Ok(None),
            // Its end was read together with what made the fold forget it.
            None if seen => return Err(Refusal::CallUnknown),
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
/// A claim is void when the stream's time was far ahead of what its claimant had folded, as after a
/// long silence of the stream; the next claim needs to know the time to be in time.
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

/// Waits for a claim that another request of this run holds; `None` when it was given up.
async fn wait_for_own(
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

/// Gives up a claim that was not dispatched: here first, then in the log.
fn abandon(state: &Arc<EntryState>, key: &ClaimKey, claim: &RecordId) {
    state.ledger.forget(key, claim);
    state.journal.record(EventKind::ClaimReleased, "", "", &key.to_string());
    keep(state, key, FactBody::Release { key: key.clone(), claim: claim.clone() });
}

fn keep(state: &Arc<EntryState>, key: &ClaimKey, body: FactBody) {
    let fact = LogFact { id: state.next_record(), body };
    claim_route::keep_fact(state, StreamId::Claims(key.partition()), fact);
}

/// Keeps an ended claim in the ledger until the log shows its end.
async fn forget_when_folded(state: Arc<EntryState>, key: ClaimKey, claim: RecordId) {
    let mut progress = state.folds.subscribe();
    let mut seen = false;
    loop {
        let row = folded_row(&state, &key).filter(|row| row.claim == claim);
        let ended = match &row {
            Some(row) => row.state != ClaimState::Open,
            // The fold here may not hold the claim yet.
            None => seen,
        };
        seen |= row.is_some();
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
