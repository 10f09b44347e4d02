//! The replaceable decision functions: [`DecisionSet`].
//!
//! The entry's library accepts any set. Product programs use [`DecisionSet::product`] and have no
//! setting for it. The naive sets are in a crate that only tests and `banyan-load` link.

use std::collections::BTreeSet;

use crate::ids::LayerRange;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::serving::chain_query::ChainQuery;
use crate::serving::choice;
use crate::serving::choice::StageChoice;
use crate::serving::targets::TargetTable;

/// Chooses a chain of targets.
pub type ChooseChain = fn(&TargetTable, &ChainQuery<'_>) -> Option<Vec<StageChoice>>;
/// Chooses a replacement target for the layers of a failed stage.
pub type ChooseStage = fn(&TargetTable, &ChainQuery<'_>, LayerRange) -> Option<StageChoice>;
/// Chooses a replica of a service.
pub type ChooseReplica = fn(&TargetTable, &ServiceId, &BTreeSet<TargetId>, u64) -> Option<TargetId>;

/// A set of decision functions and switches.
#[derive(Clone, Copy, Debug)]
pub struct DecisionSet {
    /// See [`choice::choose_chain`].
    pub choose_chain: ChooseChain,
    /// See [`choice::choose_stage`].
    pub choose_stage: ChooseStage,
    /// See [`choice::choose_replica`].
    pub choose_replica: ChooseReplica,
    /// Whether requests are queued by fair shares and refused early; otherwise they are served in
    /// order of arrival.
    pub fair_admission: bool,
    /// Whether requests that crash targets are identified and refused.
    pub quarantine: bool,
    /// Whether a failed stage is replaced; otherwise its requests end with an error.
    pub replace_stages: bool,
}

impl DecisionSet {
    /// The set that the product uses.
    pub fn product() -> Self {
        Self {
            choose_chain: choice::choose_chain,
            choose_stage: choice::choose_stage,
            choose_replica: choice::choose_replica,
            fair_admission: true,
            quarantine: true,
            replace_stages: true,
        }
    }
}
