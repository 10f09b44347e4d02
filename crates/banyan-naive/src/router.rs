//! A small entry in the obvious way, over the whole path of a request: [`NaiveRouter`].
//!
//! It speaks the callers' interface and runs inside a test, against the same stand-ins as the
//! product. Each of its choices is what one writes first, and each breaks a point that must hold:
//!
//! | matter | the naive choice | what breaks |
//! |---|---|---|
//! | keys | remembered in the process, or claimed by an append on whose answer it sends | a call runs twice |
//! | failed calls | sent again, whatever the call | a call runs twice |
//! | no answer in time | told 'not run', while its task goes on | 'not run', and it ran |
//! | a failed step | sent elsewhere alone, or the answer begun anew | a layer is skipped or runs twice |
//! | a broken stream | taken for the end of the answer | a part passes for the whole |
//! | answers of steps | the first one on the connection, whatever its step | another caller's answer |
//! | configuration | the last proposal read, whatever its base | an accepted file is reverted |
//! | checkpoints | the newest is the state, whatever it covers | an accepted file is reverted |
//! | leaving targets | the instance list as read at the start | new work for a leaving target |
//! | stop | at once | a request is cut |

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

/// How the router keeps a call with a key from running twice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyDeduplication {
    /// It remembers in this process the answers that it gave.
    Process,
    /// It looks for the key in a stream of the log, appends it and sends once that was answered.
    LoggedClaims,
}

/// What the router does where a step has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepFailure {
    /// It takes the answer for ended.
    EndAnswer,
    /// It sends that step alone to another engine, whose cache lacks the tokens before.
    RetryStepElsewhere,
    /// It begins the answer anew, with another engine at that stage.
    RestartAnswer,
}

/// How a router behaves.
#[derive(Clone, Copy, Debug)]
pub struct NaiveOptions {
    /// Where the platform is.
    pub platform: SocketAddr,
    /// How it treats keys.
    pub keys: KeyDeduplication,
    /// How it treats failed steps.
    pub steps: StepFailure,
    /// The time that one try of a call or a step may take.
    pub try_timeout: Duration,
    /// The time after which the caller of a service is told 'not run'.
    pub caller_timeout: Duration,
}

impl NaiveOptions {
    /// The simplest choices with a platform.
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
    /// Where callers reach it.
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
        platform::read_list(&state).await?;
        let routes = callers::routes(state.clone());
        let server = banyan_http::server::serve(listener, routes, std::future::pending());
        let tasks =
            vec![tokio::spawn(server), tokio::spawn(platform::follow_configuration(state.clone()))];
        Ok(Self { caller_address, state, tasks })
    }

    /// The offset up to which it has read the configuration.
    pub fn configuration_next(&self) -> u64 {
        self.state.tables().next
    }

    /// How many appends of claims were not answered.
    pub fn failed_claims(&self) -> u64 {
        self.state.tables().failed_claims
    }

    /// Stops it at once.
    pub fn stop(&mut self) {
        self.tasks.drain(..).for_each(|task| task.abort());
    }
}

impl Drop for NaiveRouter {
    fn drop(&mut self) {
        self.stop();
    }
}
