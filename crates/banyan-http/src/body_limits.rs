//! Receives whole bodies within limits of size, memory and transfer rate: [`receive_body`].
//!
//! The parts of a body are copied into segments, so that many small ones take no more memory than
//! their bytes. Segments of unfinished bodies have few sizes, so that the memory of one that ends
//! serves the next.

use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;
use tokio::time::Instant;

use crate::held_memory::CallerMemory;
use crate::held_memory::HoldHandle;
use crate::held_memory::MemoryHold;
use crate::held_memory::MemoryUsedUp;
use banyan_core::caller_memory::HoldUse;
use banyan_core::units::ByteCount;

/// The size of the first segment of a body; a shorter announced body gets a shorter one.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;
/// The size of the largest segment.
const MAX_SEGMENT_BYTES: usize = 64 << 10;
/// The time over which the transfer rate of a body is measured.
const RATE_WINDOW: Duration = Duration::from_secs(10);
/// The least number of bytes that arrive within [`RATE_WINDOW`]. It is 512 bytes a second, so that
/// 3,400 callers can share a link of 14 Mbit/s before one of them falls below.
const MIN_WINDOW_BYTES: usize = 5_120;

/// Why a body was not received.
#[derive(Debug, Error)]
pub enum BodyFault {
    /// It is larger than the limit, or its announced length is.
    #[error("the body is larger than {0}: shorten it")]
    TooLarge(ByteCount),
    /// The memory for callers is used up.
    #[error("the memory for callers is used up: send the request again later")]
    MemoryUsedUp,
    /// It arrived at less than the minimum rate.
    #[error("the body arrived too slowly: send the request again")]
    TooSlow,
    /// The connection failed, or the body is malformed.
    #[error("the body did not arrive: {0}")]
    Broken(String),
}

impl From<MemoryUsedUp> for BodyFault {
    fn from(_: MemoryUsedUp) -> Self {
        Self::MemoryUsedUp
    }
}

/// Receives a caller's body of at most `limit` bytes. Its memory is released with the last use of
/// the returned bytes.
pub async fn receive_body<B>(
    memory: &Arc<CallerMemory>,
    mut body: B,
    limit: ByteCount,
) -> Result<Bytes, BodyFault>
where
    B: Body + Unpin,
    B::Error: std::fmt::Display,
{
    // The last segment may be larger than what it holds.
    memory.ensure_limit(ByteCount(limit.0 + MAX_SEGMENT_BYTES as u64));
    let announced = body.size_hint().exact();
    if announced.is_some_and(|length| length > limit.0) {
        return Err(BodyFault::TooLarge(limit));
    }
    let hold = memory.open(HoldUse::Receiving);
    let mut buffer = SegmentBuffer::new(hold, limit, announced);
    let mut window = RateWindow::start();
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = buffer.hold.ended() => return Err(BodyFault::MemoryUsedUp),
            () = tokio::time::sleep_until(window.end) => {
                window.check(buffer.length)?;
                continue;
            }
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|error| BodyFault::Broken(error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            buffer.push(data).await?;
        }
    }
    let (bytes, hold) = buffer.finish(HoldUse::Serving)?;
    Ok(hold.attach(bytes))
}

/// Receives a target's answer of at most `limit` bytes, as [`receive_body`] does, but at any rate.
/// The handle names its hold.
pub async fn receive_answer<B>(
    memory: &Arc<CallerMemory>,
    mut body: B,
    limit: ByteCount,
) -> Result<(Bytes, HoldHandle), BodyFault>
where
    B: Body + Unpin,
    B::Error: std::fmt::Display,
{
    memory.ensure_limit(ByteCount(limit.0 + MAX_SEGMENT_BYTES as u64));
    let hold = memory.open(HoldUse::Collecting);
    let mut buffer = SegmentBuffer::new(hold, limit, body.size_hint().exact());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyFault::Broken(error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            buffer.push(data).await?;
        }
    }
    let (bytes, hold) = buffer.finish(HoldUse::Collecting)?;
    let handle = hold.handle();
    Ok((hold.attach(bytes), handle))
}

/// The transfer rate of a body.
struct RateWindow {
    end: Instant,
    /// The length of the body when the window began.
    before: usize,
}

impl RateWindow {
    fn start() -> Self {
        Self { end: Instant::now() + RATE_WINDOW, before: 0 }
    }

    /// Checks the rate at the end of a window, and begins the next one.
    fn check(&mut self, length: usize) -> Result<(), BodyFault> {
        if length - self.before < MIN_WINDOW_BYTES {
            return Err(BodyFault::TooSlow);
        }
        *self = Self { end: Instant::now() + RATE_WINDOW, before: length };
        Ok(())
    }
}

/// An incomplete body in segments.
struct SegmentBuffer {
    hold: MemoryHold,
    segments: Vec<BytesMut>,
    length: usize,
    limit: ByteCount,
    announced: Option<u64>,
}

impl SegmentBuffer {
    fn new(hold: MemoryHold, limit: ByteCount, announced: Option<u64>) -> Self {
        Self { hold, segments: Vec::new(), length: 0, limit, announced }
    }

    async fn push(&mut self, mut data: impl Buf) -> Result<(), BodyFault> {
        if (self.length + data.remaining()) as u64 > self.limit.0 {
            return Err(BodyFault::TooLarge(self.limit));
        }
        while data.has_remaining() {
            let spare = self.segments.last().map_or(0, |last| last.capacity() - last.len());
            if spare == 0 {
                self.add_segment(data.remaining()).await?;
                continue;
            }
            let part = data.chunk();
            let count = part.len().min(spare);
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(&part[..count]);
            }
            data.advance(count);
            self.length += count;
        }
        Ok(())
    }

    /// Adds a segment about as large as all before it, so that what is reserved follows what
    /// arrived and not what was announced.
    async fn add_segment(&mut self, waiting: usize) -> Result<(), BodyFault> {
        let size = self.length.max(waiting).clamp(FIRST_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
        let left = self.announced.map_or(usize::MAX, |length| length as usize - self.length);
        let size = size.min(left.max(waiting.min(MAX_SEGMENT_BYTES)));
        self.hold.reserve(ByteCount(size as u64)).await?;
        self.segments.push(BytesMut::with_capacity(size));
        Ok(())
    }

    /// Joins the segments. Each is freed once it is copied, so that the body is not held twice.
    fn finish(mut self, to: HoldUse) -> Result<(Bytes, MemoryHold), BodyFault> {
        if self.segments.len() == 1 {
            let segment = self.segments.remove(0);
            self.hold.change_use(to, ByteCount(segment.capacity() as u64))?;
            return Ok((segment.freeze(), self.hold));
        }
        let mut joined = Vec::with_capacity(self.length);
        for segment in self.segments.drain(..) {
            joined.extend_from_slice(&segment);
        }
        self.hold.change_use(to, ByteCount(self.length as u64))?;
        Ok((Bytes::from(joined), self.hold))
    }
}
