//! Which claims win, and how long the fold keeps them.

use banyan_core::fold::ClaimFold;
use banyan_core::fold::ClaimVerdict;
use banyan_core::fold::FoldStep;
use banyan_core::fold::KEY_WINDOW_MS;
use banyan_core::fold::KeyFreshness;
use banyan_core::fold::key_freshness;
use banyan_core::ids::IdempotencyKey;
use banyan_core::ids::LogOffset;
use banyan_core::ids::RecordId;
use banyan_core::record::CLAIM_WINDOW_MS;
use banyan_core::record::CallOutcome;
use banyan_core::record::ClaimKey;
use banyan_core::record::ContentDigest;
use banyan_core::record::FactBody;
use banyan_core::record::LogEntry;
use banyan_core::record::LogFact;
use banyan_core::units::WallMillis;

/// A UUIDv7 whose time is [`TIMED_KEY_MS`].
const TIMED_KEY: &str = "018bcfe5-6800-7000-8000-000000000000";
const TIMED_KEY_MS: u64 = 1_700_000_000_000;

struct ClaimLog {
    fold: ClaimFold,
    key: ClaimKey,
}

impl ClaimLog {
    fn new(key: &str) -> Self {
        let key = ClaimKey { workspace: "sedlar".parse().unwrap(), key: key.parse().unwrap() };
        Self { fold: ClaimFold::default(), key }
    }

    fn append(&mut self, at: u64, id: &str, body: FactBody) {
        let facts = vec![LogFact { id: record(id), body }];
        let entry = LogEntry { offset: self.fold.next, at: WallMillis(at), facts };
        assert_eq!(self.fold.apply(&entry), FoldStep::Folded);
    }

    fn claim(&mut self, at: u64, id: &str, seen: u64) -> ClaimVerdict {
        let body = FactBody::Claim {
            key: self.key.clone(),
            claimant: format!("run-{id}").parse().unwrap(),
            content: ContentDigest(1),
            seen: WallMillis(seen),
        };
        self.append(at, id, body);
        self.fold.verdict(&self.key, &record(id))
    }

    fn close(&mut self, at: u64, claim: &str, memory_ms: u64) {
        let outcome = CallOutcome::Unknown;
        let (key, claim) = (self.key.clone(), record(claim));
        self.append(at, "close", FactBody::Close { key, claim, outcome, memory_ms });
    }

    fn release(&mut self, at: u64, claim: &str) {
        let (key, claim) = (self.key.clone(), record(claim));
        self.append(at, "release", FactBody::Release { key, claim });
    }
}

fn record(id: &str) -> RecordId {
    id.parse().unwrap()
}

#[test]
fn a_claim_after_a_long_idle_time_wins() {
    let mut log = ClaimLog::new("plain");
    assert_eq!(log.claim(1_000, "first", 0), ClaimVerdict::Won);
    log.release(1_001, "first");
    let seen = log.fold.time.0;
    assert_eq!(log.claim(90_000_000, "second", seen), ClaimVerdict::Won);
}

#[test]
fn a_claim_is_void_if_an_outcome_expired_since_its_check() {
    let mut log = ClaimLog::new("plain");
    let seen = 1_000;
    assert_eq!(log.claim(1_000, "first", seen), ClaimVerdict::Won);
    // The fold extends a retention shorter than the claim window beyond that window.
    log.close(1_001, "first", 1);
    let expiry = 1_001 + CLAIM_WINDOW_MS + 1;
    assert!(matches!(log.claim(expiry - 1, "early", seen), ClaimVerdict::Lost(_)));
    log.release(expiry, "other");
    assert_eq!(log.claim(expiry, "paused", seen), ClaimVerdict::Void);
    assert!(log.fold.rows.is_empty());
    let now = log.fold.time.0;
    assert_eq!(log.claim(expiry, "repeat", now), ClaimVerdict::Won);
}

#[test]
fn a_late_copy_of_a_released_claim_never_wins() {
    let mut log = ClaimLog::new("plain");
    log.claim(1_000, "first", 1_000);
    log.release(1_001, "first");
    for at in (2_000..400_000).step_by(1_000) {
        assert_ne!(log.claim(at, "first", 1_000), ClaimVerdict::Won);
    }
    assert!(log.fold.released.len() + log.fold.late.len() <= 1);
}

#[test]
fn a_late_copy_of_an_expired_claim_is_void_and_not_released() {
    let mut log = ClaimLog::new("plain");
    log.claim(1_000, "first", 1_000);
    log.close(1_001, "first", 1);
    log.release(200_000, "other");
    assert_eq!(log.claim(200_000, "first", 1_000), ClaimVerdict::Void);
    assert!(log.fold.rows.is_empty());
    assert!(!log.fold.is_released(&record("first")));
    assert!(log.fold.is_released(&record("other")));
}

#[test]
fn a_closed_claim_cannot_be_released() {
    let mut log = ClaimLog::new("plain");
    log.claim(1_000, "first", 1_000);
    log.close(1_001, "first", 1_000_000);
    log.release(1_002, "first");
    assert!(matches!(log.claim(1_003, "second", 1_003), ClaimVerdict::Lost(_)));
}

#[test]
fn an_open_claim_of_a_key_without_a_time_never_expires() {
    let mut log = ClaimLog::new("plain");
    log.claim(1_000, "first", 1_000);
    let later = 1_000 + 400 * 86_400_000;
    assert!(matches!(log.claim(later, "second", later), ClaimVerdict::Lost(_)));
}

#[test]
fn a_call_with_a_timed_key_never_runs_twice() {
    let mut log = ClaimLog::new(TIMED_KEY);
    let start = TIMED_KEY_MS;
    let end = start + KEY_WINDOW_MS;
    assert_eq!(log.claim(start, "first", start), ClaimVerdict::Won);
    log.close(start + 1, "first", 1);
    assert!(matches!(log.claim(end, "second", end), ClaimVerdict::Lost(_)));
    assert!(matches!(log.claim(end + 1, "third", end + 1), ClaimVerdict::Lost(_)));
    assert_eq!(log.claim(end + 2, "fourth", end + 2), ClaimVerdict::Void);
    assert!(log.fold.rows.is_empty());
}

#[test]
fn an_open_claim_of_a_timed_key_expires_when_no_other_claim_can_win() {
    let mut log = ClaimLog::new(TIMED_KEY);
    let end = TIMED_KEY_MS + KEY_WINDOW_MS;
    log.claim(TIMED_KEY_MS, "first", TIMED_KEY_MS);
    assert!(matches!(log.claim(end, "second", end), ClaimVerdict::Lost(_)));
    log.release(end + 1, "other");
    assert_eq!(log.claim(end + 1, "third", end + 1), ClaimVerdict::Void);
    assert!(log.fold.rows.is_empty());
}

#[test]
fn keys_too_old_or_too_new_are_detected() {
    let timed: IdempotencyKey = TIMED_KEY.parse().unwrap();
    let plain: IdempotencyKey = "order-17".parse().unwrap();
    let freshness = |time| key_freshness(&timed, WallMillis(time));
    assert_eq!(key_freshness(&plain, WallMillis(5)), KeyFreshness::NoTimestamp);
    assert_eq!(freshness(TIMED_KEY_MS + KEY_WINDOW_MS), KeyFreshness::Fresh);
    assert_eq!(freshness(TIMED_KEY_MS + KEY_WINDOW_MS + 1), KeyFreshness::TooOld);
    assert_eq!(freshness(TIMED_KEY_MS - KEY_WINDOW_MS), KeyFreshness::Fresh);
    assert_eq!(freshness(TIMED_KEY_MS - KEY_WINDOW_MS - 1), KeyFreshness::TooNew);
}

#[test]
fn an_entry_after_a_gap_changes_nothing() {
    let mut log = ClaimLog::new("plain");
    log.claim(1_000, "first", 1_000);
    let before = log.fold.clone();
    let entry = LogEntry { offset: LogOffset(5), at: WallMillis(9_000), facts: Vec::new() };
    assert_eq!(log.fold.apply(&entry), FoldStep::Gap { expected: LogOffset(1) });
    assert_eq!(log.fold, before);
}
