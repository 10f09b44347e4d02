//! The stand-in of a model engine that holds a range of layers. See [`start`].
//!
//! `lineage` decides what becomes of a step, `prefix` holds the prefix cache, `runner` runs
//! the batches and `routes` speaks HTTP.

mod lineage;
mod prefix;
mod routes;
mod runner;
mod state;
mod stream;

use std::fs::File;
use std::io;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::engine::state::EngineState;
use crate::fault::ConnectionFault;
use crate::fault::EngineFault;
use crate::gate::ConnectionGate;
use crate::server::RunningServer;
use crate::server::apply_connection_fault;
use crate::server::start_server;
use crate::truth::EngineTruth;
use crate::truth::RunRow;
use banyan_core::ids::LayerRange;

/// What an engine is like.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its name.
    pub name: SmolStr,
    /// The model it holds.
    pub model: SmolStr,
    /// The number of layers of the whole model.
    pub model_layers: u32,
    /// The layers that it holds.
    pub layers: LayerRange,
    /// The most steps in one batch.
    pub batch: usize,
    /// The time that a batch takes.
    pub step_time: Duration,
    /// Prompt tokens that it reads a second.
    pub prefill_rate: u64,
    /// Tokens that the prefix cache holds.
    pub cache_limit: u64,
    /// The most steps that wait.
    pub queue_limit: usize,
    /// The speed of the link to it; zero takes no time.
    pub link_bytes_per_second: u64,
    /// How old the load report is.
    pub load_lag: Duration,
    /// How late cache events are published.
    pub cache_lag: Duration,
    /// Of this many cache events one is lost; zero loses none.
    pub cache_gaps: u64,
    /// The number of tokens after which the model ends an answer by itself.
    pub answer_tokens: Option<u64>,
    /// The time that an order to load takes.
    pub load_time: Duration,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fence: bool,
    /// Prompts that crash it.
    pub poison: Vec<String>,
    /// A file that the runs are appended to, one JSON line each.
    pub truth_file: Option<PathBuf>,
    /// Whether it is a process of its own, which a kill ends.
    pub exits: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            name: SmolStr::new_static("engine"),
            model: SmolStr::new_static("model"),
            model_layers: 12,
            layers: LayerRange { first: 0, end: 12 },
            batch: 8,
            step_time: Duration::from_millis(10),
            prefill_rate: 20_000,
            cache_limit: 65_536,
            queue_limit: 4096,
            link_bytes_per_second: 0,
            load_lag: Duration::from_millis(200),
            cache_lag: Duration::from_millis(200),
            cache_gaps: 0,
            answer_tokens: None,
            load_time: Duration::from_millis(100),
            checks_fence: true,
            poison: Vec::new(),
            truth_file: None,
            exits: false,
        }
    }
}

/// An engine that runs in this process and stops when it is dropped.
#[derive(Debug)]
pub struct EngineHandle {
    /// Where the system reaches it.
    pub address: SocketAddr,
    /// Where control reaches it, whatever fault is set.
    pub control_address: SocketAddr,
    app: Arc<EngineApp>,
    server: RunningServer,
}

impl EngineHandle {
    /// Sets a fault.
    pub fn fault(&self, fault: EngineFault) {
        self.app.apply(fault);
    }

    /// What it ran.
    pub fn truth(&self) -> EngineTruth {
        self.app.lock().truth.clone()
    }

    /// Its present run.
    pub fn incarnation(&self) -> SmolStr {
        self.app.lock().truth.incarnation.clone()
    }

    /// Stops it.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

/// Starts an engine in this process.
pub async fn start(options: EngineOptions) -> io::Result<EngineHandle> {
    let truth_file = match &options.truth_file {
        Some(path) => Some(File::options().create(true).append(true).open(path)?),
        None => None,
    };
    let address = options.address;
    let app = Arc::new(EngineApp {
        gate: ConnectionGate::new(),
        state: Mutex::new(EngineState::new(&options)),
        arrived: Notify::new(),
        truth_file,
        options,
    });
    let mut server = start_server(address, Arc::clone(&app.gate), Arc::clone(&app)).await?;
    let batches = tokio::spawn(runner::run_batches(Arc::clone(&app)));
    let reports = tokio::spawn(runner::publish_reports(Arc::clone(&app)));
    server.attach(batches.abort_handle());
    server.attach(reports.abort_handle());
    let (address, control_address) = (server.address, server.control_address);
    Ok(EngineHandle { address, control_address, app, server })
}

/// The engine behind its server.
#[derive(Debug)]
struct EngineApp {
    gate: Arc<ConnectionGate>,
    state: Mutex<EngineState>,
    /// Wakes the runner when a step arrives.
    arrived: Notify,
    truth_file: Option<File>,
    options: EngineOptions,
}

impl EngineApp {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply(&self, fault: EngineFault) {
        log::info!("engine {}: fault {fault:?}", self.options.name);
        let mut state = self.lock();
        match fault {
            EngineFault::Connection(fault) => {
                drop(state);
                self.apply_connection(fault);
            }
            EngineFault::Slow { percent } => state.faults.slow_percent = percent,
            EngineFault::Link { bytes_per_second } => state.faults.link_rate = bytes_per_second,
            EngineFault::LoseAnswers { count, how } => {
                state.faults.lost_answers = count;
                state.faults.loss = Some(how);
            }
            EngineFault::DuplicateAnswers { count } => state.faults.duplicates = count,
            EngineFault::CrossAnswers { count } => state.faults.crossings = count,
            EngineFault::CacheGaps { every } => state.prefixes.set_gaps(every),
            EngineFault::Poison { prompts } => state.set_poison(&prompts),
            EngineFault::Leaving { leaving } => state.leaving = leaving,
        }
    }

    fn apply_connection(&self, fault: ConnectionFault) {
        if matches!(fault, ConnectionFault::Kill | ConnectionFault::Restart) {
            self.lock().forget_all();
        }
        apply_connection_fault(&self.gate, fault, self.options.exits);
    }

    /// Ends this run as a crash does: everything in memory is lost and connections break.
    fn crash(&self) {
        log::warn!("engine {}: crashed", self.options.name);
        self.apply_connection(ConnectionFault::Kill);
    }

    /// Appends runs to the truth file, before their answers go out.
    fn write_truth(&self, runs: &[RunRow]) {
        let Some(mut file) = self.truth_file.as_ref() else { return };
        let mut lines = Vec::new();
        for run in runs {
            // A row of plain text and numbers is always JSON.
            let _ = serde_json::to_writer(&mut lines, run);
            lines.push(b'\n');
        }
        if let Err(error) = file.write_all(&lines) {
            log::error!("engine {}: the truth file cannot be written: {error}", self.options.name);
        }
    }
}
