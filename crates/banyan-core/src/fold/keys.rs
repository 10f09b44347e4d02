//! How old an idempotency key may be: [`key_freshness`].
//!
//! A UUIDv7 key carries the time at which the caller made it. The fold lets no claim of such a key
//! win after the key's window, and remembers its outcome for longer than that, so the key runs at
//! most once for ever. Any other key runs at most once for as long as its outcome is remembered.

use uuid::Uuid;

use crate::ids::IdempotencyKey;
use crate::units::WallMillis;

/// How far the time in a key may lie from the log's time, either way, in milliseconds.
///
/// Every instance must use the same window, so it is no setting.
pub const KEY_WINDOW_MS: u64 = 3_600_000;

/// What the time in a key says about a first use of it now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyFreshness {
    /// The key carries no time.
    NoTimestamp,
    /// It was made within the window.
    Fresh,
    /// It is older than the window: if it was used before, that may have been forgotten.
    TooOld,
    /// It lies ahead of the log's time by more than the window: the caller's clock is wrong.
    TooNew,
}

/// The time that a UUIDv7 key carries; none for any other key.
pub fn key_issued(key: &IdempotencyKey) -> Option<WallMillis> {
    let uuid = Uuid::try_parse(key.as_str()).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(WallMillis(seconds * 1_000 + u64::from(nanos) / 1_000_000))
}

/// How a key stands at a time of the platform's clock.
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

/// The first time at which no claim of `key` can win any more; none for a key without a time.
pub(crate) fn key_end(key: &IdempotencyKey) -> Option<WallMillis> {
    key_issued(key).map(|issued| WallMillis(issued.0.saturating_add(KEY_WINDOW_MS + 1)))
}
