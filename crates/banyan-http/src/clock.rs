//! The clocks of the daemon: [`RuntimeClock`] for decisions, the wall clock for the time line only.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::time::Instant;

use banyan_core::units::Moment;

/// The runtime's monotonic clock, counted from the daemon's start; tests pause and advance it.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeClock {
    start: Instant,
}

impl RuntimeClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The time since the start.
    pub fn now(&self) -> Moment {
        Moment(self.start.elapsed().as_micros() as u64)
    }

    /// The runtime's instant of a moment, to wait for.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.start + std::time::Duration::from_micros(moment.0)
    }
}

/// Milliseconds of the Unix epoch, for stamps on the time line.
pub fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
