//! Whether this instance can know which configuration is in force: [`is_isolated`].

use std::time::Duration;

use crate::state::EntryState;

/// How long an instance that has peers may reach neither the log nor any peer.
///
/// Invariant: well under the time within which a configuration is in force everywhere.
pub const ISOLATION_BOUND: Duration = Duration::from_secs(4);

/// Whether the instance reaches neither the log nor any peer, although it has peers.
///
/// Such an instance cannot know that a newer configuration is in force elsewhere. An instance that
/// reaches a peer continues to serve while the log is down for all, and one that never had a peer
/// serves alone.
pub fn is_isolated(state: &EntryState) -> bool {
    let now = state.now();
    let log_read_at = state.folds.tables().configuration_read_at();
    let tables = state.tables();
    let has_staying_peer = tables.peers.rows.values().any(|row| !row.leaving());
    if !has_staying_peer && tables.peers.unidentified_addresses.is_empty() {
        return false;
    }
    let last_contact = log_read_at.max(tables.peers.last_heard()).unwrap_or_default();
    now.since(last_contact) > ISOLATION_BOUND
}
