//! Runs generated histories of keyed calls under faults and checks them against a model of the
//! allowed outcomes.
//!
//! `BANYAN_HISTORIES` sets the number of histories and `BANYAN_SEED` the seed. The replies are
//! compared with what the services ran. The naive router must violate the model on the same
//! histories.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRunner;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use support::SystemPlan;
use support::TestSystem;
use support::WAIT_LIMIT;
use support::caller::CallReply;
use support::caller::book_within;
use support::wait_for;
use tokio::runtime::Runtime;
use tokio::time::Instant;

use banyan_naive::router::KeyDeduplication;
use banyan_naive::router::NaiveOptions;
use banyan_naive::router::NaiveRouter;
use banyan_standin::fault::ConnectionFault;
use banyan_standin::fault::LossKind;
use banyan_standin::fault::PlatformFault;
use banyan_standin::fault::ServiceFault;
use banyan_wire::caller::OutcomeWire;

/// The number of entries, and of replicas of the service.
const PAIR: usize = 2;
/// The number of keys that a history uses.
const KEYS: usize = 4;
/// The longest time that a caller waits for a reply.
const CALLER_TIMEOUT: Duration = Duration::from_millis(700);
/// The pause before a call with a refused key is sent again.
const SETTLE_PAUSE: Duration = Duration::from_millis(10);
/// The maximum number of tries to shrink a history that violates the model.
const SHRINK_LIMIT: u32 = 40;

/// One step of a history.
#[derive(Clone, Debug)]
enum CallAction {
    /// A caller makes the key's call through one entry.
    Call { entry: usize, key: usize },
    /// A caller makes the key's call through both entries at once.
    CallBoth { key: usize },
    /// The next answers of a replica are lost although their calls ran.
    LoseAnswers { replica: usize, count: u32, how: LossKind },
    /// The answers of the next appends are lost although the appends took effect.
    LoseAppends { count: u32, how: LossKind },
    /// The next appends are refused and take effect later.
    LateAppends { count: u32, delay_ms: u64 },
    /// The log becomes unavailable or available, separately for reads and appends.
    Outage { reads: bool, appends: bool },
    /// A replica is killed or starts again.
    Replica { replica: usize, up: bool },
}

/// What callers were told about one key, which determines the allowed outcomes.
#[derive(Clone, Debug, Default)]
struct KeyModel {
    /// The answer of the first complete reply. Every other complete reply must equal it.
    answer: Option<Value>,
    /// Whether a reply left the outcome unknown, so that its call may have run.
    may_have_run: bool,
    /// The requests that were told 'not run'; none of them may ever run.
    refused: BTreeSet<SmolStr>,
}

/// A system under test with the model of its keys.
struct CallHistory {
    system: TestSystem,
    callers: [SocketAddr; PAIR],
    keys: BTreeMap<usize, KeyModel>,
}

fn body(key: usize) -> Value {
    json!({ "order": key })
}

impl CallHistory {
    async fn play(&mut self, action: &CallAction) -> Result<(), String> {
        let platform = &self.system.platform;
        match *action {
            CallAction::Call { entry, key } => {
                let reply = self.call(entry, key).await;
                return self.check_replies(key, &[reply]);
            }
            CallAction::CallBoth { key } => {
                let (first, second) = tokio::join!(self.call(0, key), self.call(1, key));
                return self.check_replies(key, &[first, second]);
            }
            CallAction::LoseAnswers { replica, count, how } => {
                self.system.services[replica].fault(ServiceFault::LoseAnswers { count, how });
            }
            CallAction::LoseAppends { count, how } => {
                platform.fault(PlatformFault::LoseAnswers { count, how });
            }
            CallAction::LateAppends { count, delay_ms } => {
                platform.fault(PlatformFault::LateAppends { count, delay_ms });
            }
            CallAction::Outage { reads, appends } => {
                platform.fault(PlatformFault::Outage { reads, appends });
            }
            CallAction::Replica { replica, up } => {
                let fault = if up { ConnectionFault::Restart } else { ConnectionFault::Kill };
                self.system.services[replica].fault(ServiceFault::Connection(fault));
            }
        }
        Ok(())
    }

    async fn call(&self, entry: usize, key: usize) -> CallReply {
        book_within(self.callers[entry], &format!("key-{key}"), &body(key), CALLER_TIMEOUT).await
    }

    /// Records the replies for a key and compares the model with what ran.
    fn check_replies(&mut self, key: usize, replies: &[CallReply]) -> Result<(), String> {
        let model = self.keys.entry(key).or_default();
        for reply in replies {
            match reply.outcome {
                OutcomeWire::NotRun => {
                    let request = &reply.body["error"]["request_id"];
                    model.refused.insert(request.as_str().unwrap_or_default().into());
                }
                OutcomeWire::Unknown => model.may_have_run = true,
                OutcomeWire::Complete => {
                    let answer = model.answer.get_or_insert_with(|| reply.body.clone());
                    if *answer != reply.body {
                        return Err(format!("key {key} has two answers: {answer} {reply:?}"));
                    }
                }
            }
        }
        self.check()
    }

    /// Compares the whole model with what the services ran.
    fn check(&mut self) -> Result<(), String> {
        let rows = self.system.services.iter().flat_map(|service| service.truth().runs);
        let rows: Vec<_> = rows.collect();
        for (key, model) in &mut self.keys {
            let text = body(*key).to_string();
            let own: Vec<_> = rows.iter().filter(|row| row.body == text).collect();
            let was_refused = |request: &Option<SmolStr>| {
                request.as_ref().is_some_and(|request| model.refused.contains(request))
            };
            if own.len() > 1 {
                return Err(format!("key {key} ran {} times: {own:?}", own.len()));
            }
            if let Some(row) = own.iter().find(|row| was_refused(&row.request)) {
                return Err(format!("key {key} was told 'not run' and ran: {row:?}"));
            }
            if model.answer.is_some() && own.is_empty() {
                return Err(format!("key {key} was answered and did not run"));
            }
            let known = model.answer.is_some() || model.may_have_run;
            if !known && !own.is_empty() {
                return Err(format!("key {key} ran and every attempt was told 'not run'"));
            }
        }
        Ok(())
    }

    /// Ends every fault and calls with every key again: a key that never ran must be free.
    async fn settle(&mut self) -> Result<(), String> {
        let platform = &self.system.platform;
        platform.fault(PlatformFault::Outage { reads: false, appends: false });
        platform.fault(PlatformFault::LateAppends { count: 0, delay_ms: 0 });
        platform.fault(PlatformFault::LoseAnswers { count: 0, how: LossKind::Cut });
        for service in &self.system.services {
            service.fault(ServiceFault::Connection(ConnectionFault::Restart));
            service.fault(ServiceFault::LoseAnswers { count: 0, how: LossKind::Cut });
        }
        let limit = Instant::now() + WAIT_LIMIT;
        for key in self.keys.keys().copied().collect::<Vec<_>>() {
            for entry in 0..PAIR {
                self.settle_key(entry, key, limit).await?;
            }
        }
        Ok(())
    }

    async fn settle_key(&mut self, entry: usize, key: usize, limit: Instant) -> Result<(), String> {
        let before = self.keys[&key].clone();
        loop {
            let reply = self.call(entry, key).await;
            self.check_replies(key, std::slice::from_ref(&reply))?;
            match reply.outcome {
                OutcomeWire::NotRun if Instant::now() < limit => {
                    tokio::time::sleep(SETTLE_PAUSE).await;
                }
                OutcomeWire::NotRun => return Err(format!("key {key} is never free: {reply:?}")),
                OutcomeWire::Unknown if !before.may_have_run && before.answer.is_none() => {
                    return Err(format!("key {key} never ran and is unknown: {reply:?}"));
                }
                _ => return Ok(()),
            }
        }
    }
}

fn loss_kind() -> impl Strategy<Value = LossKind> {
    prop_oneof![3 => Just(LossKind::Cut), 1 => Just(LossKind::Silent)]
}

fn action() -> impl Strategy<Value = CallAction> {
    prop_oneof![
        6 => (0..PAIR, 0..KEYS).prop_map(|(entry, key)| CallAction::Call { entry, key }),
        3 => (0..KEYS).prop_map(|key| CallAction::CallBoth { key }),
        2 => (0..PAIR, 1..3u32, loss_kind())
            .prop_map(|(replica, count, how)| CallAction::LoseAnswers { replica, count, how }),
        1 => (1..3u32, loss_kind()).prop_map(|(count, how)| CallAction::LoseAppends { count, how }),
        1 => (1..4u32, 10..900u64)
            .prop_map(|(count, delay_ms)| CallAction::LateAppends { count, delay_ms }),
        1 => any::<bool>().prop_map(|reads| CallAction::Outage { reads, appends: true }),
        2 => Just(CallAction::Outage { reads: false, appends: false }),
        2 => (0..PAIR, any::<bool>())
            .prop_map(|(replica, up)| CallAction::Replica { replica, up }),
    ]
}

fn config() -> Config {
    let number = |name: &str, default: u64| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    Config {
        cases: number("BANYAN_HISTORIES", 12) as u32,
        rng_seed: RngSeed::Fixed(number("BANYAN_SEED", 29)),
        failure_persistence: None,
        ..Config::default()
    }
}

/// A system with the given number of entries of the product; the naive router needs none.
async fn start_system(entries: u32) -> TestSystem {
    let plan =
        SystemPlan { stages: 1, replicas: 1, services: PAIR as u32, entries, ..Default::default() };
    TestSystem::start(plan).await
}

async fn play_all(history: &mut CallHistory, actions: &[CallAction]) -> Result<(), String> {
    for (number, action) in actions.iter().enumerate() {
        let step = |error| format!("step {number}, {action:?}: {error}");
        history.play(action).await.map_err(step)?;
    }
    history.settle().await.map_err(|error| format!("at the end: {error}"))
}

async fn play_product(actions: &[CallAction]) -> Result<(), String> {
    let system = start_system(PAIR as u32).await;
    let callers = [system.caller(0), system.caller(1)];
    play_all(&mut CallHistory { system, callers, keys: BTreeMap::new() }, actions).await
}

async fn play_naive(actions: &[CallAction], keys: KeyDeduplication) -> Result<(), String> {
    let system = start_system(0).await;
    let options = NaiveOptions {
        keys,
        caller_timeout: CALLER_TIMEOUT,
        try_timeout: CALLER_TIMEOUT / 2,
        ..NaiveOptions::new(system.platform.address)
    };
    let routers =
        [NaiveRouter::start(options).await.unwrap(), NaiveRouter::start(options).await.unwrap()];
    for router in &routers {
        wait_for("the declaration", || router.configuration_next() > 0).await;
    }
    let callers = routers.each_ref().map(|router| router.caller_address);
    play_all(&mut CallHistory { system, callers, keys: BTreeMap::new() }, actions).await
}

/// Plays generated histories until one violates the model; returns the violation and the shrunk
/// history.
fn find_violation<F>(max_shrink_iters: u32, play: impl Fn(Vec<CallAction>) -> F) -> Option<String>
where
    F: Future<Output = Result<(), String>>,
{
    let histories = prop::collection::vec(action(), 10..20);
    let runtime = Runtime::new().unwrap();
    let config = Config { max_shrink_iters, ..config() };
    let result = TestRunner::new(config)
        .run(&histories, |actions| runtime.block_on(play(actions)).map_err(TestCaseError::fail));
    match result {
        Ok(()) => None,
        Err(TestError::Fail(reason, actions)) => Some(format!("{reason}\n{actions:#?}")),
        Err(TestError::Abort(reason)) => Some(reason.to_string()),
    }
}

#[test]
fn product_agrees_with_the_model_on_every_history() {
    let violation =
        find_violation(SHRINK_LIMIT, |actions| async move { play_product(&actions).await });
    assert!(violation.is_none(), "{}", violation.unwrap_or_default());
}

/// Asserts that the naive router runs a call twice or after it was told 'not run'.
fn check_naive(keys: KeyDeduplication) {
    let violation = find_violation(0, |actions| async move { play_naive(&actions, keys).await });
    let violation = violation.expect("no history shows that the router is naive");
    let wrong = ["times", "two answers", "every attempt was told 'not run'"];
    assert!(wrong.iter().any(|text| violation.contains(text)), "{violation}");
}

#[test]
fn naive_router_with_keys_in_memory_breaks_the_model() {
    check_naive(KeyDeduplication::Process);
}

#[test]
fn naive_router_with_appended_claims_breaks_the_model() {
    check_naive(KeyDeduplication::LoggedClaims);
}
