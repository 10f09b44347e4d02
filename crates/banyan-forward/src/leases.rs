//! What a request holds while it is under way, given back on drop: [`RequestLease`].

use std::sync::Arc;

use crate::state::ForwardState;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::chain::TargetChain;
use banyan_core::units::TokenCount;

/// Something that a request holds until this is dropped.
pub struct RequestLease {
    release: Option<Box<dyn FnOnce() + Send>>,
}

impl RequestLease {
    fn new(release: impl FnOnce() + Send + 'static) -> Self {
        Self { release: Some(Box::new(release)) }
    }
}

impl Drop for RequestLease {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            release();
        }
    }
}

/// Counts a request as under way.
pub fn count_active<P: Send + Sync + 'static>(state: &Arc<ForwardState<P>>) -> RequestLease {
    state.tables().active += 1;
    let state = state.clone();
    RequestLease::new(move || state.tables().active -= 1)
}

/// Takes up room for a request of `tokens` tokens at all engines of a chain.
pub fn lease_chain<P: Send + Sync + 'static>(
    state: &Arc<ForwardState<P>>,
    chain: &Arc<TargetChain>,
    tokens: TokenCount,
) -> RequestLease {
    let mut tables = state.tables();
    for (index, part) in chain.parts.iter().enumerate() {
        tables.loads.add(&part.target, tokens, part.range.count(), index == 0);
    }
    drop(tables);
    let state = state.clone();
    let chain = chain.clone();
    let release = move || {
        let mut tables = state.tables();
        for (index, part) in chain.parts.iter().enumerate() {
            tables.loads.remove(&part.target, tokens, part.range.count(), index == 0);
        }
    };
    RequestLease::new(release)
}

/// Counts a prompt as unread at all engines of a chain until the lease is dropped.
pub fn lease_prefill<P: Send + Sync + 'static>(
    state: &Arc<ForwardState<P>>,
    chain: &Arc<TargetChain>,
    prompt: TokenCount,
) -> RequestLease {
    let mut tables = state.tables();
    for part in &chain.parts {
        tables.loads.add_unread(&part.target, prompt);
    }
    let crossing = chain.crossing_of(prompt);
    tables.loads.add_crossing(crossing);
    drop(tables);
    let state = state.clone();
    let chain = chain.clone();
    let release = move || {
        let mut tables = state.tables();
        for part in &chain.parts {
            tables.loads.remove_unread(&part.target, prompt);
        }
        tables.loads.remove_crossing(crossing);
    };
    RequestLease::new(release)
}

/// Takes up a place for one call at a replica.
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
