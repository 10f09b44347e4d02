//! Tells other instances at once which limits targets name: [`alert_peers`].
//!
//! Digests repeat it for instances that an alert missed, or that started later.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::decisions::tables::ForwardTables;
use crate::edges::Platform;
use crate::logs;
use crate::peers::alerts::call_peer;
use crate::peers::alerts::choose_peers;
use crate::peers::digests::millis;
use crate::state::ForwardState;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::target_limits::LimitReport;
use banyan_core::pipeline::target_limits::TargetLimit;
use banyan_core::units::Moment;
use banyan_wire::forward::ForwardServiceClient;
use banyan_wire::forward::LimitWire;

/// Tells a few peers what the given targets say of their limits.
pub fn alert_peers<P: Platform>(state: &Arc<ForwardState<P>>, targets: &[TargetId]) {
    if targets.is_empty() {
        return;
    }
    let now = state.now();
    let limits = limit_wires(state.tables().limits.reports(targets), now);
    for address in choose_peers(state) {
        tokio::spawn(alert_peer(state.clone(), address, limits.clone()));
    }
}

/// Applies a peer's alert and passes on what is new in it.
pub fn apply_alert<P: Platform>(state: &Arc<ForwardState<P>>, limits: Vec<LimitWire>) {
    let now = state.now();
    let learned = merge_limits(&mut state.tables(), limits, now);
    alert_peers(state, &learned);
}

async fn alert_peer<P: Platform>(
    state: Arc<ForwardState<P>>,
    address: SocketAddr,
    limits: Vec<LimitWire>,
) {
    let alert =
        async move |link: ForwardServiceClient, context| link.report_limits(context, limits).await;
    // A peer that was not reached learns it from a digest.
    let _ = call_peer(&state, address, alert).await;
}

/// Merges the limits that a peer reports. Returns the targets whose limit was not known.
pub fn merge_limits(
    tables: &mut ForwardTables,
    limits: Vec<LimitWire>,
    now: Moment,
) -> Vec<TargetId> {
    let reports: Vec<LimitReport> = limits.into_iter().map(|wire| read_limit(wire, now)).collect();
    let learned = tables.limits.merge(&reports, now);
    for report in tables.limits.reports(&learned) {
        logs::limit_changed(&report.target, report.limit, "peer");
    }
    learned
}

/// The messages that tell peers about limits.
pub fn limit_wires(reports: Vec<LimitReport>, now: Moment) -> Vec<LimitWire> {
    let wire = |report: LimitReport| LimitWire {
        target: SmolStr::new(report.target.as_str()),
        thousandths: report.limit.map(|limit| limit.0),
        age_ms: millis(now.since(report.heard)),
    };
    reports.into_iter().map(wire).collect()
}

fn read_limit(wire: LimitWire, now: Moment) -> LimitReport {
    let heard = now.before(Duration::from_millis(wire.age_ms));
    let limit = wire.thousandths.map(TargetLimit);
    LimitReport { target: TargetId::new(wire.target), limit, heard }
}
