//! The daemon's events in a bounded buffer, readable on the operator port: [`EventJournal`].

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use smol_str::SmolStr;

use banyan_core::event::EventKind;
use banyan_core::event::EventRing;
use banyan_core::event::HybridClock;
use banyan_core::event::HybridStamp;
use banyan_core::event::TimelineEvent;
use banyan_http::clock::wall_millis;

/// The maximum number of events in memory; older ones are dropped.
const EVENT_LIMIT: usize = 20_000;

/// The events of this process with the hybrid clock that timestamps them.
#[derive(Debug)]
pub struct EventJournal {
    inner: Mutex<(HybridClock, EventRing)>,
}

impl Default for EventJournal {
    fn default() -> Self {
        Self { inner: Mutex::new((HybridClock::default(), EventRing::new(EVENT_LIMIT))) }
    }
}

impl EventJournal {
    /// Records an event; `request` and `target` are empty if the event concerns none.
    pub fn record(&self, kind: EventKind, request: &str, target: &str, detail: &str) {
        log::debug!("event: {kind} {request} {target} {detail}");
        let mut inner = self.lock();
        let stamp = inner.0.tick(wall_millis());
        inner.1.push(TimelineEvent {
            stamp,
            kind,
            request: SmolStr::new(request),
            target: SmolStr::new(target),
            detail: SmolStr::new(detail),
        });
    }

    /// Advances the clock and returns the timestamp for an outgoing message.
    pub fn stamp(&self) -> HybridStamp {
        self.lock().0.tick(wall_millis())
    }

    /// Advances the clock past the timestamp of a message from another process.
    pub fn observe(&self, stamp: HybridStamp) {
        self.lock().0.observe(stamp);
    }

    /// The events after `after`, oldest first, and the number of events dropped so far.
    pub fn events_after(&self, after: HybridStamp) -> (Vec<TimelineEvent>, u64) {
        let inner = self.lock();
        let events = inner.1.events().filter(|event| event.stamp > after).cloned().collect();
        (events, inner.1.dropped())
    }

    fn lock(&self) -> MutexGuard<'_, (HybridClock, EventRing)> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
