//! Which targets serve a request: [`choose_chain`], [`choose_stage`] and [`choose_replica`].
//!
//! From every group of targets that can stand in for each other a few are drawn at random, so that
//! many instances with the same old reports do not all pick the same target. Among the drawn, the
//! chain with the least expected time of a token is built boundary by boundary. A stage counts
//! twice: its own time adds to the sum over the chain, and the time that it needs for a round of
//! all its streams bounds the chain's pace, so that the most loaded stage counts as a whole.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::declaration::TargetRole;
use crate::ids::LayerRange;
use crate::ids::ModelId;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::serving::groups::TargetGroup;
use crate::serving::price::StagePrice;
use crate::serving::price::replica_price;
use crate::serving::price::stage_price;
use crate::serving::targets::TargetRow;
use crate::serving::targets::TargetTable;
use crate::units::ByteCount;

/// The members of a group that are drawn and compared.
const SAMPLE_SIZE: usize = 3;
/// The partial chains that are kept for each boundary.
const PARTIAL_LIMIT: usize = 6;

/// The targets with the prompt's beginning that are looked at, and that are compared.
const HOLDERS_SEEN: usize = 64;
const HOLDERS_ADDED: usize = 2;
/// How busy a target may be for its cache to count, in percent of the least busy.
const BUSIER_PERCENT: u64 = 115;

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

/// The targets that a query may draw from a group, each with its row.
type Drawn<'a> = Vec<(&'a TargetId, &'a TargetRow)>;

/// A chain that covers the layers up to some boundary.
#[derive(Clone, Debug)]
struct PartialChain {
    /// The price of all stages so far.
    price: StagePrice,
    /// The stages so far, in order.
    stages: Vec<StageChoice>,
}

/// A chain of targets whose layers cover the model in order, or `None` where no usable one exists.
pub fn choose_chain(table: &TargetTable, query: &ChainQuery<'_>) -> Option<Vec<StageChoice>> {
    let start = PartialChain { price: StagePrice::default(), stages: Vec::new() };
    let mut partials = BTreeMap::from([(0, vec![start])]);
    while let Some((boundary, chains)) = partials.pop_first() {
        if boundary == query.layers {
            let best = chains.into_iter().min_by_key(|chain| chain.price.token_time());
            return best.map(|chain| chain.stages);
        }
        for (layers, group) in table.groups.beginning_at(query.model, boundary) {
            if layers.end > query.layers {
                continue;
            }
            for (target, price) in priced_members(table, group, layers, query) {
                let reached = partials.entry(layers.end).or_default();
                for chain in &chains {
                    let stage = StageChoice { target: target.clone(), layers };
                    keep_partial(reached, chain, price, stage);
                }
            }
        }
    }
    None
}

/// A target for exactly the layers of a dead stage.
pub fn choose_stage(
    table: &TargetTable,
    query: &ChainQuery<'_>,
    layers: LayerRange,
) -> Option<StageChoice> {
    let group = table.groups.engines.get(query.model)?.get(&layers)?;
    priced_members(table, group, layers, query)
        .into_iter()
        .min_by_key(|(_, price)| price.token_time())
        .map(|(target, _)| StageChoice { target: target.clone(), layers })
}

/// A replica of a service: of a few drawn, the one that is expected to answer first.
pub fn choose_replica(
    table: &TargetTable,
    service: &ServiceId,
    excluded: &BTreeSet<TargetId>,
    draw: u64,
) -> Option<TargetId> {
    let group = table.groups.replicas.get(service)?;
    draw_members(table, group, excluded, draw)
        .into_iter()
        .min_by_key(|(target, row)| (replica_price(table, row), member_hash(target, draw)))
        .map(|(target, _)| target.clone())
}

/// A few members with their prices: some drawn, and some that may have the prompt's beginning in
/// their cache. What a cache saves counts only where the target is hardly busier than the others.
fn priced_members<'a>(
    table: &'a TargetTable,
    group: &'a TargetGroup,
    layers: LayerRange,
    query: &ChainQuery<'_>,
) -> Vec<(&'a TargetId, StagePrice)> {
    let mut members = draw_members(table, group, query.excluded, query.draw);
    add_holders(table, layers, query, &mut members);
    let price = |(target, row)| (target, stage_price(table, row, query));
    let mut priced: Vec<_> = members.into_iter().map(price).collect();
    let least = priced.iter().map(|(_, price)| price.peak).min().unwrap_or(0);
    for (target, price) in &mut priced {
        if price.peak <= least * BUSIER_PERCENT / 100 {
            let percent = table.prefixes.cached_percent(target, query.prefixes);
            price.saved = price.step * u64::from(percent) / 100;
        }
    }
    priced
}

fn add_holders<'a>(
    table: &'a TargetTable,
    layers: LayerRange,
    query: &ChainQuery<'_>,
    members: &mut Drawn<'a>,
) {
    let fits = |row: &TargetRow| match &row.spec.role {
        TargetRole::Engine { model, layers: held, .. } => model == query.model && *held == layers,
        TargetRole::Service { .. } => false,
    };
    let mut added = 0;
    for holder in table.prefixes.holders(query.prefixes).take(HOLDERS_SEEN) {
        let Some((target, row)) = table.rows.get_key_value(holder) else { continue };
        let free = row.usable() && fits(row) && !query.excluded.contains(target);
        if !free || members.iter().any(|(member, _)| *member == target) {
            continue;
        }
        members.push((target, row));
        added += 1;
        if added == HOLDERS_ADDED {
            break;
        }
    }
}

/// A few usable members of a group: drawn from the near ones, else any that is left.
fn draw_members<'a>(
    table: &'a TargetTable,
    group: &'a TargetGroup,
    excluded: &BTreeSet<TargetId>,
    draw: u64,
) -> Drawn<'a> {
    let usable = |target: &'a TargetId| {
        let row = table.rows.get(target).filter(|row| row.usable())?;
        (!excluded.contains(target)).then_some((target, row))
    };
    let count = group.near.len();
    if count > SAMPLE_SIZE * 2 {
        let drawn = sample_indices(count, draw);
        let drawn: Drawn<'a> = drawn.filter_map(|index| usable(&group.near[index])).collect();
        if drawn.len() > 1 {
            return drawn;
        }
    }
    let near = spread_sample(group.near.iter().filter_map(usable), draw);
    if !near.is_empty() {
        return near;
    }
    spread_sample(group.members.iter().filter_map(usable), draw)
}

/// Different indices below `count`, as many as are drawn.
fn sample_indices(count: usize, draw: u64) -> impl Iterator<Item = usize> {
    // A stride that shares no factor with the count never meets the same index twice in a round.
    let start = (mix(draw) % count as u64) as usize;
    let stride = (mix(draw ^ 1) % (count as u64 - 1)) as usize + 1;
    let step = if common_divisor(stride, count) == 1 { stride } else { 1 };
    (0..SAMPLE_SIZE).map(move |turn| (start + turn * step) % count)
}

/// The few members with the least hash under this draw: a sample without replacement.
fn spread_sample<'a>(
    members: impl Iterator<Item = (&'a TargetId, &'a TargetRow)>,
    draw: u64,
) -> Drawn<'a> {
    let mut members: Drawn<'a> = members.collect();
    members.sort_by_cached_key(|(target, _)| member_hash(target, draw));
    members.truncate(SAMPLE_SIZE);
    members
}

/// Keeps the longer chain unless another of the same layers is better in both respects.
fn keep_partial(
    reached: &mut Vec<PartialChain>,
    before: &PartialChain,
    price: StagePrice,
    stage: StageChoice,
) {
    let price = before.price.then(price);
    if reached.iter().any(|other| other.price.covers(price)) {
        return;
    }
    reached.retain(|other| !price.covers(other.price));
    let mut stages = before.stages.clone();
    stages.push(stage);
    reached.push(PartialChain { price, stages });
    if reached.len() <= PARTIAL_LIMIT {
        return;
    }
    let worst = (0..reached.len()).max_by_key(|index| reached[*index].price.token_time());
    if let Some(worst) = worst {
        reached.swap_remove(worst);
    }
}

fn member_hash(target: &TargetId, draw: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(target.as_str().as_bytes(), draw)
}

fn mix(draw: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&draw.to_le_bytes())
}

fn common_divisor(mut left: usize, mut right: usize) -> usize {
    while right > 0 {
        (left, right) = (right, left % right);
    }
    left
}
