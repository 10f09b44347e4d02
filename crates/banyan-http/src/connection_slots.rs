//! Limits the open connections of one listener: [`ConnectionSlots`].
//!
//! Over the limit, a new connection takes the place of one that has no request in progress: first
//! of one that never sent a whole request, then of the one that was idle the longest.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;

use crate::held_memory::HoldHandle;
use crate::observed_stream::StreamObserver;
use banyan_core::units::ByteCount;

/// How long a new connection waits for the slot of another one. Its task releases it as soon as it
/// runs.
const SLOT_WAIT: Duration = Duration::from_millis(500);

/// The part of the limit on incomplete requests, in percent, above which each connection that
/// receives more of one is closed.
const MAX_PENDING_PERCENT: u64 = 125;

/// An open connection.
#[derive(Debug)]
struct OpenConnection {
    /// The number of requests in progress.
    requests: u32,
    /// Whether a whole request, or its head, ever arrived.
    has_sent_request: bool,
    /// The turn at which it was opened or last became idle.
    idle_turn: u64,
    /// The bytes that arrived of an incomplete request, where they are counted.
    pending: u64,
    /// Notified when it must be closed.
    end: Arc<Notify>,
    /// Whether it was told to close.
    ended: bool,
}

#[derive(Debug, Default)]
struct OpenTable {
    turn: u64,
    connections: BTreeMap<u64, OpenConnection>,
    /// The pending bytes of all connections.
    pending: u64,
}

/// The open connections of one listener.
#[derive(Debug)]
pub struct ConnectionSlots {
    name: &'static str,
    limit: usize,
    max_pending: u64,
    open: Mutex<OpenTable>,
    released: Notify,
}

impl ConnectionSlots {
    /// Slots for `limit` connections, which together hold at most `max_pending` bytes of
    /// incomplete requests where these are counted. `name` names the listener in logs and metrics.
    pub fn new(name: &'static str, limit: usize, max_pending: ByteCount) -> Arc<Self> {
        Arc::new(Self {
            name,
            limit,
            max_pending: max_pending.0,
            open: Mutex::default(),
            released: Notify::new(),
        })
    }

    /// Takes a slot for a new connection. Another connection is closed if there is no free one.
    /// `end_slowest` is called if all have requests in progress, and may end one of these. Returns
    /// `None` if no slot became free, so that the new connection must be closed.
    pub async fn admit(
        self: &Arc<Self>,
        end_slowest: impl Fn() -> bool,
    ) -> Option<Arc<ConnectionSlot>> {
        let taking = async {
            loop {
                let released = self.released.notified();
                let mut released = std::pin::pin!(released);
                released.as_mut().enable();
                if let Some(slot) = self.try_take() {
                    return Some(slot);
                }
                if !self.end_idle() && !end_slowest() {
                    return None;
                }
                released.await;
            }
        };
        let slot = tokio::time::timeout(SLOT_WAIT, taking).await.ok().flatten();
        if slot.is_none() {
            tracing::info!(
                part = "connections",
                listener = self.name,
                "Refused a connection: all slots are in use."
            );
        }
        slot
    }

    fn try_take(self: &Arc<Self>) -> Option<Arc<ConnectionSlot>> {
        let mut open = self.open();
        if open.connections.len() >= self.limit {
            return None;
        }
        open.turn += 1;
        let id = open.turn;
        let end = Arc::new(Notify::new());
        let connection = OpenConnection {
            requests: 0,
            has_sent_request: false,
            idle_turn: id,
            pending: 0,
            end: end.clone(),
            ended: false,
        };
        open.connections.insert(id, connection);
        Some(Arc::new(ConnectionSlot { slots: self.clone(), id, end }))
    }

    /// Tells the connection to close that is the first to give way. Returns whether one closes.
    fn end_idle(&self) -> bool {
        let mut open = self.open();
        if open.connections.values().any(|connection| connection.ended) {
            return true;
        }
        let idle = open.connections.values_mut().filter(|connection| connection.requests == 0);
        let rank =
            |connection: &&mut OpenConnection| (connection.has_sent_request, connection.idle_turn);
        let Some(victim) = idle.min_by_key(rank) else { return false };
        victim.ended = true;
        victim.end.notify_one();
        drop(open);
        tracing::info!(
            part = "connections",
            listener = self.name,
            "Closed an idle connection to admit a new one."
        );
        true
    }

    fn open(&self) -> MutexGuard<'_, OpenTable> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The slot of one connection, which is released when this is dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    slots: Arc<ConnectionSlots>,
    id: u64,
    end: Arc<Notify>,
}

impl ConnectionSlot {
    /// Records that a whole request, or its head, arrived.
    fn begin_request(&self) {
        let mut open = self.slots.open();
        let Some(connection) = open.connections.get_mut(&self.id) else { return };
        connection.requests += 1;
        connection.has_sent_request = true;
        let pending = std::mem::take(&mut connection.pending);
        open.pending -= pending;
    }

    /// Records that the answer of a request was sent.
    fn end_request(&self) {
        let mut open = self.slots.open();
        open.turn += 1;
        let turn = open.turn;
        if let Some(connection) = open.connections.get_mut(&self.id) {
            connection.requests = connection.requests.saturating_sub(1);
            connection.idle_turn = turn;
        }
    }

    /// Records that an answer is sent from now on whose memory is held. The connection closes if
    /// others need the memory.
    pub fn begin_delivery(&self, held: &HoldHandle) {
        held.begin_delivery(self.end.clone());
    }

    /// Waits until the connection must be closed.
    pub async fn must_end(&self) {
        self.end.notified().await;
    }
}

/// A request in progress. It ends when this is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    slot: Arc<ConnectionSlot>,
}

impl RequestGuard {
    /// Records that a whole request, or its head, arrived on a connection.
    pub fn begin(slot: Arc<ConnectionSlot>) -> Self {
        slot.begin_request();
        Self { slot }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.slot.end_request();
    }
}

/// Counts the bytes of incomplete requests. Over the limit the connection with most of them ends.
impl StreamObserver for ConnectionSlot {
    fn observe_read(&self, count: usize) -> io::Result<()> {
        let mut open = self.slots.open();
        let Some(connection) = open.connections.get_mut(&self.id) else { return Ok(()) };
        connection.pending += count as u64;
        open.pending += count as u64;
        if open.pending <= self.slots.max_pending {
            return Ok(());
        }
        let living = open.connections.iter().filter(|(_, connection)| !connection.ended);
        let largest = living.max_by_key(|(_, connection)| connection.pending);
        let Some(id) = largest.map(|(id, _)| *id) else { return Ok(()) };
        // Connections that were told to end hold memory until their tasks run. Far above the limit,
        // every connection that receives more is closed, whatever its size, so that memory stays
        // bounded meanwhile.
        let far_over = open.pending > self.slots.max_pending / 100 * MAX_PENDING_PERCENT;
        if id == self.id || far_over {
            drop(open);
            tracing::info!(
                part = "connections",
                listener = self.slots.name,
                "Closed a connection: incomplete messages exceed the limit."
            );
            let cause = "the incomplete messages of all connections exceed the limit";
            return Err(io::Error::new(io::ErrorKind::InvalidData, cause));
        }
        if let Some(connection) = open.connections.get_mut(&id) {
            connection.ended = true;
            connection.end.notify_one();
        }
        Ok(())
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut open = self.slots.open();
        if let Some(connection) = open.connections.remove(&self.id) {
            open.pending -= connection.pending;
        }
        drop(open);
        self.slots.released.notify_waiters();
    }
}
