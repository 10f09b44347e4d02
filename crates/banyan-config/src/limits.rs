//! The numbers that declarations may hold: a [`NumberLimit`] for each, and the defaults.

/// The least and the greatest number allowed in a field.
#[derive(Clone, Copy, Debug)]
pub struct NumberLimit {
    /// The least.
    pub least: u64,
    /// The greatest.
    pub most: u64,
}

const fn limit(least: u64, most: u64) -> NumberLimit {
    NumberLimit { least, most }
}

/// Weight of a workspace in the fair share.
pub const SHARE: NumberLimit = limit(1, 1_000_000);
/// Requests or tokens a second.
pub const RATE: NumberLimit = limit(1, 1_000_000_000);
/// Priority of a workspace's requests.
pub const PRIORITY: NumberLimit = limit(0, 9);
/// Layers of a model.
pub const LAYERS: NumberLimit = limit(1, 100_000);
/// Tokens of one answer.
pub const ANSWER_TOKENS: NumberLimit = limit(1, 100_000_000);
/// Bytes of one token's hand-off between two stages.
pub const HANDOFF_BYTES: NumberLimit = limit(1, 1 << 32);
/// Steps in one batch of an engine.
pub const BATCH: NumberLimit = limit(1, 1_000_000);
/// Milliseconds of one batch.
pub const STEP_MS: NumberLimit = limit(1, 3_600_000);
/// Bytes a second of a link.
pub const LINK_BYTES_PER_SECOND: NumberLimit = limit(1, 1 << 50);
/// Milliseconds of a timeout, deadline or memory: up to a week.
pub const TIME_MS: NumberLimit = limit(1, 604_800_000);
/// Requests that wait in a queue.
pub const QUEUE: NumberLimit = limit(1, 10_000_000);
/// A share in percent.
pub const PERCENT: NumberLimit = limit(0, 100);

/// Tokens of one answer where the model does not say.
pub const DEFAULT_ANSWER_TOKENS: u64 = 4096;
/// Bytes of one hand-off where the model does not say.
pub const DEFAULT_HANDOFF_BYTES: u64 = 16_384;
/// The timeout of a call where its service does not say, in milliseconds.
pub const DEFAULT_CALL_TIMEOUT_MS: u64 = 5000;
