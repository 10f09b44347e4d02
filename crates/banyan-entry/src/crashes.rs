//! Detects requests that crash targets, with the core's suspect table.

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

/// The longest time to wait for a quarantine to be read back from the log.
const READ_BACK_WAIT: Duration = Duration::from_millis(1000);
/// The time that other instances need to read a log entry that this one has read.
const PROPAGATION_TIME: Duration = Duration::from_millis(200);

/// Records that a step with a request's content is about to run on a target.
///
/// Returns false if the content is a suspect and another suspect is running there. It must then
/// wait or use another target, since a crash could not be attributed to one of the two.
pub async fn note_step_started(
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

/// Records that a step with a request's content is no longer running on a target.
pub fn note_step_ended(
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

/// Marks a target that went silent as suspected. It may be slow or unreachable, which says nothing
/// about the content that it runs.
pub fn note_silence(state: &EntryState, target: &TargetId, reason: &str) {
    let now = state.now();
    let change =
        health::note_failure(&mut state.tables().targets, target, SmolStr::new(reason), now);
    if change.is_some() {
        state.journal.record(EventKind::TargetSuspected, "", target.as_str(), reason);
    }
}

/// Records that a target crashed with steps running, and quarantines content that was running in
/// two such crashes.
pub fn note_crash(state: &Arc<EntryState>, target: &TargetId, reason: &str) {
    note_silence(state, target, reason);
    if !state.decisions.quarantine {
        return;
    }
    let mut tables = state.tables();
    let Some(row) = tables.targets.rows.get(target) else { return };
    let incarnation =
        row.report.as_ref().map(|report| report.incarnation.clone()).unwrap_or_default();
    // Every request that was running there reports the same crash.
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

/// Whether requests with this content are refused.
pub fn is_quarantined(state: &EntryState, content: ContentDigest) -> bool {
    if state.tables().recently_quarantined.contains_key(&content) {
        return true;
    }
    let folds = state.folds.tables();
    let fold = &folds.configuration;
    fold.quarantines.get(&content).is_some_and(|until| *until > fold.time)
}

/// Refuses a content locally at once, and on every instance once the log has the quarantine.
pub fn quarantine(state: &EntryState, content: ContentDigest, evidence: &str) {
    let now = state.now();
    let mut tables = state.tables();
    let duration = tables.declaration.policy.quarantine;
    tables.recently_quarantined.insert(content, now + duration);
    drop(tables);
    log::warn!("quarantine: Content {content} crashed a second target, {evidence}.");
    state.journal.record(EventKind::Quarantined, "", evidence, &content.to_string());
    let duration_ms = duration.as_millis() as u64;
    let evidence = SmolStr::new(evidence);
    let body = FactBody::Quarantine { content, duration_ms, evidence };
    let fact = LogFact { id: state.next_record(), body };
    state.writer.submit(StreamId::Configuration, fact, None);
}

/// Waits until the other instances can be expected to refuse a quarantined content too, so that a
/// caller that sends it again at once is refused by any instance.
pub async fn wait_for_quarantine(state: &EntryState, content: ContentDigest) {
    let mut progress = state.folds.subscribe();
    let read_back = async {
        while !state.folds.tables().configuration.quarantines.contains_key(&content) {
            if progress.changed().await.is_err() {
                return;
            }
        }
    };
    // While the log is unavailable, the exchange of suspects tells the other instances.
    let _ = tokio::time::timeout(READ_BACK_WAIT, read_back).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
}

/// Removes expired suspicions and quarantines.
pub fn tick(tables: &mut EntryTables, now: Moment) {
    tables.suspects.tick(now);
    tables.recently_quarantined.retain(|_, until| *until > now);
}
