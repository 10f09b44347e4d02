//! Whether ranges of layers form complete chains: [`find_faults`].

use std::collections::BTreeSet;

use banyan_core::ids::LayerRange;

/// Why a range lies on no complete chain.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ChainFault {
    /// No range holds these layers next to it.
    Gap {
        /// The layers that are missing.
        gap: LayerRange,
    },
    /// A neighbour holds some of its layers too.
    Overlap {
        /// The neighbour.
        other: LayerRange,
        /// The layers in both.
        overlap: LayerRange,
    },
}

/// The ranges that lie on no complete chain over `layers` layers, each with the reason.
///
/// Ranges must lie within the model. A chain is complete when its first range begins at layer zero,
/// each next one begins where the one before ends, and the last one ends with the model. A gap is
/// named once, at the first range that borders on it.
pub fn find_faults(ranges: &BTreeSet<LayerRange>, layers: u32) -> Vec<(LayerRange, ChainFault)> {
    let ahead = reached_from_start(ranges);
    let behind = reached_from_end(ranges, layers);
    let mut faults = Vec::new();
    let mut gaps = BTreeSet::new();
    for range in ranges {
        let fault = if !ahead.contains(&range.first) {
            fault_before(*range, ranges, &ahead)
        } else if !behind.contains(&range.end) {
            fault_after(*range, ranges, &behind)
        } else {
            continue;
        };
        if matches!(fault, ChainFault::Overlap { .. }) || gaps.insert(fault) {
            faults.push((*range, fault));
        }
    }
    faults
}

/// The layers at which a chain that begins at layer zero can go on. Ranges are in order of their
/// first layer, so one pass is enough.
fn reached_from_start(ranges: &BTreeSet<LayerRange>) -> BTreeSet<u32> {
    let mut reached = BTreeSet::from([0]);
    for range in ranges {
        if reached.contains(&range.first) {
            reached.insert(range.end);
        }
    }
    reached
}

/// The layers from which a chain can go on to the model's end.
fn reached_from_end(ranges: &BTreeSet<LayerRange>, layers: u32) -> BTreeSet<u32> {
    let mut reached = BTreeSet::from([layers]);
    for range in ranges.iter().rev() {
        if reached.contains(&range.end) {
            reached.insert(range.first);
        }
    }
    reached
}

fn fault_before(
    range: LayerRange,
    ranges: &BTreeSet<LayerRange>,
    ahead: &BTreeSet<u32>,
) -> ChainFault {
    let covers = |other: &&LayerRange| {
        ahead.contains(&other.first) && other.first < range.first && range.first < other.end
    };
    if let Some(other) = ranges.iter().find(covers) {
        return overlap_of(range, *other);
    }
    let before = ahead.range(..range.first).next_back().copied().unwrap_or(0);
    ChainFault::Gap { gap: LayerRange { first: before, end: range.first } }
}

fn fault_after(
    range: LayerRange,
    ranges: &BTreeSet<LayerRange>,
    behind: &BTreeSet<u32>,
) -> ChainFault {
    let covers = |other: &&LayerRange| {
        behind.contains(&other.end) && other.first < range.end && range.end < other.end
    };
    if let Some(other) = ranges.iter().find(covers) {
        return overlap_of(range, *other);
    }
    let after = behind.range(range.end..).next().copied().unwrap_or(range.end + 1);
    ChainFault::Gap { gap: LayerRange { first: range.end, end: after } }
}

fn overlap_of(range: LayerRange, other: LayerRange) -> ChainFault {
    let first = range.first.max(other.first);
    let end = range.end.min(other.end);
    ChainFault::Overlap { other, overlap: LayerRange { first, end } }
}
