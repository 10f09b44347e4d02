//! This instance's view of the other instances: [`PeerTable`].
//!
//! All of it is soft state: it affects only speed and caution, and never grants the right to act.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use banyan_config::settings::EntrySettings;
use banyan_core::ids::InstanceId;
use banyan_core::ids::Revision;
use banyan_core::ids::ZoneId;
use banyan_core::record::StreamId;
use banyan_core::serving::ring::LiveInstances;
use banyan_core::units::Moment;
use banyan_wire::peer::PeerDigest;

/// The number of peers contacted in one round of exchange.
pub const FANOUT: usize = 3;
/// The interval between rounds of exchange.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Consecutive failed calls after which a peer is suspected.
const FAILURE_LIMIT: u32 = 2;
/// How long a silent peer is kept after it left the instance list.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// The highest age of a peer's last log read at which it counts as reading the log.
const MAX_LOG_READ_AGE: Duration = Duration::from_millis(3000);
/// The maximum number of peers that a joining instance asks for their state.
const SOURCE_LIMIT: usize = 4;

/// This instance's view of the other instances.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    /// The known peers by instance.
    pub rows: BTreeMap<InstanceId, PeerRow>,
    /// Addresses from the settings whose instance is not known yet.
    pub unidentified_addresses: BTreeSet<SocketAddr>,
    /// When the instance list was last read.
    list_read_at: Option<Moment>,
    /// The index into the sorted addresses at which the next round starts.
    next_index: usize,
}

/// One other instance.
#[derive(Clone, Debug, Default)]
pub struct PeerRow {
    /// The address of its peer port, once known.
    pub address: Option<SocketAddr>,
    /// Its incarnation, as last reported.
    pub incarnation: SmolStr,
    /// When its newest digest arrived; `None` before the first one.
    pub heard_at: Option<Moment>,
    /// The revision in force there, as last reported.
    pub revision: Revision,
    /// The next offset that it folds, by stream.
    pub next: BTreeMap<StreamId, u64>,
    /// How long ago it had read the log when it sent its newest digest.
    pub log_read_age: Duration,
    /// Whether it reports that it is draining.
    pub draining: bool,
    /// Whether the instance list says that it is leaving.
    pub listed_leaving: bool,
    /// Whether the newest instance list names it.
    pub listed: bool,
    /// Calls to it that failed since its newest digest or change of address.
    pub failures: u32,
    /// Whether it is suspected to be down.
    pub suspected: bool,
    /// Its availability zone, as last reported.
    pub zone: Option<ZoneId>,
}

/// A peer that became suspected or trusted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerChange {
    /// The peer is now suspected.
    Suspected(InstanceId),
    /// The peer is trusted, at first contact or again.
    Trusted(InstanceId),
}

impl PeerRow {
    /// Whether it is about to stop, by its own report or the instance list.
    pub fn leaving(&self) -> bool {
        self.draining || self.listed_leaving
    }

    /// Whether it can be given work: it has sent a digest, is trusted and is not leaving.
    pub fn usable(&self) -> bool {
        self.heard_at.is_some() && !self.suspected && !self.leaving()
    }
}

impl PeerTable {
    /// A table that contacts the addresses from the settings first.
    pub fn from_settings(settings: &EntrySettings) -> Self {
        Self { unidentified_addresses: settings.peers.iter().copied().collect(), ..Self::default() }
    }

    /// Records a digest from a peer; returns the change if the peer is now trusted.
    pub fn note_digest(
        &mut self,
        digest: &PeerDigest,
        address: Option<SocketAddr>,
        now: Moment,
    ) -> Option<PeerChange> {
        let instance: InstanceId = digest.instance.parse().ok()?;
        let row = self.rows.entry(instance.clone()).or_default();
        if let Some(address) = address {
            // An address from the instance list takes precedence over one from the settings.
            row.address = row.address.filter(|_| row.listed).or(Some(address));
            self.unidentified_addresses.remove(&address);
        }
        let first_contact = row.heard_at.is_none();
        row.incarnation = digest.incarnation.clone();
        row.heard_at = Some(now);
        row.failures = 0;
        row.revision = Revision(digest.revision);
        let next = digest.next.iter();
        row.next = next.filter_map(|(name, at)| Some((name.parse().ok()?, *at))).collect();
        row.log_read_age = Duration::from_millis(digest.log_silent_ms);
        row.draining = digest.draining;
        row.zone = digest.zone.parse().ok();
        let was_suspected = std::mem::replace(&mut row.suspected, false);
        (first_contact || was_suspected).then_some(PeerChange::Trusted(instance))
    }

    /// Records a failed call; returns the change if the peer is now suspected.
    pub fn note_failure(&mut self, address: SocketAddr) -> Option<PeerChange> {
        let mut rows = self.rows.iter_mut();
        let (instance, row) = rows.find(|(_, row)| row.address == Some(address))?;
        row.failures += 1;
        if row.suspected || row.failures < FAILURE_LIMIT {
            return None;
        }
        row.suspected = true;
        Some(PeerChange::Suspected(instance.clone()))
    }

    /// Records the other entries of the instance list, with their addresses and whether they are
    /// leaving.
    pub fn note_listed(
        &mut self,
        listed: BTreeMap<InstanceId, (Option<SocketAddr>, bool)>,
        now: Moment,
    ) {
        self.list_read_at = Some(now);
        for row in self.rows.values_mut() {
            row.listed = false;
        }
        for (instance, (address, leaving)) in listed {
            let row = self.rows.entry(instance).or_default();
            row.listed = true;
            row.listed_leaving = leaving;
            if address.is_some() && row.address != address {
                row.address = address;
                row.failures = 0;
            }
        }
    }

    /// Removes silent peers that the instance list no longer names.
    ///
    /// A peer that announced that it is leaving is removed once it is suspected. Any other peer may
    /// only be partitioned, so it is kept for `FORGET_AFTER`. It is kept indefinitely while the
    /// list cannot be read, because then this instance may be the partitioned one.
    pub fn forget_gone(&mut self, now: Moment) {
        let list_is_current = self.list_read_at.is_some_and(|read| now.since(read) < FORGET_AFTER);
        self.rows.retain(|_, row| {
            let silent = row.heard_at.map(|heard| now.since(heard));
            let left = row.leaving() && row.suspected;
            let expired = list_is_current && silent.is_none_or(|silent| silent >= FORGET_AFTER);
            row.listed || row.heard_at.is_some() && !left && !expired
        });
    }

    /// The addresses of all peers, identified or not.
    pub fn known_addresses(&self) -> BTreeSet<SocketAddr> {
        let rows = self.rows.values().filter_map(|row| row.address);
        rows.chain(self.unidentified_addresses.iter().copied()).collect()
    }

    /// The usable peers whose availability zone is known.
    pub fn live(&self) -> LiveInstances {
        let usable = self.rows.iter().filter(|(_, row)| row.usable());
        usable.filter_map(|(instance, row)| Some((instance.clone(), row.zone.clone()?))).collect()
    }

    /// The addresses of the given peers and of up to [`FANOUT`] unidentified ones.
    pub fn addresses(&self, instances: &[InstanceId]) -> Vec<SocketAddr> {
        let addresses = instances.iter().filter_map(|instance| self.rows.get(instance)?.address);
        addresses.chain(self.unidentified_addresses.iter().copied().take(FANOUT)).collect()
    }

    /// The addresses of the next round of exchange in round-robin order, so that each peer is
    /// contacted within a bounded number of rounds.
    pub fn next_round(&mut self) -> Vec<SocketAddr> {
        let addresses: Vec<SocketAddr> = self.known_addresses().into_iter().collect();
        let count = addresses.len().min(FANOUT);
        let round =
            (0..count).map(|step| addresses[(self.next_index + step) % addresses.len()]).collect();
        self.next_index = self.next_index.wrapping_add(count) % addresses.len().max(1);
        round
    }

    /// The peers to ask for a snapshot: those that have read the most of the configuration first,
    /// then those not identified yet.
    pub fn snapshot_sources(&self) -> Vec<SocketAddr> {
        let mut rows: Vec<&PeerRow> = self.rows.values().filter(|row| !row.suspected).collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.next.get(&StreamId::Configuration).copied()));
        let addresses = rows.into_iter().filter_map(|row| row.address);
        addresses.chain(self.unidentified_addresses.iter().copied()).take(SOURCE_LIMIT).collect()
    }

    /// The peers that read the log directly and have folded a stream at least up to `next`, the
    /// most advanced first.
    pub fn relay_sources(&self, stream: StreamId, next: u64) -> Vec<SocketAddr> {
        let mut rows: Vec<(u64, SocketAddr)> = Vec::new();
        for row in
            self.rows.values().filter(|row| !row.suspected && row.log_read_age < MAX_LOG_READ_AGE)
        {
            let (Some(at), Some(address)) = (row.next.get(&stream), row.address) else { continue };
            if *at >= next {
                rows.push((*at, address));
            }
        }
        rows.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        rows.into_iter().map(|(_, address)| address).collect()
    }

    /// The peers that can write to the log for others: usable, and reading the log directly.
    pub fn log_writers(&self) -> BTreeSet<InstanceId> {
        let writes = |row: &PeerRow| row.usable() && row.log_read_age < MAX_LOG_READ_AGE;
        let writers = self.rows.iter().filter(|(_, row)| writes(row));
        writers.map(|(instance, _)| instance.clone()).collect()
    }

    /// When the newest digest of any peer arrived.
    pub fn last_heard(&self) -> Option<Moment> {
        self.rows.values().filter_map(|row| row.heard_at).max()
    }
}
