//! Probes the load or health of every target: [`watch_targets`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use smol_str::SmolStr;

use crate::crashes;
use crate::state::EntryState;
use banyan_core::declaration::TargetRole;
use banyan_core::event::EventKind;
use banyan_core::ids::TargetId;
use banyan_core::serving::health;
use banyan_core::serving::health::TrustChange;
use banyan_core::serving::targets::LeavingSource;
use banyan_core::serving::targets::ReportedLoad;
use banyan_http::client::CallError;
use banyan_http::client::JsonClient;
use banyan_wire::engine::LoadReport;

/// The interval between probes of a target.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// The timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Probes every target for as long as the daemon runs.
pub async fn watch_targets(state: Arc<EntryState>) {
    let client = JsonClient::new(PROBE_TIMEOUT);
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let targets: Vec<(TargetId, SocketAddr, bool)> = {
            let tables = state.tables();
            let rows = tables.targets.rows.iter();
            rows.map(|(target, row)| {
                let engine = matches!(row.spec.role, TargetRole::Engine { .. });
                (target.clone(), row.spec.address, engine)
            })
            .collect()
        };
        for (target, address, engine) in targets {
            tokio::spawn(probe(state.clone(), client.clone(), target, address, engine));
        }
    }
}

async fn probe(
    state: Arc<EntryState>,
    client: JsonClient,
    target: TargetId,
    address: SocketAddr,
    engine: bool,
) {
    let result = if engine {
        probe_engine(&state, &client, &target, address).await
    } else {
        probe_service(&state, &client, &target, address).await
    };
    match result {
        Ok(()) => {
            let now = state.now();
            let change = health::note_alive(&mut state.tables().targets, &target, now);
            note_change(&state, change);
        }
        // A refused connection counts as a crash; a timeout counts only after several probes.
        Err(error @ CallError::Connect { .. }) => {
            crashes::note_crash(&state, &target, &error.to_string());
        }
        Err(error) => log::debug!("probe: The probe of {target} failed: {error}."),
    }
}

fn has_restarted(state: &EntryState, target: &TargetId, report: &LoadReport) -> bool {
    let tables = state.tables();
    let previous = tables.targets.rows.get(target).and_then(|row| row.report.as_ref());
    previous.is_some_and(|previous| previous.incarnation != report.incarnation)
}

async fn probe_engine(
    state: &Arc<EntryState>,
    client: &JsonClient,
    target: &TargetId,
    address: SocketAddr,
) -> Result<(), CallError> {
    let report: LoadReport = client.get(address, "/v1/load").await?;
    if has_restarted(state, target, &report) {
        crashes::note_crash(state, target, "it started anew");
    }
    let now = state.now();
    let age = Duration::from_millis(report.age_ms);
    let measured = banyan_core::units::Moment(now.0.saturating_sub(age.as_micros() as u64));
    let load = ReportedLoad {
        incarnation: report.incarnation,
        load: report.running + report.queued,
        streams: report.lineages,
        step_time: Duration::from_micros(report.step_us),
        measured,
    };
    let mut tables = state.tables();
    tables.targets.note_report(target, load, now);
    tables.targets.note_leaving(target, LeavingSource::Target, report.leaving, now);
    Ok(())
}

async fn probe_service(
    state: &EntryState,
    client: &JsonClient,
    target: &TargetId,
    address: SocketAddr,
) -> Result<(), CallError> {
    let answer = client.send(Method::GET, address, "/health", Bytes::new()).await;
    // A service that answers with an error status such as 503 is alive and about to leave.
    let leaving = matches!(&answer, Err(CallError::Status { .. }));
    let now = state.now();
    match answer {
        Ok(_) | Err(CallError::Status { .. }) => {
            let source = LeavingSource::Target;
            state.tables().targets.note_leaving(target, source, leaving, now);
            Ok(())
        }
        Err(error) => Err(error),
    }
}

/// Logs and records that a target became suspected or trusted.
pub fn note_change(state: &EntryState, change: Option<TrustChange>) {
    let (kind, target, reason) = match change {
        None => return,
        Some(TrustChange::Suspected(target, reason)) => {
            (EventKind::TargetSuspected, target, reason)
        }
        Some(TrustChange::Trusted(target)) => {
            (EventKind::TargetTrusted, target, SmolStr::new_static("it answered"))
        }
    };
    log::info!("targets: {target} changed: {kind}, {reason}.");
    state.journal.record(kind, "", target.as_str(), &reason);
}
