//! How many retries are allowed: [`RetryBudget`], one a workspace and target group.
//!
//! Requests pay in, retries draw, so that retries stay a fixed share of requests and no outage is
//! followed by a storm of them. A retry draws from the account of its workspace and from that of
//! its target group: the first keeps one workspace from using up the others' retries, the second
//! bounds what a failing group gets however many workspaces there are.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::ids::WorkspaceId;

/// What a retry costs, in hundredths.
const RETRY_COST: u32 = 100;
/// The most that a workspace's account saves up, in retries.
const SAVINGS_LIMIT: u32 = 20;
/// The most that a group's account saves up, in retries.
const GROUP_SAVINGS_LIMIT: u32 = 100;
/// What a new account holds, in retries, so that the first failure is not fatal.
const STARTING_SAVINGS: u32 = 10;
/// The accounts that are kept; those of quiet workspaces are dropped first.
const ACCOUNT_LIMIT: usize = 16_384;

/// The accounts of one instance, in hundredths of a retry.
///
/// Invariant: from any moment on, a group's retries are at most `GROUP_SAVINGS_LIMIT` and the
/// paid percentage of its requests.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    accounts: BTreeMap<(WorkspaceId, SmolStr), u32>,
    groups: BTreeMap<SmolStr, u32>,
}

impl RetryBudget {
    /// Pays in for a first try; `percent` is the number of retries for each hundred requests.
    pub fn pay(&mut self, workspace: &WorkspaceId, group: &SmolStr, percent: u32) {
        let account = self.account(workspace, group);
        *account = (*account + percent).min(SAVINGS_LIMIT * RETRY_COST);
        let account = self.group(group);
        *account = (*account + percent).min(GROUP_SAVINGS_LIMIT * RETRY_COST);
    }

    /// Draws for one retry; false means that it is not allowed.
    pub fn draw(&mut self, workspace: &WorkspaceId, group: &SmolStr) -> bool {
        let own = *self.account(workspace, group);
        let shared = *self.group(group);
        if own < RETRY_COST || shared < RETRY_COST {
            return false;
        }
        *self.account(workspace, group) -= RETRY_COST;
        *self.group(group) -= RETRY_COST;
        true
    }

    /// The number of accounts, for the size of the state.
    pub fn len(&self) -> usize {
        self.accounts.len() + self.groups.len()
    }

    /// Whether no account was opened yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn account(&mut self, workspace: &WorkspaceId, group: &SmolStr) -> &mut u32 {
        let key = (workspace.clone(), group.clone());
        if self.accounts.len() >= ACCOUNT_LIMIT && !self.accounts.contains_key(&key) {
            self.drop_accounts();
        }
        self.accounts.entry(key).or_insert(STARTING_SAVINGS * RETRY_COST)
    }

    fn group(&mut self, group: &SmolStr) -> &mut u32 {
        self.groups.entry(group.clone()).or_insert(STARTING_SAVINGS * RETRY_COST)
    }

    /// Drops the accounts that lost nothing by it, else all: the groups' accounts still bound the
    /// retries.
    fn drop_accounts(&mut self) {
        self.accounts.retain(|_, savings| *savings < STARTING_SAVINGS * RETRY_COST);
        if self.accounts.len() >= ACCOUNT_LIMIT {
            self.accounts.clear();
        }
    }
}
