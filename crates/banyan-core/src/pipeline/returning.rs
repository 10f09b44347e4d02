//! Recognises requests that were refused before, and holds room for their return: [`RefusedTable`].
//!
//! A caller that repeats a refused request gives it a new id, so it is recognised by its content.
//! The content includes the service and the workspace.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::ServiceId;
use crate::pipeline::priority::EffectivePriority;
use crate::record::ContentDigest;
use crate::units::Moment;
use crate::units::TokenCount;

/// How long after the time that it was given a request is still recognised. Later ones are new
/// requests that happen to have the same content.
const RETURN_WINDOW: Duration = Duration::from_secs(2);
/// How long after the given time room is held. Callers return at that time, delayed only by the
/// way to the instance and the transfer of the request.
const HOLD_TIME: Duration = Duration::from_millis(200);
/// The largest number of refused requests that are remembered, which bounds the memory. Beyond it,
/// those that were to return first are forgotten.
const MAX_REMEMBERED: usize = 8_192;
/// The weight of one request in the moving average of how many return here.
const RETURN_SAMPLE_WEIGHT: f64 = 0.05;

/// Whether a request was refused before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// It was not refused recently.
    New,
    /// It was refused, and is repeated before the time that its caller was given.
    Early,
    /// It was refused, and is repeated no earlier than expected.
    OnTime,
}

/// A request that was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusedRequest {
    /// The service that it asked for.
    pub service: ServiceId,
    /// Its priority.
    pub priority: EffectivePriority,
    /// Its size.
    pub tokens: TokenCount,
    /// When its caller was told to return.
    pub time: Moment,
}

/// The requests that were refused recently.
///
/// Invariant: `by_time` holds each entry of `requests` once.
#[derive(Clone, Debug, Default)]
pub struct RefusedTable {
    requests: BTreeMap<ContentDigest, RefusedRequest>,
    by_time: BTreeMap<ServiceId, BTreeSet<(Moment, ContentDigest)>>,
    /// The fraction of refused requests that return to this instance. It begins at zero, so that
    /// no room is held where callers return to other instances.
    return_rate: f64,
}

impl RefusedTable {
    /// Whether a request with this content was refused recently.
    pub fn arrival(&self, content: ContentDigest, now: Moment) -> Arrival {
        match self.requests.get(&content) {
            Some(request) if now > request.time + RETURN_WINDOW => Arrival::New,
            Some(request) if now >= request.time => Arrival::OnTime,
            Some(_) => Arrival::Early,
            None => Arrival::New,
        }
    }

    /// Remembers a refused request.
    pub fn note_refused(&mut self, content: ContentDigest, request: RefusedRequest, now: Moment) {
        self.note_returned(content);
        self.drop_expired(&request.service, now);
        if self.requests.len() >= MAX_REMEMBERED {
            self.drop_first();
        }
        let times = self.by_time.entry(request.service.clone()).or_default();
        times.insert((request.time, content));
        self.requests.insert(content, request);
    }

    /// Forgets a request, since it was repeated.
    pub fn note_returned(&mut self, content: ContentDigest) {
        if self.remove(content) {
            self.record_return(1.0);
        }
    }

    /// Forgets a request that did not return in time.
    pub fn forget(&mut self, content: ContentDigest) {
        if self.remove(content) {
            self.record_return(0.0);
        }
    }

    /// The number of refused requests of a service that are expected to return from now on and are
    /// at least as urgent as `priority`.
    pub fn expected_returns(
        &self,
        service: &ServiceId,
        priority: EffectivePriority,
        now: Moment,
    ) -> usize {
        self.requests_since(service, now.before(HOLD_TIME))
            .filter(|request| request.priority <= priority)
            .count()
    }

    /// The tokens of the requests of a service that are due to return now and are at least as
    /// urgent as `priority`, as far as refused requests return to this instance.
    pub fn held_tokens(
        &self,
        service: &ServiceId,
        priority: EffectivePriority,
        now: Moment,
    ) -> TokenCount {
        let due: u64 = self
            .requests_since(service, now.before(HOLD_TIME))
            .take_while(|request| request.time <= now)
            .filter(|request| request.priority <= priority)
            .map(|request| request.tokens.0)
            .sum();
        TokenCount((due as f64 * self.return_rate) as u64)
    }

    /// The refused requests of a service that were to return at `from` or later, in this order.
    fn requests_since(
        &self,
        service: &ServiceId,
        from: Moment,
    ) -> impl Iterator<Item = &RefusedRequest> {
        let times = self.by_time.get(service).into_iter();
        times
            .flat_map(move |times| times.range((from, ContentDigest(0))..))
            .filter_map(|(_, content)| self.requests.get(content))
    }

    fn drop_expired(&mut self, service: &ServiceId, now: Moment) {
        while let Some((time, content)) = self.by_time.get(service).and_then(BTreeSet::first) {
            if now <= *time + RETURN_WINDOW {
                return;
            }
            self.forget(*content);
        }
    }

    /// Forgets the request that was to return first, of any service.
    fn drop_first(&mut self) {
        let firsts = self.by_time.values().filter_map(BTreeSet::first);
        if let Some((_, content)) = firsts.min().copied() {
            self.forget(content);
        }
    }

    fn remove(&mut self, content: ContentDigest) -> bool {
        let Some(request) = self.requests.remove(&content) else { return false };
        if let Some(times) = self.by_time.get_mut(&request.service) {
            times.remove(&(request.time, content));
            if times.is_empty() {
                self.by_time.remove(&request.service);
            }
        }
        true
    }

    fn record_return(&mut self, returned: f64) {
        self.return_rate += (returned - self.return_rate) * RETURN_SAMPLE_WEIGHT;
    }
}
