//! What the daemon's tasks share: [`EntryState`].
//!
//! Tables stand behind short locks that are never held over an await. The log's folds have a lock
//! of their own, in [`crate::tables::fold_hub::FoldHub`].

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
use banyan_core::record::ContentDigest;
use banyan_core::serving::budget::RetryBudget;
use banyan_core::serving::decisions::DecisionSet;
use banyan_core::serving::exchange::ExchangeState;
use banyan_core::serving::limits::LimitTable;
use banyan_core::serving::poison::SuspectTable;
use banyan_core::serving::ring::InstanceRing;
use banyan_core::serving::targets::TargetTable;
use banyan_core::units::Moment;
use banyan_http::clock::RuntimeClock;

/// Whether the instance takes new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServingPhase {
    /// It does.
    Serving,
    /// It tells the balancer that it will not, but still takes what arrives.
    Unready,
    /// It does not, and finishes what is under way.
    Draining,
}

/// A waiting request's channel for admission's word: go ahead, or refused until a time.
pub type AdmissionWaiter = oneshot::Sender<Result<(), Duration>>;

/// Everything that the daemon's tasks share.
#[derive(Debug)]
pub struct EntryState {
    /// The daemon's own settings.
    pub settings: EntrySettings,
    /// This run of the daemon.
    pub incarnation: IncarnationId,
    /// The decisions that it runs with.
    pub decisions: DecisionSet,
    /// The clock for decisions.
    pub clock: RuntimeClock,
    /// The events for the time line.
    pub journal: EventJournal,
    /// The platform.
    pub platform: PlatformClient,
    /// The folds over the log.
    pub folds: FoldHub,
    /// The appender to the log.
    pub writer: LogWriter,
    /// The carrier of steps to engines.
    pub steps: StepClient,
    /// Claims that this run holds.
    pub ledger: ClaimLedger,
    /// Ends of claims that have not landed in the log.
    pub outbox: FactOutbox,
    /// The connections to peers.
    pub links: PeerLinks,
    /// Taken by the one stream that asks peers for their state.
    pub joining: tokio::sync::Mutex<()>,
    /// Whether new requests are taken.
    pub phase: watch::Sender<ServingPhase>,
    tables: Mutex<EntryTables>,
    counter: AtomicU64,
}

/// The tables that the systems run over.
#[derive(Debug, Default)]
pub struct EntryTables {
    /// The declaration in force.
    pub declaration: Arc<Declaration>,
    /// Its revision.
    pub revision: Revision,
    /// Workspaces by the digest of their tokens.
    pub tokens: BTreeMap<SmolStr, WorkspaceId>,
    /// The targets.
    pub targets: TargetTable,
    /// Requests under way and waiting.
    pub admission: AdmissionTable,
    /// The channels of waiting requests.
    pub waiters: BTreeMap<RequestId, AdmissionWaiter>,
    /// This instance's parts of the workspaces' token limits.
    pub token_limits: LimitTable,
    /// Retries allowed.
    pub budget: RetryBudget,
    /// Contents that may crash targets.
    pub suspects: SuspectTable,
    /// The trials of suspects that this instance referees.
    pub trials: TrialTable,
    /// Contents convicted here, until a moment by which the log's word has long been read.
    pub convicted: BTreeMap<ContentDigest, Moment>,
    /// The newest run of each target whose crash was noted.
    pub crashed: BTreeMap<TargetId, SmolStr>,
    /// Contents with steps under way, by target and request.
    pub contents: BTreeMap<TargetId, BTreeMap<RequestId, ContentDigest>>,
    /// The other instances.
    pub peers: PeerTable,
    /// Targets that the instance list says are leaving.
    pub leaving: LeavingTable,
    /// Where the exchange with peers goes on.
    pub exchange: ExchangeState,
    /// Demands and limits of workspaces in requests a second, over all instances.
    pub limits: LimitTable,
    /// The live instances in order.
    pub ring: InstanceRing,
    /// The revision for which the targets' groups were narrowed to this instance's part.
    pub ring_revision: Revision,
}

impl EntryTables {
    /// The number of instances that share the work, this one included.
    pub fn live_instances(&self) -> u64 {
        self.peers.rows.values().filter(|row| row.usable()).count() as u64 + 1
    }

    /// Splits capacities and limits over the instances that are live now; `capacity` is the most
    /// requests of one model that this one takes.
    pub fn spread_limits(&mut self, capacity: u32) {
        let live = self.live_instances();
        self.admission.set_live(live, capacity);
        self.limits.set_live(live);
        self.token_limits.set_live(live);
    }
}

impl EntryState {
    /// The state of a daemon that starts now.
    pub fn new(settings: EntrySettings, decisions: DecisionSet) -> Self {
        let token = uuid::Uuid::new_v4().simple().to_string();
        let name = format!("{}@{}", settings.instance, &token[..12]);
        let incarnation = name.parse().unwrap_or_else(|_| fallback_incarnation());
        let platform = PlatformClient::new(settings.platform_address);
        let peers = PeerTable::greeting(&settings);
        Self {
            incarnation,
            decisions,
            clock: RuntimeClock::start(),
            journal: EventJournal::default(),
            writer: LogWriter::new(platform.clone()),
            platform,
            folds: FoldHub::default(),
            steps: StepClient::default(),
            ledger: ClaimLedger::default(),
            outbox: FactOutbox::default(),
            links: PeerLinks::default(),
            joining: tokio::sync::Mutex::new(()),
            phase: watch::Sender::new(ServingPhase::Serving),
            tables: Mutex::new(EntryTables { peers, ..Default::default() }),
            counter: AtomicU64::new(0),
            settings,
        }
    }

    /// The tables, locked. The guard must not be held over an await.
    pub fn tables(&self) -> MutexGuard<'_, EntryTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time of the daemon's clock.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// A request id that no other request has.
    pub fn next_request(&self) -> RequestId {
        let counter = self.counter.fetch_add(1, Ordering::Relaxed) + 1;
        RequestId { incarnation: self.incarnation.clone(), counter }
    }

    /// A record id that no other record has.
    pub fn next_record(&self) -> RecordId {
        let counter = self.counter.fetch_add(1, Ordering::Relaxed) + 1;
        let text = format!("{}/{counter}", self.incarnation);
        text.parse().unwrap_or_else(|_| fallback_record())
    }

    /// Puts a declaration in force here.
    pub fn put_in_force(&self, declaration: Arc<Declaration>, revision: Revision) {
        let now = self.now();
        let mut tables = self.tables();
        if revision <= tables.revision {
            return;
        }
        tables.revision = revision;
        tables.tokens = token_index(&declaration);
        tables.targets.apply_declaration(&declaration, now);
        tables.admission.sync(&declaration);
        tables.spread_limits(self.settings.capacity);
        tables.declaration = declaration;
        drop(tables);
        let detail = format!("revision {revision}");
        log::info!("configuration: Revision {revision} is in force here.");
        self.journal.record(EventKind::InForce, "", "", &detail);
    }
}

fn token_index(declaration: &Declaration) -> BTreeMap<SmolStr, WorkspaceId> {
    let mut index = BTreeMap::new();
    for (workspace, spec) in &declaration.workspaces {
        for digest in &spec.token_digests {
            index.insert(digest.clone(), workspace.clone());
        }
    }
    index
}

fn fallback_incarnation() -> IncarnationId {
    // An instance name near the length limit leaves no room for the random part beside it.
    let token = uuid::Uuid::new_v4().simple().to_string();
    token.parse().expect("a UUID is a valid name")
}

fn fallback_record() -> RecordId {
    let token = uuid::Uuid::new_v4().simple().to_string();
    token.parse().expect("a UUID is a valid name")
}
