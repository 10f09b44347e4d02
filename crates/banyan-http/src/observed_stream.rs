//! A connection whose bytes are observed: [`ObservedStream`].

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Learns of the bytes that pass on a connection, and may end it.
pub trait StreamObserver {
    /// Called after `count` bytes arrived. An error ends the connection.
    fn observe_read(&self, count: usize) -> io::Result<()>;

    /// Called after `count` bytes were written.
    fn observe_write(&self, _count: usize) {}
}

/// Counts the bytes of both directions.
impl StreamObserver for AtomicU64 {
    fn observe_read(&self, count: usize) -> io::Result<()> {
        self.fetch_add(count as u64, Ordering::Relaxed);
        Ok(())
    }

    fn observe_write(&self, count: usize) {
        self.fetch_add(count as u64, Ordering::Relaxed);
    }
}

/// Two observers of one connection.
impl<A: StreamObserver, B: StreamObserver> StreamObserver for (Arc<A>, Arc<B>) {
    fn observe_read(&self, count: usize) -> io::Result<()> {
        self.0.observe_read(count)?;
        self.1.observe_read(count)
    }

    fn observe_write(&self, count: usize) {
        self.0.observe_write(count);
        self.1.observe_write(count);
    }
}

/// A connection whose bytes are observed.
#[derive(Debug)]
pub struct ObservedStream<O> {
    stream: TcpStream,
    observer: Arc<O>,
}

impl<O> ObservedStream<O> {
    /// Wraps `stream`, of whose bytes `observer` learns.
    pub fn new(stream: TcpStream, observer: Arc<O>) -> Self {
        Self { stream, observer }
    }
}

impl<O: StreamObserver> ObservedStream<O> {
    fn note_written(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = &polled {
            self.observer.observe_write(*count);
        }
        polled
    }
}

impl<O: StreamObserver> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let count = buffer.filled().len() - before;
        if count > 0
            && let Err(error) = self.observer.observe_read(count)
        {
            return Poll::Ready(Err(error));
        }
        polled
    }
}

impl<O: StreamObserver> AsyncWrite for ObservedStream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.note_written(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.note_written(polled)
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
