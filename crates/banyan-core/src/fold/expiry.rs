//! Index of rows that expire at a time of the platform's clock: [`ExpiryIndex`].

use std::collections::BTreeSet;

use crate::units::WallMillis;

/// Keys ordered by the expiry time of their rows, so that removing expired rows needs no scan.
///
/// Invariant: holds one pair for each row that expires, with the expiry time of that row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ExpiryIndex<K: Ord> {
    /// Expiry time and key of each row that expires.
    expiries: BTreeSet<(WallMillis, K)>,
}

impl<K: Ord> Default for ExpiryIndex<K> {
    fn default() -> Self {
        Self { expiries: BTreeSet::new() }
    }
}

impl<K: Ord + Clone> ExpiryIndex<K> {
    /// Records that the row of `key` expires at `until`.
    pub(crate) fn insert(&mut self, until: WallMillis, key: K) {
        self.expiries.insert((until, key));
    }

    /// Removes the expiry time `until` of the row of `key`.
    pub(crate) fn remove(&mut self, until: WallMillis, key: &K) {
        self.expiries.remove(&(until, key.clone()));
    }

    /// Removes and returns one key whose row has expired by `time`.
    pub(crate) fn pop_expired(&mut self, time: WallMillis) -> Option<K> {
        if self.expiries.first()?.0 > time {
            return None;
        }
        self.expiries.pop_first().map(|(_, key)| key)
    }
}
