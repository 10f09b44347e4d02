//! Choice of the checkpoint that a fold starts from, and of the instances that write checkpoints.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use banyan_core::fold::CheckpointInputs;
use banyan_core::fold::CheckpointPolicy;
use banyan_core::fold::CheckpointTable;
use banyan_core::fold::StartChoice;
use banyan_core::fold::StartError;
use banyan_core::fold::checkpoint_facts;
use banyan_core::fold::choose_start;
use banyan_core::fold::is_checkpoint_due;
use banyan_core::ids::InstanceId;
use banyan_core::ids::LogOffset;
use banyan_core::ids::RecordId;
use banyan_core::record::FactBody;
use banyan_core::record::LogEntry;
use banyan_core::record::LogFact;
use banyan_core::record::StreamId;
use banyan_core::rendezvous::owner_rank;
use banyan_core::rendezvous::preferred_owners;
use banyan_core::units::WallMillis;

fn split_facts(next: u64, body: &[u8], part_bytes: usize) -> Vec<LogFact> {
    let mut counter = 0;
    checkpoint_facts(LogOffset(next), WallMillis(next), body, part_bytes, || {
        counter += 1;
        format!("w-{next}-{counter}").parse::<RecordId>().unwrap()
    })
}

fn table(entries: &[(u64, &LogFact)]) -> CheckpointTable {
    let mut table = CheckpointTable::for_start();
    for (offset, fact) in entries {
        let facts = vec![(*fact).clone()];
        table.observe(&LogEntry { offset: LogOffset(*offset), at: WallMillis(*offset), facts });
    }
    table
}

fn from_checkpoint(next: u64, body: &[u8]) -> Result<StartChoice, StartError> {
    Ok(StartChoice::FromCheckpoint { next: LogOffset(next), body: body.to_vec() })
}

#[test]
fn interleaved_parts_of_two_checkpoints_are_not_mixed() {
    let old = split_facts(4, b"old state", 5);
    let new = split_facts(6, b"new state", 5);
    let entries = [(8, &old[0]), (9, &new[1]), (10, &old[1]), (11, &new[0]), (12, &new[1])];
    assert_eq!(choose_start(LogOffset(3), &table(&entries)), from_checkpoint(6, b"new state"));
    let truncated = [(8, &old[0]), (9, &new[1]), (10, &old[1])];
    assert_eq!(choose_start(LogOffset(3), &table(&truncated)), from_checkpoint(4, b"old state"));
}

#[test]
fn a_late_checkpoint_is_unusable_once_the_log_dropped_its_next_entry() {
    let late = split_facts(4, b"state", 100);
    let table = table(&[(50, &late[0])]);
    assert_eq!(choose_start(LogOffset(4), &table), from_checkpoint(4, b"state"));
    let first = LogOffset(5);
    assert_eq!(choose_start(first, &table), Err(StartError::NotCovered { first }));
}

#[test]
fn incomplete_and_impossible_checkpoints_are_not_used() {
    let parts = split_facts(4, b"a longer state", 5);
    let only_first = table(&[(8, &parts[0]), (9, &parts[0])]);
    assert_eq!(choose_start(LogOffset(0), &only_first), Ok(StartChoice::FromEmpty));
    let ahead = split_facts(9, b"state", 100);
    let first = LogOffset(2);
    let expected = Err(StartError::NotCovered { first });
    assert_eq!(choose_start(first, &table(&[(8, &ahead[0])])), expected);
}

#[test]
fn checkpoints_with_different_states_are_skipped() {
    let one = split_facts(6, b"one state", 100);
    let other = split_facts(6, b"another state", 100);
    let older = split_facts(4, b"older state", 100);
    let entries = [(7, &older[0]), (8, &one[0]), (9, &other[0])];
    assert_eq!(choose_start(LogOffset(4), &table(&entries)), from_checkpoint(4, b"older state"));
    let contradiction = Err(StartError::Contradiction { next: LogOffset(6) });
    assert_eq!(choose_start(LogOffset(5), &table(&entries)), contradiction);
    assert_eq!(choose_start(LogOffset(0), &table(&entries[1..])), Ok(StartChoice::FromEmpty));
}

#[test]
fn a_checkpoint_with_a_damaged_part_is_not_used() {
    let mut damaged = split_facts(6, b"one state", 4);
    if let FactBody::Checkpoint { body, .. } = &mut damaged[1].body {
        body[0] ^= 1;
    }
    let entries: Vec<(u64, &LogFact)> = (7..).zip(&damaged).collect();
    let first = LogOffset(5);
    assert_eq!(choose_start(first, &table(&entries)), Err(StartError::NotCovered { first }));
}

#[test]
fn the_preferred_instance_writes_first_and_others_later() {
    let policy = CheckpointPolicy {
        entries: 100,
        age: Duration::from_secs(60),
        wait_per_rank: Duration::from_secs(5),
    };
    let inputs = |next, now, rank| CheckpointInputs {
        next: LogOffset(next),
        newest: (LogOffset(10), WallMillis(1_000)),
        platform_now: WallMillis(now),
        rank,
    };
    assert!(!is_checkpoint_due(&inputs(109, 2_000, 0), &policy));
    assert!(is_checkpoint_due(&inputs(110, 2_000, 0), &policy));
    assert!(!is_checkpoint_due(&inputs(209, 20_000, 1), &policy));
    assert!(is_checkpoint_due(&inputs(210, 20_000, 1), &policy));
    assert!(is_checkpoint_due(&inputs(11, 61_000, 0), &policy));
    assert!(!is_checkpoint_due(&inputs(11, 61_000, 1), &policy));
    assert!(is_checkpoint_due(&inputs(11, 66_000, 1), &policy));
    assert!(!is_checkpoint_due(&inputs(10, 900_000, 0), &policy));
}

#[test]
fn only_the_keys_of_a_leaving_instance_move() {
    let live: BTreeSet<InstanceId> =
        (0..7).map(|i| format!("entry-{i}").parse().unwrap()).collect();
    let leaving: InstanceId = "entry-3".parse().unwrap();
    let mut remaining = live.clone();
    remaining.remove(&leaving);
    let mut keys_by_owner = BTreeMap::new();
    for key in 0..700 {
        let key = format!("key-{key}");
        let before = preferred_owners(&key, &live);
        let after = preferred_owners(&key, &remaining);
        let expected: Vec<InstanceId> = before.iter().filter(|o| **o != leaving).cloned().collect();
        assert_eq!(expected, after);
        *keys_by_owner.entry(before[0].clone()).or_insert(0) += 1;
    }
    assert_eq!(keys_by_owner.len(), 7);
    assert!(keys_by_owner.values().all(|count| (50..150).contains(count)), "{keys_by_owner:?}");
    assert_eq!(owner_rank(StreamId::Configuration, &leaving, &remaining), 6);
}
