//! The daemon's clocks: [`RuntimeClock`] for decisions, the wall clock only for event timestamps.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::time::Instant;

use banyan_core::units::Moment;

/// The async runtime's monotonic clock, counted from the daemon's start.
///
/// Tests can pause and advance it.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeClock {
    start: Instant,
}

impl RuntimeClock {
    /// Creates a clock that counts from now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time since the clock started.
    pub fn now(&self) -> Moment {
        Moment(self.start.elapsed().as_micros() as u64)
    }

    /// Converts a moment into an instant of the runtime that a task can sleep until.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.start + std::time::Duration::from_micros(moment.0)
    }
}

/// Returns the milliseconds since the Unix epoch, for event timestamps.
pub fn wall_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    elapsed.as_millis() as u64
}
