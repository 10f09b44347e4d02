//! Decides which instance may dispatch an at-most-once call: [`ClaimFold`].
//!
//! The first claim of a key wins, and only its claimant may dispatch the call. A claim is never
//! transferred: if its claimant fails, it stays open, and repeated calls are answered that the
//! outcome is unknown. A claimant may be paused for an unbounded time, so an open claim is kept as
//! long as another claim of its key could win: forever for a key without a timestamp, otherwise
//! until the key's window ends. A closed claim is kept until its retention time ends.

use std::collections::BTreeMap;

use crate::fold::expiry::ExpiryIndex;
use crate::fold::keys::KeyFreshness;
use crate::fold::keys::key_expiry;
use crate::fold::keys::key_freshness;
use crate::fold::step::FoldStep;
use crate::ids::IncarnationId;
use crate::ids::LogOffset;
use crate::ids::RecordId;
use crate::record::CLAIM_WINDOW_MS;
use crate::record::CallOutcome;
use crate::record::ClaimKey;
use crate::record::ContentDigest;
use crate::record::FactBody;
use crate::record::LogEntry;
use crate::units::WallMillis;

/// How long the id of a released or late claim is kept, in milliseconds.
///
/// Invariant: greater than [`CLAIM_WINDOW_MS`], so that a copy of the claim that is appended after
/// the id expired is void because it is late.
const VOID_ID_RETENTION_MS: u64 = 2 * CLAIM_WINDOW_MS;

/// The winning claim of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRow {
    /// The record id of the claim.
    pub claim: RecordId,
    /// The only incarnation that may dispatch the call.
    pub claimant: IncarnationId,
    /// The digest of the call that the key stands for.
    pub content: ContentDigest,
    /// Whether the claim is open or closed.
    pub state: ClaimState,
}

/// Whether a winning claim is open or closed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// The claimant may still dispatch the call, may have dispatched it, or has failed.
    Open,
    /// The call was dispatched, and its outcome is kept until a time of the platform's clock.
    Closed {
        /// The response, or that the outcome is unknown.
        outcome: CallOutcome,
        /// The platform time at which the row is removed.
        until: WallMillis,
    },
}

/// The verdict of the fold on one claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// The claim won its key and is still open.
    Won,
    /// Another claim of the key won, or this one won and is already closed. Contains the row of the
    /// winning claim.
    Lost(ClaimRow),
    /// The claim was released, it was appended too long after its claimant saw the key free, or the
    /// time in its key was outside the window.
    Void,
    /// The key has no row: no claim of it was folded yet, or the row was released or has expired.
    Unseen,
}

/// The fold over the claims of one partition.
///
/// Invariants: each key has at most one row; the claim id of a row never changes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ClaimFold {
    /// The first offset not folded yet.
    pub next: LogOffset,
    /// The greatest timestamp among the entries folded so far.
    pub time: WallMillis,
    /// The winning claims by key.
    pub rows: BTreeMap<ClaimKey, ClaimRow>,
    /// Ids of released claims, whose calls never ran, with the platform time of their removal.
    pub released: BTreeMap<RecordId, WallMillis>,
    /// Ids of claims that were appended too late or whose key was outside its window, with the
    /// platform time of their removal. Such a claim may be the copy of one whose call ran and whose
    /// row was removed.
    pub late: BTreeMap<RecordId, WallMillis>,
    /// The expiry times of those `rows` that have one.
    row_expiries: ExpiryIndex<ClaimKey>,
    /// The expiry times of `released`.
    released_expiries: ExpiryIndex<RecordId>,
    /// The expiry times of `late`.
    late_expiries: ExpiryIndex<RecordId>,
}

/// The state of a [`ClaimFold`] as stored in checkpoints and sent to peers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ClaimSnapshot {
    /// See [`ClaimFold::next`].
    pub next: LogOffset,
    /// See [`ClaimFold::time`].
    pub time: WallMillis,
    /// See [`ClaimFold::rows`].
    pub rows: BTreeMap<ClaimKey, ClaimRow>,
    /// See [`ClaimFold::released`].
    pub released: BTreeMap<RecordId, WallMillis>,
    /// See [`ClaimFold::late`].
    pub late: BTreeMap<RecordId, WallMillis>,
}

impl ClaimFold {
    /// Creates a fold from the snapshot of a checkpoint or a peer.
    pub fn restore(snapshot: ClaimSnapshot) -> Self {
        let mut fold = Self { next: snapshot.next, time: snapshot.time, ..Self::default() };
        for (key, row) in &snapshot.rows {
            if let Some(expiry) = row_expiry(key, row) {
                fold.row_expiries.insert(expiry, key.clone());
            }
        }
        for (claim, until) in &snapshot.released {
            fold.released_expiries.insert(*until, claim.clone());
        }
        for (claim, until) in &snapshot.late {
            fold.late_expiries.insert(*until, claim.clone());
        }
        fold.rows = snapshot.rows;
        fold.released = snapshot.released;
        fold.late = snapshot.late;
        fold
    }

    /// Copies the state that a checkpoint or a peer needs.
    pub fn snapshot(&self) -> ClaimSnapshot {
        ClaimSnapshot {
            next: self.next,
            time: self.time,
            rows: self.rows.clone(),
            released: self.released.clone(),
            late: self.late.clone(),
        }
    }

    /// Replaces this state by a peer's if that covers more of the log. Returns whether it did.
    pub fn adopt(&mut self, snapshot: ClaimSnapshot) -> bool {
        if snapshot.next <= self.next {
            return false;
        }
        *self = Self::restore(snapshot);
        true
    }

    /// Folds the entry at offset `next`; any other entry changes nothing.
    ///
    /// Whether a row has expired, and whether a claim was appended too late, depends on the time of
    /// the preceding entries, not of this one. So a claim isn't late only because the stream was
    /// idle before it, and the row that makes a claim lose is still there after this entry.
    pub fn apply(&mut self, entry: &LogEntry) -> FoldStep {
        let step = FoldStep::classify(self.next, entry.offset);
        if step != FoldStep::Folded {
            return step;
        }
        self.remove_expired();
        let previous_time = self.time;
        self.next = entry.offset.next();
        self.time = self.time.max(entry.at);
        for fact in &entry.facts {
            self.apply_fact(previous_time, &fact.id, &fact.body);
        }
        step
    }

    /// The verdict on the claim with id `claim` of `key`.
    pub fn verdict(&self, key: &ClaimKey, claim: &RecordId) -> ClaimVerdict {
        if self.is_void(claim) {
            return ClaimVerdict::Void;
        }
        match self.rows.get(key) {
            Some(row) if row.claim == *claim && row.state == ClaimState::Open => ClaimVerdict::Won,
            Some(row) => ClaimVerdict::Lost(row.clone()),
            None => ClaimVerdict::Unseen,
        }
    }

    /// Whether `claim` is known to be released, which means that its call never ran.
    ///
    /// A [`ClaimVerdict::Void`] isn't enough to conclude this about another instance's claim: it
    /// may be the verdict on a late copy of a claim whose call ran and whose row has expired.
    pub fn is_released(&self, claim: &RecordId) -> bool {
        self.released.contains_key(claim)
    }

    fn is_void(&self, claim: &RecordId) -> bool {
        self.released.contains_key(claim) || self.late.contains_key(claim)
    }

    fn apply_fact(&mut self, previous_time: WallMillis, id: &RecordId, body: &FactBody) {
        match body {
            FactBody::Claim { key, claimant, content, seen } => {
                if self.rows.contains_key(key) || self.is_void(id) {
                    return;
                }
                if !self.may_win(previous_time, key, *seen) {
                    let until = self.void_id_expiry();
                    keep_id(&mut self.late, &mut self.late_expiries, id, until);
                    return;
                }
                let row = ClaimRow {
                    claim: id.clone(),
                    claimant: claimant.clone(),
                    content: *content,
                    state: ClaimState::Open,
                };
                if let Some(expiry) = row_expiry(key, &row) {
                    self.row_expiries.insert(expiry, key.clone());
                }
                self.rows.insert(key.clone(), row);
            }
            FactBody::Close { key, claim, outcome, memory_ms } => {
                self.close(key, claim, outcome, *memory_ms);
            }
            FactBody::Release { key, claim } => self.release(key, claim),
            _ => {}
        }
    }

    /// Whether a claim may win whose claimant saw the key free at `seen`. `previous_time` is the
    /// fold's time before the claim's entry.
    fn may_win(&self, previous_time: WallMillis, key: &ClaimKey, seen: WallMillis) -> bool {
        let in_window = previous_time.0 <= seen.0.saturating_add(CLAIM_WINDOW_MS);
        let freshness = key_freshness(&key.key, self.time);
        in_window && matches!(freshness, KeyFreshness::NoTimestamp | KeyFreshness::Fresh)
    }

    fn close(&mut self, key: &ClaimKey, claim: &RecordId, outcome: &CallOutcome, memory_ms: u64) {
        // If the row expired sooner, a claim whose claimant saw the key free before this claim
        // could win.
        let memory_ms = memory_ms.max(CLAIM_WINDOW_MS + 1);
        let until = WallMillis(self.time.0.saturating_add(memory_ms))
            .max(key_expiry(&key.key).unwrap_or_default());
        let Some(row) = self.rows.get_mut(key) else { return };
        if row.claim != *claim || row.state != ClaimState::Open {
            return;
        }
        if let Some(expiry) = row_expiry(key, row) {
            self.row_expiries.remove(expiry, key);
        }
        row.state = ClaimState::Closed { outcome: outcome.clone(), until };
        self.row_expiries.insert(until, key.clone());
    }

    fn release(&mut self, key: &ClaimKey, claim: &RecordId) {
        if let Some(row) = self.rows.get(key).filter(|row| row.claim == *claim) {
            // A closed claim was dispatched, so it can't be released.
            if row.state != ClaimState::Open {
                return;
            }
            if let Some(expiry) = row_expiry(key, row) {
                self.row_expiries.remove(expiry, key);
            }
            self.rows.remove(key);
        }
        let until = self.void_id_expiry();
        keep_id(&mut self.released, &mut self.released_expiries, claim, until);
    }

    fn void_id_expiry(&self) -> WallMillis {
        WallMillis(self.time.0.saturating_add(VOID_ID_RETENTION_MS))
    }

    fn remove_expired(&mut self) {
        while let Some(key) = self.row_expiries.pop_expired(self.time) {
            self.rows.remove(&key);
        }
        while let Some(claim) = self.released_expiries.pop_expired(self.time) {
            self.released.remove(&claim);
        }
        while let Some(claim) = self.late_expiries.pop_expired(self.time) {
            self.late.remove(&claim);
        }
    }
}

/// Keeps the id of a claim until `until`, which replaces an earlier expiry time.
fn keep_id(
    ids: &mut BTreeMap<RecordId, WallMillis>,
    expiries: &mut ExpiryIndex<RecordId>,
    claim: &RecordId,
    until: WallMillis,
) {
    if let Some(previous) = ids.insert(claim.clone(), until) {
        expiries.remove(previous, claim);
    }
    expiries.insert(until, claim.clone());
}

/// The time at which a row expires; `None` if it never does.
fn row_expiry(key: &ClaimKey, row: &ClaimRow) -> Option<WallMillis> {
    match row.state {
        ClaimState::Open => key_expiry(&key.key),
        ClaimState::Closed { until, .. } => Some(until),
    }
}
