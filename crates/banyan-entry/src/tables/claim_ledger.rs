//! The claims that this run holds: [`ClaimLedger`].

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::watch;

use banyan_core::ids::RecordId;
use banyan_core::record::CallOutcome;
use banyan_core::record::ClaimKey;
use banyan_core::record::ContentDigest;

/// The claims that this run holds or held, until the log shows how they ended.
#[derive(Debug, Default)]
pub struct ClaimLedger {
    rows: Mutex<BTreeMap<ClaimKey, LedgerRow>>,
}

/// A claim of this run.
#[derive(Clone, Debug)]
pub(crate) struct LedgerRow {
    /// Its record.
    pub(crate) claim: RecordId,
    /// What is called.
    pub(crate) content: ContentDigest,
    /// How far it is.
    pub(crate) phase: watch::Sender<LedgerPhase>,
}

/// How far a claim of this run is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum LedgerPhase {
    /// It was appended and not read back.
    Claiming,
    /// It was sent to the service, or is about to be.
    Dispatched,
    /// It ended.
    Ended(CallOutcome),
    /// It was given up and will never be sent.
    Abandoned,
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

    pub(crate) fn lock(&self) -> MutexGuard<'_, BTreeMap<ClaimKey, LedgerRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Enters a claim, unless this run has one of that key already, which it then gives.
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

    /// Takes a claim out; requests that wait for it learn that it is over.
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
