//! Whether this instance can know what is in force: [`is_isolated`].

use std::time::Duration;

use crate::state::EntryState;

/// How long an instance that has peers may hear neither the log nor any of them.
///
/// Invariant: well under the time within which a configuration is in force everywhere.
pub const ISOLATION_BOUND: Duration = Duration::from_secs(4);

/// Whether the instance hears neither the log nor any peer, although it has peers.
///
/// Such an instance cannot know that a newer configuration is in force elsewhere. One that hears a
/// peer goes on while the log is down for all, and one that never had a peer serves alone.
pub fn is_isolated(state: &EntryState) -> bool {
    let now = state.now();
    let log = state.folds.tables().configuration_read_at();
    let tables = state.tables();
    let staying = tables.peers.rows.values().any(|row| !row.leaving());
    if !staying && tables.peers.unidentified_addresses.is_empty() {
        return false;
    }
    let heard = log.max(tables.peers.last_heard()).unwrap_or_default();
    now.since(heard) > ISOLATION_BOUND
}
