//! Which instance is preferred for a key, by rendezvous hash: [`preferred_owners`].
//!
//! Every instance that sees the same live instances computes the same order, and when one leaves
//! only the keys that it was first for move. Being preferred is for speed alone: no right to act
//! rests on it.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::InstanceId;
use crate::record::StreamId;

/// The live instances in the order of preference for `key`, the most preferred first.
pub fn preferred_owners(key: &str, live: &BTreeSet<InstanceId>) -> Vec<InstanceId> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let mut owners: Vec<InstanceId> = live.iter().cloned().collect();
    owners.sort_by_key(|owner| Reverse(xxh3_64_with_seed(owner.as_str().as_bytes(), seed)));
    owners
}

/// The place of `instance` in the order of preference for `stream`, zero being the most preferred.
///
/// An instance that is not among the live ones comes behind all of them.
pub fn owner_rank(stream: StreamId, instance: &InstanceId, live: &BTreeSet<InstanceId>) -> u32 {
    let owners = preferred_owners(&smol_str::format_smolstr!("{stream}"), live);
    let place = owners.iter().position(|owner| owner == instance);
    place.unwrap_or(owners.len()) as u32
}
