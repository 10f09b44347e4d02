//! What digests pass on about other instances in a large fleet, where an instance hears of most
//! peers seldom: the members of the group ([`member_wires`], [`merge_members`]), and who passes on
//! the platform's data within a zone ([`source_wire`], [`merge_source`]).

use std::time::Duration;

use smol_str::SmolStr;

use crate::decisions::tables::ForwardTables;
use crate::peers::digests::millis;
use crate::settings::ForwardSettings;
use banyan_core::ids::InstanceId;
use banyan_core::ids::ZoneId;
use banyan_core::pipeline::duties::DutyCapacity;
use banyan_core::pipeline::duties::is_small_fleet;
use banyan_core::pipeline::group::MAX_STATEMENTS;
use banyan_core::pipeline::group::MemberStatement;
use banyan_core::pipeline::readers::FeedRole;
use banyan_core::pipeline::readers::ReaderStatus;
use banyan_core::units::Moment;
use banyan_wire::forward::MemberWire;
use banyan_wire::forward::SourceWire;

/// The statements of the members that were heard of recently, and of this instance if it is one.
/// Small fleets need none, since their instances hear each member itself.
pub fn member_wires(
    settings: &ForwardSettings,
    tables: &ForwardTables,
    now: Moment,
) -> Vec<MemberWire> {
    if !tables.passes_statements_on(now) {
        return Vec::new();
    }
    let own = tables.membership.map(|membership| MemberStatement {
        zone: settings.zone.clone(),
        generation: membership.generation,
        leads: tables.is_leader(),
        stated: now,
        confirmed: tables.membership_confirmed_at,
    });
    let own = own.iter().map(|statement| (&settings.instance, statement));
    let all = own.chain(tables.group.statements(now));
    all.map(|(name, statement)| member_wire(name, statement, now)).collect()
}

fn member_wire(name: &InstanceId, statement: &MemberStatement, now: Moment) -> MemberWire {
    MemberWire {
        instance: SmolStr::new(name.as_str()),
        zone: SmolStr::new(statement.zone.as_str()),
        generation: statement.generation,
        leads: statement.leads,
        age_ms: millis(now.since(statement.stated)),
        confirmed_age_ms: millis(now.since(statement.confirmed)),
    }
}

/// Applies what a peer says about members other than this instance.
pub fn merge_members(
    tables: &mut ForwardTables,
    own: &InstanceId,
    members: Vec<MemberWire>,
    now: Moment,
) {
    for member in members.into_iter().take(MAX_STATEMENTS + 1) {
        let generation = member.generation;
        let (name, statement) = read_statement(member, now);
        if name == *own {
            continue;
        }
        tables.group.record_statement(name, statement);
        tables.highest_seen_generation = tables.highest_seen_generation.max(generation);
    }
}

fn read_statement(member: MemberWire, now: Moment) -> (InstanceId, MemberStatement) {
    let statement = MemberStatement {
        zone: ZoneId::new(member.zone),
        generation: member.generation,
        leads: member.leads,
        stated: now.before(Duration::from_millis(member.age_ms)),
        confirmed: now.before(Duration::from_millis(member.confirmed_age_ms)),
    };
    (InstanceId::new(member.instance), statement)
}

/// The instance of this zone that this instance follows, so that others of the zone choose the same
/// one before they hear of it themselves.
pub fn source_wire(tables: &ForwardTables) -> Option<SourceWire> {
    let name = tables.followed.as_ref().filter(|_| !is_small_fleet(tables.peers_listed))?;
    let status = tables.readers.status(name)?;
    Some(SourceWire {
        instance: SmolStr::new(name.as_str()),
        address: status.address,
        capacity_millicores: status.capacity.0,
        relays: status.role == FeedRole::Relay,
    })
}

/// Records the instance that a follower of the same zone follows. The follower has recent data from
/// it.
pub fn merge_source(
    tables: &mut ForwardTables,
    settings: &ForwardSettings,
    source: SourceWire,
    now: Moment,
) {
    let name = InstanceId::new(source.instance);
    if name == settings.instance {
        return;
    }
    let status = ReaderStatus {
        zone: settings.zone.clone(),
        address: source.address,
        capacity: DutyCapacity(source.capacity_millicores),
        role: if source.relays { FeedRole::Relay } else { FeedRole::Reader },
        read_age: Some(Duration::ZERO),
    };
    tables.readers.record_status(name, status, now);
}
