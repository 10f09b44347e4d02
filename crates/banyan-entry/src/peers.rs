//! The other instances as this one sees them: [`PeerTable`] and the systems over it.
//!
//! All of it is soft state: it makes things faster or more cautious, and no right to act rests on
//! it.

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

/// The number of peers that one round of exchange talks to.
pub const FANOUT: usize = 3;
/// The time between two rounds of exchange.
pub const EXCHANGE_PAUSE: Duration = Duration::from_millis(500);
/// Failed calls in a row after which a peer is suspected.
const FAILURE_LIMIT: u32 = 2;
/// How long a peer that left the instance list and is silent is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// How recently a peer must have read the log to count as reading it.
const LOG_FRESH: Duration = Duration::from_millis(3000);
/// The most peers that a joining instance asks for their state.
const SOURCE_LIMIT: usize = 4;

/// The other instances as this one sees them.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    /// The rows by instance.
    pub rows: BTreeMap<InstanceId, PeerRow>,
    /// Addresses from the settings whose instance is not known yet.
    pub unidentified_addresses: BTreeSet<SocketAddr>,
    /// When the instance list was last read.
    list_read: Option<Moment>,
    /// Where the next round of exchange goes on in the order of addresses.
    turn: usize,
}

/// One other instance.
#[derive(Clone, Debug, Default)]
pub struct PeerRow {
    /// Where it is reached.
    pub address: Option<SocketAddr>,
    /// Its run, as it last said.
    pub incarnation: SmolStr,
    /// When it was last heard.
    pub heard: Option<Moment>,
    /// The revision in force there, as it last said.
    pub revision: Revision,
    /// The next offset that it folds, by stream.
    pub next: BTreeMap<StreamId, u64>,
    /// How long it had not read the log when it was last heard.
    pub log_silent: Duration,
    /// Whether it is draining, by its own word.
    pub draining: bool,
    /// Whether the instance list says that it is leaving.
    pub listed_leaving: bool,
    /// Whether the newest instance list names it.
    pub listed: bool,
    /// Calls to it that failed since it was last heard.
    pub failures: u32,
    /// Whether it is suspected.
    pub suspected: bool,
    /// Its availability zone, as it last said.
    pub zone: Option<ZoneId>,
}

/// A change of trust in a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerChange {
    /// It is suspected now.
    Suspected(InstanceId),
    /// It is trusted again.
    Trusted(InstanceId),
}

impl PeerRow {
    /// Whether it is about to stop, by any sign.
    pub fn leaving(&self) -> bool {
        self.draining || self.listed_leaving
    }

    /// Whether it can be given work: heard, trusted and staying.
    pub fn usable(&self) -> bool {
        self.heard.is_some() && !self.suspected && !self.leaving()
    }
}

impl PeerTable {
    /// A table that greets the addresses of the settings.
    pub fn greeting(settings: &EntrySettings) -> Self {
        Self { unidentified_addresses: settings.peers.iter().copied().collect(), ..Self::default() }
    }

    /// Takes in what a peer told; says whether that made it trusted again.
    pub fn note_digest(
        &mut self,
        digest: &PeerDigest,
        address: Option<SocketAddr>,
        now: Moment,
    ) -> Option<PeerChange> {
        let instance: InstanceId = digest.instance.parse().ok()?;
        let row = self.rows.entry(instance.clone()).or_default();
        if let Some(address) = address {
            // The instance list knows better where a peer is reached than a greeting.
            row.address = row.address.filter(|_| row.listed).or(Some(address));
            self.unidentified_addresses.remove(&address);
        }
        let fresh = row.heard.is_none();
        row.incarnation = digest.incarnation.clone();
        row.heard = Some(now);
        row.failures = 0;
        row.revision = Revision(digest.revision);
        let next = digest.next.iter();
        row.next = next.filter_map(|(name, at)| Some((name.parse().ok()?, *at))).collect();
        row.log_silent = Duration::from_millis(digest.log_silent_ms);
        row.draining = digest.draining;
        row.zone = digest.zone.parse().ok();
        let was_suspected = std::mem::replace(&mut row.suspected, false);
        (fresh || was_suspected).then_some(PeerChange::Trusted(instance))
    }

    /// Notes a call without an answer; says whether that made the peer suspected.
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

    /// Takes in the instance list's other entries, with their addresses and whether they leave.
    pub fn note_listed(
        &mut self,
        listed: BTreeMap<InstanceId, (Option<SocketAddr>, bool)>,
        now: Moment,
    ) {
        self.list_read = Some(now);
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

    /// Forgets peers that the instance list no longer names and that are silent.
    ///
    /// A peer that said that it leaves is forgotten once it is silent; any other one might only be
    /// cut off, so that it counts as a peer for longer, and for ever where the list is not read,
    /// because then this instance may be the one that is cut off.
    pub fn forget_gone(&mut self, now: Moment) {
        let reads_list = self.list_read.is_some_and(|read| now.since(read) < FORGET_AFTER);
        self.rows.retain(|_, row| {
            let silent = row.heard.map(|heard| now.since(heard));
            let gone = row.leaving() && row.suspected;
            let old = reads_list && silent.is_none_or(|silent| silent >= FORGET_AFTER);
            row.listed || row.heard.is_some() && !gone && !old
        });
    }

    /// The addresses of all peers that are known or greeted.
    pub fn known(&self) -> BTreeSet<SocketAddr> {
        let rows = self.rows.values().filter_map(|row| row.address);
        rows.chain(self.unidentified_addresses.iter().copied()).collect()
    }

    /// The peers that can be given work, with their zones.
    pub fn live(&self) -> LiveInstances {
        let usable = self.rows.iter().filter(|(_, row)| row.usable());
        usable.filter_map(|(instance, row)| Some((instance.clone(), row.zone.clone()?))).collect()
    }

    /// The addresses of some peers, and of those that are greeted.
    pub fn addresses(&self, instances: &[InstanceId]) -> Vec<SocketAddr> {
        let known = instances.iter().filter_map(|instance| self.rows.get(instance)?.address);
        known.chain(self.unidentified_addresses.iter().copied().take(FANOUT)).collect()
    }

    /// The addresses of one round of exchange, in turn, so that each peer is met after a bounded
    /// number of rounds.
    pub fn next_round(&mut self) -> Vec<SocketAddr> {
        let known: Vec<SocketAddr> = self.known().into_iter().collect();
        let count = known.len().min(FANOUT);
        let round = (0..count).map(|step| known[(self.turn + step) % known.len()]).collect();
        self.turn = self.turn.wrapping_add(count) % known.len().max(1);
        round
    }

    /// The peers that hold the most of the log, and those not heard yet, to take a state from.
    pub fn best_sources(&self) -> Vec<SocketAddr> {
        let mut rows: Vec<&PeerRow> = self.rows.values().filter(|row| !row.suspected).collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.next.get(&StreamId::Configuration).copied()));
        let known = rows.into_iter().filter_map(|row| row.address);
        known.chain(self.unidentified_addresses.iter().copied()).take(SOURCE_LIMIT).collect()
    }

    /// The peers that read the log themselves and hold entries of a stream from `next` on, or as
    /// much as this instance; the one that holds most comes first.
    pub fn relays(&self, stream: StreamId, next: u64) -> Vec<SocketAddr> {
        let mut rows: Vec<(u64, SocketAddr)> = Vec::new();
        for row in self.rows.values().filter(|row| !row.suspected && row.log_silent < LOG_FRESH) {
            let (Some(at), Some(address)) = (row.next.get(&stream), row.address) else { continue };
            if *at >= next {
                rows.push((*at, address));
            }
        }
        rows.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        rows.into_iter().map(|(_, address)| address).collect()
    }

    /// The peers that can be given work on the log: usable, and reading it themselves.
    pub fn log_writers(&self) -> BTreeSet<InstanceId> {
        let writes = |row: &PeerRow| row.usable() && row.log_silent < LOG_FRESH;
        let writers = self.rows.iter().filter(|(_, row)| writes(row));
        writers.map(|(instance, _)| instance.clone()).collect()
    }

    /// When any peer was last heard.
    pub fn last_heard(&self) -> Option<Moment> {
        self.rows.values().filter_map(|row| row.heard).max()
    }
}
