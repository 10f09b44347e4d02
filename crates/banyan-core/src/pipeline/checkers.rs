//! Chooses which instance checks an engine for the other instances of its zone: [`choose_checker`].
//!
//! An engine that stalls silences streams of many instances at the same moment. If each of them
//! probed the engines of its chains, the number of probes would grow with instances times engines.
//! Instead each engine has one checker in a zone, which answers the others from what it knows or
//! from a single probe. No agreement is needed: instances that know different peers choose
//! different checkers for a while, which costs a few more probes.

use crate::ids::InstanceId;
use crate::ids::TargetId;
use crate::pipeline::duties::DutyCapacity;

/// An instance that can check engines.
#[derive(Clone, Copy, Debug)]
pub struct CheckerCandidate<'a> {
    /// The instance.
    pub instance: &'a InstanceId,
    /// What it can spend on work for others.
    pub capacity: DutyCapacity,
}

/// Chooses the checker of a target by weighted rendezvous hashing: the targets are spread over the
/// candidates in proportion to their capacities, and a candidate that appears or leaves changes the
/// checkers of its own targets only.
pub fn choose_checker<'a>(
    target: &TargetId,
    candidates: impl Iterator<Item = CheckerCandidate<'a>>,
) -> Option<&'a InstanceId> {
    let seed = xxhash_rust::xxh3::xxh3_64(target.as_str().as_bytes());
    let best = candidates.max_by(|left, right| {
        let order = rank(left, seed).total_cmp(&rank(right, seed));
        order.then_with(|| left.instance.cmp(right.instance))
    });
    best.map(|candidate| candidate.instance)
}

/// The rank of a candidate for a target. A candidate with twice the capacity has the highest rank
/// for twice as many targets.
fn rank(candidate: &CheckerCandidate<'_>, seed: u64) -> f64 {
    let name = candidate.instance.as_str().as_bytes();
    let draw = xxhash_rust::xxh3::xxh3_64_with_seed(name, seed);
    // In (0, 1], so that the logarithm is finite.
    let uniform = (draw as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    uniform.ln() / f64::from(candidate.capacity.0.max(1))
}
