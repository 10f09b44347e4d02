//! Resources that a request or a connection holds while it is active and releases on drop:
//! [`RequestLease`].

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::state::ForwardState;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::target_chain::TargetChain;
use banyan_core::units::TokenCount;

/// A request that holds room for less time did not run: an engine rejected it, or its attempt was
/// cancelled. Its end says nothing about how often running requests release room.
const MIN_RUN_TIME: Duration = Duration::from_millis(50);

/// A resource that a request or a connection holds. Dropping the lease releases it.
pub struct RequestLease {
    release: Option<Box<dyn FnOnce() + Send>>,
}

impl RequestLease {
    fn new(release: impl FnOnce() + Send + 'static) -> Self {
        Self { release: Some(Box::new(release)) }
    }
}

impl fmt::Debug for RequestLease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestLease").finish_non_exhaustive()
    }
}

impl Drop for RequestLease {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            release();
        }
    }
}

/// Counts a request as active.
pub fn count_active<P: Send + Sync + 'static>(state: &Arc<ForwardState<P>>) -> RequestLease {
    state.tables().active += 1;
    let state = state.clone();
    RequestLease::new(move || state.tables().active -= 1)
}

/// Counts a caller's connection as used, so that a stop waits until its answers are written.
pub fn count_used_connection<P: Send + Sync + 'static>(
    state: &Arc<ForwardState<P>>,
) -> RequestLease {
    state.tables().used_connections += 1;
    let state = state.clone();
    RequestLease::new(move || state.tables().used_connections -= 1)
}

/// Reserves capacity for a request of `tokens` tokens on all engines of a chain.
pub fn lease_chain<P: Send + Sync + 'static>(
    state: &Arc<ForwardState<P>>,
    chain: &Arc<TargetChain>,
    tokens: TokenCount,
) -> RequestLease {
    state.tables().add_chain_load(chain, tokens);
    lease_reserved_chain(state, chain, tokens)
}

/// A lease on capacity that has already been reserved with [`ForwardTables::add_chain_load`].
///
/// [`ForwardTables::add_chain_load`]: crate::decisions::tables::ForwardTables::add_chain_load
pub fn lease_reserved_chain<P: Send + Sync + 'static>(
    state: &Arc<ForwardState<P>>,
    chain: &Arc<TargetChain>,
    tokens: TokenCount,
) -> RequestLease {
    let state = state.clone();
    let chain = chain.clone();
    let taken = state.now();
    RequestLease::new(move || {
        let settings = state.settings();
        let now = state.now();
        let mut tables = state.tables();
        if now.since(taken) < MIN_RUN_TIME {
            tables.cancel_chain(&chain, tokens, &settings, now);
        } else {
            tables.release_chain(&chain, tokens, &settings, now);
        }
    })
}

/// Counts the prefill of a prompt as pending on all engines of a chain until the lease is dropped,
/// together with the time that the prompt spends on links between zones.
pub fn lease_prefill<P: Send + Sync + 'static>(
    state: &Arc<ForwardState<P>>,
    chain: &Arc<TargetChain>,
    prompt: TokenCount,
) -> RequestLease {
    let mut tables = state.tables();
    for part in &chain.parts {
        tables.loads.add_pending_prefill(&part.target, prompt);
    }
    let cross_zone_time = chain.prompt_cross_zone_time(prompt);
    tables.loads.add_cross_zone_time(cross_zone_time);
    drop(tables);
    let state = state.clone();
    let chain = chain.clone();
    let release = move || {
        let mut tables = state.tables();
        for part in &chain.parts {
            tables.loads.remove_pending_prefill(&part.target, prompt);
        }
        tables.loads.remove_cross_zone_time(cross_zone_time);
    };
    RequestLease::new(release)
}

/// Reserves a slot for one call at a replica.
pub fn lease_replica<P: Send + Sync + 'static>(
    state: &Arc<ForwardState<P>>,
    target: &TargetId,
) -> RequestLease {
    state.tables().loads.add(target, TokenCount(0), 0, true);
    let state = state.clone();
    let target = target.clone();
    let release = move || state.tables().loads.remove(&target, TokenCount(0), 0, true);
    RequestLease::new(release)
}
