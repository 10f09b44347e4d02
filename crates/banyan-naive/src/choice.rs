//! Obvious ways to choose targets: [`random`], [`round_robin`] and [`least_reported`].

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::draws::DrawSource;
use banyan_core::declaration::TargetRole;
use banyan_core::ids::LayerRange;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::serving::choice::ChainQuery;
use banyan_core::serving::choice::StageChoice;
use banyan_core::serving::decisions::DecisionSet;
use banyan_core::serving::targets::TargetRow;
use banyan_core::serving::targets::TargetTable;

thread_local! {
    static TURNS: RefCell<BTreeMap<u32, usize>> = const { RefCell::new(BTreeMap::new()) };
}

/// Any usable target, all alike; no fair admission, no quarantine, no replacement.
pub fn random() -> DecisionSet {
    DecisionSet {
        choose_chain: |table, query| walk(table, query, 0, pick_random),
        choose_stage: |table, query, layers| stage(table, query, layers, pick_random),
        choose_replica: |table, service, excluded, draw| {
            replica(table, service, excluded, draw, pick_random)
        },
        ..naive_set()
    }
}

/// The usable targets in turn.
pub fn round_robin() -> DecisionSet {
    DecisionSet {
        choose_chain: |table, query| walk(table, query, 0, pick_next),
        choose_stage: |table, query, layers| stage(table, query, layers, pick_next),
        choose_replica: |table, service, excluded, draw| {
            replica(table, service, excluded, draw, pick_next)
        },
        ..naive_set()
    }
}

/// The usable target with the least load in its last report.
pub fn least_reported() -> DecisionSet {
    DecisionSet {
        choose_chain: |table, query| walk(table, query, 0, pick_least),
        choose_stage: |table, query, layers| stage(table, query, layers, pick_least),
        choose_replica: |table, service, excluded, draw| {
            replica(table, service, excluded, draw, pick_least)
        },
        ..naive_set()
    }
}

/// Whether any chain of usable targets covers the model, by trying all.
pub fn chain_exists(table: &TargetTable, query: &ChainQuery<'_>, first: u32) -> bool {
    if first == query.layers {
        return true;
    }
    let ends: BTreeSet<u32> =
        candidates(table, query, first).iter().map(|(_, _, layers)| layers.end).collect();
    ends.into_iter().any(|end| chain_exists(table, query, end))
}

type Candidate<'a> = (&'a TargetId, &'a TargetRow, LayerRange);
type Pick = fn(&[Candidate<'_>], u64) -> usize;

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
    // One turn a boundary: a shared one would meet the same candidates again and again.
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

fn walk(
    table: &TargetTable,
    query: &ChainQuery<'_>,
    first: u32,
    pick: Pick,
) -> Option<Vec<StageChoice>> {
    if first == query.layers {
        return Some(Vec::new());
    }
    let mut left = candidates(table, query, first);
    while !left.is_empty() {
        let (target, _, layers) = left.remove(pick(&left, query.draw ^ u64::from(first)));
        if let Some(mut rest) = walk(table, query, layers.end, pick) {
            rest.insert(0, StageChoice { target: target.clone(), layers });
            return Some(rest);
        }
    }
    None
}

fn stage(
    table: &TargetTable,
    query: &ChainQuery<'_>,
    layers: LayerRange,
    pick: Pick,
) -> Option<StageChoice> {
    let mut fitting = candidates(table, query, layers.first);
    fitting.retain(|(_, _, held)| *held == layers);
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
        let free = row.usable() && !query.excluded.contains(target);
        (fits && free).then_some((target, row, *layers))
    });
    fitting.collect()
}

fn replica(
    table: &TargetTable,
    service: &ServiceId,
    excluded: &BTreeSet<TargetId>,
    draw: u64,
    pick: Pick,
) -> Option<TargetId> {
    let whole = LayerRange { first: 0, end: 1 };
    let fitting: Vec<Candidate<'_>> = table
        .rows
        .iter()
        .filter(|(target, row)| row.usable() && !excluded.contains(*target))
        .filter(|(_, row)| matches!(&row.spec.role, TargetRole::Service { service: held } if held == service))
        .map(|(target, row)| (target, row, whole))
        .collect();
    if fitting.is_empty() {
        return None;
    }
    Some(fitting[pick(&fitting, draw)].0.clone())
}
