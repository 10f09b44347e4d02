//! At-most-once calls over several instances.

use std::collections::BTreeMap;

use futures::future::join_all;
use tokio::time::Duration;
use tokio::time::Instant;

use crate::support::book;
use crate::support::book_at;
use crate::support::start_booking;
use crate::support::start_entries;
use crate::support::start_entry;
use crate::support::start_platform;
use crate::support::until;
use crate::support::until_revision;
use banyan_core::ids::InstanceId;
use banyan_core::ids::RequestId;
use banyan_core::record::CallOutcome;
use banyan_core::record::ClaimKey;
use banyan_core::record::ContentDigest;
use banyan_core::record::StreamId;
use banyan_core::rendezvous::preferred_owners;
use banyan_entry::claims::KeyAcquisition;
use banyan_entry::claims::acquire;
use banyan_entry::daemon::RunningEntry;
use banyan_entry::refusal::Refusal;
use banyan_standin::fault::LossKind;
use banyan_standin::fault::ServiceFault;
use banyan_standin::service::ServiceHandle;

fn runs(booking: &ServiceHandle, key: &str) -> u64 {
    let body = serde_json::json!({ "for": key }).to_string();
    booking.runs_by_body().get(&body).copied().unwrap_or(0)
}

fn claim_key(key: &str) -> ClaimKey {
    ClaimKey { workspace: "stable-visits".parse().unwrap(), key: key.parse().unwrap() }
}

async fn turn(entry: &RunningEntry, key: &str, wait: Duration) -> Result<KeyAcquisition, Refusal> {
    let request: RequestId = entry.state.next_request();
    let deadline = Instant::now() + wait;
    acquire(&entry.state, &request, &claim_key(key), ContentDigest(7), deadline).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_to_all_instances_at_once_runs_once_and_all_get_its_answer() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(3, platform.address, booking.address).await;
    for round in 0..10 {
        let key = format!("k-{round}");
        let calls = entries.iter().flat_map(|entry| [entry, entry]);
        let calls = calls.map(|entry| book_at(entry.caller_address, &key, 8000));
        let answers = join_all(calls).await;
        for (status, body) in &answers {
            assert_eq!((*status, body["run"].as_u64()), (200, Some(1)), "{body}");
        }
        assert_eq!(runs(&booking, &key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_claimed_although_the_owner_of_its_partition_died() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let mut entries: BTreeMap<InstanceId, RunningEntry> =
        start_entries(3, platform.address, booking.address)
            .await
            .into_iter()
            .map(|entry| (entry.state.settings.instance.clone(), entry))
            .collect();
    let stream = StreamId::Claims(claim_key("k-1").partition());
    let live = entries.keys().cloned().collect();
    let owner = preferred_owners(&stream.to_string(), &live)[0].clone();
    drop(entries.remove(&owner));
    let (_, entry) = entries.first_key_value().unwrap();
    let (status, body) = book(entry, "k-1", 8000).await;
    assert_eq!(status, 200, "{body}");
    assert_eq!(runs(&booking, "k-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_instance_reports_the_call_of_its_former_incarnation_as_unknown() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entry = start_entries(1, platform.address, booking.address).await.remove(0);
    booking.fault(ServiceFault::LoseAnswers { count: 1, how: LossKind::Silent });
    let caller = entry.caller_address;
    let first = tokio::spawn(async move { book_at(caller, "k-1", 20_000).await });
    until("the run", || runs(&booking, "k-1") == 1).await;
    first.abort();
    let revision = entry.state.tables().revision.0;
    // The leaked state keeps the claim from being closed, as after a crash of the process. Only the
    // tasks of the daemon end.
    std::mem::forget(entry.state.clone());
    drop(entry);

    let again = start_entry("e-1", platform.address, &[]).await;
    until_revision(&again.state, revision).await;
    until("all streams", || banyan_entry::daemon::readiness(&again.state).ready).await;
    let (status, body) = book(&again, "k-1", 800).await;
    assert_eq!(status, 502, "{body}");
    assert_eq!(body["error"]["outcome"], "unknown");
    assert_eq!(runs(&booking, "k-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claimant_that_stood_still_keeps_its_claim_and_ends_it() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(2, platform.address, booking.address).await;
    let (paused, other) = (&entries[0], &entries[1]);
    let Ok(KeyAcquisition::Acquired(mut held)) = turn(paused, "k-1", Duration::from_secs(5)).await
    else {
        panic!("the key was free");
    };
    let repeat = turn(other, "k-1", Duration::from_millis(300)).await;
    assert!(matches!(repeat, Err(Refusal::CallUnknown)), "{repeat:?}");
    held.dispatch();
    let answer = CallOutcome::Answered { status: 200, body: b"done".to_vec() };
    held.close(answer.clone());
    let repeat = turn(other, "k-1", Duration::from_secs(5)).await;
    assert!(matches!(repeat, Ok(KeyAcquisition::Ended(outcome)) if outcome == answer));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_was_given_up_frees_its_key_for_those_that_wait() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(2, platform.address, booking.address).await;
    let Ok(KeyAcquisition::Acquired(held)) = turn(&entries[0], "k-1", Duration::from_secs(5)).await
    else {
        panic!("the key was free");
    };
    let waiting = entries.iter().map(|entry| turn(entry, "k-1", Duration::from_secs(10)));
    let (turns, ()) = tokio::join!(join_all(waiting), async {
        // The repeats must see the open claim before it is released.
        until("the claim at the other instance", || {
            let folds = entries[1].state.folds.tables();
            folds.claims[usize::from(claim_key("k-1").partition())].rows.len() == 1
        })
        .await;
        drop(held);
    });
    let won = turns.iter().filter(|turn| matches!(turn, Ok(KeyAcquisition::Acquired(_)))).count();
    assert_eq!(won, 1, "{turns:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn dropped_claim_of_a_dispatched_call_is_closed_as_unknown() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(1, platform.address, booking.address).await;
    let Ok(KeyAcquisition::Acquired(mut held)) =
        turn(&entries[0], "k-1", Duration::from_secs(5)).await
    else {
        panic!("the key was free");
    };
    held.dispatch();
    drop(held);
    let repeat = turn(&entries[0], "k-1", Duration::from_secs(5)).await;
    assert!(matches!(repeat, Ok(KeyAcquisition::Ended(CallOutcome::Unknown))), "{repeat:?}");
    until("no open claim", || entries[0].state.ledger.open().is_empty()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_calls_succeed_during_a_rolling_replacement_of_all_instances() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let mut entries = start_entries(3, platform.address, booking.address).await;
    let revision = entries[0].state.tables().revision.0;
    for round in 0..3 {
        let stopping_entry = entries.remove(0);
        let callers = [entries[0].caller_address, entries[1].caller_address];
        let (stopped, mut stopping) = tokio::sync::watch::channel(false);
        let stop = async {
            stopping_entry.shutdown().await;
            stopped.send_replace(true);
        };
        let calls = async {
            let mut number = 0;
            while !*stopping.borrow_and_update() {
                let key = format!("k-{round}-{number}");
                let (status, body) = book_at(callers[number % 2], &key, 8000).await;
                assert_eq!((status, runs(&booking, &key)), (200, 1), "{key}: {body}");
                number += 1;
            }
            assert!(number > 0);
        };
        tokio::join!(stop, calls);
        let joined = start_entry(&format!("e-{}", round + 1), platform.address, &[]).await;
        until_revision(&joined.state, revision).await;
        entries.push(joined);
        for entry in &entries {
            until("the peers", || crate::support::usable_peers(entry) == 2).await;
        }
    }
}
