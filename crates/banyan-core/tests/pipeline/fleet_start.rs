//! Tests of the membership of a group, with the load pattern of 300 instances in 9 zones that start
//! at once, exchange digests with 8 peers every 400 ms, and then lose some of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use smol_str::format_smolstr;

use crate::support::at;
use crate::support::zone;
use banyan_core::ids::InstanceId;
use banyan_core::ids::ZoneId;
use banyan_core::pipeline::duties::DutyCapacity;
use banyan_core::pipeline::duties::OwnInstance;
use banyan_core::pipeline::group::GroupTable;
use banyan_core::pipeline::group::MemberStatement;
use banyan_core::pipeline::readers::FeedRole;
use banyan_core::pipeline::readers::FeedSource;
use banyan_core::pipeline::readers::ReaderStatus;
use banyan_core::pipeline::readers::ReaderTable;

/// The time between two choices of the source of the platform's records.
const SOURCE_MS: u64 = 500;
/// The longest time between two rounds, with the timeout of an exchange.
const LONGEST_ROUND: Duration = Duration::from_millis(750);
const TICK_MS: u64 = 10;
const ROUND_MS: u64 = 400;
const PEERS_PER_ROUND: usize = 8;
const MEMBERSHIP_MS: u64 = 700;
const TTL_MS: u64 = 2_200;
/// The time over which the instances start.
const START_MS: u64 = 200;
/// The number of instances from which on a fleet is large.
const SMALL_FLEET: usize = 24;
/// The time for which an instance waits for digests before its first decision by status.
const STARTUP_MS: u64 = 1_200;

/// Which rule decides who joins.
#[derive(Clone, Copy, PartialEq)]
enum JoinRule {
    /// The first three live instances of each zone, by status.
    Standbys,
    /// [`GroupTable`].
    Group,
}

/// The store's view of the group.
#[derive(Default)]
struct StoreGroup {
    generation: u64,
    renewed_ms: BTreeMap<usize, u64>,
}

impl StoreGroup {
    fn expire(&mut self, now_ms: u64) {
        let before = self.renewed_ms.len();
        self.renewed_ms.retain(|_, at| now_ms - *at < TTL_MS);
        self.generation += (before - self.renewed_ms.len()) as u64;
    }

    fn join(&mut self, index: usize, now_ms: u64) {
        self.generation += u64::from(self.renewed_ms.insert(index, now_ms).is_none());
    }

    fn leave(&mut self, index: usize) {
        self.generation += u64::from(self.renewed_ms.remove(&index).is_some());
    }
}

struct Instance {
    name: InstanceId,
    zone: ZoneId,
    started_ms: u64,
    /// The number of instances that were announced when it started.
    listed: usize,
    next_peer: usize,
    is_alive: bool,
    is_member: bool,
    role: FeedRole,
    followed: Option<InstanceId>,
    role_changes: u32,
    group: GroupTable,
    readers: ReaderTable,
}

impl Instance {
    fn own(&self) -> OwnInstance<'_> {
        OwnInstance { name: &self.name, zone: &self.zone, capacity: DutyCapacity(120) }
    }
}

struct Fleet {
    rule: JoinRule,
    now_ms: u64,
    store: StoreGroup,
    instances: Vec<Instance>,
}

impl Fleet {
    fn start(count: usize, rule: JoinRule) -> Self {
        let instance = |index: usize| Instance {
            name: format_smolstr!("instance-{index:04}").parse().expect("a name"),
            zone: zone(&format_smolstr!("z{}", index % 9)),
            started_ms: (index as u64 * 7_919 % START_MS).next_multiple_of(TICK_MS),
            listed: 0,
            next_peer: index * 31,
            is_alive: true,
            is_member: false,
            role: FeedRole::Reader,
            followed: None,
            role_changes: 0,
            group: GroupTable::default(),
            readers: ReaderTable::default(),
        };
        let instance = |index: usize| {
            let mut row = instance(index);
            if rule == JoinRule::Group {
                let rounds = count.div_ceil(PEERS_PER_ROUND) as u32;
                row.readers.set_exchange_cycle(LONGEST_ROUND * rounds);
            }
            row
        };
        let instances = (0..count).map(instance).collect();
        Self { rule, now_ms: 0, store: StoreGroup::default(), instances }
    }

    fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            self.store.expire(self.now_ms);
            for index in 0..self.instances.len() {
                let row = &self.instances[index];
                if !row.is_alive || self.now_ms < row.started_ms {
                    continue;
                }
                let age = self.now_ms - row.started_ms;
                let reads_again = age == 1_100 && row.group.needs_confirmation(&row.own());
                if age == 0 || reads_again {
                    self.read_names(index);
                }
                let listed = self.instances[index].listed;
                if age.is_multiple_of(ROUND_MS) {
                    self.exchange(index);
                }
                if age > 0 && age.is_multiple_of(SOURCE_MS) {
                    self.choose_source(index);
                }
                // An instance that was listed among the first takes the fleet to be small, and does
                // not wait.
                let startup_ms = if listed < SMALL_FLEET { TICK_MS * 2 } else { STARTUP_MS };
                if age >= startup_ms && (age - startup_ms).is_multiple_of(MEMBERSHIP_MS) {
                    self.decide(index);
                }
            }
        }
    }

    fn read_names(&mut self, index: usize) {
        let announced = self.instances.iter().filter(|row| row.started_ms <= self.now_ms);
        let names: BTreeSet<InstanceId> = announced.map(|row| row.name.clone()).collect();
        let row = &mut self.instances[index];
        if row.listed == 0 {
            row.listed = names.len();
        }
        row.group.set_announced(names, at(self.now_ms));
    }

    /// Exchanges what an instance and its next peers know, in both directions.
    fn exchange(&mut self, index: usize) {
        let count = self.instances.len();
        for _ in 0..PEERS_PER_ROUND {
            self.instances[index].next_peer += 1;
            let peer = self.instances[index].next_peer % count;
            let peer_row = &self.instances[peer];
            let answers = peer_row.is_alive && peer_row.started_ms <= self.now_ms;
            if peer != index && answers {
                self.tell(index, peer);
                self.tell(peer, index);
            }
        }
    }

    fn tell(&mut self, from: usize, to: usize) {
        let now = at(self.now_ms);
        let sender = &self.instances[from];
        let status = ReaderStatus {
            zone: sender.zone.clone(),
            address: ([127, 0, 0, 1], from as u16).into(),
            capacity: DutyCapacity(120),
            role: sender.role,
            read_age: (sender.role == FeedRole::Reader).then_some(Duration::ZERO),
        };
        let name = sender.name.clone();
        let same_zone = sender.zone == self.instances[to].zone;
        let followed = sender.followed.clone().filter(|_| same_zone);
        let followed = followed.filter(|name| *name != self.instances[to].name);
        let followed = followed.filter(|_| self.rule == JoinRule::Group);
        let source = followed.and_then(|peer| {
            let status = sender.readers.status(&peer)?.clone();
            Some((peer, status))
        });
        let mut statements: Vec<(InstanceId, MemberStatement)> = sender
            .group
            .statements(now)
            .into_iter()
            .map(|(name, statement)| (name.clone(), statement.clone()))
            .collect();
        if sender.is_member {
            let zone = sender.zone.clone();
            let generation = self.store.generation;
            let own =
                MemberStatement { zone, generation, leads: false, stated: now, confirmed: now };
            statements.push((name.clone(), own));
        }
        let receiver = &mut self.instances[to];
        receiver.readers.record_status(name, status, now);
        if let Some((peer, status)) = source {
            let read_age = Some(Duration::ZERO);
            let status = ReaderStatus { role: FeedRole::Reader, read_age, ..status };
            receiver.readers.record_status(peer, status, now);
        }
        for (name, statement) in statements {
            if name != receiver.name {
                receiver.group.record_statement(name, statement);
            }
        }
    }

    /// Chooses from whom an instance gets the platform's records, and asks that instance.
    fn choose_source(&mut self, index: usize) {
        let now = at(self.now_ms);
        let row = &self.instances[index];
        let role = match row.readers.source(&row.own(), None, now) {
            FeedSource::Store => FeedRole::Reader,
            FeedSource::Peer(peer, address) => {
                let source = &self.instances[usize::from(address.port())];
                let delivers = source.is_alive && source.role == FeedRole::Reader;
                let row = &mut self.instances[index];
                row.followed = delivers.then(|| peer.clone());
                if !delivers {
                    return row.readers.note_failure(&peer, now);
                }
                FeedRole::Follower
            }
        };
        let row = &mut self.instances[index];
        if role == FeedRole::Reader {
            row.followed = None;
        }
        row.role_changes += u32::from(row.role != role);
        row.role = role;
    }

    fn decide(&mut self, index: usize) {
        let now = at(self.now_ms);
        let row = &mut self.instances[index];
        let own = OwnInstance { name: &row.name, zone: &row.zone, capacity: DutyCapacity(120) };
        let heard = row.readers.live_peers(now).count();
        let is_small = row.listed.max(heard) < SMALL_FLEET;
        let belongs = match self.rule {
            _ if is_small => row.readers.is_standby(&own, now),
            JoinRule::Standbys => row.readers.is_standby(&own, now),
            JoinRule::Group => {
                let zone_peers = row.readers.live_zone_peers(&own, now);
                row.group.should_be_member(&own, row.is_member, zone_peers, now)
            }
        };
        match belongs {
            true => self.store.join(index, self.now_ms),
            false => self.store.leave(index),
        }
        row.is_member = belongs;
    }

    fn members(&self) -> usize {
        self.instances.iter().filter(|row| row.is_alive && row.is_member).count()
    }

    /// The zones whose instances are alive while none of them is a member.
    fn zones_without_member(&self) -> usize {
        let alive = || self.instances.iter().filter(|row| row.is_alive);
        let zones: BTreeSet<&ZoneId> = alive().map(|row| &row.zone).collect();
        let with_member: BTreeSet<&ZoneId> =
            alive().filter(|row| row.is_member).map(|row| &row.zone).collect();
        zones.len() - with_member.len()
    }

    fn role_changes(&self) -> u32 {
        self.instances.iter().map(|row| row.role_changes).sum()
    }

    fn readers(&self) -> usize {
        let reads = |row: &&Instance| row.is_alive && row.role == FeedRole::Reader;
        self.instances.iter().filter(reads).count()
    }

    fn kill(&mut self, dies: impl Fn(&Instance) -> bool) {
        for row in &mut self.instances {
            row.is_alive &= !dies(row);
        }
    }

    /// Runs until some live instance is a member, and returns the time that took.
    fn time_to_member(&mut self) -> u64 {
        let from_ms = self.now_ms;
        while self.members() == 0 && self.now_ms < from_ms + 20_000 {
            self.run_until(self.now_ms + 100);
        }
        self.now_ms - from_ms
    }
}

#[test]
fn the_pattern_makes_a_rule_by_short_status_change_members_and_roles_all_the_time() {
    // Observed with the status of peers valid for 6 s while each is heard of every 15 s: each of
    // 305 instances joined, 487 left again, the generation reached 1,082, and roles changed 900
    // times. If this test fails, the pattern of the other tests does not show the fault any more.
    let mut fleet = Fleet::start(300, JoinRule::Standbys);
    fleet.run_until(8_000);
    println!("by status: generation {}", fleet.store.generation);
    assert!(fleet.store.generation > 200, "{}", fleet.store.generation);
    assert!(fleet.role_changes() > 300, "{}", fleet.role_changes());
    let early = fleet.role_changes();
    fleet.run_until(10_000);
    assert!(fleet.role_changes() > early + 50, "{}", fleet.role_changes() - early);
}

#[test]
fn a_start_of_300_instances_changes_the_group_a_handful_of_times() {
    for (count, settled_ms) in [(100, 16_000), (300, 6_000)] {
        let mut fleet = Fleet::start(count, JoinRule::Group);
        // Those that took the fleet to be small at first leave within this time.
        fleet.run_until(settled_ms);
        println!("{count}: generation {}, {} members", fleet.store.generation, fleet.members());
        assert!(fleet.store.generation <= 40, "{count}: {}", fleet.store.generation);
        assert!(fleet.members() >= 6, "{count}: {}", fleet.members());
        assert_eq!(fleet.zones_without_member(), 0, "{count}");
        let settled = fleet.store.generation;
        fleet.run_until(settled_ms + 4_000);
        assert_eq!(fleet.store.generation, settled, "{count}: members come and go");
    }
}

#[test]
fn a_start_has_a_member_within_three_seconds() {
    let mut fleet = Fleet::start(300, JoinRule::Group);
    let time_ms = fleet.time_to_member();
    assert!(time_ms <= 3_000, "{time_ms}");
}

#[test]
fn the_death_of_all_members_leads_to_new_ones() {
    // Failure: all members stop at once, and the others wait for each other.
    for (dead_zones, limit_ms) in [(3, 6_700), (8, 9_000)] {
        let mut fleet = Fleet::start(300, JoinRule::Group);
        fleet.run_until(6_000);
        let before = fleet.store.generation;
        let is_dead_zone =
            |zone: &ZoneId| (0..dead_zones).any(|z| zone.as_str() == format!("z{z}"));
        fleet.kill(|row| row.is_member || is_dead_zone(&row.zone));
        fleet.instances.iter_mut().for_each(|row| row.is_member &= row.is_alive);
        let time_ms = fleet.time_to_member();
        assert!(time_ms <= limit_ms, "{dead_zones}: {time_ms}");
        fleet.run_until(fleet.now_ms + 8_000);
        assert!(fleet.store.generation - before <= 60, "{dead_zones}: {}", fleet.store.generation);
        assert_eq!(fleet.zones_without_member(), 0, "{dead_zones}");
    }
}

#[test]
fn few_survivors_of_many_get_a_member() {
    // Failure: an instance waits for hundreds of stopped ones that are still announced.
    let mut fleet = Fleet::start(300, JoinRule::Group);
    fleet.run_until(6_000);
    fleet.kill(|row| row.is_member || !row.name.as_str().ends_with("77"));
    fleet.instances.iter_mut().for_each(|row| row.is_member &= row.is_alive);
    let time_ms = fleet.time_to_member();
    assert!(time_ms <= 12_000, "{time_ms}");
}

#[test]
fn readers_and_followers_keep_their_roles() {
    // Failure: an instance that has not heard of its zone's reader for a while reads the store.
    let mut fleet = Fleet::start(300, JoinRule::Group);
    fleet.run_until(8_000);
    let early = fleet.role_changes();
    fleet.run_until(14_000);
    let later = fleet.role_changes() - early;
    println!("changes {early}, then {later}");
    assert!(later <= 9, "{later}");
    assert_eq!(fleet.readers(), 9);
    // A reader that dies is replaced in its zone, although its status stays valid for long.
    fleet.kill(|row| row.role == FeedRole::Reader && row.zone.as_str() == "z3");
    fleet.run_until(fleet.now_ms + 8_000);
    assert_eq!(fleet.readers(), 9);
}
