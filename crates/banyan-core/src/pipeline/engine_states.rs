//! Remembers how many orders engines have accepted, so that an order needs no state request before
//! it: [`EngineStates`].
//!
//! Each order states the number of orders that the engine must have accepted. A number that is
//! wrong leads to a conflict and has no effect, so a remembered number is safe to use, however old.

use std::collections::BTreeMap;

use crate::ids::TargetId;
use crate::pipeline::fleet::TargetReport;

/// What is known about an engine's orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum KnownState {
    /// A run, by its start time, was idle after accepting this number of orders.
    Idle { born: Option<u64>, accepted_orders: u64 },
    /// An order may have been accepted since the state was read.
    Unsure,
}

/// The engines whose state was read, or to which orders were sent.
#[derive(Debug, Default)]
pub struct EngineStates {
    rows: BTreeMap<TargetId, KnownState>,
}

impl EngineStates {
    /// Records that an engine's run was idle after accepting a number of orders.
    pub fn record_idle(&mut self, id: &TargetId, born: Option<u64>, accepted_orders: u64) {
        self.rows.insert(id.clone(), KnownState::Idle { born, accepted_orders });
    }

    /// Records that an engine may have accepted an order since its state was read.
    pub fn record_unsure(&mut self, id: &TargetId) {
        self.rows.insert(id.clone(), KnownState::Unsure);
    }

    /// The number of orders that an engine is expected to have accepted, or `None` if its state
    /// must be read first. An engine without layers of which nothing else is known is taken to have
    /// started recently and to have accepted none.
    pub fn expected_orders(&self, id: &TargetId, report: &TargetReport) -> Option<u64> {
        match self.rows.get(id) {
            Some(KnownState::Idle { born, accepted_orders })
                if born.is_some() && *born == report.stamp.born =>
            {
                Some(*accepted_orders)
            }
            None if report.held.is_empty() => Some(0),
            _ => None,
        }
    }

    /// Forgets engines that are no longer listed.
    pub fn retain_targets(&mut self, is_listed: impl Fn(&TargetId) -> bool) {
        self.rows.retain(|id, _| is_listed(id));
    }
}
