//! What this instance's requests take up at each target: [`LoadTable`].

use std::collections::BTreeMap;

use crate::ids::TargetId;
use crate::units::TokenCount;

/// What this instance has under way at one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// Requests under way.
    pub requests: u32,
    /// Requests under way for which the target is the first of the chain.
    pub first_requests: u32,
    /// Tokens of those requests, times the layers that they pass through here.
    pub token_layers: u64,
}

/// What this instance has under way, by target.
#[derive(Debug, Default)]
pub struct LoadTable {
    rows: BTreeMap<TargetId, TargetLoad>,
}

impl LoadTable {
    /// What is under way at a target.
    pub fn get(&self, id: &TargetId) -> TargetLoad {
        self.rows.get(id).copied().unwrap_or_default()
    }

    /// Adds one request.
    pub fn add(&mut self, id: &TargetId, tokens: TokenCount, layers: u32, first: bool) {
        let row = self.rows.entry(id.clone()).or_default();
        row.requests += 1;
        row.first_requests += u32::from(first);
        row.token_layers += tokens.0 * u64::from(layers);
    }

    /// Takes one request away that was added with the same figures.
    pub fn remove(&mut self, id: &TargetId, tokens: TokenCount, layers: u32, first: bool) {
        let Some(row) = self.rows.get_mut(id) else { return };
        row.requests = row.requests.saturating_sub(1);
        row.first_requests = row.first_requests.saturating_sub(u32::from(first));
        row.token_layers = row.token_layers.saturating_sub(tokens.0 * u64::from(layers));
        if row.requests == 0 {
            self.rows.remove(id);
        }
    }
}
