//! Limits the engines that one instance considers in a large fleet.
//!
//! A search over all engines of a large zone costs more than a small instance can spend at each
//! change of the fleet. Each instance considers a part of them, drawn by its name: of each range of
//! layers some holders, in proportion to their number. The instances together use all engines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::LayerRange;
use crate::ids::ZoneId;
use crate::pipeline::path::StageCandidate;

/// Largest number of engines of its own zone that an instance considers, unless more ranges of
/// layers are held.
const MAX_LOCAL_ENGINES: usize = 128;
/// Largest number of engines of each other zone that an instance considers.
const MAX_REMOTE_ENGINES: usize = 40;

/// The shares of the engines of a zone with `engines` engines that each instance of the zone, and
/// each instance of another zone, considers.
pub fn considered_shares(engines: usize) -> (f64, f64) {
    let share = |limit: usize| (limit as f64 / engines.max(1) as f64).min(1.0);
    (share(MAX_LOCAL_ENGINES), share(MAX_REMOTE_ENGINES))
}

/// Which engines an instance prefers.
#[derive(Clone, Copy, Debug)]
pub(super) struct EnginePreference<'a> {
    /// Differs between instances.
    pub(super) seed: u64,
    /// The instance's zone; `None` if all zones count as its own.
    pub(super) zone: Option<&'a ZoneId>,
}

impl EnginePreference<'_> {
    /// The engines that the instance considers, out of those that it could use.
    pub(super) fn select(&self, candidates: Vec<StageCandidate>) -> Vec<StageCandidate> {
        let mut zones: BTreeMap<ZoneId, Vec<StageCandidate>> = BTreeMap::new();
        for candidate in candidates {
            zones.entry(candidate.zone.clone()).or_default().push(candidate);
        }
        let mut selected = Vec::new();
        for (zone, engines) in zones {
            let is_local = self.zone.is_none_or(|own| *own == zone);
            let limit = if is_local { MAX_LOCAL_ENGINES } else { MAX_REMOTE_ENGINES };
            selected.extend(self.select_in_zone(engines, limit));
        }
        selected
    }

    fn select_in_zone(&self, engines: Vec<StageCandidate>, limit: usize) -> Vec<StageCandidate> {
        if engines.len() <= limit {
            return engines;
        }
        let mut holders: BTreeMap<Vec<LayerRange>, Vec<(u64, usize)>> = BTreeMap::new();
        for (index, engine) in engines.iter().enumerate() {
            holders.entry(engine.held.clone()).or_default().push((self.draw(engine), index));
        }
        let mut kept = BTreeSet::new();
        for group in holders.values_mut() {
            group.sort_unstable();
            let share = (group.len() * limit).div_ceil(engines.len());
            kept.extend(group.iter().take(share).map(|(_, index)| *index));
        }
        let indexed = engines.into_iter().enumerate();
        indexed.filter(|(index, _)| kept.contains(index)).map(|(_, engine)| engine).collect()
    }

    fn draw(&self, engine: &StageCandidate) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(engine.target.as_str().as_bytes(), self.seed)
    }
}
