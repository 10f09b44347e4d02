//! Reads what targets wrote shortly before this instance began to read: [`read_backlog`].
//!
//! A listing does not tell a report that the store wrote late from the report of a running target,
//! nor which targets were removed. The records of the seconds before it do.

use std::time::Duration;

use crate::edges::Platform;
use crate::edges::StoreError;
use crate::state::ForwardState;
use crate::store::feeds::apply_to_fleet;
use banyan_core::ids::LogOffset;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::log_position::LogPosition;

/// How long after it was sent a write may be carried out.
const LATE_WRITE_TIME: Duration = Duration::from_secs(8);
/// The number of records that are read at least, since few targets may be left of many.
const MIN_BACKLOG_RECORDS: u64 = 1_024;
/// The number of records that are read at most.
const MAX_BACKLOG_RECORDS: u64 = 8_192;

/// Reads the records of the last seconds before `end`, where this instance began to read, and applies
/// what they tell. There are none where the system starts for the first time.
pub async fn read_backlog<P: Platform>(
    state: &ForwardState<P>,
    end: LogPosition,
) -> Result<(), StoreError> {
    let first = LogOffset(end.offset.0.saturating_sub(backlog_length(state)));
    let mut from = LogPosition { era: end.era, offset: first };
    let mut backlog: Vec<FleetChange> = Vec::new();
    while from < end {
        match state.platform.fleet_after(from).await {
            Ok(listing) if listing.next <= from => break,
            Ok(listing) => {
                let left = (end.offset.0 - from.offset.0) as usize;
                backlog.extend(listing.content.into_iter().take(left));
                from = listing.next;
            }
            Err(StoreError::OffsetTrimmed { first: Some(first) }) if first > from.offset => {
                from.offset = first;
            }
            Err(error) => return Err(error),
        }
    }
    let mut tables = state.tables();
    let changes = tables.history.learn(backlog);
    apply_to_fleet(state, &mut tables, changes);
    Ok(())
}

/// The number of records that the targets write within `LATE_WRITE_TIME`.
fn backlog_length<P>(state: &ForwardState<P>) -> u64 {
    let interval = state.settings().report_interval.max(Duration::from_millis(1));
    let reports = LATE_WRITE_TIME.div_duration_f64(interval).ceil() as u64;
    let targets = state.tables().history.listed().len() as u64;
    targets.saturating_mul(reports).clamp(MIN_BACKLOG_RECORDS, MAX_BACKLOG_RECORDS)
}
