//! Claims and facts on their way to the log: [`PendingClaim`], [`FactOutbox`].

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use banyan_core::ids::IncarnationId;
use banyan_core::ids::RecordId;
use banyan_core::record::ClaimKey;
use banyan_core::record::ContentDigest;
use banyan_core::record::FactBody;
use banyan_core::record::LogFact;
use banyan_core::record::StreamId;
use banyan_core::units::WallMillis;

/// A claim that is on its way to the log.
#[derive(Clone, Debug)]
pub struct PendingClaim {
    /// The record id.
    pub claim: RecordId,
    /// The key.
    pub key: ClaimKey,
    /// The only run that may dispatch it.
    pub claimant: IncarnationId,
    /// The digest of the call.
    pub content: ContentDigest,
    /// The time of the fold in which the claimant saw the key free.
    pub seen: WallMillis,
}

/// Facts that must land and have not, with at most one task for each stream that sees to it.
#[derive(Debug, Default)]
pub struct FactOutbox {
    pub(crate) rows: Mutex<BTreeMap<StreamId, OutboxRow>>,
}

/// The facts of one stream. Invariant: a task sees to them as long as the row stands.
#[derive(Debug, Default)]
pub(crate) struct OutboxRow {
    /// Facts that no task has taken up.
    pub(crate) waiting: Vec<LogFact>,
    /// The number of facts that a task is sending.
    pub(crate) under_way: usize,
}

impl PendingClaim {
    pub(crate) fn stream(&self) -> StreamId {
        StreamId::Claims(self.key.partition())
    }

    pub(crate) fn fact(&self) -> LogFact {
        let PendingClaim { claim, key, claimant, content, seen } = self.clone();
        LogFact { id: claim, body: FactBody::Claim { key, claimant, content, seen } }
    }
}

impl FactOutbox {
    /// The number of facts that have not landed.
    pub fn len(&self) -> usize {
        self.lock().values().map(|row| row.waiting.len() + row.under_way).sum()
    }

    /// Whether every fact has landed.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, BTreeMap<StreamId, OutboxRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
