//! Cuts a stream of bytes into whole events: [`EventSplitter`].

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

/// The longest event that is accepted, in bytes.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// Whole events that came together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventBatch {
    /// The bytes as they came.
    pub bytes: Bytes,
}

/// Why the bytes are no stream of events that can be passed on.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EventStreamError {
    /// An event is longer than any should be.
    #[error("an event is longer than {EVENT_LIMIT_BYTES} bytes")]
    TooLong,
    /// An event's id does not follow the one before it.
    #[error("event {found} follows event {after}")]
    OutOfOrder {
        /// The id before.
        after: u64,
        /// The id found.
        found: u64,
    },
}

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Bytes at the front of `pending` that were searched and hold no end of an event.
    searched: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream that goes on behind event `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether a part of an event is waiting for its end.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes in bytes and returns the events that are whole now, if any.
    pub fn push(&mut self, bytes: Bytes) -> Result<Option<EventBatch>, EventStreamError> {
        if self.pending.is_empty() && bytes.ends_with(b"\n\n") {
            return self.accept(bytes).map(Some);
        }
        self.pending.extend_from_slice(&bytes);
        let from = self.searched.saturating_sub(1);
        let Some(end) = last_event_end(&self.pending[from..]) else {
            self.searched = self.pending.len();
            let fits = self.pending.len() <= EVENT_LIMIT_BYTES;
            return if fits { Ok(None) } else { Err(EventStreamError::TooLong) };
        };
        let whole = self.pending.split_to(from + end).freeze();
        self.searched = 0;
        self.accept(whole).map(Some)
    }

    fn accept(&mut self, bytes: Bytes) -> Result<EventBatch, EventStreamError> {
        for line in bytes.split(|byte| *byte == b'\n') {
            let Some(found) = event_id(line) else { continue };
            if let Some(after) = self.last_id
                && found != after + 1
            {
                return Err(EventStreamError::OutOfOrder { after, found });
            }
            self.last_id = Some(found);
        }
        Ok(EventBatch { bytes })
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2)
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
