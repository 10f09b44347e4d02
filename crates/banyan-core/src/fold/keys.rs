//! Age limits of idempotency keys: [`key_freshness`].
//!
//! A UUIDv7 key contains the time at which the caller created it. No claim of such a key can win
//! after the key's window, and the fold keeps the outcome for longer than the window, so the call
//! never runs twice. A call with any other key runs at most once while its outcome is kept.

use uuid::Uuid;

use crate::ids::IdempotencyKey;
use crate::units::WallMillis;

/// The greatest difference between the time in a key and the log's time, in milliseconds.
///
/// Every instance must use the same value, so it isn't configurable.
pub const KEY_WINDOW_MS: u64 = 3_600_000;

/// Whether the time in a key allows a first use of the key now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyFreshness {
    /// The key contains no time.
    NoTimestamp,
    /// The time in the key lies within the window.
    Fresh,
    /// The key is older than the window, so the record of an earlier use may have expired.
    TooOld,
    /// The key is ahead of the log's time by more than the window: the caller's clock is wrong.
    TooNew,
}

/// The time in a UUIDv7 key; `None` for any other key.
pub fn key_issued(key: &IdempotencyKey) -> Option<WallMillis> {
    let uuid = Uuid::try_parse(key.as_str()).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(WallMillis(seconds * 1_000 + u64::from(nanos) / 1_000_000))
}

/// Compares the time in a key with `time`, a time of the platform's clock.
pub fn key_freshness(key: &IdempotencyKey, time: WallMillis) -> KeyFreshness {
    let Some(issued) = key_issued(key) else { return KeyFreshness::NoTimestamp };
    if time.0 > issued.0.saturating_add(KEY_WINDOW_MS) {
        return KeyFreshness::TooOld;
    }
    if issued.0 > time.0.saturating_add(KEY_WINDOW_MS) {
        return KeyFreshness::TooNew;
    }
    KeyFreshness::Fresh
}

/// The first time at which no claim of `key` can win; `None` for a key without a time.
pub(crate) fn key_expiry(key: &IdempotencyKey) -> Option<WallMillis> {
    key_issued(key).map(|issued| WallMillis(issued.0.saturating_add(KEY_WINDOW_MS + 1)))
}
