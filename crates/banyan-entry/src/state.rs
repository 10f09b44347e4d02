//! The state that the daemon's tasks share: [`EntryState`].
//!
//! The tables are protected by short locks that are never held across an await. The log's folds
//! have a separate lock in [`crate::tables::fold_hub::FoldHub`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::journal::EventJournal;
use crate::peers::PeerTable;
use crate::platform::PlatformClient;
use crate::steps::StepClient;
use crate::tables::admission_queues::AdmissionTable;
use crate::tables::claim_ledger::ClaimLedger;
use crate::tables::fact_outbox::FactOutbox;
use crate::tables::fold_hub::FoldHub;
use crate::tables::leaving_signs::LeavingTable;
use crate::tables::peer_links::PeerLinks;
use crate::tables::suspect_trials::TrialTable;
use crate::writer::LogWriter;
use banyan_config::settings::EntrySettings;
use banyan_core::declaration::Declaration;
use banyan_core::event::EventKind;
use banyan_core::ids::IncarnationId;
use banyan_core::ids::RecordId;
use banyan_core::ids::RequestId;
use banyan_core::ids::Revision;
use banyan_core::ids::TargetId;
use banyan_core::ids::WorkspaceId;
use banyan_core::machine::MachineLimits;
use banyan_core::record::ContentDigest;
use banyan_core::serving::budget::RetryBudget;
use banyan_core::serving::decisions::DecisionSet;
use banyan_core::serving::exchange::ExchangeState;
use banyan_core::serving::limits::LimitTable;
use banyan_core::serving::poison::SuspectTable;
use banyan_core::serving::ring::InstanceRing;
use banyan_core::serving::targets::TargetTable;
use banyan_core::units::ByteCount;
use banyan_core::units::Moment;
use banyan_http::clock::RuntimeClock;
use banyan_http::held_memory::CallerMemory;

/// The memory and the descriptors that an entry takes for its clients.
pub const MACHINE: MachineLimits =
    MachineLimits { memory: ByteCount(128_000_000), descriptors: 1_024 };

/// Whether the instance accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServingPhase {
    /// It accepts new requests.
    Serving,
    /// It reports to the balancer that it is not ready, but still accepts requests that arrive.
    Unready,
    /// It refuses new requests and finishes those in progress.
    Draining,
}

/// The channel over which a waiting request is admitted, or refused with the time to retry after.
pub type AdmissionWaiter = oneshot::Sender<Result<(), Duration>>;

/// Everything that the daemon's tasks share.
#[derive(Debug)]
pub struct EntryState {
    /// The daemon's own settings.
    pub settings: EntrySettings,
    /// Identifies this run of the daemon; a restart has a new one.
    pub incarnation: IncarnationId,
    /// The decision functions and switches in use.
    pub decisions: DecisionSet,
    /// The clock for decisions.
    pub clock: RuntimeClock,
    /// The memory that is held for callers.
    pub memory: Arc<CallerMemory>,
    /// The events that operators read as a timeline.
    pub journal: EventJournal,
    /// The client of the platform's log and instance list.
    pub platform: PlatformClient,
    /// The folds over the log.
    pub folds: FoldHub,
    /// The appender to the log.
    pub writer: LogWriter,
    /// The client that sends steps to engines.
    pub steps: StepClient,
    /// The open claims of this incarnation.
    pub ledger: ClaimLedger,
    /// Outcomes of claims that are not yet confirmed in the log.
    pub outbox: FactOutbox,
    /// The connections to peers.
    pub links: PeerLinks,
    /// Held by the one stream that is asking peers for a snapshot.
    pub join_lock: tokio::sync::Mutex<()>,
    /// Whether new requests are accepted.
    pub phase: watch::Sender<ServingPhase>,
    tables: Mutex<EntryTables>,
    counter: AtomicU64,
}

/// The tables that the periodic state updates and the request handlers work on.
#[derive(Debug, Default)]
pub struct EntryTables {
    /// The declaration in force.
    pub declaration: Arc<Declaration>,
    /// Its revision.
    pub revision: Revision,
    /// Workspaces by the digest of their tokens.
    pub tokens: BTreeMap<SmolStr, WorkspaceId>,
    /// The declared targets with their health and load.
    pub targets: TargetTable,
    /// The requests in progress and those that wait for admission.
    pub admission: AdmissionTable,
    /// The channels of waiting requests.
    pub waiters: BTreeMap<RequestId, AdmissionWaiter>,
    /// This instance's shares of the workspaces' token limits.
    pub token_limits: LimitTable,
    /// The retry budget, which bounds repeated steps and calls.
    pub budget: RetryBudget,
    /// Request contents that are suspected to crash targets.
    pub suspects: SuspectTable,
    /// The trials of suspect contents that this instance decides.
    pub trials: TrialTable,
    /// Contents that this instance quarantined, with the end of their quarantine. Covers the time
    /// until the quarantine is read back from the log.
    pub recently_quarantined: BTreeMap<ContentDigest, Moment>,
    /// The incarnation of each target whose crash was recorded last.
    pub crashed_incarnations: BTreeMap<TargetId, SmolStr>,
    /// Contents with steps in progress, by target and request.
    pub contents_in_flight: BTreeMap<TargetId, BTreeMap<RequestId, ContentDigest>>,
    /// The other entry instances.
    pub peers: PeerTable,
    /// Targets that the instance list says are leaving.
    pub leaving: LeavingTable,
    /// The positions where the next digest continues, and the leaving targets that peers reported.
    pub exchange: ExchangeState,
    /// The demands and limits of workspaces in requests per second, over all instances.
    pub limits: LimitTable,
    /// The live instances, this one included, in ring order.
    pub ring: InstanceRing,
    /// The revision for which the target groups were narrowed to this instance's subset.
    pub ring_revision: Revision,
}

impl EntryTables {
    /// The number of instances that share the work, this one included.
    pub fn live_instances(&self) -> u64 {
        self.peers.rows.values().filter(|row| row.usable()).count() as u64 + 1
    }

    /// Divides capacities and limits among the live instances; `capacity` is the maximum number of
    /// concurrent requests of one model on this instance.
    pub fn split_limits(&mut self, capacity: u32) {
        let live = self.live_instances();
        self.admission.set_live(live, capacity);
        self.limits.set_live(live);
        self.token_limits.set_live(live);
    }
}

impl EntryState {
    /// The initial state of a daemon with a new incarnation.
    pub fn new(settings: EntrySettings, decisions: DecisionSet) -> Self {
        let clock = RuntimeClock::start();
        let token = uuid::Uuid::new_v4().simple().to_string();
        let name = format!("{}@{}", settings.instance, &token[..12]);
        let incarnation = name.parse().unwrap_or_else(|_| fallback_incarnation());
        let platform = PlatformClient::new(settings.platform_address);
        let peers = PeerTable::from_settings(&settings);
        Self {
            incarnation,
            decisions,
            clock,
            memory: CallerMemory::new(MACHINE.held_bytes(), clock),
            journal: EventJournal::default(),
            writer: LogWriter::new(platform.clone()),
            platform,
            folds: FoldHub::default(),
            steps: StepClient::default(),
            ledger: ClaimLedger::default(),
            outbox: FactOutbox::default(),
            links: PeerLinks::default(),
            join_lock: tokio::sync::Mutex::new(()),
            phase: watch::Sender::new(ServingPhase::Serving),
            tables: Mutex::new(EntryTables { peers, ..Default::default() }),
            counter: AtomicU64::new(0),
            settings,
        }
    }

    /// Locks the tables. The guard must not be held across an await.
    pub fn tables(&self) -> MutexGuard<'_, EntryTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The current time of the daemon's clock.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// A new unique request id.
    pub fn next_request(&self) -> RequestId {
        let counter = self.counter.fetch_add(1, Ordering::Relaxed) + 1;
        RequestId { incarnation: self.incarnation.clone(), counter }
    }

    /// A new unique record id.
    pub fn next_record(&self) -> RecordId {
        let counter = self.counter.fetch_add(1, Ordering::Relaxed) + 1;
        let text = format!("{}/{counter}", self.incarnation);
        text.parse().unwrap_or_else(|_| fallback_record())
    }

    /// Puts a declaration in force on this instance, unless its revision is not newer.
    pub fn put_in_force(&self, declaration: Arc<Declaration>, revision: Revision) {
        let now = self.now();
        let mut tables = self.tables();
        if revision <= tables.revision {
            return;
        }
        tables.revision = revision;
        tables.tokens = index_tokens(&declaration);
        tables.targets.apply_declaration(&declaration, now);
        tables.admission.sync(&declaration);
        tables.split_limits(self.settings.capacity);
        tables.declaration = declaration;
        drop(tables);
        let detail = format!("revision {revision}");
        log::info!("configuration: Revision {revision} is in force here.");
        self.journal.record(EventKind::InForce, "", "", &detail);
    }
}

fn index_tokens(declaration: &Declaration) -> BTreeMap<SmolStr, WorkspaceId> {
    let mut index = BTreeMap::new();
    for (workspace, spec) in &declaration.workspaces {
        for digest in &spec.token_digests {
            index.insert(digest.clone(), workspace.clone());
        }
    }
    index
}

fn fallback_incarnation() -> IncarnationId {
    // An instance name near the length limit leaves no room for the random suffix.
    let token = uuid::Uuid::new_v4().simple().to_string();
    token.parse().expect("a UUID is a valid name")
}

fn fallback_record() -> RecordId {
    let token = uuid::Uuid::new_v4().simple().to_string();
    token.parse().expect("a UUID is a valid name")
}
