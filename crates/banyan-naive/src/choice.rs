//! Simple algorithms for target selection: [`random`], [`round_robin`] and [`least_reported`].

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::draws::DrawSource;
use banyan_core::declaration::TargetRole;
use banyan_core::ids::LayerRange;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::serving::chain_query::ChainQuery;
use banyan_core::serving::choice::StageChoice;
use banyan_core::serving::decisions::DecisionSet;
use banyan_core::serving::targets::TargetRow;
use banyan_core::serving::targets::TargetTable;

thread_local! {
    static TURNS: RefCell<BTreeMap<u32, usize>> = const { RefCell::new(BTreeMap::new()) };
}

/// Chooses any usable target with equal probability.
///
/// As in the other sets, fair admission, quarantine and stage replacement are off.
pub fn random() -> DecisionSet {
    DecisionSet {
        choose_chain: |table, query| choose_chain_from(table, query, 0, pick_random),
        choose_stage: |table, query, layers| choose_stage(table, query, layers, pick_random),
        choose_replica: |table, service, excluded, draw| {
            choose_replica(table, service, excluded, draw, pick_random)
        },
        ..naive_set()
    }
}

/// Chooses the usable targets in turn.
pub fn round_robin() -> DecisionSet {
    DecisionSet {
        choose_chain: |table, query| choose_chain_from(table, query, 0, pick_next),
        choose_stage: |table, query, layers| choose_stage(table, query, layers, pick_next),
        choose_replica: |table, service, excluded, draw| {
            choose_replica(table, service, excluded, draw, pick_next)
        },
        ..naive_set()
    }
}

/// Chooses the usable target with the least load in its last report; no report counts as 0.
pub fn least_reported() -> DecisionSet {
    DecisionSet {
        choose_chain: |table, query| choose_chain_from(table, query, 0, pick_least),
        choose_stage: |table, query, layers| choose_stage(table, query, layers, pick_least),
        choose_replica: |table, service, excluded, draw| {
            choose_replica(table, service, excluded, draw, pick_least)
        },
        ..naive_set()
    }
}

/// Returns whether a chain of usable targets covers the model from layer `first` on.
///
/// It searches all chains.
pub fn chain_exists(table: &TargetTable, query: &ChainQuery<'_>, first: u32) -> bool {
    if first == query.layers {
        return true;
    }
    let ends: BTreeSet<u32> =
        candidates(table, query, first).iter().map(|(_, _, layers)| layers.end).collect();
    ends.into_iter().any(|end| chain_exists(table, query, end))
}

type Candidate<'a> = (&'a TargetId, &'a TargetRow, LayerRange);
type PickFn = fn(&[Candidate<'_>], u64) -> usize;

fn naive_set() -> DecisionSet {
    DecisionSet {
        fair_admission: false,
        quarantine: false,
        replace_stages: false,
        ..DecisionSet::product()
    }
}

fn pick_random(candidates: &[Candidate<'_>], draw: u64) -> usize {
    DrawSource::new(draw).below(candidates.len() as u64) as usize
}

fn pick_next(candidates: &[Candidate<'_>], _draw: u64) -> usize {
    // One counter per layer boundary: a shared counter would select the same candidates
    // repeatedly.
    let first = candidates[0].2.first;
    TURNS.with_borrow_mut(|turns| {
        let turn = turns.entry(first).or_default();
        *turn += 1;
        *turn % candidates.len()
    })
}

fn pick_least(candidates: &[Candidate<'_>], _draw: u64) -> usize {
    let load = |row: &TargetRow| row.report.as_ref().map_or(0, |report| report.load);
    (0..candidates.len()).min_by_key(|index| load(candidates[*index].1)).unwrap_or(0)
}

fn choose_chain_from(
    table: &TargetTable,
    query: &ChainQuery<'_>,
    first: u32,
    pick: PickFn,
) -> Option<Vec<StageChoice>> {
    if first == query.layers {
        return Some(Vec::new());
    }
    let mut remaining = candidates(table, query, first);
    while !remaining.is_empty() {
        let (target, _, layers) = remaining.remove(pick(&remaining, query.draw ^ u64::from(first)));
        if let Some(mut rest) = choose_chain_from(table, query, layers.end, pick) {
            rest.insert(0, StageChoice { target: target.clone(), layers });
            return Some(rest);
        }
    }
    None
}

fn choose_stage(
    table: &TargetTable,
    query: &ChainQuery<'_>,
    layers: LayerRange,
    pick: PickFn,
) -> Option<StageChoice> {
    let mut fitting = candidates(table, query, layers.first);
    fitting.retain(|(_, _, engine_layers)| *engine_layers == layers);
    if fitting.is_empty() {
        return None;
    }
    let (target, _, _) = fitting[pick(&fitting, query.draw)];
    Some(StageChoice { target: target.clone(), layers })
}

fn candidates<'a>(
    table: &'a TargetTable,
    query: &ChainQuery<'_>,
    first: u32,
) -> Vec<Candidate<'a>> {
    let fitting = table.rows.iter().filter_map(|(target, row)| {
        let TargetRole::Engine { model, layers, .. } = &row.spec.role else { return None };
        let fits = model == query.model && layers.first == first && layers.end <= query.layers;
        let available = row.usable() && !query.excluded.contains(target);
        (fits && available).then_some((target, row, *layers))
    });
    fitting.collect()
}

fn choose_replica(
    table: &TargetTable,
    service: &ServiceId,
    excluded: &BTreeSet<TargetId>,
    draw: u64,
    pick: PickFn,
) -> Option<TargetId> {
    let all_layers = LayerRange { first: 0, end: 1 };
    let fitting: Vec<Candidate<'_>> = table
        .rows
        .iter()
        .filter(|(target, row)| row.usable() && !excluded.contains(*target))
        .filter(|(_, row)| matches!(&row.spec.role, TargetRole::Service { service: name } if name == service))
        .map(|(target, row)| (target, row, all_layers))
        .collect();
    if fitting.is_empty() {
        return None;
    }
    Some(fitting[pick(&fitting, draw)].0.clone())
}
