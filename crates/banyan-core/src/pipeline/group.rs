//! Decides which instances of a large fleet are members of the group that chooses the leader:
//! [`GroupTable`].
//!
//! Each change of members raises the group's generation and may change the leader, so that a start
//! of hundreds of instances must not make all of them join. All instances order the announced names
//! alike, by a hash, which spreads the first ones over zones. What members state about themselves
//! spreads in digests, from instance to instance. Members are missing if fewer than
//! [`MIN_MEMBERS`] have been heard of recently. The first names join then, and each further one
//! waits longer, so that it hears of those that joined before it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::ids::ZoneId;
use crate::pipeline::duties::OwnInstance;
use crate::units::Moment;

/// The number of members below which others join. Several survive the loss of a zone or a rack.
pub const MIN_MEMBERS: usize = 6;
/// The number of members that come before an instance from which on it leaves. It is well above
/// [`MIN_MEMBERS`], so that members that joined at the same time stay.
const MAX_EARLIER_MEMBERS: usize = 16;
/// The largest number of statements in a digest: more than the members that stay.
pub const MAX_STATEMENTS: usize = 32;
/// The age from which on a member's statement does not count. A statement reaches 1,000 instances
/// within five rounds of exchanges, mostly of 400 ms, and at most of 750 ms.
const STATEMENT_VALIDITY: Duration = Duration::from_secs(4);
/// The time by which the age of a statement may be too low after it was passed on several times. In
/// an outage, when all members were last answered at about the same time, it must not look as if
/// the group answered the others later.
const STATEMENT_DELAY: Duration = Duration::from_millis(1_500);
/// The time for which a member that fell silent is not expected to join again.
const SILENT_MEMBER_RETENTION: Duration = Duration::from_secs(60);
/// How long members must be missing before an instance joins, since a statement may be late.
const MISSING_TIME: Duration = Duration::from_secs(1);
/// The time in which the statement of a new member reaches other instances.
const SPREAD_TIME: Duration = Duration::from_millis(2_400);
/// The further time that each instance waits for the one before it.
const WAIT_STEP: Duration = Duration::from_millis(160);
/// The longest wait, after which an instance joins however many come before it. All of those may
/// have stopped.
const MAX_WAIT: Duration = Duration::from_secs(6);
/// The time for which a zone may be without a member before one of its instances joins. The last
/// member's statement has expired by then ([`STATEMENT_VALIDITY`]).
const ZONE_MISSING_TIME: Duration = Duration::from_secs(4);
/// The further time that each instance of a zone waits for the one before it.
const ZONE_WAIT_STEP: Duration = Duration::from_millis(800);
/// How long too many members must have been there before one leaves.
const EXCESS_TIME: Duration = Duration::from_secs(10);
/// The shortest time between two readings of the announced names that are both needed before an
/// instance relies on them. Instances that start together are listed one after another.
pub const LISTING_CONFIRMATION: Duration = Duration::from_secs(1);

/// What a member states about itself, as this instance heard it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberStatement {
    /// Its availability zone.
    pub zone: ZoneId,
    /// The generation of the group that it knows.
    pub generation: u64,
    /// Whether it leads.
    pub leads: bool,
    /// When it stated this, by this instance's clock.
    pub stated: Moment,
    /// When the group last answered it.
    pub confirmed: Moment,
}

/// The announced instances and the members among them.
#[derive(Debug, Default)]
pub struct GroupTable {
    announced: BTreeSet<InstanceId>,
    first_listed: Option<Moment>,
    is_confirmed: bool,
    members: BTreeMap<InstanceId, MemberStatement>,
    /// The highest generation under which another instance stated that it leads. Never lowered:
    /// generations of the store's group only rise. If the group is created anew, all instances must
    /// be restarted.
    leading_generation: u64,
    /// Since when members have been missing, or there have been too many.
    missing_since: Option<Moment>,
    zone_missing_since: Option<Moment>,
    excess_since: Option<Moment>,
}

impl GroupTable {
    /// Records a reading of the names of all announced instances.
    pub fn set_announced(&mut self, names: BTreeSet<InstanceId>, now: Moment) {
        let first_listed = *self.first_listed.get_or_insert(now);
        self.is_confirmed |= now.since(first_listed) >= LISTING_CONFIRMATION;
        self.announced = names;
    }

    /// Whether this instance needs a second reading of the names, since it is among the first ones
    /// by the only reading. The others need none, which saves calls to the store.
    pub fn needs_confirmation(&self, own: &OwnInstance<'_>) -> bool {
        !self.is_confirmed && self.position(own, |_| true) < 2 * MIN_MEMBERS
    }

    /// Records what another member states. Older statements are ignored.
    pub fn record_statement(&mut self, name: InstanceId, statement: MemberStatement) {
        if statement.leads {
            self.note_leader(statement.generation);
        }
        let known = self.members.get(&name);
        if known.is_none_or(|known| known.stated < statement.stated) {
            self.members.insert(name, statement);
        }
    }

    /// The newest statements of live members, to pass on to peers.
    pub fn statements(&self, now: Moment) -> Vec<(&InstanceId, &MemberStatement)> {
        let mut live: Vec<_> = self.live_members(now).collect();
        live.sort_by_key(|(_, statement)| std::cmp::Reverse(statement.stated));
        live.truncate(MAX_STATEMENTS);
        live
    }

    /// The members that were heard of recently.
    pub fn live_members(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (&InstanceId, &MemberStatement)> {
        let is_live = move |row: &&MemberStatement| now.since(row.stated) < STATEMENT_VALIDITY;
        self.members.iter().filter(move |(_, row)| is_live(row))
    }

    /// Whether a leader of this generation has been replaced: another instance leads or led under a
    /// higher one, or the group has dropped this instance.
    pub fn has_replaced(&self, generation: u64, confirmed: Moment, ttl: Duration) -> bool {
        self.leading_generation > generation || self.has_dropped(confirmed, ttl)
    }

    /// Whether the group answers others but has not answered this instance since `confirmed`, for
    /// the time after which it drops a member. A group that answers nobody has dropped nobody.
    pub fn has_dropped(&self, confirmed: Moment, ttl: Duration) -> bool {
        let dropped = confirmed + ttl + STATEMENT_DELAY;
        self.members.values().any(|row| row.confirmed > dropped)
    }

    /// When a leader last stated that it leads, if that was recently.
    pub fn leader_heard(&self, now: Moment) -> Option<Moment> {
        let leaders = self.live_members(now).filter(|(_, row)| row.leads);
        leaders.map(|(_, row)| row.stated).max()
    }

    /// Records that another instance states to lead.
    pub fn note_leader(&mut self, generation: u64) {
        self.leading_generation = self.leading_generation.max(generation);
    }

    /// The lowest name among the other members that were heard of recently.
    pub fn lowest_live_member(&self, now: Moment) -> Option<&InstanceId> {
        self.live_members(now).map(|(name, _)| name).next()
    }

    /// Whether this instance should be a member. Called at least once a second. `zone_peers` are
    /// the live instances of its zone.
    pub fn should_be_member<'a>(
        &mut self,
        own: &OwnInstance<'_>,
        is_member: bool,
        zone_peers: impl Iterator<Item = &'a InstanceId>,
        now: Moment,
    ) -> bool {
        self.members.retain(|_, row| now.since(row.stated) < SILENT_MEMBER_RETENTION);
        let is_other = |name: &InstanceId| name != own.name;
        let others = self.live_members(now).filter(|(name, _)| is_other(name));
        let members: BTreeMap<InstanceId, ZoneId> =
            others.map(|(name, row)| (name.clone(), row.zone.clone())).collect();
        if is_member {
            return !self.is_in_excess(own, &members, now);
        }
        self.excess_since = None;
        if !self.is_confirmed && !self.has_waited(now) {
            return false;
        }
        let joins_fleet = self.is_missing_in_fleet(own, &members, now);
        let joins_zone = self.is_missing_in_zone(own, &members, zone_peers, now);
        joins_fleet || joins_zone
    }

    /// Whether an instance with a single reading of the names has waited so long that all those
    /// that started with it are listed or heard of.
    fn has_waited(&self, now: Moment) -> bool {
        self.first_listed.is_some_and(|first| now.since(first) >= SPREAD_TIME)
    }

    /// Whether too many members have come before this one for a while. Members leave one after
    /// another, the last first.
    fn is_in_excess(
        &mut self,
        own: &OwnInstance<'_>,
        members: &BTreeMap<InstanceId, ZoneId>,
        now: Moment,
    ) -> bool {
        let earlier = members.keys().filter(|name| rank(name) < rank(own.name)).count();
        let is_sole_of_zone = !members.values().any(|zone| zone == own.zone);
        if earlier < MAX_EARLIER_MEMBERS || is_sole_of_zone {
            self.excess_since = None;
            return false;
        }
        let since = *self.excess_since.get_or_insert(now);
        now.since(since) >= EXCESS_TIME
    }

    fn is_missing_in_fleet(
        &mut self,
        own: &OwnInstance<'_>,
        members: &BTreeMap<InstanceId, ZoneId>,
        now: Moment,
    ) -> bool {
        let missing = MIN_MEMBERS.saturating_sub(members.len());
        if missing == 0 {
            self.missing_since = None;
            return false;
        }
        let since = *self.missing_since.get_or_insert(now);
        // Members that fell silent have probably stopped, although they are still announced.
        let position = self.position(own, |name| !self.members.contains_key(name));
        let wait = match position.checked_sub(missing) {
            None => MISSING_TIME,
            Some(behind) => (MISSING_TIME + SPREAD_TIME + WAIT_STEP * behind as u32).min(MAX_WAIT),
        };
        now.since(since) >= wait
    }

    fn is_missing_in_zone<'a>(
        &mut self,
        own: &OwnInstance<'_>,
        members: &BTreeMap<InstanceId, ZoneId>,
        zone_peers: impl Iterator<Item = &'a InstanceId>,
        now: Moment,
    ) -> bool {
        if members.values().any(|zone| zone == own.zone) {
            self.zone_missing_since = None;
            return false;
        }
        let since = *self.zone_missing_since.get_or_insert(now);
        let earlier = zone_peers.filter(|name| rank(name) < rank(own.name)).count();
        now.since(since) >= ZONE_MISSING_TIME + (ZONE_WAIT_STEP * earlier as u32).min(MAX_WAIT)
    }

    /// The number of announced instances that come before this one, out of some.
    fn position(&self, own: &OwnInstance<'_>, counts: impl Fn(&InstanceId) -> bool) -> usize {
        let own_rank = rank(own.name);
        self.announced.iter().filter(|name| rank(name) < own_rank && counts(name)).count()
    }
}

/// The order in which instances join.
fn rank(name: &InstanceId) -> (u64, &InstanceId) {
    (xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes()), name)
}
