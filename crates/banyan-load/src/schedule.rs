//! Which requests are sent, and when: [`LoadSchedule`], the same for the same seed.

use std::time::Duration;

use crate::plan::BYTES_PER_TOKEN;
use crate::plan::BenchPlan;
use banyan_naive::draws::DrawSource;

/// The fewest and the most tokens that an ordinary request asks for.
const USUAL_TOKENS: (u64, u64) = (16, 48);
/// The prompt tokens of an ordinary request.
const USUAL_PROMPT_TOKENS: u64 = 50;
/// The deadline of an ordinary request.
const USUAL_DEADLINE: Duration = Duration::from_secs(20);

/// One request of a schedule.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// When it is meant to be sent, from the start of the load.
    pub at: Duration,
    /// The workspace's index in the plan.
    pub workspace: usize,
    /// The number by which the balancer draws one of the entries that take requests.
    pub entry: usize,
    /// The prompt.
    pub prompt: String,
    /// The number of tokens asked for.
    pub tokens: u64,
    /// The caller's deadline.
    pub deadline: Duration,
}

/// Requests in the order in which they are sent.
#[derive(Clone, Debug, Default)]
pub struct LoadSchedule {
    /// The requests.
    pub requests: Vec<PlannedRequest>,
}

/// What the requests of a stream are like.
#[derive(Clone, Debug)]
pub struct StreamShape {
    /// The workspace's index in the plan.
    pub workspace: usize,
    /// Requests a second.
    pub rate: f64,
    /// When the stream begins.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
    /// The fewest and the most tokens asked for; all numbers between are equally likely.
    pub tokens: (u64, u64),
    /// The number of prompt tokens.
    pub prompt_tokens: u64,
    /// The caller's deadline.
    pub deadline: Duration,
}

impl StreamShape {
    /// A stream of ordinary requests that offers a share of the bound of a plan's engines.
    pub fn at_load(plan: &BenchPlan, load: f64, until: Duration) -> Self {
        let mut shape = Self {
            workspace: 0,
            rate: 0.0,
            from: Duration::ZERO,
            until,
            tokens: USUAL_TOKENS,
            prompt_tokens: USUAL_PROMPT_TOKENS,
            deadline: USUAL_DEADLINE,
        };
        shape.rate = load * shape.bound(plan);
        shape
    }

    /// The most requests of this shape that a plan's engines can serve a second.
    pub fn bound(&self, plan: &BenchPlan) -> f64 {
        plan.request_bound(self.mean_tokens(), self.prompt_tokens as f64)
    }

    /// The mean number of tokens of an answer.
    pub fn mean_tokens(&self) -> f64 {
        (self.tokens.0 + self.tokens.1) as f64 / 2.0
    }
}

impl LoadSchedule {
    /// A schedule of one stream.
    pub fn of_stream(shape: &StreamShape, seed: u64) -> Self {
        let mut schedule = Self::default();
        schedule.add_stream(shape, &mut DrawSource::new(seed));
        schedule
    }

    /// Adds a stream of requests that arrive as a Poisson process.
    pub fn add_stream(&mut self, shape: &StreamShape, draws: &mut DrawSource) {
        let mut at = shape.from.as_micros() as u64;
        let until = shape.until.as_micros() as u64;
        loop {
            at += draws.exponential(1_000_000.0 / shape.rate);
            if at >= until {
                break;
            }
            let span = shape.tokens.1 - shape.tokens.0 + 1;
            self.requests.push(PlannedRequest {
                at: Duration::from_micros(at),
                workspace: shape.workspace,
                entry: draws.draw() as usize,
                prompt: unique_prompt(draws, shape.prompt_tokens),
                tokens: shape.tokens.0 + draws.below(span),
                deadline: shape.deadline,
            });
        }
        self.requests.sort_by_key(|request| request.at);
    }
}

/// A prompt with so many tokens that shares no prefix with others.
pub fn unique_prompt(draws: &mut DrawSource, tokens: u64) -> String {
    let length = (tokens * BYTES_PER_TOKEN) as usize;
    let mut prompt = String::with_capacity(length + 17);
    while prompt.len() < length {
        prompt.push_str(&format!("{:016x} ", draws.draw()));
    }
    // The entry counts one token more than the whole ones.
    prompt.truncate(length.saturating_sub(1));
    prompt
}
