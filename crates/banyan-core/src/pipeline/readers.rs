//! Chooses which instances read the platform's store for others: [`ReaderTable`].
//!
//! Each call to the store has a cost, and most records are heartbeats. In each availability zone
//! the live instance with the lowest name reads the store, and the others fetch changes from it.
//! This needs no agreement between instances: an instance that knows no better source reads the
//! store itself, announces that, and stops once it learns of a reader with a lower name.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::ids::ZoneId;
use crate::units::Moment;

/// Largest age of a peer's last read for it to count as a reader: one full interval between two
/// reads of the targets, plus a slow answer.
pub const MAX_READ_AGE: Duration = Duration::from_millis(1_200);
/// How long a peer's status is valid.
const STATUS_VALIDITY: Duration = Duration::from_secs(6);
/// How long a peer is not asked after it failed to deliver changes.
const FAILURE_PAUSE: Duration = Duration::from_secs(2);
/// How long after a failed call to the store any reader is preferred to the store.
const STORE_FAILURE_PAUSE: Duration = Duration::from_secs(3);
/// Number of instances per zone that are standbys for tasks that a single instance performs at a
/// time.
const STANDBYS_PER_ZONE: usize = 3;

/// The source from which an instance fetches the platform's records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FeedSource {
    /// The instance reads the store itself.
    Store,
    /// The instance asks the named instance at this address.
    Peer(InstanceId, SocketAddr),
}

/// The status that a peer announces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReaderStatus {
    /// Its availability zone.
    pub zone: ZoneId,
    /// The address at which it answers peers.
    pub address: SocketAddr,
    /// The age of its last read of the store, if it reads the store itself.
    pub read_age: Option<Duration>,
}

#[derive(Debug)]
struct ReaderRow {
    status: ReaderStatus,
    received: Moment,
    failed: Option<Moment>,
}

impl ReaderRow {
    fn is_live(&self, now: Moment) -> bool {
        now.since(self.received) < STATUS_VALIDITY
    }

    fn reads(&self, now: Moment) -> bool {
        let failed = self.failed.is_some_and(|at| now.since(at) < FAILURE_PAUSE);
        let fresh = self.status.read_age.is_some_and(|age| age < MAX_READ_AGE);
        self.is_live(now) && fresh && !failed
    }
}

/// The announced status of peers, which shows who reads the platform's store.
#[derive(Debug, Default)]
pub struct ReaderTable {
    rows: BTreeMap<InstanceId, ReaderRow>,
}

impl ReaderTable {
    /// Records the status that a peer announced, and drops peers whose status has expired.
    pub fn record_status(&mut self, peer: InstanceId, status: ReaderStatus, now: Moment) {
        self.rows.retain(|_, row| row.is_live(now));
        let failed = self.rows.get(&peer).and_then(|row| row.failed);
        self.rows.insert(peer, ReaderRow { status, received: now, failed });
    }

    /// Records that a peer failed to deliver changes when it was asked.
    pub fn note_failure(&mut self, peer: &InstanceId, now: Moment) {
        if let Some(row) = self.rows.get_mut(peer) {
            row.failed = Some(now);
        }
    }

    /// The addresses of all known peers.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.rows.values().map(|row| row.status.address)
    }

    /// Chooses the source for an instance. `last_failure` is when its own call to the store last
    /// failed.
    pub fn source(
        &self,
        own: &InstanceId,
        zone: &ZoneId,
        last_failure: Option<Moment>,
        now: Moment,
    ) -> FeedSource {
        let store_failed = last_failure.is_some_and(|at| now.since(at) < STORE_FAILURE_PAUSE);
        let readers = || self.rows.iter().filter(|(_, row)| row.reads(now));
        let local =
            readers().find(|(peer, row)| row.status.zone == *zone && (store_failed || *peer < own));
        let fallback =
            || readers().min_by_key(|(peer, _)| spread_key(own, peer)).filter(|_| store_failed);
        match local.or_else(fallback) {
            Some((peer, row)) => FeedSource::Peer(peer.clone(), row.status.address),
            None => FeedSource::Store,
        }
    }

    /// Whether an instance is one of the standbys of its zone for tasks that a single instance
    /// performs at a time. The other instances need not contact the store about them.
    pub fn is_standby(&self, own: &InstanceId, zone: &ZoneId, now: Moment) -> bool {
        self.lower_names(own, zone, now) < STANDBYS_PER_ZONE
    }

    /// Whether the zone has a live instance with a lower name, so that this instance need not hurry
    /// to reconnect to an unavailable store.
    pub fn may_wait(&self, own: &InstanceId, zone: &ZoneId, now: Moment) -> bool {
        self.lower_names(own, zone, now) > 0
    }

    /// The number of live instances of a zone with lower names.
    fn lower_names(&self, own: &InstanceId, zone: &ZoneId, now: Moment) -> usize {
        let lower_names = self.rows.range::<InstanceId, _>(..own);
        lower_names.filter(|(_, row)| row.is_live(now) && row.status.zone == *zone).count()
    }
}

/// A sort key for peers that differs between instances, which spreads them over the readers.
fn spread_key(own: &InstanceId, peer: &InstanceId) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(own.as_str().as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(peer.as_str().as_bytes(), seed)
}
