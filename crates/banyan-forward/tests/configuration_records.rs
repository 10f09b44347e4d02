//! The compressed form of configuration records in messages between instances.

use std::fmt::Write;
use std::sync::Arc;

use bytes::Bytes;

use banyan_core::pipeline::routes::CallerLimits;
use banyan_core::pipeline::routes::RouteTable;
use banyan_core::units::ByteCount;
use banyan_forward::store::configuration_record::CompressedRecordError;
use banyan_forward::store::configuration_record::ConfigurationRecord;
use banyan_forward::store::configuration_record::decompress;

/// The number of routes after a tenant with many applications was added.
const ROUTE_COUNT: u64 = 1_500;

fn record(bytes: Bytes) -> ConfigurationRecord {
    let limits = CallerLimits {
        head_size: ByteCount(16_384),
        body_size: ByteCount(1 << 20),
        head_time: std::time::Duration::from_secs(5),
        idle_time: std::time::Duration::from_secs(60),
    };
    ConfigurationRecord::new(
        Arc::new(RouteTable::new(1, Vec::new(), Vec::new(), limits, None)),
        bytes,
    )
}

/// A record with many routes whose names have nothing in common.
fn many_routes() -> Bytes {
    let mut text = String::from("{\"version\":1,\"routes\":[");
    for route in 0..ROUTE_COUNT {
        let name = xxhash_rust::xxh3::xxh3_64(&route.to_le_bytes()) >> 24;
        write!(
            text,
            "{{\"name\":\"r-{name:x}\",\"host\":\"one.example\",\"path_prefix\":\"/{name:x}/\",\
             \"kind\":\"stream\",\"timeout\":\"20000 ms\",\"latency\":\"500 ms\",\
             \"priority\":1,\"service\":\"engines\",\"max_attempts\":2,\"open\":false,\
             \"may_resume\":true,\"pause\":\"250 ms\"}},"
        )
        .expect("writing to a string does not fail");
    }
    text.push_str("]}");
    text.into()
}

#[test]
fn a_record_with_many_routes_is_passed_on_in_a_fraction_of_its_size() {
    // Regression: a reader sent the whole record to each follower of its zone. Its link was busy
    // for longer than the followers wait, so they read the store themselves, and streams that
    // shared the link paused.
    let bytes = many_routes();
    let record = record(bytes.clone());
    let compressed = record.compressed();
    assert!(compressed.len() * 5 < bytes.len(), "{} of {} bytes", compressed.len(), bytes.len());
    assert_eq!(decompress(compressed).expect("the record"), bytes);
}

#[test]
fn bytes_that_are_no_compressed_record_are_rejected() {
    let error = decompress(b"{\"version\":1}").expect_err("not a compressed record");
    assert!(matches!(error, CompressedRecordError::Malformed(_)), "{error}");
}

#[test]
fn a_record_that_expands_beyond_the_limit_is_rejected() {
    // Guards against a short message that fills the memory of its receiver.
    let record = record(Bytes::from(vec![b' '; (32 << 20) + 1]));
    let error = decompress(record.compressed()).expect_err("a record over the limit");
    assert!(matches!(error, CompressedRecordError::TooLarge), "{error}");
}
