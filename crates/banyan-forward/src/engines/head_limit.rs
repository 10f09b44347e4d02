//! A connection on which the head of an answer may have a limited length: [`HeadLimitedStream`].
//!
//! The HTTP client limits each head, but reads any number of interim answers before the final one.
//! A target that sends them without end would otherwise be read until the deadline.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// The most bytes that are read before the head of an answer is complete. It exceeds the HTTP
/// client's limit of a single head.
const MAX_HEAD_BYTES: usize = 512 << 10;
/// The value of the allowance that stands for no limit.
const UNLIMITED: usize = usize::MAX;

/// The bytes that may still be read before the head is complete.
#[derive(Clone, Debug)]
pub struct HeadAllowance(Arc<AtomicUsize>);

impl HeadAllowance {
    /// Records that the head is complete, so that the body may follow.
    pub fn end_head(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Records that the next request is sent, so that a head is expected.
    pub fn begin_head(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Takes `count` bytes. Returns `false` if fewer were left.
    fn take(&self, count: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return true;
        }
        self.0.store(left.saturating_sub(count), Ordering::Relaxed);
        count <= left
    }
}

/// A connection whose reads fail once a head is too long.
#[derive(Debug)]
pub struct HeadLimitedStream {
    stream: TcpStream,
    allowance: HeadAllowance,
}

impl HeadLimitedStream {
    /// Wraps a new connection, on which a head is expected.
    pub fn new(stream: TcpStream) -> (Self, HeadAllowance) {
        let allowance = HeadAllowance(Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)));
        (Self { stream, allowance: allowance.clone() }, allowance)
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if self.allowance.take(buffer.filled().len() - before) {
            return polled;
        }
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "the head has no end")))
    }
}

impl AsyncWrite for HeadLimitedStream {
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
