//! Orders prompts of different lengths at engines: [`PromptMix`], with the [`PromptPolicy`] of a
//! service.
//!
//! An engine that prefills a long prompt delays the short ones behind it. A long prompt that has
//! time therefore gets a lower urgency and goes where its prefill delays few others. It is as
//! urgent as a short one once its slack is used up, so that it never waits longer than in the order
//! of arrival.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::ServiceId;
use crate::pipeline::chain::ChainChoice;
use crate::pipeline::load::LoadView;
use crate::pipeline::routes::RouteSpec;
use crate::pipeline::target_chain::TargetChain;
use crate::units::TokenCount;

/// The number of urgency levels for requests whose caller has nothing of the answer yet.
const NEW_LEVELS: usize = 9;
/// A prompt is long if it has at least two to this power times the usual tokens. Prompts spread
/// evenly up to twice their mean reach 2.7 times the usual length, and stay below.
const LONG_LOG2: f64 = 2.0;
/// The prompts after which the weight of one in the usual length no longer falls. The last 128 make
/// up two thirds of it, so that a few long ones in a row leave it near the short ones.
const MAX_WEIGHED_PROMPTS: u32 = 128;
/// The part of the tightest latency target that the prefill pending at an engine may take before a
/// long prompt is sent elsewhere. The other half is left for the prefill of the short prompts that
/// wait behind it.
const BACKLOG_FRACTION: f64 = 0.5;
/// The part of the tightest latency target within which a long prompt's first event is expected on a
/// chain to which it is sent for the sake of others. The rest covers an error of the estimate.
const DETOUR_FRACTION: f64 = 0.5;
/// The score of a chain that a long prompt takes for the sake of others, at most this many times the
/// best. Longer detours fill chains that other prompts need, and make more long ones late.
const MAX_DETOUR: f64 = 1.1;
/// The prompts that must have been counted before one is long. The first few may all be unusual.
const MIN_COUNTED_PROMPTS: u32 = 16;

/// Which requests an engine admits first. Zero is the most urgent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Urgency(u8);

impl Urgency {
    /// The urgency of a resumed stream of a service whose requests are otherwise alike.
    pub const RESUMED: Self = Self(1);
    /// The urgency of a resumed stream of a service whose new requests have urgencies too.
    const RESUMED_AMONG_RANKED: Self = Self(0);

    /// The number that engines are told.
    pub fn level(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Urgency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// How the routes of a service differ.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPolicy {
    /// The shortest latency target of its routes.
    tightest_target: Duration,
    /// The priorities that its requests may have.
    priorities: BTreeSet<u8>,
}

impl PromptPolicy {
    /// The policies of the services whose routes differ in priority, latency target or pause
    /// target. `owner_priorities` are those that workspaces have of their own.
    pub fn of_routes<'a>(
        routes: impl IntoIterator<Item = &'a RouteSpec>,
        owner_priorities: &BTreeSet<u8>,
    ) -> BTreeMap<ServiceId, Arc<Self>> {
        let mut by_service: BTreeMap<&ServiceId, Vec<&RouteSpec>> = BTreeMap::new();
        for route in routes {
            let services: BTreeSet<_> = route.shares.iter().map(|share| &share.service).collect();
            for service in services {
                by_service.entry(service).or_default().push(route);
            }
        }
        let policy = |(service, routes): (&ServiceId, Vec<&RouteSpec>)| {
            let terms =
                |route: &&RouteSpec| (route.priority, route.latency_target, route.pause_target);
            let distinct: BTreeSet<_> = routes.iter().map(terms).collect();
            if distinct.len() < 2 {
                return None;
            }
            let tightest_target = distinct.iter().map(|(_, target, _)| *target).min()?;
            let mut priorities: BTreeSet<u8> = distinct.iter().map(|(first, ..)| *first).collect();
            priorities.extend(owner_priorities);
            Some((service.clone(), Arc::new(Self { tightest_target, priorities })))
        };
        by_service.into_iter().filter_map(policy).collect()
    }

    /// The urgency levels of a priority: the first, and how many. Levels of different priorities do
    /// not overlap while there are no more priorities than levels.
    fn levels(&self, priority: u8) -> (usize, usize) {
        let count = self.priorities.len().max(1);
        let rank = self.priorities.range(..priority).count().min(count - 1);
        let first = rank * NEW_LEVELS / count;
        let end = (rank + 1) * NEW_LEVELS / count;
        (first, (end - first).max(1))
    }
}

/// What the urgency of a request depends on beside its chain.
#[derive(Clone, Copy, Debug)]
pub struct PromptRequest {
    /// The prompt's length.
    pub prompt: TokenCount,
    /// The effective priority; zero is the most urgent.
    pub priority: u8,
    /// The time to the first event within which the answer is on time.
    pub latency_target: Duration,
    /// The time since the request was received.
    pub waited: Duration,
    /// Whether the caller has part of the answer already.
    pub resuming: bool,
}

/// The usual prompt length of a service, and its policy if it has one.
#[derive(Clone, Debug, Default)]
pub struct PromptMix {
    policy: Option<Arc<PromptPolicy>>,
    /// The decayed mean of the binary logarithms of recent prompt lengths. Unlike a mean of the
    /// lengths, it stays near the short prompts when a few are many times longer.
    usual_log2: Option<f64>,
    /// The prompts counted so far, up to [`MAX_WEIGHED_PROMPTS`].
    counted: u32,
}

impl PromptMix {
    /// Sets the policy of the configuration in force; `None` switches everything here off.
    pub fn set_policy(&mut self, policy: Option<&Arc<PromptPolicy>>) {
        if self.policy.as_ref() != policy {
            self.policy = policy.cloned();
        }
    }

    /// Counts the prompt of a new request.
    pub fn note_prompt(&mut self, prompt: TokenCount) {
        let log2 = prompt_log2(prompt);
        self.counted = (self.counted + 1).min(MAX_WEIGHED_PROMPTS);
        let usual = self.usual_log2.get_or_insert(log2);
        *usual += (log2 - *usual) / f64::from(self.counted);
    }

    /// Whether a prompt is long for its service. Never, where the service has no policy.
    pub fn is_long(&self, prompt: TokenCount) -> bool {
        self.policy.is_some() && self.excess_log2(prompt) >= LONG_LOG2
    }

    /// The binary logarithm of a prompt's length as a multiple of the usual one; zero while too few
    /// prompts were counted.
    fn excess_log2(&self, prompt: TokenCount) -> f64 {
        let log2 = prompt_log2(prompt);
        let usual = self.usual_log2.filter(|_| self.counted >= MIN_COUNTED_PROMPTS);
        log2 - usual.unwrap_or(log2)
    }

    /// The urgency of a request on the chain chosen for it, or `None` if the engine is told none.
    pub fn urgency(&self, request: &PromptRequest, choice: &ChainChoice) -> Option<Urgency> {
        let Some(policy) = &self.policy else {
            return request.resuming.then_some(Urgency::RESUMED);
        };
        if request.resuming {
            return Some(Urgency::RESUMED_AMONG_RANKED);
        }
        let (first, count) = policy.levels(request.priority);
        let yielded = self.yielded_levels(policy, request, choice).min(count - 1);
        // The sum is below the number of levels, which fits.
        Some(Urgency((1 + first + yielded) as u8))
    }

    /// The levels by which a request stands behind the most urgent ones of its priority.
    ///
    /// It yields one level when its prompt is long, and one more with each doubling; likewise with
    /// each doubling of its slack over the tightest latency target. It yields no more levels than
    /// its slack covers the time that it needs once it is passed over: its own prefill, since
    /// pieces of other prompts come between its own, and twice the estimated wait, since prompts
    /// that arrive meanwhile go first.
    fn yielded_levels(
        &self,
        policy: &PromptPolicy,
        request: &PromptRequest,
        choice: &ChainChoice,
    ) -> usize {
        let prefill = prefill_time(&choice.chain, request.prompt);
        let slack = request.latency_target.saturating_sub(request.waited + prefill).as_secs_f64();
        let wait = choice.first_event.saturating_sub(prefill);
        let needed = (prefill + wait * 2).as_secs_f64();
        let by_length = (self.excess_log2(request.prompt) - LONG_LOG2 + 1.0).max(0.0);
        let tightest = policy.tightest_target.as_secs_f64();
        let by_slack = (slack / tightest.max(f64::MIN_POSITIVE)).log2().max(0.0);
        let covered = slack / needed.max(f64::MIN_POSITIVE);
        // Fractions are dropped; the conversion saturates.
        (by_length as usize).saturating_add(by_slack as usize).min(covered as usize)
    }

    /// How much a long prompt on a chain delays other requests, or `None` for other prompts.
    pub fn delay_to_others(
        &self,
        chain: &TargetChain,
        loads: &LoadView<'_>,
        prompt: TokenCount,
        peer_count: usize,
    ) -> Option<PromptDelay> {
        let policy = self.policy.as_ref().filter(|_| self.is_long(prompt))?;
        let tightest = policy.tightest_target.as_secs_f64();
        let bound = tightest * BACKLOG_FRACTION;
        let latest = tightest * DETOUR_FRACTION;
        let mut delay = PromptDelay { seconds: 0.0, over_backlog: false, latest };
        for part in &chain.parts {
            let token_time = part.prefill_time.as_secs_f64();
            let prefill = token_time * prompt.0 as f64;
            let backlog = token_time * loads.pending_prefill(&part.target, peer_count);
            let running = loads.token_layers(&part.target) / part.token_layers.max(1) as f64;
            delay.over_backlog |= backlog > bound;
            delay.seconds += prefill * (running + backlog / bound.max(f64::MIN_POSITIVE));
        }
        Some(delay)
    }
}

/// How much a long prompt on a chain delays other requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptDelay {
    /// The seconds for which its prefill occupies engines, weighted by how much runs and waits
    /// there.
    pub seconds: f64,
    /// Whether an engine of the chain has as much prefill pending as a long prompt may join.
    over_backlog: bool,
    /// The latest first event, in seconds, for which a detour is taken.
    latest: f64,
}

impl PromptDelay {
    /// Whether a long prompt may be sent to the chain for the sake of other requests, given the
    /// estimated time until its first event there.
    fn is_suited(&self, first_event: Duration) -> bool {
        !self.over_backlog && first_event.as_secs_f64() <= self.latest
    }
}

/// A chain on which a long prompt may delay fewer requests than on the one with the best score.
#[derive(Clone, Debug)]
pub struct PromptDetour {
    /// The score by which chains are chosen for other prompts.
    pub score: f64,
    /// The score with the delay to others.
    pub cost: f64,
    /// The delay to others.
    pub delay: PromptDelay,
    /// The chain.
    pub choice: ChainChoice,
}

impl PromptDetour {
    /// Chooses the suited chain with the least cost among those whose score is near the best, or
    /// among all if the one with the best score has too large a backlog. `None` if there is none.
    pub fn choose(detours: Vec<Self>) -> Option<ChainChoice> {
        let best = detours.iter().min_by(|a, b| a.score.total_cmp(&b.score))?;
        let limit = best.score * if best.delay.over_backlog { f64::MAX } else { MAX_DETOUR };
        let is_near =
            |one: &Self| one.score <= limit && one.delay.is_suited(one.choice.first_event);
        let near = detours.into_iter().filter(is_near);
        near.min_by(|a, b| a.cost.total_cmp(&b.cost)).map(|one| one.choice)
    }
}

/// The time that a chain needs for a prompt on idle engines.
pub fn prefill_time(chain: &TargetChain, prompt: TokenCount) -> Duration {
    let token_time: Duration = chain.parts.iter().map(|part| part.prefill_time).sum();
    token_time.mul_f64(prompt.0 as f64) + chain.prompt_cross_zone_time(prompt)
}

fn prompt_log2(prompt: TokenCount) -> f64 {
    (prompt.0.max(1) as f64).log2()
}
