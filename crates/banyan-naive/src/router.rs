//! A naive entry that covers the whole path of a request: [`NaiveRouter`].
//!
//! It serves the callers' interface and runs inside a test, against the same stand-ins as the
//! product. Each choice is the simplest implementation, and each violates a guarantee:
//!
//! | subject | naive choice | violation |
//! |---|---|---|
//! | keys | kept in the process, or sent after an acknowledged claim append | a call runs twice |
//! | failed calls | retried, even if not idempotent | a call runs twice |
//! | timeout | 'not run', while the call continues | a call reported as 'not run' has run |
//! | failed step | retried alone elsewhere, or answer restarted | layers are skipped or run twice |
//! | broken stream | treated as the end | an incomplete answer is reported as complete |
//! | step answers | first answer on the connection, for any step | another caller's answer |
//! | configuration | last proposal read, base not checked | an accepted file is reverted |
//! | checkpoints | newest is the state, coverage not checked | an accepted file is reverted |
//! | leaving targets | instance list read only at startup | a leaving target gets new work |
//! | stop | immediate | a request is interrupted |

mod answers;
mod callers;
mod calls;
mod platform;
mod tables;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::router::tables::RouterState;

/// How the router deduplicates calls that have an idempotency key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyDeduplication {
    /// Stores the answers in this process.
    Process,
    /// Looks up the key in a log stream, appends it, and sends the call once the append is
    /// acknowledged.
    LoggedClaims,
}

/// What the router does when a step gets no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepFailure {
    /// Ends the answer as if it were complete.
    EndAnswer,
    /// Sends only that step to another engine, whose cache lacks the earlier tokens.
    RetryStepElsewhere,
    /// Restarts the answer with another engine at that stage.
    RestartAnswer,
}

/// Options of a [`NaiveRouter`].
#[derive(Clone, Copy, Debug)]
pub struct NaiveOptions {
    /// The address of the platform.
    pub platform: SocketAddr,
    /// How calls with an idempotency key are deduplicated.
    pub keys: KeyDeduplication,
    /// How failed steps are handled.
    pub steps: StepFailure,
    /// The timeout of one attempt of a call or a step.
    pub try_timeout: Duration,
    /// The time after which a service call is reported to its caller as 'not run'.
    pub caller_timeout: Duration,
}

impl NaiveOptions {
    /// Returns the simplest choices, with timeouts of 2 s per attempt and 10 s per call.
    pub fn new(platform: SocketAddr) -> Self {
        Self {
            platform,
            keys: KeyDeduplication::Process,
            steps: StepFailure::EndAnswer,
            try_timeout: Duration::from_secs(2),
            caller_timeout: Duration::from_secs(10),
        }
    }
}

/// A router that runs in this process.
#[derive(Debug)]
pub struct NaiveRouter {
    /// The address that accepts requests of callers.
    pub caller_address: SocketAddr,
    state: Arc<RouterState>,
    tasks: Vec<JoinHandle<()>>,
}

impl NaiveRouter {
    /// Starts a router: reads the instance list once and follows the configuration.
    pub async fn start(options: NaiveOptions) -> eyre::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let caller_address = listener.local_addr()?;
        let state = Arc::new(RouterState::new(options, caller_address));
        platform::read_instance_list(&state).await?;
        let routes = callers::routes(state.clone());
        let server = banyan_http::server::serve(listener, routes, std::future::pending());
        let tasks =
            vec![tokio::spawn(server), tokio::spawn(platform::follow_configuration(state.clone()))];
        Ok(Self { caller_address, state, tasks })
    }

    /// The log offset of the next configuration entry to read.
    pub fn configuration_next(&self) -> u64 {
        self.state.tables().next_offset
    }

    /// The number of claim appends that failed.
    pub fn failed_claims(&self) -> u64 {
        self.state.tables().failed_claims
    }

    /// Aborts all tasks, and with them the requests in progress.
    pub fn stop(&mut self) {
        self.tasks.drain(..).for_each(|task| task.abort());
    }
}

impl Drop for NaiveRouter {
    fn drop(&mut self) {
        self.stop();
    }
}
