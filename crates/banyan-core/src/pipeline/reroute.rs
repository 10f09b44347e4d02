//! Moves a running request off some engines of its chain: [`reroute_chain`].
//!
//! The first engine of a chain drives its request and cannot be replaced. Engines that remain in
//! the chain keep their cached tokens. Only the layers of replaced engines move to other engines,
//! which have to prefill the tokens again.

use std::collections::BTreeSet;

use crate::ids::LayerRange;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::pipeline::fleet::FleetTable;
use crate::pipeline::load::LoadView;
use crate::pipeline::model::PipelineModel;
use crate::pipeline::path::PartChoice;
use crate::pipeline::path::StageCandidate;
use crate::pipeline::path::find_path;
use crate::pipeline::search::candidates;
use crate::pipeline::search::to_chain;
use crate::pipeline::suspicion::SuspicionTable;
use crate::pipeline::target_chain::ChainPart;
use crate::pipeline::target_chain::MAX_FULLNESS;
use crate::pipeline::target_chain::TargetChain;
use crate::units::Moment;
use crate::units::TokenCount;

/// The inputs of a reroute decision.
#[derive(Clone, Copy, Debug)]
pub struct RerouteQuery<'a> {
    /// The model.
    pub model: &'a PipelineModel,
    /// The service that its engines belong to.
    pub service: &'a ServiceId,
    /// The engines.
    pub fleet: &'a FleetTable,
    /// The engines that are suspected of having failed.
    pub suspicions: &'a SuspicionTable,
    /// The load of the engines.
    pub loads: LoadView<'a>,
    /// Engines that this request must not use again.
    pub avoided: &'a [TargetId],
    /// Prompt and answer tokens of the request, once the answer is complete.
    pub total: TokenCount,
    /// The time of the decision.
    pub now: Moment,
}

/// Replaces the engines of a running request's chain that are suspected, avoided, or no longer
/// usable for their layers. Returns `None` if no engine needs replacement or no replacement exists.
pub fn reroute_chain(query: &RerouteQuery<'_>, chain: &TargetChain) -> Option<TargetChain> {
    let candidates = candidates(query.model, query.service, query.fleet);
    let kept: Vec<(&ChainPart, Option<usize>)> =
        chain.parts.iter().map(|part| (part, kept_index(query, &candidates, part))).collect();
    let first_remains = kept.first()?.1.is_some();
    if !first_remains || kept.iter().all(|(_, index)| index.is_some()) {
        return None;
    }
    let replacements = replacement_candidates(query, &candidates, chain);
    let mut parts: Vec<PartChoice> = Vec::new();
    for run in kept.chunk_by(|left, right| left.1.is_none() && right.1.is_none()) {
        let (part, index) = run[0];
        match index {
            Some(index) => parts.push((index, part.range)),
            None => {
                let (last, _) = run[run.len() - 1];
                let gap = LayerRange { first: part.range.first, end: last.range.end };
                parts.extend(fill_gap(query.model, &candidates, &replacements, gap)?);
            }
        }
    }
    let distinct: BTreeSet<usize> = parts.iter().map(|(index, _)| *index).collect();
    (distinct.len() == parts.len()).then(|| to_chain(query.model, &candidates, &parts))
}

/// The candidate index of the engine of `part` if it can continue to run that part.
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

/// The indices of the engines that can take over layers: usable engines outside the chain, in the
/// chain's zone if it has one, with capacity for the request.
fn replacement_candidates(
    query: &RerouteQuery<'_>,
    candidates: &[StageCandidate],
    chain: &TargetChain,
) -> Vec<usize> {
    let in_zone =
        |candidate: &StageCandidate| chain.zone.as_ref().is_none_or(|zone| candidate.zone == *zone);
    let has_room = |candidate: &StageCandidate| {
        let layers: u32 = candidate.held.iter().map(|range| range.count()).sum();
        let requested = (query.total.0 * u64::from(layers)) as f64;
        let used = query.loads.token_layers(&candidate.target);
        used + requested <= MAX_FULLNESS * candidate.token_layers as f64
    };
    let is_eligible = |candidate: &StageCandidate| {
        !chain.uses_any(std::slice::from_ref(&candidate.target))
            && in_zone(candidate)
            && is_usable(query, &candidate.target)
            && has_room(candidate)
    };
    (0..candidates.len()).filter(|index| is_eligible(&candidates[*index])).collect()
}

/// Finds engines among `replacements` that together run the layers of a gap.
fn fill_gap(
    model: &PipelineModel,
    candidates: &[StageCandidate],
    replacements: &[usize],
    gap: LayerRange,
) -> Option<Vec<PartChoice>> {
    let gap_candidates: Vec<StageCandidate> =
        replacements.iter().map(|index| candidates[*index].clone()).collect();
    let path = find_path(model, &gap_candidates, gap)?;
    Some(path.into_iter().map(|(index, range)| (replacements[index], range)).collect())
}
