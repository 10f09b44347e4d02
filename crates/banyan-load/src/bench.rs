//! A whole system in processes on loopback: [`LoadBench`].

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use eyre::OptionExt;
use eyre::bail;
use futures::future::try_join_all;
use serde::Deserialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;
use tokio::time::sleep;
use uuid::Uuid;

use crate::plan::BenchPlan;
use crate::plan::DecisionChoice;
use crate::plan::EnginePlan;
use crate::plan::MODEL;
use crate::plan::ZONE;
use crate::process::BenchProcess;
use banyan_http::client::JsonClient;
use banyan_standin::fault::EngineFault;
use banyan_standin::fault::PlatformFault;
use banyan_wire::log::BodyWire;
use banyan_wire::log::EntryWire;
use banyan_wire::log::FactWire;
use banyan_wire::log::LOG_FORMAT;
use banyan_wire::operator::InForceReply;
use banyan_wire::platform::AppendReply;

/// The time that the entries have to bring the declaration into force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(15);
/// The pause between two looks at whether something has happened.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// The time that a call of the bench itself may take.
const CALL_LIMIT: Duration = Duration::from_secs(2);
/// The time in which every entry has probed every engine and has a load report.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// Where a stand-in listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct StandinReady {
    /// For the system.
    pub address: SocketAddr,
    /// For control.
    pub control_address: SocketAddr,
}

/// Where an entry listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct EntryReady {
    /// For callers.
    pub caller_address: SocketAddr,
    /// For operators.
    pub operator_address: SocketAddr,
}

/// An engine of the bench.
#[derive(Debug)]
pub struct BenchEngine {
    /// What it is.
    pub plan: EnginePlan,
    /// Where it listens.
    pub ready: StandinReady,
    /// The process.
    pub process: BenchProcess,
}

/// An entry of the bench.
#[derive(Debug)]
pub struct BenchEntry {
    /// Where it listens.
    pub ready: EntryReady,
    /// The process.
    pub process: BenchProcess,
}

/// All processes of an experiment; dropping it ends them.
#[derive(Debug)]
pub struct LoadBench {
    /// What it consists of.
    pub plan: BenchPlan,
    /// Where the platform listens.
    pub platform: StandinReady,
    /// The engines, in the order of the plan.
    pub engines: Vec<BenchEngine>,
    /// The entries.
    pub entries: Vec<BenchEntry>,
    platform_process: BenchProcess,
    client: JsonClient,
    truth_directory: PathBuf,
}

impl Drop for LoadBench {
    fn drop(&mut self) {
        if let Err(error) = std::fs::remove_dir_all(&self.truth_directory) {
            log::warn!("bench: {} is left behind: {error}", self.truth_directory.display());
        }
    }
}

impl LoadBench {
    /// Starts everything and waits until every entry has the declaration in force.
    pub async fn start(plan: BenchPlan) -> eyre::Result<Self> {
        let truth_directory = std::env::temp_dir().join(format!("banyan-load-{}", Uuid::new_v4()));
        std::fs::create_dir_all(&truth_directory)?;
        let name = SmolStr::new_static("platform");
        let arguments = ["platform".to_owned()];
        let (platform_process, platform) =
            BenchProcess::start(name, "banyan-standin", &arguments).await?;
        let mut bench = Self {
            plan,
            platform,
            engines: Vec::new(),
            entries: Vec::new(),
            platform_process,
            client: JsonClient::new(CALL_LIMIT),
            truth_directory,
        };
        let engines = bench.plan.engines();
        let started = engines.into_iter().map(|engine| bench.start_engine(engine, None));
        bench.engines = try_join_all(started).await?;
        let started = (0..bench.plan.entries).map(|index| bench.start_entry(index));
        bench.entries = try_join_all(started).await?;
        bench.apply().await?;
        bench.wait_in_force().await?;
        sleep(SETTLE_TIME).await;
        Ok(bench)
    }

    /// Starts an engine, on an address that it had before or on a free one.
    async fn start_engine(
        &self,
        engine: EnginePlan,
        address: Option<SocketAddr>,
    ) -> eyre::Result<BenchEngine> {
        let plan = &self.plan;
        let text = |value: &str| value.to_owned();
        let mut arguments = vec![
            text("engine"),
            format!("--name={}", engine.name),
            format!("--model={MODEL}"),
            format!("--model-layers={}", plan.layers),
            format!("--layers={}", engine.layers),
            format!("--batch={}", plan.batch),
            format!("--step-ms={}", engine.step_time.as_millis()),
            format!("--prefill-rate={}", plan.prefill_rate),
            format!("--cache-limit={}", plan.cache_limit),
            format!("--cache-gaps={}", plan.cache_gaps),
            format!("--truth-file={}", self.truth_file(&engine.name).display()),
            format!("--platform={}", self.platform.address),
            format!("--zone={ZONE}"),
        ];
        arguments.extend(address.map(|address| format!("--address={address}")));
        arguments.extend(plan.poison.iter().map(|prompt| format!("--poison={prompt}")));
        let name = engine.name.clone();
        let (process, ready) = BenchProcess::start(name, "banyan-standin", &arguments).await?;
        Ok(BenchEngine { plan: engine, ready, process })
    }

    /// Starts an entry.
    pub async fn start_entry(&self, index: usize) -> eyre::Result<BenchEntry> {
        let name = format_smolstr!("entry-{index}");
        let mut arguments = Vec::new();
        let program = match self.plan.decisions {
            DecisionChoice::Product => "banyan-entry",
            naive => {
                arguments.push("naive-entry".to_owned());
                arguments.push(format!("--decisions={}", naive.name()));
                "banyan-load"
            }
        };
        arguments.extend([
            format!("--instance={name}"),
            format!("--zone={ZONE}"),
            "--caller-address=127.0.0.1:0".to_owned(),
            "--peer-address=127.0.0.1:0".to_owned(),
            "--operator-address=127.0.0.1:0".to_owned(),
            format!("--platform-address={}", self.platform.address),
            format!("--capacity={}", self.plan.capacity),
        ]);
        let (process, ready) = BenchProcess::start(name, program, &arguments).await?;
        Ok(BenchEntry { ready, process })
    }

    /// Starts an engine that has ended again, with the address that it had.
    pub async fn restart_engine(&mut self, index: usize) -> eyre::Result<()> {
        let old = self.engines.get(index).ok_or_eyre("no such engine")?;
        let address = old.ready.address;
        self.engines[index] = self.start_engine(old.plan.clone(), Some(address)).await?;
        Ok(())
    }

    /// Publishes the declaration of everything that was started.
    async fn apply(&self) -> eyre::Result<()> {
        let addresses: Vec<SocketAddr> =
            self.engines.iter().map(|engine| engine.ready.address).collect();
        let body = BodyWire::Proposal {
            file: SmolStr::new_static("bench.jsonc"),
            base: 0,
            author: SmolStr::new_static("banyan-load"),
            text: self.plan.declaration(&addresses),
        };
        let fact = FactWire { id: format_smolstr!("{}", Uuid::new_v4()), body };
        let entry = EntryWire { format: LOG_FORMAT, facts: vec![fact] };
        let path = "/log/configuration";
        let _: AppendReply = self.client.post(self.platform.address, path, &entry).await?;
        Ok(())
    }

    async fn wait_in_force(&self) -> eyre::Result<()> {
        for entry in &self.entries {
            self.wait_entry(entry).await?;
        }
        Ok(())
    }

    /// Waits until an entry has the declaration in force.
    pub async fn wait_entry(&self, entry: &BenchEntry) -> eyre::Result<()> {
        let until = Instant::now() + IN_FORCE_LIMIT;
        while !self.is_in_force(entry).await {
            if Instant::now() > until {
                bail!("{} has no declaration in force: see its log", entry.process.name);
            }
            sleep(LOOK_PAUSE).await;
        }
        Ok(())
    }

    async fn is_in_force(&self, entry: &BenchEntry) -> bool {
        let path = "/operator/in-force";
        let reply: Result<InForceReply, _> =
            self.client.get(entry.ready.operator_address, path).await;
        reply.is_ok_and(|reply| !reply.files.is_empty())
    }

    /// Where callers reach the entries.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.ready.caller_address).collect()
    }

    /// Sets a fault of an engine. One that ends the process gives no answer.
    pub async fn fault_engine(&self, index: usize, fault: &EngineFault) {
        let Some(engine) = self.engines.get(index) else { return };
        let address = engine.ready.control_address;
        let _: Result<(), _> = self.client.post(address, "/control", fault).await;
    }

    /// Sets a fault of the platform.
    pub async fn fault_platform(&self, fault: &PlatformFault) {
        let address = self.platform.control_address;
        let _: Result<(), _> = self.client.post(address, "/control", fault).await;
    }

    /// The file in which an engine writes what it ran.
    pub fn truth_file(&self, engine: &str) -> PathBuf {
        self.truth_directory.join(format!("{engine}.jsonl"))
    }

    /// Ends the entries and engines in order, so that what ran is written down.
    pub async fn stop(&mut self) -> eyre::Result<()> {
        for entry in &mut self.entries {
            entry.process.kill().await?;
        }
        for engine in &mut self.engines {
            engine.process.kill().await?;
        }
        self.platform_process.kill().await
    }
}
