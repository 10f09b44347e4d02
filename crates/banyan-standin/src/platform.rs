//! The stand-in of the platform: log, instance list and weight store. See [`start`].

mod instances;
mod log_store;
mod routes;

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::watch;

use crate::fault::ConnectionFault;
use crate::fault::LossKind;
use crate::fault::PlatformFault;
use crate::gate::ConnectionGate;
use crate::platform::instances::InstanceTable;
use crate::platform::log_store::LogStore;
use crate::platform::log_store::RateBucket;
use crate::server::RunningServer;
use crate::server::apply_connection_fault;
use crate::server::start_server;
use crate::truth::PlatformTruth;
use banyan_wire::platform::InstanceWire;

/// What a platform is like.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Where it listens.
    pub address: SocketAddr,
    /// The most appends a second.
    pub append_rate: u32,
    /// How long entries are kept.
    pub retention: Duration,
    /// How old the instance list is.
    pub instance_lag: Duration,
    /// The most reads of weights a second.
    pub weight_rate: u32,
    /// The size of the weights of a model, in bytes.
    pub weight_bytes: usize,
    /// Whether it is a process of its own, which a kill ends.
    pub exits: bool,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            append_rate: 400,
            retention: Duration::from_secs(7 * 24 * 3600),
            instance_lag: Duration::ZERO,
            weight_rate: 5,
            weight_bytes: 65_536,
            exits: false,
        }
    }
}

/// A platform that runs in this process and stops when it is dropped.
#[derive(Debug)]
pub struct PlatformHandle {
    /// Where the system reaches it.
    pub address: SocketAddr,
    /// Where control reaches it, whatever fault is set.
    pub control_address: SocketAddr,
    app: Arc<PlatformApp>,
    server: RunningServer,
}

impl PlatformHandle {
    /// Sets a fault.
    pub fn fault(&self, fault: PlatformFault) {
        self.app.apply(fault);
    }

    /// What it took.
    pub fn truth(&self) -> PlatformTruth {
        self.app.lock().log.truth.clone()
    }

    /// Puts a row on the instance list.
    pub fn announce(&self, row: InstanceWire) {
        self.app.lock().instances.put(row);
    }

    /// Stops it.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

/// Starts a platform in this process.
pub async fn start(options: PlatformOptions) -> io::Result<PlatformHandle> {
    let app = Arc::new(PlatformApp::new(&options));
    let server = start_server(options.address, Arc::clone(&app.gate), Arc::clone(&app)).await?;
    let (address, control_address) = (server.address, server.control_address);
    Ok(PlatformHandle { address, control_address, app, server })
}

/// The platform behind its server.
#[derive(Debug)]
struct PlatformApp {
    gate: Arc<ConnectionGate>,
    state: Mutex<PlatformState>,
    /// Counts appends, so that readers can wait for one.
    appended: watch::Sender<u64>,
    weight_bytes: usize,
    exits: bool,
}

/// All that a platform holds.
#[derive(Debug)]
struct PlatformState {
    log: LogStore,
    instances: InstanceTable,
    weights: RateBucket,
    faults: PlatformFaults,
}

/// The faults that are set.
#[derive(Debug, Default)]
struct PlatformFaults {
    delay: Duration,
    reads_out: bool,
    appends_out: bool,
    instances_out: bool,
    lost_answers: u32,
    loss: Option<LossKind>,
    late_appends: u32,
    late_by: Duration,
}

impl PlatformApp {
    fn new(options: &PlatformOptions) -> Self {
        let state = PlatformState {
            log: LogStore::new(options.append_rate, options.retention),
            instances: InstanceTable::new(options.instance_lag),
            weights: RateBucket::new(options.weight_rate),
            faults: PlatformFaults::default(),
        };
        Self {
            gate: ConnectionGate::new(),
            state: Mutex::new(state),
            appended: watch::Sender::new(0),
            weight_bytes: options.weight_bytes,
            exits: options.exits,
        }
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply(&self, fault: PlatformFault) {
        log::info!("platform: fault {fault:?}");
        let mut state = self.lock();
        match fault {
            PlatformFault::Connection(fault) => {
                drop(state);
                self.apply_connection(fault);
            }
            PlatformFault::Slow { delay_ms } => {
                state.faults.delay = Duration::from_millis(delay_ms);
            }
            PlatformFault::LoseAnswers { count, how } => {
                state.faults.lost_answers = count;
                state.faults.loss = Some(how);
            }
            PlatformFault::LateAppends { count, delay_ms } => {
                state.faults.late_appends = count;
                state.faults.late_by = Duration::from_millis(delay_ms);
            }
            PlatformFault::Outage { reads, appends } => {
                state.faults.reads_out = reads;
                state.faults.appends_out = appends;
            }
            PlatformFault::InstanceLag { lag_ms } => {
                state.instances.set_lag(Duration::from_millis(lag_ms));
            }
            PlatformFault::InstanceOutage { out } => state.faults.instances_out = out,
            PlatformFault::Trim { stream, first } => state.log.trim(&stream, first),
            PlatformFault::AppendRate { per_second } => state.log.set_rate(per_second),
        }
    }

    /// The platform's data outlives its processes, so a restart forgets nothing.
    fn apply_connection(&self, fault: ConnectionFault) {
        apply_connection_fault(&self.gate, fault, self.exits);
    }
}
