//! One load on one bench, with a script of faults beside it: [`run_session`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::bench::LoadBench;
use crate::ground_truth::RunLedger;
use crate::load::CallRecord;
use crate::load::EntryList;
use crate::load::run_load;
use crate::plan::BenchPlan;
use crate::schedule::LoadSchedule;
use banyan_core::event::EventKind;
use banyan_core::event::HybridStamp;
use banyan_http::client::JsonClient;
use banyan_standin::truth::wall_ms;
use banyan_wire::operator::EventsReply;

/// The time between two readings of an entry's events.
const EVENT_PAUSE: Duration = Duration::from_millis(400);
/// The time that a reading may take.
const EVENT_LIMIT: Duration = Duration::from_secs(2);

/// An event that an entry recorded, with the time from the start of the load.
#[derive(Clone, Debug)]
pub struct SeenEvent {
    /// When.
    pub at: Duration,
    /// What happened.
    pub kind: EventKind,
    /// The target that it is about, or empty.
    pub target: SmolStr,
}

/// What a session gave.
#[derive(Debug)]
pub struct SessionResult {
    /// What became of each request.
    pub records: Vec<CallRecord>,
    /// What the engines really ran.
    pub ledger: RunLedger,
    /// Events of the kinds that `is_wanted` names, of all entries.
    pub events: Vec<SeenEvent>,
    /// The wall clock at the start of the load, in milliseconds of the Unix epoch.
    pub start_ms: u64,
}

/// Starts a bench, offers the schedule while the script runs, and stops the bench.
pub async fn run_session<S>(
    plan: BenchPlan,
    schedule: LoadSchedule,
    script: S,
) -> eyre::Result<SessionResult>
where
    S: AsyncFnOnce(&mut LoadBench, &EntryList, Instant) -> eyre::Result<()>,
{
    let mut bench = LoadBench::start(plan).await?;
    let entries = EntryList::new(bench.caller_addresses());
    let plan = bench.plan.clone();
    let start = Instant::now();
    let start_ms = wall_ms();
    let watch = EventWatch::start(&bench, start_ms);
    let load = run_load(&plan, &entries, schedule, start);
    let (records, scripted) = tokio::join!(load, script(&mut bench, &entries, start));
    scripted?;
    sleep(EVENT_PAUSE).await;
    let events = watch.stop();
    bench.stop().await?;
    let ledger = RunLedger::read(&bench)?;
    Ok(SessionResult { records, ledger, events, start_ms })
}

/// Whether an event is kept.
fn is_wanted(kind: EventKind) -> bool {
    matches!(
        kind,
        EventKind::Retried
            | EventKind::StageReplaced
            | EventKind::TargetSuspected
            | EventKind::Quarantined
            | EventKind::AnswerDropped
    )
}

/// Reads the events of all entries while a load runs.
struct EventWatch {
    events: Arc<Mutex<Vec<SeenEvent>>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl EventWatch {
    fn start(bench: &LoadBench, start_ms: u64) -> Self {
        let events = Arc::new(Mutex::new(Vec::new()));
        let addresses = bench.entries.iter().map(|entry| entry.ready.operator_address);
        let tasks = addresses
            .map(|address| tokio::spawn(watch_entry(address, start_ms, Arc::clone(&events))));
        Self { tasks: tasks.collect(), events }
    }

    fn stop(self) -> Vec<SeenEvent> {
        self.tasks.iter().for_each(|task| task.abort());
        std::mem::take(&mut *self.events.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

async fn watch_entry(address: SocketAddr, start_ms: u64, events: Arc<Mutex<Vec<SeenEvent>>>) {
    let client = JsonClient::new(EVENT_LIMIT);
    let mut after = SmolStr::new_static("0.0");
    loop {
        let path = format!("/operator/events?after={after}");
        if let Ok(reply) = client.get::<EventsReply>(address, &path).await {
            if let Some(last) = reply.events.last() {
                after = last.stamp.clone();
            }
            let seen = reply.events.into_iter().filter_map(|event| {
                let stamp: HybridStamp = event.stamp.parse().ok()?;
                let kind: EventKind = event.kind.parse().ok()?;
                let at = Duration::from_millis(stamp.millis.saturating_sub(start_ms));
                is_wanted(kind).then_some(SeenEvent { at, kind, target: event.target })
            });
            events.lock().unwrap_or_else(PoisonError::into_inner).extend(seen);
        }
        sleep(EVENT_PAUSE).await;
    }
}
