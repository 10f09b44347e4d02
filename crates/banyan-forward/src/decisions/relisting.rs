//! Which targets may be missing from the platform's store although they run, and for how long removed
//! ones stay usable.

use std::time::Duration;

use crate::decisions::tables::ForwardTables;
use crate::settings::ForwardSettings;
use banyan_core::pipeline::history::RecordOrigin;
use banyan_core::units::Moment;

/// The shortest outage of the store in which records of running targets may expire, in report
/// intervals: one fewer than the platform waits for a report, since the last one may have been
/// written an interval before the outage.
const MIN_LAPSE_INTERVALS: u32 = 2;
/// The time after the return of the store within which running targets whose records expired are
/// listed again. A target that is still missing has left.
const RELISTING_TIME: Duration = Duration::from_millis(2_500);
/// The fraction of `leave_time` for which a target stays usable after its record was removed.
const REMOVED_GRACE_FRACTION: f64 = 0.25;
/// The same fraction during [`RELISTING_TIME`]. It is below 1, so that requests stop going to a
/// target in time even if it has left.
const RELISTING_GRACE_FRACTION: f64 = 0.9;

impl ForwardTables {
    /// Records that the targets matched the platform's store at a moment.
    ///
    /// How long they could not be read, from whichever instance, tells whether records of running
    /// targets may have expired. A failed call does not: it may concern one connection alone.
    pub fn note_fleet_read(&mut self, at: Moment, settings: &ForwardSettings) {
        if self.may_have_lapsed(settings, at) {
            self.store_returned_at = Some(at);
        }
        self.fleet_read_at = self.fleet_read_at.max(at);
    }

    /// The origin of records that this instance has just read in the store. Returns are expected if
    /// the store was away until recently, or until now.
    pub fn store_origin(&self, settings: &ForwardSettings, now: Moment) -> RecordOrigin {
        let has_returned = self.may_have_lapsed(settings, now) || self.is_relisting(settings, now);
        // A store that has come back from a copy repeats reports of targets that have left since.
        let is_restored = !self.is_confirmation_over(settings, now);
        if has_returned && !is_restored { RecordOrigin::ReturnedStore } else { RecordOrigin::Store }
    }

    /// Whether targets that were missing when the store had come back from a copy have had the time
    /// to write again. They may be used for the usual grace after that.
    pub fn is_confirmation_over(&self, settings: &ForwardSettings, now: Moment) -> bool {
        let grace = settings.bounds.leave_time.mul_f64(REMOVED_GRACE_FRACTION);
        let time = relisting_time(settings).saturating_sub(grace);
        self.store_restored_at.is_none_or(|restored| now.since(restored) >= time)
    }

    /// Whether the targets could not be read for so long before a moment that records of running
    /// targets may have expired.
    fn may_have_lapsed(&self, settings: &ForwardSettings, at: Moment) -> bool {
        at.since(self.fleet_read_at) >= settings.report_interval * MIN_LAPSE_INTERVALS
    }

    /// How long a target may still be used after its record was removed.
    pub fn removal_grace(&self, settings: &ForwardSettings, now: Moment) -> Duration {
        let relisting = self.is_relisting(settings, now);
        let fraction = if relisting { RELISTING_GRACE_FRACTION } else { REMOVED_GRACE_FRACTION };
        settings.bounds.leave_time.mul_f64(fraction)
    }

    /// How long the row of a target is kept after its record was removed.
    pub fn removal_retention(&self, settings: &ForwardSettings, now: Moment) -> Duration {
        let grace = self.removal_grace(settings, now);
        if self.is_relisting(settings, now) { grace.max(RELISTING_TIME) } else { grace }
    }

    /// Whether running targets may be missing because the store was away until recently.
    fn is_relisting(&self, settings: &ForwardSettings, now: Moment) -> bool {
        self.store_returned_at
            .is_some_and(|returned| now.since(returned) < relisting_time(settings))
    }
}

/// The time after the return of the store within which running targets are listed again.
fn relisting_time(settings: &ForwardSettings) -> Duration {
    RELISTING_TIME.min(settings.bounds.settle_time)
}
