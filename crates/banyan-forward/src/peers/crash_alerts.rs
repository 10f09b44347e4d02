//! Tells other instances at once which requests may crash targets: [`alert_peers`].
//!
//! Digests repeat it for instances that an alert missed, or that started later.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::decisions::tables::ForwardTables;
use crate::edges::Platform;
use crate::peers::alerts::call_peer;
use crate::peers::alerts::choose_peers;
use crate::peers::digests::millis;
use crate::state::ForwardState;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::crashes::CrashEvidence;
use banyan_core::pipeline::crashes::CrashSuspect;
use banyan_core::pipeline::crashes::RequestTrait;
use banyan_core::pipeline::crashes::TargetCrash;
use banyan_core::units::Moment;
use banyan_wire::forward::ClearedWire;
use banyan_wire::forward::CrashWire;
use banyan_wire::forward::ForwardServiceClient;
use banyan_wire::forward::SuspectWire;
use banyan_wire::forward::TraitWire;

/// The largest number of suspected traits in an alert.
const MAX_ALERT_SUSPECTS: usize = 32;

/// Tells a few peers what is known about the given traits: if there are many, about those with the
/// most crashes.
pub fn alert_peers<P: Platform>(state: &Arc<ForwardState<P>>, keys: Vec<RequestTrait>) {
    if keys.is_empty() {
        return;
    }
    let now = state.now();
    let mut suspects = state.tables().crashes.suspects(keys);
    suspects.sort_by_key(|suspect| std::cmp::Reverse(suspect.crashes.len()));
    suspects.truncate(MAX_ALERT_SUSPECTS);
    let suspects = suspect_wires(suspects, now);
    for address in choose_peers(state) {
        tokio::spawn(alert_peer(state.clone(), address, suspects.clone()));
    }
}

/// Applies a peer's alert, passes on what is new in it, and returns the traits that are known to be
/// sound.
pub fn answer_alert<P: Platform>(
    state: &Arc<ForwardState<P>>,
    suspects: Vec<SuspectWire>,
) -> Vec<ClearedWire> {
    let now = state.now();
    let mut tables = state.tables();
    let keys: Vec<TraitWire> = suspects.iter().map(|suspect| suspect.key).collect();
    let learned = merge_suspects(&mut tables, suspects, now);
    let cleared_wire = |key: TraitWire| {
        let age = tables.crashes.cleared_since(&key.into(), now)?;
        Some(ClearedWire { key, age_ms: millis(age) })
    };
    let cleared = keys.into_iter().filter_map(cleared_wire).collect();
    drop(tables);
    alert_peers(state, learned);
    cleared
}

async fn alert_peer<P: Platform>(
    state: Arc<ForwardState<P>>,
    address: SocketAddr,
    suspects: Vec<SuspectWire>,
) {
    let alert = async move |link: ForwardServiceClient, context| {
        link.report_suspects(context, suspects).await
    };
    let Some(cleared) = call_peer(&state, address, alert).await else { return };
    let now = state.now();
    let mut tables = state.tables();
    for wire in cleared {
        let at = now.before(Duration::from_millis(wire.age_ms));
        tables.crashes.note_survival(&[wire.key.into()], at);
    }
}

/// Merges the suspects that a peer reports. Returns those with a crash that was not known here.
pub fn merge_suspects(
    tables: &mut ForwardTables,
    suspects: Vec<SuspectWire>,
    now: Moment,
) -> Vec<RequestTrait> {
    let suspects: Vec<CrashSuspect> =
        suspects.into_iter().map(|wire| read_suspect(wire, now)).collect();
    tables.crashes.merge(&suspects, now)
}

/// The messages that tell peers about suspects.
pub fn suspect_wires(suspects: Vec<CrashSuspect>, now: Moment) -> Vec<SuspectWire> {
    let crash = |crash: TargetCrash| CrashWire {
        target: SmolStr::new(crash.target.as_str()),
        run: crash.run,
        silent: crash.evidence == CrashEvidence::Silence,
        sent_age_ms: millis(now.since(crash.sent)),
        age_ms: millis(now.since(crash.at)),
    };
    let wire = |suspect: CrashSuspect| SuspectWire {
        key: suspect.key.into(),
        crashes: suspect.crashes.into_iter().map(crash).collect(),
    };
    suspects.into_iter().map(wire).collect()
}

fn read_suspect(wire: SuspectWire, now: Moment) -> CrashSuspect {
    let crash = |wire: CrashWire| {
        let sent = now.before(Duration::from_millis(wire.sent_age_ms));
        let at = now.before(Duration::from_millis(wire.age_ms));
        let evidence = if wire.silent { CrashEvidence::Silence } else { CrashEvidence::Refusal };
        TargetCrash { target: TargetId::new(wire.target), run: wire.run, sent, at, evidence }
    };
    let crashes = wire.crashes.into_iter().map(crash).collect();
    CrashSuspect { key: wire.key.into(), crashes }
}
