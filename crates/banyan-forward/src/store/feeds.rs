//! Reading of the configuration and the targets from the platform's store: [`follow_configuration`]
//! and [`follow_fleet`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::decisions::tables::ForwardTables;
use crate::edges::FeedListing;
use crate::edges::Platform;
use crate::edges::StoreError;
use crate::settings::ForwardSettings;
use crate::state::ForwardState;
use crate::store::backlog::read_backlog;
use crate::store::call_outcomes::record_store_failure;
use crate::store::call_outcomes::record_store_success;
use crate::store::configuration_record::ConfigurationRecord;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::fleet::TargetReport;
use banyan_core::pipeline::history::FleetHistory;
use banyan_core::pipeline::history::RecordOrigin;
use banyan_core::pipeline::log_position::LogPosition;
use banyan_core::units::Moment;

/// The time between two reads of the changes to the targets.
const FLEET_INTERVAL: Duration = Duration::from_millis(800);
/// The number of reads in a row after which an instance goes on reading for others. At a start, and
/// when a reader is lost, all instances of a zone read for a moment.
const READS_BEFORE_BACKLOG: u32 = 3;
/// The delay before the next call after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// The retry delay if another live instance of the zone also retries and will pass on what it
/// reads.
const STANDBY_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Reads new configurations and activates them, until the daemon stops.
pub async fn follow_configuration<P: Platform>(state: Arc<ForwardState<P>>) {
    let mut next: Option<LogPosition> = None;
    loop {
        if state.wait_until_reading().await {
            next = None;
        }
        match read_configuration(&state, next).await {
            Ok(listing) => {
                record_store_success(&state, "configuration");
                next = Some(listing.next);
                match listing.content {
                    Some(record) => activate_configuration(&state, record),
                    None => record_configuration_known(&state),
                }
            }
            Err(StoreError::OffsetTrimmed { .. } | StoreError::LaterEra { .. }) => next = None,
            Err(error) => {
                record_store_failure(&state, "configuration", &error);
                tokio::time::sleep(retry_delay(&state)).await;
            }
        }
    }
}

/// Reads the newest configuration, or waits for the first one after a position. What a store wrote
/// since it came back from a copy may stand before that position, so the wait ends if it did.
async fn read_configuration<P: Platform>(
    state: &ForwardState<P>,
    next: Option<LogPosition>,
) -> Result<FeedListing<Option<ConfigurationRecord>>, StoreError> {
    let Some(from) = next else { return state.platform.configuration().await };
    tokio::select! {
        read = state.platform.configuration_after(from) => read,
        era = state.platform.later_era(from.era) => Err(StoreError::LaterEra { era }),
    }
}

/// Keeps the table of targets up to date, until the daemon stops.
pub async fn follow_fleet<P: Platform>(state: Arc<ForwardState<P>>) {
    let mut relist = true;
    let mut reads_in_a_row = 0;
    let mut began_at = LogPosition::default();
    loop {
        if state.wait_until_reading().await {
            reads_in_a_row = 0;
        }
        let next = state.tables().history.next().filter(|_| !relist);
        let read = match next {
            Some(from) => read_changes(&state, from).await,
            None => read_listing(&state).await,
        };
        // No request can be served before the first listing, so it is retried sooner.
        let fleet_known = state.tables().fleet_known;
        let mut pause = if fleet_known { FLEET_INTERVAL } else { RETRY_DELAY };
        match read {
            Ok(()) => {
                record_store_success(&state, "targets");
                relist = false;
                let settings = state.settings();
                state.tables().note_fleet_read(state.now(), &settings);
                reads_in_a_row += 1;
                if reads_in_a_row == 1 {
                    began_at = state.tables().history.next().unwrap_or_default();
                }
                if reads_in_a_row == READS_BEFORE_BACKLOG {
                    try_backlog(&state, began_at).await;
                }
            }
            Err(StoreError::OffsetTrimmed { .. }) => relist = true,
            Err(StoreError::LaterEra { .. }) => {
                relist = true;
                reads_in_a_row = 0;
                pause = Duration::ZERO;
            }
            Err(error) => {
                record_store_failure(&state, "targets", &error);
                pause = pause.max(retry_delay(&state));
            }
        }
        expire_fleet_entries(&state);
        if wait_for_next_read(&state, pause, relist).await {
            relist = true;
            reads_in_a_row = 0;
        }
    }
}

/// Waits for a pause between two reads. Unless the targets are listed next anyway, the wait ends as
/// soon as the store names a later era. Returns whether it does.
async fn wait_for_next_read<P: Platform>(
    state: &ForwardState<P>,
    pause: Duration,
    relist: bool,
) -> bool {
    let next = state.tables().history.next().filter(|_| !relist);
    let later_era = async {
        match next {
            Some(next) => state.platform.later_era(next.era).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = tokio::time::sleep(pause) => false,
        _ = later_era => true,
    }
}

/// Reads what targets wrote before this instance began to read. Without it, a report that was written
/// late may be taken for that of a running target until it expires.
async fn try_backlog<P: Platform>(state: &ForwardState<P>, began_at: LogPosition) {
    if let Err(error) = read_backlog(state, began_at).await {
        tracing::info!(part = "targets", %error, "The earlier records could not be read.");
    }
}

/// The delay before the next call after a failed one.
fn retry_delay<P>(state: &ForwardState<P>) -> Duration {
    let settings = state.settings();
    let tables = state.tables();
    let has_data = tables.configuration_known && tables.fleet_known;
    let other_retries = tables.readers.may_wait(&settings.own_instance(), state.now());
    if has_data && other_retries { STANDBY_RETRY_DELAY } else { RETRY_DELAY }
}

async fn read_listing<P: Platform>(state: &ForwardState<P>) -> Result<(), StoreError> {
    let listing = state.platform.fleet().await?;
    let known = state.tables().history.next().map_or(listing.next.era, |next| next.era);
    if listing.next.era < known {
        return Err(StoreError::EarlierEra { era: listing.next.era, known });
    }
    apply_listing(state, listing.content, listing.next, store_origin(state));
    Ok(())
}

async fn read_changes<P: Platform>(
    state: &ForwardState<P>,
    from: LogPosition,
) -> Result<(), StoreError> {
    let listing = state.platform.fleet_after(from).await?;
    // A peer may have supplied newer changes in the meantime.
    if state.tables().history.next() == Some(from) {
        apply_changes(state, listing.content, listing.next, store_origin(state));
    }
    Ok(())
}

/// The origin of records that this instance has just read in the store.
fn store_origin<P>(state: &ForwardState<P>) -> RecordOrigin {
    let settings = state.settings();
    state.tables().store_origin(&settings, state.now())
}

/// Applies a full listing of targets, unless newer data is known.
pub fn apply_listing<P>(
    state: &ForwardState<P>,
    listing: BTreeMap<TargetId, TargetReport>,
    next: LogPosition,
    origin: RecordOrigin,
) {
    let now = state.now();
    let settings = state.settings();
    let mut tables = state.tables();
    let known = tables.history.next();
    if known.is_some_and(|known| known > next) {
        return;
    }
    if known.is_some_and(|known| known.era < next.era) {
        let changes = tables.history.restore(listing, next, origin);
        note_restored_store(&mut tables, known, next, now);
        apply_to_fleet(state, &mut tables, changes);
    } else {
        tables.history.replace(listing, next, origin);
        if known != Some(next) {
            drop_unconfirmed(&mut tables, &settings, now);
        }
        let listed = tables.history.listed().clone();
        for (id, report) in &listed {
            withdraw_crash(&mut tables, id, report, now);
        }
        tables.fleet.replace(listed, now);
    }
    tables.fleet_known = true;
    drop(tables);
    state.check_initial_reads();
    state.feed_changed.send_replace(());
}

/// Activates a configuration, unless the active one has the same or a higher version.
pub fn activate_configuration<P>(state: &ForwardState<P>, record: ConfigurationRecord) {
    let mut tables = state.tables();
    let current = tables.configuration.as_ref().map(|record| record.table.version);
    if current.is_some_and(|current| current >= record.table.version) {
        return;
    }
    let version = record.table.version;
    tables.configuration = Some(record);
    drop(tables);
    record_configuration_known(state);
    state.feed_changed.send_replace(());
    metrics::gauge!("banyan_configuration_version").set(version as f64);
    tracing::info!(
        part = "configuration",
        version,
        was = current,
        "A configuration was activated."
    );
}

/// Records that it is known which configuration is active, or that none is.
fn record_configuration_known<P>(state: &ForwardState<P>) {
    state.tables().configuration_known = true;
    state.check_initial_reads();
}

/// Applies a batch of changes up to the offset `next`, unless newer data is known.
pub fn apply_changes<P>(
    state: &ForwardState<P>,
    batch: Vec<FleetChange>,
    next: LogPosition,
    origin: RecordOrigin,
) {
    let now = state.now();
    let settings = state.settings();
    let mut tables = state.tables();
    let known = tables.history.next();
    if known.is_some_and(|known| known > next) {
        return;
    }
    log_returns(&tables.history, &batch);
    let mut changes = tables.history.apply(batch, next, origin);
    if known.is_some_and(|known| known.era < next.era) {
        note_restored_store(&mut tables, known, next, now);
    }
    if known != Some(next) {
        changes.extend(drop_unconfirmed(&mut tables, &settings, now));
    }
    apply_to_fleet(state, &mut tables, changes);
}

/// Removes the targets that have not written again in time since the store came back from a copy.
/// Called only after new records, since instances that have read as far as this one are told only
/// what follows.
fn drop_unconfirmed(
    tables: &mut ForwardTables,
    settings: &ForwardSettings,
    now: Moment,
) -> Vec<FleetChange> {
    if !tables.is_confirmation_over(settings, now) {
        return Vec::new();
    }
    tables.history.drop_unconfirmed()
}

/// Records that the targets are known as of the store's return from a copy.
fn note_restored_store(
    tables: &mut ForwardTables,
    known: Option<LogPosition>,
    next: LogPosition,
    now: Moment,
) {
    tables.store_restored_at = Some(now);
    let was = known.unwrap_or_default();
    metrics::counter!("banyan_store_returns_total").increment(1);
    tracing::warn!(
        part = "targets",
        %was,
        %next,
        missing = tables.history.unconfirmed_count(),
        "The store came back from a copy. Targets that it lacks stay in use until they had time to \
         write again."
    );
}

/// Applies changes of the records to the table of targets, and notifies those that wait for them.
pub(super) fn apply_to_fleet<P>(
    state: &ForwardState<P>,
    tables: &mut ForwardTables,
    changes: Vec<FleetChange>,
) {
    let now = state.now();
    let has_changes = !changes.is_empty();
    let previous_revision = tables.fleet.revision;
    for change in changes {
        match &change {
            FleetChange::Removed(id) => {
                tracing::info!(part = "targets", target = %id, "The target's record was removed.");
            }
            FleetChange::Reported(id, report) => withdraw_crash(tables, id, report, now),
        }
        tables.fleet.apply(change, now);
    }
    let revision = tables.fleet.revision;
    if has_changes {
        state.feed_changed.send_replace(());
    }
    if revision != previous_revision {
        tracing::debug!(part = "targets", revision, "The targets changed.");
        state.plan_due.notify_one();
    }
}

/// Records that a target did not crash whose run reports again after its record was removed.
fn withdraw_crash(tables: &mut ForwardTables, id: &TargetId, report: &TargetReport, now: Moment) {
    let was_listed = tables.fleet.rows.get(id).is_some_and(|row| row.removed.is_none());
    if let Some(run) = report.stamp.born.filter(|_| !was_listed) {
        tables.crashes.withdraw(id, run, now);
    }
}

/// Logs the reports of removed targets, with the last report that was known before the removal. They
/// tell a target that returned from a report that was written late.
fn log_returns(history: &FleetHistory, batch: &[FleetChange]) {
    for change in batch {
        let FleetChange::Reported(id, report) = change else { continue };
        let Some(last) = history.last_before_removal(id) else { continue };
        tracing::info!(
            part = "targets",
            target = %id,
            born = report.stamp.born,
            sequence = report.stamp.sequence,
            last_born = last.born,
            last_sequence = last.sequence,
            "A removed target's record was written again."
        );
    }
}

/// Removes targets whose records were removed long enough ago, and outdated reports of targets
/// about their layers and slowdown.
pub fn expire_fleet_entries<P>(state: &ForwardState<P>) {
    let now = state.now();
    let settings = state.settings();
    let mut guard = state.tables();
    let tables = &mut *guard;
    tables.fleet.expire_observations(tables.history.listed(), now);
    tables.fleet.expire_slowdowns(now);
    tables.peer_loads.rejections.expire(now);
    let retention = tables.removal_retention(&settings, now);
    let dropped_targets = tables.fleet.drop_removed(retention, now);
    for id in &dropped_targets {
        tables.suspicions.forget(id);
    }
}
