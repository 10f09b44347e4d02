//! The periodic exchange of load and health data between instances: [`ExchangeDigest`].
//!
//! Each round sends a digest to a fixed number of peers. One is near on the ring and chooses from
//! the same targets; one may be anywhere on it. A digest has a bounded size: urgent entries come
//! first (leaving targets, suspects), then a page of demands and a page of loads, each of which
//! continues where the last one ended. The cost of a round therefore does not depend on the number
//! of instances. Entries carry their age, and the newest wins. They are soft state and may be lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::InstanceId;
use crate::ids::TargetId;
use crate::ids::WorkspaceId;
use crate::record::ContentDigest;
use crate::serving::limits::LimitTable;
use crate::serving::limits::UsagePage;
use crate::serving::poison::CrashedRun;
use crate::serving::poison::SuspectTable;
use crate::serving::ring::InstanceRing;
use crate::serving::ring::name_hash;
use crate::serving::targets::LeavingSource;
use crate::serving::targets::ReportedLoad;
use crate::serving::targets::TargetTable;
use crate::units::Moment;

/// The number of peers of a round that are near on the ring.
const NEAR_PEERS: usize = 1;
/// The number of peers of a round that may be anywhere on the ring.
const FAR_PEERS: usize = 1;
/// The part of the other instances that counts as near on each side of this one, as a divisor.
const NEAR_DIVISOR: usize = 8;
/// The largest size of a digest, in bytes.
pub const DIGEST_BYTES: usize = 1_400;
/// The part of a digest for suspects, in bytes.
const SUSPECT_BYTES: usize = 200;
/// The part of a digest for leaving targets, in bytes.
const LEAVING_BYTES: usize = 200;
/// The part of a digest for demands, in bytes.
const USAGE_BYTES: usize = 300;
/// The size of an entry beside its names, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 8;
/// The size of a load entry, in bytes: an index into the list of targets, two counts, an age, and
/// the time and age of a link.
const LOAD_ENTRY_BYTES: usize = 11;
/// Entries that are older than this are dropped.
const MAX_ENTRY_AGE: Duration = Duration::from_secs(5);
/// The most crashes that are sent for one suspect.
const MAX_CRASHES_PER_SUSPECT: usize = 4;

/// The data that one instance sends to another.
#[derive(Clone, Debug, Default)]
pub struct ExchangeDigest {
    /// Targets that are leaving, with the age of the report.
    pub leaving: Vec<(TargetId, Duration)>,
    /// Request contents that may crash targets.
    pub suspects: Vec<SuspectEntry>,
    /// The demands of workspaces at the sender.
    pub usage: UsagePage,
    /// The digest of the list of targets that the loads index into.
    pub listing: u64,
    /// Loads of targets.
    pub loads: Vec<LoadEntry>,
}

/// A request content that may crash targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectEntry {
    /// The digest of the content.
    pub content: ContentDigest,
    /// The target runs that crashed while the content was in flight there.
    pub crashes: BTreeSet<CrashedRun>,
}

/// The load of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadEntry {
    /// The target's index in the list of declared targets.
    pub place: u32,
    /// Steps that run or wait there.
    pub load: u32,
    /// Streams that are open there.
    pub streams: u32,
    /// The age of the measurement.
    pub age: Duration,
    /// The sender's recent response time beyond the step time; absent if queueing explains it, see
    /// [`LinkEstimate::own_excess`](crate::serving::load::LinkEstimate::own_excess).
    pub link: Option<LinkEntry>,
}

/// The response time of a target beyond its step time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkEntry {
    /// The response time minus the step time.
    pub excess: Duration,
    /// The age of the observation.
    pub age: Duration,
}

/// The state of the exchange between rounds: the number of the round, the positions where the next
/// digest continues, and the leaving targets that peers reported.
#[derive(Clone, Debug, Default)]
pub struct ExchangeState {
    /// The number of rounds so far.
    pub round: u64,
    /// The last target whose load was sent.
    load_cursor: Option<TargetId>,
    /// The last workspace whose demand was sent.
    usage_cursor: Option<WorkspaceId>,
    /// Leaving targets that peers reported, with the time of the report.
    leaving: BTreeMap<TargetId, Moment>,
}

/// Chooses the peers of a round.
pub fn choose_peers(ring: &InstanceRing, round: u64) -> Vec<InstanceId> {
    let others = ring.order.len() - 1;
    if others <= NEAR_PEERS + FAR_PEERS {
        return (1..=others).map(|places| ring.instance_after(places).clone()).collect();
    }
    let mut draw =
        name_hash(ring.instance_after(0).as_str()) ^ round.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut next = |bound: usize| {
        draw = xxhash_rust::xxh3::xxh3_64(&draw.to_le_bytes());
        (draw % bound as u64) as usize
    };
    // The window covers as many instances after this one as before it.
    let window = (others / NEAR_DIVISOR).max(NEAR_PEERS).min(others / 2);
    let mut places = BTreeSet::new();
    while places.len() < NEAR_PEERS {
        let place = next(window * 2);
        places.insert(if place < window { place + 1 } else { others + window - place });
    }
    while places.len() < NEAR_PEERS + FAR_PEERS {
        places.insert(next(others) + 1);
    }
    places.into_iter().map(|place| ring.instance_after(place).clone()).collect()
}

/// Builds the digest of this round.
pub fn build_digest(
    state: &mut ExchangeState,
    table: &TargetTable,
    limits: &LimitTable,
    suspects: &SuspectTable,
    now: Moment,
) -> ExchangeDigest {
    state.round += 1;
    ExchangeDigest {
        leaving: leaving_entries(state, table, now),
        suspects: suspect_entries(suspects),
        usage: usage_page(state, limits),
        listing: table.listing.digest,
        loads: load_page(state, table, now),
    }
}

/// Applies a peer's digest. Returns the request contents that its crash reports identify as the
/// cause of crashes, see [`SuspectTable::merge`].
pub fn apply_digest(
    state: &mut ExchangeState,
    table: &mut TargetTable,
    limits: &mut LimitTable,
    suspects: &mut SuspectTable,
    digest: &ExchangeDigest,
    now: Moment,
) -> Vec<ContentDigest> {
    for (target, age) in &digest.leaving {
        let reported_at = moment_before(now, *age);
        let known = state.leaving.entry(target.clone()).or_insert(reported_at);
        *known = (*known).max(reported_at);
        table.note_leaving(target, LeavingSource::Peers, true, now);
    }
    expire_leaving(state, table, now);
    if digest.listing == table.listing.digest {
        apply_loads(table, &digest.loads, now);
    }
    limits.note_usage(&digest.usage, now);
    let entries = digest.suspects.iter();
    entries
        .filter(|entry| suspects.merge(entry.content, &entry.crashes))
        .map(|entry| entry.content)
        .collect()
}

impl ExchangeDigest {
    /// The size of a compact encoding, in bytes.
    pub fn bytes(&self) -> usize {
        let leaving: usize = self.leaving.iter().map(|(target, _)| name_bytes(target)).sum();
        let suspects: usize = self.suspects.iter().map(SuspectEntry::bytes).sum();
        let usage: usize =
            self.usage.rows.keys().map(|name| name.as_str().len() + ENTRY_OVERHEAD_BYTES).sum();
        leaving + suspects + usage + self.loads.len() * LOAD_ENTRY_BYTES
    }
}

impl SuspectEntry {
    fn bytes(&self) -> usize {
        let crash = |(target, run): &CrashedRun| target.as_str().len() + run.len() + 2;
        ENTRY_OVERHEAD_BYTES + self.crashes.iter().map(crash).sum::<usize>()
    }
}

fn leaving_entries(
    state: &mut ExchangeState,
    table: &TargetTable,
    now: Moment,
) -> Vec<(TargetId, Duration)> {
    let mut entries = Vec::new();
    let mut bytes_left = LEAVING_BYTES;
    let observed_here = table.leaving.iter().filter(|target| {
        table.rows.get(*target).is_some_and(|row| row.leaving.listed || row.leaving.self_reported)
    });
    let observed_here = observed_here.map(|target| (target, Duration::ZERO));
    let relayed =
        state.leaving.iter().map(|(target, reported_at)| (target, now.since(*reported_at)));
    for (target, age) in observed_here.chain(relayed) {
        let bytes = name_bytes(target);
        if bytes > bytes_left {
            break;
        }
        if age <= MAX_ENTRY_AGE {
            bytes_left -= bytes;
            entries.push((target.clone(), age));
        }
    }
    entries
}

fn suspect_entries(suspects: &SuspectTable) -> Vec<SuspectEntry> {
    let mut bytes_left = SUSPECT_BYTES;
    let mut entries = Vec::new();
    for (content, row) in suspects.newest(SUSPECT_BYTES / ENTRY_OVERHEAD_BYTES) {
        let crashes = row.crashes.iter().take(MAX_CRASHES_PER_SUSPECT).cloned().collect();
        let suspect = SuspectEntry { content, crashes };
        let Some(rest) = bytes_left.checked_sub(suspect.bytes()) else { break };
        bytes_left = rest;
        entries.push(suspect);
    }
    entries
}

fn usage_page(state: &mut ExchangeState, limits: &LimitTable) -> UsagePage {
    let mut bytes_left = USAGE_BYTES;
    let mut rows = BTreeMap::new();
    let mut whole = state.usage_cursor.is_none();
    let from = state.usage_cursor.take();
    for (workspace, demand) in limits.demands_after(from.as_ref()) {
        let Some(rest) = bytes_left.checked_sub(workspace.as_str().len() + ENTRY_OVERHEAD_BYTES)
        else {
            whole = false;
            state.usage_cursor = rows.keys().next_back().cloned();
            break;
        };
        bytes_left = rest;
        rows.insert(workspace.clone(), demand);
    }
    UsagePage { rows, whole }
}

/// A page of recent loads that continues at the cursor and visits each target at most once.
fn load_page(state: &mut ExchangeState, table: &TargetTable, now: Moment) -> Vec<LoadEntry> {
    let limit = (DIGEST_BYTES - SUSPECT_BYTES - LEAVING_BYTES - USAGE_BYTES) / LOAD_ENTRY_BYTES;
    let cursor = state.load_cursor.take();
    let cursor_bound = cursor.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
    let after_cursor = table.reported.range::<TargetId, _>((cursor_bound, Bound::Unbounded));
    let up_to = cursor.iter().flat_map(|cursor| table.reported.range(..=cursor));
    let targets = after_cursor.chain(up_to);
    let mut entries = Vec::new();
    for target in targets {
        if entries.len() == limit {
            break;
        }
        state.load_cursor = Some(target.clone());
        entries.extend(load_entry(table, target, now));
    }
    entries
}

fn load_entry(table: &TargetTable, target: &TargetId, now: Moment) -> Option<LoadEntry> {
    let row = table.rows.get(target)?;
    let report = row.report.as_ref()?;
    let age = now.since(report.measured);
    if age > MAX_ENTRY_AGE {
        return None;
    }
    let place = table.listing.targets.binary_search(target).ok()? as u32;
    let observed = row.link.own_excess(row.expected_step(), now);
    let link = observed.map(|(excess, at)| LinkEntry { excess, age: now.since(at) });
    Some(LoadEntry { place, load: report.load, streams: report.streams, age, link })
}

fn apply_loads(table: &mut TargetTable, loads: &[LoadEntry], now: Moment) {
    for entry in loads {
        let Some(target) = table.listing.targets.get(entry.place as usize).cloned() else {
            continue;
        };
        let report = ReportedLoad {
            incarnation: SmolStr::default(),
            load: entry.load,
            streams: entry.streams,
            step_time: Duration::ZERO,
            measured: moment_before(now, entry.age),
        };
        table.note_peer_report(&target, report);
        if let (Some(row), Some(link)) = (table.rows.get_mut(&target), entry.link) {
            row.link.note_peer_observation(link.excess, moment_before(now, link.age));
        }
    }
}

/// Removes peers' reports of leaving targets that are older than `MAX_ENTRY_AGE`.
pub fn expire_leaving(state: &mut ExchangeState, table: &mut TargetTable, now: Moment) {
    let old: Vec<TargetId> = state
        .leaving
        .iter()
        .filter(|(_, reported_at)| now.since(**reported_at) > MAX_ENTRY_AGE)
        .map(|(target, _)| target.clone())
        .collect();
    for target in old {
        state.leaving.remove(&target);
        table.note_leaving(&target, LeavingSource::Peers, false, now);
    }
}

fn moment_before(now: Moment, age: Duration) -> Moment {
    Moment(now.0.saturating_sub(age.as_micros() as u64))
}

fn name_bytes(target: &TargetId) -> usize {
    target.as_str().len() + ENTRY_OVERHEAD_BYTES
}
