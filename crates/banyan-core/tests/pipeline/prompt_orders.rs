//! Tests of the order of long and short prompts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use smol_str::SmolStr;

use crate::support::at;
use crate::support::fleet;
use crate::support::layers;
use crate::support::model;
use crate::support::service;
use crate::support::target;
use crate::support::zone;
use banyan_core::pipeline::chain::ChainChoice;
use banyan_core::pipeline::chain::ChainFilter;
use banyan_core::pipeline::chain::ChainPool;
use banyan_core::pipeline::chain::RequestSize;
use banyan_core::pipeline::load::LoadTable;
use banyan_core::pipeline::load::LoadView;
use banyan_core::pipeline::load::PeerLoadTable;
use banyan_core::pipeline::prompt_order::PromptMix;
use banyan_core::pipeline::prompt_order::PromptPolicy;
use banyan_core::pipeline::prompt_order::PromptRequest;
use banyan_core::pipeline::prompt_order::Urgency;
use banyan_core::pipeline::reservation::UNRESERVED_FULLNESS;
use banyan_core::pipeline::routes::CallerLimits;
use banyan_core::pipeline::routes::KeyOwner;
use banyan_core::pipeline::routes::RouteKind;
use banyan_core::pipeline::routes::RouteSpec;
use banyan_core::pipeline::routes::RouteTable;
use banyan_core::pipeline::routes::ServiceShare;
use banyan_core::pipeline::suspicion::SuspicionTable;
use banyan_core::units::ByteCount;
use banyan_core::units::TokenCount;

const SHORT: TokenCount = TokenCount(800);
const LONG: TokenCount = TokenCount(8_000);
const LATENCY_TARGET: Duration = Duration::from_secs(1);

/// A route of the engines' service with its own terms.
fn route(priority: u8, latency_ms: u64, pause_ms: Option<u64>) -> RouteSpec {
    RouteSpec {
        name: SmolStr::new("chat"),
        host: SmolStr::new("one.example"),
        prefix: SmolStr::new(format!("/{priority}/{latency_ms}/{}/", pause_ms.unwrap_or(0))),
        kind: RouteKind::ResumableStream,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_millis(latency_ms),
        pause_target: pause_ms.map(Duration::from_millis),
        max_attempts: 2,
        priority,
        open: false,
        shares: vec![ServiceShare { service: service(), weight: 1 }],
    }
}

fn policy(routes: &[RouteSpec], owner_priority: Option<u8>) -> Option<Arc<PromptPolicy>> {
    let owner = KeyOwner { workspace: "w1".parse().expect("a name"), priority: owner_priority };
    let limits = CallerLimits {
        head_size: ByteCount(1_000),
        body_size: ByteCount(1_000),
        head_time: Duration::from_secs(1),
        idle_time: Duration::from_secs(1),
    };
    let keys = BTreeMap::from([(SmolStr::new("k1"), owner)]);
    let table = RouteTable::new(1, routes.to_vec(), Vec::new(), limits, Some(keys));
    table.prompt_policy(&service()).cloned()
}

/// The policy of two priorities.
fn two_priorities() -> Arc<PromptPolicy> {
    policy(&[route(0, 1_000, None), route(1, 1_000, None)], None).expect("a policy")
}

/// One quick and two slow chains in one zone, for a service with recent prompts.
fn pool(policy: Option<&Arc<PromptPolicy>>, recent: &[TokenCount]) -> ChainPool {
    let fleet = fleet(&[
        ("quick", "a", "fast-vast", layers(0, 80)),
        ("slow-1", "a", "slow-vast", layers(0, 80)),
        ("slow-2", "a", "slow-vast", layers(0, 80)),
    ]);
    let mut pool = ChainPool::default();
    pool.refresh(&model(), &service(), 1, &fleet, &SuspicionTable::default(), at(0));
    pool.prompts.set_policy(policy);
    recent.iter().for_each(|prompt| pool.prompts.note_prompt(*prompt));
    pool
}

fn choose(pool: &mut ChainPool, loads: &LoadTable, prompt: TokenCount) -> Option<ChainChoice> {
    let peers = PeerLoadTable::default();
    let view = LoadView { own: loads, peers: &peers, peer_scale: 1.0 };
    let size = RequestSize { prompt, total: TokenCount(prompt.0 + 150) };
    let closed = BTreeSet::new();
    let filter = ChainFilter { avoided: &[], closed: &closed, max_fullness: UNRESERVED_FULLNESS };
    pool.choose(&view, &zone("a"), size, 0, filter)
}

fn request(prompt: TokenCount, priority: u8, waited_ms: u64) -> PromptRequest {
    PromptRequest {
        prompt,
        priority,
        latency_target: LATENCY_TARGET,
        waited: Duration::from_millis(waited_ms),
        resuming: false,
    }
}

fn level(pool: &mut ChainPool, request: PromptRequest) -> u8 {
    let choice = choose(pool, &LoadTable::default(), request.prompt).expect("a chain");
    pool.prompts.urgency(&request, &choice).expect("an urgency").level()
}

/// A mix with one long prompt in ten.
fn one_in_ten() -> Vec<TokenCount> {
    (0..200).map(|index| if index % 10 == 0 { LONG } else { SHORT }).collect()
}

#[test]
fn a_service_has_a_policy_only_if_its_routes_differ() {
    // Guards against effects on services whose requests are all alike.
    let usual = route(1, 500, Some(200));
    let renamed = RouteSpec { prefix: SmolStr::new("/other/"), ..usual.clone() };
    assert_eq!(policy(&[usual.clone(), renamed.clone()], None), None);
    assert_eq!(policy(&[usual.clone(), renamed], Some(0)), None);
    for other in [route(0, 500, Some(200)), route(1, 900, Some(200)), route(1, 500, None)] {
        assert!(policy(&[usual.clone(), other.clone()], None).is_some(), "{other:?}");
    }
    let mut elsewhere = route(0, 900, None);
    elsewhere.shares[0].service = "other".parse().expect("a name");
    assert_eq!(policy(&[usual, elsewhere], None), None);
}

#[test]
fn a_long_prompt_with_time_left_yields_to_short_ones_until_its_slack_is_used_up() {
    // Guards against long prompts that hold up short ones, and against long prompts that starve.
    let mut pool = pool(Some(&two_priorities()), &one_in_ten());
    let short = level(&mut pool, request(SHORT, 0, 0));
    let levels: Vec<u8> =
        (0..=10).map(|tenth| level(&mut pool, request(LONG, 0, tenth * 100))).collect();
    assert!(levels[0] > short, "{levels:?}");
    assert!(levels.is_sorted_by(|earlier, later| earlier >= later), "{levels:?}");
    assert_eq!(levels[10], short, "{levels:?}");
    assert_eq!(levels[8], short, "it yields although it would be late: {levels:?}");
}

#[test]
fn a_prompt_whose_prefill_takes_most_of_its_target_yields_to_none() {
    // Guards against passing over a prompt that is on time only if it begins at once.
    let mut pool = pool(Some(&two_priorities()), &one_in_ten());
    let huge = TokenCount(60_000);
    assert_eq!(level(&mut pool, request(huge, 0, 0)), level(&mut pool, request(SHORT, 0, 0)));
}

#[test]
fn requests_with_a_longer_latency_target_yield_to_others_of_their_priority() {
    let mut pool = pool(Some(&two_priorities()), &[SHORT; 20]);
    let patient = PromptRequest { latency_target: Duration::from_secs(8), ..request(SHORT, 0, 0) };
    assert!(level(&mut pool, patient) > level(&mut pool, request(SHORT, 0, 0)));
}

#[test]
fn resumed_streams_come_before_all_new_requests() {
    let resumed = PromptRequest { resuming: true, ..request(LONG, 1, 0) };
    let mut ranked = pool(Some(&two_priorities()), &one_in_ten());
    assert!(level(&mut ranked, resumed) < level(&mut ranked, request(SHORT, 0, 0)));
    let mut plain = pool(None, &one_in_ten());
    let choice = choose(&mut plain, &LoadTable::default(), LONG).expect("a chain");
    assert_eq!(plain.prompts.urgency(&resumed, &choice), Some(Urgency::RESUMED));
    assert_eq!(Urgency::RESUMED.level(), 1);
}

#[test]
fn a_long_prompt_avoids_an_engine_with_a_backlog_while_another_has_none() {
    // Guards against long prompts that queue up on the quickest engine.
    let policy = two_priorities();
    let mut pool = pool(Some(&policy), &one_in_ten());
    let mut loads = LoadTable::default();
    let first = choose(&mut pool, &loads, LONG).expect("a chain");
    assert_eq!(first.chain.parts[0].target, target("quick"));
    loads.add_pending_prefill(&target("quick"), TokenCount(43_000));
    let second = choose(&mut pool, &loads, LONG).expect("a chain");
    assert_ne!(second.chain.parts[0].target, target("quick"));
    for slow in ["slow-1", "slow-2"] {
        loads.add_pending_prefill(&target(slow), TokenCount(9_000));
    }
    assert!(choose(&mut pool, &loads, LONG).is_some(), "nothing is left");
}

#[test]
fn a_long_prompt_goes_where_its_prefill_delays_fewer_requests() {
    // Guards against long prompts on an engine with many running requests, for a gain of a few
    // hundredths of a second.
    let mut loads = LoadTable::default();
    loads.add_pending_prefill(&target("quick"), TokenCount(60_000));
    loads.add(&target("slow-1"), TokenCount(100_000), 80, true);
    loads.add_pending_prefill(&target("slow-2"), TokenCount(1_000));
    let engine = |pool: &mut ChainPool| {
        let choice = choose(pool, &loads, TokenCount(6_000)).expect("a chain");
        choice.chain.parts[0].target.clone()
    };
    assert_eq!(engine(&mut pool(None, &one_in_ten())), target("slow-1"));
    assert_eq!(engine(&mut pool(Some(&two_priorities()), &one_in_ten())), target("slow-2"));
}

proptest! {
    /// Guards against any effect where the routes are alike, or where the prompts are.
    #[test]
    fn without_a_policy_or_long_prompts_choices_are_as_before(
        steps in prop::collection::vec((1_u64..50_000, 0_u64..60_000, 0_usize..3), 1..40),
        ranked in any::<bool>(),
    ) {
        let policy = two_priorities();
        let mut before = pool(None, &[]);
        let mut now = pool(ranked.then_some(&policy), &[]);
        let mut loads = LoadTable::default();
        for (prompt, pending, engine) in steps {
            let prompt = if ranked { SHORT } else { TokenCount(prompt) };
            now.prompts.note_prompt(prompt);
            let expected = choose(&mut before, &loads, prompt);
            let chosen = choose(&mut now, &loads, prompt);
            let facts = |choice: &ChainChoice| {
                (choice.chain.clone(), choice.fullness.to_bits(), choice.first_event)
            };
            prop_assert_eq!(expected.as_ref().map(facts), chosen.as_ref().map(facts));
            if let Some(choice) = chosen && !ranked {
                prop_assert_eq!(now.prompts.urgency(&request(prompt, 1, 0), &choice), None);
            }
            let id = target(["quick", "slow-1", "slow-2"][engine]);
            loads.add_pending_prefill(&id, TokenCount(pending));
            loads.add(&id, prompt, 80, true);
        }
    }

    /// Guards against a request that passes one of a more urgent priority because of its slack.
    #[test]
    fn priorities_come_before_slack(
        priorities in prop::collection::btree_set(any::<u8>(), 2..9),
        prompts in (1_u64..200_000, 1_u64..200_000),
        waited in (0_u64..3_000, 0_u64..3_000),
        owner in any::<u8>(),
    ) {
        let routes: Vec<_> = priorities.iter().map(|one| route(*one, 1_000, None)).collect();
        let policy = policy(&routes, Some(owner)).expect("a policy");
        let mut pool = pool(Some(&policy), &one_in_ten());
        let first = *priorities.first().expect("two");
        let last = *priorities.last().expect("two");
        let urgent = request(TokenCount(prompts.0), first, waited.0);
        let other = request(TokenCount(prompts.1), last, waited.1);
        prop_assert!(level(&mut pool, urgent) < level(&mut pool, other));
        prop_assert!(level(&mut pool, other) <= 9);
    }
}

#[test]
fn all_long_prompts_are_usual() {
    // Guards against a service of long prompts that all yield to nobody in particular.
    let mut mix = PromptMix::default();
    mix.set_policy(Some(&two_priorities()));
    (0..100).for_each(|_| mix.note_prompt(LONG));
    assert!(!mix.is_long(LONG));
    (0..100).for_each(|_| mix.note_prompt(SHORT));
    assert!(!mix.is_long(SHORT));
}
