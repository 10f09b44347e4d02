//! Limits the bytes that a server sends before the head of its answer is complete:
//! [`HeadAllowance`].
//!
//! The HTTP client limits each head, but reads any number of interim answers before the final one.
//! A server that sends them without end would otherwise be read until the deadline.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::net::TcpStream;

use crate::observed_stream::ObservedStream;
use crate::observed_stream::StreamObserver;

/// The most bytes that are read before the head of an answer is complete. It exceeds the HTTP
/// client's limit of a single head.
const MAX_HEAD_BYTES: usize = 512 << 10;
/// The value of the allowance that stands for no limit.
const UNLIMITED: usize = usize::MAX;

/// A connection whose reads fail once a head is too long.
pub type HeadLimitedStream = ObservedStream<HeadAllowance>;

/// The bytes that may still be read before the head is complete.
#[derive(Debug)]
pub struct HeadAllowance(AtomicUsize);

impl HeadAllowance {
    /// Wraps a new connection, on which a head is expected.
    pub fn limit(stream: TcpStream) -> (HeadLimitedStream, Arc<Self>) {
        let allowance = Arc::new(Self(AtomicUsize::new(MAX_HEAD_BYTES)));
        (ObservedStream::new(stream, allowance.clone()), allowance)
    }

    /// Records that the next request is sent, so that a head is expected.
    pub fn begin_head(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Records that the head is complete, so that the body may follow.
    pub fn end_head(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }
}

impl StreamObserver for HeadAllowance {
    fn observe_read(&self, count: usize) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return Ok(());
        }
        self.0.store(left.saturating_sub(count), Ordering::Relaxed);
        if count <= left {
            return Ok(());
        }
        Err(io::Error::new(io::ErrorKind::InvalidData, "the head has no end"))
    }
}
