//! Plans which layers each engine holds: [`plan_placement`].
//!
//! Each availability zone gets its own copy of the model if its engines have enough memory, since
//! chains should stay inside one zone. Layers that no engine of the zone holds are ordered first
//! and on their own, since the load time grows with the number of layers. Second holders come next,
//! so that the zone still holds all layers after the loss of an engine. Engines keep the layers
//! that they hold unless a layer is missing and theirs have other holders, so a new leader
//! continues the plan of its predecessor.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::ids::LayerRange;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::layout::GroupLayout;
use crate::pipeline::model::PipelineModel;
use crate::pipeline::placement_target::PlacementTarget;
use crate::units::TokenCount;

/// Fractions of the desired request capacity, tried in order until all layers fit.
const CAPACITY_FRACTIONS: [f64; 5] = [1.0, 0.6, 0.3, 0.1, 0.0];

/// An order for an engine to hold a range of layers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementOrder {
    /// The engine.
    pub target: TargetId,
    /// The complete range that it should hold. Invariant: it fits into the engine's memory.
    pub range: LayerRange,
}

/// The orders for the engines that hold one copy of the model together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CopyOrders {
    /// The orders, most important first.
    pub orders: Vec<PlacementOrder>,
    /// The number of orders at the start of `orders` that layers without a holder need.
    pub completing: usize,
}

/// Plans orders that move the engines towards holding every layer in every zone, most important
/// first.
pub fn plan_placement(model: &PipelineModel, targets: &[PlacementTarget]) -> Vec<PlacementOrder> {
    plan_copies(model, targets).into_iter().flat_map(|copy| copy.orders).collect()
}

/// Puts the orders of several copies into the sequence in which they are sent. Copies that lack the
/// fewest orders are completed first, one after the other, so that some chain can serve early, and
/// a partly sent copy is continued. Orders that no copy needs to be complete come last.
pub fn sending_order(copies: Vec<CopyOrders>) -> Vec<PlacementOrder> {
    let mut copies = copies;
    copies.sort_by_key(|copy| copy.completing);
    let mut sequence = Vec::new();
    let mut further = Vec::new();
    for mut copy in copies {
        further.extend(copy.orders.split_off(copy.completing));
        sequence.extend(copy.orders);
    }
    sequence.extend(further);
    sequence
}

/// The orders of [`plan_placement`], by copy of the model.
pub fn plan_copies(model: &PipelineModel, targets: &[PlacementTarget]) -> Vec<CopyOrders> {
    let mut zones: BTreeMap<&ZoneId, Vec<&PlacementTarget>> = BTreeMap::new();
    for target in targets {
        zones.entry(&target.zone).or_default().push(target);
    }
    let mut copies = Vec::new();
    let mut small_zones = Vec::new();
    for zone_targets in zones.into_values() {
        match capacity_for_copy(model, &zone_targets) {
            Some(capacity) => {
                copies.push(GroupPlan::new(model, zone_targets, capacity).into_orders())
            }
            None => small_zones.extend(zone_targets),
        }
    }
    // Zones that are too small for their own copy share one.
    let capacity = capacity_for_copy(model, &small_zones).unwrap_or_default();
    copies.push(GroupPlan::new(model, small_zones, capacity).into_orders());
    copies
}

/// The largest request capacity per engine at which the engines together still hold all layers.
fn capacity_for_copy(model: &PipelineModel, targets: &[&PlacementTarget]) -> Option<TokenCount> {
    CAPACITY_FRACTIONS
        .iter()
        .map(|fraction| TokenCount((model.request_capacity.0 as f64 * fraction) as u64))
        .find(|capacity| {
            let max_layers =
                |target: &&PlacementTarget| model.layers_that_fit(target.memory, *capacity);
            targets.iter().map(max_layers).sum::<u32>() >= model.layers
        })
}

/// A plan for a group of engines that together hold a copy of the model.
struct GroupPlan<'a> {
    model: &'a PipelineModel,
    targets: Vec<&'a PlacementTarget>,
    /// The request tokens that each engine should have memory for.
    capacity: TokenCount,
    layout: GroupLayout,
    /// Invariant: at most one order per engine, and none for a busy one.
    orders: Vec<PlacementOrder>,
    /// The engines in `orders`.
    ordered: BTreeSet<&'a TargetId>,
    /// The number of orders after which no layer lacks a holder.
    completing: usize,
}

impl<'a> GroupPlan<'a> {
    fn new(
        model: &'a PipelineModel,
        targets: Vec<&'a PlacementTarget>,
        capacity: TokenCount,
    ) -> Self {
        let layout = GroupLayout::new(model.layers, &targets);
        let orders = Vec::new();
        Self { model, targets, capacity, layout, orders, ordered: BTreeSet::new(), completing: 0 }
    }

    fn into_orders(mut self) -> CopyOrders {
        self.fill_empty();
        self.move_redundant();
        self.extend_into_gaps();
        if self.layout.missing() == 0 {
            self.trim();
            self.offload_excess();
            self.extend_ranges();
        }
        CopyOrders { orders: self.orders, completing: self.completing }
    }

    /// Orders layers onto engines that hold none.
    fn fill_empty(&mut self) {
        let mut empty = self.free_targets(|target| target.range.is_none());
        empty.sort_by_key(|target| (target.step_time_permille, Reverse(target.memory), &target.id));
        let mut empty: VecDeque<_> =
            empty.into_iter().map(|target| (target, self.max_layers(target))).collect();
        while let Some((target, max_layers)) = self.take_next_empty(&mut empty) {
            if let Some(range) = self.layout.best_window(max_layers) {
                self.order(target, self.layout.missing_part(range));
            }
        }
    }

    /// Picks the next empty engine. While every layer has a holder and the remaining empty engines
    /// can complete another copy, engines are ordered onto the first layers with the fewest
    /// holders, since these limit the capacity of the whole zone.
    fn take_next_empty(
        &mut self,
        empty: &mut VecDeque<(&'a PlacementTarget, u32)>,
    ) -> Option<(&'a PlacementTarget, u32)> {
        while self.layout.missing() == 0 {
            let remaining: u32 = empty.iter().map(|(_, max_layers)| max_layers).sum();
            let Some(gap) = self
                .layout
                .least_held_gap()
                .filter(|_| self.layout.least_held_layers() <= remaining)
            else {
                break;
            };
            let index = best_fit(empty, gap.count())?;
            let (target, max_layers) = empty.remove(index)?;
            if let Some(range) = self.layout.window_from(gap.first, max_layers) {
                self.order(target, range);
            }
        }
        empty.pop_front()
    }

    /// The largest number of layers that leaves an engine the desired request capacity.
    fn max_layers(&self, target: &PlacementTarget) -> u32 {
        self.model.layers_that_fit(target.memory, self.capacity)
    }

    /// Moves engines whose layers all have other holders to layers that no engine holds.
    fn move_redundant(&mut self) {
        for target in self.movable_targets() {
            if self.layout.missing() == 0 {
                return;
            }
            if !self.layout.is_redundant(&target.id) {
                continue;
            }
            let max_layers = self.max_layers(target);
            if let Some(range) = self.layout.best_window_without(&target.id, max_layers) {
                self.order(target, self.layout.missing_part(range));
            }
        }
    }

    /// Extends engines into adjacent layers that no engine holds, at the expense of request
    /// capacity if necessary.
    fn extend_into_gaps(&mut self) {
        for target in self.movable_targets() {
            if self.layout.missing() == 0 {
                return;
            }
            let max_layers = self.model.layers_that_fit(target.memory, TokenCount(0));
            if let Some(range) = self.layout.extended(&target.id, max_layers) {
                self.order(target, range);
            }
        }
    }

    /// Removes layers with other holders from engines that hold too many for the desired request
    /// capacity.
    fn trim(&mut self) {
        for target in self.free_targets(|target| target.range.is_some()) {
            let max_layers = self.max_layers(target);
            let Some(held) = target.range.filter(|held| held.count() > max_layers) else {
                continue;
            };
            let range = self.layout.trimmed(held, max_layers);
            if range != held {
                self.order(target, range);
            }
        }
    }

    /// Extends an engine with spare memory into the first or last layers of an adjacent engine that
    /// holds too many. The adjacent engine drops them once the other one has loaded them.
    fn offload_excess(&mut self) {
        for target in self.free_targets(|target| target.range.is_some()) {
            let max_layers = self.max_layers(target);
            let Some(held) = target.range.filter(|held| held.count() > max_layers) else {
                continue;
            };
            let excess = held.count() - max_layers;
            let neighbours = self.free_targets(|other| other.id != target.id);
            let extension = neighbours.into_iter().find_map(|other| {
                let range = other.range?;
                let other_max_layers = self.model.layers_that_fit(other.memory, self.capacity);
                let slack = other_max_layers.saturating_sub(range.count()).min(excess);
                Some((other, extended_into(range, held, slack)?))
            });
            if let Some((other, range)) = extension {
                self.order(other, range);
            }
        }
    }

    /// Extends engines that hold fewer layers than fit beside the model's desired request capacity.
    /// Does nothing while any engine is busy or has an order in this plan. Plans at most
    /// `loads_at_once` orders.
    fn extend_ranges(&mut self) {
        if self.targets.iter().any(|target| target.busy) || !self.orders.is_empty() {
            return;
        }
        let mut loads_left = self.model.loads_at_once;
        for target in self.free_targets(|target| target.range.is_some()) {
            let max_layers = self.model.layers_that_fit(target.memory, self.model.request_capacity);
            let Some(held) = target.range.filter(|held| held.count() < max_layers) else {
                continue;
            };
            let Some(range) = self.layout.best_window_around(&target.id, held, max_layers) else {
                continue;
            };
            self.order(target, range);
            loads_left -= 1;
            if loads_left == 0 {
                return;
            }
        }
    }

    fn order(&mut self, target: &'a PlacementTarget, range: LayerRange) {
        let completes = self.layout.missing() > 0;
        self.layout.release(&target.id);
        self.layout.hold(&target.id, range);
        self.orders.push(PlacementOrder { target: target.id.clone(), range });
        self.ordered.insert(&target.id);
        if completes {
            self.completing = self.orders.len();
        }
    }

    /// Engines that hold layers and can take an order, least loaded first, since an engine drops
    /// a layer only after the requests that use it have ended.
    fn movable_targets(&self) -> Vec<&'a PlacementTarget> {
        let mut movable = self.free_targets(|target| target.range.is_some());
        movable.sort_by_key(|target| (target.load, Reverse(target.step_time_permille), &target.id));
        movable
    }

    /// The engines that satisfy `keep` and neither are busy nor have an order in this plan.
    fn free_targets(&self, keep: impl Fn(&PlacementTarget) -> bool) -> Vec<&'a PlacementTarget> {
        let ordered = |target: &PlacementTarget| self.ordered.contains(&target.id);
        let free = |target: &PlacementTarget| !target.busy && !ordered(target) && keep(target);
        self.targets.iter().copied().filter(|target| free(target)).collect()
    }
}

/// The index of the engine that fits a gap best: the largest one that does not exceed it, or else
/// the smallest.
fn best_fit(empty: &VecDeque<(&PlacementTarget, u32)>, gap: u32) -> Option<usize> {
    let within =
        empty.iter().enumerate().filter(|(_, (_, max_layers))| (1..=gap).contains(max_layers));
    let largest = within.max_by_key(|(index, (_, max_layers))| (*max_layers, Reverse(*index)));
    let beyond = empty.iter().enumerate().filter(|(_, (_, max_layers))| *max_layers > gap);
    let smallest = || beyond.min_by_key(|(index, (_, max_layers))| (*max_layers, *index));
    largest.or_else(smallest).map(|(index, _)| index)
}

/// Extends a range so that it covers up to `slack` layers at the start or end of an adjacent or
/// overlapping range.
fn extended_into(range: LayerRange, into: LayerRange, slack: u32) -> Option<LayerRange> {
    if slack == 0 {
        return None;
    }
    if range.end >= into.first && range.first < into.first && range.end < into.end {
        let end = (into.first + slack).min(into.end).max(range.end);
        return (end > range.end).then_some(LayerRange { first: range.first, end });
    }
    if range.first <= into.end && range.end > into.end && range.first > into.first {
        let first = into.end.saturating_sub(slack).max(into.first).min(range.first);
        return (first < range.first).then_some(LayerRange { first, end: range.end });
    }
    None
}
