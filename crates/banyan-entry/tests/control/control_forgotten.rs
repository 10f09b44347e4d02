//! Keys whose stored outcome expires while a repeated call waits for it.

use std::pin::pin;

use futures::poll;
use tokio::time::Duration;
use tokio::time::Instant;

use crate::support::start_booking;
use crate::support::start_entries;
use crate::support::start_platform;
use banyan_core::fold::ClaimFold;
use banyan_core::ids::IncarnationId;
use banyan_core::record::CallOutcome;
use banyan_core::record::ClaimKey;
use banyan_core::record::ContentDigest;
use banyan_core::record::FactBody;
use banyan_core::record::LogEntry;
use banyan_core::record::LogFact;
use banyan_core::units::WallMillis;
use banyan_entry::claims::KeyAcquisition;
use banyan_entry::claims::acquire;
use banyan_entry::refusal::Refusal;

fn append(fold: &mut ClaimFold, at: u64, bodies: Vec<FactBody>) {
    let fact = |body| LogFact { id: "test-record".parse().unwrap(), body };
    let facts = bodies.into_iter().map(fact).collect();
    fold.apply(&LogEntry { offset: fold.next, at: WallMillis(at), facts });
}

/// The result of a repeated call that waits for the claim of a stopped incarnation, when all
/// changes by `rest` are folded at once, as after a long pause of the process.
async fn told_after(rest: impl Fn(&mut ClaimFold, &FactBody)) -> Result<KeyAcquisition, Refusal> {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entry = start_entries(1, platform.address, booking.address).await.remove(0);
    let key = claim_key();
    let partition = usize::from(key.partition());
    let claimant: IncarnationId = "e-9.gone".parse().unwrap();
    let content = ContentDigest(7);
    let seen = entry.state.folds.tables().claims[partition].time;
    let claim = FactBody::Claim { key: key.clone(), claimant, content, seen };
    append(&mut entry.state.folds.tables().claims[partition], seen.0, vec![claim.clone()]);
    let request = entry.state.next_request();
    let deadline = Instant::now() + Duration::from_secs(10);
    let mut repeat = pin!(acquire(&entry.state, &request, &key, content, deadline));
    assert!(poll!(repeat.as_mut()).is_pending(), "the key is held");
    rest(&mut entry.state.folds.tables().claims[partition], &claim);
    entry.state.folds.signal();
    repeat.await
}

/// Closes the claim and advances the time until its outcome expires.
fn close_and_forget(fold: &mut ClaimFold) {
    let key = claim_key();
    let claim = "test-record".parse().unwrap();
    let outcome = CallOutcome::Answered { status: 200, body: Vec::new() };
    let memory_ms = 3_600_000;
    let time = fold.time.0;
    append(fold, time, vec![FactBody::Close { key: key.clone(), claim, outcome, memory_ms }]);
    append(fold, time + 2 * memory_ms, Vec::new());
    append(fold, time + 2 * memory_ms, Vec::new());
    assert!(!fold.rows.contains_key(&key));
}

fn claim_key() -> ClaimKey {
    ClaimKey { workspace: "stable-visits".parse().unwrap(), key: "k-1".parse().unwrap() }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_that_slept_past_the_memory_of_the_outcome_is_told_unknown() {
    let turn = told_after(|fold, _| close_and_forget(fold)).await;
    assert!(matches!(turn, Err(Refusal::CallUnknown)), "{turn:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn late_duplicate_of_an_expired_claim_is_not_treated_as_released() {
    let turn = told_after(|fold, claim| {
        close_and_forget(fold);
        let time = fold.time.0;
        append(fold, time, vec![claim.clone()]);
        assert!(!fold.rows.contains_key(&claim_key()));
    })
    .await;
    assert!(matches!(turn, Err(Refusal::CallUnknown)), "{turn:?}");
}
