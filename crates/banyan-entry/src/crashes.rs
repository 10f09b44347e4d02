//! Finds requests that crash targets: bookkeeping around the core's suspect table.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::state::EntryState;
use crate::state::EntryTables;
use crate::trials::begin_trial;
use crate::trials::end_trial;
use banyan_core::event::EventKind;
use banyan_core::ids::RequestId;
use banyan_core::ids::TargetId;
use banyan_core::record::ContentDigest;
use banyan_core::record::FactBody;
use banyan_core::record::LogFact;
use banyan_core::record::StreamId;
use banyan_core::serving::health;
use banyan_core::units::Moment;

/// The longest time to wait for a quarantine to be read back.
const KNOWN_WAIT: Duration = Duration::from_millis(1000);
/// The time that other instances need to read what this one has read.
const SPREAD_TIME: Duration = Duration::from_millis(200);

/// Notes that a request's content has a step under way on a target.
///
/// False where the content is a suspect and another suspect runs there: it must wait or go
/// elsewhere, or a crash would not tell the two apart.
pub async fn note_running(
    state: &Arc<EntryState>,
    target: &TargetId,
    request: &RequestId,
    content: ContentDigest,
) -> bool {
    let suspected = {
        let mut tables = state.tables();
        if !tables.suspects.enter(content, target) {
            return false;
        }
        tables.suspects.is_suspect(content)
    };
    if suspected && !begin_trial(state, target, content).await {
        state.tables().suspects.leave(content);
        return false;
    }
    let mut tables = state.tables();
    tables.contents_in_flight.entry(target.clone()).or_default().insert(request.clone(), content);
    true
}

/// Notes that it no longer has.
pub fn note_idle(
    state: &Arc<EntryState>,
    target: &TargetId,
    request: &RequestId,
    content: ContentDigest,
) {
    let mut tables = state.tables();
    if let Some(contents) = tables.contents_in_flight.get_mut(target) {
        contents.remove(request);
    }
    tables.suspects.leave(content);
    let suspected = tables.suspects.is_suspect(content);
    drop(tables);
    if suspected {
        end_trial(state, target, content);
    }
}

/// Suspects a target that went silent: it may be slow or cut off, which says nothing about what
/// it runs.
pub fn note_silence(state: &EntryState, target: &TargetId, reason: &str) {
    let now = state.now();
    let change =
        health::note_failure(&mut state.tables().targets, target, SmolStr::new(reason), now);
    if change.is_some() {
        state.journal.record(EventKind::TargetSuspected, "", target.as_str(), reason);
    }
}

/// Notes that a run of a target ended with steps under way, and convicts what ended two of them.
pub fn note_crash(state: &Arc<EntryState>, target: &TargetId, reason: &str) {
    note_silence(state, target, reason);
    if !state.decisions.quarantine {
        return;
    }
    let mut tables = state.tables();
    let Some(row) = tables.targets.rows.get(target) else { return };
    let incarnation =
        row.report.as_ref().map(|report| report.incarnation.clone()).unwrap_or_default();
    // Every request that was under way there reports the same crash.
    if tables.crashed_incarnations.insert(target.clone(), incarnation.clone()).as_ref()
        == Some(&incarnation)
    {
        return;
    }
    let contents: BTreeSet<ContentDigest> = tables
        .contents_in_flight
        .get(target)
        .into_iter()
        .flat_map(|rows| rows.values().copied())
        .collect();
    let convicted = tables.suspects.note_crash(target, &incarnation, &contents);
    drop(tables);
    for content in convicted {
        quarantine(state, content, target.as_str());
    }
}

/// Whether a content is refused.
pub fn is_quarantined(state: &EntryState, content: ContentDigest) -> bool {
    if state.tables().recently_quarantined.contains_key(&content) {
        return true;
    }
    let folds = state.folds.tables();
    let fold = &folds.configuration;
    fold.quarantines.get(&content).is_some_and(|until| *until > fold.time)
}

/// Refuses a content here at once, and everywhere as soon as the log takes the word.
pub fn quarantine(state: &EntryState, content: ContentDigest, evidence: &str) {
    let now = state.now();
    let mut tables = state.tables();
    let duration = tables.declaration.policy.quarantine;
    tables.recently_quarantined.insert(content, now + duration);
    drop(tables);
    log::warn!("quarantine: Content {content} stopped a second target, {evidence}.");
    state.journal.record(EventKind::Quarantined, "", evidence, &content.to_string());
    let duration_ms = duration.as_millis() as u64;
    let evidence = SmolStr::new(evidence);
    let body = FactBody::Quarantine { content, duration_ms, evidence };
    let fact = LogFact { id: state.next_record(), body };
    state.writer.submit(StreamId::Configuration, fact, None);
}

/// Waits until the other instances can be expected to refuse a convicted content too, so that a
/// caller that sends it again at once meets the refusal wherever it goes.
pub async fn wait_until_known(state: &EntryState, content: ContentDigest) {
    let mut progress = state.folds.subscribe();
    let known = async {
        while !state.folds.tables().configuration.quarantines.contains_key(&content) {
            if progress.changed().await.is_err() {
                return;
            }
        }
    };
    // While the log is away the word reaches the others through the exchange of suspects.
    let _ = tokio::time::timeout(KNOWN_WAIT, known).await;
    tokio::time::sleep(SPREAD_TIME).await;
}

/// Forgets suspicions and convictions that are over.
pub fn tick(tables: &mut EntryTables, now: Moment) {
    tables.suspects.tick(now);
    tables.recently_quarantined.retain(|_, until| *until > now);
}
