//! Whether a request may be sent once more: [`RetryShare`], this instance's part of a budget that all
//! instances share.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::ServiceId;
use crate::units::Moment;

/// The bounds of the budget that all instances share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries allowed for each request in the window.
    pub ratio: f64,
    /// The window over which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed in the window beside the ratio, over all instances.
    pub extra: f64,
}

/// The part of the ratio that is used, so that windows that begin elsewhere keep it too.
const RATIO_MARGIN: f64 = 0.8;
/// The part of the extra retries that is used, for the same reason.
const EXTRA_MARGIN: f64 = 0.8;

/// What was sent to one service in the window.
#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

/// This instance's part of the shared budget.
///
/// Invariant: the parts of all instances add up to no more than the budget, since the ratio counts
/// each instance's own requests and the shares of the extra add up to one; the margin covers the time
/// until all know of instances that were added, up to a quarter of them.
#[derive(Debug, Default)]
pub struct RetryShare {
    windows: BTreeMap<ServiceId, ServiceWindow>,
    share_of_extra: f64,
}

impl RetryShare {
    /// Takes the extra retries as shared by so many instances; before that this one has none of them.
    pub fn set_instance_count(&mut self, instances: usize) {
        self.share_of_extra = 1.0 / instances.max(1) as f64;
    }

    /// Counts a request of a caller.
    pub fn note_request(&mut self, service: &ServiceId, bounds: &RetryBounds, now: Moment) {
        let window = self.windows.entry(service.clone()).or_default();
        forget_old(&mut window.requests, bounds.window, now);
        window.requests.push_back(now);
    }

    /// Takes one retry from the budget, if there is one left.
    pub fn try_take(&mut self, service: &ServiceId, bounds: &RetryBounds, now: Moment) -> bool {
        let window = self.windows.entry(service.clone()).or_default();
        forget_old(&mut window.requests, bounds.window, now);
        forget_old(&mut window.retries, bounds.window, now);
        let by_ratio = window.requests.len() as f64 * bounds.ratio * RATIO_MARGIN;
        let by_share = bounds.extra * self.share_of_extra * EXTRA_MARGIN;
        if (window.retries.len() + 1) as f64 > by_ratio + by_share {
            return false;
        }
        window.retries.push_back(now);
        true
    }
}

fn forget_old(moments: &mut VecDeque<Moment>, window: Duration, now: Moment) {
    while moments.front().is_some_and(|at| now.since(*at) >= window) {
        moments.pop_front();
    }
}
