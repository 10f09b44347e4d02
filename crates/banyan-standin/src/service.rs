//! The stand-in of a plain service's replica. See [`start`].

mod routes;

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::fault::LossKind;
use crate::fault::ServiceFault;
use crate::gate::ConnectionGate;
use crate::server::RunningServer;
use crate::server::apply_connection_fault;
use crate::server::start_server;
use crate::truth::CallRow;
use crate::truth::ServiceTruth;

/// What a service replica is like.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its name.
    pub name: SmolStr,
    /// The time that a call takes.
    pub delay: Duration,
    /// Whether it is a process of its own, which a kill ends.
    pub exits: bool,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            name: SmolStr::new_static("service"),
            delay: Duration::from_millis(5),
            exits: false,
        }
    }
}

/// The answer to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallReply {
    /// The call.
    pub call: SmolStr,
    /// The replica's name.
    pub replica: SmolStr,
    /// Which run of this body this was, from one.
    pub run: u64,
}

/// A service replica that runs in this process and stops when it is dropped.
#[derive(Debug)]
pub struct ServiceHandle {
    /// Where the system reaches it.
    pub address: SocketAddr,
    /// Where control reaches it, whatever fault is set.
    pub control_address: SocketAddr,
    app: Arc<ServiceApp>,
    server: RunningServer,
}

impl ServiceHandle {
    /// Sets a fault.
    pub fn fault(&self, fault: ServiceFault) {
        self.app.apply(fault);
    }

    /// What it ran.
    pub fn truth(&self) -> ServiceTruth {
        self.app.lock().truth.clone()
    }

    /// How often it ran each body.
    pub fn runs_by_body(&self) -> BTreeMap<String, u64> {
        self.app.lock().by_body.clone()
    }

    /// Stops it.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

/// Starts a service replica in this process.
pub async fn start(options: ServiceOptions) -> io::Result<ServiceHandle> {
    let truth = ServiceTruth { name: options.name.clone(), runs: Vec::new() };
    let state = ServiceState { truth, ..ServiceState::default() };
    let address = options.address;
    let app =
        Arc::new(ServiceApp { gate: ConnectionGate::new(), state: Mutex::new(state), options });
    let server = start_server(address, Arc::clone(&app.gate), Arc::clone(&app)).await?;
    let (address, control_address) = (server.address, server.control_address);
    Ok(ServiceHandle { address, control_address, app, server })
}

/// The service behind its server.
#[derive(Debug)]
struct ServiceApp {
    gate: Arc<ConnectionGate>,
    state: Mutex<ServiceState>,
    options: ServiceOptions,
}

/// All that a service holds.
#[derive(Debug, Default)]
struct ServiceState {
    truth: ServiceTruth,
    by_body: BTreeMap<String, u64>,
    slow_percent: Option<u32>,
    lost_answers: u32,
    loss: Option<LossKind>,
    failures: u32,
    changed_answers: u32,
    changed_status: StatusCode,
    leaving: bool,
}

impl ServiceState {
    /// Runs a call and gives which run of its body this was.
    fn run(&mut self, row: CallRow) -> u64 {
        let count = self.by_body.entry(row.body.clone()).or_default();
        *count += 1;
        let run = *count;
        self.truth.runs.push(row);
        run
    }

    /// The status of the next answer.
    fn take_status(&mut self) -> StatusCode {
        if self.changed_answers == 0 {
            return StatusCode::OK;
        }
        self.changed_answers -= 1;
        self.changed_status
    }

    /// How the answer is lost, if it is.
    fn take_loss(&mut self) -> Option<LossKind> {
        if self.lost_answers == 0 {
            return None;
        }
        self.lost_answers -= 1;
        self.loss
    }
}

impl ServiceApp {
    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply(&self, fault: ServiceFault) {
        log::info!("service {}: fault {fault:?}", self.options.name);
        let mut state = self.lock();
        match fault {
            ServiceFault::Connection(fault) => {
                drop(state);
                apply_connection_fault(&self.gate, fault, self.options.exits);
            }
            ServiceFault::Slow { percent } => state.slow_percent = Some(percent),
            ServiceFault::LoseAnswers { count, how } => {
                state.lost_answers = count;
                state.loss = Some(how);
            }
            ServiceFault::AnswerStatus { count, status } => {
                state.changed_answers = count;
                state.changed_status = StatusCode::from_u16(status).unwrap_or_default();
            }
            ServiceFault::Fail { count } => state.failures = count,
            ServiceFault::Leaving { leaving } => state.leaving = leaving,
        }
    }
}
