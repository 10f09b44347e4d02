//! Which targets serve a request: [`choose_chain`], [`choose_stage`] and [`choose_replica`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::declaration::TargetRole;
use crate::ids::LayerRange;
use crate::ids::ModelId;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::serving::targets::TargetRow;
use crate::serving::targets::TargetTable;
use crate::units::ByteCount;

/// What a request asks of the choice.
#[derive(Clone, Debug)]
pub struct ChainQuery<'a> {
    /// The model.
    pub model: &'a ModelId,
    /// The model's number of layers.
    pub layers: u32,
    /// The size of a hand-off between stages.
    pub handoff: ByteCount,
    /// The zone of the instance that asks.
    pub zone: &'a ZoneId,
    /// Digests of the prompt's growing prefixes, shortest first.
    pub prefixes: &'a [u64],
    /// Targets that may not be chosen.
    pub excluded: &'a BTreeSet<TargetId>,
    /// A random number, drawn anew for each request.
    pub draw: u64,
}

/// One stage of a chain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageChoice {
    /// The target.
    pub target: TargetId,
    /// The layers that it runs.
    pub layers: LayerRange,
}

/// A chain of targets whose layers cover the model in order, or `None` where no usable one exists.
pub fn choose_chain(table: &TargetTable, query: &ChainQuery<'_>) -> Option<Vec<StageChoice>> {
    // The cheapest way to cover the layers up to each boundary, by boundary.
    let mut best: BTreeMap<u32, (u64, Option<StageChoice>)> = BTreeMap::from([(0, (0, None))]);
    let mut boundary = 0;
    loop {
        let (cost, _) = best.get(&boundary)?.clone();
        if boundary == query.layers {
            break;
        }
        for (target, row, layers) in stages_from(table, query, boundary) {
            let total = cost + stage_cost(target, row, query);
            let known = best.get(&layers.end).map_or(u64::MAX, |(known, _)| *known);
            if total < known {
                let stage = StageChoice { target: target.clone(), layers };
                best.insert(layers.end, (total, Some(stage)));
            }
        }
        boundary = best.range(boundary + 1..).next().map(|(next, _)| *next)?;
    }
    let mut chain = Vec::new();
    let mut end = query.layers;
    while end > 0 {
        let stage = best.get(&end)?.1.clone()?;
        end = stage.layers.first;
        chain.push(stage);
    }
    chain.reverse();
    Some(chain)
}

/// A target for exactly the layers of a dead stage.
pub fn choose_stage(
    table: &TargetTable,
    query: &ChainQuery<'_>,
    layers: LayerRange,
) -> Option<StageChoice> {
    stages_from(table, query, layers.first)
        .filter(|(_, _, held)| *held == layers)
        .min_by_key(|(target, row, _)| stage_cost(target, row, query))
        .map(|(target, _, _)| StageChoice { target: target.clone(), layers })
}

/// A replica of a service: the one with the least expected load, ties broken by the draw.
pub fn choose_replica(
    table: &TargetTable,
    service: &ServiceId,
    excluded: &BTreeSet<TargetId>,
    draw: u64,
) -> Option<TargetId> {
    let serves = |row: &TargetRow| matches!(&row.spec.role, TargetRole::Service { service: s } if s == service);
    table
        .rows
        .iter()
        .filter(|(target, row)| row.usable() && serves(row) && !excluded.contains(*target))
        .min_by_key(|(target, row)| (row.expected_load(), tie_break(target, draw)))
        .map(|(target, _)| target.clone())
}

fn stages_from<'a>(
    table: &'a TargetTable,
    query: &'a ChainQuery<'_>,
    first: u32,
) -> impl Iterator<Item = (&'a TargetId, &'a TargetRow, LayerRange)> {
    table.rows.iter().filter_map(move |(target, row)| {
        let TargetRole::Engine { model, layers, .. } = &row.spec.role else { return None };
        let fits = model == query.model && layers.first == first && layers.end <= query.layers;
        let free = row.usable() && !query.excluded.contains(target);
        (fits && free).then_some((target, row, *layers))
    })
}

/// The expected time of a step there, in microseconds, with a random part below one microsecond's
/// worth so that ties spread.
fn stage_cost(target: &TargetId, row: &TargetRow, query: &ChainQuery<'_>) -> u64 {
    let TargetRole::Engine { batch, step_time, link_bytes_per_second, .. } = &row.spec.role else {
        return u64::MAX / 4;
    };
    let rounds = u64::from(row.expected_load() / (*batch).max(1)) + 1;
    let fill = u64::from(row.expected_load()) * 100 / u64::from((*batch).max(1));
    let link = query.handoff.0 * 1_000_000 / (*link_bytes_per_second).max(1);
    let run = step_time.as_micros() as u64 * rounds;
    ((run + link + fill) << 8) + (tie_break(target, query.draw) & 0xff)
}

fn tie_break(target: &TargetId, draw: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(target.as_str().as_bytes(), draw)
}
