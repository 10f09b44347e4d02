//! The decisions as each instance runs them: [`InstanceModel`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use banyan_core::ids::InstanceId;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::ids::ZoneId;
use banyan_core::pipeline::chain::ChainChoice;
use banyan_core::pipeline::chain::ChainFilter;
use banyan_core::pipeline::chain::ChainPool;
use banyan_core::pipeline::chain::RequestSize;
use banyan_core::pipeline::fleet::FleetTable;
use banyan_core::pipeline::load::LoadTable;
use banyan_core::pipeline::load::LoadView;
use banyan_core::pipeline::load::PeerLoadTable;
use banyan_core::pipeline::load::TargetLoad;
use banyan_core::pipeline::model::PipelineModel;
use banyan_core::pipeline::prompt_order::PromptPolicy;
use banyan_core::pipeline::prompt_order::PromptRequest;
use banyan_core::pipeline::prompt_order::Urgency;
use banyan_core::pipeline::reservation::UNRESERVED_FULLNESS;
use banyan_core::pipeline::suspicion::SuspicionTable;
use banyan_core::pipeline::target_chain::TargetChain;
use banyan_core::units::Moment;
use banyan_core::units::TokenCount;

/// Which decisions are played.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DecisionKind {
    /// The product's.
    Product,
    /// The product's for a service whose routes are alike, where all prompts are equally urgent.
    Unordered,
    /// The chain with the shortest steps for every request, whatever it carries; nothing is refused,
    /// and an engine is given up only when its record lapses.
    Naive,
}

/// What all instances know alike.
#[derive(Clone, Copy, Debug)]
pub struct KnownWorld<'a> {
    /// Which decisions are played.
    pub kind: DecisionKind,
    /// The model.
    pub model: &'a PipelineModel,
    /// The service that its engines belong to.
    pub service: &'a ServiceId,
    /// The engines, as their records say.
    pub fleet: &'a FleetTable,
    /// How the routes of the service differ.
    pub policy: Option<&'a Arc<PromptPolicy>>,
}

/// One instance.
#[derive(Debug)]
pub struct InstanceModel {
    /// Its name.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// What it has under way.
    pub loads: LoadTable,
    /// What it heard of its peers.
    pub peers: PeerLoadTable,
    /// Whom it doubts.
    pub suspicions: SuspicionTable,
    pool: ChainPool,
}

impl InstanceModel {
    /// An instance that knows nothing yet.
    pub fn new(id: InstanceId, zone: ZoneId) -> Self {
        Self {
            pool: ChainPool::for_instance(&id),
            id,
            zone,
            loads: LoadTable::default(),
            peers: PeerLoadTable::default(),
            suspicions: SuspicionTable::default(),
        }
    }

    /// The chain for a request that uses none of `avoided`.
    pub fn choose(
        &mut self,
        known: &KnownWorld<'_>,
        size: RequestSize,
        avoided: &[TargetId],
        now: Moment,
    ) -> Option<ChainChoice> {
        let KnownWorld { kind, model, service, fleet, policy } = known;
        self.pool.refresh(model, service, 1, fleet, &self.suspicions, now);
        if *kind == DecisionKind::Naive {
            return self.choose_quickest();
        }
        self.pool.prompts.set_policy(policy.filter(|_| *kind == DecisionKind::Product));
        let view = LoadView { own: &self.loads, peers: &self.peers, peer_scale: 1.0 };
        let closed = BTreeSet::new();
        let filter = ChainFilter { avoided, closed: &closed, max_fullness: UNRESERVED_FULLNESS };
        let live_peers = self.peers.live_peer_count(now);
        self.pool.choose(&view, &self.zone, size, live_peers, filter)
    }

    /// Counts the prompt of a new request.
    pub fn note_prompt(&mut self, prompt: TokenCount) {
        self.pool.prompts.note_prompt(prompt);
    }

    /// The urgency that it tells the engines of a chosen chain.
    pub fn urgency(&self, request: &PromptRequest, choice: &ChainChoice) -> Option<Urgency> {
        self.pool.prompts.urgency(request, choice)
    }

    /// What it tells its peers.
    pub fn digest(&self) -> BTreeMap<TargetId, TargetLoad> {
        self.loads.rows().map(|(id, load)| (id.clone(), load)).collect()
    }

    /// Takes up room at a chain, or gives it back.
    pub fn lease(&mut self, chain: &TargetChain, tokens: TokenCount, taken: bool) {
        for (index, part) in chain.parts.iter().enumerate() {
            let layers = part.range.count();
            if taken {
                self.loads.add(&part.target, tokens, layers, index == 0);
            } else {
                self.loads.remove(&part.target, tokens, layers, index == 0);
            }
        }
    }

    fn choose_quickest(&self) -> Option<ChainChoice> {
        let quickest = self.pool.chains().iter().min_by_key(|chain| chain.step_time)?;
        let first_event = quickest.step_time;
        Some(ChainChoice {
            chain: quickest.clone(),
            fullness: 0.0,
            least_fullness: 0.0,
            first_event,
        })
    }
}
