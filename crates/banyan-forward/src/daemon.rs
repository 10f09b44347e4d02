//! Startup and shutdown of the daemon: [`start`] returns a [`RunningForwarder`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::callers::front;
use crate::callers::readiness;
use crate::decisions::placement;
use crate::edges::Platform;
use crate::engines::attempt_watch;
use crate::engines::checks;
use crate::engines::probes;
use crate::peers::answers;
use crate::peers::news;
use crate::peers::rounds;
use crate::settings::ForwardSettings;
use crate::state::DaemonPhase;
use crate::state::ForwardState;
use crate::store::feeds;

/// The time after a stop request during which new requests are still served. The load balancer
/// needs it to notice that the instance is no longer ready.
const NOTICE_TIME: Duration = Duration::from_millis(2_800);
/// The shortest time after the notice time during which new requests are refused, so that callers
/// retry at other instances.
const REFUSE_TIME: Duration = Duration::from_millis(500);
/// The time between two checks for active requests during shutdown.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The time limit for leaving the group.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(250);
/// The time for which the requests on the last accepted connections are answered.
const CLOSE_TIME: Duration = Duration::from_millis(150);
/// The part at the end of the stop time that is reserved for leaving the group and ending the
/// daemon's tasks. It exceeds [`LEAVE_TIMEOUT`] and [`CLOSE_TIME`] together.
const STOP_MARGIN: Duration = Duration::from_millis(600);

/// A running daemon.
#[derive(Debug)]
pub struct RunningForwarder<P> {
    /// The state that its tasks share.
    pub state: Arc<ForwardState<P>>,
    /// The bound address for callers.
    pub caller_address: SocketAddr,
    /// The bound address for the load balancer's readiness checks.
    pub ready_address: SocketAddr,
    tasks: JoinSet<()>,
}

/// Starts a daemon: binds its addresses and spawns its tasks. Metrics are served only if both
/// `metrics` and the metrics address of the settings are given.
pub async fn start<P: Platform>(
    mut settings: ForwardSettings,
    platform: P,
    metrics: Option<PrometheusHandle>,
) -> eyre::Result<RunningForwarder<P>> {
    let callers = bind(settings.caller_address, "the callers' address").await?;
    let ready = bind(settings.ready_address, "the balancer's address").await?;
    let peer_listener = bind(settings.peer_address, "the peers' address").await?;
    let caller_address = callers.local_addr()?;
    let ready_address = ready.local_addr()?;
    // The bound address is announced to peers, since the settings may have port 0.
    settings.peer_address = peer_listener.local_addr()?;
    let mut tasks = JoinSet::new();
    let metrics = match (settings.metrics_address, metrics) {
        (Some(address), Some(handle)) => {
            Some((bind(address, "the metrics address").await?, handle))
        }
        _ => None,
    };
    let instance = settings.instance.clone();
    let state = Arc::new(ForwardState::new(settings, platform));
    if let Some((listener, handle)) = metrics {
        tasks.spawn(readiness::serve_metrics(state.clone(), handle, listener));
    }
    tasks.spawn(feeds::follow_configuration(state.clone()));
    tasks.spawn(feeds::follow_fleet(state.clone()));
    tasks.spawn(attempt_watch::review_unanswered(state.clone()));
    tasks.spawn(news::run_source(state.clone()));
    tasks.spawn(placement::run_leadership(state.clone()));
    tasks.spawn(answers::serve_peers(state.clone(), peer_listener));
    tasks.spawn(rounds::run_peers(state.clone()));
    tasks.spawn(checks::watch_unreachable(state.clone()));
    tasks.spawn(probes::watch_slowdowns(state.clone()));
    tasks.spawn(front::serve_callers(state.clone(), callers));
    tasks.spawn(readiness::serve_readiness(state.clone(), ready));
    tracing::info!(part = "daemon", %instance, %caller_address, %ready_address, "Started.");
    Ok(RunningForwarder { state, caller_address, ready_address, tasks })
}

impl<P: Platform> RunningForwarder<P> {
    /// Stops the daemon. It reports that it is not ready, serves requests until the load balancer
    /// has noticed, waits for the active requests to end and for callers to read their answers, and
    /// leaves the group.
    pub async fn shutdown(self) {
        let state = self.state.clone();
        let stop_started = state.now();
        tracing::info!(part = "daemon", "Stopping.");
        state.phase.send_replace(DaemonPhase::Leaving);
        let stop_time = state.settings().bounds.stop_time;
        let deadline = stop_started + stop_time.saturating_sub(STOP_MARGIN);
        tokio::time::sleep(NOTICE_TIME.min(stop_time / 2)).await;
        state.phase.send_replace(DaemonPhase::Draining);
        let refuse_until = state.now() + REFUSE_TIME;
        loop {
            let now = state.now();
            let active = state.tables().active;
            let used_connections = state.tables().used_connections;
            let all_answered = active == 0 && used_connections == 0;
            if (all_answered && now >= refuse_until) || now >= deadline {
                tracing::info!(part = "daemon", active, used_connections, "Stopped.");
                break;
            }
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
        // The group notices on its own that the instance has left, only later.
        match tokio::time::timeout(LEAVE_TIMEOUT, state.platform.leave()).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => tracing::info!(part = "daemon", %error, "Leaving the group failed."),
            Err(_) => tracing::info!(part = "daemon", "The group did not answer in time."),
        }
        state.phase.send_replace(DaemonPhase::Closing);
        tokio::time::sleep(CLOSE_TIME).await;
        drop(self.tasks);
    }
}

async fn bind(address: SocketAddr, role: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {role} {address}: choose a free address"))
}
