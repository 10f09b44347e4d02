//! Rows that are forgotten at a time of the platform's clock: [`ExpiryIndex`].

use std::collections::BTreeSet;

use crate::units::WallMillis;

/// Keys ordered by the time at which their rows are forgotten, so that forgetting costs no scan.
///
/// Invariant: holds one pair for each row that has an end, with the end that the row names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ExpiryIndex<K: Ord> {
    /// The ends and the keys of the rows that have them.
    ends: BTreeSet<(WallMillis, K)>,
}

impl<K: Ord> Default for ExpiryIndex<K> {
    fn default() -> Self {
        Self { ends: BTreeSet::new() }
    }
}

impl<K: Ord + Clone> ExpiryIndex<K> {
    /// The row of `key` ends at `until`.
    pub(crate) fn insert(&mut self, until: WallMillis, key: K) {
        self.ends.insert((until, key));
    }

    /// The row of `key` no longer ends at `until`.
    pub(crate) fn remove(&mut self, until: WallMillis, key: &K) {
        self.ends.remove(&(until, key.clone()));
    }

    /// Takes out one key whose row has ended by `time`.
    pub(crate) fn pop_ended(&mut self, time: WallMillis) -> Option<K> {
        if self.ends.first()?.0 > time {
            return None;
        }
        self.ends.pop_first().map(|(_, key)| key)
    }
}
