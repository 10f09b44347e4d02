//! Rendezvous hashing of keys to instances: [`preferred_owners`].
//!
//! All instances with the same set of live instances compute the same order. When an instance
//! leaves, only the keys that preferred it most move. The preference is only an optimization:
//! correctness doesn't depend on it.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::InstanceId;
use crate::record::StreamId;

/// The live instances in order of preference for `key`, most preferred first.
pub fn preferred_owners(key: &str, live: &BTreeSet<InstanceId>) -> Vec<InstanceId> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let mut owners: Vec<InstanceId> = live.iter().cloned().collect();
    owners.sort_by_key(|owner| Reverse(xxh3_64_with_seed(owner.as_str().as_bytes(), seed)));
    owners
}

/// The rank of `instance` in the order of preference for `stream`; zero is the most preferred.
///
/// An instance that isn't live ranks after all live ones.
pub fn owner_rank(stream: StreamId, instance: &InstanceId, live: &BTreeSet<InstanceId>) -> u32 {
    let owners = preferred_owners(&smol_str::format_smolstr!("{stream}"), live);
    let rank = owners.iter().position(|owner| owner == instance);
    rank.unwrap_or(owners.len()) as u32
}
