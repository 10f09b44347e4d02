//! One daemon of a fleet of a given size, with tables as they would be: [`SyntheticDaemon`].

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use eyre::OptionExt;
use smol_str::SmolStr;

use banyan_config::declaration::merge_files;
use banyan_core::declaration::Declaration;
use banyan_core::ids::FileId;
use banyan_core::ids::InstanceId;
use banyan_core::ids::TargetId;
use banyan_core::ids::WorkspaceId;
use banyan_core::ids::ZoneId;
use banyan_core::record::ContentDigest;
use banyan_core::serving::admission::AdmissionQueue;
use banyan_core::serving::budget::RetryBudget;
use banyan_core::serving::capacity::capacity_share;
use banyan_core::serving::exchange::ExchangeState;
use banyan_core::serving::limits::LimitTable;
use banyan_core::serving::limits::UsagePage;
use banyan_core::serving::poison::SuspectTable;
use banyan_core::serving::ring::InstanceRing;
use banyan_core::serving::ring::LiveInstances;
use banyan_core::serving::subset::narrow_groups;
use banyan_core::serving::targets::ReportedLoad;
use banyan_core::serving::targets::TargetTable;
use banyan_core::units::Moment;

/// Models, whatever the size.
pub const MODELS: u32 = 36;
/// Layers of each model.
const LAYERS: u32 = 48;
/// Stages that the layers of a model are split into.
const STAGES: u32 = 4;
/// Availability zones.
const ZONES: u32 = 9;
/// Availability zones of a region.
const ZONES_PER_REGION: u32 = 3;
/// Workspaces in one declaration file.
const WORKSPACES_PER_FILE: u32 = 100;
/// The time at which the tables stand, long after the start.
pub const START: Moment = Moment(3_600_000_000);

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Daemons.
    pub daemons: u32,
    /// Engines.
    pub engines: u32,
    /// Workspaces.
    pub workspaces: u32,
    /// Requests a second over all daemons.
    pub requests: f64,
    /// Changes of configuration a day.
    pub changes: f64,
    /// Daemons that leave, fail or are replaced, a day.
    pub restarts: f64,
}

impl FleetSize {
    /// A part of the size that the project is sized for.
    pub fn part(part: f64) -> Self {
        let scaled = |whole: f64| (whole * part).round() as u32;
        Self {
            daemons: scaled(470.0),
            engines: scaled(5300.0),
            workspaces: scaled(8000.0),
            requests: 26_000.0 * part,
            changes: 5200.0 * part,
            restarts: 2145.0 * part,
        }
    }

    /// Requests a second at one daemon.
    pub fn own_requests(&self) -> f64 {
        self.requests / f64::from(self.daemons)
    }
}

/// One daemon's state.
#[derive(Debug)]
pub struct SyntheticDaemon {
    /// The size of the fleet.
    pub size: FleetSize,
    /// The declaration files.
    pub files: BTreeMap<FileId, Arc<str>>,
    /// The declaration in force.
    pub declaration: Declaration,
    /// The live instances.
    pub live: LiveInstances,
    /// This daemon.
    pub own: InstanceId,
    /// Its place among them.
    pub ring: InstanceRing,
    /// The targets.
    pub table: TargetTable,
    /// Limits of requests.
    pub limits: LimitTable,
    /// Limits of tokens.
    pub token_limits: LimitTable,
    /// The queue.
    pub admission: AdmissionQueue,
    /// Retries.
    pub budget: RetryBudget,
    /// Suspects.
    pub suspects: SuspectTable,
    /// Where the exchange stands.
    pub exchange: ExchangeState,
}

impl SyntheticDaemon {
    /// A daemon that has run for long.
    pub fn build(size: FleetSize, seed: u64) -> eyre::Result<Self> {
        let files = declaration_files(size);
        let declaration = merge_files(&files).map_err(|error| eyre::eyre!(error))?;
        let live = live_instances(size.daemons);
        let own = instance_name((seed % u64::from(size.daemons)) as u32);
        let ring = InstanceRing::of(&live, &own).ok_or_eyre("the own instance is not live")?;
        let mut daemon = Self {
            size,
            files,
            live,
            own,
            ring,
            table: TargetTable::default(),
            limits: LimitTable::default(),
            token_limits: LimitTable::default(),
            admission: AdmissionQueue::default(),
            budget: RetryBudget::default(),
            suspects: SuspectTable::default(),
            exchange: ExchangeState::default(),
            declaration,
        };
        daemon.fill();
        Ok(daemon)
    }

    /// The targets that this daemon asks for their load.
    pub fn watched(&self) -> Vec<TargetId> {
        self.table.groups.all().flat_map(|group| group.watched.iter().cloned()).collect()
    }

    fn fill(&mut self) {
        self.table.apply_declaration(&self.declaration, Moment(0));
        narrow_groups(&mut self.table, &self.ring);
        let near: Vec<TargetId> =
            self.table.groups.all().flat_map(|group| group.near.iter().cloned()).collect();
        for (number, target) in near.iter().enumerate() {
            self.table.note_report(target, report(number as u32, START), START);
        }
        let capacity = capacity_share(&self.declaration, self.size.daemons);
        self.admission = AdmissionQueue { capacity, queue_limit: 1000, ..Default::default() };
        let page = UsagePage {
            rows: self.declaration.workspaces.keys().map(|name| (name.clone(), 50)).collect(),
            whole: true,
        };
        for table in [&mut self.limits, &mut self.token_limits] {
            table.set_live(u64::from(self.size.daemons));
            table.note_usage(&page, START);
        }
        for (number, workspace) in self.declaration.workspaces.keys().enumerate() {
            let group = SmolStr::from(model_name(number as u32 % MODELS));
            self.budget.pay(workspace, &group, 20);
        }
        for content in 0..100 {
            let run = SmolStr::new_static("run-1");
            let contents = [ContentDigest(content)].into();
            self.suspects.note_crash(&near[content as usize % near.len()], &run, &contents);
        }
    }
}

/// A load report.
pub fn report(number: u32, measured: Moment) -> ReportedLoad {
    ReportedLoad {
        incarnation: SmolStr::new_static("run-1"),
        load: number % 20,
        streams: number % 60,
        step_time: Duration::from_millis(20),
        measured,
    }
}

/// The live instances of a fleet.
pub fn live_instances(daemons: u32) -> LiveInstances {
    (0..daemons).map(|number| (instance_name(number), zone_name(number))).collect()
}

/// A workspace of the fleet by number.
pub fn workspace_name(number: u32) -> WorkspaceId {
    parse(format!("workspace-{number:04}"))
}

/// A model's name by number.
pub fn model_name(number: u32) -> String {
    format!("model-{number:02}")
}

fn instance_name(number: u32) -> InstanceId {
    parse(format!("entry-{number:03}"))
}

fn zone_name(number: u32) -> ZoneId {
    parse(format!("zone-{}", number % ZONES))
}

fn declaration_files(size: FleetSize) -> BTreeMap<FileId, Arc<str>> {
    let mut files = BTreeMap::new();
    let zones: Vec<String> = (0..ZONES)
        .map(|zone| {
            let region = zone / ZONES_PER_REGION;
            format!(r#"{{"name": "zone-{zone}", "region": "region-{region}"}}"#)
        })
        .collect();
    insert(&mut files, "zones", format!(r#"{{"zones": [{}]}}"#, zones.join(",\n")));
    for first in (0..size.workspaces).step_by(WORKSPACES_PER_FILE as usize) {
        let last = (first + WORKSPACES_PER_FILE).min(size.workspaces);
        insert(&mut files, &format!("workspaces-{first:04}"), workspaces_text(first, last));
    }
    for model in 0..MODELS {
        insert(&mut files, &model_name(model), model_text(size, model));
    }
    files
}

fn insert(files: &mut BTreeMap<FileId, Arc<str>>, name: &str, text: String) {
    files.insert(parse(name.to_owned()), text.into());
}

fn workspaces_text(first: u32, last: u32) -> String {
    let rows: Vec<String> = (first..last)
        .map(|number| {
            format!(
                r#"{{"name": "workspace-{number:04}", "token_digests": ["{number:064x}"], "share": 1, "requests_per_second": 100}}"#
            )
        })
        .collect();
    format!("{{\"workspaces\": [\n{}\n]}}\n", rows.join(",\n"))
}

fn model_text(size: FleetSize, model: u32) -> String {
    let name = model_name(model);
    let mut text =
        format!(r#"{{"models": [{{"name": "{name}", "layers": {LAYERS}}}], "targets": ["#);
    let mut separator = "\n";
    for number in (model..size.engines).step_by(MODELS as usize) {
        let stage = number / MODELS % STAGES;
        let first = stage * LAYERS / STAGES;
        let last = first + LAYERS / STAGES - 1;
        let port = 1024 + number;
        let zone = number / MODELS / STAGES % ZONES;
        let written = write!(
            text,
            r#"{separator}{{"name": "engine-{number:04}", "address": "127.0.0.1:{port}", "zone": "zone-{zone}", "engine": {{"model": "{name}", "layers": "{first}-{last}", "batch": 16, "accelerator": "kind-{}", "step_ms": 20, "link_bytes_per_second": 100000000}}}}"#,
            number % 4,
        );
        // Writing to a string cannot fail.
        debug_assert!(written.is_ok());
        separator = ",\n";
    }
    text.push_str("\n]}\n");
    text
}

fn parse<T: std::str::FromStr>(name: String) -> T
where
    T::Err: std::fmt::Debug,
{
    name.parse().expect("names of the synthetic fleet hold only characters that names may hold")
}
