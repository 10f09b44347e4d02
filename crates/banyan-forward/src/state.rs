//! The state shared by the daemon's tasks: [`ForwardState`].
//!
//! One mutex protects the tables. It is held briefly and never across an await point.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;

use crate::decisions::tables::ForwardTables;
use crate::peers::peer_link::PeerLinks;
use crate::settings::ForwardSettings;
use crate::settings::ServiceBounds;
use banyan_core::pipeline::crashes::CrashTable;
use banyan_core::pipeline::readers::FeedRole;
use banyan_core::units::Moment;
use banyan_http::clock::RuntimeClock;
use banyan_http::held_memory::CallerMemory;

/// The longest time after startup for which requests wait for the first reads of the platform. A
/// read takes a few milliseconds, and callers wait for an answer for at least a second.
const STARTUP_WAIT: Duration = Duration::from_millis(500);

/// Whether the instance takes new requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DaemonPhase {
    /// It takes new requests.
    Serving,
    /// It reports to the load balancer that it is not ready, but still serves requests that arrive.
    Leaving,
    /// It refuses new requests and finishes the active ones.
    Draining,
    /// It no longer accepts connections, and answers the requests on those that it has.
    Closing,
}

/// The state that all tasks of the daemon share.
#[derive(Debug)]
pub struct ForwardState<P> {
    /// The adapter through which the platform is accessed.
    pub platform: P,
    /// The clock that supplies the time for all decisions.
    pub clock: RuntimeClock,
    /// The memory that is held for callers.
    pub memory: Arc<CallerMemory>,
    /// The daemon's phase, which determines whether new requests are taken.
    pub phase: watch::Sender<DaemonPhase>,
    /// Notified when a change may require new layer orders.
    pub plan_due: Notify,
    /// Where this instance gets the platform's records from.
    pub feed_role: watch::Sender<FeedRole>,
    /// Connections to peers that the checks of targets and the alerts about crashes share.
    pub peer_links: PeerLinks,
    /// Notified when the outcome of a probe was recorded.
    pub probe_ended: watch::Sender<()>,
    /// Notified when data was read that peers may not have yet, or when a read failed.
    pub feed_changed: watch::Sender<()>,
    /// Whether the configuration and the targets were read since startup.
    initial_reads_done: watch::Sender<bool>,
    settings: Mutex<Arc<ForwardSettings>>,
    tables: Mutex<ForwardTables>,
}

impl<P> ForwardState<P> {
    /// The state of a daemon that starts now.
    pub fn new(settings: ForwardSettings, platform: P) -> Self {
        let mut tables = ForwardTables::default();
        let clock = RuntimeClock::start();
        tables.crashes = CrashTable::for_instance(&settings.instance);
        Self {
            platform,
            clock,
            memory: CallerMemory::new(settings.machine.held_bytes(), clock),
            phase: watch::Sender::new(DaemonPhase::Serving),
            plan_due: Notify::new(),
            feed_role: watch::Sender::new(FeedRole::Reader),
            peer_links: PeerLinks::default(),
            probe_ended: watch::Sender::new(()),
            feed_changed: watch::Sender::new(()),
            initial_reads_done: watch::Sender::new(false),
            settings: Mutex::new(Arc::new(settings)),
            tables: Mutex::new(tables),
        }
    }

    /// The current settings.
    pub fn settings(&self) -> Arc<ForwardSettings> {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Applies new bounds. Addresses and names keep their values from startup.
    pub fn set_bounds(&self, bounds: ServiceBounds) {
        let mut settings = self.settings.lock().unwrap_or_else(PoisonError::into_inner);
        let mut changed = ForwardSettings::clone(&settings);
        changed.bounds = bounds;
        *settings = Arc::new(changed);
    }

    /// Locks the tables. The guard must not be held across an await point.
    pub fn tables(&self) -> MutexGuard<'_, ForwardTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the requests that wait for the first reads continue once these are done.
    pub fn check_initial_reads(&self) {
        let tables = self.tables();
        let done = tables.configuration_known && tables.fleet_known;
        drop(tables);
        if done {
            self.initial_reads_done.send_replace(true);
        }
    }

    /// Waits until this instance reads the platform's store itself. Returns whether it had to wait.
    pub async fn wait_until_reading(&self) -> bool {
        let mut role = self.feed_role.subscribe();
        if *role.borrow_and_update() == FeedRole::Reader {
            return false;
        }
        // This cannot fail: `self` owns the sender.
        let _ = role.wait_for(|role| *role == FeedRole::Reader).await;
        true
    }

    /// The age of the targets that this instance passes on to others, or `None` if it passes on
    /// none or has not listed the targets yet.
    pub fn read_age(&self, tables: &ForwardTables, now: Moment) -> Option<Duration> {
        let passes_on = *self.feed_role.borrow() != FeedRole::Follower && tables.fleet_known;
        passes_on.then(|| now.since(tables.fleet_read_at))
    }

    /// Waits until the configuration and the targets were read, but no longer than `STARTUP_WAIT`
    /// after startup.
    pub async fn wait_for_initial_reads(&self) {
        let mut done = self.initial_reads_done.subscribe();
        let deadline = self.clock.instant(Moment::default() + STARTUP_WAIT);
        // A timeout is not an error: requests that need missing data are refused later.
        let _ = tokio::time::timeout_at(deadline, done.wait_for(|done| *done)).await;
    }

    /// The current time of the daemon's clock.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }
}
