//! Tests of which instance reads the platform's store for others.

use std::time::Duration;

use crate::support::at;
use crate::support::target;
use crate::support::zone;
use banyan_core::ids::InstanceId;
use banyan_core::pipeline::duties::DutyCapacity;
use banyan_core::pipeline::duties::OwnInstance;
use banyan_core::pipeline::readers::FeedRole;
use banyan_core::pipeline::readers::FeedSource;
use banyan_core::pipeline::readers::ReaderStatus;
use banyan_core::pipeline::readers::ReaderTable;

/// The capacity of all instances in tests about names.
const EQUAL_CAPACITY: DutyCapacity = DutyCapacity(250);

fn instance(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn record_status(
    table: &mut ReaderTable,
    name: &str,
    in_zone: &str,
    age_ms: Option<u64>,
    now_ms: u64,
) {
    let port = 1_000 + u16::from(name.as_bytes()[1]);
    let status = ReaderStatus {
        zone: zone(in_zone),
        address: ([127, 0, 0, 1], port).into(),
        capacity: EQUAL_CAPACITY,
        role: if age_ms.is_some() { FeedRole::Reader } else { FeedRole::Follower },
        read_age: age_ms.map(Duration::from_millis),
    };
    table.record_status(instance(name), status, at(now_ms));
}

/// Records a peer with the given capacity and role.
fn record_peer(
    table: &mut ReaderTable,
    name: &str,
    in_zone: &str,
    capacity: u32,
    role: FeedRole,
    age_ms: u64,
) {
    let port = 1_000 + u16::from(name.as_bytes()[1]);
    let status = ReaderStatus {
        zone: zone(in_zone),
        address: ([127, 0, 0, 1], port).into(),
        capacity: DutyCapacity(capacity),
        role,
        read_age: (role != FeedRole::Follower).then_some(Duration::from_millis(age_ms)),
    };
    table.record_status(instance(name), status, at(0));
}

/// The peer that an instance with the given zone and capacity asks, or `None` if it reads the
/// store.
fn source_of(table: &ReaderTable, own: &str, in_zone: &str, capacity: u32) -> Option<String> {
    let (name, zone) = (instance(own), zone(in_zone));
    let own = OwnInstance { name: &name, zone: &zone, capacity: DutyCapacity(capacity) };
    match table.source(&own, None, at(10)) {
        FeedSource::Store => None,
        FeedSource::Peer(peer, _) => Some(peer.to_string()),
    }
}

/// The peer that an instance of zone `a` asks, or `None` if it reads the store.
fn source(table: &ReaderTable, own: &str, failure_ms: Option<u64>, now_ms: u64) -> Option<String> {
    let (name, zone) = (instance(own), zone("a"));
    let own = OwnInstance { name: &name, zone: &zone, capacity: EQUAL_CAPACITY };
    match table.source(&own, failure_ms.map(at), at(now_ms)) {
        FeedSource::Store => None,
        FeedSource::Peer(peer, _) => Some(peer.to_string()),
    }
}

#[test]
fn the_lowest_name_of_a_zone_is_the_source_of_the_others() {
    let mut table = ReaderTable::default();
    record_status(&mut table, "i2", "a", Some(100), 0);
    record_status(&mut table, "i4", "a", Some(100), 0);
    record_status(&mut table, "i0", "b", Some(100), 0);
    assert_eq!(source(&table, "i5", None, 10).as_deref(), Some("i2"));
    assert_eq!(source(&table, "i3", None, 10).as_deref(), Some("i2"));
    assert_eq!(
        source(&table, "i1", None, 10),
        None,
        "i0 is in another zone, and i1 is the lowest name in this one"
    );
}

#[test]
fn peers_that_do_not_read_or_whose_reads_lag_are_not_asked() {
    let mut table = ReaderTable::default();
    record_status(&mut table, "i1", "a", None, 0);
    record_status(&mut table, "i2", "a", Some(1_300), 0);
    assert_eq!(source(&table, "i5", None, 10), None);
    record_status(&mut table, "i3", "a", Some(900), 0);
    assert_eq!(source(&table, "i5", None, 10).as_deref(), Some("i3"));
}

#[test]
fn a_peer_that_failed_to_deliver_is_not_asked_for_a_while() {
    let mut table = ReaderTable::default();
    record_status(&mut table, "i1", "a", Some(100), 0);
    table.note_failure(&instance("i1"), at(10));
    assert_eq!(source(&table, "i5", None, 20), None);
    record_status(&mut table, "i1", "a", Some(100), 1_000);
    assert_eq!(
        source(&table, "i5", None, 1_100),
        None,
        "a new status does not prove that the peer answers"
    );
    record_status(&mut table, "i1", "a", Some(100), 2_000);
    assert_eq!(source(&table, "i5", None, 2_100).as_deref(), Some("i1"));
}

#[test]
fn an_instance_without_access_to_the_store_asks_any_reader() {
    let mut table = ReaderTable::default();
    record_status(&mut table, "i7", "b", Some(100), 0);
    record_status(&mut table, "i8", "c", Some(100), 0);
    assert_eq!(source(&table, "i1", None, 10), None);
    assert!(source(&table, "i1", Some(5), 10).is_some());
    record_status(&mut table, "i9", "a", Some(100), 0);
    assert_eq!(
        source(&table, "i1", Some(5), 10).as_deref(),
        Some("i9"),
        "a reader in the same zone is preferred"
    );
    assert_eq!(source(&table, "i1", Some(5), 3_100), None, "the store may be available again");
}

#[test]
fn the_status_of_a_peer_expires() {
    let mut table = ReaderTable::default();
    record_status(&mut table, "i1", "a", Some(100), 0);
    assert_eq!(source(&table, "i5", None, 5_900).as_deref(), Some("i1"));
    assert_eq!(source(&table, "i5", None, 6_000), None);
}

#[test]
fn the_lowest_names_of_each_zone_are_standbys() {
    let mut table = ReaderTable::default();
    for name in ["i1", "i2", "i3", "i4"] {
        record_status(&mut table, name, "a", Some(100), 0);
    }
    record_status(&mut table, "i0", "b", Some(100), 0);
    let is_standby = |name, in_zone| {
        let (name, zone) = (instance(name), zone(in_zone));
        let own = OwnInstance { name: &name, zone: &zone, capacity: EQUAL_CAPACITY };
        (table.is_standby(&own, at(10)), table.may_wait(&own, at(10)))
    };
    assert!(is_standby("i1", "a").0 && is_standby("i3", "a").0);
    assert!(!is_standby("i4", "a").0 && !is_standby("i5", "a").0);
    assert!(is_standby("i5", "b").0);
    assert!(is_standby("i2", "a").1);
    assert!(!is_standby("i1", "a").1);
}

#[test]
fn an_instance_that_the_store_turns_away_relays_a_reader_to_its_zone() {
    let mut table = ReaderTable::default();
    record_peer(&mut table, "i1", "a", 100, FeedRole::Reader, 100);
    let (name, zone) = (instance("i3"), zone("c"));
    let own = OwnInstance { name: &name, zone: &zone, capacity: DutyCapacity(100) };
    assert_eq!(source_of(&table, "i3", "c", 100), None, "its zone has no reader yet");
    let source = table.source(&own, Some(at(5)), at(10));
    assert!(matches!(source, FeedSource::Peer(peer, _) if peer == instance("i1")));
    assert_eq!(table.role_behind(&own, &instance("i1")), FeedRole::Relay);
    record_peer(&mut table, "i3", "c", 100, FeedRole::Relay, 100);
    assert_eq!(source_of(&table, "i4", "c", 100).as_deref(), Some("i3"));
}

#[test]
fn a_relay_is_not_asked_by_another_zone() {
    let mut table = ReaderTable::default();
    record_peer(&mut table, "i1", "a", 100, FeedRole::Relay, 100);
    record_peer(&mut table, "i2", "b", 100, FeedRole::Relay, 100);
    assert_eq!(source_of(&table, "i3", "c", 100), None);
}

#[test]
fn the_data_of_a_relay_may_be_older_than_that_of_a_reader() {
    // The relay finds another source first, so that its followers need not read the store at once.
    let mut table = ReaderTable::default();
    record_peer(&mut table, "i1", "a", 100, FeedRole::Relay, 1_300);
    assert_eq!(source_of(&table, "i5", "a", 100).as_deref(), Some("i1"));
    record_peer(&mut table, "i1", "a", 100, FeedRole::Relay, 1_700);
    assert_eq!(source_of(&table, "i5", "a", 100), None);
    record_peer(&mut table, "i1", "a", 100, FeedRole::Reader, 1_300);
    assert_eq!(source_of(&table, "i5", "a", 100), None);
}

#[test]
fn instances_with_more_capacity_come_first() {
    let mut table = ReaderTable::default();
    record_peer(&mut table, "i1", "a", 120, FeedRole::Reader, 100);
    record_peer(&mut table, "i8", "a", 500, FeedRole::Reader, 100);
    assert_eq!(source_of(&table, "i0", "a", 120).as_deref(), Some("i8"));
    assert_eq!(source_of(&table, "i1", "a", 120).as_deref(), Some("i8"));
    assert_eq!(source_of(&table, "i8", "a", 500), None);
    assert_eq!(source_of(&table, "i9", "a", 120).as_deref(), Some("i8"));
}

#[test]
fn a_weak_instance_reads_if_no_other_can() {
    let mut table = ReaderTable::default();
    record_peer(&mut table, "i8", "a", 500, FeedRole::Follower, 0);
    assert_eq!(source_of(&table, "i1", "a", 120), None);
}

#[test]
fn few_instances_of_a_zone_check_targets_themselves() {
    // Regression: eight instances asked each other first, found dead engines 30 ms later, and more
    // streams paused for longer than their limit.
    let mut table = ReaderTable::default();
    let (name, zone) = (instance("i1"), zone("a"));
    let own = OwnInstance { name: &name, zone: &zone, capacity: DutyCapacity(100) };
    let asked = |table: &ReaderTable| {
        let targets = (0..40).map(|index| target(&format!("e{index}")));
        targets.filter(|id| table.checker(&own, id, at(10)).is_some()).count()
    };
    for name in ["i2", "i3", "i4", "i5"] {
        record_peer(&mut table, name, "a", 100, FeedRole::Follower, 0);
    }
    record_peer(&mut table, "i9", "b", 100, FeedRole::Follower, 0);
    assert_eq!(asked(&table), 0);
    record_peer(&mut table, "i6", "a", 100, FeedRole::Follower, 0);
    assert!((25..40).contains(&asked(&table)), "{} of 40", asked(&table));
}
