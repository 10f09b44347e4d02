//! Target selection: [`choose_chain`], [`choose_stage`] and [`choose_replica`].
//!
//! A few targets of each group of interchangeable targets are sampled at random, so that many
//! instances with the same stale load reports do not all pick the same target. From the samples,
//! the chain with the lowest expected time per token is built from the first layer on. The price of
//! a stage has two parts. Its latency is added up over the chain. The time that it needs for one
//! step of each of its streams bounds the chain's throughput, so the largest of these times in the
//! chain counts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::declaration::TargetRole;
use crate::ids::LayerRange;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::serving::chain_query::ChainQuery;
use crate::serving::groups::TargetGroup;
use crate::serving::price::StagePrice;
use crate::serving::price::replica_price;
use crate::serving::price::stage_price;
use crate::serving::targets::TargetRow;
use crate::serving::targets::TargetTable;

/// The number of group members that are sampled and compared.
const SAMPLE_SIZE: usize = 3;
/// The number of partial chains that are kept per layer boundary.
const MAX_PARTIAL_CHAINS: usize = 6;

/// The largest number of targets with a cached prefix of the prompt that are examined.
const MAX_CACHE_HOLDERS_SCANNED: usize = 64;
/// The largest number of these targets that are added to the sample.
const MAX_CACHE_HOLDERS_ADDED: usize = 2;
/// The highest [`StagePrice::peak`] at which a target's cached prefix counts, in percent of the
/// lowest one in the sample.
const MAX_CACHED_PEAK_PERCENT: u64 = 115;

/// One stage of a chain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageChoice {
    /// The target.
    pub target: TargetId,
    /// The layers that it runs.
    pub layers: LayerRange,
}

/// Sampled members of a group, each with its row.
type MemberSample<'a> = Vec<(&'a TargetId, &'a TargetRow)>;

/// A chain that covers the layers up to a boundary.
#[derive(Clone, Debug)]
struct PartialChain {
    /// The price of all stages so far.
    price: StagePrice,
    /// The stages so far, in order.
    stages: Vec<StageChoice>,
}

/// A chain of usable targets whose layers cover the model in order, or `None` if there is none.
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

/// A replacement target for exactly the layers of a failed stage.
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

/// The replica of a service that is expected to answer first, out of a few sampled ones.
pub fn choose_replica(
    table: &TargetTable,
    service: &ServiceId,
    excluded: &BTreeSet<TargetId>,
    draw: u64,
) -> Option<TargetId> {
    let group = table.groups.replicas.get(service)?;
    sample_members(table, group, excluded, draw)
        .into_iter()
        .min_by_key(|(target, row)| (replica_price(table, row), member_hash(target, draw)))
        .map(|(target, _)| target.clone())
}

/// A few members with their prices: a random sample, and some that may have a prefix of the prompt
/// in their cache. The time that a cached prefix saves counts only if the target's peak is at most
/// `MAX_CACHED_PEAK_PERCENT` of the lowest one.
fn priced_members<'a>(
    table: &'a TargetTable,
    group: &'a TargetGroup,
    layers: LayerRange,
    query: &ChainQuery<'_>,
) -> Vec<(&'a TargetId, StagePrice)> {
    let mut members = sample_members(table, group, query.excluded, query.draw);
    add_cache_holders(table, layers, query, &mut members);
    let price = |(target, row)| (target, stage_price(table, row, query));
    let mut priced: Vec<_> = members.into_iter().map(price).collect();
    let lowest_peak = priced.iter().map(|(_, price)| price.peak).min().unwrap_or(0);
    for (target, price) in &mut priced {
        if price.peak <= lowest_peak * MAX_CACHED_PEAK_PERCENT / 100 {
            let percent = table.prefixes.cached_percent(target, query.prefixes);
            price.saved = price.step * u64::from(percent) / 100;
        }
    }
    priced
}

fn add_cache_holders<'a>(
    table: &'a TargetTable,
    layers: LayerRange,
    query: &ChainQuery<'_>,
    members: &mut MemberSample<'a>,
) {
    let fits = |row: &TargetRow| match &row.spec.role {
        TargetRole::Engine { model, layers: held, .. } => model == query.model && *held == layers,
        TargetRole::Service { .. } => false,
    };
    let mut added = 0;
    for holder in table.prefixes.holders(query.prefixes).take(MAX_CACHE_HOLDERS_SCANNED) {
        let Some((target, row)) = table.rows.get_key_value(holder) else { continue };
        let available = row.usable() && fits(row) && !query.excluded.contains(target);
        if !available || members.iter().any(|(member, _)| *member == target) {
            continue;
        }
        members.push((target, row));
        added += 1;
        if added == MAX_CACHE_HOLDERS_ADDED {
            break;
        }
    }
}

/// A few usable members of a group: a sample of the near ones, or of all members if no near one is
/// usable.
fn sample_members<'a>(
    table: &'a TargetTable,
    group: &'a TargetGroup,
    excluded: &BTreeSet<TargetId>,
    draw: u64,
) -> MemberSample<'a> {
    let usable = |target: &'a TargetId| {
        let row = table.rows.get(target).filter(|row| row.usable())?;
        (!excluded.contains(target)).then_some((target, row))
    };
    let count = group.near.len();
    if count > SAMPLE_SIZE * 2 {
        let sampled = sample_indices(count, draw);
        let sampled: MemberSample<'a> =
            sampled.filter_map(|index| usable(&group.near[index])).collect();
        if sampled.len() > 1 {
            return sampled;
        }
    }
    let near = sample_by_hash(group.near.iter().filter_map(usable), draw);
    if !near.is_empty() {
        return near;
    }
    sample_by_hash(group.members.iter().filter_map(usable), draw)
}

/// Distinct indices below `count`, as many as the sample size.
fn sample_indices(count: usize, draw: u64) -> impl Iterator<Item = usize> {
    // A stride that is coprime to the count visits every index before it repeats one.
    let start = (hash_draw(draw) % count as u64) as usize;
    let stride = (hash_draw(draw ^ 1) % (count as u64 - 1)) as usize + 1;
    let step = if greatest_common_divisor(stride, count) == 1 { stride } else { 1 };
    (0..SAMPLE_SIZE).map(move |turn| (start + turn * step) % count)
}

/// The few members with the lowest hash for this random number: a sample without replacement.
fn sample_by_hash<'a>(
    members: impl Iterator<Item = (&'a TargetId, &'a TargetRow)>,
    draw: u64,
) -> MemberSample<'a> {
    let mut members: MemberSample<'a> = members.collect();
    members.sort_by_cached_key(|(target, _)| member_hash(target, draw));
    members.truncate(SAMPLE_SIZE);
    members
}

/// Keeps the extended chain unless another one that reaches the same boundary is at least as good
/// in every respect.
fn keep_partial(
    reached: &mut Vec<PartialChain>,
    before: &PartialChain,
    price: StagePrice,
    stage: StageChoice,
) {
    let price = before.price.then(price);
    if reached.iter().any(|other| other.price.is_no_worse_than(price)) {
        return;
    }
    reached.retain(|other| !price.is_no_worse_than(other.price));
    let mut stages = before.stages.clone();
    stages.push(stage);
    reached.push(PartialChain { price, stages });
    if reached.len() <= MAX_PARTIAL_CHAINS {
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

fn hash_draw(draw: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&draw.to_le_bytes())
}

fn greatest_common_divisor(mut left: usize, mut right: usize) -> usize {
    while right > 0 {
        (left, right) = (right, left % right);
    }
    left
}
