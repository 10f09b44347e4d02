//! The processor time of each piece of control work: [`ControlCosts`].

use std::collections::BTreeSet;
use std::time::Duration;

use smol_str::SmolStr;

use crate::control::fleet::MODELS;
use crate::control::fleet::START;
use crate::control::fleet::SyntheticDaemon;
use crate::control::fleet::model_name;
use crate::control::fleet::report;
use crate::control::fleet::workspace_name;
use crate::control::meter::micros_a_round;
use banyan_config::declaration::merge_files;
use banyan_core::ids::IncarnationId;
use banyan_core::ids::ModelId;
use banyan_core::ids::RequestId;
use banyan_core::ids::ZoneId;
use banyan_core::serving::admission_request::AdmissionRequest;
use banyan_core::serving::capacity::capacity_share;
use banyan_core::serving::chain_query::ChainQuery;
use banyan_core::serving::decisions::ChooseChain;
use banyan_core::serving::decisions::DecisionSet;
use banyan_core::serving::exchange::apply_digest;
use banyan_core::serving::exchange::build_digest;
use banyan_core::serving::exchange::choose_peers;
use banyan_core::serving::health::suspect_silent;
use banyan_core::serving::ring::InstanceRing;
use banyan_core::serving::subset::narrow_groups;
use banyan_core::serving::targets::TargetTable;
use banyan_core::units::ByteCount;
use banyan_core::units::Moment;
use banyan_naive::choice;

/// Rounds of the exchange a second.
pub const ROUNDS: f64 = 1.0;
/// Questions for the load of a watched target a second.
pub const PROBES: f64 = 1.0;
/// Ticks of the systems a second.
const TICKS: f64 = 50.0;
/// Looks through all rows a second: with signs of life each second, one is due about as often.
const SCANS: f64 = 2.0;
/// Seconds of a day.
const DAY: f64 = 86_400.0;

/// One piece of work.
#[derive(Clone, Debug)]
pub struct WorkCost {
    /// What it is.
    pub name: &'static str,
    /// Processor time of one unit, in microseconds.
    pub micros: f64,
    /// Units a second at one daemon.
    pub per_second: f64,
}

impl WorkCost {
    /// Its part of a core, in percent.
    pub fn core_percent(&self) -> f64 {
        self.micros * self.per_second / 1e4
    }
}

/// All control work of one daemon.
#[derive(Clone, Debug)]
pub struct ControlCosts {
    /// The product's.
    pub product: Vec<WorkCost>,
    /// What the naive way does in place of some of it.
    pub naive: Vec<WorkCost>,
    /// The bookkeeping of one step, which belongs to the data path, in microseconds.
    pub step_micros: f64,
}

impl ControlCosts {
    /// Runs each piece until its time is known.
    pub fn measure(daemon: &mut SyntheticDaemon) -> eyre::Result<Self> {
        let size = daemon.size;
        let requests = size.own_requests();
        let mut product = Vec::new();
        let mut add =
            |name, per_second, micros| product.push(WorkCost { name, micros, per_second });
        add("choosing a chain", requests, chain_cost(daemon, DecisionSet::product().choose_chain)?);
        add("admission of a request", requests, admission_cost(daemon)?);
        add("limit and budget of a request", requests, limit_cost(daemon)?);
        let watched = daemon.watched();
        let probes = watched.len() as f64 * PROBES;
        let probe = micros_a_round(|round| {
            let target = &watched[round as usize % watched.len()];
            let now = later(round * 1000);
            daemon.table.note_report(target, report(round as u32, now), now);
        })?;
        add("load report of a target", probes, probe);
        let exchanges = 2.0 * ROUNDS * choose_peers(&daemon.ring, 0).len() as f64;
        add("building a digest", exchanges, build_cost(daemon)?);
        add("taking in a digest", exchanges, take_cost(daemon)?);
        add("tick of the systems", TICKS, tick_cost(daemon)?);
        add("looking for silent targets", SCANS, scan_cost(daemon)?);
        let slow = micros_a_round(|round| {
            daemon.limits.tick(later(round));
            daemon.token_limits.tick(later(round));
            daemon.suspects.tick(later(round));
        })?;
        add("tick of limits and suspects", 1.0, slow);
        let validation = micros_a_round(|_| drop(merge_files(&daemon.files)))?;
        add("validating a configuration", size.changes / DAY, validation);
        add("putting it in force", size.changes / DAY, sync_cost(daemon)?);
        // A daemon that is replaced leaves the list once and joins it once.
        add("change of the instance list", 2.0 * size.restarts / DAY, membership_cost(daemon)?);
        let step_micros = step_cost(daemon)?;
        let naive = naive_costs(daemon, &product)?;
        Ok(Self { product, naive, step_micros })
    }

    /// The product's part of a core, in percent.
    pub fn core_percent(&self) -> f64 {
        self.product.iter().map(WorkCost::core_percent).sum()
    }

    /// The naive way's part of a core, in percent.
    pub fn naive_core_percent(&self) -> f64 {
        self.naive.iter().map(WorkCost::core_percent).sum()
    }
}

fn later(micros: u64) -> Moment {
    START + Duration::from_micros(micros)
}

fn chain_cost(daemon: &SyntheticDaemon, choose_chain: ChooseChain) -> eyre::Result<f64> {
    let models: Vec<ModelId> =
        (0..MODELS).map(|model| model_name(model).parse()).collect::<Result<_, _>>()?;
    let zone: ZoneId = daemon.live[&daemon.own].clone();
    let excluded = BTreeSet::new();
    let mut found = 0u64;
    let micros = micros_a_round(|round| {
        let model = &models[round as usize % models.len()];
        let layers = daemon.declaration.models[model].layers;
        let handoff = ByteCount(16_384);
        let prefixes = &[];
        let (zone, excluded) = (&zone, &excluded);
        let query = ChainQuery { model, layers, handoff, zone, prefixes, excluded, draw: round };
        found += u64::from(choose_chain(&daemon.table, &query).is_some());
    })?;
    eyre::ensure!(found > 0, "no chain was found: check the synthetic fleet");
    Ok(micros)
}

fn admission_cost(daemon: &mut SyntheticDaemon) -> eyre::Result<f64> {
    let incarnation: IncarnationId = "entry-000@run".parse()?;
    let workspaces = daemon.size.workspaces;
    let capacity = u64::from(daemon.admission.capacity);
    micros_a_round(|round| {
        let now = later(round * 1000);
        let id = |counter| RequestId { incarnation: incarnation.clone(), counter };
        let request = AdmissionRequest {
            request: id(round),
            workspace: workspace_name((round * 7919) as u32 % workspaces),
            share: 1,
            priority: 5,
            tokens: 200,
            deadline: now + Duration::from_secs(60),
        };
        daemon.admission.offer(request, now);
        if let Some(ended) = round.checked_sub(capacity) {
            daemon.admission.release(&id(ended), now);
        }
        daemon.admission.tick(now);
    })
}

fn limit_cost(daemon: &mut SyntheticDaemon) -> eyre::Result<f64> {
    let workspaces = daemon.size.workspaces;
    let groups: Vec<SmolStr> = (0..MODELS).map(|model| model_name(model).into()).collect();
    micros_a_round(|round| {
        let workspace = workspace_name((round * 7919) as u32 % workspaces);
        let now = later(round * 1000);
        let requests = daemon.limits.take(&workspace, 100, 1, now);
        let tokens = daemon.token_limits.take(&workspace, 100_000, 200, now);
        debug_assert!(requests.is_ok() || tokens.is_ok() || round > 0);
        daemon.budget.pay(&workspace, &groups[round as usize % groups.len()], 20);
    })
}

fn build_cost(daemon: &mut SyntheticDaemon) -> eyre::Result<f64> {
    let SyntheticDaemon { exchange, table, limits, suspects, .. } = daemon;
    micros_a_round(|round| {
        drop(build_digest(exchange, table, limits, suspects, later(round)));
    })
}

fn take_cost(daemon: &mut SyntheticDaemon) -> eyre::Result<f64> {
    let SyntheticDaemon { exchange, table, limits, suspects, .. } = daemon;
    // A digest is full of loads that are news: each round measures them later.
    let mut digest = build_digest(exchange, table, limits, suspects, later(0));
    micros_a_round(|round| {
        for news in &mut digest.loads {
            news.age = Duration::ZERO;
        }
        apply_digest(exchange, table, limits, suspects, &digest, later(10_000_000 + round));
    })
}

fn tick_cost(daemon: &mut SyntheticDaemon) -> eyre::Result<f64> {
    micros_a_round(|round| {
        let now = later(round);
        daemon.admission.tick(now);
        suspect_silent(&mut daemon.table, Duration::from_secs(3600), now);
    })
}

fn scan_cost(daemon: &mut SyntheticDaemon) -> eyre::Result<f64> {
    micros_a_round(|round| {
        daemon.table.next_silence_check = Default::default();
        suspect_silent(&mut daemon.table, Duration::from_secs(3600), later(round));
    })
}

fn sync_cost(daemon: &mut SyntheticDaemon) -> eyre::Result<f64> {
    let daemons = daemon.size.daemons;
    micros_a_round(|round| {
        daemon.table.apply_declaration(&daemon.declaration, later(round));
        narrow_groups(&mut daemon.table, &daemon.ring);
        daemon.admission.capacity = capacity_share(&daemon.declaration, daemons);
    })
}

fn membership_cost(daemon: &mut SyntheticDaemon) -> eyre::Result<f64> {
    micros_a_round(|_| {
        if let Some(ring) = InstanceRing::of(&daemon.live, &daemon.own) {
            daemon.ring = ring;
        }
        narrow_groups(&mut daemon.table, &daemon.ring);
    })
}

fn step_cost(daemon: &mut SyntheticDaemon) -> eyre::Result<f64> {
    let watched = daemon.watched();
    micros_a_round(|round| {
        let target = &watched[round as usize % watched.len()];
        let now = later(round);
        daemon.table.note_sent(target);
        daemon.table.note_ended(target, Some(Duration::from_millis(20)), now);
    })
}

/// Every target is asked, every peer is told everything, every target is looked at for a choice.
fn naive_costs(daemon: &SyntheticDaemon, product: &[WorkCost]) -> eyre::Result<Vec<WorkCost>> {
    let choice = chain_cost(daemon, choice::least_reported().choose_chain)?;
    let mut whole: TargetTable = daemon.table.clone();
    for (number, target) in daemon.declaration.targets.keys().enumerate() {
        whole.note_report(target, report(number as u32, START), START);
    }
    let targets: Vec<_> = daemon.declaration.targets.keys().cloned().collect();
    let taking = micros_a_round(|round| {
        for target in &targets {
            whole.note_peer_report(target, report(round as u32, later(20_000_000 + round)));
        }
    })?;
    let peers = f64::from(daemon.size.daemons - 1);
    let naive = product.iter().map(|cost| match cost.name {
        "choosing a chain" => WorkCost { micros: choice, ..cost.clone() },
        "load report of a target" => {
            WorkCost { per_second: f64::from(daemon.size.engines), ..cost.clone() }
        }
        "taking in a digest" => WorkCost { micros: taking, per_second: peers, ..cost.clone() },
        _ => cost.clone(),
    });
    Ok(naive.collect())
}
