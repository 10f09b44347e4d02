//! Guards calls that may run at most once: [`acquire`] gives a [`HeldClaim`] or the known outcome.
//!
//! A key is dispatched only by the run whose claim was read back from the log as the winning one,
//! and only once in that run's life. A claim that is given up before anything was sent is forgotten
//! here first, so that it can never be dispatched, and released in the log afterwards.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::refusal::Refusal;
use crate::state::EntryState;
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
const CLAIM_WAIT: Duration = Duration::from_secs(2);
/// The longest time to wait for the outcome of a claim that another run holds.
const HOLDER_WAIT: Duration = Duration::from_secs(5);
/// Tries to claim a key whose claims land too late.
const CLAIM_TRIES: u32 = 3;

/// The claims that this run holds or held, until the log shows how they ended.
#[derive(Debug, Default)]
pub struct ClaimLedger {
    rows: Mutex<BTreeMap<ClaimKey, LedgerRow>>,
}

#[derive(Clone, Debug)]
struct LedgerRow {
    claim: RecordId,
    content: ContentDigest,
    phase: watch::Sender<LedgerPhase>,
}

/// How far a claim of this run is.
#[derive(Clone, Debug, Eq, PartialEq)]
enum LedgerPhase {
    /// It was appended and not read back.
    Claiming,
    /// It was sent to the service, or is about to be.
    Dispatched,
    /// It ended.
    Ended(CallOutcome),
    /// It was given up and will never be sent.
    Abandoned,
}

/// What a caller of a keyed call gets.
#[derive(Debug)]
pub enum ClaimTurn {
    /// It may be dispatched, once.
    Mine(HeldClaim),
    /// It ran before, and this was its outcome.
    Ended(CallOutcome),
}

/// The winning claim of a key, not dispatched yet. Dropping it gives it up.
#[derive(Debug)]
pub struct HeldClaim {
    state: Arc<EntryState>,
    key: ClaimKey,
    claim: RecordId,
    dispatched: bool,
}

impl ClaimLedger {
    /// The keys of claims that are not ended, with their record ids.
    pub fn open(&self) -> Vec<(ClaimKey, RecordId)> {
        let rows = self.lock();
        let open = rows.iter().filter(|(_, row)| {
            matches!(*row.phase.borrow(), LedgerPhase::Claiming | LedgerPhase::Dispatched)
        });
        open.map(|(key, row)| (key.clone(), row.claim.clone())).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ClaimKey, LedgerRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Enters a claim, unless this run has one of that key already, which it then gives.
    fn enter(&self, key: &ClaimKey, claim: &RecordId, content: ContentDigest) -> Option<LedgerRow> {
        let mut rows = self.lock();
        if let Some(row) = rows.get(key) {
            return Some(row.clone());
        }
        let phase = watch::Sender::new(LedgerPhase::Claiming);
        rows.insert(key.clone(), LedgerRow { claim: claim.clone(), content, phase });
        None
    }

    fn set_phase(&self, key: &ClaimKey, claim: &RecordId, phase: LedgerPhase) {
        let rows = self.lock();
        if let Some(row) = rows.get(key).filter(|row| row.claim == *claim) {
            row.phase.send_replace(phase);
        }
    }

    /// Ends a claim that will never be dispatched, and tells the requests that wait for it.
    fn give_up(&self, key: &ClaimKey, claim: &RecordId) {
        self.set_phase(key, claim, LedgerPhase::Abandoned);
        self.remove(key, claim);
    }

    fn remove(&self, key: &ClaimKey, claim: &RecordId) {
        let mut rows = self.lock();
        if rows.get(key).is_some_and(|row| row.claim == *claim) {
            rows.remove(key);
        }
    }
}

impl HeldClaim {
    /// Marks the claim as dispatched. Called once, right before the first byte is sent.
    pub fn dispatch(&mut self) {
        self.dispatched = true;
        self.state.ledger.set_phase(&self.key, &self.claim, LedgerPhase::Dispatched);
    }

    /// Ends the claim with what is known, here at once and in the log as soon as it takes it.
    pub fn close(self, outcome: CallOutcome) {
        let state = self.state.clone();
        let memory = state.tables().declaration.policy.key_memory;
        let memory_ms = memory.as_millis() as u64;
        let body = FactBody::Close {
            key: self.key.clone(),
            claim: self.claim.clone(),
            outcome: outcome.clone(),
            memory_ms,
        };
        submit(&state, &self.key, body, None);
        state.ledger.set_phase(&self.key, &self.claim, LedgerPhase::Ended(outcome));
        tokio::spawn(forget_when_folded(state, self.key.clone(), self.claim.clone()));
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        if !self.dispatched {
            abandon(&self.state, &self.key, &self.claim);
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
) -> Result<ClaimTurn, Refusal> {
    for turn in 0..CLAIM_TRIES {
        check_key_time(state, key, turn > 0)?;
        if let Some(row) = folded_row(state, key) {
            return wait_for_holder(state, key, content, row, deadline).await;
        }
        if !state.folds.tables().log_reachable() {
            return Err(Refusal::LogAway);
        }
        let claim = state.next_record();
        if let Some(row) = state.ledger.enter(key, &claim, content) {
            match wait_for_own(row, content, deadline).await? {
                Some(outcome) => return Ok(ClaimTurn::Ended(outcome)),
                None => continue,
            }
        }
        append_claim(state, request, key, &claim, content);
        let verdict = read_back(state, key, &claim, deadline).await;
        let name = request.to_string();
        state.journal.record(EventKind::ClaimRead, &name, "", verdict_name(&verdict));
        match verdict {
            ClaimVerdict::Won => {
                let (state, key) = (state.clone(), key.clone());
                return Ok(ClaimTurn::Mine(HeldClaim { state, key, claim, dispatched: false }));
            }
            ClaimVerdict::Lost(_) | ClaimVerdict::Void => state.ledger.give_up(key, &claim),
            ClaimVerdict::Unseen => {
                abandon(state, key, &claim);
                return Err(Refusal::LogAway);
            }
        }
    }
    Err(Refusal::LogAway)
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

/// Waits for the outcome of a claim that stands in the log.
async fn wait_for_holder(
    state: &EntryState,
    key: &ClaimKey,
    content: ContentDigest,
    mut row: ClaimRow,
    deadline: Instant,
) -> Result<ClaimTurn, Refusal> {
    let until = deadline.min(Instant::now() + HOLDER_WAIT);
    let mut progress = state.folds.subscribe();
    loop {
        if row.content != content {
            return Err(Refusal::KeyReused);
        }
        if let ClaimState::Closed { outcome, .. } = row.state {
            return Ok(ClaimTurn::Ended(outcome));
        }
        if tokio::time::timeout_at(until, progress.changed()).await.is_err() {
            return Err(Refusal::CallUnknown);
        }
        // A released claim leaves no row: the call did not run, and the caller may try again.
        row = folded_row(state, key).ok_or(Refusal::LogAway)?;
    }
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

fn append_claim(
    state: &EntryState,
    request: &RequestId,
    key: &ClaimKey,
    claim: &RecordId,
    content: ContentDigest,
) {
    let seen = fold_time(state, key);
    let claimant = state.incarnation.clone();
    let body = FactBody::Claim { key: key.clone(), claimant, content, seen };
    let fact = LogFact { id: claim.clone(), body };
    let until = Instant::now() + CLAIM_WAIT;
    state.writer.submit(StreamId::Claims(key.partition()), fact, Some(until));
    let name = request.to_string();
    state.journal.record(EventKind::ClaimAppended, &name, "", &key.to_string());
}

/// Waits until the fold knows a claim; `Unseen` when it does not in time or the log is lost.
async fn read_back(
    state: &EntryState,
    key: &ClaimKey,
    claim: &RecordId,
    deadline: Instant,
) -> ClaimVerdict {
    let until = deadline.min(Instant::now() + CLAIM_WAIT);
    let mut progress = state.folds.subscribe();
    loop {
        let (verdict, reachable) = {
            let folds = state.folds.tables();
            let fold = &folds.claims[usize::from(key.partition())];
            (fold.verdict(key, claim), folds.log_reachable())
        };
        if verdict != ClaimVerdict::Unseen || !reachable {
            return verdict;
        }
        if tokio::time::timeout_at(until, progress.changed()).await.is_err() {
            return ClaimVerdict::Unseen;
        }
    }
}

/// Gives up a claim that was not dispatched: here first, then in the log.
fn abandon(state: &Arc<EntryState>, key: &ClaimKey, claim: &RecordId) {
    state.ledger.give_up(key, claim);
    state.journal.record(EventKind::ClaimReleased, "", "", &key.to_string());
    let body = FactBody::Release { key: key.clone(), claim: claim.clone() };
    submit(state, key, body, None);
}

fn submit(state: &EntryState, key: &ClaimKey, body: FactBody, until: Option<Instant>) {
    let fact = LogFact { id: state.next_record(), body };
    state.writer.submit(StreamId::Claims(key.partition()), fact, until);
}

/// Keeps an ended claim in the ledger until the log shows its end.
async fn forget_when_folded(state: Arc<EntryState>, key: ClaimKey, claim: RecordId) {
    let mut progress = state.folds.subscribe();
    loop {
        let row = folded_row(&state, &key);
        let ended = row.is_none_or(|row| row.claim != claim || row.state != ClaimState::Open);
        if ended || progress.changed().await.is_err() {
            break;
        }
    }
    state.ledger.remove(&key, &claim);
}

fn verdict_name(verdict: &ClaimVerdict) -> &'static str {
    match verdict {
        ClaimVerdict::Won => "won",
        ClaimVerdict::Lost(_) => "lost",
        ClaimVerdict::Void => "void",
        ClaimVerdict::Unseen => "unseen",
    }
}
