//! The prefix cache with its events: [`PrefixCache`].

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use banyan_wire::engine::CacheEvent;
use banyan_wire::engine::PREFIX_TOKENS;

/// The most events that are kept for readers.
const EVENT_LIMIT: usize = 65_536;

/// Cached prefixes, the least recently used ones evicted first.
///
/// Invariant: `by_prefix` and `by_use` hold the same prefixes, at most `limit` of them.
#[derive(Debug)]
pub(super) struct PrefixCache {
    by_prefix: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    limit: usize,
    events: VecDeque<(Instant, CacheEvent)>,
    next_event: u64,
    lag: Duration,
    gaps: u64,
}

impl PrefixCache {
    /// An empty cache for so many tokens.
    pub(super) fn new(limit_tokens: u64, lag: Duration, gaps: u64) -> Self {
        Self {
            by_prefix: BTreeMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            limit: (limit_tokens / u64::from(PREFIX_TOKENS)) as usize,
            events: VecDeque::new(),
            next_event: 0,
            lag,
            gaps,
        }
    }

    /// Of so many events one is lost; zero loses none.
    pub(super) fn set_gaps(&mut self, every: u64) {
        self.gaps = every;
    }

    /// Forgets all prefixes and events, as a new run of the engine does.
    pub(super) fn clear(&mut self) {
        self.by_prefix.clear();
        self.by_use.clear();
        self.events.clear();
        self.next_event = 0;
    }

    /// Tokens in use.
    pub(super) fn used_tokens(&self) -> u64 {
        self.by_prefix.len() as u64 * u64::from(PREFIX_TOKENS)
    }

    /// How many prompt tokens of these growing prefixes are cached.
    pub(super) fn cached_tokens(&self, prefixes: &[u64], tokens: u32) -> u32 {
        let hits = prefixes.iter().take_while(|prefix| self.by_prefix.contains_key(prefix));
        (hits.count() as u32).saturating_mul(PREFIX_TOKENS).min(tokens)
    }

    /// Stores growing prefixes. The shortest counts as used last, so that it is evicted last.
    pub(super) fn store(&mut self, prefixes: &[u64]) {
        let kept = &prefixes[..prefixes.len().min(self.limit)];
        for prefix in kept.iter().rev() {
            self.touch(*prefix);
        }
        while self.by_prefix.len() > self.limit {
            self.evict_oldest();
        }
    }

    /// Events that are published by now, from a number on.
    pub(super) fn events_from(&self, from: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        let published = self.events.iter().take_while(|(at, _)| *at + self.lag <= now);
        let events = published.map(|(_, event)| event);
        events
            .filter(|event| event.number >= from)
            .filter(|event| self.gaps == 0 || event.number % self.gaps != self.gaps - 1)
            .cloned()
            .collect()
    }

    fn touch(&mut self, prefix: u64) {
        self.uses += 1;
        match self.by_prefix.insert(prefix, self.uses) {
            Some(before) => {
                self.by_use.remove(&before);
            }
            None => self.record(prefix, true),
        }
        self.by_use.insert(self.uses, prefix);
    }

    fn evict_oldest(&mut self) {
        let Some((_, prefix)) = self.by_use.pop_first() else { return };
        self.by_prefix.remove(&prefix);
        self.record(prefix, false);
    }

    fn record(&mut self, prefix: u64, stored: bool) {
        let event = CacheEvent { number: self.next_event, prefix, stored };
        self.next_event += 1;
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}
