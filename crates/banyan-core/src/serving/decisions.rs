//! The decisions that have naive counterparts: [`DecisionSet`].
//!
//! The entry's library runs with any set; product programs run with [`DecisionSet::product`] and
//! have no setting for it. The naive sets live in a crate that only tests and `banyan-load` link.

use std::collections::BTreeSet;

use crate::ids::LayerRange;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::serving::choice;
use crate::serving::choice::ChainQuery;
use crate::serving::choice::StageChoice;
use crate::serving::targets::TargetTable;

/// Picks a chain of targets.
pub type ChooseChain = fn(&TargetTable, &ChainQuery<'_>) -> Option<Vec<StageChoice>>;
/// Picks a target for the layers of a dead stage.
pub type ChooseStage = fn(&TargetTable, &ChainQuery<'_>, LayerRange) -> Option<StageChoice>;
/// Picks a replica of a service.
pub type ChooseReplica = fn(&TargetTable, &ServiceId, &BTreeSet<TargetId>, u64) -> Option<TargetId>;

/// One way to decide.
#[derive(Clone, Copy, Debug)]
pub struct DecisionSet {
    /// See [`choice::choose_chain`].
    pub choose_chain: ChooseChain,
    /// See [`choice::choose_stage`].
    pub choose_stage: ChooseStage,
    /// See [`choice::choose_replica`].
    pub choose_replica: ChooseReplica,
    /// Whether requests are queued fairly and refused early; otherwise first come, first served.
    pub fair_admission: bool,
    /// Whether requests that crash targets are found and refused.
    pub quarantine: bool,
    /// Whether a dead stage is replaced; otherwise its requests end in an error.
    pub replace_stages: bool,
}

impl DecisionSet {
    /// The set that the product runs with.
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
