//! The claims that this process holds: [`ClaimLedger`].

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::watch;

use banyan_core::ids::RecordId;
use banyan_core::record::CallOutcome;
use banyan_core::record::ClaimKey;
use banyan_core::record::ContentDigest;

/// The claims that this process holds. An ended claim is kept until the local fold contains its
/// outcome.
#[derive(Debug, Default)]
pub struct ClaimLedger {
    rows: Mutex<BTreeMap<ClaimKey, LedgerRow>>,
}

/// A claim of this process.
#[derive(Clone, Debug)]
pub(crate) struct LedgerRow {
    /// The id of the claim's log record.
    pub(crate) claim: RecordId,
    /// The digest of the call.
    pub(crate) content: ContentDigest,
    /// The claim's progress, which other requests with the same key watch.
    pub(crate) phase: watch::Sender<LedgerPhase>,
}

/// The progress of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum LedgerPhase {
    /// The claim is being appended and has not been read back.
    Claiming,
    /// The call was sent to the service or is about to be sent.
    Dispatched,
    /// The call ended with this outcome.
    Ended(CallOutcome),
    /// The claim was given up; its call will never be sent.
    Abandoned,
}

impl ClaimLedger {
    /// The keys and record ids of the claims that have not ended.
    pub fn open(&self) -> Vec<(ClaimKey, RecordId)> {
        let rows = self.lock();
        let open = rows.iter().filter(|(_, row)| {
            matches!(*row.phase.borrow(), LedgerPhase::Claiming | LedgerPhase::Dispatched)
        });
        open.map(|(key, row)| (key.clone(), row.claim.clone())).collect()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, BTreeMap<ClaimKey, LedgerRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a claim, unless this process already has one for the key, which is then returned.
    pub(crate) fn enter(
        &self,
        key: &ClaimKey,
        claim: &RecordId,
        content: ContentDigest,
    ) -> Option<LedgerRow> {
        let mut rows = self.lock();
        if let Some(row) = rows.get(key) {
            return Some(row.clone());
        }
        let phase = watch::Sender::new(LedgerPhase::Claiming);
        rows.insert(key.clone(), LedgerRow { claim: claim.clone(), content, phase });
        None
    }

    pub(crate) fn set_phase(&self, key: &ClaimKey, claim: &RecordId, phase: LedgerPhase) {
        let rows = self.lock();
        if let Some(row) = rows.get(key).filter(|row| row.claim == *claim) {
            row.phase.send_replace(phase);
        }
    }

    /// Removes a claim and notifies the requests that wait for it.
    pub(crate) fn forget(&self, key: &ClaimKey, claim: &RecordId) {
        let mut rows = self.lock();
        if rows.get(key).is_none_or(|row| row.claim != *claim) {
            return;
        }
        let Some(row) = rows.remove(key) else { return };
        row.phase.send_if_modified(|phase| {
            let ended = matches!(phase, LedgerPhase::Ended(_));
            if !ended {
                *phase = LedgerPhase::Abandoned;
            }
            !ended
        });
    }
}
