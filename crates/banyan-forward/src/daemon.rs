//! Starts and stops the daemon: [`start`] gives a [`RunningForwarder`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::edges::Platform;
use crate::feeds;
use crate::front;
use crate::leadership;
use crate::news;
use crate::peers;
use crate::probes;
use crate::readiness;
use crate::settings::ForwardSettings;
use crate::state::DaemonPhase;
use crate::state::ForwardState;

/// The time after the request to stop during which new requests are still served: the balancer needs
/// it to notice that the instance is not ready.
const NOTICE_TIME: Duration = Duration::from_millis(2_800);
/// The time after that during which late callers are told to go elsewhere, at least.
const REFUSE_TIME: Duration = Duration::from_millis(500);
/// The time between two looks at whether requests are under way.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);
/// The time kept free at the end of the time to stop.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// A daemon that runs.
#[derive(Debug)]
pub struct RunningForwarder<P> {
    /// What its tasks share.
    pub state: Arc<ForwardState<P>>,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready_address: SocketAddr,
    tasks: JoinSet<()>,
}

/// Starts a daemon: binds its addresses and begins to follow the platform.
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
    // Peers are told the address that was bound, also where the settings leave the port open.
    settings.peer_address = peer_listener.local_addr()?;
    let mut tasks = JoinSet::new();
    if let (Some(address), Some(handle)) = (settings.metrics_address, metrics) {
        let listener = bind(address, "the metrics address").await?;
        tasks.spawn(readiness::serve_metrics(handle, listener));
    }
    let instance = settings.instance.clone();
    let state = Arc::new(ForwardState::new(settings, platform));
    tasks.spawn(feeds::follow_configuration(state.clone()));
    tasks.spawn(feeds::follow_fleet(state.clone()));
    tasks.spawn(news::run_source(state.clone()));
    tasks.spawn(leadership::run_leadership(state.clone()));
    tasks.spawn(peers::serve_peers(state.clone(), peer_listener));
    tasks.spawn(peers::run_peers(state.clone()));
    tasks.spawn(probes::watch_unreachable(state.clone()));
    tasks.spawn(probes::watch_paces(state.clone()));
    tasks.spawn(front::serve_callers(state.clone(), callers));
    tasks.spawn(readiness::serve_readiness(state.clone(), ready));
    tracing::info!(part = "daemon", %instance, %caller_address, %ready_address, "Started.");
    Ok(RunningForwarder { state, caller_address, ready_address, tasks })
}

impl<P: Platform> RunningForwarder<P> {
    /// Stops the daemon: tells the balancer, serves on until it has noticed, lets everything under way
    /// end, and closes.
    pub async fn shutdown(self) {
        let state = self.state.clone();
        let begun = state.now();
        tracing::info!(part = "daemon", "Stopping.");
        state.phase.send_replace(DaemonPhase::Leaving);
        let stop_time = state.settings().bounds.stop_time;
        let end = begun + stop_time.saturating_sub(STOP_MARGIN);
        tokio::time::sleep(NOTICE_TIME.min(stop_time / 2)).await;
        state.phase.send_replace(DaemonPhase::Draining);
        let refused = state.now() + REFUSE_TIME;
        loop {
            let now = state.now();
            let active = state.tables().active;
            if (active == 0 && now >= refused) || now >= end {
                tracing::info!(part = "daemon", active, "Stopped.");
                break;
            }
            tokio::time::sleep(DRAIN_PAUSE).await;
        }
        if let Err(error) = state.platform.leave().await {
            tracing::info!(part = "daemon", %error, "The group was not told.");
        }
        drop(self.tasks);
    }
}

async fn bind(address: SocketAddr, role: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {role} {address}: choose a free address"))
}
