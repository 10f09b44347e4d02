//! Which requests are sent, and when: [`LoadSchedule`], the same for the same seed.

use std::time::Duration;

use crate::plan::BYTES_PER_TOKEN;
use banyan_naive::draws::DrawSource;

/// One request of a schedule.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// When it is meant to be sent, from the start of the load.
    pub at: Duration,
    /// The workspace's index in the plan.
    pub workspace: usize,
    /// The entry's index in the plan, as the balancer would draw it.
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
    /// The number of entries.
    pub entries: usize,
}

impl StreamShape {
    /// The mean number of tokens of an answer.
    pub fn mean_tokens(&self) -> f64 {
        (self.tokens.0 + self.tokens.1) as f64 / 2.0
    }
}

impl LoadSchedule {
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
                entry: draws.below(shape.entries as u64) as usize,
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
