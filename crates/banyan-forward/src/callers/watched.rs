//! Records when the head of a request starts to arrive on a caller's connection:
//! [`ConnectionActivity`].

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;

use crate::engines::leases::RequestLease;
use banyan_core::units::Moment;
use banyan_http::clock::RuntimeClock;
use banyan_http::held_memory::HoldHandle;
use banyan_http::observed_stream::StreamObserver;

/// The value of `head_started` while no request head is being received.
const NO_HEAD: u64 = u64::MAX;

/// The activity on one connection, for idle and header timeouts.
#[derive(Debug)]
pub struct ConnectionActivity {
    /// The number of requests that were read but not answered.
    in_flight: AtomicU32,
    /// Held from the first request on; `None` before.
    use_lease: Mutex<Option<RequestLease>>,
    /// When the last request ended, in microseconds of the daemon's clock.
    last_ended: AtomicU64,
    /// When the first byte of the current head arrived, in microseconds, or [`NO_HEAD`].
    head_started: AtomicU64,
    /// The memory of the answer that is being sent, if one is held.
    answer: Mutex<Option<HoldHandle>>,
    /// Notified when the connection must end to free the memory of its answer.
    end: Arc<Notify>,
    clock: RuntimeClock,
}

impl ConnectionActivity {
    /// The activity of a new connection. It counts as idle from now on.
    pub fn new(clock: RuntimeClock) -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            use_lease: Mutex::default(),
            last_ended: AtomicU64::new(clock.now().0),
            head_started: AtomicU64::new(NO_HEAD),
            answer: Mutex::default(),
            end: Arc::default(),
            clock,
        }
    }

    /// Records that the head of a request was read completely. The first request begins the use of
    /// the connection, for which `take_lease` gives a lease.
    pub fn begin_request(&self, take_lease: impl FnOnce() -> RequestLease) {
        self.head_started.store(NO_HEAD, Ordering::Relaxed);
        self.use_lease().get_or_insert_with(take_lease);
        // The previous answer was written before this head was read.
        *self.answer() = None;
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a request ended.
    pub fn end_request(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.last_ended.store(self.clock.now().0, Ordering::Relaxed);
    }

    /// Records that an answer is sent from now on whose memory is held until its last byte was
    /// written. Its delivery may be ended
    /// for the sake of others.
    pub fn begin_answer(&self, held: HoldHandle) {
        held.begin_delivery(self.end.clone());
        *self.answer() = Some(held);
    }

    /// Waits until the connection must end to free the memory of its answer.
    pub async fn must_end(&self) {
        self.end.notified().await;
    }

    fn answer(&self) -> MutexGuard<'_, Option<HoldHandle>> {
        self.answer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the head of a request was read completely.
    pub fn has_begun(&self) -> bool {
        self.use_lease().is_some()
    }

    fn use_lease(&self) -> MutexGuard<'_, Option<RequestLease>> {
        self.use_lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time since which the connection is idle, or `None` while it is in use.
    pub fn idle_since(&self) -> Option<Moment> {
        let idle = self.in_flight.load(Ordering::Relaxed) == 0 && self.head_since().is_none();
        idle.then(|| Moment(self.last_ended.load(Ordering::Relaxed)))
    }

    /// When the first byte of an incomplete head arrived, or `None` if no head is being received.
    pub fn head_since(&self) -> Option<Moment> {
        let started = self.head_started.load(Ordering::Relaxed);
        (started != NO_HEAD).then_some(Moment(started))
    }

    fn record_received(&self) {
        // Bytes that arrive while a request is in flight belong to its body.
        if self.in_flight.load(Ordering::Relaxed) == 0 && self.head_since().is_none() {
            self.head_started.store(self.clock.now().0, Ordering::Relaxed);
        }
    }
}

impl StreamObserver for ConnectionActivity {
    fn observe_read(&self, _count: usize) -> io::Result<()> {
        self.record_received();
        Ok(())
    }

    fn observe_write(&self, _count: usize) {
        if let Some(held) = self.answer().as_ref() {
            held.note_progress();
        }
    }
}
