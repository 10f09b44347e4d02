//! Requests that wait, by workspace: [`LaneTable`].
//!
//! The table keeps its workspaces in the orders that admission asks for, so that every question
//! costs the logarithm of the number of workspaces or requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::RequestId;
use crate::ids::WorkspaceId;
use crate::serving::admission::AdmissionRequest;
use crate::serving::estimate::SmoothedTime;
use crate::units::Moment;

/// Tags count in thousandths of a token for each unit of share.
const TAG_SCALE: u64 = 1000;
/// The samples over which the pause between two turns is averaged.
const PAUSE_SAMPLES: u32 = 64;
/// The accounts of workspaces without waiting requests that are kept.
const IDLE_ACCOUNTS: usize = 16_384;

/// The waiting requests.
///
/// Invariants: `fair`, `urgent` and `backlogs` hold each lane once, under its present keys; a lane
/// holds at least one request; `places` holds every waiting request.
#[derive(Clone, Debug, Default)]
pub struct LaneTable {
    lanes: BTreeMap<WorkspaceId, WorkspaceLane>,
    places: BTreeMap<RequestId, LanePlace>,
    fair: BTreeSet<(u64, WorkspaceId)>,
    urgent: BTreeSet<(u8, u64, WorkspaceId)>,
    backlogs: BTreeSet<(u64, WorkspaceId)>,
    latest: BTreeSet<(Moment, RequestId)>,
    /// What each workspace was given.
    accounts: BTreeMap<WorkspaceId, ShareAccount>,
    /// The tag that every workspace has reached; one that was idle starts from here.
    now: u64,
    /// The shares of all lanes together.
    shares: u64,
    /// Numbers the requests in their order of arrival.
    arrivals: u64,
}

/// The waiting requests of one workspace, oldest first.
#[derive(Clone, Debug, Default)]
struct WorkspaceLane {
    requests: BTreeMap<u64, AdmissionRequest>,
    share: u32,
    priority: u8,
}

/// What a workspace was given.
#[derive(Clone, Copy, Debug, Default)]
struct ShareAccount {
    /// Tokens given, divided by the share.
    tag: u64,
    /// The pause between two turns while the workspace waits.
    pause: SmoothedTime,
    /// When it last had a turn and still waited.
    last_turn: Option<Moment>,
}

/// Where a waiting request stands.
#[derive(Clone, Debug)]
struct LanePlace {
    workspace: WorkspaceId,
    arrival: u64,
    latest: Moment,
}

impl LaneTable {
    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// All waiting requests.
    pub fn requests(&self) -> impl Iterator<Item = &RequestId> {
        self.places.keys()
    }

    /// Adds a request that must be let in by `latest`.
    pub fn push(&mut self, request: AdmissionRequest, latest: Moment) {
        let workspace = request.workspace.clone();
        self.unlist(&workspace);
        self.arrivals += 1;
        let arrival = self.arrivals;
        let place = LanePlace { workspace: workspace.clone(), arrival, latest };
        self.latest.insert((latest, request.request.clone()));
        self.places.insert(request.request.clone(), place);
        let lane = self.lanes.entry(workspace.clone()).or_default();
        lane.share = request.share.max(1);
        lane.priority = request.priority;
        lane.requests.insert(arrival, request);
        self.list(&workspace);
    }

    /// Takes out a request.
    pub fn remove(&mut self, request: &RequestId) -> Option<AdmissionRequest> {
        let place = self.places.remove(request)?;
        self.latest.remove(&(place.latest, request.clone()));
        self.unlist(&place.workspace);
        let removed = self.lanes.get_mut(&place.workspace)?.requests.remove(&place.arrival);
        self.list(&place.workspace);
        removed
    }

    /// Takes out a request that could no longer end in time.
    pub fn pop_late(&mut self, now: Moment) -> Option<AdmissionRequest> {
        let (latest, request) = self.latest.first()?;
        if *latest >= now {
            return None;
        }
        let request = request.clone();
        self.remove(&request)
    }

    /// Takes out the request that goes next and charges its workspace.
    pub fn pop_next(&mut self, by_priority: bool, now: Moment) -> Option<AdmissionRequest> {
        let workspace =
            if by_priority { self.urgent.first()?.2.clone() } else { self.fair.first()?.1.clone() };
        let oldest = self.lanes.get(&workspace)?.requests.values().next()?.request.clone();
        // The least tag is where all stand at least; that of an urgent lane may be far ahead.
        self.now = self.now.max(self.fair.first()?.0);
        let request = self.remove(&oldest)?;
        self.charge(&workspace, request.share, request.tokens);
        self.note_turn(&workspace, now);
        Some(request)
    }

    /// Takes out the newest request of the workspace that has most waiting for its share, unless
    /// that is `workspace`, with one more.
    pub fn pop_longest(&mut self, workspace: &WorkspaceId, share: u32) -> Option<AdmissionRequest> {
        let own = self.lanes.get(workspace).map_or(0, |lane| lane.requests.len() as u64);
        let own = (own + 1) * TAG_SCALE / u64::from(share.max(1));
        let (backlog, longest) = self.backlogs.last()?;
        if longest == workspace || *backlog <= own {
            return None;
        }
        let newest = self.lanes.get(longest)?.requests.values().next_back()?.request.clone();
        self.remove(&newest)
    }

    /// The number of requests that go before a new one of this workspace: all of its own, and as
    /// many of each other as its share allows meanwhile.
    pub fn expected_ahead(&self, workspace: &WorkspaceId, share: u32) -> u64 {
        let lane = self.lanes.get(workspace);
        let own = lane.map_or(0, |lane| lane.requests.len() as u64);
        let share = u64::from(share.max(1));
        let others = self.shares - lane.map_or(0, |lane| u64::from(lane.share));
        let by_share = own + (own + 1) * others / share;
        by_share.min(self.len() as u64)
    }

    /// The time until a new request of this workspace has its turn, by the pace of its last turns;
    /// zero where that is not known.
    pub fn expected_turn(&self, workspace: &WorkspaceId) -> Duration {
        let Some(lane) = self.lanes.get(workspace) else { return Duration::ZERO };
        let pause = self.accounts.get(workspace).and_then(|account| account.pause.mean());
        pause.unwrap_or_default() * (lane.requests.len() as u32 + 1)
    }

    /// Charges a workspace for tokens while nobody waits, so that all start level from here.
    pub fn charge_unopposed(&mut self, workspace: &WorkspaceId, share: u32, tokens: u64) {
        self.now = self.tag(workspace);
        self.charge(workspace, share, tokens);
    }

    /// Charges a workspace for tokens.
    pub fn charge(&mut self, workspace: &WorkspaceId, share: u32, tokens: u64) {
        self.unlist(workspace);
        let cost = tokens.max(1) * TAG_SCALE / u64::from(share.max(1));
        let tag = self.tag(workspace) + cost;
        self.account(workspace).tag = tag;
        self.list(workspace);
        self.forget_idle();
    }

    /// Gives a workspace back tokens that it was charged.
    pub fn refund(&mut self, workspace: &WorkspaceId, share: u32, tokens: u64) {
        self.unlist(workspace);
        let cost = tokens * TAG_SCALE / u64::from(share.max(1));
        let account = self.account(workspace);
        account.tag = account.tag.saturating_sub(cost);
        self.list(workspace);
    }

    fn tag(&self, workspace: &WorkspaceId) -> u64 {
        // A workspace that was idle saves nothing up: it starts level with the others.
        self.listed_tag(workspace).max(self.now)
    }

    fn account(&mut self, workspace: &WorkspaceId) -> &mut ShareAccount {
        self.accounts.entry(workspace.clone()).or_default()
    }

    fn note_turn(&mut self, workspace: &WorkspaceId, now: Moment) {
        let waits = self.lanes.contains_key(workspace);
        let account = self.account(workspace);
        if let Some(last) = account.last_turn {
            account.pause.record(now.since(last), PAUSE_SAMPLES);
        }
        account.last_turn = waits.then_some(now);
    }

    fn forget_idle(&mut self) {
        if self.accounts.len() <= IDLE_ACCOUNTS {
            return;
        }
        let (now, lanes) = (self.now, &self.lanes);
        let kept = |tag: u64, workspace: &_| tag > now || lanes.contains_key(workspace);
        self.accounts.retain(|workspace, account| kept(account.tag, workspace));
    }

    /// Takes a lane out of the orders, before its keys change.
    fn unlist(&mut self, workspace: &WorkspaceId) {
        let Some(lane) = self.lanes.get(workspace) else { return };
        let (tag, backlog) = (self.listed_tag(workspace), lane.backlog());
        self.fair.remove(&(tag, workspace.clone()));
        self.urgent.remove(&(u8::MAX - lane.priority, tag, workspace.clone()));
        self.backlogs.remove(&(backlog, workspace.clone()));
        self.shares -= u64::from(lane.share);
    }

    /// Puts a lane into the orders, or drops it where it is empty.
    fn list(&mut self, workspace: &WorkspaceId) {
        let Some(lane) = self.lanes.get(workspace) else { return };
        if lane.requests.is_empty() {
            self.lanes.remove(workspace);
            return;
        }
        let (tag, backlog) = (self.tag(workspace), lane.backlog());
        self.fair.insert((tag, workspace.clone()));
        self.urgent.insert((u8::MAX - lane.priority, tag, workspace.clone()));
        self.backlogs.insert((backlog, workspace.clone()));
        self.shares += u64::from(lane.share);
        self.account(workspace).tag = tag;
    }

    /// The tag under which a lane is listed.
    fn listed_tag(&self, workspace: &WorkspaceId) -> u64 {
        self.accounts.get(workspace).map_or(0, |account| account.tag)
    }
}

impl WorkspaceLane {
    fn backlog(&self) -> u64 {
        self.requests.len() as u64 * TAG_SCALE / u64::from(self.share)
    }
}
