//! The waiting requests by workspace: [`WaitingTable`].
//!
//! The table keeps the workspaces sorted by each key that admission queries, so that every query
//! costs the logarithm of the number of workspaces or requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::RequestId;
use crate::ids::WorkspaceId;
use crate::serving::admission_request::AdmissionRequest;
use crate::serving::estimate::SmoothedTime;
use crate::units::Moment;

/// Tags are in thousandths of a token per unit of share.
const TAG_SCALE: u64 = 1000;
/// The number of samples over which the interval between two turns is averaged.
const TURN_INTERVAL_SAMPLES: u32 = 64;
/// The number of accounts above which those of idle workspaces are dropped.
const MAX_IDLE_ACCOUNTS: usize = 16_384;

/// The largest number of queues whose oldest requests are tried at once, which bounds the cost when
/// none fits.
const MAX_TRIED_QUEUES: usize = 16;

/// The waiting requests.
///
/// Invariants: `by_tag`, `by_priority_and_tag` and `backlogs` hold each queue once, under its
/// current keys; a queue holds at least one request; `positions` holds every waiting request.
#[derive(Clone, Debug, Default)]
pub struct WaitingTable {
    queues: BTreeMap<WorkspaceId, WorkspaceQueue>,
    positions: BTreeMap<RequestId, QueuePosition>,
    by_tag: BTreeSet<(u64, WorkspaceId)>,
    by_priority_and_tag: BTreeSet<(u8, u64, WorkspaceId)>,
    backlogs: BTreeSet<(u64, WorkspaceId)>,
    start_deadlines: BTreeSet<(Moment, RequestId)>,
    /// The fair queueing state of each workspace.
    accounts: BTreeMap<WorkspaceId, ShareAccount>,
    /// The virtual time of fair queueing. A workspace that was idle starts from this tag.
    virtual_time: u64,
    /// The sum of the shares of all queues.
    shares: u64,
    /// The arrival number of the newest request.
    arrivals: u64,
}

/// The waiting requests of one workspace, oldest first.
#[derive(Clone, Debug, Default)]
struct WorkspaceQueue {
    requests: BTreeMap<u64, AdmissionRequest>,
    share: u32,
    priority: u8,
}

/// The fair queueing state of one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct ShareAccount {
    /// The granted tokens divided by the share.
    tag: u64,
    /// The mean interval between two turns while the workspace waits.
    turn_interval: SmoothedTime,
    /// When it had its last turn; absent if it had no more waiting requests then.
    last_turn: Option<Moment>,
}

/// The keys under which a waiting request is stored.
#[derive(Clone, Debug)]
struct QueuePosition {
    workspace: WorkspaceId,
    arrival: u64,
    latest: Moment,
}

impl WaitingTable {
    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// All waiting requests.
    pub fn requests(&self) -> impl Iterator<Item = &RequestId> {
        self.positions.keys()
    }

    /// Adds a request that must be admitted by `latest`.
    pub fn push(&mut self, request: AdmissionRequest, latest: Moment) {
        let workspace = request.workspace.clone();
        self.remove_from_orders(&workspace);
        self.arrivals += 1;
        let arrival = self.arrivals;
        let position = QueuePosition { workspace: workspace.clone(), arrival, latest };
        self.start_deadlines.insert((latest, request.request.clone()));
        self.positions.insert(request.request.clone(), position);
        let queue = self.queues.entry(workspace.clone()).or_default();
        queue.share = request.share.max(1);
        queue.priority = request.priority;
        queue.requests.insert(arrival, request);
        self.insert_into_orders(&workspace);
    }

    /// Removes a request.
    pub fn remove(&mut self, request: &RequestId) -> Option<AdmissionRequest> {
        let position = self.positions.remove(request)?;
        self.start_deadlines.remove(&(position.latest, request.clone()));
        self.remove_from_orders(&position.workspace);
        let removed = self.queues.get_mut(&position.workspace)?.requests.remove(&position.arrival);
        self.insert_into_orders(&position.workspace);
        removed
    }

    /// Removes a request that can no longer end in time.
    pub fn pop_expired(&mut self, now: Moment) -> Option<AdmissionRequest> {
        let (latest, request) = self.start_deadlines.first()?;
        if *latest >= now {
            return None;
        }
        let request = request.clone();
        self.remove(&request)
    }

    /// Removes the next request in order and charges its workspace. Requests for which `fits` is
    /// false are passed over, and with them those of the same workspace that arrived later.
    pub fn pop_next(
        &mut self,
        by_priority: bool,
        now: Moment,
        mut fits: impl FnMut(&AdmissionRequest) -> bool,
    ) -> Option<AdmissionRequest> {
        let mut first_fitting = |workspace: &WorkspaceId| {
            let oldest = self.queues.get(workspace)?.requests.values().next()?;
            fits(oldest).then(|| (workspace.clone(), oldest.request.clone()))
        };
        let (workspace, oldest) = if by_priority {
            let in_order = self.by_priority_and_tag.iter().take(MAX_TRIED_QUEUES);
            in_order.map(|key| &key.2).find_map(&mut first_fitting)?
        } else {
            let in_order = self.by_tag.iter().take(MAX_TRIED_QUEUES);
            in_order.map(|key| &key.1).find_map(&mut first_fitting)?
        };
        // The lowest tag of all queues is a lower bound of the virtual time. The tag of the queue
        // with the highest priority may be far ahead of it.
        self.virtual_time = self.virtual_time.max(self.by_tag.first()?.0);
        let request = self.remove(&oldest)?;
        self.charge(&workspace, request.share, request.tokens);
        self.record_turn(&workspace, now);
        Some(request)
    }

    /// Removes the newest request of the workspace with the longest backlog for its share. Returns
    /// `None` if `workspace` with one more request would have at least as long a backlog.
    pub fn pop_from_longest_backlog(
        &mut self,
        workspace: &WorkspaceId,
        share: u32,
    ) -> Option<AdmissionRequest> {
        let own = self.queues.get(workspace).map_or(0, |queue| queue.requests.len() as u64);
        let own = (own + 1) * TAG_SCALE / u64::from(share.max(1));
        let (backlog, longest) = self.backlogs.last()?;
        if longest == workspace || *backlog <= own {
            return None;
        }
        let newest = self.queues.get(longest)?.requests.values().next_back()?.request.clone();
        self.remove(&newest)
    }

    /// Removes the newest request of a queue with the lowest priority of all, if that is below
    /// `priority`.
    pub fn pop_below(&mut self, priority: u8) -> Option<AdmissionRequest> {
        let (_, _, workspace) = self.by_priority_and_tag.last()?;
        if self.lowest_priority()? >= priority {
            return None;
        }
        let newest = self.queues.get(workspace)?.requests.values().next_back()?.request.clone();
        self.remove(&newest)
    }

    /// The lowest priority of all waiting requests.
    pub fn lowest_priority(&self) -> Option<u8> {
        self.by_priority_and_tag.last().map(|(inverse, ..)| u8::MAX - inverse)
    }

    /// The highest priority of all waiting requests.
    pub fn highest_priority(&self) -> Option<u8> {
        self.by_priority_and_tag.first().map(|(inverse, ..)| u8::MAX - inverse)
    }

    /// The number of waiting requests with at least this priority.
    pub fn count_from(&self, priority: u8) -> usize {
        let keys = self.by_priority_and_tag.iter();
        let keys = keys.take_while(|(inverse, ..)| u8::MAX - inverse >= priority);
        keys.filter_map(|key| self.queues.get(&key.2)).map(|queue| queue.requests.len()).sum()
    }

    /// The expected number of requests that are served before a new one of this workspace: all of
    /// its own, and those of the other workspaces that their shares allow in the meantime.
    pub fn expected_ahead(&self, workspace: &WorkspaceId, share: u32) -> u64 {
        let queue = self.queues.get(workspace);
        let own = queue.map_or(0, |queue| queue.requests.len() as u64);
        let share = u64::from(share.max(1));
        let others = self.shares - queue.map_or(0, |queue| u64::from(queue.share));
        let by_share = own + (own + 1) * others / share;
        by_share.min(self.len() as u64)
    }

    /// The expected time until a new request of this workspace has its turn, by the measured
    /// interval between its turns; zero if none was measured.
    pub fn expected_turn_wait(&self, workspace: &WorkspaceId) -> Duration {
        let Some(queue) = self.queues.get(workspace) else { return Duration::ZERO };
        let turn_interval =
            self.accounts.get(workspace).and_then(|account| account.turn_interval.mean());
        turn_interval.unwrap_or_default() * (queue.requests.len() as u32 + 1)
    }

    /// Charges a workspace for tokens while no request waits. The virtual time advances to its tag,
    /// so that an idle workspace later starts from at least this tag.
    pub fn charge_uncontended(&mut self, workspace: &WorkspaceId, share: u32, tokens: u64) {
        self.virtual_time = self.tag(workspace);
        self.charge(workspace, share, tokens);
    }

    /// Charges a workspace for tokens.
    pub fn charge(&mut self, workspace: &WorkspaceId, share: u32, tokens: u64) {
        self.remove_from_orders(workspace);
        let cost = tokens.max(1) * TAG_SCALE / u64::from(share.max(1));
        let tag = self.tag(workspace) + cost;
        self.account(workspace).tag = tag;
        self.insert_into_orders(workspace);
        self.drop_idle_accounts();
    }

    /// Refunds tokens that a workspace was charged for.
    pub fn refund(&mut self, workspace: &WorkspaceId, share: u32, tokens: u64) {
        self.remove_from_orders(workspace);
        let cost = tokens * TAG_SCALE / u64::from(share.max(1));
        let account = self.account(workspace);
        account.tag = account.tag.saturating_sub(cost);
        self.insert_into_orders(workspace);
    }

    fn tag(&self, workspace: &WorkspaceId) -> u64 {
        // An idle workspace gains no credit: its tag starts at the virtual time.
        self.stored_tag(workspace).max(self.virtual_time)
    }

    fn account(&mut self, workspace: &WorkspaceId) -> &mut ShareAccount {
        self.accounts.entry(workspace.clone()).or_default()
    }

    fn record_turn(&mut self, workspace: &WorkspaceId, now: Moment) {
        let still_waiting = self.queues.contains_key(workspace);
        let account = self.account(workspace);
        if let Some(last) = account.last_turn {
            account.turn_interval.record(now.since(last), TURN_INTERVAL_SAMPLES);
        }
        account.last_turn = still_waiting.then_some(now);
    }

    fn drop_idle_accounts(&mut self) {
        if self.accounts.len() <= MAX_IDLE_ACCOUNTS {
            return;
        }
        let (virtual_time, queues) = (self.virtual_time, &self.queues);
        let kept = |tag: u64, workspace: &_| tag > virtual_time || queues.contains_key(workspace);
        self.accounts.retain(|workspace, account| kept(account.tag, workspace));
    }

    /// Removes a queue from the sorted sets, before its keys change.
    fn remove_from_orders(&mut self, workspace: &WorkspaceId) {
        let Some(queue) = self.queues.get(workspace) else { return };
        let (tag, backlog) = (self.stored_tag(workspace), queue.backlog());
        self.by_tag.remove(&(tag, workspace.clone()));
        self.by_priority_and_tag.remove(&(u8::MAX - queue.priority, tag, workspace.clone()));
        self.backlogs.remove(&(backlog, workspace.clone()));
        self.shares -= u64::from(queue.share);
    }

    /// Inserts a queue into the sorted sets, or drops the queue if it is empty.
    fn insert_into_orders(&mut self, workspace: &WorkspaceId) {
        let Some(queue) = self.queues.get(workspace) else { return };
        if queue.requests.is_empty() {
            self.queues.remove(workspace);
            return;
        }
        let (tag, backlog) = (self.tag(workspace), queue.backlog());
        self.by_tag.insert((tag, workspace.clone()));
        self.by_priority_and_tag.insert((u8::MAX - queue.priority, tag, workspace.clone()));
        self.backlogs.insert((backlog, workspace.clone()));
        self.shares += u64::from(queue.share);
        self.account(workspace).tag = tag;
    }

    /// The tag under which a queue is in the sorted sets.
    fn stored_tag(&self, workspace: &WorkspaceId) -> u64 {
        self.accounts.get(workspace).map_or(0, |account| account.tag)
    }
}

impl WorkspaceQueue {
    fn backlog(&self) -> u64 {
        self.requests.len() as u64 * TAG_SCALE / u64::from(self.share)
    }
}
