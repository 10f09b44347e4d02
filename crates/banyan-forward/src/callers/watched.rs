//! A caller's connection that records when the head of a request starts to arrive:
//! [`WatchedStream`].

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use banyan_core::units::Moment;
use banyan_http::clock::RuntimeClock;

/// The value of `head_started` while no request head is being received.
const NO_HEAD: u64 = u64::MAX;

/// The activity on one connection, for idle and header timeouts.
#[derive(Debug)]
pub struct ConnectionActivity {
    /// The number of requests that were read but not answered.
    in_flight: AtomicU32,
    /// When the last request ended, in microseconds of the daemon's clock.
    last_ended: AtomicU64,
    /// When the first byte of the current head arrived, in microseconds, or [`NO_HEAD`].
    head_started: AtomicU64,
    clock: RuntimeClock,
}

impl ConnectionActivity {
    /// The activity of a new connection. It counts as idle from now on.
    pub fn new(clock: RuntimeClock) -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            last_ended: AtomicU64::new(clock.now().0),
            head_started: AtomicU64::new(NO_HEAD),
            clock,
        }
    }

    /// Records that the head of a request was read completely.
    pub fn begin_request(&self) {
        self.head_started.store(NO_HEAD, Ordering::Relaxed);
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a request ended.
    pub fn end_request(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.last_ended.store(self.clock.now().0, Ordering::Relaxed);
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

/// A connection that records the arrival of bytes in its [`ConnectionActivity`].
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    activity: Arc<ConnectionActivity>,
}

impl WatchedStream {
    /// Wraps `stream` so that received bytes are recorded in `activity`.
    pub fn new(stream: TcpStream, activity: Arc<ConnectionActivity>) -> Self {
        Self { stream, activity }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.activity.record_received();
        }
        polled
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
