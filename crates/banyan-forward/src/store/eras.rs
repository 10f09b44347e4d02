//! Recognises a store that has come back from an older copy of itself: [`EraTracker`].

use tokio::sync::watch;

use crate::edges::StoreError;
use banyan_core::ids::StoreEra;
use banyan_core::pipeline::log_position::LogPosition;

/// The newest era that the store's answers have named.
#[derive(Debug, Default)]
pub struct EraTracker {
    newest: watch::Sender<StoreEra>,
}

impl EraTracker {
    /// Notes the era that an answer names, and returns the era in which it was given. An answer that
    /// names none is taken to be of the newest known era.
    pub fn note(&self, named: Option<StoreEra>) -> StoreEra {
        let Some(era) = named else { return *self.newest.borrow() };
        let was = *self.newest.borrow();
        let rose = self.newest.send_if_modified(|newest| {
            let rises = era > *newest;
            *newest = era.max(*newest);
            rises
        });
        if rose {
            metrics::gauge!("banyan_store_era").set(era.0 as f64);
            tracing::info!(part = "store", %era, %was, "The store names a later era.");
        }
        era
    }

    /// Waits until an answer names a later era than `era`, and returns it.
    pub async fn later_than(&self, era: StoreEra) -> StoreEra {
        let mut newest = self.newest.subscribe();
        let later = newest.wait_for(|newest| *newest > era).await.map(|later| *later);
        match later {
            Ok(later) => later,
            // The sender is gone only if `self` is.
            Err(_) => std::future::pending().await,
        }
    }
}

/// Checks that an answer to a read from a position was given in the era of that position.
pub fn check_era(from: LogPosition, answered: StoreEra) -> Result<(), StoreError> {
    if answered > from.era {
        return Err(StoreError::LaterEra { era: answered });
    }
    if answered < from.era {
        return Err(StoreError::EarlierEra { era: answered, known: from.era });
    }
    Ok(())
}
