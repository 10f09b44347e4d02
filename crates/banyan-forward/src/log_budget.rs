//! How many log lines may be written: [`LogBudget`].
//!
//! Lines about what went well give way first, so that under load those about failures and refusals
//! remain.

use std::sync::Mutex;
use std::sync::PoisonError;

use banyan_core::units::Moment;

/// How much a line matters when there are too many.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinePriority {
    /// About what went well.
    Routine,
    /// About failures, refusals and changes of what the process believes.
    Important,
}

/// The part of the budget that routine lines leave to important ones.
const IMPORTANT_PART: f64 = 0.4;

#[derive(Debug)]
struct BudgetState {
    left: f64,
    filled: Moment,
    dropped: u64,
}

/// A budget of lines that fills up again with time.
#[derive(Debug)]
pub struct LogBudget {
    /// Lines a second in the long run.
    rate: f64,
    /// Lines at once at most.
    burst: f64,
    state: Mutex<BudgetState>,
}

impl LogBudget {
    /// A full budget of `rate` lines a second and `burst` lines at once.
    pub fn new(rate: f64, burst: f64) -> Self {
        let state = BudgetState { left: burst, filled: Moment::default(), dropped: 0 };
        Self { rate, burst, state: Mutex::new(state) }
    }

    /// Whether a line may be written; one that may not is counted.
    pub fn admit(&self, weight: LinePriority, now: Moment) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let filled = now.since(state.filled).as_secs_f64() * self.rate;
        state.left = (state.left + filled).min(self.burst);
        state.filled = now;
        let floor = match weight {
            LinePriority::Routine => self.burst * IMPORTANT_PART,
            LinePriority::Important => 0.0,
        };
        if state.left < floor + 1.0 {
            state.dropped += 1;
            return false;
        }
        state.left -= 1.0;
        true
    }

    /// The lines that were left out since the last call.
    pub fn take_dropped(&self) -> u64 {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut state.dropped)
    }
}
