//! Models of faults: silent targets, outages and requests that crash targets.
//!
//! Each compares the product's reaction with a naive one.

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

/// Results of [`run_silence`].
#[derive(Clone, Copy, Debug, Default)]
pub struct SilenceOutput {
    /// The number of times the target was suspected while alive.
    pub false_alarms: u32,
    /// The time from the failure of the target to its suspicion.
    pub detection: Duration,
}

/// Simulates a target that sends a sign of life every 200 ms for 600 s and then fails.
///
/// The delays of the link are exponential with this mean. `adaptive` uses the product's failure
/// detector; otherwise the target is suspected after a fixed 600 ms without a sign of life.
pub fn run_silence(mean_delay: Duration, adaptive: bool, seed: u64) -> SilenceOutput {
    let suspect_after = Duration::from_millis(600);
    let alive_for = 600_000_000;
    let mut rng = DrawSource::new(seed);
    let arrivals = sign_of_life_arrivals(&mut rng, mean_delay, alive_for);
    let mut table = TargetTable::default();
    table.apply_declaration(&mixed_splits(2), Moment(0));
    let target = target_name(0);
    let mut output = SilenceOutput::default();
    let mut arrivals = arrivals.into_iter().peekable();
    let (mut last_arrival, mut suspected) = (0, false);
    for now in (0..alive_for + 20_000_000).step_by(20_000) {
        while let Some(at) = arrivals.next_if(|at| *at <= now) {
            last_arrival = at;
            suspected = false;
            note_alive(&mut table, &target, Moment(at));
        }
        let newly_suspected = if adaptive {
            !suspect_silent(&mut table, suspect_after, Moment(now)).is_empty()
        } else {
            !suspected && now - last_arrival > suspect_after.as_micros() as u64
        };
        if !newly_suspected {
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

fn sign_of_life_arrivals(rng: &mut DrawSource, mean_delay: Duration, until: u64) -> Vec<u64> {
    let mut last = 0;
    let mut arrivals = Vec::new();
    for sent in (0..until).step_by(200_000) {
        // A single connection preserves order, so a sign of life never overtakes an earlier one.
        last = last.max(sent + rng.exponential(mean_delay.as_micros() as f64));
        arrivals.push(last);
    }
    arrivals
}

/// Returns the mean number of attempts per request, from 100 workspaces, while a group of targets
/// is down.
///
/// `budget` is the percentage of a retry that each request adds to the retry budget; `None` always
/// retries three times.
pub fn run_outage(requests: u32, budget: Option<u32>) -> f64 {
    let group = SmolStr::new_static("model-00");
    let mut retry_budget = RetryBudget::default();
    let mut attempts = 0;
    for number in 0..requests {
        let workspace = workspace_name(number as usize % 100);
        attempts += 1;
        if let Some(percent) = budget {
            retry_budget.pay(&workspace, &group, percent);
        }
        for _ in 0..3 {
            if budget.is_some() && !retry_budget.draw(&workspace, &group) {
                break;
            }
            attempts += 1;
        }
    }
    f64::from(attempts) / f64::from(requests)
}

/// Results of [`run_poison`].
#[derive(Clone, Copy, Debug, Default)]
pub struct PoisonOutput {
    /// The number of target crashes.
    pub crashes: u32,
    /// The number of harmless requests that were served.
    pub served: u32,
    /// The number of harmless requests that were quarantined or ran out of attempts.
    pub lost: u32,
}

/// A request of the poison model.
#[derive(Clone, Debug)]
struct ModelRequest {
    content: ContentDigest,
    instance: usize,
    target: Option<usize>,
    steps_left: u32,
    attempts: u32,
}

/// The number of steps of a request.
const REQUEST_STEPS: u32 = 6;
/// The number of attempts after which a harmless request is abandoned.
const ATTEMPT_LIMIT: u32 = 12;
/// The step at which the poison request crashes its target.
const FATAL_STEP: u32 = 3;

/// Retries a poison request through one instance after the other, among harmless requests.
///
/// With `quarantine`, each instance runs the product's suspect table, and the tables are merged
/// every `merge_every` steps.
pub fn run_poison(quarantine: bool, merge_every: u32, seed: u64) -> PoisonOutput {
    let (instances, targets, harmless) = (7, 40, 160);
    let mut rng = DrawSource::new(seed);
    let mut tables = vec![SuspectTable::default(); instances];
    let mut quarantined: BTreeSet<ContentDigest> = BTreeSet::new();
    let mut runs = vec![0u32; targets];
    let mut output = PoisonOutput::default();
    let poison = ContentDigest(0);
    let mut requests: Vec<ModelRequest> = (0..=harmless)
        .map(|number| ModelRequest {
            content: ContentDigest(number),
            instance: number as usize % instances,
            target: None,
            steps_left: REQUEST_STEPS,
            attempts: 0,
        })
        .collect();
    for step in 0..400 {
        for request in &mut requests {
            assign_target(request, &mut tables, &runs, quarantine, &mut rng);
        }
        let crashed = run_step(&mut requests, poison);
        for target in crashed {
            output.crashes += 1;
            let verdicts =
                crash_target(&mut requests, &mut tables, target, runs[target], quarantine);
            runs[target] += 1;
            quarantined.extend(verdicts);
        }
        if quarantine && step % merge_every == merge_every - 1 {
            quarantined.extend(merge_all(&mut tables));
        }
        requests.retain_mut(|request| {
            let done = request.steps_left == 0 || quarantined.contains(&request.content);
            let abandoned = request.content != poison && request.attempts > ATTEMPT_LIMIT;
            if request.steps_left == 0 {
                tables[request.instance].clear(request.content);
                output.served += 1;
            } else if (done || abandoned) && request.content != poison {
                output.lost += 1;
            }
            !done && !abandoned
        });
    }
    output
}

fn assign_target(
    request: &mut ModelRequest,
    tables: &mut [SuspectTable],
    runs: &[u32],
    quarantine: bool,
    rng: &mut DrawSource,
) {
    if request.target.is_some() {
        return;
    }
    let target = rng.below(runs.len() as u64) as usize;
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
    request.attempts += 1;
    request.steps_left = REQUEST_STEPS;
}

fn run_step(requests: &mut [ModelRequest], poison: ContentDigest) -> BTreeSet<usize> {
    let mut crashed = BTreeSet::new();
    for request in requests {
        let Some(target) = request.target else { continue };
        request.steps_left -= 1;
        if request.content == poison && REQUEST_STEPS - request.steps_left == FATAL_STEP {
            crashed.insert(target);
        }
    }
    crashed
}

/// Crashes a target; every instance records which of its requests were in flight there.
fn crash_target(
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
        if request.steps_left == 0 {
            continue;
        }
        contents.entry(request.instance).or_default().insert(request.content);
        tables[request.instance].leave(request.content);
        request.target = None;
        if request.content == ContentDigest(0) {
            // The caller retries the poison request at another instance.
            request.instance = (request.instance + 1) % instances;
        }
    }
    if !quarantine {
        return Vec::new();
    }
    let in_flight = contents.into_iter();
    in_flight
        .flat_map(|(instance, contents)| {
            tables[instance].note_crash(&name, &incarnation, &contents)
        })
        .collect()
}

fn merge_all(tables: &mut [SuspectTable]) -> Vec<ContentDigest> {
    let mut quarantined = Vec::new();
    let all_rows: Vec<_> = tables.iter().map(|table| table.rows.clone()).collect();
    for table in tables {
        for (content, row) in all_rows.iter().flatten() {
            if table.merge(*content, &row.crashes) {
                quarantined.push(*content);
            }
        }
    }
    quarantined
}

/// Returns whether a target is reserved for suspect requests of another instance.
///
/// `position` is the index of this instance among `instance_count` instances ordered by name.
fn reserved_for_others(target: &TargetId, position: usize, instance_count: usize) -> bool {
    let owner = xxh3_64(target.as_str().as_bytes()) % instance_count.max(1) as u64;
    owner != position as u64
}
