//! Conversion between the shared tables and the messages that instances exchange: [`own_digest`]
//! and [`apply_digest`], [`own_snapshot`] and [`apply_snapshot`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::decisions::tables::ForwardTables;
use crate::decisions::tables::PendingOrder;
use crate::edges::Platform;
use crate::engines::leaving::leaving_wires;
use crate::engines::leaving::merge_leaving;
use crate::peers::crash_alerts::merge_suspects;
use crate::peers::crash_alerts::suspect_wires;
use crate::peers::limit_alerts::limit_wires;
use crate::peers::limit_alerts::merge_limits;
use crate::peers::members::member_wires;
use crate::peers::members::merge_members;
use crate::peers::members::merge_source;
use crate::peers::members::source_wire;
use crate::peers::news::activate_peer_configuration;
use crate::state::ForwardState;
use crate::store::feeds;
use banyan_core::ids::InstanceId;
use banyan_core::ids::TargetId;
use banyan_core::ids::ZoneId;
use banyan_core::pipeline::duties::DutyCapacity;
use banyan_core::pipeline::duties::is_small_fleet;
use banyan_core::pipeline::fleet::TargetReport;
use banyan_core::pipeline::fleet::TargetRow;
use banyan_core::pipeline::history::RecordOrigin;
use banyan_core::pipeline::load::TargetLoad;
use banyan_core::pipeline::log_position::LogPosition;
use banyan_core::pipeline::readers::FeedRole;
use banyan_core::pipeline::readers::ReaderStatus;
use banyan_core::units::Moment;
use banyan_wire::forward::ForwardDigest;
use banyan_wire::forward::ForwardSnapshot;
use banyan_wire::forward::LoadWire;
use banyan_wire::forward::ObservedWire;
use banyan_wire::forward::OrderedWire;
use banyan_wire::forward::SlowWire;
use banyan_wire::forward::TargetWire;
use banyan_wire::forward::layer_range;
use banyan_wire::forward::layer_ranges;

/// The age up to which a target's report of its layers is passed on to peers.
const OBSERVED_TIME: Duration = Duration::from_secs(3);
/// The largest number of pending orders, and of reported layers, in a digest of a large fleet: 5 kB
/// each. Thousands would take all of a small machine's link during a start.
const MAX_LARGE_FLEET_ROWS: usize = 96;
/// The largest number of suspected traits in a digest.
const MAX_DIGEST_SUSPECTS: usize = 32;

/// The digest that this instance sends to its peers.
pub fn own_digest<P>(state: &ForwardState<P>) -> ForwardDigest {
    let settings = state.settings();
    let now = state.now();
    let tables = state.tables();
    ForwardDigest {
        instance: SmolStr::new(settings.instance.as_str()),
        zone: SmolStr::new(settings.zone.as_str()),
        address: settings.peer_address,
        capacity_millicores: settings.duty_capacity.0,
        relays: *state.feed_role.borrow() == FeedRole::Relay,
        read_age_ms: state.read_age(&tables, now).map(millis),
        configuration: tables.configuration.as_ref().map_or(0, |record| record.table.version),
        fleet_next: tables.history.next().unwrap_or_default().into(),
        loads: tables.loads.rows().map(LoadWire::from).collect(),
        unreachable: tables
            .suspicions
            .unreachable(now)
            .map(|id| SmolStr::new(id.as_str()))
            .collect(),
        observed: observed_wires(&tables, now),
        slow: tables.fleet.rows.iter().filter_map(|row| slow_wire(row, now)).collect(),
        suspects: suspect_wires(tables.crashes.newest(MAX_DIGEST_SUSPECTS), now),
        limits: limit_wires(tables.limits.all_reports(), now),
        leaving: leaving_wires(&tables, now),
        generation: tables.membership.map_or(0, |membership| membership.generation),
        leads: tables.is_leader(),
        ordered: ordered_wires(&tables, now),
        members: member_wires(&settings, &tables, now),
        follows: source_wire(&tables),
    }
}

/// The pending orders. In a large fleet only those that make engines unload layers are passed on:
/// choices of chains need them, and a new leader learns of the others from the engines.
fn ordered_wires(tables: &ForwardTables, now: Moment) -> Vec<OrderedWire> {
    let is_small = is_small_fleet(tables.peers_listed);
    let limit = if is_small { usize::MAX } else { MAX_LARGE_FLEET_ROWS };
    let unloads = |id: &TargetId| {
        let row = tables.fleet.rows.get(id);
        row.is_some_and(|row| row.kept_layers() != row.report.held)
    };
    let orders = tables.pending_orders.iter().filter(|(id, _)| is_small || unloads(id));
    let mut wires: Vec<OrderedWire> = orders.filter_map(|row| ordered_wire(row, now)).collect();
    if wires.len() > limit {
        // The newest orders are the ones that peers have not heard of.
        wires.sort_by_key(|wire| std::cmp::Reverse(wire.left_ms));
        wires.truncate(limit);
    }
    wires
}

fn ordered_wire((id, order): (&TargetId, &PendingOrder), now: Moment) -> Option<OrderedWire> {
    let range = order.range?;
    Some(OrderedWire {
        target: SmolStr::new(id.as_str()),
        range: (range.first, range.end),
        left_ms: order.expires_at.since(now).as_millis() as u64,
    })
}

/// The layers that targets reported to this instance, where they differ from the targets' records.
/// In a large fleet only the newest are passed on, since the records tell the others soon.
fn observed_wires(tables: &ForwardTables, now: Moment) -> Vec<ObservedWire> {
    let listed = tables.history.listed();
    let differs_from_record = |(id, row): &(&TargetId, &TargetRow)| {
        listed.get(*id).is_none_or(|report| report.held != row.report.held)
    };
    let rows = tables.fleet.rows.iter().filter(differs_from_record);
    let mut wires: Vec<ObservedWire> = rows.filter_map(|row| observed_wire(row, now)).collect();
    if !is_small_fleet(tables.peers_listed) {
        wires.sort_by_key(|wire| wire.age_ms);
        wires.truncate(MAX_LARGE_FLEET_ROWS);
    }
    wires
}

/// The slowdown that an engine reported, if it reported one.
fn slow_wire((id, row): (&TargetId, &TargetRow), now: Moment) -> Option<SlowWire> {
    let slowdown = row.pace?;
    Some(SlowWire {
        target: SmolStr::new(id.as_str()),
        factor_thousandths: (slowdown.factor * 1e3) as u32,
        age_ms: millis(now.since(slowdown.seen)),
    })
}

/// The layers that a target reported to this instance, if the report is recent enough.
fn observed_wire((id, row): (&TargetId, &TargetRow), now: Moment) -> Option<ObservedWire> {
    let age = now.since(row.observed?);
    let wire = || ObservedWire {
        target: SmolStr::new(id.as_str()),
        held: row.report.held.iter().map(|range| (range.first, range.end)).collect(),
        age_ms: age.as_millis() as u64,
    };
    (age < OBSERVED_TIME).then(wire)
}

/// Applies a digest received from a peer.
pub fn apply_digest<P>(state: &ForwardState<P>, digest: ForwardDigest) {
    let instance = InstanceId::new(digest.instance);
    let loads: BTreeMap<TargetId, TargetLoad> = digest.loads.into_iter().map(Into::into).collect();
    let unreachable: Vec<TargetId> = digest.unreachable.into_iter().map(TargetId::new).collect();
    let now = state.now();
    let settings = state.settings();
    let mut tables = state.tables();
    let read_age = digest.read_age_ms.map(Duration::from_millis);
    let role = match read_age {
        Some(_) if digest.relays => FeedRole::Relay,
        Some(_) => FeedRole::Reader,
        None => FeedRole::Follower,
    };
    let zone = ZoneId::new(digest.zone);
    let is_same_zone = zone == settings.zone;
    let status = ReaderStatus {
        zone,
        address: digest.address,
        capacity: DutyCapacity(digest.capacity_millicores),
        role,
        read_age,
    };
    tables.readers.record_status(instance.clone(), status, now);
    tables.peer_loads.record_peer(instance, loads, unreachable, now);
    tables.highest_seen_generation = tables.highest_seen_generation.max(digest.generation);
    if digest.leads {
        tables.leader_seen_at = Some(now);
        tables.group.note_leader(digest.generation);
        apply_leader_orders(&mut tables, digest.ordered, now);
    }
    if let Some(source) = digest.follows
        && is_same_zone
    {
        merge_source(&mut tables, &settings, source, now);
    }
    merge_members(&mut tables, &settings.instance, digest.members, now);
    merge_suspects(&mut tables, digest.suspects, now);
    merge_limits(&mut tables, digest.limits, now);
    merge_leaving(&mut tables, digest.leaving, now);
    apply_slowdowns(&mut tables, digest.slow, now);
    apply_observations(&mut tables, digest.observed, now);
}

/// Applies the slowdowns that engines reported to a peer.
fn apply_slowdowns(tables: &mut ForwardTables, slow: Vec<SlowWire>, now: Moment) {
    for slowdown in slow {
        let factor = f64::from(slowdown.factor_thousandths) / 1e3;
        let id = TargetId::new(slowdown.target);
        let seen = now.before(Duration::from_millis(slowdown.age_ms));
        tables.fleet.note_slowdown(&id, factor, seen);
    }
}

/// Applies the layers that targets reported to a peer.
fn apply_observations(tables: &mut ForwardTables, observed: Vec<ObservedWire>, now: Moment) {
    for observation in observed {
        let at = now.before(Duration::from_millis(observation.age_ms));
        let id = TargetId::new(observation.target);
        match layer_ranges(observation.held) {
            Ok(held) => tables.fleet.observe(&id, &held, at, now),
            Err(error) => {
                tracing::warn!(part = "peers", %error, "Ignored an invalid observation.")
            }
        }
    }
}

/// A duration in whole milliseconds, as in messages to peers.
pub fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Records the leader's pending orders, in case this instance becomes the leader.
fn apply_leader_orders(tables: &mut ForwardTables, ordered: Vec<OrderedWire>, now: Moment) {
    if tables.membership.is_some_and(|membership| membership.leads) {
        return;
    }
    tables.pending_orders.clear();
    for order in ordered {
        let id = TargetId::new(order.target);
        let Ok(range) = layer_range(order.range) else {
            tracing::warn!(part = "peers", "Ignored an invalid order.");
            continue;
        };
        let expires_at = now + Duration::from_millis(order.left_ms);
        let pending =
            PendingOrder { range: Some(range), next_check_at: now, expires_at, taken_at: None };
        tables.pending_orders.insert(id, pending);
    }
    tables.sync_orders();
}

/// A snapshot of the configuration and targets that this instance has read.
pub fn own_snapshot<P>(state: &ForwardState<P>) -> ForwardSnapshot {
    let tables = state.tables();
    let record = tables.configuration.clone();
    let fleet_next = tables.history.next().unwrap_or_default().into();
    let fleet = tables.history.listed().iter().map(TargetWire::from).collect();
    drop(tables);
    let configuration = record.map_or(Vec::new(), |record| record.compressed().to_vec());
    ForwardSnapshot { configuration, fleet_next, fleet }
}

/// Applies the configuration and targets of a peer's snapshot where they are newer.
pub fn apply_snapshot<P: Platform>(
    state: &ForwardState<P>,
    address: SocketAddr,
    snapshot: ForwardSnapshot,
) {
    let next = LogPosition::from(snapshot.fleet_next);
    activate_peer_configuration(state, address, &snapshot.configuration);
    let listing: Result<BTreeMap<TargetId, TargetReport>, _> =
        snapshot.fleet.into_iter().map(TryInto::try_into).collect();
    match listing {
        Ok(listing) => {
            feeds::apply_listing(state, listing, next, RecordOrigin::Peer);
        }
        Err(error) => {
            tracing::warn!(part = "peers", %address, %error, "Ignored a list of targets.")
        }
    }
    tracing::info!(part = "peers", %address, %next, "Applied a snapshot.");
}
