//! Chooses the engines that serve a request: [`ChainPool`].
//!
//! A chain covers all layers in order, and one engine runs each layer. [`ChainPool::refresh`]
//! computes the best few chains of each availability zone whenever the fleet or the suspicions have
//! changed. [`ChainPool::choose`] then picks one of them for a request by the current load. Chains
//! stay inside one zone, since the activations of every token are sent from each engine to the
//! next. Chains over several zones are for fleets in which a zone lacks layers or usable engines.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::fleet::FleetTable;
use crate::pipeline::load::LoadView;
use crate::pipeline::model::PipelineModel;
use crate::pipeline::prompt_order::PromptDetour;
use crate::pipeline::prompt_order::PromptMix;
use crate::pipeline::search;
use crate::pipeline::suspicion::SuspicionTable;
use crate::pipeline::target_chain::RejectionRule;
use crate::pipeline::target_chain::TargetChain;
use crate::units::Moment;
use crate::units::TokenCount;

/// Factor on the score of chains that are not entirely in the caller's zone.
const REMOTE_ZONE_FACTOR: f64 = 1.6;
/// Largest number of chains that one choice scores.
const MAX_SCORED_CHAINS: usize = 24;
/// Weight of the squared fullness in a chain's score: a chain with fullness one scores `1 +` this.
const FULLNESS_WEIGHT: f64 = 1.5;

/// The size of a request in tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestSize {
    /// Prompt tokens, which are prefilled before the first event.
    pub prompt: TokenCount,
    /// Prompt and answer tokens together, once the answer is complete.
    pub total: TokenCount,
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
    /// The lowest such load of all chains that the request could use.
    pub least_fullness: f64,
    /// The estimated time until the first event.
    pub first_event: Duration,
}

/// Which chains a request may use.
#[derive(Clone, Copy, Debug)]
pub struct ChainFilter<'a> {
    /// Targets that no chain may contain.
    pub avoided: &'a [TargetId],
    /// Targets with which no chain may begin.
    pub closed: &'a BTreeSet<TargetId>,
    /// The highest fullness that a chain may have with the request.
    pub max_fullness: f64,
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
    /// Whether targets that recently rejected a request are skipped.
    rejection_rule: Option<RejectionRule>,
    /// The usual prompts of the service, against which a prompt is long.
    pub prompts: PromptMix,
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
    /// Chains that `filter` excludes are skipped. `peer_count` is the number of peers whose load is
    /// known.
    pub fn choose(
        &mut self,
        loads: &LoadView<'_>,
        zone: &ZoneId,
        size: RequestSize,
        peer_count: usize,
        filter: ChainFilter<'_>,
    ) -> Option<ChainChoice> {
        let ChainFilter { avoided, closed, max_fullness } = filter;
        self.rotation = self.rotation.wrapping_add(MAX_SCORED_CHAINS / 2);
        let mut best: Option<(f64, ChainChoice)> = None;
        let mut least_fullness = f64::INFINITY;
        let mut detours = Vec::new();
        for chain in self.chains_to_score(zone) {
            if chain.uses_any(avoided) || closed.contains(&chain.parts[0].target) {
                continue;
            }
            let fullness = self.fullness(chain, loads, size.total);
            if fullness > max_fullness {
                continue;
            }
            least_fullness = least_fullness.min(fullness);
            let is_local = chain.zone.as_ref() == Some(zone);
            let zone_factor = if is_local { 1.0 } else { REMOTE_ZONE_FACTOR };
            let fullness_factor = 1.0 + FULLNESS_WEIGHT * fullness * fullness;
            let first_event = chain.first_event_time(loads, size.prompt, peer_count);
            let delay = self.prompts.delay_to_others(chain, loads, size.prompt, peer_count);
            let score = first_event * zone_factor * fullness_factor;
            if let Some(delay) = delay {
                let cost = score + delay.seconds * zone_factor * fullness_factor;
                let first_event = Duration::from_secs_f64(first_event);
                let chain = chain.clone();
                let choice = ChainChoice { chain, fullness, least_fullness, first_event };
                detours.push(PromptDetour { score, cost, delay, choice });
            }
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                let first_event = Duration::from_secs_f64(first_event);
                let chain = chain.clone();
                best = Some((score, ChainChoice { chain, fullness, least_fullness, first_event }));
            }
        }
        let choice = PromptDetour::choose(detours).or(best.map(|(_, choice)| choice));
        choice.map(|choice| ChainChoice { least_fullness, ..choice })
    }

    /// Sets whether the next choices skip targets that recently rejected a request.
    pub fn set_rejection_rule(&mut self, rule: Option<RejectionRule>) {
        self.rejection_rule = rule;
    }

    /// The fullness of a chain with `tokens` more, by the pool's rule.
    fn fullness(&self, chain: &TargetChain, loads: &LoadView<'_>, tokens: TokenCount) -> f64 {
        match self.rejection_rule {
            Some(rule) => chain.fullness_unless_rejected(loads, tokens, rule),
            None => chain.fullness(loads, tokens),
        }
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
