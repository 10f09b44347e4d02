//! Tests of which instance reads the platform's store for others.

use std::time::Duration;

use crate::support::at;
use crate::support::zone;
use banyan_core::ids::InstanceId;
use banyan_core::pipeline::readers::FeedSource;
use banyan_core::pipeline::readers::ReaderStatus;
use banyan_core::pipeline::readers::ReaderTable;

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
        read_age: age_ms.map(Duration::from_millis),
    };
    table.record_status(instance(name), status, at(now_ms));
}

/// The peer that an instance of zone `a` asks, or `None` if it reads the store.
fn source(table: &ReaderTable, own: &str, failure_ms: Option<u64>, now_ms: u64) -> Option<String> {
    match table.source(&instance(own), &zone("a"), failure_ms.map(at), at(now_ms)) {
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
    let is_standby = |name| table.is_standby(&instance(name), &zone("a"), at(10));
    assert!(is_standby("i1") && is_standby("i3"));
    assert!(!is_standby("i4") && !is_standby("i5"));
    assert!(table.is_standby(&instance("i5"), &zone("b"), at(10)));
    assert!(table.may_wait(&instance("i2"), &zone("a"), at(10)));
    assert!(!table.may_wait(&instance("i1"), &zone("a"), at(10)));
}
