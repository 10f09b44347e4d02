//! Offers a schedule to a bench, open loop: [`run_load`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::caller::CallEnd;
use crate::caller::CallOrder;
use crate::caller::call;
use crate::plan::BenchPlan;
use crate::schedule::LoadSchedule;
use crate::schedule::PlannedRequest;
use banyan_http::client::PlainClient;
use banyan_http::client::plain_client;

/// What became of one request; all times are from the start of the load.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// When it was meant to be sent.
    pub at: Duration,
    /// The workspace's index in the plan.
    pub workspace: usize,
    /// The entry that took it.
    pub entry: usize,
    /// The number of tokens asked for.
    pub asked: u64,
    /// The deadline.
    pub deadline: Duration,
    /// How it ended.
    pub end: CallEnd,
    /// When each token came.
    pub tokens: Vec<Duration>,
    /// When it ended.
    pub ended: Duration,
}

/// The entries as the balancer sees them: it passes over one that refuses connections.
#[derive(Clone, Debug)]
pub struct EntryList {
    addresses: Arc<Mutex<Vec<Option<SocketAddr>>>>,
}

impl EntryList {
    /// Entries that all take requests.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let addresses = addresses.into_iter().map(Some).collect();
        Self { addresses: Arc::new(Mutex::new(addresses)) }
    }

    /// Puts an entry in place of another or at the end.
    pub fn put(&self, index: usize, address: SocketAddr) {
        let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        if index >= addresses.len() {
            addresses.resize(index + 1, None);
        }
        addresses[index] = Some(address);
    }

    /// Takes an entry out.
    pub fn remove(&self, index: usize) {
        let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(address) = addresses.get_mut(index) {
            *address = None;
        }
    }

    /// The entry for a drawn number, evenly over those that take requests.
    pub fn pick(&self, drawn: usize) -> Option<(usize, SocketAddr)> {
        let addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = addresses.iter().enumerate();
        let live: Vec<_> = rows.filter_map(|(index, address)| Some((index, (*address)?))).collect();
        if live.is_empty() { None } else { Some(live[drawn % live.len()]) }
    }
}

/// Sends every request at its time, whatever became of the ones before, and waits for all.
pub async fn run_load(
    plan: &BenchPlan,
    entries: &EntryList,
    schedule: LoadSchedule,
    start: Instant,
) -> Vec<CallRecord> {
    let client = plain_client();
    let mut calls = JoinSet::new();
    for request in schedule.requests {
        sleep_until(start + request.at).await;
        let token = plan.workspaces[request.workspace].token();
        let order = CallOrder {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            token,
            prompt: request.prompt.clone(),
            tokens: request.tokens,
            deadline: request.deadline,
            layers: plan.layers,
        };
        calls.spawn(run_call(client.clone(), entries.clone(), request, order, start));
    }
    calls.join_all().await
}

async fn run_call(
    client: PlainClient,
    entries: EntryList,
    request: PlannedRequest,
    mut order: CallOrder,
    start: Instant,
) -> CallRecord {
    let mut drawn = request.entry;
    loop {
        let Some((entry, address)) = entries.pick(drawn) else {
            let end = CallEnd::Lost(SmolStr::new_static("no entry takes requests"));
            return record(request, 0, end, Vec::new(), Instant::now(), start);
        };
        order.address = address;
        let result = call(&client, &order).await;
        if result.end == CallEnd::Unreached {
            // As a balancer does: an entry that refuses connections gets no more requests.
            entries.remove(entry);
            drawn = drawn.wrapping_add(1);
            continue;
        }
        return record(request, entry, result.end, result.tokens, result.ended, start);
    }
}

fn record(
    request: PlannedRequest,
    entry: usize,
    end: CallEnd,
    tokens: Vec<Instant>,
    ended: Instant,
    start: Instant,
) -> CallRecord {
    CallRecord {
        at: request.at,
        workspace: request.workspace,
        entry,
        asked: request.tokens,
        deadline: request.deadline,
        end,
        tokens: tokens.into_iter().map(|at| at - start).collect(),
        ended: ended - start,
    }
}
