//! Divides a machine's memory and descriptors among the uses of a daemon: [`MachineLimits`].

use crate::units::ByteCount;

/// The descriptors that are set apart for files.
const FILE_DESCRIPTORS: u32 = 200;
/// The part of the memory for bodies and answers of callers, as a divisor. The rest is for the
/// tables, for connections and for memory that the allocator cannot reuse at once.
const HELD_DIVISOR: u64 = 3;
/// The part of the memory for connections of callers, as a divisor.
const CONNECTIONS_DIVISOR: u64 = 4;
/// The part of the memory for incomplete messages of peers, as a divisor.
const PEER_BYTES_DIVISOR: u64 = 8;
/// What a caller's connection takes beside its body: the buffers of the HTTP library for reading
/// and writing, and the state of its task.
const CONNECTION_BYTES: u64 = 48 << 10;
/// The part of the sockets for callers, as a divisor. Each request needs one more for its target.
const CALLER_DIVISOR: u32 = 3;
/// The part of the sockets for connections from peers, as a divisor.
const PEER_DIVISOR: u32 = 6;
/// The part of the sockets for each page (readiness, metrics), as a divisor.
const PAGE_DIVISOR: u32 = 24;
/// The least number of connections for any use, however small the machine is.
const MIN_CONNECTIONS: u32 = 4;

/// What a machine gives a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MachineLimits {
    /// The memory.
    pub memory: ByteCount,
    /// The open file descriptors.
    pub descriptors: u32,
}

impl MachineLimits {
    /// The bytes that may be held for callers in bodies and answers.
    pub fn held_bytes(&self) -> ByteCount {
        ByteCount(self.memory.0 / HELD_DIVISOR)
    }

    /// The number of open connections of callers.
    pub fn caller_connections(&self) -> usize {
        let by_memory = self.memory.0 / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        let by_descriptors = self.share(CALLER_DIVISOR);
        by_descriptors.min(by_memory as usize).max(MIN_CONNECTIONS as usize)
    }

    /// The number of open connections that peers opened.
    pub fn peer_connections(&self) -> usize {
        self.share(PEER_DIVISOR)
    }

    /// The number of open connections to one of the daemon's pages.
    pub fn page_connections(&self) -> usize {
        self.share(PAGE_DIVISOR)
    }

    /// The memory for messages that are being received from peers.
    pub fn peer_bytes(&self) -> ByteCount {
        ByteCount(self.memory.0 / PEER_BYTES_DIVISOR)
    }

    fn share(&self, divisor: u32) -> usize {
        let sockets = self.descriptors.saturating_sub(FILE_DESCRIPTORS);
        (sockets / divisor).max(MIN_CONNECTIONS) as usize
    }
}
