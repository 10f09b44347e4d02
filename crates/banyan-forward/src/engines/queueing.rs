//! Waits in the queue for room at a chain: [`QueuedStream`].

use std::sync::Arc;

use crate::decisions::waiting::QueuePlace;
use crate::decisions::waiting::RECHECK_INTERVAL;
use crate::engines::leases::RequestLease;
use crate::engines::leases::lease_reserved_chain;
use crate::state::ForwardState;
use banyan_core::ids::ServiceId;
use banyan_core::pipeline::chain::ChainChoice;
use banyan_core::units::TokenCount;

/// A stream's place in the queue. Dropping it, as when the caller disconnects, gives up the place
/// and any room that was granted.
pub struct QueuedStream<P: Send + Sync + 'static> {
    /// The state that all tasks share.
    pub state: Arc<ForwardState<P>>,
    /// The service that it waits for.
    pub service: ServiceId,
    /// Its place.
    pub place: QueuePlace,
    /// The room that it needs.
    pub tokens: TokenCount,
}

impl<P: Send + Sync + 'static> QueuedStream<P> {
    /// Waits for a chain with room. Returns `None` if there was none in time.
    pub async fn wait(mut self) -> Option<(ChainChoice, RequestLease)> {
        let latest = self.state.clock.instant(self.place.latest);
        loop {
            tokio::select! {
                biased;
                granted = &mut self.place.granted => {
                    let choice = granted.ok()?;
                    let lease = lease_reserved_chain(&self.state, &choice.chain, self.tokens);
                    return Some((choice, lease));
                }
                () = tokio::time::sleep_until(latest) => return None,
                () = tokio::time::sleep(RECHECK_INTERVAL) => {
                    let settings = self.state.settings();
                    let now = self.state.now();
                    self.state.tables().recheck_waiting(&self.service, &settings, now);
                }
            }
        }
    }
}

impl<P: Send + Sync + 'static> Drop for QueuedStream<P> {
    fn drop(&mut self) {
        self.state.tables().leave_queue(&self.service, &self.place.id);
        // Room may have been granted since the last look.
        if let Ok(choice) = self.place.granted.try_recv() {
            drop(lease_reserved_chain(&self.state, &choice.chain, self.tokens));
        }
    }
}
