//! Tests of the exchange between instances: the choice of peers, the size of digests and the spread
//! of their entries.

use std::collections::BTreeSet;
use std::time::Duration;

use smol_str::SmolStr;

use banyan_core::ids::InstanceId;
use banyan_core::record::ContentDigest;
use banyan_core::serving::exchange::DIGEST_BYTES;
use banyan_core::serving::exchange::ExchangeState;
use banyan_core::serving::exchange::apply_digest;
use banyan_core::serving::exchange::build_digest;
use banyan_core::serving::exchange::choose_peers;
use banyan_core::serving::limits::LimitTable;
use banyan_core::serving::poison::SuspectTable;
use banyan_core::serving::ring::InstanceRing;
use banyan_core::serving::ring::LiveInstances;
use banyan_core::serving::targets::LeavingSource;
use banyan_core::serving::targets::ReportedLoad;
use banyan_core::serving::targets::TargetTable;
use banyan_core::units::Moment;
use banyan_naive::fixtures::mixed_splits;
use banyan_naive::fixtures::target_name;
use banyan_naive::fixtures::workspace_name;
use banyan_naive::fixtures::zone_name;

/// The state of one instance that takes part in the exchange.
#[derive(Clone)]
struct Instance {
    ring: InstanceRing,
    state: ExchangeState,
    table: TargetTable,
    limits: LimitTable,
    suspects: SuspectTable,
}

fn name(number: usize) -> InstanceId {
    format!("instance-{number:03}").parse().unwrap()
}

fn instances(count: usize, members: u32) -> Vec<Instance> {
    let live: LiveInstances =
        (0..count).map(|number| (name(number), zone_name(number % 3))).collect();
    let mut table = TargetTable::default();
    table.apply_declaration(&mixed_splits(members), Moment(0));
    let instance = |number| Instance {
        ring: InstanceRing::of(&live, &name(number)).unwrap(),
        state: ExchangeState::default(),
        table: table.clone(),
        limits: LimitTable::default(),
        suspects: SuspectTable::default(),
    };
    (0..count).map(instance).collect()
}

/// Runs one round: every instance sends a digest to its peers.
fn run_round(instances: &mut [Instance], round: u64, now: Moment) {
    for own in 0..instances.len() {
        let sender = &mut instances[own];
        let peers = choose_peers(&sender.ring, round);
        let Instance { state, table, limits, suspects, .. } = sender;
        let digest = build_digest(state, table, limits, suspects, now);
        assert!(digest.bytes() <= DIGEST_BYTES);
        for peer in peers {
            let number = (0..instances.len()).find(|number| name(*number) == peer).unwrap();
            let Instance { state, table, limits, suspects, .. } = &mut instances[number];
            apply_digest(state, table, limits, suspects, &digest, now);
        }
    }
}

fn seconds(count: u64) -> Moment {
    Moment(count * 1_000_000)
}

#[test]
fn peer_count_is_fixed_and_every_instance_is_contacted() {
    for count in [2, 3, 4, 7, 50, 470] {
        let instance = &instances(count, 1)[0];
        let mut contacted = BTreeSet::new();
        for round in 0..6000 {
            let peers = choose_peers(&instance.ring, round);
            assert_eq!(peers.len(), 2.min(count - 1));
            assert!(!peers.contains(&name(0)));
            contacted.extend(peers);
        }
        assert_eq!(contacted.len(), count - 1);
    }
}

#[test]
fn leaving_target_spreads_to_all_instances_and_expires_when_it_returns() {
    let mut instances = instances(60, 2);
    let target = target_name(3);
    instances[0].table.note_leaving(&target, LeavingSource::Target, true, seconds(0));
    let sees_leaving = |instance: &Instance| !instance.table.rows[&target].usable();
    let mut round = 0;
    while !instances.iter().all(sees_leaving) {
        round += 1;
        assert!(round <= 12, "some instances do not see it as leaving after {round} rounds");
        run_round(&mut instances, round, Moment(round * 250_000));
    }
    let returned = Moment(round * 250_000);
    instances[0].table.note_leaving(&target, LeavingSource::Target, false, returned);
    for extra_round in 1..=40 {
        let now = returned + Duration::from_millis(250 * extra_round);
        run_round(&mut instances, round + extra_round, now);
    }
    assert!(!instances.iter().any(sees_leaving), "some instances still see it as leaving");
}

#[test]
fn suspect_reported_by_two_instances_is_convicted() {
    let mut instances = instances(7, 1);
    let contents = BTreeSet::from([ContentDigest(7)]);
    let run = SmolStr::new_static("run-1");
    instances[0].suspects.note_crash(&target_name(0), &run, &contents);
    instances[1].suspects.note_crash(&target_name(1), &run, &contents);
    let digest = {
        let Instance { state, table, limits, suspects, .. } = &mut instances[0];
        build_digest(state, table, limits, suspects, seconds(1))
    };
    let Instance { state, table, limits, suspects, .. } = &mut instances[1];
    let convicted = apply_digest(state, table, limits, suspects, &digest, seconds(1));
    assert_eq!(convicted, vec![ContentDigest(7)]);
}

#[test]
fn loads_and_demands_are_sent_in_pages_within_the_size_limit() {
    let mut instances = instances(2, 100);
    let targets = instances[0].table.listing.targets.clone();
    let mut now = seconds(1);
    for number in 0..500 {
        instances[0].limits.take(&workspace_name(number), 1_000_000, 5, seconds(0)).unwrap_err();
    }
    instances[0].limits.tick(seconds(2));
    for target in &targets {
        let report = ReportedLoad { load: 4, measured: seconds(3), ..ReportedLoad::default() };
        instances[0].table.note_report(target, report, seconds(3));
    }
    for round in 0..100 {
        now = seconds(3) + Duration::from_millis(10 * round);
        run_round(&mut instances, round, now);
    }
    let loads = instances[1].table.rows.values().filter(|row| row.expected_load() == 4);
    assert_eq!(loads.count(), targets.len());
    assert_eq!(instances[1].limits.len(), 500, "at {now}");
}

#[test]
fn indices_into_another_target_list_are_ignored() {
    let mut instances = instances(2, 1);
    instances[1].table.apply_declaration(&mixed_splits(2), seconds(0));
    let report = ReportedLoad { load: 4, measured: seconds(1), ..ReportedLoad::default() };
    instances[0].table.note_report(&target_name(0), report, seconds(1));
    run_round(&mut instances, 1, seconds(1));
    assert!(instances[1].table.rows.values().all(|row| row.report.is_none()));
}

#[test]
fn slow_link_is_reported_and_used_until_it_expires() {
    let mut instances = instances(2, 1);
    let target = target_name(0);
    let step = instances[0].table.rows[&target].expected_step();
    for answer in 0..16 {
        let now = seconds(1) + Duration::from_millis(answer);
        instances[0].table.note_ended(&target, Some(step + Duration::from_millis(90)), now);
    }
    let report = ReportedLoad { step_time: step, measured: seconds(1), ..ReportedLoad::default() };
    instances[0].table.note_report(&target, report, seconds(1));
    run_round(&mut instances, 1, seconds(2));
    let link = &instances[1].table.rows[&target].link;
    assert_eq!(link.excess(step, seconds(2)), Duration::from_millis(90));
    assert_eq!(link.excess(step, seconds(8)), Duration::ZERO);
    // A peer's observation is not sent on, because it would then never expire.
    assert_eq!(link.own_excess(step, seconds(2)), None);
}
