//! Who may dispatch a call that runs at most once: [`ClaimFold`].
//!
//! The first claim of a key wins, and only its claimant may ever dispatch it. A claim never passes
//! to another instance: one whose claimant is gone stays open, and repeats are told that the
//! outcome is unknown. An open claim is not forgotten while another claim of its key could win,
//! because its claimant may be paused for longer than any limit: never for a key without a time,
//! and not within the window of a key that carries one. A closed one is forgotten when its memory
//! ends.

use std::collections::BTreeMap;

use crate::fold::expiry::ExpiryIndex;
use crate::fold::keys::KeyFreshness;
use crate::fold::keys::key_end;
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

/// The time that the id of a released or late claim is kept, in milliseconds.
///
/// Invariant: greater than [`CLAIM_WINDOW_MS`], so that a copy of the claim that lands when the id
/// is forgotten is void because it is late.
const DEAD_MEMORY_MS: u64 = 2 * CLAIM_WINDOW_MS;

/// The winning claim of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRow {
    /// The record id of the claim.
    pub claim: RecordId,
    /// The only run of a daemon that may dispatch it.
    pub claimant: IncarnationId,
    /// The digest of the call that the key stands for.
    pub content: ContentDigest,
    /// Whether it ended.
    pub state: ClaimState,
}

/// Whether a claim ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// The claimant may dispatch it, may have dispatched it, or is gone.
    Open,
    /// It was dispatched and the outcome is remembered until a time of the platform's clock.
    Closed {
        /// What is known.
        outcome: CallOutcome,
        /// When the row is forgotten.
        until: WallMillis,
    },
}

/// What the fold says about one claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// It is the winning claim of its key and still open.
    Won,
    /// Another claim of the key won; its row says what is known.
    Lost(ClaimRow),
    /// It was released, or it landed too late after its claimant saw the key free.
    Void,
    /// The log, as far as folded, does not hold the claim.
    Unseen,
}

/// The fold over the claims of one partition.
///
/// Invariants: at most one row a key; a row's claim id never changes while the row stands.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ClaimFold {
    /// The first offset not folded yet.
    pub next: LogOffset,
    /// The greatest time stamped on an entry so far.
    pub time: WallMillis,
    /// The winning claims by key.
    pub rows: BTreeMap<ClaimKey, ClaimRow>,
    /// Ids of released claims, which never ran, each kept until a time of the platform's clock.
    pub released: BTreeMap<RecordId, WallMillis>,
    /// Ids of claims that landed too late, each kept until a time of the platform's clock. One of
    /// them may be the copy of a claim that ran and was forgotten.
    pub late: BTreeMap<RecordId, WallMillis>,
    /// The ends of those `rows` that have one.
    row_ends: ExpiryIndex<ClaimKey>,
    /// The ends of `released`.
    released_ends: ExpiryIndex<RecordId>,
    /// The ends of `late`.
    late_ends: ExpiryIndex<RecordId>,
}

/// All that a [`ClaimFold`] has to remember, for checkpoints and for peers.
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
    /// The fold that goes on from a snapshot of a checkpoint or of a peer.
    pub fn restore(snapshot: ClaimSnapshot) -> Self {
        let mut fold = Self { next: snapshot.next, time: snapshot.time, ..Self::default() };
        for (key, row) in &snapshot.rows {
            if let Some(end) = row_end(key, row) {
                fold.row_ends.insert(end, key.clone());
            }
        }
        for (claim, until) in &snapshot.released {
            fold.released_ends.insert(*until, claim.clone());
        }
        for (claim, until) in &snapshot.late {
            fold.late_ends.insert(*until, claim.clone());
        }
        fold.rows = snapshot.rows;
        fold.released = snapshot.released;
        fold.late = snapshot.late;
        fold
    }

    /// All that this fold has to remember.
    pub fn snapshot(&self) -> ClaimSnapshot {
        ClaimSnapshot {
            next: self.next,
            time: self.time,
            rows: self.rows.clone(),
            released: self.released.clone(),
            late: self.late.clone(),
        }
    }

    /// Takes over a peer's state where it holds more of the log than this one; says whether it did.
    pub fn adopt(&mut self, snapshot: ClaimSnapshot) -> bool {
        if snapshot.next <= self.next {
            return false;
        }
        *self = Self::restore(snapshot);
        true
    }

    /// Folds one entry if it is the next one; otherwise changes nothing.
    ///
    /// Rows are forgotten by the time of the entries before. So a claim that ends a long silence of
    /// the stream can win, and one that loses finds the row that it lost to.
    pub fn apply(&mut self, entry: &LogEntry) -> FoldStep {
        let step = FoldStep::judge(self.next, entry.offset);
        if step != FoldStep::Folded {
            return step;
        }
        self.forget_expired();
        let before = self.time;
        self.next = entry.offset.next();
        self.time = self.time.max(entry.at);
        for fact in &entry.facts {
            self.apply_fact(before, &fact.id, &fact.body);
        }
        step
    }

    /// What became of the claim `claim` of `key`.
    pub fn verdict(&self, key: &ClaimKey, claim: &RecordId) -> ClaimVerdict {
        if self.can_never_win(claim) {
            return ClaimVerdict::Void;
        }
        match self.rows.get(key) {
            Some(row) if row.claim == *claim && row.state == ClaimState::Open => ClaimVerdict::Won,
            Some(row) => ClaimVerdict::Lost(row.clone()),
            None => ClaimVerdict::Unseen,
        }
    }

    /// Whether `claim` is known to have been released, so that its call never ran under it.
    ///
    /// [`ClaimVerdict::Void`] says less of another's claim, since it may have run before.
    pub fn is_released(&self, claim: &RecordId) -> bool {
        self.released.contains_key(claim)
    }

    fn can_never_win(&self, claim: &RecordId) -> bool {
        self.released.contains_key(claim) || self.late.contains_key(claim)
    }

    fn apply_fact(&mut self, before: WallMillis, id: &RecordId, body: &FactBody) {
        match body {
            FactBody::Claim { key, claimant, content, seen } => {
                if self.rows.contains_key(key) || self.can_never_win(id) {
                    return;
                }
                if !self.is_in_time(before, key, *seen) {
                    let until = self.dead_until();
                    keep(&mut self.late, &mut self.late_ends, id, until);
                    return;
                }
                let row = ClaimRow {
                    claim: id.clone(),
                    claimant: claimant.clone(),
                    content: *content,
                    state: ClaimState::Open,
                };
                if let Some(end) = row_end(key, &row) {
                    self.row_ends.insert(end, key.clone());
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

    /// Whether a claim may win that saw the key free at `seen`, the stream's time being `before`
    /// ahead of its entry.
    fn is_in_time(&self, before: WallMillis, key: &ClaimKey, seen: WallMillis) -> bool {
        let in_window = before.0 <= seen.0.saturating_add(CLAIM_WINDOW_MS);
        let standing = key_freshness(&key.key, self.time);
        in_window && matches!(standing, KeyFreshness::NoTimestamp | KeyFreshness::Fresh)
    }

    fn close(&mut self, key: &ClaimKey, claim: &RecordId, outcome: &CallOutcome, memory_ms: u64) {
        // Forgetting a row sooner would let a claim win that saw the key free before this one.
        let memory_ms = memory_ms.max(CLAIM_WINDOW_MS + 1);
        let until = WallMillis(self.time.0.saturating_add(memory_ms))
            .max(key_end(&key.key).unwrap_or_default());
        let Some(row) = self.rows.get_mut(key) else { return };
        if row.claim != *claim || row.state != ClaimState::Open {
            return;
        }
        if let Some(end) = row_end(key, row) {
            self.row_ends.remove(end, key);
        }
        row.state = ClaimState::Closed { outcome: outcome.clone(), until };
        self.row_ends.insert(until, key.clone());
    }

    fn release(&mut self, key: &ClaimKey, claim: &RecordId) {
        if let Some(row) = self.rows.get(key).filter(|row| row.claim == *claim) {
            // What was closed was dispatched, and a dispatched call cannot be given up.
            if row.state != ClaimState::Open {
                return;
            }
            if let Some(end) = row_end(key, row) {
                self.row_ends.remove(end, key);
            }
            self.rows.remove(key);
        }
        let until = self.dead_until();
        keep(&mut self.released, &mut self.released_ends, claim, until);
    }

    fn dead_until(&self) -> WallMillis {
        WallMillis(self.time.0.saturating_add(DEAD_MEMORY_MS))
    }

    fn forget_expired(&mut self) {
        while let Some(key) = self.row_ends.pop_ended(self.time) {
            self.rows.remove(&key);
        }
        while let Some(claim) = self.released_ends.pop_ended(self.time) {
            self.released.remove(&claim);
        }
        while let Some(claim) = self.late_ends.pop_ended(self.time) {
            self.late.remove(&claim);
        }
    }
}

/// Keeps the id of a claim until a time, in place of any earlier one.
fn keep(
    ids: &mut BTreeMap<RecordId, WallMillis>,
    ends: &mut ExpiryIndex<RecordId>,
    claim: &RecordId,
    until: WallMillis,
) {
    if let Some(known) = ids.insert(claim.clone(), until) {
        ends.remove(known, claim);
    }
    ends.insert(until, claim.clone());
}

/// When a row is forgotten, if ever.
fn row_end(key: &ClaimKey, row: &ClaimRow) -> Option<WallMillis> {
    match row.state {
        ClaimState::Open => key_end(&key.key),
        ClaimState::Closed { until, .. } => Some(until),
    }
}
