//! The account of memory held for callers, under random steps and under single attacks.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;

use banyan_core::caller_memory::HoldId;
use banyan_core::caller_memory::HoldUse;
use banyan_core::caller_memory::MemoryAccount;
use banyan_core::caller_memory::Reservation;
use banyan_core::units::ByteCount;
use banyan_core::units::Moment;

const LIMIT: ByteCount = ByteCount(1_000);

/// One step of a task that holds memory. Holds are named by their position.
#[derive(Clone, Debug)]
enum Step {
    Open(HoldUse),
    Reserve(usize, u64),
    ChangeUse(usize, HoldUse, u64),
    Release(usize),
}

fn any_use() -> impl Strategy<Value = HoldUse> {
    prop::sample::select(HoldUse::ALL.to_vec())
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any_use().prop_map(Step::Open),
        (any::<usize>(), 0..600_u64).prop_map(|(hold, bytes)| Step::Reserve(hold, bytes)),
        (any::<usize>(), any_use(), 0..600_u64)
            .prop_map(|(hold, to, bytes)| Step::ChangeUse(hold, to, bytes)),
        any::<usize>().prop_map(Step::Release),
    ]
}

fn at(ms: u64) -> Moment {
    Moment::default() + Duration::from_millis(ms)
}

fn sum(account: &MemoryAccount) -> u64 {
    HoldUse::ALL.iter().map(|holds_for| account.used_for(*holds_for).0).sum()
}

fn hold(account: &mut MemoryAccount, holds_for: HoldUse, bytes: u64, ms: u64) -> HoldId {
    let id = account.open(holds_for, at(ms));
    assert_eq!(account.reserve(id, ByteCount(bytes), at(ms)), Reservation::Granted);
    id
}

proptest! {
    #[test]
    fn the_sum_stays_within_the_limit_and_everything_is_released(
        steps in prop::collection::vec(any_step(), 0..300)
    ) {
        // Guards against memory that is granted twice, or counted after its hold is gone.
        let mut account = MemoryAccount::new(LIMIT);
        let mut open: Vec<HoldId> = Vec::new();
        let mut ended: BTreeSet<HoldId> = BTreeSet::new();
        for (ms, step) in steps.into_iter().enumerate() {
            let now = at(ms as u64);
            let named = |index: usize| (!open.is_empty()).then(|| open[index % open.len()]);
            match step {
                Step::Open(holds_for) => open.push(account.open(holds_for, now)),
                Step::Reserve(index, bytes) => {
                    let Some(id) = named(index) else { continue };
                    match account.reserve(id, ByteCount(bytes), now) {
                        Reservation::Granted => prop_assert!(!ended.contains(&id)),
                        Reservation::Later(victims) => {
                            prop_assert!(!victims.contains(&id));
                            for victim in victims {
                                prop_assert!(ended.insert(victim), "a hold was ended twice");
                            }
                        }
                        Reservation::Refused => {}
                    }
                }
                Step::ChangeUse(index, to, bytes) => {
                    let Some(id) = named(index) else { continue };
                    let kept = account.change_use(id, to, ByteCount(bytes), now);
                    prop_assert_eq!(kept, !ended.contains(&id));
                }
                Step::Release(index) => {
                    let Some(id) = named(index) else { continue };
                    account.release(id);
                    open.retain(|other| *other != id);
                }
            }
            prop_assert!(account.used().0 <= LIMIT.0);
            prop_assert_eq!(account.used().0, sum(&account));
        }
        for id in open {
            account.release(id);
        }
        prop_assert_eq!(account.used(), ByteCount(0));
        let id = account.open(HoldUse::Receiving, at(1_000));
        prop_assert_eq!(account.reserve(id, LIMIT, at(1_000)), Reservation::Granted);
    }
}

#[test]
fn the_largest_unfinished_body_ends_for_a_small_one() {
    // Guards against ordinary callers that are refused while large bodies are held back.
    let mut account = MemoryAccount::new(LIMIT);
    let _serving = hold(&mut account, HoldUse::Serving, 500, 0);
    let large = hold(&mut account, HoldUse::Receiving, 400, 2);
    let _medium = hold(&mut account, HoldUse::Receiving, 90, 1);
    let small = account.open(HoldUse::Receiving, at(3));
    let wanted = ByteCount(50);
    assert_eq!(account.reserve(small, wanted, at(3)), Reservation::Later(vec![large]));
    // The memory is granted once it is free, and no second hold ends for it.
    assert_eq!(account.reserve(small, wanted, at(4)), Reservation::Later(Vec::new()));
    account.release(large);
    assert_eq!(account.reserve(small, wanted, at(5)), Reservation::Granted);
}

#[test]
fn among_bodies_of_similar_size_the_silent_one_ends() {
    // Guards against an honest large body that ends for one whose caller stopped.
    let mut account = MemoryAccount::new(LIMIT);
    let stopped = hold(&mut account, HoldUse::Receiving, 450, 0);
    let honest = hold(&mut account, HoldUse::Receiving, 500, 5);
    let verdict = account.reserve(honest, ByteCount(60), at(6));
    assert_eq!(verdict, Reservation::Later(vec![stopped]));
}

#[test]
fn requests_that_are_served_do_not_end() {
    // Guards against a request that has run being reported as not run.
    let mut account = MemoryAccount::new(LIMIT);
    let _serving = hold(&mut account, HoldUse::Serving, 600, 0);
    let _collecting = hold(&mut account, HoldUse::Collecting, 400, 0);
    let body = account.open(HoldUse::Receiving, at(1));
    assert_eq!(account.reserve(body, ByteCount(1), at(1)), Reservation::Refused);
}

#[test]
fn an_unread_answer_ends_for_a_body() {
    // Guards against callers that fill the memory with answers and read none.
    let mut account = MemoryAccount::new(LIMIT);
    let answer = hold(&mut account, HoldUse::Collecting, 990, 0);
    assert!(account.change_use(answer, HoldUse::Delivering, ByteCount(990), at(1)));
    let body = account.open(HoldUse::Receiving, at(2));
    assert_eq!(account.reserve(body, ByteCount(20), at(2)), Reservation::Later(vec![answer]));
}

#[test]
fn a_body_of_the_largest_size_fits_a_small_machine() {
    // Guards against a request within the limits that is never served.
    let mut account = MemoryAccount::new(LIMIT);
    account.ensure_limit(ByteCount(5_000));
    hold(&mut account, HoldUse::Receiving, 5_000, 0);
}
