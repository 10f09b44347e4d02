//! Estimates which targets have a prefix of a prompt in their cache: [`PrefixIndex`].
//!
//! Engines report the events of their caches late and with gaps. After a gap, the older entries of
//! the engine are unconfirmed, but not removed: they count half until an event or an answer
//! confirms them. Prefixes that this instance sends are entered at once, before the event arrives.
//! The index is bounded across all targets, and the oldest entries are dropped first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use smol_str::SmolStr;

use crate::ids::TargetId;

/// The largest number of entries across all targets.
const MAX_ENTRIES: usize = 65_536;
/// The weight of an unconfirmed entry, in percent.
const UNCONFIRMED_PERCENT: u32 = 50;
/// The number of prefixes of a prompt that are looked up, longest first.
const MAX_LOOKUPS: usize = 32;

/// An event of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixEvent {
    /// The sequence number, which increases by one per event.
    pub number: u64,
    /// The digest of the prefix.
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// The prefixes that are estimated to be in the engines' caches.
///
/// Invariants: `holders` is the inverse of the rows' entries; `insertion_order` holds each entry at
/// least once.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    rows: BTreeMap<TargetId, PrefixRow>,
    holders: BTreeMap<u64, BTreeSet<TargetId>>,
    insertion_order: VecDeque<(TargetId, u64)>,
    entries: usize,
}

/// The estimated cache of one engine.
#[derive(Clone, Debug, Default)]
struct PrefixRow {
    /// The engine's run. A new run starts with an empty cache.
    incarnation: SmolStr,
    /// The sequence number of the next event; absent before the first.
    next: Option<u64>,
    /// The number of gaps so far.
    gaps: u64,
    /// The entries by prefix.
    entries: BTreeMap<u64, PrefixMark>,
    /// The prefixes by the number of their last use.
    by_last_use: BTreeMap<u64, u64>,
    /// The number of uses so far.
    use_count: u64,
}

/// When an entry was last confirmed, by the engine's counters.
#[derive(Clone, Copy, Debug, Default)]
struct PrefixMark {
    /// The number of gaps before the confirmation.
    gaps: u64,
    /// The number of that use.
    last_use: u64,
}

impl PrefixIndex {
    /// Applies events of an engine's run, in order.
    pub fn note_events(
        &mut self,
        target: &TargetId,
        incarnation: &SmolStr,
        events: &[PrefixEvent],
    ) {
        let known = self.rows.get(target).map(|row| &row.incarnation);
        if known.is_some_and(|known| known != incarnation && !known.is_empty()) {
            self.forget(target);
        }
        self.rows.entry(target.clone()).or_default().incarnation = incarnation.clone();
        for event in events {
            self.note_event(target, *event);
        }
    }

    /// Records that a prompt was sent to a target, which will then hold its prefixes.
    pub fn note_sent(&mut self, target: &TargetId, prefixes: &[u64]) {
        for prefix in longest_first(prefixes) {
            self.insert(target, prefix);
        }
    }

    /// Records how many of a prompt's prefixes the target found in its cache. A prefix that it
    /// missed was evicted, and so was every entry with an earlier last use.
    pub fn note_found(&mut self, target: &TargetId, prefixes: &[u64], found: usize) {
        let Some(row) = self.rows.get(target) else { return };
        let missed = prefixes.iter().skip(found).filter_map(|prefix| row.entries.get(prefix));
        let Some(last_use) = missed.map(|mark| mark.last_use).max() else { return };
        let evicted: Vec<u64> =
            row.by_last_use.range(..=last_use).map(|(_, prefix)| *prefix).collect();
        for prefix in evicted {
            self.remove(target, prefix);
        }
    }

    /// Removes a target and its entries.
    pub fn forget(&mut self, target: &TargetId) {
        let Some(row) = self.rows.get(target) else { return };
        let prefixes: Vec<u64> = row.entries.keys().copied().collect();
        for prefix in prefixes {
            self.remove(target, prefix);
        }
        self.rows.remove(target);
    }

    /// The part of a prompt that is likely in a target's cache, in percent.
    pub fn cached_percent(&self, target: &TargetId, prefixes: &[u64]) -> u32 {
        let Some(row) = self.rows.get(target) else { return 0 };
        let lengths = (1..=prefixes.len()).rev().take(MAX_LOOKUPS);
        let mut found = lengths.filter_map(|length| {
            let mark = row.entries.get(&prefixes[length - 1])?;
            let confidence = if mark.gaps == row.gaps { 100 } else { UNCONFIRMED_PERCENT };
            Some(confidence * length as u32 / prefixes.len() as u32)
        });
        found.next().unwrap_or(0)
    }

    /// Targets that may hold a prefix of a prompt, those with the longest prefix first.
    pub fn holders(&self, prefixes: &[u64]) -> impl Iterator<Item = &TargetId> {
        longest_first(prefixes).filter_map(|prefix| self.holders.get(&prefix)).flatten()
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries == 0
    }

    fn note_event(&mut self, target: &TargetId, event: PrefixEvent) {
        let Some(row) = self.rows.get_mut(target) else { return };
        if row.next.is_some_and(|next| event.number < next) {
            return;
        }
        if row.next.is_some_and(|next| event.number > next) {
            row.gaps += 1;
        }
        row.next = Some(event.number + 1);
        if event.stored {
            self.insert(target, event.prefix);
        } else {
            self.remove(target, event.prefix);
        }
    }

    fn insert(&mut self, target: &TargetId, prefix: u64) {
        let row = self.rows.entry(target.clone()).or_default();
        row.use_count += 1;
        let mark = PrefixMark { gaps: row.gaps, last_use: row.use_count };
        row.by_last_use.insert(mark.last_use, prefix);
        if let Some(old) = row.entries.insert(prefix, mark) {
            row.by_last_use.remove(&old.last_use);
            return;
        }
        self.holders.entry(prefix).or_default().insert(target.clone());
        self.insertion_order.push_back((target.clone(), prefix));
        self.entries += 1;
        // Removed entries stay in `insertion_order`, so its length is bounded as well.
        while self.entries > MAX_ENTRIES || self.insertion_order.len() > MAX_ENTRIES * 2 {
            let Some((target, prefix)) = self.insertion_order.pop_front() else { break };
            self.remove(&target, prefix);
        }
    }

    fn remove(&mut self, target: &TargetId, prefix: u64) {
        let Some(row) = self.rows.get_mut(target) else { return };
        let Some(mark) = row.entries.remove(&prefix) else { return };
        row.by_last_use.remove(&mark.last_use);
        self.entries -= 1;
        let Some(holders) = self.holders.get_mut(&prefix) else { return };
        holders.remove(target);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }
}

fn longest_first(prefixes: &[u64]) -> impl Iterator<Item = u64> {
    prefixes.iter().rev().take(MAX_LOOKUPS).copied()
}
