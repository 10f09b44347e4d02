//! Decides which bodies and answers of callers may take memory: [`MemoryAccount`].
//!
//! Bytes are reserved before they are held and stay reserved until they are released. Over the
//! limit, the account names holds that must end first: those that wait for their callers, the
//! largest first, and among those of similar size the one whose caller was silent the longest.
//! Callers with small bodies are therefore served while others hold large bodies back.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::units::ByteCount;
use crate::units::Moment;

/// The id of one hold.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HoldId(u64);

/// What the memory of a hold is used for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HoldUse {
    /// A body that is being received from its caller.
    Receiving,
    /// A request that was received whole and is being served.
    Serving,
    /// An answer that is being received from its target.
    Collecting,
    /// An answer that is being sent to its caller.
    Delivering,
}

impl HoldUse {
    /// All uses, in the order of the metrics.
    pub const ALL: [Self; 4] = [Self::Receiving, Self::Serving, Self::Collecting, Self::Delivering];

    /// The name of the use in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Receiving => "receiving",
            Self::Serving => "serving",
            Self::Collecting => "collecting",
            Self::Delivering => "delivering",
        }
    }

    /// Whether the hold waits for its caller, so that it may be ended for the sake of others.
    fn waits_for_caller(self) -> bool {
        matches!(self, Self::Receiving | Self::Delivering)
    }
}

/// The account's answer to a reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reservation {
    /// The bytes are reserved.
    Granted,
    /// The bytes are not reserved. They may be asked for again once the memory of ended holds is
    /// released; the listed holds must end now.
    Later(Vec<HoldId>),
    /// The bytes are not reserved, and no other hold may end for them.
    Refused,
}

/// The memory that one body or answer holds.
#[derive(Clone, Copy, Debug)]
struct Hold {
    bytes: u64,
    hold_use: HoldUse,
    /// When the caller last sent or read something.
    progress: Moment,
    /// Whether it was told to end. Its bytes count until it is released.
    ended: bool,
}

/// The memory held for callers.
///
/// Invariant: the bytes of all holds together are `used`, which never exceeds the limit.
#[derive(Clone, Debug)]
pub struct MemoryAccount {
    limit: u64,
    used: u64,
    /// The bytes of holds that were told to end.
    ending: u64,
    next: u64,
    holds: BTreeMap<HoldId, Hold>,
}

impl MemoryAccount {
    /// An account of at most `limit` bytes.
    pub fn new(limit: ByteCount) -> Self {
        Self { limit: limit.0, used: 0, ending: 0, next: 0, holds: BTreeMap::new() }
    }

    /// Raises the limit to at least `least`, so that a request of this size fits when nothing else is
    /// held.
    pub fn ensure_limit(&mut self, least: ByteCount) {
        self.limit = self.limit.max(least.0);
    }

    /// The limit.
    pub fn limit(&self) -> ByteCount {
        ByteCount(self.limit)
    }

    /// The bytes of all holds.
    pub fn used(&self) -> ByteCount {
        ByteCount(self.used)
    }

    /// The bytes held for one use.
    pub fn used_for(&self, hold_use: HoldUse) -> ByteCount {
        let holds = self.holds.values().filter(|hold| hold.hold_use == hold_use);
        ByteCount(holds.map(|hold| hold.bytes).sum())
    }

    /// Opens a hold without bytes.
    pub fn open(&mut self, hold_use: HoldUse, now: Moment) -> HoldId {
        let id = HoldId(self.next);
        self.next += 1;
        self.holds.insert(id, Hold { bytes: 0, hold_use, progress: now, ended: false });
        id
    }

    /// Reserves more bytes for a hold whose caller or target sent something.
    pub fn reserve(&mut self, id: HoldId, bytes: ByteCount, now: Moment) -> Reservation {
        let Some(hold) = self.holds.get_mut(&id).filter(|hold| !hold.ended) else {
            return Reservation::Refused;
        };
        hold.progress = now;
        if self.used + bytes.0 <= self.limit {
            hold.bytes += bytes.0;
            self.used += bytes.0;
            return Reservation::Granted;
        }
        let victims = self.choose_victims(id, bytes.0);
        let Some(victims) = victims else { return Reservation::Refused };
        for victim in &victims {
            self.end(*victim);
        }
        Reservation::Later(victims)
    }

    /// The holds to end so that `bytes` fit beside the rest, or `None` if the hold that asks is the
    /// next one to end, or if all others together are not enough.
    fn choose_victims(&self, asking: HoldId, bytes: u64) -> Option<Vec<HoldId>> {
        let excess = (self.used + bytes).saturating_sub(self.limit);
        let mut missing = excess.saturating_sub(self.ending);
        let mut victims = Vec::new();
        if missing == 0 {
            return Some(victims);
        }
        let waiting = self
            .holds
            .iter()
            .filter(|(_, hold)| !hold.ended && hold.bytes > 0 && hold.hold_use.waits_for_caller());
        let mut order: Vec<(HoldId, Hold)> = waiting.map(|(id, hold)| (*id, *hold)).collect();
        order.sort_by_key(|(_, hold)| (std::cmp::Reverse(size_class(hold.bytes)), hold.progress));
        for (id, hold) in order {
            if id == asking {
                return None;
            }
            victims.push(id);
            missing = missing.saturating_sub(hold.bytes);
            if missing == 0 {
                return Some(victims);
            }
        }
        None
    }

    /// Ends the hold whose caller was silent the longest, if for at least `silence`.
    pub fn end_slowest(&mut self, silence: Duration, now: Moment) -> Option<HoldId> {
        let waiting = self.holds.iter().filter(|(_, hold)| {
            !hold.ended && hold.hold_use.waits_for_caller() && now.since(hold.progress) >= silence
        });
        let id = waiting.min_by_key(|(_, hold)| hold.progress).map(|(id, _)| *id)?;
        self.end(id);
        Some(id)
    }

    /// Marks a hold as told to end. It gets no more bytes.
    pub fn end(&mut self, id: HoldId) {
        if let Some(hold) = self.holds.get_mut(&id).filter(|hold| !hold.ended) {
            hold.ended = true;
            self.ending += hold.bytes;
        }
    }

    /// Records that the caller of a hold made progress.
    pub fn note_progress(&mut self, id: HoldId, now: Moment) {
        if let Some(hold) = self.holds.get_mut(&id) {
            hold.progress = now;
        }
    }

    /// Changes the use of a hold and gives back all but `bytes` of it. Returns `false` if it was
    /// told to end before.
    pub fn change_use(&mut self, id: HoldId, to: HoldUse, bytes: ByteCount, now: Moment) -> bool {
        let Some(hold) = self.holds.get_mut(&id).filter(|hold| !hold.ended) else { return false };
        let kept = hold.bytes.min(bytes.0);
        self.used -= hold.bytes - kept;
        *hold = Hold { bytes: kept, hold_use: to, progress: now, ended: false };
        true
    }

    /// Releases a hold and its bytes.
    pub fn release(&mut self, id: HoldId) {
        let Some(hold) = self.holds.remove(&id) else { return };
        self.used -= hold.bytes;
        if hold.ended {
            self.ending -= hold.bytes;
        }
    }
}

/// Sizes of one class differ by less than a factor of two. A body that is complete but for its end
/// is in the class of a complete one.
fn size_class(bytes: u64) -> u32 {
    bytes.saturating_sub(1).checked_ilog2().unwrap_or(0)
}
