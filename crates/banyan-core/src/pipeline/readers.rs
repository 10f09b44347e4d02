//! Who reads the platform's store for whom: [`ReaderTable`].
//!
//! Each call to the store costs, and most records are heartbeats. In each availability zone the live
//! instance with the lowest name reads the store; the others ask it for news. Nobody has to agree on
//! who that is: an instance that knows no better source reads the store itself, says so, and stops
//! once it hears of a lower name that reads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::ids::ZoneId;
use crate::units::Moment;

/// How old the last read of a peer may be for it to count as a reader: a whole pause between two reads
/// of the targets, and a slow answer.
pub const MAX_READ_AGE: Duration = Duration::from_millis(1_200);
/// The time for which what a peer said of itself counts.
const HEARD_TIME: Duration = Duration::from_secs(6);
/// The time for which a peer is not asked that gave no news.
const FAILED_PAUSE: Duration = Duration::from_secs(2);
/// The time after a failed call to the store for which any reader is better than the store.
const TROUBLE_TIME: Duration = Duration::from_secs(3);
/// The instances of a zone that take part in what one of all instances does at a time.
const STANDBYS_IN_ZONE: usize = 3;

/// Where an instance learns what the platform keeps.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FeedSource {
    /// It reads the store itself.
    Store,
    /// It asks another instance for news.
    Peer(InstanceId, SocketAddr),
}

/// What a peer says of its reading.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReaderStatus {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it answers its peers.
    pub address: SocketAddr,
    /// How long ago it read the store, if it reads the store itself.
    pub read_age: Option<Duration>,
}

#[derive(Debug)]
struct ReaderRow {
    word: ReaderStatus,
    heard: Moment,
    failed: Option<Moment>,
}

impl ReaderRow {
    fn is_live(&self, now: Moment) -> bool {
        now.since(self.heard) < HEARD_TIME
    }

    fn reads(&self, now: Moment) -> bool {
        let failed = self.failed.is_some_and(|at| now.since(at) < FAILED_PAUSE);
        let fresh = self.word.read_age.is_some_and(|age| age < MAX_READ_AGE);
        self.is_live(now) && fresh && !failed
    }
}

/// Which peers read the platform's store.
#[derive(Debug, Default)]
pub struct ReaderTable {
    rows: BTreeMap<InstanceId, ReaderRow>,
}

impl ReaderTable {
    /// Takes in what a peer says of itself.
    pub fn record_status(&mut self, peer: InstanceId, word: ReaderStatus, now: Moment) {
        self.rows.retain(|_, row| row.is_live(now));
        let failed = self.rows.get(&peer).and_then(|row| row.failed);
        self.rows.insert(peer, ReaderRow { word, heard: now, failed });
    }

    /// Notes that a peer gave no news when it was asked.
    pub fn note_failure(&mut self, peer: &InstanceId, now: Moment) {
        if let Some(row) = self.rows.get_mut(peer) {
            row.failed = Some(now);
        }
    }

    /// Where the peers that were heard lately answer.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.rows.values().map(|row| row.word.address)
    }

    /// Where an instance should learn what the platform keeps. `trouble` is when its own call to the
    /// store last failed.
    pub fn source(
        &self,
        own: &InstanceId,
        zone: &ZoneId,
        trouble: Option<Moment>,
        now: Moment,
    ) -> FeedSource {
        let cut_off = trouble.is_some_and(|at| now.since(at) < TROUBLE_TIME);
        let readers = || self.rows.iter().filter(|(_, row)| row.reads(now));
        let near = readers().find(|(peer, row)| row.word.zone == *zone && (cut_off || *peer < own));
        let any = || readers().min_by_key(|(peer, _)| spread(own, peer)).filter(|_| cut_off);
        match near.or_else(any) {
            Some((peer, row)) => FeedSource::Peer(peer.clone(), row.word.address),
            None => FeedSource::Store,
        }
    }

    /// Whether an instance is among the few of its zone that stand by for what one of all instances
    /// does at a time: the store need not hear of the others.
    pub fn is_standby(&self, own: &InstanceId, zone: &ZoneId, now: Moment) -> bool {
        self.lower(own, zone, now) < STANDBYS_IN_ZONE
    }

    /// Whether a lower name of the same zone lives, so that this instance need not hurry to reach a
    /// store that is away.
    pub fn may_wait(&self, own: &InstanceId, zone: &ZoneId, now: Moment) -> bool {
        self.lower(own, zone, now) > 0
    }

    /// The number of live instances of a zone with lower names.
    fn lower(&self, own: &InstanceId, zone: &ZoneId, now: Moment) -> usize {
        let lower = self.rows.range::<InstanceId, _>(..own);
        lower.filter(|(_, row)| row.is_live(now) && row.word.zone == *zone).count()
    }
}

/// An order of the peers that differs from instance to instance.
fn spread(own: &InstanceId, peer: &InstanceId) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(own.as_str().as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(peer.as_str().as_bytes(), seed)
}
