//! Who holds which layers within a group of engines: [`GroupLayout`].

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Range;

use crate::ids::LayerRange;
use crate::ids::TargetId;
use crate::pipeline::placement::PlacementTarget;

/// With this many holders of a layer, another one is worth nothing.
const ENOUGH_HOLDERS: u32 = 8;

/// Who holds, or was ordered to hold, which layers of a model.
#[derive(Debug)]
pub(super) struct GroupLayout {
    /// The number of holders of each layer.
    holders: Vec<u32>,
    /// Of those, the ones that hold it now and are not being ordered anything.
    settled: Vec<u32>,
    /// What each engine holds or was ordered to hold.
    held: BTreeMap<TargetId, LayerRange>,
    /// What engines hold now that are not being ordered anything.
    settled_at: BTreeMap<TargetId, LayerRange>,
}

impl GroupLayout {
    /// The layout of some engines.
    pub(super) fn new(layers: u32, targets: &[&PlacementTarget]) -> Self {
        let none = vec![0; layers as usize];
        let mut layout = Self {
            holders: none.clone(),
            settled: none,
            held: BTreeMap::new(),
            settled_at: BTreeMap::new(),
        };
        for target in targets {
            let Some(range) = target.range else { continue };
            layout.hold(&target.id, range);
            if !target.busy {
                add(&mut layout.settled, range);
                layout.settled_at.insert(target.id.clone(), range);
            }
        }
        layout
    }

    /// Counts an engine as a holder of layers that it is ordered to hold.
    pub(super) fn hold(&mut self, id: &TargetId, range: LayerRange) {
        add(&mut self.holders, range);
        self.held.insert(id.clone(), range);
    }

    /// Counts an engine as a holder no longer.
    pub(super) fn release(&mut self, id: &TargetId) {
        if let Some(range) = self.held.remove(id) {
            subtract(&mut self.holders, range);
        }
        if let Some(range) = self.settled_at.remove(id) {
            subtract(&mut self.settled, range);
        }
    }

    /// The number of layers that nobody holds or was ordered to hold.
    pub(super) fn missing(&self) -> usize {
        self.holders.iter().filter(|holders| **holders == 0).count()
    }

    /// Whether all layers of an engine have other holders now: one that is still loading them cannot
    /// stand in yet.
    pub(super) fn is_spare(&self, id: &TargetId) -> bool {
        let Some(range) = self.settled_at.get(id) else { return false };
        self.settled[indices(*range)].iter().all(|holders| *holders > 1)
    }

    /// The number of layers that have as few holders as any.
    pub(super) fn thin(&self) -> u32 {
        let least = self.holders.iter().min();
        self.holders.iter().filter(|holders| Some(*holders) == least).count() as u32
    }

    /// The first layers that have as few holders as any, as far as they follow each other.
    pub(super) fn thin_gap(&self) -> Option<LayerRange> {
        let least = self.holders.iter().min()?;
        let first = self.holders.iter().position(|holders| holders == least)?;
        let length = self.holders[first..].iter().take_while(|holders| *holders == least).count();
        Some(LayerRange { first: first as u32, end: (first + length) as u32 })
    }

    /// The window of `length` layers from a layer on, or as near to it as the last layer allows.
    pub(super) fn window_from(&self, first: u32, length: u32) -> Option<LayerRange> {
        let layers = self.holders.len() as u32;
        let length = length.min(layers);
        let first = first.min(layers - length);
        (length > 0).then_some(LayerRange { first, end: first + length })
    }

    /// The window of `length` layers that is missed most.
    pub(super) fn best_window(&self, length: u32) -> Option<LayerRange> {
        let layers = self.holders.len() as u32;
        let length = length.min(layers);
        self.best_of(0..=layers - length, length)
    }

    /// The window that is missed most once an engine has given its layers up.
    pub(super) fn best_window_without(&mut self, id: &TargetId, length: u32) -> Option<LayerRange> {
        self.without(id, |layout| layout.best_window(length))
    }

    /// The window of `length` layers around those that an engine holds that is missed most.
    pub(super) fn best_window_around(
        &mut self,
        id: &TargetId,
        held: LayerRange,
        length: u32,
    ) -> Option<LayerRange> {
        let layers = self.holders.len() as u32;
        let length = length.min(layers);
        let earliest = held.end.saturating_sub(length);
        let latest = held.first.min(layers - length);
        let window = self.without(id, |layout| layout.best_of(earliest..=latest, length));
        window.filter(|window| *window != held)
    }

    /// What `choose` finds while an engine counts as a holder of nothing.
    fn without(
        &mut self,
        id: &TargetId,
        choose: impl FnOnce(&Self) -> Option<LayerRange>,
    ) -> Option<LayerRange> {
        let held = self.held.remove(id)?;
        subtract(&mut self.holders, held);
        let window = choose(self);
        self.hold(id, held);
        window
    }

    /// What is missing within a window, from the first such layer to the last; all of it if nothing is.
    pub(super) fn missing_part(&self, window: LayerRange) -> LayerRange {
        let mut missing = (window.first..window.end).filter(|layer| self.is_missing(*layer));
        let Some(first) = missing.next() else { return window };
        LayerRange { first, end: missing.next_back().unwrap_or(first) + 1 }
    }

    /// An engine's layers and the missing ones next to them, as far as `fit` layers reach.
    pub(super) fn grown(&self, id: &TargetId, fit: u32) -> Option<LayerRange> {
        let held = *self.held.get(id)?;
        let mut range = held;
        while range.count() < fit && self.is_missing(range.end) {
            range.end += 1;
        }
        while range.count() < fit && range.first > 0 && self.is_missing(range.first - 1) {
            range.first -= 1;
        }
        (range != held).then_some(range)
    }

    /// What is left of an engine's layers when those at its ends that have other holders now are taken
    /// off, down to `fit`.
    pub(super) fn trimmed(&self, held: LayerRange, fit: u32) -> LayerRange {
        let shared = |layer: u32| self.settled[layer as usize] > 1;
        let mut range = held;
        while range.count() > fit.max(1) && shared(range.end - 1) {
            range.end -= 1;
        }
        while range.count() > fit.max(1) && shared(range.first) {
            range.first += 1;
        }
        range
    }

    fn best_of(&self, firsts: impl Iterator<Item = u32>, length: u32) -> Option<LayerRange> {
        if length == 0 {
            return None;
        }
        let needed = self.needed_parts();
        let windows = firsts.map(|first| LayerRange { first, end: first + length });
        windows.max_by_key(|range| self.window_rank(*range, &needed))
    }

    /// What a further holder of a window is worth: layers that nobody holds, then engines that could
    /// be lost without a gap, then layers with one holder; the first window of equals is taken while
    /// layers are missing.
    fn window_rank(
        &self,
        range: LayerRange,
        needed: &[LayerRange],
    ) -> (usize, usize, usize, u32, Reverse<u32>) {
        let window = &self.holders[indices(range)];
        let missing = window.iter().filter(|holders| **holders == 0).count();
        let single = window.iter().filter(|holders| **holders == 1).count();
        let within = |part: &&LayerRange| range.first <= part.first && part.end <= range.end;
        let freed = needed.iter().filter(within).count();
        let thin: u32 = window.iter().map(|holders| ENOUGH_HOLDERS.saturating_sub(*holders)).sum();
        (missing, freed, single, thin, Reverse(range.first))
    }

    /// For each engine that cannot be lost without a gap, the span of the layers that only it holds.
    fn needed_parts(&self) -> Vec<LayerRange> {
        let only = |layer: &u32| self.holders[*layer as usize] <= 1;
        let part = |held: &LayerRange| {
            let first = (held.first..held.end).find(only)?;
            let last = (held.first..held.end).rev().find(only)?;
            Some(LayerRange { first, end: last + 1 })
        };
        self.held.values().filter_map(part).collect()
    }

    fn is_missing(&self, layer: u32) -> bool {
        self.holders.get(layer as usize).is_some_and(|holders| *holders == 0)
    }
}

fn add(counts: &mut [u32], range: LayerRange) {
    for count in &mut counts[indices(range)] {
        *count += 1;
    }
}

fn subtract(counts: &mut [u32], range: LayerRange) {
    for count in &mut counts[indices(range)] {
        *count -= 1;
    }
}

fn indices(range: LayerRange) -> Range<usize> {
    range.first as usize..range.end as usize
}
