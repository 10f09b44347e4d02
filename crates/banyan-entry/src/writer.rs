//! Appends facts to the log: [`LogWriter`].
//!
//! Facts for one stream are sent in batches, one append at a time and no more often than every
//! `APPEND_INTERVAL`, since the log accepts only several hundred appends per second. An append that
//! fails or whose answer is lost is retried with the same record ids, so that folds ignore the
//! duplicates.

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

/// How long facts are collected into a batch before it is sent.
const BATCH_DELAY: Duration = Duration::from_millis(4);
/// The minimum time between the starts of two appends to one stream.
const APPEND_INTERVAL: Duration = Duration::from_millis(25);
/// The maximum number of facts in one append.
const MAX_BATCH_FACTS: usize = 256;
/// The number of bytes of call answers in a batch from which on no more facts are added.
const BATCH_ANSWER_BYTES: usize = 512 << 10;
/// The number of pending facts with a deadline at which a stream refuses more of them.
const QUEUE_LIMIT: usize = 4096;
/// The pause after a failed append, doubled up to [`MAX_RETRY_PAUSE`].
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The maximum pause between retries.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Consecutive failed appends after which a stream counts as failing.
const FAILURE_LIMIT: u32 = 2;
/// How long after the retry pause a failure still counts, so that the next attempt can finish.
const RETRY_SLACK: Duration = Duration::from_millis(1200);

/// The error of a fact refused because too many facts are pending.
#[derive(Clone, Copy, Debug, Error)]
#[error("{QUEUE_LIMIT} facts wait for the log already: try again after a second")]
pub struct QueueFull;

/// A fact that the log has not confirmed yet.
#[derive(Debug)]
struct PendingFact {
    fact: LogFact,
    /// When to stop retrying; `None` retries until the log confirms the fact.
    deadline: Option<Instant>,
    /// Signalled when the log confirms the append.
    confirmed: Option<oneshot::Sender<()>>,
}

/// Whether appends to a stream succeed.
#[derive(Clone, Copy, Debug, Default)]
struct AppenderHealth {
    /// Consecutive failed appends.
    failures: u32,
    /// When the newest failure stops counting.
    failing_until: Option<Instant>,
}

/// The handle through which [`LogWriter`] uses the appender of one stream.
#[derive(Debug)]
struct AppenderHandle {
    sender: mpsc::UnboundedSender<PendingFact>,
    shared: Arc<AppenderShared>,
}

/// The state shared by the appender of a stream and its handle.
#[derive(Debug, Default)]
struct AppenderShared {
    health: watch::Sender<AppenderHealth>,
    /// The number of unconfirmed facts with a deadline.
    with_deadline: AtomicUsize,
    /// The number of unconfirmed facts without a deadline.
    without_deadline: AtomicUsize,
    /// The number of appends sent, retries included.
    appends: AtomicUsize,
}

/// Appends facts to the log, with one task per stream.
#[derive(Debug)]
pub struct LogWriter {
    platform: PlatformClient,
    appenders: Mutex<BTreeMap<StreamId, AppenderHandle>>,
}

impl LogWriter {
    /// A writer to the log of `platform`; a stream's task starts at its first use.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform, appenders: Mutex::new(BTreeMap::new()) }
    }

    /// Appends a fact, retrying until the log confirms it or `deadline` passes. Only reading the
    /// fact back shows whether it is in the log.
    pub fn submit(&self, stream: StreamId, fact: LogFact, deadline: Option<Instant>) {
        self.send(stream, PendingFact { fact, deadline, confirmed: None });
    }

    /// Like [`LogWriter::submit`], but fails if too many facts with a deadline are pending.
    pub fn try_submit(
        &self,
        stream: StreamId,
        fact: LogFact,
        deadline: Instant,
    ) -> Result<(), QueueFull> {
        let waiting = self.with_appender(stream, |appender| {
            appender.shared.with_deadline.load(Ordering::Relaxed)
        });
        if waiting >= QUEUE_LIMIT {
            return Err(QueueFull);
        }
        self.submit(stream, fact, Some(deadline));
        Ok(())
    }

    /// Like [`LogWriter::submit`], and signals when the log confirms the append.
    pub fn submit_tracked(
        &self,
        stream: StreamId,
        fact: LogFact,
        deadline: Option<Instant>,
    ) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.send(stream, PendingFact { fact, deadline, confirmed: Some(sender) });
        receiver
    }

    /// Whether the newest appends to a stream failed.
    pub fn is_failing(&self, stream: StreamId) -> bool {
        self.with_appender(stream, |appender| {
            let health = *appender.shared.health.borrow();
            health.failures >= FAILURE_LIMIT
                && health.failing_until.is_some_and(|deadline| Instant::now() < deadline)
        })
    }

    /// A signal that changes with each append to a stream that succeeds or fails.
    pub fn subscribe(&self, stream: StreamId) -> impl Future<Output = ()> + use<> {
        let mut health = self.with_appender(stream, |appender| appender.shared.health.subscribe());
        async move {
            // The writer owns the sender, so the wait cannot fail while the writer exists.
            let _ = health.changed().await;
        }
    }

    /// The number of unconfirmed facts without a deadline, which must still reach the log.
    pub fn pending_without_deadline(&self) -> usize {
        let appenders = self.appenders.lock().unwrap_or_else(PoisonError::into_inner);
        appenders
            .values()
            .map(|appender| appender.shared.without_deadline.load(Ordering::Relaxed))
            .sum()
    }

    /// The number of appends sent so far, retries included.
    pub fn appends(&self) -> usize {
        let appenders = self.appenders.lock().unwrap_or_else(PoisonError::into_inner);
        appenders.values().map(|appender| appender.shared.appends.load(Ordering::Relaxed)).sum()
    }

    fn send(&self, stream: StreamId, pending: PendingFact) {
        self.with_appender(stream, |appender| {
            appender.shared.pending_count(&pending).fetch_add(1, Ordering::Relaxed);
            if appender.sender.send(pending).is_err() {
                log::error!("log: The appender of {stream} has stopped.");
            }
        });
    }

    fn with_appender<T>(&self, stream: StreamId, action: impl FnOnce(&AppenderHandle) -> T) -> T {
        let mut appenders = self.appenders.lock().unwrap_or_else(PoisonError::into_inner);
        let appender = appenders.entry(stream).or_insert_with(|| {
            let (sender, receiver) = mpsc::unbounded_channel();
            let shared = Arc::new(AppenderShared::default());
            let appender = StreamAppender {
                platform: self.platform.clone(),
                stream,
                receiver,
                shared: shared.clone(),
                pending: Vec::new(),
                pause: RETRY_PAUSE,
            };
            tokio::spawn(appender.run());
            AppenderHandle { sender, shared }
        });
        action(appender)
    }
}

impl AppenderShared {
    fn pending_count(&self, pending: &PendingFact) -> &AtomicUsize {
        match pending.deadline {
            Some(_) => &self.with_deadline,
            None => &self.without_deadline,
        }
    }
}

/// The task that appends to one stream.
struct StreamAppender {
    platform: PlatformClient,
    stream: StreamId,
    receiver: mpsc::UnboundedReceiver<PendingFact>,
    shared: Arc<AppenderShared>,
    /// The unconfirmed facts of the current batch, oldest first.
    pending: Vec<PendingFact>,
    /// The pause after the next failure.
    pause: Duration,
}

impl StreamAppender {
    async fn run(mut self) {
        let mut next_append = Instant::now();
        loop {
            if self.pending.is_empty() {
                let Some(fact) = self.receiver.recv().await else { return };
                self.pending.push(fact);
                let batch_ready = Instant::now() + BATCH_DELAY;
                tokio::time::sleep_until(batch_ready.max(next_append)).await;
            }
            self.gather();
            self.drop_expired();
            if self.pending.is_empty() {
                continue;
            }
            next_append = Instant::now() + APPEND_INTERVAL;
            self.append().await;
        }
    }

    fn gather(&mut self) {
        let mut bytes: usize = self.pending.iter().map(|pending| answer_bytes(&pending.fact)).sum();
        while self.pending.len() < MAX_BATCH_FACTS && bytes < BATCH_ANSWER_BYTES {
            let Ok(pending) = self.receiver.try_recv() else { return };
            bytes += answer_bytes(&pending.fact);
            self.pending.push(pending);
        }
    }

    fn drop_expired(&mut self) {
        let now = Instant::now();
        let shared = &self.shared;
        self.pending.retain(|pending| {
            let unexpired = pending.deadline.is_none_or(|deadline| deadline > now);
            if !unexpired {
                shared.pending_count(pending).fetch_sub(1, Ordering::Relaxed);
            }
            unexpired
        });
    }

    async fn append(&mut self) {
        let facts: Vec<LogFact> = self.pending.iter().map(|pending| pending.fact.clone()).collect();
        let body = Bytes::from(encode_facts(&facts));
        self.shared.appends.fetch_add(1, Ordering::Relaxed);
        match self.platform.append(self.stream, body).await {
            Ok(_) => {
                for pending in self.pending.drain(..) {
                    self.shared.pending_count(&pending).fetch_sub(1, Ordering::Relaxed);
                    if let Some(confirmed) = pending.confirmed {
                        let _ = confirmed.send(());
                    }
                }
                self.pause = RETRY_PAUSE;
                self.shared.health.send_replace(AppenderHealth::default());
            }
            Err(error) => {
                log::debug!("log: An append to {} failed: {error}.", self.stream);
                // A rate limit shows that the log works; the pending facts are only delayed.
                if !is_throttled(&error) {
                    let failing_until = Some(Instant::now() + self.pause + RETRY_SLACK);
                    self.shared.health.send_modify(|health| {
                        health.failures = health.failures.saturating_add(1);
                        health.failing_until = failing_until;
                    });
                }
                tokio::time::sleep(self.pause).await;
                self.pause = (self.pause * 2).min(MAX_RETRY_PAUSE);
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
