//! Finds requests that crash targets: bookkeeping around the core's suspect table.

use std::collections::BTreeSet;
use std::sync::Arc;

use smol_str::SmolStr;

use crate::state::EntryState;
use banyan_core::event::EventKind;
use banyan_core::ids::RequestId;
use banyan_core::ids::TargetId;
use banyan_core::record::ContentDigest;
use banyan_core::record::FactBody;
use banyan_core::record::LogFact;
use banyan_core::record::StreamId;
use banyan_core::serving::health;

/// Notes that a request's content has a step under way on a target.
pub fn note_running(
    state: &EntryState,
    target: &TargetId,
    request: &RequestId,
    content: ContentDigest,
) {
    let mut tables = state.tables();
    tables.contents.entry(target.clone()).or_default().insert(request.clone(), content);
    if tables.suspects.is_suspect(content) {
        tables.suspects.probation.insert(content, target.clone());
    }
}

/// Notes that it no longer has.
pub fn note_idle(state: &EntryState, target: &TargetId, request: &RequestId) {
    let mut tables = state.tables();
    if let Some(contents) = tables.contents.get_mut(target) {
        contents.remove(request);
    }
}

/// Notes that a target broke off with steps under way, and convicts what crashed two of them.
pub fn note_crash(state: &Arc<EntryState>, target: &TargetId, reason: &str) {
    let now = state.now();
    let mut tables = state.tables();
    let Some(row) = tables.targets.rows.get(target) else { return };
    let incarnation = row.report.as_ref().map(|report| report.incarnation.clone());
    let change = health::note_failure(&mut tables.targets, target, SmolStr::new(reason), now);
    if change.is_none() {
        return;
    }
    state.journal.record(EventKind::TargetSuspected, "", target.as_str(), reason);
    if !state.decisions.quarantine {
        return;
    }
    let contents: BTreeSet<ContentDigest> =
        tables.contents.get(target).into_iter().flat_map(|rows| rows.values().copied()).collect();
    let incarnation = incarnation.unwrap_or_default();
    let convicted = tables.suspects.note_crash(target, &incarnation, &contents);
    let duration = tables.declaration.policy.quarantine;
    drop(tables);
    for content in convicted {
        quarantine(state, content, target, duration.as_millis() as u64);
    }
}

/// Whether a content is refused.
pub fn is_quarantined(state: &EntryState, content: ContentDigest) -> bool {
    let folds = state.folds.tables();
    let fold = &folds.configuration;
    fold.quarantines.get(&content).is_some_and(|until| *until > fold.time)
}

/// Has a content refused everywhere.
pub fn quarantine(state: &EntryState, content: ContentDigest, target: &TargetId, duration_ms: u64) {
    log::warn!("quarantine: Content {content} stopped a second target, {target}.");
    state.journal.record(EventKind::Quarantined, "", target.as_str(), &content.to_string());
    let evidence = SmolStr::new(target.as_str());
    let body = FactBody::Quarantine { content, duration_ms, evidence };
    let fact = LogFact { id: state.next_record(), body };
    state.writer.submit(StreamId::Configuration, fact, None);
}
