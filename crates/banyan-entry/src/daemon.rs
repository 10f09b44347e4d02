//! Starts and stops the daemon: [`start`] gives a [`RunningEntry`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use metrics_exporter_prometheus::PrometheusHandle;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::admission::run_admission;
use crate::caller;
use crate::checkpoints::run_checkpoints;
use crate::crashes;
use crate::exchange::run_exchange;
use crate::follower::follow;
use crate::isolation::is_isolated;
use crate::leaving::run_leaving;
use crate::listing::run_listing;
use crate::operator;
use crate::peer_server::serve_peers;
use crate::prefixes::watch_caches;
use crate::probes;
use crate::relay::run_relay;
use crate::state::EntryState;
use crate::state::ServingPhase;
use crate::tables::fold_hub::all_streams;
use banyan_config::settings::EntrySettings;
use banyan_core::event::EventKind;
use banyan_core::ids::Revision;
use banyan_core::serving::decisions::DecisionSet;
use banyan_core::serving::health;
use banyan_core::units::Moment;
use banyan_http::server::serve;
use banyan_wire::operator::ReadinessWire;
use banyan_wire::platform::InstanceRole;
use banyan_wire::platform::InstanceState;
use banyan_wire::platform::InstanceWire;

/// The time between two runs of the systems that run each tick.
const TICK: Duration = Duration::from_millis(20);
/// The time between two splits of capacities and limits over the live instances.
const SPREAD_PAUSE: Duration = Duration::from_millis(1000);
/// The time that the balancer has to notice that the instance is not ready.
const NOTICE_TIME: Duration = Duration::from_millis(1500);
/// The time between two looks at whether requests are still under way.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);
/// The time after the start for which an instance waits for the state of every stream before it is
/// ready; calls that may be repeated need no more than the configuration.
const JOIN_LIMIT: Duration = Duration::from_secs(5);
/// The time between two announcements on the instance list.
const ANNOUNCE_PAUSE: Duration = Duration::from_secs(2);

/// A daemon that runs.
#[derive(Debug)]
pub struct RunningEntry {
    /// What its tasks share.
    pub state: Arc<EntryState>,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where operators reach it.
    pub operator_address: SocketAddr,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    stop: watch::Sender<bool>,
    servers: JoinHandle<()>,
    tasks: JoinSet<()>,
}

/// Starts a daemon: binds its addresses and begins to read the log.
pub async fn start(
    mut settings: EntrySettings,
    decisions: DecisionSet,
    metrics: Option<PrometheusHandle>,
) -> eyre::Result<RunningEntry> {
    let callers = bind(settings.caller_address, "caller_address").await?;
    let operators = bind(settings.operator_address, "operator_address").await?;
    let peers = bind(settings.peer_address, "peer_address").await?;
    settings.caller_address = callers.local_addr()?;
    settings.operator_address = operators.local_addr()?;
    settings.peer_address = peers.local_addr()?;
    let state = Arc::new(EntryState::new(settings.clone(), decisions));
    state.journal.record(EventKind::Started, "", "", state.incarnation.as_str());

    let (stop, stopped) = watch::channel(false);
    let caller_routes = caller::routes(state.clone());
    let operator_routes = operator::routes(state.clone(), metrics);
    let servers = tokio::spawn(async move {
        let callers = serve(callers, caller_routes, wait_stopped(stopped.clone()));
        let operators = serve(operators, operator_routes, wait_stopped(stopped));
        tokio::join!(callers, operators);
    });
    let mut tasks = JoinSet::new();
    for stream in all_streams() {
        tasks.spawn(follow(state.clone(), stream));
    }
    tasks.spawn(probes::watch_targets(state.clone()));
    tasks.spawn(watch_caches(state.clone()));
    tasks.spawn(run_ticks(state.clone()));
    tasks.spawn(announce(state.clone()));
    tasks.spawn(serve_peers(state.clone(), peers));
    tasks.spawn(run_exchange(state.clone()));
    tasks.spawn(run_listing(state.clone()));
    tasks.spawn(run_leaving(state.clone()));
    tasks.spawn(run_relay(state.clone()));
    tasks.spawn(run_checkpoints(state.clone()));
    Ok(RunningEntry {
        caller_address: settings.caller_address,
        operator_address: settings.operator_address,
        peer_address: settings.peer_address,
        state,
        stop,
        servers,
        tasks,
    })
}

impl RunningEntry {
    /// Stops the daemon without cutting a request: tells the balancer, lets everything under way
    /// end, and only then closes.
    pub async fn shutdown(mut self) {
        let state = self.state.clone();
        log::info!("shutdown: The instance is not ready any more.");
        state.journal.record(EventKind::Draining, "", "", "not ready");
        state.phase.send_replace(ServingPhase::Unready);
        if let Err(error) = state.platform.announce(&listing(&state, InstanceState::Leaving)).await
        {
            log::debug!("shutdown: The instance list was not told: {error}.");
        }
        tokio::time::sleep(NOTICE_TIME).await;
        state.phase.send_replace(ServingPhase::Draining);
        self.drain().await;
        let _ = self.stop.send(true);
        let _ = (&mut self.servers).await;
        // The announcing task must not put the instance on the list again.
        self.tasks.shutdown().await;
        if let Err(error) = state.platform.withdraw(state.settings.instance.as_str()).await {
            log::debug!("shutdown: The instance list was not told: {error}.");
        }
        state.journal.record(EventKind::Stopped, "", "", "");
        log::info!("shutdown: The instance stopped.");
    }

    async fn drain(&self) {
        let limit = Duration::from_millis(self.state.settings.drain_ms);
        let until = self.state.now() + limit;
        loop {
            let active = {
                let tables = self.state.tables();
                tables.admission.active() + tables.waiters.len()
            };
            let claims = self.state.ledger.open().len();
            let kept = self.state.outbox.len() + self.state.writer.kept();
            if active == 0 && claims == 0 && kept == 0 {
                return;
            }
            if self.state.now() >= until {
                log::warn!("shutdown: At the limit, {active} requests and {kept} facts are left.");
                return;
            }
            tokio::time::sleep(DRAIN_PAUSE).await;
        }
    }
}

/// Whether the instance takes new requests, and if not, why.
pub fn readiness(state: &EntryState) -> ReadinessWire {
    let not_ready = |reason| ReadinessWire { ready: false, reason: SmolStr::new_static(reason) };
    if *state.phase.borrow() != ServingPhase::Serving {
        return not_ready("the instance is stopping");
    }
    if state.tables().revision == Revision(0) {
        return not_ready("no configuration is in force");
    }
    if is_joining(state) {
        return not_ready("the log is still being read");
    }
    if is_isolated(state) {
        return not_ready("neither the log nor any peer is heard");
    }
    ReadinessWire { ready: true, reason: SmolStr::default() }
}

/// Whether an instance that has just started may still get the state of every stream.
fn is_joining(state: &EntryState) -> bool {
    let folds = state.folds.tables();
    let behind = all_streams().any(|stream| folds.is_behind(stream));
    behind && state.now() < Moment::default() + JOIN_LIMIT
}

async fn bind(address: SocketAddr, field: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {field} {address}: choose a free address"))
}

async fn wait_stopped(mut stopped: watch::Receiver<bool>) {
    // A closed channel means that the daemon is gone, which is a stop as well.
    let _ = stopped.wait_for(|stopped| *stopped).await;
}

async fn run_ticks(state: Arc<EntryState>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut spread = state.now();
    loop {
        ticks.tick().await;
        let now = state.now();
        let mut tables = state.tables();
        tables.targets.advance(now);
        if now.since(spread) >= SPREAD_PAUSE {
            spread = now;
            tables.spread_limits(state.settings.capacity);
            tables.token_limits.tick(now);
            crashes::tick(&mut tables, now);
        }
        run_admission(&mut tables, now);
        let suspect_after = tables.declaration.policy.suspect_after;
        let changes = health::suspect_silent(&mut tables.targets, suspect_after, now);
        drop(tables);
        for change in changes {
            probes::note_change(&state, Some(change));
        }
    }
}

async fn announce(state: Arc<EntryState>) {
    loop {
        let phase = *state.phase.borrow();
        let listed = if phase == ServingPhase::Serving {
            InstanceState::Live
        } else {
            InstanceState::Leaving
        };
        if let Err(error) = state.platform.announce(&listing(&state, listed)).await {
            log::debug!("platform: The announcement was not taken: {error}.");
        }
        tokio::time::sleep(ANNOUNCE_PAUSE).await;
    }
}

fn listing(state: &EntryState, listed: InstanceState) -> InstanceWire {
    let settings = &state.settings;
    InstanceWire {
        name: SmolStr::new(settings.instance.as_str()),
        role: InstanceRole::Entry,
        state: listed,
        zone: SmolStr::new(settings.zone.as_str()),
        caller_address: Some(format_smolstr!("{}", settings.caller_address)),
        peer_address: Some(format_smolstr!("{}", settings.peer_address)),
        operator_address: Some(format_smolstr!("{}", settings.operator_address)),
    }
}
