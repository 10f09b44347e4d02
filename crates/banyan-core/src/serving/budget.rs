//! How many retries are allowed: [`RetryBudget`], one a workspace and target group.
//!
//! Requests pay in, retries draw, so that retries stay a fixed share of requests and no outage is
//! followed by a storm of them.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::ids::WorkspaceId;

/// What a retry costs, in hundredths.
const RETRY_COST: u32 = 100;
/// The most that an account saves up, in retries.
const SAVINGS_LIMIT: u32 = 20;

/// The accounts of one instance.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    accounts: BTreeMap<(WorkspaceId, SmolStr), u32>,
}

impl RetryBudget {
    /// Pays in for a first try; `percent` is the number of retries for each hundred requests.
    pub fn pay(&mut self, workspace: &WorkspaceId, group: &SmolStr, percent: u32) {
        let account = self.account(workspace, group);
        *account = (*account + percent).min(SAVINGS_LIMIT * RETRY_COST);
    }

    /// Draws for one retry; false means that it is not allowed.
    pub fn draw(&mut self, workspace: &WorkspaceId, group: &SmolStr) -> bool {
        let account = self.account(workspace, group);
        if *account < RETRY_COST {
            return false;
        }
        *account -= RETRY_COST;
        true
    }

    fn account(&mut self, workspace: &WorkspaceId, group: &SmolStr) -> &mut u32 {
        // A new account starts with some retries, so that the first failure is not fatal.
        self.accounts
            .entry((workspace.clone(), group.clone()))
            .or_insert(SAVINGS_LIMIT * RETRY_COST / 2)
    }
}
