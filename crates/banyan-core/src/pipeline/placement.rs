//! Which layers each engine should hold: [`plan_placement`].
//!
//! Each availability zone gets a copy of the model of its own where its engines have the memory, since
//! chains should not leave a zone. Layers that no engine of the zone holds come first, then second
//! holders, so that the loss of an engine leaves the zone's copy whole. Engines that hold layers keep
//! them, unless a layer is missing and theirs have other holders: a new leader goes on with what the
//! one before it began.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::ids::LayerRange;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::model::PipelineModel;
use crate::units::ByteCount;
use crate::units::TokenCount;

/// Parts of the wanted room for requests, tried in order until the layers fit.
const ROOM_STEPS: [f64; 5] = [1.0, 0.6, 0.3, 0.1, 0.0];

/// An engine that layers can be ordered onto.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementTarget {
    /// The engine.
    pub id: TargetId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its memory.
    pub memory: ByteCount,
    /// How slow its steps are, in thousandths of the model's step time.
    pub slowness: u64,
    /// The layers that it holds or has been ordered to hold.
    pub range: Option<LayerRange>,
    /// What requests take up there: tokens times layers.
    pub load: u64,
    /// Whether an order is under way, so that it must not get another one.
    pub busy: bool,
}

/// Layers that an engine should hold from now on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementOrder {
    /// The engine.
    pub target: TargetId,
    /// All layers that it should hold. Invariant: they fit into its memory.
    pub range: LayerRange,
}

/// The orders that bring the engines closer to holding every layer in every zone, best first.
pub fn plan_placement(model: &PipelineModel, targets: &[PlacementTarget]) -> Vec<PlacementOrder> {
    let mut zones: BTreeMap<&ZoneId, Vec<&PlacementTarget>> = BTreeMap::new();
    for target in targets {
        zones.entry(&target.zone).or_default().push(target);
    }
    let mut orders = Vec::new();
    let mut left_over = Vec::new();
    for of_zone in zones.into_values() {
        match room_for_copy(model, &of_zone) {
            Some(room) => orders.extend(plan_group(model, &of_zone, room)),
            None => left_over.extend(of_zone),
        }
    }
    // Zones that are too small for a copy of their own make one together.
    let room = room_for_copy(model, &left_over).unwrap_or_default();
    orders.extend(plan_group(model, &left_over, room));
    orders
}

/// The greatest room for requests with which the engines hold all layers together.
fn room_for_copy(model: &PipelineModel, targets: &[&PlacementTarget]) -> Option<TokenCount> {
    ROOM_STEPS.iter().map(|part| TokenCount((model.request_room.0 as f64 * part) as u64)).find(
        |room| {
            let fit = |target: &&PlacementTarget| model.layers_that_fit(target.memory, *room);
            targets.iter().map(fit).sum::<u32>() >= model.layers
        },
    )
}

fn plan_group(
    model: &PipelineModel,
    targets: &[&PlacementTarget],
    room: TokenCount,
) -> Vec<PlacementOrder> {
    let mut layout = GroupLayout::new(model, targets);
    let mut orders = Vec::new();
    let mut empty: Vec<&PlacementTarget> =
        targets.iter().copied().filter(|target| target.range.is_none() && !target.busy).collect();
    empty.sort_by_key(|target| (target.slowness, Reverse(target.memory), &target.id));
    for target in empty {
        let fit = model.layers_that_fit(target.memory, room);
        if let Some(range) = layout.best_window(fit) {
            layout.hold(&target.id, range);
            orders.push(PlacementOrder { target: target.id.clone(), range });
        }
    }
    orders.extend(fill_holes(model, targets, room, &mut layout));
    if layout.missing() == 0 {
        orders.extend(trim(model, targets, room, &mut layout, &orders));
        orders.extend(relieve(model, targets, room, &mut layout, &orders));
    }
    orders
}

/// Lets a neighbour with room hold the first or last layers of an engine that holds too many, which
/// gives them up once the neighbour has them.
fn relieve(
    model: &PipelineModel,
    targets: &[&PlacementTarget],
    room: TokenCount,
    layout: &mut GroupLayout,
    ordered: &[PlacementOrder],
) -> Vec<PlacementOrder> {
    let mut orders: Vec<PlacementOrder> = Vec::new();
    let fit = |target: &PlacementTarget| model.layers_that_fit(target.memory, room);
    let tight = targets.iter().filter(|target| !target.busy);
    for target in tight {
        let Some(held) = target.range.filter(|held| held.count() > fit(target)) else { continue };
        if ordered.iter().any(|order| order.target == target.id) {
            continue;
        }
        let excess = held.count() - fit(target);
        let helper = targets.iter().find_map(|other| {
            let taken = other.busy
                || other.id == target.id
                || ordered.iter().chain(&orders).any(|order| order.target == other.id);
            let range = other.range.filter(|_| !taken)?;
            let slack = fit(other).saturating_sub(range.count()).min(excess);
            let grown = grown_into(range, held, slack)?;
            Some(PlacementOrder { target: other.id.clone(), range: grown })
        });
        if let Some(order) = helper {
            layout.release(&order.target);
            layout.hold(&order.target, order.range);
            orders.push(order);
        }
    }
    orders
}

/// A range that has grown by up to `slack` layers into the end of another one that it touches.
fn grown_into(range: LayerRange, into: LayerRange, slack: u32) -> Option<LayerRange> {
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

/// Takes layers that have other holders off engines that hold more than leaves room for requests.
fn trim(
    model: &PipelineModel,
    targets: &[&PlacementTarget],
    room: TokenCount,
    layout: &mut GroupLayout,
    ordered: &[PlacementOrder],
) -> Vec<PlacementOrder> {
    let mut orders = Vec::new();
    for target in targets {
        let fit = model.layers_that_fit(target.memory, room);
        let taken = target.busy || ordered.iter().any(|order| order.target == target.id);
        let Some(held) = target.range.filter(|held| held.count() > fit && !taken) else { continue };
        let range = layout.trimmed(held, fit);
        if range != held {
            layout.release(&target.id);
            layout.hold(&target.id, range);
            orders.push(PlacementOrder { target: target.id.clone(), range });
        }
    }
    orders
}

/// Moves engines whose layers all have other holders to layers that nobody holds, then lets
/// neighbours of what is still missing hold more.
fn fill_holes(
    model: &PipelineModel,
    targets: &[&PlacementTarget],
    room: TokenCount,
    layout: &mut GroupLayout,
) -> Vec<PlacementOrder> {
    let mut orders = Vec::new();
    let mut movable: Vec<&PlacementTarget> =
        targets.iter().copied().filter(|target| target.range.is_some() && !target.busy).collect();
    // An engine waits for what is passing through the layers that it gives up.
    movable.sort_by_key(|target| (target.load, Reverse(target.slowness), &target.id));
    for target in &movable {
        if layout.missing() == 0 {
            return orders;
        }
        if !layout.is_spare(&target.id) {
            continue;
        }
        layout.release(&target.id);
        let fit = model.layers_that_fit(target.memory, room);
        if let Some(range) = layout.best_window(fit) {
            layout.hold(&target.id, range);
            orders.push(PlacementOrder { target: target.id.clone(), range });
        }
    }
    for target in &movable {
        if layout.missing() == 0 {
            return orders;
        }
        if orders.iter().any(|order| order.target == target.id) {
            continue;
        }
        let fit = model.layers_that_fit(target.memory, TokenCount(0));
        if let Some(range) = layout.grown(&target.id, fit) {
            layout.release(&target.id);
            layout.hold(&target.id, range);
            orders.push(PlacementOrder { target: target.id.clone(), range });
        }
    }
    orders
}

/// Who holds what within one group of engines.
#[derive(Debug)]
struct GroupLayout {
    /// The number of holders of each layer.
    holders: Vec<u32>,
    held: BTreeMap<TargetId, LayerRange>,
}

impl GroupLayout {
    fn new(model: &PipelineModel, targets: &[&PlacementTarget]) -> Self {
        let mut layout = Self { holders: vec![0; model.layers as usize], held: BTreeMap::new() };
        for target in targets {
            if let Some(range) = target.range {
                layout.hold(&target.id, range);
            }
        }
        layout
    }

    fn hold(&mut self, id: &TargetId, range: LayerRange) {
        for holders in &mut self.holders[indices(range)] {
            *holders += 1;
        }
        self.held.insert(id.clone(), range);
    }

    fn release(&mut self, id: &TargetId) {
        let Some(range) = self.held.remove(id) else { return };
        for holders in &mut self.holders[indices(range)] {
            *holders -= 1;
        }
    }

    fn missing(&self) -> usize {
        self.holders.iter().filter(|holders| **holders == 0).count()
    }

    /// Whether all layers of an engine have other holders.
    fn is_spare(&self, id: &TargetId) -> bool {
        let Some(range) = self.held.get(id) else { return false };
        self.holders[indices(*range)].iter().all(|holders| *holders > 1)
    }

    /// The window of `length` layers that is missed most.
    fn best_window(&self, length: u32) -> Option<LayerRange> {
        let layers = self.holders.len() as u32;
        if length == 0 || layers == 0 {
            return None;
        }
        let length = length.min(layers);
        (0..=layers - length)
            .map(|first| LayerRange { first, end: first + length })
            .max_by_key(|range| self.window_rank(*range))
    }

    /// What a further holder of a window is worth: layers that nobody holds, then engines that could
    /// be lost without a gap, then layers with one holder; the first window of equals is taken while
    /// layers are missing.
    fn window_rank(&self, range: LayerRange) -> (usize, usize, usize, u32, Reverse<u32>) {
        let window = &self.holders[indices(range)];
        let missing = window.iter().filter(|holders| **holders == 0).count();
        let single = window.iter().filter(|holders| **holders == 1).count();
        let freed = self.held.values().filter(|held| self.becomes_spare(**held, range)).count();
        let thin: u32 = window.iter().map(|holders| 8u32.saturating_sub(*holders)).sum();
        (missing, freed, single, thin, Reverse(range.first))
    }

    /// Whether a holder of `held` could be lost once another one holds `added`, but not before.
    fn becomes_spare(&self, held: LayerRange, added: LayerRange) -> bool {
        let mut needed = false;
        for layer in held.first..held.end {
            if self.holders[layer as usize] > 1 {
                continue;
            }
            if layer < added.first || layer >= added.end {
                return false;
            }
            needed = true;
        }
        needed
    }

    /// An engine's layers and the missing ones next to them, as far as `fit` layers reach.
    fn grown(&self, id: &TargetId, fit: u32) -> Option<LayerRange> {
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

    /// What is left of an engine's layers when those at its ends that have other holders are taken
    /// off, down to `fit`.
    fn trimmed(&self, held: LayerRange, fit: u32) -> LayerRange {
        let shared = |layer: u32| self.holders[layer as usize] > 1;
        let mut range = held;
        while range.count() > fit.max(1) && shared(range.end - 1) {
            range.end -= 1;
        }
        while range.count() > fit.max(1) && shared(range.first) {
            range.first += 1;
        }
        range
    }

    fn is_missing(&self, layer: u32) -> bool {
        self.holders.get(layer as usize).is_some_and(|holders| *holders == 0)
    }
}

fn indices(range: LayerRange) -> std::ops::Range<usize> {
    range.first as usize..range.end as usize
}
