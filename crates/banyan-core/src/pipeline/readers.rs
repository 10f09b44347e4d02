//! Chooses which instances read the platform's store for others: [`ReaderTable`].
//!
//! Each call to the store has a cost, and most records are heartbeats. In each availability zone
//! one live instance reads the store, and the others fetch the changes from it. Instances with more
//! capacity come first, then those with lower names ([`DutyRank`]). This needs no agreement between
//! instances: an instance that knows no better source reads the store itself, announces that, and
//! stops once it learns of a reader of its zone that comes before it. An instance that the store
//! turns away asks any reader, and relays the changes to its zone.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::checkers::CheckerCandidate;
use crate::pipeline::checkers::choose_checker;
use crate::pipeline::duties::DutyCapacity;
use crate::pipeline::duties::DutyRank;
use crate::pipeline::duties::OwnInstance;
use crate::units::Moment;

/// Largest age of a peer's last read for it to count as a reader: one full interval between two
/// reads of the targets, plus a slow answer.
pub const MAX_READ_AGE: Duration = Duration::from_millis(1_200);
/// How much older than [`MAX_READ_AGE`] the data of a relay may be. A relay whose reader fails needs
/// this long to find another source, and its followers need not look for one meanwhile.
const RELAY_GRACE: Duration = Duration::from_millis(400);
/// How long a peer's status is valid in any case. It is valid for longer in a large fleet, where a
/// peer is heard of less often, unless the peer has failed to answer since.
const STATUS_VALIDITY: Duration = Duration::from_secs(6);
/// How long a peer is not asked after it failed to deliver changes.
const FAILURE_PAUSE: Duration = Duration::from_secs(2);
/// How long after a failed call to the store any reader is preferred to the store.
const STORE_FAILURE_PAUSE: Duration = Duration::from_secs(3);
/// Number of instances in a zone from which on they share checks of targets. With fewer, asking
/// another instance saves few checks, and finds a dead target later.
const MIN_SHARED_CHECKS: usize = 6;
/// Number of instances per zone that are standbys for tasks that a single instance performs at a
/// time.
const STANDBYS_PER_ZONE: usize = 3;

/// Where an instance gets the platform's records from, as it announces it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedRole {
    /// It reads the store itself.
    Reader,
    /// It passes on what a reader of another zone has read.
    Relay,
    /// It follows another instance of its zone, and is not asked by others.
    Follower,
}

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
    /// What it can spend on work for others.
    pub capacity: DutyCapacity,
    /// Where it gets the platform's records from.
    pub role: FeedRole,
    /// The age of its records, if it reads the store or relays them.
    pub read_age: Option<Duration>,
}

#[derive(Debug)]
struct ReaderRow {
    status: ReaderStatus,
    received: Moment,
    /// When it last failed to deliver records.
    failed: Option<Moment>,
    /// When it last did not answer as a checker.
    silent_as_checker: Option<Moment>,
    /// When it last did not answer an exchange.
    unanswered: Option<Moment>,
    /// How long its status is valid while it answers.
    validity: Duration,
}

impl ReaderRow {
    fn is_live(&self, now: Moment) -> bool {
        let age = now.since(self.received);
        let last_failure = self.failed.max(self.silent_as_checker).max(self.unanswered);
        let has_failed = last_failure.is_some_and(|at| at >= self.received);
        age < STATUS_VALIDITY || (age < self.validity && !has_failed)
    }

    /// Whether the peer has recent records for others and did not fail to deliver them.
    fn delivers(&self, now: Moment) -> bool {
        let failed = self.failed.is_some_and(|at| now.since(at) < FAILURE_PAUSE);
        let limit = max_read_age(self.status.role);
        let fresh = limit.is_some_and(|limit| self.status.read_age.is_some_and(|age| age < limit));
        self.is_live(now) && fresh && !failed
    }

    fn reads_store(&self, now: Moment) -> bool {
        self.status.role == FeedRole::Reader && self.delivers(now)
    }

    fn rank<'a>(&self, name: &'a InstanceId) -> DutyRank<'a> {
        (Reverse(self.status.capacity), name)
    }
}

/// The largest age of the records that an instance of a role passes on, or `None` if it passes on
/// none.
pub fn max_read_age(role: FeedRole) -> Option<Duration> {
    match role {
        FeedRole::Reader => Some(MAX_READ_AGE),
        FeedRole::Relay => Some(MAX_READ_AGE + RELAY_GRACE),
        FeedRole::Follower => None,
    }
}

/// The announced status of peers, which shows who reads the platform's store.
#[derive(Debug, Default)]
pub struct ReaderTable {
    rows: BTreeMap<InstanceId, ReaderRow>,
    /// The longest time in which this instance calls each peer once.
    exchange_cycle: Duration,
}

impl ReaderTable {
    /// Records the status that a peer announced, and drops peers whose status has expired.
    pub fn record_status(&mut self, peer: InstanceId, status: ReaderStatus, now: Moment) {
        self.rows.retain(|_, row| row.is_live(now));
        let known = self.rows.get(&peer);
        let failed = known.and_then(|row| row.failed);
        let silent_as_checker = known.and_then(|row| row.silent_as_checker);
        let unanswered = known.and_then(|row| row.unanswered);
        let validity = self.exchange_cycle.max(STATUS_VALIDITY);
        let received = now;
        let row = ReaderRow { status, received, failed, silent_as_checker, unanswered, validity };
        self.rows.insert(peer, row);
    }

    /// Sets the longest time in which this instance exchanges digests with each peer once. The
    /// status of a peer stays valid until then.
    pub fn set_exchange_cycle(&mut self, cycle: Duration) {
        self.exchange_cycle = cycle;
    }

    /// Records that the peer at an address did not answer an exchange.
    pub fn note_unanswered(&mut self, address: SocketAddr, now: Moment) {
        for row in self.rows.values_mut().filter(|row| row.status.address == address) {
            row.unanswered = Some(now);
        }
    }

    /// The announced status of a peer.
    pub fn status(&self, peer: &InstanceId) -> Option<&ReaderStatus> {
        self.rows.get(peer).map(|row| &row.status)
    }

    /// Records that a peer failed to deliver changes when it was asked.
    pub fn note_failure(&mut self, peer: &InstanceId, now: Moment) {
        if let Some(row) = self.rows.get_mut(peer) {
            row.failed = Some(now);
        }
    }

    /// Records that the peer at an address did not answer as a checker.
    pub fn note_silent_checker(&mut self, address: SocketAddr, now: Moment) {
        for row in self.rows.values_mut().filter(|row| row.status.address == address) {
            row.silent_as_checker = Some(now);
        }
    }

    /// The addresses of all known peers.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.rows.values().map(|row| row.status.address)
    }

    /// The names of the peers that were heard of recently, in order.
    pub fn live_peers(&self, now: Moment) -> impl Iterator<Item = &InstanceId> {
        self.rows.iter().filter(move |(_, row)| row.is_live(now)).map(|(peer, _)| peer)
    }

    /// The names of the live peers of an instance's zone.
    pub fn live_zone_peers(
        &self,
        own: &OwnInstance<'_>,
        now: Moment,
    ) -> impl Iterator<Item = &InstanceId> {
        let in_zone = move |row: &ReaderRow| row.is_live(now) && row.status.zone == *own.zone;
        self.rows.iter().filter(move |(_, row)| in_zone(row)).map(|(peer, _)| peer)
    }

    /// Chooses the source for an instance. `last_failure` is when its own call to the store last
    /// failed.
    ///
    /// A follower asks only instances of its zone that come before it, so that no two instances ask
    /// each other. An instance that the store turns away asks any reader.
    pub fn source(
        &self,
        own: &OwnInstance<'_>,
        last_failure: Option<Moment>,
        now: Moment,
    ) -> FeedSource {
        let store_failed = last_failure.is_some_and(|at| now.since(at) < STORE_FAILURE_PAUSE);
        let in_zone = |row: &ReaderRow| row.status.zone == *own.zone;
        let comes_before = |peer: &InstanceId, row: &ReaderRow| row.rank(peer) < own.rank();
        let local = self
            .rows
            .iter()
            .filter(|(peer, row)| in_zone(row) && row.delivers(now) && comes_before(peer, row))
            .min_by_key(|(peer, row)| row.rank(peer));
        let readers = || self.rows.iter().filter(|(_, row)| row.reads_store(now));
        let fallback = || {
            let key = |peer, row: &ReaderRow| (!in_zone(row), spread_key(own.name, peer));
            readers().min_by_key(|(peer, row)| key(peer, row)).filter(|_| store_failed)
        };
        match local.or_else(fallback) {
            Some((peer, row)) => FeedSource::Peer(peer.clone(), row.status.address),
            None => FeedSource::Store,
        }
    }

    /// The role of an instance that gets its records from a peer. Peers of another zone read the
    /// store.
    pub fn role_behind(&self, own: &OwnInstance<'_>, peer: &InstanceId) -> FeedRole {
        let same_zone = |row: &ReaderRow| row.status.zone == *own.zone;
        let follows = self.rows.get(peer).is_none_or(same_zone);
        if follows { FeedRole::Follower } else { FeedRole::Relay }
    }

    /// Whether an instance is one of the standbys of its zone for tasks that a single instance
    /// performs at a time. The other instances need not contact the store about them.
    pub fn is_standby(&self, own: &OwnInstance<'_>, now: Moment) -> bool {
        self.earlier_instances(own, now) < STANDBYS_PER_ZONE
    }

    /// Whether the zone has a live instance that comes before this one, so that this instance need
    /// not hurry to reconnect to an unavailable store.
    pub fn may_wait(&self, own: &OwnInstance<'_>, now: Moment) -> bool {
        self.earlier_instances(own, now) > 0
    }

    /// The number of live instances of a zone that come before an instance.
    fn earlier_instances(&self, own: &OwnInstance<'_>, now: Moment) -> usize {
        let earlier = |(peer, row): &(&InstanceId, &ReaderRow)| {
            row.is_live(now) && row.status.zone == *own.zone && row.rank(peer) < own.rank()
        };
        self.rows.iter().filter(earlier).count()
    }

    /// The instance of a zone that checks a target for the others, out of the live ones and the
    /// asking instance itself. Returns `None` if that is the asking instance, or if the zone has so
    /// few instances that each checks for itself.
    pub fn checker(
        &self,
        own: &OwnInstance<'_>,
        target: &TargetId,
        now: Moment,
    ) -> Option<SocketAddr> {
        let silent =
            |row: &ReaderRow| row.silent_as_checker.is_some_and(|at| now.since(at) < FAILURE_PAUSE);
        let can_check =
            |row: &ReaderRow| row.is_live(now) && row.status.zone == *own.zone && !silent(row);
        let peers =
            self.rows.iter().filter(|(_, row)| can_check(row)).map(|(instance, row)| {
                CheckerCandidate { instance, capacity: row.status.capacity }
            });
        let this = CheckerCandidate { instance: own.name, capacity: own.capacity };
        let candidates: Vec<_> = peers.chain(std::iter::once(this)).collect();
        if candidates.len() < MIN_SHARED_CHECKS {
            return None;
        }
        let chosen = choose_checker(target, candidates.into_iter())?;
        self.rows.get(chosen).map(|row| row.status.address)
    }
}

/// A sort key for peers that differs between instances, which spreads them over the readers.
fn spread_key(own: &InstanceId, peer: &InstanceId) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(own.as_str().as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(peer.as_str().as_bytes(), seed)
}
