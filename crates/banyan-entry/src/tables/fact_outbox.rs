//! Claims and facts that are yet to be appended to the log: [`PendingClaim`], [`FactOutbox`].

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

/// A claim to be appended to the log.
#[derive(Clone, Debug)]
pub struct PendingClaim {
    /// The id of the claim's log record.
    pub claim: RecordId,
    /// The claimed key.
    pub key: ClaimKey,
    /// The only process that may dispatch the call.
    pub claimant: IncarnationId,
    /// The digest of the call.
    pub content: ContentDigest,
    /// The fold time at which the claimant saw the key free.
    pub seen: WallMillis,
}

/// Facts that must be appended and have not been yet, with at most one sending task per stream.
#[derive(Debug, Default)]
pub struct FactOutbox {
    pub(crate) rows: Mutex<BTreeMap<StreamId, OutboxRow>>,
}

/// The facts of one stream. Invariant: a task is sending them as long as the row exists.
#[derive(Debug, Default)]
pub(crate) struct OutboxRow {
    /// Facts that the task has not picked up.
    pub(crate) waiting: Vec<LogFact>,
    /// The number of facts that the task is sending.
    pub(crate) in_flight: usize,
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
    /// The number of facts that have not been appended.
    pub fn len(&self) -> usize {
        self.lock().values().map(|row| row.waiting.len() + row.in_flight).sum()
    }

    /// Whether every fact has been appended.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, BTreeMap<StreamId, OutboxRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
