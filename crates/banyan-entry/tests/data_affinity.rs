//! Prompts with a common prefix go to the engine that has it cached, even if another entry sent the
//! first one.

mod support;

use std::collections::BTreeSet;

use smol_str::SmolStr;
use support::SystemPlan;
use support::TestSystem;
use support::caller::open_stream;
use support::truth::assert_whole;
use support::truth::step_runs;
use support::wait_for;

/// The length of the shared prefix: eight cached units of 64 tokens of 4 bytes each.
const SHARED_BYTES: usize = 2048;

/// Serves one prompt and returns the engine that ran its first stage.
async fn serve(system: &TestSystem, entry: usize, prompt: &str) -> SmolStr {
    let mut answer = open_stream(system.caller(entry), prompt, 2).await.unwrap();
    answer.read_all().await;
    assert_whole(&answer, prompt, 2);
    step_runs(system, &answer.request)[&(0, 0)][0].clone()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn prompts_with_a_common_prefix_run_on_the_engine_that_has_it_cached() {
    let plan = SystemPlan { stages: 1, replicas: 3, entries: 2, ..Default::default() };
    let system = TestSystem::start(plan).await;
    let shared = "visit ".repeat(SHARED_BYTES / 6 + 1);
    let holder = serve(&system, 0, &format!("{shared} first")).await;
    // The other entry learns of the prefix from the engine's cache events, which arrive late.
    let target = holder.parse().unwrap();
    wait_for("both entries know which engine has the prefix", || {
        system.entries.iter().all(|entry| {
            let tables = entry.state.tables();
            let index = &tables.targets.prefixes;
            let digests = banyan_entry::lineage::prefix_digests(&shared);
            index.cached_percent(&target, &digests) > 0
        })
    })
    .await;
    let mut engines = BTreeSet::new();
    for number in 0..8 {
        engines.insert(serve(&system, number % 2, &format!("{shared} {number}")).await);
    }
    assert_eq!(engines, BTreeSet::from([holder]));
}
