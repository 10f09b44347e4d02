//! Models of faults: silence, outages and requests that crash targets, each with the naive answer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use xxhash_rust::xxh3::xxh3_64;

use crate::draws::DrawSource;
use crate::fixtures::mixed_splits;
use crate::fixtures::target_name;
use crate::fixtures::workspace_name;
use banyan_core::ids::TargetId;
use banyan_core::record::ContentDigest;
use banyan_core::serving::budget::RetryBudget;
use banyan_core::serving::health::note_alive;
use banyan_core::serving::health::suspect_silent;
use banyan_core::serving::poison::SuspectTable;
use banyan_core::serving::targets::TargetTable;
use banyan_core::units::Moment;

/// What suspicion by silence gave.
#[derive(Clone, Copy, Debug, Default)]
pub struct SilenceOutput {
    /// Suspicions while the target was alive.
    pub false_alarms: u32,
    /// The time from the target's death until it was suspected.
    pub detection: Duration,
}

/// Signs of life every 200 ms over a link with exponential delays of this mean, then death.
///
/// `adaptive` takes the product's systems; otherwise a fixed limit is used.
pub fn run_silence(mean_delay: Duration, adaptive: bool, seed: u64) -> SilenceOutput {
    let suspect_after = Duration::from_millis(600);
    let alive_for = 600_000_000;
    let mut draws = DrawSource::new(seed);
    let arrivals = sign_arrivals(&mut draws, mean_delay, alive_for);
    let mut table = TargetTable::default();
    table.apply_declaration(&mixed_splits(2), Moment(0));
    let target = target_name(0);
    let mut output = SilenceOutput::default();
    let mut arrivals = arrivals.into_iter().peekable();
    let (mut heard, mut suspected) = (0, false);
    for now in (0..alive_for + 20_000_000).step_by(20_000) {
        while let Some(at) = arrivals.next_if(|at| *at <= now) {
            heard = at;
            suspected = false;
            note_alive(&mut table, &target, Moment(at));
        }
        let raised = if adaptive {
            !suspect_silent(&mut table, suspect_after, Moment(now)).is_empty()
        } else {
            !suspected && now - heard > suspect_after.as_micros() as u64
        };
        if !raised {
            continue;
        }
        suspected = true;
        if arrivals.peek().is_none() {
            output.detection = Duration::from_micros(now.saturating_sub(alive_for));
            break;
        }
        output.false_alarms += 1;
    }
    output
}

fn sign_arrivals(draws: &mut DrawSource, mean_delay: Duration, until: u64) -> Vec<u64> {
    let mut last = 0;
    let mut arrivals = Vec::new();
    for sent in (0..until).step_by(200_000) {
        // One connection keeps the order, so that a sign never overtakes the one before it.
        last = last.max(sent + draws.exponential(mean_delay.as_micros() as f64));
        arrivals.push(last);
    }
    arrivals
}

/// The tries for each request while a group of targets is down, from 100 workspaces.
///
/// `budget` is the percentage paid in for each request; `None` retries three times whatever else
/// happens.
pub fn run_outage(requests: u32, budget: Option<u32>) -> f64 {
    let group = SmolStr::new_static("model-00");
    let mut accounts = RetryBudget::default();
    let mut tries = 0;
    for number in 0..requests {
        let workspace = workspace_name(number as usize % 100);
        tries += 1;
        if let Some(percent) = budget {
            accounts.pay(&workspace, &group, percent);
        }
        for _ in 0..3 {
            if budget.is_some() && !accounts.draw(&workspace, &group) {
                break;
            }
            tries += 1;
        }
    }
    f64::from(tries) / f64::from(requests)
}

/// What became of a fleet that was sent a request that crashes targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoisonOutput {
    /// Target runs that crashed.
    pub crashes: u32,
    /// Innocent requests that were served.
    pub served: u32,
    /// Innocent requests that were convicted or given up.
    pub lost: u32,
}

/// A request of the poison model.
#[derive(Clone, Debug)]
struct ModelRequest {
    content: ContentDigest,
    instance: usize,
    target: Option<usize>,
    left: u32,
    tries: u32,
}

/// The steps that a request takes.
const REQUEST_STEPS: u32 = 6;
/// The tries that a request has.
const TRY_LIMIT: u32 = 12;
/// The step at which the culprit crashes its target.
const FATAL_STEP: u32 = 3;

/// Sends a culprit again and again, each time through the next instance, among innocents.
///
/// `quarantine` runs the product's table on each instance, merged every `merge_every` steps.
pub fn run_poison(quarantine: bool, merge_every: u32, seed: u64) -> PoisonOutput {
    let (instances, targets, innocents) = (7, 40, 160);
    let mut draws = DrawSource::new(seed);
    let mut tables = vec![SuspectTable::default(); instances];
    let mut convicted: BTreeSet<ContentDigest> = BTreeSet::new();
    let mut runs = vec![0u32; targets];
    let mut output = PoisonOutput::default();
    let culprit = ContentDigest(0);
    let mut requests: Vec<ModelRequest> = (0..=innocents)
        .map(|number| ModelRequest {
            content: ContentDigest(number),
            instance: number as usize % instances,
            target: None,
            left: REQUEST_STEPS,
            tries: 0,
        })
        .collect();
    for step in 0..400 {
        for request in &mut requests {
            place(request, &mut tables, &runs, quarantine, &mut draws);
        }
        let crashed = advance(&mut requests, culprit);
        for target in crashed {
            output.crashes += 1;
            let verdicts = crash(&mut requests, &mut tables, target, runs[target], quarantine);
            runs[target] += 1;
            convicted.extend(verdicts);
        }
        if quarantine && step % merge_every == merge_every - 1 {
            convicted.extend(merge_all(&mut tables));
        }
        requests.retain_mut(|request| {
            let done = request.left == 0 || convicted.contains(&request.content);
            let given_up = request.content != culprit && request.tries > TRY_LIMIT;
            if request.left == 0 {
                tables[request.instance].clear(request.content);
                output.served += 1;
            } else if (done || given_up) && request.content != culprit {
                output.lost += 1;
            }
            !done && !given_up
        });
    }
    output
}

fn place(
    request: &mut ModelRequest,
    tables: &mut [SuspectTable],
    runs: &[u32],
    quarantine: bool,
    draws: &mut DrawSource,
) {
    if request.target.is_some() {
        return;
    }
    let target = draws.below(runs.len() as u64) as usize;
    let name = target_name(target);
    let instances = tables.len();
    let table = &mut tables[request.instance];
    if quarantine && table.is_suspect(request.content) {
        let reserved = reserved_for_others(&name, request.instance, instances);
        if reserved || !table.enter(request.content, &name) {
            return;
        }
    }
    request.target = Some(target);
    request.tries += 1;
    request.left = REQUEST_STEPS;
}

fn advance(requests: &mut [ModelRequest], culprit: ContentDigest) -> BTreeSet<usize> {
    let mut crashed = BTreeSet::new();
    for request in requests {
        let Some(target) = request.target else { continue };
        request.left -= 1;
        if request.content == culprit && REQUEST_STEPS - request.left == FATAL_STEP {
            crashed.insert(target);
        }
    }
    crashed
}

/// Ends a target's run: every instance notes which of its contents were in flight there.
fn crash(
    requests: &mut [ModelRequest],
    tables: &mut [SuspectTable],
    target: usize,
    run: u32,
    quarantine: bool,
) -> Vec<ContentDigest> {
    let name: TargetId = target_name(target);
    let incarnation = format_smolstr!("run-{run}");
    let mut contents: BTreeMap<usize, BTreeSet<ContentDigest>> = BTreeMap::new();
    let instances = tables.len();
    for request in requests.iter_mut().filter(|request| request.target == Some(target)) {
        if request.left == 0 {
            continue;
        }
        contents.entry(request.instance).or_default().insert(request.content);
        tables[request.instance].leave(request.content);
        request.target = None;
        if request.content == ContentDigest(0) {
            // The caller of the culprit sends it again to another instance.
            request.instance = (request.instance + 1) % instances;
        }
    }
    if !quarantine {
        return Vec::new();
    }
    let noted = contents.into_iter();
    noted
        .flat_map(|(instance, contents)| {
            tables[instance].note_crash(&name, &incarnation, &contents)
        })
        .collect()
}

fn merge_all(tables: &mut [SuspectTable]) -> Vec<ContentDigest> {
    let mut convicted = Vec::new();
    let told: Vec<_> = tables.iter().map(|table| table.rows.clone()).collect();
    for table in tables {
        for (content, row) in told.iter().flatten() {
            if table.merge(*content, &row.crashes) {
                convicted.push(*content);
            }
        }
    }
    convicted
}

/// Whether another of the `live` instances tries its suspects on a target; `position` is this
/// instance's place in the order of their names.
fn reserved_for_others(target: &TargetId, position: usize, live: usize) -> bool {
    let owner = xxh3_64(target.as_str().as_bytes()) % live.max(1) as u64;
    owner != position as u64
}
