//! What a chain is chosen for: [`ChainQuery`].

use std::collections::BTreeSet;

use crate::ids::ModelId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::units::ByteCount;

/// The input of a choice.
#[derive(Clone, Debug)]
pub struct ChainQuery<'a> {
    /// The model.
    pub model: &'a ModelId,
    /// The model's number of layers.
    pub layers: u32,
    /// The size of the data that one stage passes to the next.
    pub handoff: ByteCount,
    /// The zone of the instance that makes the choice.
    pub zone: &'a ZoneId,
    /// Digests of the prompt's prefixes, shortest first.
    pub prefixes: &'a [u64],
    /// Targets that must not be chosen.
    pub excluded: &'a BTreeSet<TargetId>,
    /// A random number that is new for each request.
    pub draw: u64,
}
