//! Chooses the engines that serve a request: [`ChainPool`].
//!
//! A chain covers all layers in order, and one engine runs each layer. [`ChainPool::refresh`]
//! computes the best few chains of each availability zone whenever the fleet or the suspicions have
//! changed. [`ChainPool::choose`] then picks one of them for a request by the current load. Chains
//! stay inside one zone, since the activations of every token are sent from each engine to the
//! next. Chains over several zones are for fleets in which a zone lacks layers or usable engines.

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

/// Number of token steps before the first event reaches the caller.
const STEPS_BEFORE_FIRST_EVENT: f64 = 3.0;
/// Factor on the score of chains that are not entirely in the caller's zone.
const REMOTE_ZONE_FACTOR: f64 = 1.6;
/// Largest permitted load of an engine as a fraction of its capacity. It may exceed one because a
/// request is counted with its final length and reaches that only at the end of its answer.
pub(super) const MAX_FULLNESS: f64 = 1.1;
/// Largest number of chains that one choice scores.
const MAX_SCORED_CHAINS: usize = 24;
/// Weight of the squared fullness in a chain's score: a chain with fullness one scores `1 +` this.
const FULLNESS_WEIGHT: f64 = 1.5;

/// One engine's part of a chain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChainPart {
    /// The engine.
    pub target: TargetId,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// The layers that it runs.
    pub range: LayerRange,
    /// Its capacity for requests, in tokens times layers.
    pub token_layers: u64,
    /// The prefill time of one prompt token through its layers.
    pub prefill_time: Duration,
}

/// Engines that run all layers of a model in order.
///
/// Invariant: the ranges of the parts cover all layers in order, without gap or overlap, and no
/// engine appears twice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetChain {
    /// The zone of all its engines, or `None` if they are in several zones.
    pub zone: Option<ZoneId>,
    /// The parts in order.
    pub parts: Vec<ChainPart>,
    /// The duration of one token step on idle engines.
    pub step_time: Duration,
    /// The transfer time of one token's activations, summed over all zone crossings in the chain.
    pub cross_zone_time: Duration,
}

/// The size of a request in tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestSize {
    /// Prompt tokens, which are prefilled before the first event.
    pub prompt: TokenCount,
    /// Prompt and answer tokens together, once the answer is complete.
    pub total: TokenCount,
}

impl TargetChain {
    /// Whether any of the targets is in the chain.
    pub fn uses_any(&self, targets: &[TargetId]) -> bool {
        self.parts.iter().any(|part| targets.contains(&part.target))
    }

    /// Estimates the seconds until the first event of a request, given the prompts that are
    /// waiting. `peer_count` is the number of peers whose load is known.
    pub fn first_event_time(
        &self,
        loads: &LoadView<'_>,
        prompt: TokenCount,
        peer_count: usize,
    ) -> f64 {
        let mut prefill = 0.0;
        let mut queue_wait: f64 = 0.0;
        for part in &self.parts {
            let token_time = part.prefill_time.as_secs_f64();
            prefill += token_time * prompt.0 as f64;
            queue_wait =
                queue_wait.max(token_time * loads.pending_prefill(&part.target, peer_count));
        }
        let crossing = self.prompt_cross_zone_time(prompt).as_secs_f64();
        if crossing > 0.0 {
            prefill += crossing;
            queue_wait = queue_wait.max(loads.cross_zone_wait(peer_count));
        }
        prefill + queue_wait + STEPS_BEFORE_FIRST_EVENT * self.step_time.as_secs_f64()
    }

    /// The transfer time of a prompt's activations over all zone crossings in the chain.
    pub fn prompt_cross_zone_time(&self, prompt: TokenCount) -> Duration {
        self.cross_zone_time.mul_f64(prompt.0 as f64)
    }

    /// The load of the fullest engine if `tokens` were added, as a fraction of its capacity.
    pub fn fullness(&self, loads: &LoadView<'_>, tokens: TokenCount) -> f64 {
        let part_fullness = |part: &ChainPart| {
            let used = loads.token_layers(&part.target);
            let requested = (tokens.0 * u64::from(part.range.count())) as f64;
            (used + requested) / part.token_layers.max(1) as f64
        };
        self.parts.iter().map(part_fullness).fold(0.0, f64::max)
    }
}

/// The revisions that a pool was computed from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct PoolInputs {
    fleet: u64,
    suspicions: u64,
    version: u64,
    /// When the next suspicion expires, which changes the usable engines without a new revision.
    valid_until: Option<Moment>,
}

/// The chain that was chosen for a request, with the estimates on which the choice is based.
#[derive(Clone, Debug)]
pub struct ChainChoice {
    /// The chain.
    pub chain: Arc<TargetChain>,
    /// The load of its fullest engine with this request, as a fraction of its capacity.
    pub fullness: f64,
    /// The estimated time until the first event.
    pub first_event: Duration,
}

/// The candidate chains of one service.
#[derive(Clone, Debug, Default)]
pub struct ChainPool {
    chains: Vec<Arc<TargetChain>>,
    inputs: PoolInputs,
    /// Makes instances prefer different engines where a zone has many.
    seed: u64,
    /// Start of the window of chains to score. It moves with each choice, so that consecutive
    /// choices among many chains score different ones.
    rotation: usize,
}

impl ChainPool {
    /// Creates an empty pool whose preference among engines is seeded by the instance's name.
    pub fn for_instance(instance: &InstanceId) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(instance.as_str().as_bytes());
        Self { seed, ..Self::default() }
    }

    /// The current chains, grouped by zone.
    pub fn chains(&self) -> &[Arc<TargetChain>] {
        &self.chains
    }

    /// Recomputes the chains if any of their inputs has changed, and returns whether it did.
    pub fn refresh(
        &mut self,
        model: &PipelineModel,
        service: &ServiceId,
        version: u64,
        fleet: &FleetTable,
        suspicions: &SuspicionTable,
        now: Moment,
    ) -> bool {
        let expired = self.inputs.valid_until.is_some_and(|valid_until| valid_until <= now);
        let same = self.inputs.fleet == fleet.revision
            && self.inputs.suspicions == suspicions.revision
            && self.inputs.version == version;
        if same && !expired {
            return false;
        }
        self.inputs = PoolInputs {
            fleet: fleet.revision,
            suspicions: suspicions.revision,
            version,
            valid_until: suspicions.next_expiry(now),
        };
        self.chains = search::find_chains(model, service, fleet, suspicions, self.seed, now);
        true
    }

    /// Chooses the chain with the earliest expected first event, weighted by distance and fullness.
    /// Chains that use a target in `avoided` or that lack capacity are skipped. `peer_count` is the
    /// number of peers whose load is known.
    pub fn choose(
        &mut self,
        loads: &LoadView<'_>,
        zone: &ZoneId,
        size: RequestSize,
        peer_count: usize,
        avoided: &[TargetId],
    ) -> Option<ChainChoice> {
        self.rotation = self.rotation.wrapping_add(MAX_SCORED_CHAINS / 2);
        let mut best: Option<(f64, ChainChoice)> = None;
        for chain in self.chains_to_score(zone) {
            if chain.uses_any(avoided) {
                continue;
            }
            let fullness = chain.fullness(loads, size.total);
            if fullness > MAX_FULLNESS {
                continue;
            }
            let is_local = chain.zone.as_ref() == Some(zone);
            let zone_factor = if is_local { 1.0 } else { REMOTE_ZONE_FACTOR };
            let fullness_factor = 1.0 + FULLNESS_WEIGHT * fullness * fullness;
            let first_event = chain.first_event_time(loads, size.prompt, peer_count);
            let score = first_event * zone_factor * fullness_factor;
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                let first_event = Duration::from_secs_f64(first_event);
                let chain = chain.clone();
                best = Some((score, ChainChoice { chain, fullness, first_event }));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// The chains that one choice scores. If there are too many, it is a rotating selection of
    /// local and remote chains, which bounds the cost of a choice.
    fn chains_to_score(&self, zone: &ZoneId) -> Vec<&Arc<TargetChain>> {
        if self.chains.len() <= MAX_SCORED_CHAINS {
            return self.chains.iter().collect();
        }
        let rotation = self.rotation;
        let is_local = |chain: &&Arc<TargetChain>| chain.zone.as_ref() == Some(zone);
        let (local, remote): (Vec<_>, Vec<_>) = self.chains.iter().partition(is_local);
        let mut selected = rotating_window(&local, MAX_SCORED_CHAINS / 2, rotation);
        selected.extend(rotating_window(&remote, MAX_SCORED_CHAINS / 2, rotation));
        selected
    }
}

/// Up to `count` chains, starting at index `from` and wrapping around.
fn rotating_window<'a>(
    chains: &[&'a Arc<TargetChain>],
    count: usize,
    from: usize,
) -> Vec<&'a Arc<TargetChain>> {
    let count = chains.len().min(count);
    (0..count).map(|offset| chains[(from + offset) % chains.len()]).collect()
}
