//! How a running request leaves engines of its chain: [`reroute_chain`].
//!
//! The first engine of a chain drives its request and cannot be left. The parts of engines that go on
//! keep what they have read; only the layers of those that are left are run, and read again, elsewhere.

use std::collections::BTreeSet;

use crate::ids::LayerRange;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::pipeline::chain::ChainPart;
use crate::pipeline::chain::FULLEST;
use crate::pipeline::chain::TargetChain;
use crate::pipeline::fleet::FleetTable;
use crate::pipeline::load::LoadView;
use crate::pipeline::model::PipelineModel;
use crate::pipeline::path::PartChoice;
use crate::pipeline::path::StageCandidate;
use crate::pipeline::path::find_path;
use crate::pipeline::search::candidates;
use crate::pipeline::search::to_chain;
use crate::pipeline::suspicion::SuspicionTable;
use crate::units::Moment;
use crate::units::TokenCount;

/// What a reroute is decided from.
#[derive(Clone, Copy, Debug)]
pub struct RerouteQuery<'a> {
    /// The model.
    pub model: &'a PipelineModel,
    /// The service that its engines belong to.
    pub service: &'a ServiceId,
    /// The engines.
    pub fleet: &'a FleetTable,
    /// Which of them are doubted.
    pub suspicions: &'a SuspicionTable,
    /// What requests take up at them.
    pub loads: LoadView<'a>,
    /// Engines that this request does not use again.
    pub avoided: &'a [TargetId],
    /// The tokens that the request takes up in the end.
    pub total: TokenCount,
    /// The time of the decision.
    pub now: Moment,
}

/// The chain with which a request that runs on `chain` goes on without the engines that are doubted,
/// avoided or giving its layers up; `None` where it cannot, or has no need to.
pub fn reroute_chain(query: &RerouteQuery<'_>, chain: &TargetChain) -> Option<TargetChain> {
    let candidates = candidates(query.model, query.service, query.fleet);
    let kept: Vec<(&ChainPart, Option<usize>)> =
        chain.parts.iter().map(|part| (part, kept_index(query, &candidates, part))).collect();
    let first_stays = kept.first()?.1.is_some();
    if !first_stays || kept.iter().all(|(_, index)| index.is_some()) {
        return None;
    }
    let others = other_candidates(query, &candidates, chain);
    let mut parts: Vec<PartChoice> = Vec::new();
    for run in kept.chunk_by(|left, right| left.1.is_none() && right.1.is_none()) {
        let (part, index) = run[0];
        match index {
            Some(index) => parts.push((index, part.range)),
            None => {
                let (last, _) = run[run.len() - 1];
                let gap = LayerRange { first: part.range.first, end: last.range.end };
                parts.extend(fill_gap(query.model, &candidates, &others, gap)?);
            }
        }
    }
    let distinct: BTreeSet<usize> = parts.iter().map(|(index, _)| *index).collect();
    (distinct.len() == parts.len()).then(|| to_chain(query.model, &candidates, &parts))
}

/// The place among the candidates of an engine that goes on running its part of a chain.
fn kept_index(
    query: &RerouteQuery<'_>,
    candidates: &[StageCandidate],
    part: &ChainPart,
) -> Option<usize> {
    if !is_usable(query, &part.target) {
        return None;
    }
    let holds =
        |candidate: &StageCandidate| candidate.held.iter().any(|held| held.covers(part.range));
    candidates.iter().position(|candidate| candidate.target == part.target && holds(candidate))
}

fn is_usable(query: &RerouteQuery<'_>, target: &TargetId) -> bool {
    !query.avoided.contains(target) && !query.suspicions.is_suspect(target, query.now)
}

/// The places of the engines that can take over layers: those of the chain's zone that have room.
fn other_candidates(
    query: &RerouteQuery<'_>,
    candidates: &[StageCandidate],
    chain: &TargetChain,
) -> Vec<usize> {
    let near =
        |candidate: &StageCandidate| chain.zone.as_ref().is_none_or(|zone| candidate.zone == *zone);
    let has_room = |candidate: &StageCandidate| {
        let layers: u32 = candidate.held.iter().map(|range| range.count()).sum();
        let asked = (query.total.0 * u64::from(layers)) as f64;
        let taken = query.loads.token_layers(&candidate.target);
        taken + asked <= FULLEST * candidate.token_layers as f64
    };
    let fits = |candidate: &StageCandidate| {
        !chain.uses_any(std::slice::from_ref(&candidate.target))
            && near(candidate)
            && is_usable(query, &candidate.target)
            && has_room(candidate)
    };
    (0..candidates.len()).filter(|index| fits(&candidates[*index])).collect()
}

/// The engines among `others` that run the layers of a gap.
fn fill_gap(
    model: &PipelineModel,
    candidates: &[StageCandidate],
    others: &[usize],
    gap: LayerRange,
) -> Option<Vec<PartChoice>> {
    let of_gap: Vec<StageCandidate> =
        others.iter().map(|index| candidates[*index].clone()).collect();
    let path = find_path(model, &of_gap, gap)?;
    Some(path.into_iter().map(|(place, range)| (others[place], range)).collect())
}
