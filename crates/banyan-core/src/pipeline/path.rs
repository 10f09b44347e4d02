//! The cheapest way through layers over the engines that hold them: [`find_path`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::ids::LayerRange;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::model::PipelineModel;

/// What a hand-over between two engines costs, as a part of the whole model's step.
const HOP_COST: f64 = 0.01;
/// What a hand-over to another zone costs, in steps of the whole model: the activations of every prompt
/// pass one pipe that all zones share.
const CROSSING_COST: f64 = 10.0;

/// An engine that may stand in a chain.
#[derive(Clone, Debug)]
pub(super) struct StageCandidate {
    /// The engine.
    pub(super) target: TargetId,
    /// Where it is reached.
    pub(super) address: SocketAddr,
    /// Its availability zone.
    pub(super) zone: ZoneId,
    /// The layers that it holds and goes on holding.
    pub(super) held: Vec<LayerRange>,
    /// How many times the model's step time its steps take.
    pub(super) step_factor: f64,
    /// How many times the model's reading time a prompt takes there.
    pub(super) prefill_factor: f64,
    /// The step factor as it counts in the search, dearer once a chain uses the engine.
    pub(super) search_factor: f64,
    /// What it has room for: tokens of requests times layers.
    pub(super) token_layers: u64,
}

/// The index of a candidate and the layers that it runs.
pub(super) type PartChoice = (usize, LayerRange);

/// The engines that run the layers of `span` in the least time, each of them once.
pub(super) fn find_path(
    model: &PipelineModel,
    candidates: &[StageCandidate],
    span: LayerRange,
) -> Option<Vec<PartChoice>> {
    let parts = shortest_path(model, candidates, span, false)?;
    let distinct: BTreeSet<usize> = parts.iter().map(|(index, _)| *index).collect();
    if distinct.len() == parts.len() {
        return Some(parts);
    }
    // An engine whose part always runs to the end of its layers cannot be met again further on.
    shortest_path(model, candidates, span, true)
}

/// A layer that a path has reached, and the place of the zone in which it ran the one before it.
type PathPoint = (u32, usize);

/// The cost of the least path to a point, and the point and part by which it came.
type PathStep = (f64, Option<(PathPoint, PartChoice)>);

/// The shortest path over the layers at which some engine begins or ends.
fn shortest_path(
    model: &PipelineModel,
    candidates: &[StageCandidate],
    span: LayerRange,
    whole_parts: bool,
) -> Option<Vec<PartChoice>> {
    let cuts = cuts(candidates, span);
    let zones = zone_places(candidates);
    let mut reached: BTreeMap<PathPoint, PathStep> =
        zones.values().map(|place| ((span.first, *place), (0.0, None))).collect();
    // Nothing runs from the last cut on, whatever lies behind it.
    for cut in cuts.range(..span.end) {
        let here: Vec<(usize, f64)> = reached
            .range((*cut, 0)..=(*cut, usize::MAX))
            .map(|((_, zone), (cost, _))| (*zone, *cost))
            .collect();
        for (index, candidate) in candidates.iter().enumerate() {
            let Some(held) = candidate.held.iter().find(|range| covers(range, *cut)) else {
                continue;
            };
            let zone = zones[&candidate.zone];
            let Some((cost, from)) = cheapest_entry(&here, zone) else { continue };
            let last = held.end.min(span.end);
            let first_end = if whole_parts { last } else { cut + 1 };
            for end in cuts.range(first_end..=last) {
                let range = LayerRange { first: *cut, end: *end };
                let time = model.share(range.count()) * candidate.search_factor + HOP_COST;
                let total = cost + time;
                let point = (*end, zone);
                if reached.get(&point).is_none_or(|(least, _)| total < *least) {
                    reached.insert(point, (total, Some(((*cut, from), (index, range)))));
                }
            }
        }
    }
    walk_back(&reached, span)
}

/// The layers within a span at which some engine begins or ends.
fn cuts(candidates: &[StageCandidate], span: LayerRange) -> BTreeSet<u32> {
    let mut cuts = BTreeSet::from([span.first, span.end]);
    for range in candidates.iter().flat_map(|candidate| &candidate.held) {
        cuts.insert(range.first.clamp(span.first, span.end));
        cuts.insert(range.end.clamp(span.first, span.end));
    }
    cuts
}

/// A number for each zone.
fn zone_places(candidates: &[StageCandidate]) -> BTreeMap<&ZoneId, usize> {
    let zones: BTreeSet<&ZoneId> = candidates.iter().map(|candidate| &candidate.zone).collect();
    zones.into_iter().enumerate().map(|(place, zone)| (zone, place)).collect()
}

/// The least cost at which a path goes on in a zone, and the zone from which it does.
fn cheapest_entry(here: &[(usize, f64)], zone: usize) -> Option<(f64, usize)> {
    let entry = |(from, cost): &(usize, f64)| {
        let crossing = if *from == zone { 0.0 } else { CROSSING_COST };
        (cost + crossing, *from)
    };
    here.iter().map(entry).min_by(|left, right| left.0.total_cmp(&right.0))
}

fn covers(range: &LayerRange, layer: u32) -> bool {
    range.first <= layer && layer < range.end
}

fn walk_back(reached: &BTreeMap<PathPoint, PathStep>, span: LayerRange) -> Option<Vec<PartChoice>> {
    let ends = reached.range((span.end, 0)..=(span.end, usize::MAX));
    let end = ends.min_by(|(_, left), (_, right)| left.0.total_cmp(&right.0));
    let mut at = *end?.0;
    let mut parts = Vec::new();
    while at.0 > span.first {
        let (_, step) = reached.get(&at)?;
        let (before, part) = (*step)?;
        parts.push(part);
        at = before;
    }
    parts.reverse();
    Some(parts)
}
