//! Which layers each engine should hold: [`plan_placement`].
//!
//! Each availability zone gets a copy of the model of its own where its engines have the memory, since
//! chains should not leave a zone. Layers that no engine of the zone holds come first, and no others
//! with them, since a load takes as long as it is large; then second holders, so that the loss of an
//! engine leaves the zone's copy whole. Engines that hold layers keep them, unless a layer is missing
//! and theirs have other holders: a new leader goes on with what the one before it began.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::ids::LayerRange;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::layout::GroupLayout;
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
            Some(room) => orders.extend(GroupPlan::new(model, of_zone, room).finish()),
            None => left_over.extend(of_zone),
        }
    }
    // Zones that are too small for a copy of their own make one together.
    let room = room_for_copy(model, &left_over).unwrap_or_default();
    orders.extend(GroupPlan::new(model, left_over, room).finish());
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

/// The orders of one plan for a group of engines that hold a copy together.
struct GroupPlan<'a> {
    model: &'a PipelineModel,
    targets: Vec<&'a PlacementTarget>,
    /// The tokens of requests that each engine should have room for.
    room: TokenCount,
    layout: GroupLayout,
    /// Invariant: at most one order for an engine, and none for a busy one.
    orders: Vec<PlacementOrder>,
}

impl<'a> GroupPlan<'a> {
    fn new(model: &'a PipelineModel, targets: Vec<&'a PlacementTarget>, room: TokenCount) -> Self {
        let layout = GroupLayout::new(model.layers, &targets);
        Self { model, targets, room, layout, orders: Vec::new() }
    }

    fn finish(mut self) -> Vec<PlacementOrder> {
        self.use_empty();
        self.move_spare();
        self.grow_neighbours();
        if self.layout.missing() == 0 {
            self.trim();
            self.relieve();
            self.widen();
        }
        self.orders
    }

    /// Places layers on engines that hold none.
    fn use_empty(&mut self) {
        let mut empty = self.free_targets(|target| target.range.is_none());
        empty.sort_by_key(|target| (target.slowness, Reverse(target.memory), &target.id));
        let mut empty: VecDeque<_> =
            empty.into_iter().map(|target| (target, self.fit(target))).collect();
        while let Some((target, fit)) = self.next_empty(&mut empty) {
            if let Some(range) = self.layout.best_window(fit) {
                self.order(target, self.layout.missing_part(range));
            }
        }
    }

    /// The next engine to be given layers. While the rest of them can make another copy whole, that is
    /// put together from the first thin layer on: a layer with fewer holders than the others bounds
    /// what the whole zone has room for.
    fn next_empty(
        &mut self,
        empty: &mut VecDeque<(&'a PlacementTarget, u32)>,
    ) -> Option<(&'a PlacementTarget, u32)> {
        while self.layout.missing() == 0 {
            let left: u32 = empty.iter().map(|(_, fit)| fit).sum();
            let Some(gap) = self.layout.thin_gap().filter(|_| self.layout.thin() <= left) else {
                break;
            };
            let place = best_fit(empty, gap.count())?;
            let (target, fit) = empty.remove(place)?;
            if let Some(range) = self.layout.window_from(gap.first, fit) {
                self.order(target, range);
            }
        }
        empty.pop_front()
    }

    /// The most layers with which an engine has the wanted room.
    fn fit(&self, target: &PlacementTarget) -> u32 {
        self.model.layers_that_fit(target.memory, self.room)
    }

    /// Moves engines whose layers all have other holders to layers that nobody holds.
    fn move_spare(&mut self) {
        for target in self.movable_targets() {
            if self.layout.missing() == 0 {
                return;
            }
            if !self.layout.is_spare(&target.id) {
                continue;
            }
            let fit = self.fit(target);
            if let Some(range) = self.layout.best_window_without(&target.id, fit) {
                self.order(target, self.layout.missing_part(range));
            }
        }
    }

    /// Lets neighbours of layers that nobody holds hold more, without room for requests if need be.
    fn grow_neighbours(&mut self) {
        for target in self.movable_targets() {
            if self.layout.missing() == 0 {
                return;
            }
            let fit = self.model.layers_that_fit(target.memory, TokenCount(0));
            if let Some(range) = self.layout.grown(&target.id, fit) {
                self.order(target, range);
            }
        }
    }

    /// Takes layers that have other holders off engines that hold more than leaves room for requests.
    fn trim(&mut self) {
        for target in self.free_targets(|target| target.range.is_some()) {
            let fit = self.fit(target);
            let Some(held) = target.range.filter(|held| held.count() > fit) else { continue };
            let range = self.layout.trimmed(held, fit);
            if range != held {
                self.order(target, range);
            }
        }
    }

    /// Lets a neighbour with room hold the first or last layers of an engine that holds too many, which
    /// gives them up once the neighbour has them.
    fn relieve(&mut self) {
        for target in self.free_targets(|target| target.range.is_some()) {
            let fit = self.fit(target);
            let Some(held) = target.range.filter(|held| held.count() > fit) else { continue };
            let excess = held.count() - fit;
            let helpers = self.free_targets(|other| other.id != target.id);
            let help = helpers.into_iter().find_map(|other| {
                let range = other.range?;
                let most = self.model.layers_that_fit(other.memory, self.room);
                let slack = most.saturating_sub(range.count()).min(excess);
                Some((other, grown_into(range, held, slack)?))
            });
            if let Some((other, range)) = help {
                self.order(other, range);
            }
        }
    }

    /// Lets engines that were given only what was missing hold as much as leaves the wanted room.
    fn widen(&mut self) {
        if self.targets.iter().any(|target| target.busy) || !self.orders.is_empty() {
            return;
        }
        let mut at_once = self.model.loads_at_once;
        for target in self.free_targets(|target| target.range.is_some()) {
            let fit = self.model.layers_that_fit(target.memory, self.model.request_room);
            let Some(held) = target.range.filter(|held| held.count() < fit) else { continue };
            let Some(range) = self.layout.best_window_around(&target.id, held, fit) else {
                continue;
            };
            self.order(target, range);
            at_once -= 1;
            if at_once == 0 {
                return;
            }
        }
    }

    fn order(&mut self, target: &PlacementTarget, range: LayerRange) {
        self.layout.release(&target.id);
        self.layout.hold(&target.id, range);
        self.orders.push(PlacementOrder { target: target.id.clone(), range });
    }

    /// Engines that hold layers and can be ordered, in the order in which they should be: one that
    /// carries requests waits for what is passing through the layers that it gives up.
    fn movable_targets(&self) -> Vec<&'a PlacementTarget> {
        let mut movable = self.free_targets(|target| target.range.is_some());
        movable.sort_by_key(|target| (target.load, Reverse(target.slowness), &target.id));
        movable
    }

    /// The engines that can be ordered and of which `keep` holds.
    fn free_targets(&self, keep: impl Fn(&PlacementTarget) -> bool) -> Vec<&'a PlacementTarget> {
        let ordered =
            |target: &PlacementTarget| self.orders.iter().any(|order| order.target == target.id);
        let free = |target: &PlacementTarget| !target.busy && !ordered(target) && keep(target);
        self.targets.iter().copied().filter(|target| free(target)).collect()
    }
}

/// The place of the engine that fills a gap best: the one with most layers among those that do not
/// reach beyond it, or else the smallest.
fn best_fit(empty: &VecDeque<(&PlacementTarget, u32)>, gap: u32) -> Option<usize> {
    let within = empty.iter().enumerate().filter(|(_, (_, fit))| (1..=gap).contains(fit));
    let largest = within.max_by_key(|(place, (_, fit))| (*fit, Reverse(*place)));
    let beyond = empty.iter().enumerate().filter(|(_, (_, fit))| *fit > gap);
    let smallest = || beyond.min_by_key(|(place, (_, fit))| (*fit, *place));
    largest.or_else(smallest).map(|(place, _)| place)
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
