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
use crate::state::MACHINE;
use crate::state::ServingPhase;
use crate::tables::fold_hub::all_streams;
use banyan_config::settings::EntrySettings;
use banyan_core::event::EventKind;
use banyan_core::ids::Revision;
use banyan_core::serving::decisions::DecisionSet;
use banyan_core::serving::health;
use banyan_core::units::ByteCount;
use banyan_core::units::Moment;
use banyan_http::connection_slots::ConnectionSlots;
use banyan_http::server::ServerLimits;
use banyan_http::server::serve_limited;
use banyan_wire::operator::ReadinessWire;
use banyan_wire::platform::InstanceRole;
use banyan_wire::platform::InstanceState;
use banyan_wire::platform::InstanceWire;

/// The interval between two runs of the periodic state updates.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The interval at which capacities and limits are divided among the live instances.
const LIMIT_SPLIT_INTERVAL: Duration = Duration::from_millis(1000);
/// How long a shutdown waits for the balancer to notice that the instance is not ready.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(1500);
/// The interval at which a shutdown checks for unfinished work.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long after its start an instance stays unready while it waits for the state of every stream.
/// Repeatable calls need only the configuration, so the instance becomes ready after this time.
const JOIN_LIMIT: Duration = Duration::from_secs(5);
/// The interval at which the instance announces itself on the instance list.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

/// A running daemon.
#[derive(Debug)]
pub struct RunningEntry {
    /// The state that its tasks share.
    pub state: Arc<EntryState>,
    /// The address on which it serves callers.
    pub caller_address: SocketAddr,
    /// The address on which it serves operators.
    pub operator_address: SocketAddr,
    /// The address on which it serves peers.
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
    let unlimited = ByteCount(u64::MAX);
    let slots = ConnectionSlots::new("callers", MACHINE.caller_connections(), unlimited);
    let caller_limits = ServerLimits { slots, memory: Some(state.memory.clone()) };
    let slots = ConnectionSlots::new("operators", MACHINE.page_connections(), unlimited);
    let operator_limits = ServerLimits { slots, memory: None };
    let servers = tokio::spawn(async move {
        let stop = wait_stopped(stopped.clone());
        let callers = serve_limited(callers, caller_routes, Some(caller_limits), stop);
        let stop = wait_stopped(stopped);
        let operators = serve_limited(operators, operator_routes, Some(operator_limits), stop);
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
    /// Stops the daemon without interrupting requests: reports unready to the balancer, waits up to
    /// the drain limit for unfinished work, and then closes the servers.
    pub async fn shutdown(mut self) {
        let state = self.state.clone();
        log::info!("shutdown: The instance reports that it is not ready.");
        state.journal.record(EventKind::Draining, "", "", "not ready");
        state.phase.send_replace(ServingPhase::Unready);
        if let Err(error) =
            state.platform.announce(&own_list_entry(&state, InstanceState::Leaving)).await
        {
            log::debug!("shutdown: The instance list was not updated: {error}.");
        }
        tokio::time::sleep(BALANCER_NOTICE_TIME).await;
        state.phase.send_replace(ServingPhase::Draining);
        self.drain().await;
        let _ = self.stop.send(true);
        let _ = (&mut self.servers).await;
        // The announcing task must stop before the withdrawal, or it lists the instance again.
        self.tasks.shutdown().await;
        if let Err(error) = state.platform.withdraw(state.settings.instance.as_str()).await {
            log::debug!("shutdown: The instance list was not updated: {error}.");
        }
        state.journal.record(EventKind::Stopped, "", "", "");
        log::info!("shutdown: The instance stopped.");
    }

    async fn drain(&self) {
        let limit = Duration::from_millis(self.state.settings.drain_ms);
        let deadline = self.state.now() + limit;
        loop {
            let active = {
                let tables = self.state.tables();
                tables.admission.active() + tables.waiters.len()
            };
            let claims = self.state.ledger.open().len();
            let facts = self.state.outbox.len() + self.state.writer.pending_without_deadline();
            if active == 0 && claims == 0 && facts == 0 {
                return;
            }
            if self.state.now() >= deadline {
                log::warn!(
                    "shutdown: The drain limit expired: {active} requests and {facts} facts left."
                );
                return;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Whether the instance accepts new requests, with the reason if it does not.
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

/// Whether the instance started less than [`JOIN_LIMIT`] ago and some stream lacks its state.
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
    // A closed channel means that the daemon was dropped, which also stops the server.
    let _ = stopped.wait_for(|stopped| *stopped).await;
}

async fn run_ticks(state: Arc<EntryState>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last_split = state.now();
    loop {
        ticks.tick().await;
        let now = state.now();
        let mut tables = state.tables();
        tables.targets.advance(now);
        if now.since(last_split) >= LIMIT_SPLIT_INTERVAL {
            last_split = now;
            tables.split_limits(state.settings.capacity);
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
        let announced_state = if phase == ServingPhase::Serving {
            InstanceState::Live
        } else {
            InstanceState::Leaving
        };
        if let Err(error) = state.platform.announce(&own_list_entry(&state, announced_state)).await
        {
            log::debug!("platform: The announcement failed: {error}.");
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

fn own_list_entry(state: &EntryState, announced_state: InstanceState) -> InstanceWire {
    let settings = &state.settings;
    InstanceWire {
        name: SmolStr::new(settings.instance.as_str()),
        role: InstanceRole::Entry,
        state: announced_state,
        zone: SmolStr::new(settings.zone.as_str()),
        caller_address: Some(format_smolstr!("{}", settings.caller_address)),
        peer_address: Some(format_smolstr!("{}", settings.peer_address)),
        operator_address: Some(format_smolstr!("{}", settings.operator_address)),
    }
}
