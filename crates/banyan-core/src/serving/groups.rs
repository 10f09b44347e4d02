//! Groups of interchangeable targets: [`TargetGroups`].
//!
//! A group is all replicas of one service, or all engines that hold the same layers of one model.
//! The choice samples a group's `near` members, so that its cost does not grow with the number of
//! targets. The others are used when no near one is usable.

use std::collections::BTreeMap;

use crate::declaration::Declaration;
use crate::declaration::TargetRole;
use crate::declaration::TargetSpec;
use crate::ids::LayerRange;
use crate::ids::ModelId;
use crate::ids::ServiceId;
use crate::ids::TargetId;

/// The groups of all declared targets.
#[derive(Clone, Debug, Default)]
pub struct TargetGroups {
    /// Engines by model and layers.
    pub engines: BTreeMap<ModelId, BTreeMap<LayerRange, TargetGroup>>,
    /// Replicas by service.
    pub replicas: BTreeMap<ServiceId, TargetGroup>,
}

/// A group of interchangeable targets.
#[derive(Clone, Debug, Default)]
pub struct TargetGroup {
    /// All members, in order.
    pub members: Vec<TargetId>,
    /// The members that this instance samples first. Invariant: a subset of `members`.
    pub near: Vec<TargetId>,
    /// The members that this instance asks for their load. Invariant: a subset of `near`.
    pub watched: Vec<TargetId>,
}

impl TargetGroups {
    /// Builds the groups of a declaration, with every member near and watched.
    pub fn of(declaration: &Declaration) -> Self {
        let mut groups = Self::default();
        for (target, spec) in &declaration.targets {
            groups.entry(spec).members.push(target.clone());
        }
        for group in groups.all_mut() {
            group.near = group.members.clone();
            group.watched = group.members.clone();
        }
        groups
    }

    /// The group of a target with this specification.
    pub fn of_target(&self, spec: &TargetSpec) -> Option<&TargetGroup> {
        match &spec.role {
            TargetRole::Engine { model, layers, .. } => self.engines.get(model)?.get(layers),
            TargetRole::Service { service } => self.replicas.get(service),
        }
    }

    /// All groups.
    pub fn all(&self) -> impl Iterator<Item = &TargetGroup> {
        self.engines.values().flat_map(BTreeMap::values).chain(self.replicas.values())
    }

    /// All groups, mutable.
    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut TargetGroup> {
        let engines = self.engines.values_mut().flat_map(BTreeMap::values_mut);
        engines.chain(self.replicas.values_mut())
    }

    /// The groups of a model's engines whose layers begin at `first`.
    pub fn beginning_at(
        &self,
        model: &ModelId,
        first: u32,
    ) -> impl Iterator<Item = (LayerRange, &TargetGroup)> {
        let from = LayerRange { first, end: 0 };
        let to = LayerRange { first: first + 1, end: 0 };
        let ranges = self.engines.get(model).into_iter();
        ranges
            .flat_map(move |ranges| ranges.range(from..to))
            .map(|(layers, group)| (*layers, group))
    }

    fn entry(&mut self, spec: &TargetSpec) -> &mut TargetGroup {
        match &spec.role {
            TargetRole::Engine { model, layers, .. } => {
                self.engines.entry(model.clone()).or_default().entry(*layers).or_default()
            }
            TargetRole::Service { service } => self.replicas.entry(service.clone()).or_default(),
        }
    }
}
