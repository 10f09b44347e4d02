//! Who may dispatch a call that runs at most once: [`ClaimFold`].
//!
//! The first claim of a key wins, and only its claimant may ever dispatch it. A claim never passes
//! to another instance: one whose claimant is gone stays open, and repeats are told that the
//! outcome is unknown. An open claim is never forgotten, because its claimant may be paused for
//! longer than any limit; a closed one is forgotten when its memory ends.

use std::collections::BTreeMap;

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

/// The time that the id of a released claim is kept, so that a late copy of the claim folds to
/// nothing, in milliseconds.
const RELEASED_MEMORY_MS: u64 = 3_600_000;

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
    /// Ids of released and void claims, each kept until a time of the platform's clock.
    pub released: BTreeMap<RecordId, WallMillis>,
}

impl ClaimFold {
    /// Folds one entry; entries below `next` were folded before and change nothing.
    pub fn apply(&mut self, entry: &LogEntry) {
        if entry.offset < self.next {
            return;
        }
        self.next = entry.offset.next();
        self.time = self.time.max(entry.at);
        self.forget_expired();
        for fact in &entry.facts {
            self.apply_fact(&fact.id, &fact.body);
        }
    }

    /// What became of the claim `claim` of `key`.
    pub fn verdict(&self, key: &ClaimKey, claim: &RecordId) -> ClaimVerdict {
        if self.released.contains_key(claim) {
            return ClaimVerdict::Void;
        }
        match self.rows.get(key) {
            Some(row) if row.claim == *claim && row.state == ClaimState::Open => ClaimVerdict::Won,
            Some(row) => ClaimVerdict::Lost(row.clone()),
            None => ClaimVerdict::Unseen,
        }
    }

    fn released_until(&self) -> WallMillis {
        WallMillis(self.time.0 + RELEASED_MEMORY_MS)
    }

    fn forget_expired(&mut self) {
        let time = self.time;
        self.rows.retain(|_, row| match &row.state {
            ClaimState::Open => true,
            ClaimState::Closed { until, .. } => *until > time,
        });
        self.released.retain(|_, until| *until > time);
    }

    fn apply_fact(&mut self, id: &RecordId, body: &FactBody) {
        match body {
            FactBody::Claim { key, claimant, content, seen } => {
                if self.rows.contains_key(key) || self.released.contains_key(id) {
                    return;
                }
                if self.time.0 > seen.0 + CLAIM_WINDOW_MS {
                    self.released.insert(id.clone(), self.released_until());
                    return;
                }
                let row = ClaimRow {
                    claim: id.clone(),
                    claimant: claimant.clone(),
                    content: *content,
                    state: ClaimState::Open,
                };
                self.rows.insert(key.clone(), row);
            }
            FactBody::Close { key, claim, outcome, memory_ms } => {
                let until = WallMillis(self.time.0 + memory_ms);
                let Some(row) = self.rows.get_mut(key) else { return };
                if row.claim == *claim && row.state == ClaimState::Open {
                    row.state = ClaimState::Closed { outcome: outcome.clone(), until };
                }
            }
            FactBody::Release { key, claim } => {
                self.released.insert(claim.clone(), self.released_until());
                if self.rows.get(key).is_some_and(|row| row.claim == *claim) {
                    self.rows.remove(key);
                }
            }
            _ => {}
        }
    }
}
