//! Recognises requests that crash targets: [`examine_loss`] after a lost connection, and
//! [`note_survival`] after an answer that went well.

use std::sync::Arc;
use std::time::Duration;

use crate::callers::answer::NotRunCause;
use crate::callers::answer::Refusal;
use crate::callers::routed_request::RoutedRequest;
use crate::edges::Platform;
use crate::engines::link::is_refused;
use crate::engines::probes::probe_target;
use crate::logs;
use crate::peers::crash_alerts::alert_peers;
use crate::state::ForwardState;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::crashes::CrashEvidence;
use banyan_core::pipeline::crashes::CrashVerdict;
use banyan_core::pipeline::crashes::SURVIVAL_TIME;
use banyan_core::pipeline::crashes::TargetCrash;
use banyan_core::units::Moment;

/// Refuses a request if requests like it crashed targets. `retry` says that it was sent before.
pub fn refuse_if_blocked<P>(
    state: &ForwardState<P>,
    request: &RoutedRequest,
    retry: bool,
) -> Result<(), Refusal> {
    let now = state.now();
    let mut tables = state.tables();
    match tables.crashes.admit(&request.traits, retry, now) {
        CrashVerdict::Allowed => Ok(()),
        CrashVerdict::Blocked(wait) => {
            Err(tables.not_run_refusal(NotRunCause::CrashesTargets, wait, now))
        }
    }
}

/// A connection to a target that ended before the answer was complete.
pub struct LostConnection<'a> {
    /// The target.
    pub target: &'a TargetId,
    /// When the request was sent to it.
    pub sent: Moment,
    /// For how long the answer was being written.
    pub written: Duration,
}

/// Finds out whether a target crashed that lost a request's connection. If that was as the answer
/// began, the request is suspected, and peers are told.
pub async fn examine_loss<P: Platform>(
    state: &Arc<ForwardState<P>>,
    request: &RoutedRequest,
    loss: &LostConnection<'_>,
) {
    if loss.written >= SURVIVAL_TIME {
        return;
    }
    let has_crashed = match request.service.model {
        Some(_) => has_engine_crashed(state, loss.target).await,
        None => has_replica_crashed(state, loss.target).await,
    };
    if !has_crashed {
        return;
    }
    let now = state.now();
    let mut tables = state.tables();
    let crash = TargetCrash {
        target: loss.target.clone(),
        run: tables.fleet.rows.get(loss.target).and_then(|row| row.report.stamp.born),
        sent: loss.sent,
        at: now,
        evidence: CrashEvidence::Refusal,
    };
    let suspects = tables.crashes.note_crash(&request.traits, &crash, now);
    drop(tables);
    logs::crash_suspected(request, loss.target, loss.written, suspects.len());
    alert_peers(state, suspects);
}

/// Records that an answer to a request went well.
pub fn note_survival<P>(state: &ForwardState<P>, request: &RoutedRequest) {
    let now = state.now();
    state.tables().crashes.note_survival(&request.traits, now);
}

/// Whether no engine listens at the target's address any more. Only a new probe can tell: an
/// earlier one may have been answered just before the crash.
async fn has_engine_crashed<P: Platform>(state: &Arc<ForwardState<P>>, target: &TargetId) -> bool {
    probe_target(state.clone(), target.clone()).await;
    let now = state.now();
    state.tables().suspicions.is_absent(target, now)
}

/// Whether no replica listens at the target's address any more. A replica has no state that a probe
/// could read.
async fn has_replica_crashed<P>(state: &ForwardState<P>, target: &TargetId) -> bool {
    let address = state.tables().fleet.rows.get(target).map(|row| row.report.address);
    match address {
        Some(address) => is_refused(address).await,
        None => false,
    }
}
