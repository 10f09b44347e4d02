//! Splitting of a byte stream into complete server-sent events: [`EventSplitter`].

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

/// The largest accepted event, in bytes.
const EVENT_LIMIT_BYTES: usize = 1 << 20;
/// An empty line ends an event.
const EVENT_END: &[u8] = b"\n\n";

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
    /// The id of the last event that was returned. Invariant: each event up to it was returned, so
    /// that a stream which resumes after it leaves none out.
    last_id: Option<u64>,
    /// What is wrong with the event after the last one that was returned. No event is returned
    /// after it.
    fault: Option<EventStreamError>,
}

impl EventSplitter {
    /// A splitter for a stream that continues after event `last_id`.
    pub fn resuming_after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// The id of the last event that was returned, or `None` before the first one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// What is wrong with the stream after the events that were returned, if anything.
    pub fn fault(&self) -> Option<EventStreamError> {
        self.fault
    }

    /// Adds bytes and returns the events that are now complete, if any. If a malformed event
    /// follows other events, these are returned first, and [`Self::fault`] tells of it.
    pub fn push(&mut self, bytes: Bytes) -> Result<Option<EventBatch>, EventStreamError> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        if self.pending.is_empty() && bytes.ends_with(EVENT_END) {
            return self.accept(bytes);
        }
        self.pending.extend_from_slice(&bytes);
        let from = self.searched.saturating_sub(1);
        let Some(end) = last_event_end(&self.pending[from..]) else {
            self.searched = self.pending.len();
            let fits = self.pending.len() <= EVENT_LIMIT_BYTES;
            return if fits { Ok(None) } else { Err(self.set_fault(EventStreamError::TooLong)) };
        };
        let complete = self.pending.split_to(from + end).freeze();
        self.searched = 0;
        self.accept(complete)
    }

    /// Returns the events before the first malformed one.
    fn accept(&mut self, mut bytes: Bytes) -> Result<Option<EventBatch>, EventStreamError> {
        let mut sound = 0;
        while sound < bytes.len() {
            let length = first_event_end(&bytes[sound..]);
            match last_id_of_event(&bytes[sound..sound + length], self.last_id) {
                Ok(id) => self.last_id = Some(id),
                Err(fault) if sound == 0 => return Err(self.set_fault(fault)),
                Err(fault) => {
                    self.set_fault(fault);
                    bytes.truncate(sound);
                    break;
                }
            }
            sound += length;
        }
        Ok(Some(EventBatch { bytes }))
    }

    fn set_fault(&mut self, fault: EventStreamError) -> EventStreamError {
        self.fault = Some(fault);
        self.pending.clear();
        fault
    }
}

/// Checks the ids in an event that follows event `last_id`, and returns the last of them.
fn last_id_of_event(event: &[u8], last_id: Option<u64>) -> Result<u64, EventStreamError> {
    if event.starts_with(b"\n") {
        return Err(EventStreamError::MissingId);
    }
    let mut last = last_id;
    let mut has_id = false;
    for found in event.split(|byte| *byte == b'\n').filter_map(event_id) {
        if let Some(after) = last
            && found != after.saturating_add(1)
        {
            return Err(EventStreamError::OutOfOrder { after, found });
        }
        last = Some(found);
        has_id = true;
    }
    last.filter(|_| has_id).ok_or(EventStreamError::MissingId)
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(EVENT_END.len())
        .rposition(|pair| pair == EVENT_END)
        .map(|at| at + EVENT_END.len())
}

/// The length of the first event of bytes that end with an event.
fn first_event_end(bytes: &[u8]) -> usize {
    let end = bytes.windows(EVENT_END.len()).position(|pair| pair == EVENT_END);
    end.map_or(bytes.len(), |at| at + EVENT_END.len())
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
