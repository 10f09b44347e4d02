//! Appends facts to the log: [`LogWriter`].
//!
//! Facts for one stream that come within a short time go into one append, since the log takes only
//! several hundred a second. An append that fails or whose answer is lost is sent again with the
//! same record ids, so that the copies fold to nothing.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::platform::PlatformClient;
use banyan_core::record::LogFact;
use banyan_core::record::StreamId;
use banyan_wire::log::encode_facts;

/// The time that facts are gathered before they go out together.
const GATHER_TIME: Duration = Duration::from_millis(4);
/// The most facts in one append.
const FACT_LIMIT: usize = 256;
/// The pause after a failed append, doubled up to [`RETRY_LIMIT`].
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause between tries.
const RETRY_LIMIT: Duration = Duration::from_secs(2);

/// A fact on its way to the log.
#[derive(Clone, Debug)]
struct PendingFact {
    fact: LogFact,
    /// When to stop trying; `None` tries until it lands.
    until: Option<Instant>,
}

/// The appender, with one task a stream.
#[derive(Debug)]
pub struct LogWriter {
    platform: PlatformClient,
    lanes: Mutex<BTreeMap<StreamId, mpsc::UnboundedSender<PendingFact>>>,
}

impl LogWriter {
    /// An appender to the log of `platform`.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform, lanes: Mutex::new(BTreeMap::new()) }
    }

    /// Appends a fact, trying until it lands or until `until`. Whether it landed is known only
    /// from reading it back.
    pub fn submit(&self, stream: StreamId, fact: LogFact, until: Option<Instant>) {
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        let lane = lanes.entry(stream).or_insert_with(|| {
            let (sender, receiver) = mpsc::unbounded_channel();
            tokio::spawn(run_lane(self.platform.clone(), stream, receiver));
            sender
        });
        if lane.send(PendingFact { fact, until }).is_err() {
            log::error!("log: The appender of {stream} is gone.");
        }
    }
}

async fn run_lane(
    platform: PlatformClient,
    stream: StreamId,
    mut receiver: mpsc::UnboundedReceiver<PendingFact>,
) {
    let mut pending: Vec<PendingFact> = Vec::new();
    let mut pause = RETRY_PAUSE;
    loop {
        if pending.is_empty() {
            let Some(fact) = receiver.recv().await else { return };
            pending.push(fact);
            tokio::time::sleep(GATHER_TIME).await;
        }
        while pending.len() < FACT_LIMIT {
            let Ok(fact) = receiver.try_recv() else { break };
            pending.push(fact);
        }
        let now = Instant::now();
        pending.retain(|fact| fact.until.is_none_or(|until| until > now));
        if pending.is_empty() {
            continue;
        }
        let facts: Vec<LogFact> = pending.iter().map(|pending| pending.fact.clone()).collect();
        match platform.append(stream, Bytes::from(encode_facts(&facts))).await {
            Ok(_) => {
                pending.clear();
                pause = RETRY_PAUSE;
            }
            Err(error) => {
                log::debug!("log: An append to {stream} has no answer: {error}.");
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(RETRY_LIMIT);
            }
        }
    }
}
