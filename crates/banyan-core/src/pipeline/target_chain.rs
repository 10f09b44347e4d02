//! Engines that together run all layers of a model: [`TargetChain`].

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::LayerRange;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::pipeline::load::LoadView;
use crate::units::Moment;
use crate::units::TokenCount;

/// Number of token steps before the first event reaches the caller.
const STEPS_BEFORE_FIRST_EVENT: f64 = 3.0;
/// Largest permitted load of an engine as a fraction of its capacity. It may exceed one because a
/// request is counted with its final length and reaches that only at the end of its answer.
pub(super) const MAX_FULLNESS: f64 = 1.1;

/// How the room of a service's engines is accounted for among all instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RejectionRule {
    /// The time of the decision.
    pub now: Moment,
}

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

    /// [`Self::fullness`] where room is accounted for among all instances: infinite if an engine
    /// recently rejected a request for lack of room.
    pub fn fullness_unless_rejected(
        &self,
        loads: &LoadView<'_>,
        tokens: TokenCount,
        rule: RejectionRule,
    ) -> f64 {
        let is_full = |part: &ChainPart| loads.peers.rejections.is_full(&part.target, rule.now);
        if self.parts.iter().any(is_full) {
            return f64::INFINITY;
        }
        self.fullness(loads, tokens)
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
