//! What instances tell each other each round: [`ExchangeDigest`].
//!
//! A round goes to a fixed number of peers: most stand near on the ring and draw from the same
//! targets, one stands anywhere. A digest has a fixed size: what is urgent first (leaving targets,
//! suspects), then a page of demands and a page of loads, each going on where the last one ended.
//! So the cost of a round does not depend on the number of instances. News carry their age, and the
//! freshest wins; they are soft state and may be lost.

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

/// Peers of a round that stand near on the ring.
const NEAR_PEERS: usize = 1;
/// Peers of a round that stand anywhere.
const FAR_PEERS: usize = 1;
/// The part of the ring that counts as near, as a divisor.
const NEAR_DIVISOR: usize = 8;
/// The size of a digest, in bytes.
pub const DIGEST_BYTES: usize = 1_400;
/// The part of a digest for suspects, in bytes.
const SUSPECT_BYTES: usize = 200;
/// The part of a digest for leaving targets, in bytes.
const LEAVING_BYTES: usize = 200;
/// The part of a digest for demands, in bytes.
const USAGE_BYTES: usize = 300;
/// The bytes of a piece of news beside its names.
const NEWS_BYTES: usize = 8;
/// The bytes of a load: a place in the list of targets, two counts, an age, and a link's time and age.
const LOAD_BYTES: usize = 11;
/// News that are older than this are dropped.
const NEWS_LIFE: Duration = Duration::from_secs(5);
/// The crashes of one suspect that are told.
const CRASH_LIMIT: usize = 4;

/// What one instance tells another.
#[derive(Clone, Debug, Default)]
pub struct ExchangeDigest {
    /// Targets that are leaving, with the age of the sign.
    pub leaving: Vec<(TargetId, Duration)>,
    /// Contents that may crash targets.
    pub suspects: Vec<SuspectNews>,
    /// Demands of workspaces at the teller.
    pub usage: UsagePage,
    /// The digest of the list of targets that the loads' places refer to.
    pub listing: u64,
    /// Loads of targets.
    pub loads: Vec<LoadNews>,
}

/// A content that may crash targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectNews {
    /// The content.
    pub content: ContentDigest,
    /// The target runs that crashed while it was in flight there.
    pub crashes: BTreeSet<CrashedRun>,
}

/// The load of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadNews {
    /// The target's place in the list of declared targets.
    pub place: u32,
    /// Steps running or waiting there.
    pub load: u32,
    /// Streams kept there.
    pub streams: u32,
    /// How long ago that was measured.
    pub age: Duration,
    /// The time beyond the step that answers took at the teller lately, if there were any.
    pub link: Option<LinkNews>,
}

/// What answers of a target took beyond the step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkNews {
    /// The time beyond the step.
    pub excess: Duration,
    /// How long ago that was observed.
    pub age: Duration,
}

/// Where the next digest goes on, and what peers said of leaving targets.
#[derive(Clone, Debug, Default)]
pub struct ExchangeState {
    /// The number of rounds so far.
    pub round: u64,
    /// The last target whose load was told.
    load_cursor: Option<TargetId>,
    /// The last workspace whose demand was told.
    usage_cursor: Option<WorkspaceId>,
    /// Leaving targets that peers told of, with the moment of the sign.
    leaving: BTreeMap<TargetId, Moment>,
}

/// The peers of a round.
pub fn choose_peers(ring: &InstanceRing, round: u64) -> Vec<InstanceId> {
    let others = ring.order.len() - 1;
    if others <= NEAR_PEERS + FAR_PEERS {
        return (1..=others).map(|places| ring.behind(places).clone()).collect();
    }
    let mut draw = name_hash(ring.behind(0).as_str()) ^ round.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut next = |bound: usize| {
        draw = xxhash_rust::xxh3::xxh3_64(&draw.to_le_bytes());
        (draw % bound as u64) as usize
    };
    // As many places behind this instance as before it.
    let window = (others / NEAR_DIVISOR).max(NEAR_PEERS).min(others / 2);
    let mut places = BTreeSet::new();
    while places.len() < NEAR_PEERS {
        let place = next(window * 2);
        places.insert(if place < window { place + 1 } else { others + window - place });
    }
    while places.len() < NEAR_PEERS + FAR_PEERS {
        places.insert(next(others) + 1);
    }
    places.into_iter().map(|place| ring.behind(place).clone()).collect()
}

/// The digest of this round.
pub fn build_digest(
    state: &mut ExchangeState,
    table: &TargetTable,
    limits: &LimitTable,
    suspects: &SuspectTable,
    now: Moment,
) -> ExchangeDigest {
    state.round += 1;
    ExchangeDigest {
        leaving: leaving_news(state, table, now),
        suspects: suspect_news(suspects),
        usage: usage_page(state, limits),
        listing: table.listing.digest,
        loads: load_page(state, table, now),
    }
}

/// Takes in a peer's digest; gives the contents that it convicts.
pub fn take_digest(
    state: &mut ExchangeState,
    table: &mut TargetTable,
    limits: &mut LimitTable,
    suspects: &mut SuspectTable,
    digest: &ExchangeDigest,
    now: Moment,
) -> Vec<ContentDigest> {
    for (target, age) in &digest.leaving {
        let signed = earlier(now, *age);
        let known = state.leaving.entry(target.clone()).or_insert(signed);
        *known = (*known).max(signed);
        table.note_leaving(target, LeavingSource::Peers, true, now);
    }
    forget_leaving(state, table, now);
    if digest.listing == table.listing.digest {
        take_loads(table, &digest.loads, now);
    }
    limits.note_usage(&digest.usage, now);
    let told = digest.suspects.iter();
    told.filter(|news| suspects.merge(news.content, &news.crashes))
        .map(|news| news.content)
        .collect()
}

impl ExchangeDigest {
    /// Its size, in bytes, as a compact encoding has it.
    pub fn bytes(&self) -> usize {
        let leaving: usize = self.leaving.iter().map(|(target, _)| name_bytes(target)).sum();
        let suspects: usize = self.suspects.iter().map(SuspectNews::bytes).sum();
        let usage: usize =
            self.usage.rows.keys().map(|name| name.as_str().len() + NEWS_BYTES).sum();
        leaving + suspects + usage + self.loads.len() * LOAD_BYTES
    }
}

impl SuspectNews {
    fn bytes(&self) -> usize {
        let crash = |(target, run): &CrashedRun| target.as_str().len() + run.len() + 2;
        NEWS_BYTES + self.crashes.iter().map(crash).sum::<usize>()
    }
}

fn leaving_news(
    state: &mut ExchangeState,
    table: &TargetTable,
    now: Moment,
) -> Vec<(TargetId, Duration)> {
    let mut news = Vec::new();
    let mut left = LEAVING_BYTES;
    let first_hand = table.leaving.iter().filter(|target| {
        table.rows.get(*target).is_some_and(|row| row.leaving.listed || row.leaving.own_word)
    });
    let first_hand = first_hand.map(|target| (target, Duration::ZERO));
    let second_hand = state.leaving.iter().map(|(target, signed)| (target, now.since(*signed)));
    for (target, age) in first_hand.chain(second_hand) {
        let bytes = name_bytes(target);
        if bytes > left {
            break;
        }
        if age <= NEWS_LIFE {
            left -= bytes;
            news.push((target.clone(), age));
        }
    }
    news
}

fn suspect_news(suspects: &SuspectTable) -> Vec<SuspectNews> {
    let mut left = SUSPECT_BYTES;
    let mut news = Vec::new();
    for (content, row) in suspects.newest(SUSPECT_BYTES / NEWS_BYTES) {
        let crashes = row.crashes.iter().take(CRASH_LIMIT).cloned().collect();
        let suspect = SuspectNews { content, crashes };
        let Some(rest) = left.checked_sub(suspect.bytes()) else { break };
        left = rest;
        news.push(suspect);
    }
    news
}

fn usage_page(state: &mut ExchangeState, limits: &LimitTable) -> UsagePage {
    let mut left = USAGE_BYTES;
    let mut rows = BTreeMap::new();
    let mut whole = state.usage_cursor.is_none();
    let from = state.usage_cursor.take();
    for (workspace, demand) in limits.demands_after(from.as_ref()) {
        let Some(rest) = left.checked_sub(workspace.as_str().len() + NEWS_BYTES) else {
            whole = false;
            state.usage_cursor = rows.keys().next_back().cloned();
            break;
        };
        left = rest;
        rows.insert(workspace.clone(), demand);
    }
    UsagePage { rows, whole }
}

/// A page of fresh loads, from the cursor on, once around at the most.
fn load_page(state: &mut ExchangeState, table: &TargetTable, now: Moment) -> Vec<LoadNews> {
    let limit = (DIGEST_BYTES - SUSPECT_BYTES - LEAVING_BYTES - USAGE_BYTES) / LOAD_BYTES;
    let cursor = state.load_cursor.take();
    let behind = cursor.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
    let behind = table.reported.range::<TargetId, _>((behind, Bound::Unbounded));
    let up_to = cursor.iter().flat_map(|cursor| table.reported.range(..=cursor));
    let targets = behind.chain(up_to);
    let mut news = Vec::new();
    for target in targets {
        if news.len() == limit {
            break;
        }
        state.load_cursor = Some(target.clone());
        news.extend(load_news(table, target, now));
    }
    news
}

fn load_news(table: &TargetTable, target: &TargetId, now: Moment) -> Option<LoadNews> {
    let row = table.rows.get(target)?;
    let report = row.report.as_ref()?;
    let age = now.since(report.measured);
    if age > NEWS_LIFE {
        return None;
    }
    let place = table.listing.targets.binary_search(target).ok()? as u32;
    let observed = row.link.own_excess(row.expected_step(), now);
    let link = observed.map(|(excess, at)| LinkNews { excess, age: now.since(at) });
    Some(LoadNews { place, load: report.load, streams: report.streams, age, link })
}

fn take_loads(table: &mut TargetTable, loads: &[LoadNews], now: Moment) {
    for news in loads {
        let Some(target) = table.listing.targets.get(news.place as usize).cloned() else {
            continue;
        };
        let report = ReportedLoad {
            incarnation: SmolStr::default(),
            load: news.load,
            streams: news.streams,
            step_time: Duration::ZERO,
            measured: earlier(now, news.age),
        };
        table.note_peer_report(&target, report);
        if let (Some(row), Some(link)) = (table.rows.get_mut(&target), news.link) {
            row.link.note_told(link.excess, earlier(now, link.age));
        }
    }
}

/// Forgets the peers' words on leaving targets that are too old to count.
pub fn forget_leaving(state: &mut ExchangeState, table: &mut TargetTable, now: Moment) {
    let old: Vec<TargetId> = state
        .leaving
        .iter()
        .filter(|(_, signed)| now.since(**signed) > NEWS_LIFE)
        .map(|(target, _)| target.clone())
        .collect();
    for target in old {
        state.leaving.remove(&target);
        table.note_leaving(&target, LeavingSource::Peers, false, now);
    }
}

fn earlier(now: Moment, age: Duration) -> Moment {
    Moment(now.0.saturating_sub(age.as_micros() as u64))
}

fn name_bytes(target: &TargetId) -> usize {
    target.as_str().len() + NEWS_BYTES
}
