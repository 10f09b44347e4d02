//! Splitting of a byte stream into complete server-sent events: [`EventSplitter`].

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

/// The largest accepted event, in bytes.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// One or more complete events.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventBatch {
    /// The events' bytes, unchanged.
    pub bytes: Bytes,
}

/// Why a byte stream cannot be passed on as events.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EventStreamError {
    /// An event exceeds the size limit.
    #[error("an event is longer than {EVENT_LIMIT_BYTES} bytes")]
    TooLong,
    /// An event has no id.
    #[error("an event has no id: each event of an answer must have one")]
    MissingId,
    /// An event's id is not the previous id plus one.
    #[error("event id {found} follows id {after}: ids must increase by one")]
    OutOfOrder {
        /// The previous id.
        after: u64,
        /// The id of the rejected event.
        found: u64,
    },
}

/// Buffers bytes until events are complete, and checks that event ids are consecutive.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// The length of the prefix of `pending` that contains no end of an event.
    searched: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream that continues after event `last_id`.
    pub fn resuming_after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// The id of the last complete event, or `None` before the first one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Adds bytes and returns the events that are now complete, if any.
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
        let complete = self.pending.split_to(from + end).freeze();
        self.searched = 0;
        self.accept(complete).map(Some)
    }

    /// Checks the ids of complete events. An empty line ends an event.
    fn accept(&mut self, bytes: Bytes) -> Result<EventBatch, EventStreamError> {
        let events = bytes.strip_suffix(b"\n\n").unwrap_or(&bytes);
        let mut has_id = false;
        for line in events.split(|byte| *byte == b'\n') {
            if let Some(id) = event_id(line) {
                self.accept_id(id)?;
                has_id = true;
            } else if line.is_empty() && !std::mem::take(&mut has_id) {
                return Err(EventStreamError::MissingId);
            }
        }
        if has_id { Ok(EventBatch { bytes }) } else { Err(EventStreamError::MissingId) }
    }

    fn accept_id(&mut self, found: u64) -> Result<(), EventStreamError> {
        if let Some(after) = self.last_id
            && found != after.saturating_add(1)
        {
            return Err(EventStreamError::OutOfOrder { after, found });
        }
        self.last_id = Some(found);
        Ok(())
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2)
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
