//! Tracks which engines of a group hold which layers: [`GroupLayout`].

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Range;

use crate::ids::LayerRange;
use crate::ids::TargetId;
use crate::pipeline::placement_target::PlacementTarget;

/// Number of holders of a layer beyond which another one adds nothing.
const MAX_USEFUL_HOLDERS: u32 = 8;

/// The layers that engines of a group hold or were ordered to hold.
#[derive(Debug)]
pub(super) struct GroupLayout {
    /// The number of holders of each layer, including engines that were only ordered to hold it.
    holders: Vec<u32>,
    /// The holders of each layer that have loaded it and have no order in progress.
    settled: Vec<u32>,
    /// The range that each engine holds or was ordered to hold.
    held: BTreeMap<TargetId, LayerRange>,
    /// The range of each engine without an order in progress.
    settled_ranges: BTreeMap<TargetId, LayerRange>,
}

impl GroupLayout {
    /// Builds the layout from the current ranges of the engines.
    pub(super) fn new(layers: u32, targets: &[&PlacementTarget]) -> Self {
        let none = vec![0; layers as usize];
        let mut layout = Self {
            holders: none.clone(),
            settled: none,
            held: BTreeMap::new(),
            settled_ranges: BTreeMap::new(),
        };
        for target in targets {
            let Some(range) = target.range else { continue };
            layout.hold(&target.id, range);
            if !target.busy {
                add(&mut layout.settled, range);
                layout.settled_ranges.insert(target.id.clone(), range);
            }
        }
        layout
    }

    /// Adds an engine as a holder of a range.
    pub(super) fn hold(&mut self, id: &TargetId, range: LayerRange) {
        add(&mut self.holders, range);
        self.held.insert(id.clone(), range);
    }

    /// Removes an engine as a holder.
    pub(super) fn release(&mut self, id: &TargetId) {
        if let Some(range) = self.held.remove(id) {
            subtract(&mut self.holders, range);
        }
        if let Some(range) = self.settled_ranges.remove(id) {
            subtract(&mut self.settled, range);
        }
    }

    /// The number of layers that no engine holds or was ordered to hold.
    pub(super) fn missing(&self) -> usize {
        self.holders.iter().filter(|holders| **holders == 0).count()
    }

    /// Whether all layers of an engine have other holders that have loaded them. An engine that is
    /// still loading cannot serve as a replacement.
    pub(super) fn is_redundant(&self, id: &TargetId) -> bool {
        let Some(range) = self.settled_ranges.get(id) else { return false };
        self.settled[indices(*range)].iter().all(|holders| *holders > 1)
    }

    /// The number of layers with the smallest number of holders.
    pub(super) fn least_held_layers(&self) -> u32 {
        let least = self.holders.iter().min();
        self.holders.iter().filter(|holders| Some(*holders) == least).count() as u32
    }

    /// The first contiguous run of layers with the smallest number of holders.
    pub(super) fn least_held_gap(&self) -> Option<LayerRange> {
        let least = self.holders.iter().min()?;
        let first = self.holders.iter().position(|holders| holders == least)?;
        let length = self.holders[first..].iter().take_while(|holders| *holders == least).count();
        Some(LayerRange { first: first as u32, end: (first + length) as u32 })
    }

    /// The window of `length` layers that starts at `first`, or earlier if it would exceed the last
    /// layer.
    pub(super) fn window_from(&self, first: u32, length: u32) -> Option<LayerRange> {
        let layers = self.holders.len() as u32;
        let length = length.min(layers);
        let first = first.min(layers - length);
        (length > 0).then_some(LayerRange { first, end: first + length })
    }

    /// The window of `length` layers that needs a holder most.
    pub(super) fn best_window(&self, length: u32) -> Option<LayerRange> {
        let layers = self.holders.len() as u32;
        let length = length.min(layers);
        self.best_of(0..=layers - length, length)
    }

    /// The window that needs a holder most if the engine dropped its layers.
    pub(super) fn best_window_without(&mut self, id: &TargetId, length: u32) -> Option<LayerRange> {
        self.with_released(id, |layout| layout.best_window(length))
    }

    /// The window of `length` layers that needs a holder most among those that contain `held`.
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
        let window = self.with_released(id, |layout| layout.best_of(earliest..=latest, length));
        window.filter(|window| *window != held)
    }

    /// Runs `choose` on the layout without the engine's layers.
    fn with_released(
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

    /// The span from the first to the last missing layer of a window, or the whole window if none
    /// is missing.
    pub(super) fn missing_part(&self, window: LayerRange) -> LayerRange {
        let mut missing = (window.first..window.end).filter(|layer| self.is_missing(*layer));
        let Some(first) = missing.next() else { return window };
        LayerRange { first, end: missing.next_back().unwrap_or(first) + 1 }
    }

    /// An engine's range extended into adjacent missing layers, up to `max_layers` layers. Returns
    /// `None` if no adjacent layer is missing.
    pub(super) fn extended(&self, id: &TargetId, max_layers: u32) -> Option<LayerRange> {
        let held = *self.held.get(id)?;
        let mut range = held;
        while range.count() < max_layers && self.is_missing(range.end) {
            range.end += 1;
        }
        while range.count() < max_layers && range.first > 0 && self.is_missing(range.first - 1) {
            range.first -= 1;
        }
        (range != held).then_some(range)
    }

    /// An engine's range without the layers at its ends that have other settled holders, but at
    /// least `max_layers` layers.
    pub(super) fn trimmed(&self, held: LayerRange, max_layers: u32) -> LayerRange {
        let shared = |layer: u32| self.settled[layer as usize] > 1;
        let mut range = held;
        while range.count() > max_layers.max(1) && shared(range.end - 1) {
            range.end -= 1;
        }
        while range.count() > max_layers.max(1) && shared(range.first) {
            range.first += 1;
        }
        range
    }

    fn best_of(&self, firsts: impl Iterator<Item = u32>, length: u32) -> Option<LayerRange> {
        if length == 0 {
            return None;
        }
        let indispensable = self.indispensable_spans();
        let windows = firsts.map(|first| LayerRange { first, end: first + length });
        windows.max_by_key(|range| self.window_rank(*range, &indispensable))
    }

    /// The value of another holder for a window, most significant first: missing layers, engines
    /// that would become dispensable, layers with one holder, and the shortfall of holders. Ties go
    /// to the first window.
    fn window_rank(
        &self,
        range: LayerRange,
        indispensable: &[LayerRange],
    ) -> (usize, usize, usize, u32, Reverse<u32>) {
        let window = &self.holders[indices(range)];
        let missing = window.iter().filter(|holders| **holders == 0).count();
        let single = window.iter().filter(|holders| **holders == 1).count();
        let within = |span: &&LayerRange| range.first <= span.first && span.end <= range.end;
        let covered_indispensable = indispensable.iter().filter(within).count();
        let shortfall: u32 =
            window.iter().map(|holders| MAX_USEFUL_HOLDERS.saturating_sub(*holders)).sum();
        (missing, covered_indispensable, single, shortfall, Reverse(range.first))
    }

    /// For each engine whose loss would leave a gap, the span of the layers that only it holds.
    fn indispensable_spans(&self) -> Vec<LayerRange> {
        let only = |layer: &u32| self.holders[*layer as usize] <= 1;
        let span = |held: &LayerRange| {
            let first = (held.first..held.end).find(only)?;
            let last = (held.first..held.end).rev().find(only)?;
            Some(LayerRange { first, end: last + 1 })
        };
        self.held.values().filter_map(span).collect()
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
