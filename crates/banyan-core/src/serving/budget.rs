//! Retry budgets: [`RetryBudget`], with one account per workspace and target group.
//!
//! Every first attempt adds credit and every retry uses some, so that retries stay a fixed share of
//! the requests and an outage does not cause a retry storm. A retry is charged to two accounts. The
//! account of its workspace keeps one workspace from using up the retries of the others. The
//! account of its target group bounds the retries to a failing group, however many workspaces there
//! are.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::ids::WorkspaceId;

/// The cost of a retry, in hundredths of a retry.
const RETRY_COST_HUNDREDTHS: u32 = 100;
/// The largest balance of a workspace's account, in retries.
const MAX_BALANCE_RETRIES: u32 = 20;
/// The largest balance of a group's account, in retries.
const MAX_GROUP_BALANCE_RETRIES: u32 = 100;
/// The balance of a new account, in retries. Without it, a workspace could not retry its first
/// failure.
const INITIAL_BALANCE_RETRIES: u32 = 10;
/// The number of workspace accounts at which some are evicted.
const MAX_ACCOUNTS: usize = 16_384;

/// The accounts of one instance, in hundredths of a retry.
///
/// Invariant: from any moment on, the retries of a group are at most `MAX_GROUP_BALANCE_RETRIES`
/// plus the configured percentage of its requests.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    accounts: BTreeMap<(WorkspaceId, SmolStr), u32>,
    groups: BTreeMap<SmolStr, u32>,
}

impl RetryBudget {
    /// Adds credit for a first attempt; `percent` is the number of retries per hundred requests.
    pub fn pay(&mut self, workspace: &WorkspaceId, group: &SmolStr, percent: u32) {
        let account = self.account(workspace, group);
        *account = (*account + percent).min(MAX_BALANCE_RETRIES * RETRY_COST_HUNDREDTHS);
        let account = self.group(group);
        *account = (*account + percent).min(MAX_GROUP_BALANCE_RETRIES * RETRY_COST_HUNDREDTHS);
    }

    /// Charges one retry; returns false if the retry is not allowed.
    pub fn draw(&mut self, workspace: &WorkspaceId, group: &SmolStr) -> bool {
        let own = *self.account(workspace, group);
        let shared = *self.group(group);
        if own < RETRY_COST_HUNDREDTHS || shared < RETRY_COST_HUNDREDTHS {
            return false;
        }
        *self.account(workspace, group) -= RETRY_COST_HUNDREDTHS;
        *self.group(group) -= RETRY_COST_HUNDREDTHS;
        true
    }

    /// The number of accounts, which is a measure of the memory used.
    pub fn len(&self) -> usize {
        self.accounts.len() + self.groups.len()
    }

    /// Whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn account(&mut self, workspace: &WorkspaceId, group: &SmolStr) -> &mut u32 {
        let key = (workspace.clone(), group.clone());
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(&key) {
            self.evict_accounts();
        }
        self.accounts.entry(key).or_insert(INITIAL_BALANCE_RETRIES * RETRY_COST_HUNDREDTHS)
    }

    fn group(&mut self, group: &SmolStr) -> &mut u32 {
        self.groups.entry(group.clone()).or_insert(INITIAL_BALANCE_RETRIES * RETRY_COST_HUNDREDTHS)
    }

    /// Evicts the accounts with at least the initial balance, or all accounts if the others are
    /// still too many. The group accounts still bound the retries.
    fn evict_accounts(&mut self) {
        self.accounts
            .retain(|_, balance| *balance < INITIAL_BALANCE_RETRIES * RETRY_COST_HUNDREDTHS);
        if self.accounts.len() >= MAX_ACCOUNTS {
            self.accounts.clear();
        }
    }
}
