//! The memory that a process holds for its callers, shared by its tasks: [`CallerMemory`].
//!
//! The decisions are those of [`MemoryAccount`]. This module tells the tasks about them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;
use tokio::sync::Notify;

use crate::clock::RuntimeClock;
use banyan_core::caller_memory::HoldId;
use banyan_core::caller_memory::HoldUse;
use banyan_core::caller_memory::MemoryAccount;
use banyan_core::caller_memory::Reservation;
use banyan_core::units::ByteCount;

/// How long a reservation waits for the memory of holds that were told to end. Their tasks release
/// it as soon as they run.
const RELEASE_WAIT: Duration = Duration::from_secs(1);

/// How long a caller must have been silent before its request ends for the sake of new connections.
/// Segments lost on a slow link are sent again sooner.
const SLOWEST_SILENCE: Duration = Duration::from_secs(2);

/// A hold was ended, or got no memory, in favour of others.
#[derive(Clone, Copy, Debug, Error)]
#[error("the memory for callers is used up: send the request again later")]
pub struct MemoryUsedUp;

/// The account and how to tell the tasks.
#[derive(Debug)]
struct SharedAccount {
    account: MemoryAccount,
    /// Notified when a hold must end.
    ends: BTreeMap<HoldId, Arc<Notify>>,
}

/// The memory that a process holds for its callers.
#[derive(Debug)]
pub struct CallerMemory {
    shared: Mutex<SharedAccount>,
    /// Notified when memory was released.
    released: Notify,
    clock: RuntimeClock,
}

impl CallerMemory {
    /// Memory of at most `limit` bytes.
    pub fn new(limit: ByteCount, clock: RuntimeClock) -> Arc<Self> {
        let shared = SharedAccount { account: MemoryAccount::new(limit), ends: BTreeMap::new() };
        Arc::new(Self { shared: Mutex::new(shared), released: Notify::new(), clock })
    }

    /// Opens a hold without bytes.
    pub fn open(self: &Arc<Self>, hold_use: HoldUse) -> MemoryHold {
        let now = self.clock.now();
        let end = Arc::new(Notify::new());
        let mut shared = self.shared();
        let id = shared.account.open(hold_use, now);
        shared.ends.insert(id, end.clone());
        drop(shared);
        MemoryHold { handle: HoldHandle { memory: self.clone(), id }, end }
    }

    /// Raises the limit to at least `least`, so that a body of this size fits when nothing else is
    /// held.
    pub fn ensure_limit(&self, least: ByteCount) {
        self.shared().account.ensure_limit(least);
    }

    /// The limit.
    pub fn limit(&self) -> ByteCount {
        self.shared().account.limit()
    }

    /// Ends the body or answer whose caller was silent the longest, if for some time. Its connection
    /// closes then. Returns whether there is one.
    pub fn end_slowest(&self) -> bool {
        let now = self.clock.now();
        let mut shared = self.shared();
        let Some(id) = shared.account.end_slowest(SLOWEST_SILENCE, now) else { return false };
        if let Some(end) = shared.ends.get(&id) {
            end.notify_one();
        }
        true
    }

    /// The bytes held for one use.
    pub fn used_for(&self, hold_use: HoldUse) -> ByteCount {
        self.shared().account.used_for(hold_use)
    }

    /// Tries to reserve bytes, and tells the holds that must end for them.
    fn try_reserve(&self, id: HoldId, bytes: ByteCount) -> Reservation {
        let now = self.clock.now();
        let mut shared = self.shared();
        let reservation = shared.account.reserve(id, bytes, now);
        if let Reservation::Later(victims) = &reservation {
            for victim in victims {
                if let Some(end) = shared.ends.get(victim) {
                    end.notify_one();
                }
            }
        }
        reservation
    }

    fn shared(&self) -> MutexGuard<'_, SharedAccount> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Names a hold without keeping it open.
#[derive(Clone, Debug)]
pub struct HoldHandle {
    memory: Arc<CallerMemory>,
    id: HoldId,
}

impl HoldHandle {
    /// Records that the answer of this hold is sent from now on. `end` is notified if the
    /// connection must end.
    pub fn begin_delivery(&self, end: Arc<Notify>) {
        let now = self.memory.clock.now();
        let mut shared = self.memory.shared();
        let everything = ByteCount(u64::MAX);
        if shared.account.change_use(self.id, HoldUse::Delivering, everything, now) {
            shared.ends.insert(self.id, end);
        }
    }

    /// Records that the caller read something.
    pub fn note_progress(&self) {
        let now = self.memory.clock.now();
        self.memory.shared().account.note_progress(self.id, now);
    }
}

/// A hold, which is released when this is dropped.
#[derive(Debug)]
pub struct MemoryHold {
    handle: HoldHandle,
    end: Arc<Notify>,
}

impl MemoryHold {
    /// Reserves more bytes. Waits for the memory of other holds that end for them.
    pub async fn reserve(&self, bytes: ByteCount) -> Result<(), MemoryUsedUp> {
        let HoldHandle { memory, id } = &self.handle;
        // Nothing waits in the usual case, and no notification is needed.
        match memory.try_reserve(*id, bytes) {
            Reservation::Granted => return Ok(()),
            Reservation::Refused => return Err(MemoryUsedUp),
            Reservation::Later(_) => {}
        }
        let waiting = async {
            loop {
                let released = memory.released.notified();
                let mut released = std::pin::pin!(released);
                released.as_mut().enable();
                match memory.try_reserve(*id, bytes) {
                    Reservation::Granted => return Ok(()),
                    Reservation::Refused => return Err(MemoryUsedUp),
                    Reservation::Later(_) => {}
                }
                tokio::select! {
                    () = released => {}
                    () = self.end.notified() => return Err(MemoryUsedUp),
                }
            }
        };
        tokio::time::timeout(RELEASE_WAIT, waiting).await.unwrap_or(Err(MemoryUsedUp))
    }

    /// Waits until this hold must end.
    pub async fn ended(&self) {
        self.end.notified().await;
    }

    /// Changes the use and gives back all but `bytes`. Fails if the hold must end.
    pub fn change_use(&self, to: HoldUse, bytes: ByteCount) -> Result<(), MemoryUsedUp> {
        let HoldHandle { memory, id } = &self.handle;
        let now = memory.clock.now();
        let kept = memory.shared().account.change_use(*id, to, bytes, now);
        if !kept {
            return Err(MemoryUsedUp);
        }
        memory.released.notify_waiters();
        Ok(())
    }

    /// A name for this hold.
    pub fn handle(&self) -> HoldHandle {
        self.handle.clone()
    }

    /// Ties this hold to `bytes`: it is released with their last use.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(HeldBytes { bytes, _hold: self })
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        let HoldHandle { memory, id } = &self.handle;
        let mut shared = memory.shared();
        shared.account.release(*id);
        shared.ends.remove(id);
        drop(shared);
        memory.released.notify_waiters();
    }
}

/// Bytes whose memory is accounted for.
struct HeldBytes {
    bytes: Bytes,
    _hold: MemoryHold,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
