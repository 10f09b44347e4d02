//! The read-only HTTP port for operators: [`routes`].

use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use warp::Filter;
use warp::Rejection;
use warp::Reply;

use crate::daemon;
use crate::metric;
use crate::peers::PeerRow;
use crate::state::EntryState;
use crate::tables::fold_hub::FoldTables;
use crate::tables::fold_hub::all_streams;
use banyan_core::event::HybridStamp;
use banyan_core::fold::ProposalVerdict;
use banyan_core::ids::RecordId;
use banyan_core::serving::targets::TargetHealth;
use banyan_core::serving::targets::TargetRow;
use banyan_core::units::Moment;
use banyan_wire::operator::ClaimStatus;
use banyan_wire::operator::EventsReply;
use banyan_wire::operator::FileWire;
use banyan_wire::operator::InForceReply;
use banyan_wire::operator::LogStatus;
use banyan_wire::operator::PeerStatus;
use banyan_wire::operator::QuarantineStatus;
use banyan_wire::operator::RevisionReply;
use banyan_wire::operator::StatusReply;
use banyan_wire::operator::TargetStatus;
use banyan_wire::operator::VerdictReply;

/// The query of `/operator/events`.
#[derive(Debug, serde::Deserialize)]
struct EventsQuery {
    /// A hybrid timestamp; only later events are returned.
    after: Option<String>,
}

/// All routes of the operator port; `metrics` is absent if no recorder is installed.
pub fn routes(
    state: Arc<EntryState>,
    metrics: Option<PrometheusHandle>,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone + Send + Sync + 'static {
    let shared = warp::any().map(move || state.clone());
    let status = warp::path!("operator" / "status")
        .and(shared.clone())
        .map(|state: Arc<EntryState>| warp::reply::json(&status(&state)).into_response());
    let in_force = warp::path!("operator" / "in-force")
        .and(shared.clone())
        .map(|state: Arc<EntryState>| warp::reply::json(&in_force(&state)).into_response());
    let revision = warp::path!("operator" / "revision")
        .and(shared.clone())
        .map(|state: Arc<EntryState>| warp::reply::json(&revision(&state)).into_response());
    let verdict = warp::path("operator")
        .and(warp::path("verdict"))
        .and(warp::path::tail())
        .and(shared.clone())
        .map(|id: warp::path::Tail, state: Arc<EntryState>| {
            warp::reply::json(&verdict(&state, id.as_str())).into_response()
        });
    let events = warp::path!("operator" / "events")
        .and(warp::query::<EventsQuery>())
        .and(shared.clone())
        .map(|query: EventsQuery, state: Arc<EntryState>| {
            warp::reply::json(&events(&state, query)).into_response()
        });
    let metrics = warp::path!("metrics").and(shared).map(move |state: Arc<EntryState>| {
        let tables = state.tables();
        let (active, waiting) = (tables.admission.active(), tables.waiters.len());
        metric::set_gauges(active, waiting, tables.revision.0);
        drop(tables);
        metrics.as_ref().map(PrometheusHandle::render).unwrap_or_default().into_response()
    });
    let all =
        status.or(in_force).unify().or(revision).unify().or(verdict).unify().or(events).unify();
    warp::get().and(all.or(metrics).unify())
}

fn status(state: &EntryState) -> StatusReply {
    let now = state.now();
    let tables = state.tables();
    let targets = tables.targets.rows.iter();
    let targets = targets.map(|(target, row)| target_status(target.as_str(), row)).collect();
    let peers = tables.peers.rows.iter().map(|(peer, row)| PeerStatus {
        peer: SmolStr::new(peer.as_str()),
        state: SmolStr::new_static(peer_state(row)),
        revision: row.revision.0,
        silent_ms: row.heard_at.map_or(u64::MAX, |heard_at| now.since(heard_at).as_millis() as u64),
    });
    let peers = peers.collect();
    let (active, queued) = (tables.admission.active() as u64, tables.waiters.len() as u64);
    let revision = tables.revision.0;
    drop(tables);
    let claims = state.ledger.open().into_iter().map(|(key, claim)| ClaimStatus {
        key: format_smolstr!("{key}"),
        claim: claim.into(),
        claimant: state.incarnation.clone().into(),
    });
    let folds = state.folds.tables();
    let quarantines = folds.configuration.quarantines.iter().map(|(content, until)| {
        QuarantineStatus { content: format_smolstr!("{content}"), until_ms: until.0 }
    });
    let quarantines = quarantines.collect();
    let log = log_status(&folds, now);
    drop(folds);
    StatusReply {
        instance: SmolStr::new(state.settings.instance.as_str()),
        incarnation: state.incarnation.clone().into(),
        zone: SmolStr::new(state.settings.zone.as_str()),
        ready: daemon::readiness(state),
        revision,
        log,
        active,
        queued,
        targets,
        peers,
        open_claims: claims.collect(),
        quarantines,
    }
}

fn peer_state(row: &PeerRow) -> &'static str {
    match row {
        _ if row.leaving() => "leaving",
        _ if row.suspected => "suspected",
        _ if row.heard_at.is_none() => "unheard",
        _ => "trusted",
    }
}

fn target_status(name: &str, row: &TargetRow) -> TargetStatus {
    let (state, reason) = match &row.health {
        _ if row.leaving.any() => ("leaving", SmolStr::default()),
        TargetHealth::Trusted => ("trusted", SmolStr::default()),
        TargetHealth::Suspected { reason, .. } => ("suspected", reason.clone()),
    };
    TargetStatus {
        target: SmolStr::new(name),
        state: SmolStr::new_static(state),
        reason,
        in_flight: u64::from(row.in_flight),
        latency_us: row.latency.as_micros() as u64,
    }
}

/// The state of the log as seen by this instance at `now`.
pub fn log_status(folds: &FoldTables, now: Moment) -> LogStatus {
    // The stream may have been read after `now` was taken; `since` then returns zero.
    let read_at = folds.configuration_read_at().unwrap_or_default();
    LogStatus {
        reachable: folds.log_reachable(),
        silent_ms: now.since(read_at).as_millis() as u64,
        next: all_streams()
            .map(|stream| (format_smolstr!("{stream}"), folds.next(stream).0))
            .collect(),
        started_from: folds.started_from.clone(),
    }
}

fn in_force(state: &EntryState) -> InForceReply {
    let folds = state.folds.tables();
    let files = folds.configuration.files.iter().map(|(file, row)| FileWire {
        file: file.clone().into(),
        revision: row.revision.0,
        author: row.author.clone(),
        text: row.text.to_string(),
    });
    InForceReply {
        instance: SmolStr::new(state.settings.instance.as_str()),
        revision: folds.configuration.revision.0,
        files: files.collect(),
    }
}

fn revision(state: &EntryState) -> RevisionReply {
    // The revision that requests use, which can be behind that of the fold.
    let revision = state.tables().revision.0;
    RevisionReply {
        instance: SmolStr::new(state.settings.instance.as_str()),
        revision,
        log_reachable: state.folds.tables().log_reachable(),
    }
}

fn verdict(state: &EntryState, id: &str) -> VerdictReply {
    let Ok(id) = id.parse::<RecordId>() else { return VerdictReply::Unseen };
    let folds = state.folds.tables();
    match folds.configuration.verdicts.get(&id).map(|(_, verdict)| verdict.clone()) {
        None => VerdictReply::Unseen,
        Some(ProposalVerdict::Accepted(revision)) => {
            VerdictReply::Accepted { revision: revision.0 }
        }
        Some(ProposalVerdict::Conflict { current, winner }) => {
            VerdictReply::Conflict { current: current.0, winner }
        }
        Some(ProposalVerdict::Invalid(message)) => VerdictReply::Invalid { message },
    }
}

fn events(state: &EntryState, query: EventsQuery) -> EventsReply {
    let after = query.after.and_then(|text| text.parse::<HybridStamp>().ok()).unwrap_or_default();
    let (events, dropped) = state.journal.events_after(after);
    EventsReply {
        process: SmolStr::new(state.settings.instance.as_str()),
        dropped,
        events: events.into_iter().map(Into::into).collect(),
    }
}
