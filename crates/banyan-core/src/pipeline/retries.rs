//! Limits retries: [`RetryShare`], this instance's share of a budget that all instances share.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::ServiceId;
use crate::units::Moment;

/// The limits of the retry budget of all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// The window over which requests and retries are counted.
    pub window: Duration,
    /// Additional retries allowed in the window, over all instances.
    pub extra: f64,
}

/// Fraction of the ratio that is used, so that windows with other start times stay within the
/// budget too.
const RATIO_MARGIN: f64 = 0.8;
/// Fraction of the extra retries that is used, for the same reason.
const EXTRA_MARGIN: f64 = 0.8;

/// The requests and retries of one service in the window.
#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

/// This instance's share of the retry budget.
///
/// Invariant: the shares of all instances add up to no more than the budget. The ratio counts each
/// instance's own requests, and the shares of the extra retries add up to one. The margin covers
/// the time until all instances know of added ones, up to a quarter of their number.
#[derive(Debug, Default)]
pub struct RetryShare {
    windows: BTreeMap<ServiceId, ServiceWindow>,
    share_of_extra: f64,
}

impl RetryShare {
    /// Sets the number of instances that share the extra retries. Before the first call this
    /// instance has no share of them.
    pub fn set_instance_count(&mut self, instances: usize) {
        self.share_of_extra = 1.0 / instances.max(1) as f64;
    }

    /// Counts a caller's request, which earns a fraction of a retry.
    pub fn note_request(&mut self, service: &ServiceId, bounds: &RetryBounds, now: Moment) {
        let window = self.windows.entry(service.clone()).or_default();
        drop_expired(&mut window.requests, bounds.window, now);
        window.requests.push_back(now);
    }

    /// Takes one retry from the budget. Returns `false` if none is left.
    pub fn try_take(&mut self, service: &ServiceId, bounds: &RetryBounds, now: Moment) -> bool {
        let window = self.windows.entry(service.clone()).or_default();
        drop_expired(&mut window.requests, bounds.window, now);
        drop_expired(&mut window.retries, bounds.window, now);
        let from_ratio = window.requests.len() as f64 * bounds.ratio * RATIO_MARGIN;
        let from_extra = bounds.extra * self.share_of_extra * EXTRA_MARGIN;
        if (window.retries.len() + 1) as f64 > from_ratio + from_extra {
            return false;
        }
        window.retries.push_back(now);
        true
    }
}

fn drop_expired(moments: &mut VecDeque<Moment>, window: Duration, now: Moment) {
    while moments.front().is_some_and(|at| now.since(*at) >= window) {
        moments.pop_front();
    }
}
