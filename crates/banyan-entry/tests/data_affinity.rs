//! Prompts with a common prefix go to the engine that has it cached, even if another entry sent the
//! first one.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use smol_str::SmolStr;
use support::SystemPlan;
use support::TestSystem;
use support::caller::open_stream;
use support::truth::assert_whole;
use support::truth::step_runs;
use support::wait_for;

/// The number of engines, each with the whole model.
const ENGINES: u32 = 3;
/// How long an engine takes for a batch: longer than the time by which a busy machine makes the link
/// to an engine look slow, which may outweigh a cached prefix.
const LONG_STEP: Duration = Duration::from_millis(40);
/// The length of the shared prefix: eight cached units of 64 tokens of 4 bytes each.
const SHARED_BYTES: usize = 2048;

/// Waits until each entry has a load report of each engine that was measured from now on. An earlier
/// one may count a stream of another entry that has ended, and an engine that looks busier is passed
/// over whatever it has cached.
async fn wait_for_load_reports(system: &TestSystem) {
    for entry in &system.entries {
        let started = entry.state.now();
        wait_for("new load reports", || {
            let tables = entry.state.tables();
            let reports = tables.targets.rows.values().filter_map(|row| row.report.as_ref());
            let measured: Vec<bool> = reports.map(|report| report.measured > started).collect();
            measured.len() == ENGINES as usize && measured.into_iter().all(|is_new| is_new)
        })
        .await;
    }
}

/// Serves one prompt and returns the engine that ran its first stage.
async fn serve(system: &TestSystem, entry: usize, prompt: &str) -> SmolStr {
    let mut answer = open_stream(system.caller(entry), prompt, 2).await.unwrap();
    answer.read_all().await;
    assert_whole(&answer, prompt, 2);
    step_runs(system, &answer.request)[&(0, 0)][0].clone()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn prompts_with_a_common_prefix_run_on_the_engine_that_has_it_cached() {
    let plan = SystemPlan {
        stages: 1,
        replicas: ENGINES,
        entries: 2,
        step_time: LONG_STEP,
        ..Default::default()
    };
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
        wait_for_load_reports(&system).await;
        engines.insert(serve(&system, number % 2, &format!("{shared} {number}")).await);
    }
    assert_eq!(engines, BTreeSet::from([holder]));
}
