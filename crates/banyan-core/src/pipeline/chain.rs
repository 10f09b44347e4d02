//! Which engines serve a request: [`ChainPool`], the chains that are worth using now.
//!
//! A chain covers all layers in order, each by one engine. [`ChainPool::refresh`] finds the best few
//! chains of each availability zone whenever the fleet or the doubts have changed;
//! [`ChainPool::choose`] then picks one for a request by what is under way. Chains stay inside one
//! zone, since every token's activations cross each boundary between engines; a chain over several
//! zones is built only where no zone holds all layers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::ids::LayerRange;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::fleet::FleetTable;
use crate::pipeline::load::LoadView;
use crate::pipeline::model::PipelineModel;
use crate::pipeline::search;
use crate::pipeline::suspicion::SuspicionTable;
use crate::units::Moment;
use crate::units::TokenCount;

/// Token steps that pass before a first event reaches the caller.
const FIRST_STEPS: f64 = 3.0;
/// How much longer a chain in another zone may take before the nearer one is chosen.
const FAR_FACTOR: f64 = 1.6;
/// How full a chain may be. Requests take up less than they are counted for, since an answer fills
/// its room only at its end.
pub(super) const FULLEST: f64 = 1.1;
/// The most chains that one choice weighs.
const CHAINS_WEIGHED: usize = 24;
/// How much longer a chain counts as taking when it is full.
const CROWDED_FACTOR: f64 = 1.5;

/// One engine's part of a chain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChainPart {
    /// The engine.
    pub target: TargetId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The layers that it runs.
    pub range: LayerRange,
    /// What it has room for: tokens of requests times layers.
    pub token_layers: u64,
    /// The time that it takes to read one token of a prompt through its layers.
    pub prefill_time: Duration,
}

/// Engines that run all layers of a model in order.
///
/// Invariant: the parts' ranges follow each other without gap or overlap from the first layer to the
/// last, and no engine stands in the chain twice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetChain {
    /// The zone of all its engines, or `None` where they lie in several.
    pub zone: Option<ZoneId>,
    /// The parts in order.
    pub parts: Vec<ChainPart>,
    /// The time of one token step without other requests.
    pub step_time: Duration,
    /// The time that the activations of one token take over all boundaries of zones in the chain.
    pub cross_zone_time: Duration,
}

/// How many tokens a request is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestSize {
    /// Tokens that are read before the first event.
    pub prompt: TokenCount,
    /// Tokens that it takes up in the end.
    pub total: TokenCount,
}

impl TargetChain {
    /// Whether one of the targets is in the chain.
    pub fn uses_any(&self, targets: &[TargetId]) -> bool {
        self.parts.iter().any(|part| targets.contains(&part.target))
    }

    /// The time until the first event of a request, by what is waiting to be read.
    pub fn first_event_time(&self, loads: &LoadView<'_>, prompt: TokenCount, heard: usize) -> f64 {
        let mut reading = 0.0;
        let mut waiting: f64 = 0.0;
        for part in &self.parts {
            let token_time = part.prefill_time.as_secs_f64();
            reading += token_time * prompt.0 as f64;
            waiting = waiting.max(token_time * loads.pending_prefill(&part.target, heard));
        }
        let crossing = self.prompt_cross_zone_time(prompt).as_secs_f64();
        if crossing > 0.0 {
            reading += crossing;
            waiting = waiting.max(loads.cross_zone_wait(heard));
        }
        reading + waiting + FIRST_STEPS * self.step_time.as_secs_f64()
    }

    /// The time that a prompt takes over the boundaries of zones in the chain.
    pub fn prompt_cross_zone_time(&self, prompt: TokenCount) -> Duration {
        self.cross_zone_time.mul_f64(prompt.0 as f64)
    }

    /// How full the fullest engine would be with `tokens` more; one is full.
    pub fn fullness(&self, loads: &LoadView<'_>, tokens: TokenCount) -> f64 {
        let part_fullness = |part: &ChainPart| {
            let used = loads.token_layers(&part.target);
            let asked = (tokens.0 * u64::from(part.range.count())) as f64;
            (used + asked) / part.token_layers.max(1) as f64
        };
        self.parts.iter().map(part_fullness).fold(0.0, f64::max)
    }
}

/// What a pool was computed from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct PoolBasis {
    fleet: u64,
    suspicions: u64,
    version: u64,
    until: Option<Moment>,
}

/// The chain that was chosen for a request, and why.
#[derive(Clone, Debug)]
pub struct ChainChoice {
    /// The chain.
    pub chain: Arc<TargetChain>,
    /// How full its fullest engine will be; one is full.
    pub fullness: f64,
    /// The time until the first event that is expected.
    pub first_event: Duration,
}

/// The chains of one service that are worth using.
#[derive(Clone, Debug, Default)]
pub struct ChainPool {
    chains: Vec<Arc<TargetChain>>,
    basis: PoolBasis,
    /// What makes this instance prefer other engines than the next one, where there are many.
    seed: u64,
    /// Grows with each choice, so that choices among many chains weigh others each time.
    turn: usize,
}

impl ChainPool {
    /// The pool of one instance.
    pub fn for_instance(instance: &InstanceId) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(instance.as_str().as_bytes());
        Self { seed, ..Self::default() }
    }

    /// The chains, those of one zone next to each other.
    pub fn chains(&self) -> &[Arc<TargetChain>] {
        &self.chains
    }

    /// Computes the chains anew if anything has changed that they depend on; tells whether it did.
    pub fn refresh(
        &mut self,
        model: &PipelineModel,
        service: &ServiceId,
        version: u64,
        fleet: &FleetTable,
        suspicions: &SuspicionTable,
        now: Moment,
    ) -> bool {
        let stale = self.basis.until.is_some_and(|until| until <= now);
        let same = self.basis.fleet == fleet.revision
            && self.basis.suspicions == suspicions.revision
            && self.basis.version == version;
        if same && !stale {
            return false;
        }
        self.basis = PoolBasis {
            fleet: fleet.revision,
            suspicions: suspicions.revision,
            version,
            until: suspicions.next_expiry(now),
        };
        self.chains = search::find_chains(model, service, fleet, suspicions, self.seed, now);
        true
    }

    /// Chooses the chain that gives a request its first event soonest; one that uses one of `avoided` or
    /// has no room is never chosen. `heard` is the number of peers whose load is known.
    pub fn choose(
        &mut self,
        loads: &LoadView<'_>,
        zone: &ZoneId,
        size: RequestSize,
        heard: usize,
        avoided: &[TargetId],
    ) -> Option<ChainChoice> {
        self.turn = self.turn.wrapping_add(CHAINS_WEIGHED / 2);
        let mut best: Option<(f64, ChainChoice)> = None;
        for chain in self.weighed(zone) {
            if chain.uses_any(avoided) {
                continue;
            }
            let fullness = chain.fullness(loads, size.total);
            if fullness > FULLEST {
                continue;
            }
            let near = chain.zone.as_ref() == Some(zone);
            let distance = if near { 1.0 } else { FAR_FACTOR };
            let crowding = 1.0 + CROWDED_FACTOR * fullness * fullness;
            let first_event = chain.first_event_time(loads, size.prompt, heard);
            let score = first_event * distance * crowding;
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                let first_event = Duration::from_secs_f64(first_event);
                let chain = chain.clone();
                best = Some((score, ChainChoice { chain, fullness, first_event }));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// The chains that one choice weighs: all, or as many of the near and the far ones in turn as keep
    /// the cost of a choice the same however many there are.
    fn weighed(&self, zone: &ZoneId) -> Vec<&Arc<TargetChain>> {
        if self.chains.len() <= CHAINS_WEIGHED {
            return self.chains.iter().collect();
        }
        let turn = self.turn;
        let is_near = |chain: &&Arc<TargetChain>| chain.zone.as_ref() == Some(zone);
        let (near, far): (Vec<_>, Vec<_>) = self.chains.iter().partition(is_near);
        let mut weighed = some_of(&near, CHAINS_WEIGHED / 2, turn);
        weighed.extend(some_of(&far, CHAINS_WEIGHED / 2, turn));
        weighed
    }
}

/// `count` chains from a place on, or all.
fn some_of<'a>(
    chains: &[&'a Arc<TargetChain>],
    count: usize,
    from: usize,
) -> Vec<&'a Arc<TargetChain>> {
    let count = chains.len().min(count);
    (0..count).map(|step| chains[(from + step) % chains.len()]).collect()
}
