//! Finds the cheapest path through a range of layers: [`find_path`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::ids::LayerRange;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::model::PipelineModel;

/// Cost of a hop between two engines, as a fraction of the whole model's step.
const HOP_COST: f64 = 0.01;
/// Cost of a hop to another zone, in steps of the whole model. The activations of every prompt
/// share one link between all zones.
const CROSSING_COST: f64 = 10.0;

/// An engine that may be part of a chain.
#[derive(Clone, Debug)]
pub(super) struct StageCandidate {
    /// The engine.
    pub(super) target: TargetId,
    /// The address at which it accepts requests.
    pub(super) address: SocketAddr,
    /// Its availability zone.
    pub(super) zone: ZoneId,
    /// The layers that it holds and will keep.
    pub(super) held: Vec<LayerRange>,
    /// Its step time as a multiple of the model's.
    pub(super) step_factor: f64,
    /// Its prefill time as a multiple of the model's.
    pub(super) prefill_factor: f64,
    /// The engine's cost factor in the search: its step factor, raised for each chain that already
    /// uses it, for engines outside the zone, and by a per-instance offset in large zones.
    pub(super) search_factor: f64,
    /// Its capacity for requests, in tokens times layers.
    pub(super) token_layers: u64,
}

/// The index of a candidate and the layers that it runs.
pub(super) type PartChoice = (usize, LayerRange);

/// Finds the engines that run the layers of `span` at the least cost, each engine at most once.
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
    // If every part extends to the end of the engine's range, no engine can appear again later.
    shortest_path(model, candidates, span, true)
}

/// A node of the search: the next layer to run, and the index of the zone that ran the previous
/// one.
type PathPoint = (u32, usize);

/// The least cost to reach a point, and the predecessor and part of that path.
type PathStep = (f64, Option<(PathPoint, PartChoice)>);

/// Runs the shortest-path search over the layers at which some engine's range begins or ends.
fn shortest_path(
    model: &PipelineModel,
    candidates: &[StageCandidate],
    span: LayerRange,
    full_ranges: bool,
) -> Option<Vec<PartChoice>> {
    let cuts = cuts(candidates, span);
    let zones = zone_indices(candidates);
    let mut reached: BTreeMap<PathPoint, PathStep> =
        zones.values().map(|index| ((span.first, *index), (0.0, None))).collect();
    // The span ends at its last cut, so no part starts there, whatever layers follow.
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
            let Some((cost, from)) = cheapest_predecessor(&here, zone) else { continue };
            let last = held.end.min(span.end);
            let min_end = if full_ranges { last } else { cut + 1 };
            for end in cuts.range(min_end..=last) {
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
    reconstruct_path(&reached, span)
}

/// The layers within a span at which some engine's range begins or ends.
fn cuts(candidates: &[StageCandidate], span: LayerRange) -> BTreeSet<u32> {
    let mut cuts = BTreeSet::from([span.first, span.end]);
    for range in candidates.iter().flat_map(|candidate| &candidate.held) {
        cuts.insert(range.first.clamp(span.first, span.end));
        cuts.insert(range.end.clamp(span.first, span.end));
    }
    cuts
}

/// Assigns an index to each zone.
fn zone_indices(candidates: &[StageCandidate]) -> BTreeMap<&ZoneId, usize> {
    let zones: BTreeSet<&ZoneId> = candidates.iter().map(|candidate| &candidate.zone).collect();
    zones.into_iter().enumerate().map(|(index, zone)| (zone, index)).collect()
}

/// The least cost of continuing in a zone, and the zone that the path comes from.
fn cheapest_predecessor(here: &[(usize, f64)], zone: usize) -> Option<(f64, usize)> {
    let entry = |(from, cost): &(usize, f64)| {
        let crossing = if *from == zone { 0.0 } else { CROSSING_COST };
        (cost + crossing, *from)
    };
    here.iter().map(entry).min_by(|left, right| left.0.total_cmp(&right.0))
}

fn covers(range: &LayerRange, layer: u32) -> bool {
    range.first <= layer && layer < range.end
}

fn reconstruct_path(
    reached: &BTreeMap<PathPoint, PathStep>,
    span: LayerRange,
) -> Option<Vec<PartChoice>> {
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
