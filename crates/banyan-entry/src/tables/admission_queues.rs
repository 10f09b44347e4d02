//! The admission queues of one instance: [`AdmissionTable`].

use std::collections::BTreeMap;

use banyan_core::declaration::Declaration;
use banyan_core::ids::ModelId;
use banyan_core::serving::admission::AdmissionQueue;
use banyan_core::serving::capacity::model_slots;

/// The admission queues of one instance, one per model.
#[derive(Clone, Debug, Default)]
pub struct AdmissionTable {
    /// The queues by model.
    pub queues: BTreeMap<ModelId, AdmissionQueue>,
    /// The number of requests that the engines of each model can run at once, for all instances
    /// together.
    slots: BTreeMap<ModelId, u64>,
}

impl AdmissionTable {
    /// Updates the queues to the declaration in force. The queue of a removed model stays until its
    /// requests have ended.
    pub fn sync(&mut self, declaration: &Declaration) {
        self.slots = model_slots(declaration);
        for model in declaration.models.keys() {
            let queue = self.queues.entry(model.clone()).or_default();
            queue.queue_limit = declaration.policy.queue_limit;
        }
    }

    /// Sets each queue's capacity: an equal share for each of `live` instances, at most `limit`.
    pub fn set_live(&mut self, live: u64, limit: u32) {
        for (model, queue) in &mut self.queues {
            let slots = self.slots.get(model).copied().unwrap_or(0);
            let share = u32::try_from(slots.div_ceil(live.max(1))).unwrap_or(u32::MAX);
            queue.capacity = share.clamp(1, limit);
        }
        self.queues
            .retain(|model, queue| self.slots.contains_key(model) || !queue.active.is_empty());
    }

    /// The number of running requests.
    pub fn active(&self) -> usize {
        self.queues.values().map(|queue| queue.active.len()).sum()
    }
}
