//! Appends facts to the log: [`LogWriter`].
//!
//! Facts for one stream go out together, at most one append at a time and no more often than
//! `APPEND_PACE`, since the log takes only several hundred a second. An append that fails or whose
//! answer is lost is sent again with the same record ids, so that the copies fold to nothing.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::platform::PlatformClient;
use banyan_core::record::CallOutcome;
use banyan_core::record::FactBody;
use banyan_core::record::LogFact;
use banyan_core::record::StreamId;
use banyan_http::client::CallError;
use banyan_wire::log::encode_facts;

/// The time that facts are gathered before they go out together.
const GATHER_TIME: Duration = Duration::from_millis(4);
/// The least time between the starts of two appends to one stream.
const APPEND_PACE: Duration = Duration::from_millis(25);
/// The most facts in one append.
const FACT_LIMIT: usize = 256;
/// The bytes of answers in one append behind which no more facts join it.
const BATCH_BYTES: usize = 512 << 10;
/// The most facts with a time limit that wait for one stream.
const QUEUE_LIMIT: usize = 4096;
/// The pause after a failed append, doubled up to [`RETRY_LIMIT`].
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause between tries.
const RETRY_LIMIT: Duration = Duration::from_secs(1);
/// Appends in a row without success after which a stream is taken for closed.
const FAILURE_LIMIT: u32 = 2;
/// The time that the next try has before a stream is no longer taken for closed.
const RETRY_SLACK: Duration = Duration::from_millis(1200);

/// Why a fact was not taken.
#[derive(Clone, Copy, Debug, Error)]
#[error("{QUEUE_LIMIT} facts wait for the log already: try again after a second")]
pub struct QueueFull;

/// A fact on its way to the log.
#[derive(Debug)]
struct PendingFact {
    fact: LogFact,
    /// When to stop trying; `None` tries until it lands.
    until: Option<Instant>,
    /// Told when the log said that it took the fact.
    landed: Option<oneshot::Sender<()>>,
}

/// Whether the log takes appends to a stream.
#[derive(Clone, Copy, Debug, Default)]
struct LaneHealth {
    /// Appends in a row without success.
    failures: u32,
    /// Until when the newest failure counts.
    until: Option<Instant>,
}

/// The appender of one stream, as the callers of [`LogWriter`] see it.
#[derive(Debug)]
struct LaneHandle {
    sender: mpsc::UnboundedSender<PendingFact>,
    shared: Arc<LaneShared>,
}

/// What the appender of a stream and its callers share.
#[derive(Debug, Default)]
struct LaneShared {
    health: watch::Sender<LaneHealth>,
    /// Facts with a time limit that have not landed.
    limited: AtomicUsize,
    /// Facts without one that have not landed.
    kept: AtomicUsize,
    /// Appends sent.
    appends: AtomicUsize,
}

/// The appender, with one task a stream.
#[derive(Debug)]
pub struct LogWriter {
    platform: PlatformClient,
    lanes: Mutex<BTreeMap<StreamId, LaneHandle>>,
}

impl LogWriter {
    /// An appender to the log of `platform`.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform, lanes: Mutex::new(BTreeMap::new()) }
    }

    /// Appends a fact, trying until it lands or until `until`. Whether it landed is known only
    /// from reading it back.
    pub fn submit(&self, stream: StreamId, fact: LogFact, until: Option<Instant>) {
        self.send(stream, PendingFact { fact, until, landed: None });
    }

    /// Like [`LogWriter::submit`], but refused where too many facts wait already.
    pub fn try_submit(
        &self,
        stream: StreamId,
        fact: LogFact,
        until: Instant,
    ) -> Result<(), QueueFull> {
        let waiting = self.with_lane(stream, |lane| lane.shared.limited.load(Ordering::Relaxed));
        if waiting >= QUEUE_LIMIT {
            return Err(QueueFull);
        }
        self.submit(stream, fact, Some(until));
        Ok(())
    }

    /// Like [`LogWriter::submit`], and tells when the log said that it took the fact.
    pub fn submit_tracked(
        &self,
        stream: StreamId,
        fact: LogFact,
        until: Option<Instant>,
    ) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.send(stream, PendingFact { fact, until, landed: Some(sender) });
        receiver
    }

    /// Whether the log takes no appends to a stream, as far as the newest tries tell.
    pub fn is_failing(&self, stream: StreamId) -> bool {
        self.with_lane(stream, |lane| {
            let health = *lane.shared.health.borrow();
            health.failures >= FAILURE_LIMIT
                && health.until.is_some_and(|until| Instant::now() < until)
        })
    }

    /// A signal that changes with each append to a stream that succeeds or fails.
    pub fn subscribe(&self, stream: StreamId) -> impl Future<Output = ()> + use<> {
        let mut health = self.with_lane(stream, |lane| lane.shared.health.subscribe());
        async move {
            // The lane lives as long as the writer, so that the wait cannot fail.
            let _ = health.changed().await;
        }
    }

    /// The number of facts that must land and have not.
    pub fn kept(&self) -> usize {
        let lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        lanes.values().map(|lane| lane.shared.kept.load(Ordering::Relaxed)).sum()
    }

    /// The number of appends sent so far.
    pub fn appends(&self) -> usize {
        let lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        lanes.values().map(|lane| lane.shared.appends.load(Ordering::Relaxed)).sum()
    }

    fn send(&self, stream: StreamId, pending: PendingFact) {
        self.with_lane(stream, |lane| {
            lane.shared.count(&pending).fetch_add(1, Ordering::Relaxed);
            if lane.sender.send(pending).is_err() {
                log::error!("log: The appender of {stream} is gone.");
            }
        });
    }

    fn with_lane<T>(&self, stream: StreamId, act: impl FnOnce(&LaneHandle) -> T) -> T {
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        let lane = lanes.entry(stream).or_insert_with(|| {
            let (sender, receiver) = mpsc::unbounded_channel();
            let shared = Arc::new(LaneShared::default());
            let lane = StreamLane {
                platform: self.platform.clone(),
                stream,
                receiver,
                shared: shared.clone(),
                pending: Vec::new(),
                pause: RETRY_PAUSE,
            };
            tokio::spawn(lane.run());
            LaneHandle { sender, shared }
        });
        act(lane)
    }
}

impl LaneShared {
    fn count(&self, pending: &PendingFact) -> &AtomicUsize {
        match pending.until {
            Some(_) => &self.limited,
            None => &self.kept,
        }
    }
}

/// The task that appends to one stream.
struct StreamLane {
    platform: PlatformClient,
    stream: StreamId,
    receiver: mpsc::UnboundedReceiver<PendingFact>,
    shared: Arc<LaneShared>,
    /// The facts that are not known to have landed, oldest first.
    pending: Vec<PendingFact>,
    /// How long to wait after the next failure.
    pause: Duration,
}

impl StreamLane {
    async fn run(mut self) {
        let mut paced = Instant::now();
        loop {
            if self.pending.is_empty() {
                let Some(fact) = self.receiver.recv().await else { return };
                self.pending.push(fact);
                let gathered = Instant::now() + GATHER_TIME;
                tokio::time::sleep_until(gathered.max(paced)).await;
            }
            self.gather();
            self.drop_expired();
            if self.pending.is_empty() {
                continue;
            }
            paced = Instant::now() + APPEND_PACE;
            self.append().await;
        }
    }

    fn gather(&mut self) {
        let mut bytes: usize = self.pending.iter().map(|pending| answer_bytes(&pending.fact)).sum();
        while self.pending.len() < FACT_LIMIT && bytes < BATCH_BYTES {
            let Ok(pending) = self.receiver.try_recv() else { return };
            bytes += answer_bytes(&pending.fact);
            self.pending.push(pending);
        }
    }

    fn drop_expired(&mut self) {
        let now = Instant::now();
        let shared = &self.shared;
        self.pending.retain(|pending| {
            let wanted = pending.until.is_none_or(|until| until > now);
            if !wanted {
                shared.count(pending).fetch_sub(1, Ordering::Relaxed);
            }
            wanted
        });
    }

    async fn append(&mut self) {
        let facts: Vec<LogFact> = self.pending.iter().map(|pending| pending.fact.clone()).collect();
        let body = Bytes::from(encode_facts(&facts));
        self.shared.appends.fetch_add(1, Ordering::Relaxed);
        match self.platform.append(self.stream, body).await {
            Ok(_) => {
                for pending in self.pending.drain(..) {
                    self.shared.count(&pending).fetch_sub(1, Ordering::Relaxed);
                    if let Some(landed) = pending.landed {
                        let _ = landed.send(());
                    }
                }
                self.pause = RETRY_PAUSE;
                self.shared.health.send_replace(LaneHealth::default());
            }
            Err(error) => {
                log::debug!("log: An append to {} has no answer: {error}.", self.stream);
                // A rate limit says that the log works: what waits is only late.
                if !is_throttled(&error) {
                    let until = Some(Instant::now() + self.pause + RETRY_SLACK);
                    self.shared.health.send_modify(|health| {
                        health.failures = health.failures.saturating_add(1);
                        health.until = until;
                    });
                }
                tokio::time::sleep(self.pause).await;
                self.pause = (self.pause * 2).min(RETRY_LIMIT);
            }
        }
    }
}

fn is_throttled(error: &CallError) -> bool {
    matches!(error, CallError::Status { status, .. } if *status == StatusCode::TOO_MANY_REQUESTS)
}

fn answer_bytes(fact: &LogFact) -> usize {
    match &fact.body {
        FactBody::Close { outcome: CallOutcome::Answered { body, .. }, .. } => body.len(),
        _ => 0,
    }
}
