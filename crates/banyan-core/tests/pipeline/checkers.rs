//! Tests of which instance checks a target for others, and of how many probes that saves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use smol_str::format_smolstr;

use crate::support::at;
use crate::support::target;
use banyan_core::ids::InstanceId;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::checkers::CheckerCandidate;
use banyan_core::pipeline::checkers::choose_checker;
use banyan_core::pipeline::duties::DutyCapacity;
use banyan_core::pipeline::suspicion::CheckOutcome;
use banyan_core::pipeline::suspicion::ProbeOutcome;
use banyan_core::pipeline::suspicion::SuspicionTable;

/// The time without a token after which an engine is checked.
const SILENCE: Duration = Duration::from_millis(70);

fn instances(count: usize) -> Vec<(InstanceId, DutyCapacity)> {
    // Every sixth instance is strong.
    let capacity = |index| DutyCapacity(if index % 6 == 0 { 500 } else { 120 });
    let name = |index| format_smolstr!("i{index}").parse().expect("a name");
    (0..count).map(|index| (name(index), capacity(index))).collect()
}

fn engines(count: usize) -> Vec<TargetId> {
    (0..count).map(|index| target(&format!("e{index}"))).collect()
}

fn checker<'a>(id: &TargetId, known: &'a [(InstanceId, DutyCapacity)]) -> &'a InstanceId {
    let candidates =
        known.iter().map(|(instance, capacity)| CheckerCandidate { instance, capacity: *capacity });
    choose_checker(id, candidates).expect("a checker")
}

#[test]
fn all_instances_choose_the_same_checker() {
    let known = instances(20);
    let mut reversed = known.clone();
    reversed.reverse();
    for id in engines(50) {
        assert_eq!(checker(&id, &known), checker(&id, &reversed));
    }
}

#[test]
fn targets_are_spread_by_capacity() {
    let known = instances(24);
    let mut counts: BTreeMap<&InstanceId, u32> = BTreeMap::new();
    let ids = engines(4_000);
    for id in &ids {
        *counts.entry(checker(id, &known)).or_default() += 1;
    }
    let share = |strong: bool| {
        let chosen = known.iter().filter(|(_, capacity)| (capacity.0 == 500) == strong);
        let counts: Vec<u32> = chosen.map(|(instance, _)| counts[instance]).collect();
        f64::from(counts.iter().sum::<u32>()) / counts.len() as f64
    };
    let ratio = share(true) / share(false);
    assert!((3.0..5.5).contains(&ratio), "{ratio} times as many at strong instances, not 4.2");
}

#[test]
fn an_instance_that_leaves_changes_the_checkers_of_its_own_targets_only() {
    let known = instances(20);
    let rest = &known[1..];
    for id in engines(200) {
        let before = checker(&id, &known);
        if *before != known[0].0 {
            assert_eq!(checker(&id, rest), before);
        }
    }
}

/// Replays a moment of high load: for `millis`, no stream of a zone gets an event although all
/// engines are alive, and each instance checks all engines as often as it may. Returns the number
/// of probes.
fn probes_under_load(instance_count: usize, engine_count: usize, millis: u64) -> usize {
    let known = instances(instance_count);
    let ids = engines(engine_count);
    let mut tables: BTreeMap<&InstanceId, SuspicionTable> =
        known.iter().map(|(instance, _)| (instance, SuspicionTable::default())).collect();
    let mut probes = 0;
    for now in (0..millis).step_by(30).map(at) {
        let mut questions: BTreeSet<(&InstanceId, TargetId)> = BTreeSet::new();
        for table in tables.values_mut() {
            let silent = table.silent(ids.iter(), SILENCE, now);
            for id in table.begin_probes(&silent, now) {
                questions.insert((checker(&id, &known), id));
            }
        }
        for (instance, id) in questions {
            let table = tables.get_mut(instance).expect("a table");
            if table.known_outcome(&id, now) == CheckOutcome::Unknown {
                probes += 1;
                table.record_probe(&id, ProbeOutcome::Answered, now);
            }
            for table in tables.values_mut() {
                table.record_check(&id, CheckOutcome::Alive(Duration::ZERO), now);
            }
        }
    }
    probes
}

#[test]
fn probes_do_not_grow_with_the_number_of_instances() {
    // Regression: with 70 instances and 98 engines, 73,000 probes were sent for 15,000 requests,
    // since each instance probed every engine of its silent streams.
    let millis = 3_000;
    let engine_count = 30;
    let few = probes_under_load(5, engine_count, millis);
    let many = probes_under_load(50, engine_count, millis);
    // One probe lasts at least 300 ms for all.
    let limit = engine_count * (millis as usize / 300 + 1);
    assert!(few <= limit && many <= limit, "{few} and {many} probes, at most {limit}");
}
