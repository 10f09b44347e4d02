//! Records which targets say in their answers that they leave: [`note_answer`].
//!
//! A target says so in answers of all kinds, often before its report has reached this instance.
//! Peers learn of it from digests.

use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::decisions::tables::ForwardTables;
use crate::peers::digests::millis;
use crate::state::ForwardState;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::fleet::LeavingNote;
use banyan_core::units::Moment;
use banyan_wire::forward::LeavingWire;

/// Records that a target said in an answer that it leaves.
pub fn note_answer<P>(state: &ForwardState<P>, target: &TargetId) {
    let now = state.now();
    let mut tables = state.tables();
    let born = tables.fleet.rows.get(target).and_then(|row| row.report.stamp.born);
    let is_news = tables.fleet.note_leaving(target, LeavingNote { born, heard: now });
    drop(tables);
    if is_news {
        log_leaving(target, "answer");
        state.plan_due.notify_one();
    }
}

/// Records that a target said in a report that it leaves. `born` is the start of the run that
/// reported: if it is not that of the target, another one has the address by now.
pub fn note_report<P>(state: &ForwardState<P>, target: &TargetId, born: Option<u64>) {
    let known = state.tables().fleet.rows.get(target).and_then(|row| row.report.stamp.born);
    let is_other_run = known.is_some() && born.is_some() && known != born;
    if !is_other_run {
        note_answer(state, target);
    }
}

/// Records that the target that has an address now said in an answer that it leaves.
pub fn note_holder<P>(state: &ForwardState<P>, address: SocketAddr) {
    let holder = state.tables().fleet.at_address(address).cloned();
    if let Some(holder) = holder {
        note_answer(state, &holder);
    }
}

/// Merges the targets that a peer reports as leaving.
pub fn merge_leaving(tables: &mut ForwardTables, leaving: Vec<LeavingWire>, now: Moment) {
    for wire in leaving {
        let (target, note) = wire.note(now);
        if tables.fleet.note_leaving(&target, note) {
            log_leaving(&target, "peer");
        }
    }
}

/// The messages that tell peers which targets leave.
pub fn leaving_wires(tables: &ForwardTables, now: Moment) -> Vec<LeavingWire> {
    let wire = |(target, note): (&TargetId, LeavingNote)| LeavingWire {
        target: SmolStr::new(target.as_str()),
        born: note.born,
        age_ms: millis(now.since(note.heard)),
    };
    tables.fleet.unreported_leaving().map(wire).collect()
}

fn log_leaving(target: &TargetId, source: &'static str) {
    tracing::info!(part = "targets", %target, source, "A target says that it leaves.");
}
