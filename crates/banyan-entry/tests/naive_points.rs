//! Shows for each point that the product must keep how a naive router violates it, by what the
//! stand-ins ran.
//!
//! Every test names the test in which the product keeps the point under the same fault.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use serde_json::json;
use support::SystemPlan;
use support::TestSystem;
use support::WAIT_LIMIT;
use support::append_proposal;
use support::caller::AnswerStream;
use support::caller::call;
use support::caller::open_stream;
use support::truth::assert_whole;
use support::truth::step_runs;
use support::wait_for;
use tokio::time::Instant;

use banyan_core::fold::ConfigurationFold;
use banyan_core::fold::checkpoint_facts;
use banyan_core::ids::LogOffset;
use banyan_core::units::WallMillis;
use banyan_http::client::JsonClient;
use banyan_naive::router::KeyDeduplication;
use banyan_naive::router::NaiveOptions;
use banyan_naive::router::NaiveRouter;
use banyan_naive::router::StepFailure;
use banyan_standin::fault::ConnectionFault;
use banyan_standin::fault::EngineFault;
use banyan_standin::fault::LossKind;
use banyan_standin::fault::PlatformFault;
use banyan_standin::fault::ServiceFault;
use banyan_standin::reference::expected_answer;
use banyan_wire::caller::OutcomeWire;
use banyan_wire::checkpoint::encode_configuration;
use banyan_wire::log::decode_entry;
use banyan_wire::log::encode_facts;
use banyan_wire::platform::InstanceRole;
use banyan_wire::platform::InstanceState;
use banyan_wire::platform::InstanceWire;

/// The number of tokens of an answer that continues long after the fault.
const LONG_ANSWER: u64 = 120;
/// The time after the first sign of leaving during which a target may still get new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// A system without entries of the product.
async fn bare_system(stages: u32, replicas: u32, services: u32) -> TestSystem {
    let plan = SystemPlan { stages, replicas, services, entries: 0, ..Default::default() };
    TestSystem::start(plan).await
}

/// A naive router that has read the declaration.
async fn start_router(
    system: &TestSystem,
    adjust: impl FnOnce(&mut NaiveOptions),
) -> Arc<NaiveRouter> {
    let mut options = NaiveOptions::new(system.platform.address);
    adjust(&mut options);
    let router = NaiveRouter::start(options).await.unwrap();
    wait_for("the router has read the declaration", || router.configuration_next() > 0).await;
    Arc::new(router)
}

fn runs(system: &TestSystem) -> usize {
    system.services.iter().map(|service| service.truth().runs.len()).sum()
}

/// Reads an answer through the router, with a fault after its first tokens.
async fn answer_with_fault(
    system: &TestSystem,
    router: &NaiveRouter,
    stage: usize,
    fault: EngineFault,
) -> AnswerStream {
    let mut answer = open_stream(router.caller_address, "a note", LONG_ANSWER).await.unwrap();
    answer.read_tokens(3).await;
    system.engines[stage][0].fault(fault);
    answer.read_all().await;
    answer
}

fn reports_complete(answer: &AnswerStream) -> bool {
    let complete = |end: &banyan_wire::caller::StreamEnd| end.outcome == OutcomeWire::Complete;
    answer.done && answer.error.is_none() && answer.end.as_ref().is_some_and(complete)
}

/// Point 1. The product: `data_calls::repeat_of_a_key_gets_the_first_answer`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_remembered_in_each_process_runs_twice() {
    let system = bare_system(1, 1, 1).await;
    let body = json!({"fitter": 7});
    for _ in 0..2 {
        let router = start_router(&system, |_| ()).await;
        call(router.caller_address, "book", Some("key-1"), &body).await;
    }
    assert!(runs(&system) >= 2, "the call ran {} times", runs(&system));
}

/// Point 1. The product: `data_calls::lost_answer_is_unknown_and_never_sent_again`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_whose_answer_was_lost_is_sent_again_and_runs_twice() {
    let system = bare_system(1, 1, 1).await;
    let router = start_router(&system, |_| ()).await;
    system.services[0].fault(ServiceFault::LoseAnswers { count: 1, how: LossKind::Cut });
    call(router.caller_address, "book", Some("key-1"), &json!({"fitter": 7})).await;
    assert!(runs(&system) >= 2, "the call ran {} times", runs(&system));
}

/// Point 1. The product: `data_calls::repeats_at_once_through_all_entries_run_once` and
/// `control_claims::a_key_sent_to_all_instances_at_once_runs_once_and_all_get_its_answer`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_claimed_by_an_answered_append_runs_twice() {
    let system = bare_system(1, 1, 1).await;
    let claims = |options: &mut NaiveOptions| options.keys = KeyDeduplication::LoggedClaims;
    let routers = [start_router(&system, claims).await, start_router(&system, claims).await];
    system.platform.fault(PlatformFault::Outage { reads: false, appends: true });
    let body = json!({"fitter": 7});
    let calls = routers.clone().map(|router| {
        let body = body.clone();
        tokio::spawn(async move { call(router.caller_address, "book", Some("key-1"), &body).await })
    });
    // Both routers have found the key free, and neither has claimed it yet.
    wait_for("both claims", || routers.iter().all(|router| router.failed_claims() > 0)).await;
    system.platform.fault(PlatformFault::Outage { reads: false, appends: false });
    for call in calls {
        call.await.unwrap();
    }
    assert!(runs(&system) >= 2, "the call ran {} times", runs(&system));
}

/// Point 2. The product: `data_calls::lost_answer_is_unknown_and_never_sent_again`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_that_ran_is_told_not_run() {
    let system = bare_system(1, 1, 1).await;
    let router = start_router(&system, |_| ()).await;
    system.services[0].fault(ServiceFault::LoseAnswers { count: 100, how: LossKind::Cut });
    let reply = call(router.caller_address, "book", Some("key-1"), &json!({"fitter": 7})).await;
    assert_eq!(reply.outcome, OutcomeWire::NotRun);
    assert!(runs(&system) >= 1, "the call did not run");
}

/// Point 2. The product: `data_calls::keyed_call_during_an_outage_is_refused_and_never_runs_later`
/// and `control_outage::during_an_append_outage_a_keyed_call_is_not_run_now_or_later`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_told_not_run_in_an_outage_runs_after_it() {
    let system = bare_system(1, 1, 1).await;
    let router = start_router(&system, |options| {
        options.keys = KeyDeduplication::LoggedClaims;
        options.caller_timeout = Duration::from_millis(300);
    })
    .await;
    system.platform.fault(PlatformFault::Outage { reads: false, appends: true });
    let reply = call(router.caller_address, "book", Some("key-1"), &json!({"fitter": 7})).await;
    assert_eq!((reply.outcome, runs(&system)), (OutcomeWire::NotRun, 0));
    system.platform.fault(PlatformFault::Outage { reads: false, appends: false });
    wait_for("the call that was told 'not run' runs", || runs(&system) == 1).await;
}

/// Point 3. The product: `data_stages::killed_stage_is_replaced`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn step_sent_elsewhere_alone_skips_layers() {
    let system = bare_system(3, 2, 0).await;
    let send_elsewhere =
        |options: &mut NaiveOptions| options.steps = StepFailure::RetryStepElsewhere;
    let router = start_router(&system, send_elsewhere).await;
    let fault = EngineFault::Connection(ConnectionFault::Kill);
    let answer = answer_with_fault(&system, &router, 1, fault).await;
    // The replacement ran without the earlier tokens, so the answer is wrong.
    let replacement_runs = system.engines[1][1].truth().runs;
    let ran =
        replacement_runs.iter().filter(|run| run.step.request == answer.request).count() as u64;
    assert!(ran > 0 && ran < LONG_ANSWER, "the replacement ran {ran} tokens");
    assert!(reports_complete(&answer));
    assert_ne!(answer.tokens, expected_answer(support::LAYERS, "a note", LONG_ANSWER));
}

/// Point 3. The product: `data_stages::killed_stage_is_replaced` and
/// `data_stages::answer_lost_with_its_connection_is_asked_for_again`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_begun_anew_runs_layers_twice() {
    for fault in [
        EngineFault::Connection(ConnectionFault::Kill),
        EngineFault::LoseAnswers { count: 1, how: LossKind::Cut },
    ] {
        let system = bare_system(3, 2, 0).await;
        let start_anew = |options: &mut NaiveOptions| options.steps = StepFailure::RestartAnswer;
        let router = start_router(&system, start_anew).await;
        let answer = answer_with_fault(&system, &router, 1, fault).await;
        // The caller does not notice that layers ran twice.
        assert_whole(&answer, "a note", LONG_ANSWER);
        let runs = step_runs(&system, &answer.request);
        for token in 0..3 {
            let engines = &runs[&(0, token)];
            assert!(engines.len() >= 2, "stage 0 ran token {token} once: {engines:?}");
        }
    }
}

/// Point 4. The product: `data_stages::crossed_answers_are_dropped` and
/// `data_streams::many_streams_over_crossed_and_doubled_answers_are_whole`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_matched_by_order_goes_to_another_caller() {
    let system = bare_system(1, 1, 0).await;
    let router = start_router(&system, |_| ()).await;
    let mut first = open_stream(router.caller_address, "of one caller", 3).await.unwrap();
    first.read_all().await;
    assert_whole(&first, "of one caller", 3);
    system.engines[0][0].fault(EngineFault::CrossAnswers { count: 1 });
    let mut second = open_stream(router.caller_address, "of another caller", 1).await.unwrap();
    second.read_all().await;
    assert!(reports_complete(&second));
    assert_eq!(second.tokens, first.tokens[2..], "the answer is the first caller's");
    assert_ne!(second.tokens, expected_answer(support::LAYERS, "of another caller", 1));
}

/// Point 4. The product: `data_stages::answer_lost_with_its_connection_is_asked_for_again` and
/// `data_streams::stream_closed_at_every_byte_is_whole_or_an_error`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn naive_router_reports_a_broken_stream_as_complete() {
    let system = bare_system(3, 2, 0).await;
    let router = start_router(&system, |_| ()).await;
    let fault = EngineFault::LoseAnswers { count: 1, how: LossKind::Cut };
    let answer = answer_with_fault(&system, &router, 2, fault).await;
    assert!(reports_complete(&answer));
    assert!((answer.tokens.len() as u64) < LONG_ANSWER, "nothing is missing");
}

/// The system's declaration with only one of its service replicas.
fn declaration_with(system: &TestSystem, replica: usize) -> Value {
    let mut declaration = system.declaration();
    let kept_name = format!("booking-{replica}");
    let targets = declaration["targets"].as_array_mut().unwrap();
    targets.retain(|row| row["service"].is_null() || row["name"] == kept_name.as_str());
    declaration
}

async fn propose(system: &TestSystem, id: &str, base: u64, text: &Value) {
    append_proposal(system.platform.address, id, base, &text.to_string()).await;
}

/// Asserts that a call through the naive router runs on the replica of the old file, and that a
/// call through the product, on the same log, runs on the replica of the file with this revision.
async fn check_reverted(mut system: TestSystem, router: &NaiveRouter, revision: u64) {
    let entries = system.platform.truth().appends.len() as u64;
    wait_for("the whole log is read", || router.configuration_next() == entries).await;
    call(router.caller_address, "book", None, &json!({"by": "the naive router"})).await;
    assert_eq!(system.services[0].truth().runs.len(), 1, "the accepted file is in force");
    assert_eq!(system.services[1].truth().runs.len(), 0);
    let entry = system.add_entry("entry-1").await;
    assert_eq!(system.entries[entry].state.tables().revision.0, revision);
    let reply = call(system.caller(entry), "book", None, &json!({"by": "the product"})).await;
    assert_eq!(reply.outcome, OutcomeWire::Complete, "{reply:?}");
    assert_eq!(system.services[0].truth().runs.len(), 1, "the product has reverted as well");
    assert_eq!(system.services[1].truth().runs.len(), 1);
}

/// Point 5. The product: on the same log in this test, and
/// `whole_system::racing_operators_have_one_winner_everywhere`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn proposal_on_an_old_base_reverts_an_accepted_one() {
    let system = bare_system(1, 1, 2).await;
    propose(&system, "accepted", 1, &declaration_with(&system, 1)).await;
    let router = start_router(&system, |_| ()).await;
    // Another operator read the configuration before the first one's proposal was accepted.
    propose(&system, "too-late", 1, &declaration_with(&system, 0)).await;
    check_reverted(system, &router, 2).await;
}

/// Point 5. The product: on the same log in this test, and
/// `fold_checkpoint::a_late_checkpoint_of_a_paused_instance_is_no_start_once_its_entries_are_gone`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn checkpoint_of_a_paused_instance_reverts_an_accepted_file() {
    let system = bare_system(1, 1, 2).await;
    propose(&system, "old", 1, &declaration_with(&system, 0)).await;
    let mut fold = ConfigurationFold::new(banyan_config::merge_files);
    for row in system.platform.truth().appends {
        let at = WallMillis(row.at_ms);
        fold.apply(&decode_entry(LogOffset(row.offset), at, row.body.as_bytes()).unwrap());
    }
    let body = encode_configuration(fold.snapshot()).unwrap();
    propose(&system, "accepted", 2, &declaration_with(&system, 1)).await;
    // The paused instance writes a checkpoint of the configuration that was in force before.
    let id = || "late-checkpoint".parse().unwrap();
    let facts = checkpoint_facts(LogOffset(2), WallMillis(1), &body, body.len(), id);
    let client = JsonClient::new(WAIT_LIMIT);
    let body = Bytes::from(encode_facts(&facts));
    let platform = system.platform.address;
    client.send(Method::POST, platform, "/log/configuration", body).await.unwrap();
    let router = start_router(&system, |_| ()).await;
    check_reverted(system, &router, 3).await;
}

/// Point 6. The product: `control_leaving::a_targets_own_word_wins_over_a_list_that_lags` and
/// `control_leaving::a_target_listed_as_leaving_gets_no_work_until_it_is_listed_as_live`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_target_gets_new_work_past_the_limit() {
    let system = bare_system(1, 1, 1).await;
    let router = start_router(&system, |_| ()).await;
    system.platform.announce(InstanceWire {
        name: "booking-0".into(),
        role: InstanceRole::Target,
        state: InstanceState::Leaving,
        zone: "zone-a".into(),
        caller_address: None,
        peer_address: None,
        operator_address: None,
    });
    system.services[0].fault(ServiceFault::Leaving { leaving: true });
    // The end of the allowed time is marked by no event, only by the clock.
    tokio::time::sleep_until(Instant::now() + LEAVING_LIMIT).await;
    let before = runs(&system);
    call(router.caller_address, "status", None, &json!({})).await;
    assert!(runs(&system) > before, "the leaving target got no new work");
}

/// Point 7. The product: `data_leaving::stop_ends_every_stream_under_way_and_refuses_new_requests`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_at_once_cuts_a_request() {
    let system = bare_system(3, 1, 0).await;
    let router = start_router(&system, |_| ()).await;
    let mut answer = open_stream(router.caller_address, "cut", LONG_ANSWER).await.unwrap();
    answer.read_tokens(3).await;
    drop(router);
    answer.read_all().await;
    assert!(!answer.done && answer.end.is_none() && answer.error.is_none(), "{answer:?}");
    assert!((answer.tokens.len() as u64) < LONG_ANSWER);
}
