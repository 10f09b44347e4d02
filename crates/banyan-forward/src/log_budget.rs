//! Rate limit for log lines: [`LogBudget`].
//!
//! Routine lines are dropped first, so that lines about failures and refusals are kept under load.

use std::sync::Mutex;
use std::sync::PoisonError;

use banyan_core::units::Moment;

/// The priority of a line when there are too many.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinePriority {
    /// A line about a successful operation.
    Routine,
    /// A line about a failure, a refusal or a change of the process's state.
    Important,
}

/// The fraction of the burst that is reserved for important lines.
const RESERVED_FRACTION: f64 = 0.4;

#[derive(Debug)]
struct BudgetState {
    /// The lines that may be written now.
    available: f64,
    refilled_at: Moment,
    dropped: u64,
}

/// A token bucket for log lines.
#[derive(Debug)]
pub struct LogBudget {
    /// The sustained rate, in lines per second.
    rate: f64,
    /// The largest number of lines in a burst.
    burst: f64,
    state: Mutex<BudgetState>,
}

impl LogBudget {
    /// A full bucket of `burst` lines that is refilled at `rate` lines per second.
    pub fn new(rate: f64, burst: f64) -> Self {
        let state = BudgetState { available: burst, refilled_at: Moment::default(), dropped: 0 };
        Self { rate, burst, state: Mutex::new(state) }
    }

    /// Whether a line may be written. If not, it is counted as dropped.
    pub fn admit(&self, priority: LinePriority, now: Moment) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let refill = now.since(state.refilled_at).as_secs_f64() * self.rate;
        state.available = (state.available + refill).min(self.burst);
        state.refilled_at = now;
        let reserved = match priority {
            LinePriority::Routine => self.burst * RESERVED_FRACTION,
            LinePriority::Important => 0.0,
        };
        if state.available < reserved + 1.0 {
            state.dropped += 1;
            return false;
        }
        state.available -= 1.0;
        true
    }

    /// The number of lines dropped since the last call.
    pub fn take_dropped(&self) -> u64 {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut state.dropped)
    }
}
