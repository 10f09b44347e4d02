//! Which targets are likely to have a prompt's beginning in their cache: [`PrefixIndex`].
//!
//! Engines tell of their cache late and with gaps. A gap makes what was known of the engine
//! doubtful, not wrong: doubtful entries count half until an event or an answer confirms them. What
//! this instance sent itself is entered at once, ahead of the event. The index is bounded over all
//! targets; the oldest entries go first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use smol_str::SmolStr;

use crate::ids::TargetId;

/// The entries that are kept over all targets.
const ENTRY_LIMIT: usize = 65_536;
/// What a doubtful entry counts, in percent.
const DOUBTFUL_PERCENT: u32 = 50;
/// The growing prefixes of a prompt that are looked up, longest first.
const LOOKUP_LIMIT: usize = 32;

/// An event of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixEvent {
    /// Counts up by one an event.
    pub number: u64,
    /// The digest of the prefix.
    pub prefix: u64,
    /// Whether it was stored; otherwise it was evicted.
    pub stored: bool,
}

/// The prefixes that engines are thought to hold.
///
/// Invariants: `holders` is the inverse of the rows' entries; `ages` holds each entry once at least.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    rows: BTreeMap<TargetId, PrefixRow>,
    holders: BTreeMap<u64, BTreeSet<TargetId>>,
    ages: VecDeque<(TargetId, u64)>,
    entries: usize,
}

/// What one engine is thought to hold.
#[derive(Clone, Debug, Default)]
struct PrefixRow {
    /// The engine's run; a new one has an empty cache.
    incarnation: SmolStr,
    /// The number of the event that comes next, once one came.
    next: Option<u64>,
    /// Counts the gaps.
    gaps: u64,
    /// The entries.
    entries: BTreeMap<u64, PrefixMark>,
    /// The entries by the turn of their last use.
    turns: BTreeMap<u64, u64>,
    /// Counts the uses.
    used: u64,
}

/// When an entry was last confirmed.
#[derive(Clone, Copy, Debug, Default)]
struct PrefixMark {
    /// The number of gaps before that.
    gaps: u64,
    /// The turn of that use.
    turn: u64,
}

impl PrefixIndex {
    /// Takes in events of an engine's run, in order.
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

    /// Notes that a prompt was sent to a target, which will hold its prefixes.
    pub fn note_sent(&mut self, target: &TargetId, prefixes: &[u64]) {
        for prefix in longest_first(prefixes) {
            self.insert(target, prefix);
        }
    }

    /// Notes how many of a prompt's prefixes a target really had. One that was missed was evicted,
    /// and so was everything that was used before it.
    pub fn note_found(&mut self, target: &TargetId, prefixes: &[u64], found: usize) {
        let Some(row) = self.rows.get(target) else { return };
        let missed = prefixes.iter().skip(found).filter_map(|prefix| row.entries.get(prefix));
        let Some(turn) = missed.map(|mark| mark.turn).max() else { return };
        let evicted: Vec<u64> = row.turns.range(..=turn).map(|(_, prefix)| *prefix).collect();
        for prefix in evicted {
            self.remove(target, prefix);
        }
    }

    /// Forgets a target.
    pub fn forget(&mut self, target: &TargetId) {
        let Some(row) = self.rows.get(target) else { return };
        let prefixes: Vec<u64> = row.entries.keys().copied().collect();
        for prefix in prefixes {
            self.remove(target, prefix);
        }
        self.rows.remove(target);
    }

    /// The part of a prompt that a target is likely to hold, in percent.
    pub fn cached_percent(&self, target: &TargetId, prefixes: &[u64]) -> u32 {
        let Some(row) = self.rows.get(target) else { return 0 };
        let lengths = (1..=prefixes.len()).rev().take(LOOKUP_LIMIT);
        let mut found = lengths.filter_map(|length| {
            let confirmed = row.entries.get(&prefixes[length - 1])?;
            let sure = if confirmed.gaps == row.gaps { 100 } else { DOUBTFUL_PERCENT };
            Some(sure * length as u32 / prefixes.len() as u32)
        });
        found.next().unwrap_or(0)
    }

    /// Targets that may hold the longest known prefix of a prompt.
    pub fn holders(&self, prefixes: &[u64]) -> impl Iterator<Item = &TargetId> {
        longest_first(prefixes).filter_map(|prefix| self.holders.get(&prefix)).flatten()
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries
    }

    /// Whether nothing is known.
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
        row.used += 1;
        let mark = PrefixMark { gaps: row.gaps, turn: row.used };
        row.turns.insert(mark.turn, prefix);
        if let Some(old) = row.entries.insert(prefix, mark) {
            row.turns.remove(&old.turn);
            return;
        }
        self.holders.entry(prefix).or_default().insert(target.clone());
        self.ages.push_back((target.clone(), prefix));
        self.entries += 1;
        // Removed entries leave their ages behind, so the ages are bounded as well.
        while self.entries > ENTRY_LIMIT || self.ages.len() > ENTRY_LIMIT * 2 {
            let Some((target, prefix)) = self.ages.pop_front() else { break };
            self.remove(&target, prefix);
        }
    }

    fn remove(&mut self, target: &TargetId, prefix: u64) {
        let Some(row) = self.rows.get_mut(target) else { return };
        let Some(mark) = row.entries.remove(&prefix) else { return };
        row.turns.remove(&mark.turn);
        self.entries -= 1;
        let Some(holders) = self.holders.get_mut(&prefix) else { return };
        holders.remove(target);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }
}

fn longest_first(prefixes: &[u64]) -> impl Iterator<Item = u64> {
    prefixes.iter().rev().take(LOOKUP_LIMIT).copied()
}
