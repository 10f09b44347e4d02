//! Recognises requests that were refused before: [`RefusedTable`].
//!
//! A caller that repeats a refused request gives it a new id, so it is recognised by its content.
//! The content includes the service and the workspace.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::record::ContentDigest;
use crate::units::Moment;

/// How long after the time that it was given a request is still recognised. Later ones are new
/// requests that happen to have the same content.
const RETURN_WINDOW: Duration = Duration::from_secs(2);
/// The largest number of refused requests that are remembered, which bounds the memory. Beyond it,
/// those that were to return first are forgotten.
const MAX_REMEMBERED: usize = 8_192;

/// Whether a request was refused before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// It was not refused recently.
    New,
    /// It was refused, and is repeated before the time that its caller was given.
    Early,
    /// It was refused, and is repeated no earlier than its caller was told.
    OnTime,
}

/// The requests that were refused recently.
///
/// Invariant: `by_time` holds each entry of `times` once.
#[derive(Clone, Debug, Default)]
pub struct RefusedTable {
    times: BTreeMap<ContentDigest, Moment>,
    by_time: BTreeSet<(Moment, ContentDigest)>,
}

impl RefusedTable {
    /// Whether a request with this content was refused recently.
    pub fn arrival(&self, content: ContentDigest, now: Moment) -> Arrival {
        match self.times.get(&content) {
            Some(time) if now > *time + RETURN_WINDOW => Arrival::New,
            Some(time) if now >= *time => Arrival::OnTime,
            Some(_) => Arrival::Early,
            None => Arrival::New,
        }
    }

    /// Remembers a request whose caller was told to repeat it at `time`.
    pub fn note_refused(&mut self, content: ContentDigest, time: Moment, now: Moment) {
        self.remove(content);
        self.times.insert(content, time);
        self.by_time.insert((time, content));
        while let Some((first, content)) = self.by_time.first().copied() {
            let expired = now > first + RETURN_WINDOW;
            if !expired && self.times.len() <= MAX_REMEMBERED {
                break;
            }
            self.remove(content);
        }
    }

    /// Forgets a request, since it was admitted.
    pub fn remove(&mut self, content: ContentDigest) {
        if let Some(time) = self.times.remove(&content) {
            self.by_time.remove(&(time, content));
        }
    }
}
