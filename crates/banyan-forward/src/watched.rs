//! A caller's connection that tells when a request's head began to arrive: [`WatchedStream`].

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

/// No head is arriving.
const NO_HEAD: u64 = u64::MAX;

/// What is happening on one connection.
#[derive(Debug)]
pub struct ConnectionActivity {
    under_way: AtomicU32,
    /// The microsecond of the daemon's clock at which the last request ended.
    last: AtomicU64,
    /// The microsecond at which the head that is arriving began, or [`NO_HEAD`].
    head_began: AtomicU64,
    clock: RuntimeClock,
}

impl ConnectionActivity {
    /// A connection that has carried nothing yet.
    pub fn new(clock: RuntimeClock) -> Self {
        Self {
            under_way: AtomicU32::new(0),
            last: AtomicU64::new(clock.now().0),
            head_began: AtomicU64::new(NO_HEAD),
            clock,
        }
    }

    /// Notes that a request's head has been read whole.
    pub fn begin_request(&self) {
        self.head_began.store(NO_HEAD, Ordering::Relaxed);
        self.under_way.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that a request was answered.
    pub fn end_request(&self) {
        self.under_way.fetch_sub(1, Ordering::Relaxed);
        self.last.store(self.clock.now().0, Ordering::Relaxed);
    }

    /// Since when the connection has carried nothing, or `None` while it does.
    pub fn idle_since(&self) -> Option<Moment> {
        let idle = self.under_way.load(Ordering::Relaxed) == 0 && self.head_since().is_none();
        idle.then(|| Moment(self.last.load(Ordering::Relaxed)))
    }

    /// Since when a head has been arriving that is not whole yet.
    pub fn head_since(&self) -> Option<Moment> {
        let began = self.head_began.load(Ordering::Relaxed);
        (began != NO_HEAD).then_some(Moment(began))
    }

    fn note_bytes(&self) {
        // Bytes of a body arrive while a request is under way.
        if self.under_way.load(Ordering::Relaxed) == 0 && self.head_since().is_none() {
            self.head_began.store(self.clock.now().0, Ordering::Relaxed);
        }
    }
}

/// A connection that notes in its activity when bytes arrive.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    activity: Arc<ConnectionActivity>,
}

impl WatchedStream {
    /// Watches a connection.
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
            self.activity.note_bytes();
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
