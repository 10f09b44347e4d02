//! Remembers which targets rejected requests for lack of room: [`RejectionTable`].
//!
//! A rejection tells more than promises and digests: the target was full a moment ago, whoever
//! filled it. New requests skip the target, in every chain through it, until its own report shows
//! room or the rejection is too old to say anything.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::TargetId;
use crate::units::Moment;

/// How long a rejection holds without further news: as long as a target that refused a request is
/// suspected, so that the two end together.
pub const REJECTION_VALIDITY: Duration = Duration::from_millis(500);
/// The fullness up to which a report shows room. Above it, a target has room for a few requests at
/// most, which the instances that were rejected would all use at once.
const MAX_REPORTED_FULLNESS: f64 = 0.9;

/// The memory use of a target, as it reported itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomReport {
    /// The used part of the memory for requests. Invariant: finite and not negative.
    pub used: f64,
    /// The number of requests that wait for memory.
    pub waiting: u32,
    /// The number of requests that run.
    pub running: u32,
}

impl RoomReport {
    /// Whether the target has room for new requests.
    pub fn shows_room(self) -> bool {
        self.waiting == 0 && self.used <= MAX_REPORTED_FULLNESS
    }
}

/// A rejection that may still hold.
#[derive(Clone, Copy, Debug)]
struct RejectionRow {
    /// When the last rejection arrived.
    rejected: Moment,
    /// When it ends.
    until: Moment,
}

/// The targets that rejected a request of this instance for lack of room.
///
/// Invariant: at most one row for each target, so its size is bounded by the fleet's.
#[derive(Debug, Default)]
pub struct RejectionTable {
    rows: BTreeMap<TargetId, RejectionRow>,
}

impl RejectionTable {
    /// Records a rejection. Returns whether the target was not skipped before.
    pub fn note_rejection(&mut self, id: &TargetId, now: Moment) -> bool {
        let is_new = !self.is_full(id, now);
        let row = RejectionRow { rejected: now, until: now + REJECTION_VALIDITY };
        self.rows.insert(id.clone(), row);
        is_new
    }

    /// Applies a target's report. `asked` is when the report was requested: one that was requested
    /// before the rejection may describe the time before it and is ignored. Returns whether the
    /// report ends the rejection.
    pub fn note_report(&mut self, id: &TargetId, report: RoomReport, asked: Moment) -> bool {
        let Some(row) = self.rows.get_mut(id) else { return false };
        if asked < row.rejected {
            return false;
        }
        if !report.shows_room() {
            row.until = row.until.max(asked + REJECTION_VALIDITY);
            return false;
        }
        let was_skipped = asked < row.until;
        self.rows.remove(id);
        was_skipped
    }

    /// Whether new requests skip a target now.
    pub fn is_full(&self, id: &TargetId, now: Moment) -> bool {
        self.rows.get(id).is_some_and(|row| now < row.until)
    }

    /// Drops rejections that no longer hold.
    pub fn expire(&mut self, now: Moment) {
        self.rows.retain(|_, row| now < row.until);
    }
}
