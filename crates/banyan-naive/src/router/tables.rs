//! Shared state of the router: [`RouterState`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::router::NaiveOptions;
use banyan_core::declaration::Declaration;
use banyan_core::declaration::TargetRole;
use banyan_core::ids::FileId;
use banyan_core::ids::LayerRange;
use banyan_http::client::JsonClient;

/// The state that the router's tasks share.
#[derive(Debug)]
pub(super) struct RouterState {
    /// The options, fixed at startup.
    pub(super) options: NaiveOptions,
    /// The HTTP client, whose connections are shared by all requests.
    pub(super) client: JsonClient,
    /// The prefix of request ids.
    name: SmolStr,
    tables: Mutex<RouterTables>,
}

/// The mutable state of the router.
#[derive(Debug, Default)]
pub(super) struct RouterTables {
    /// The latest proposed text of each configuration file.
    pub(super) files: BTreeMap<FileId, Arc<str>>,
    /// The declaration merged from `files`.
    pub(super) declaration: Declaration,
    /// The log offset of the next configuration entry to read.
    pub(super) next_offset: u64,
    /// The stored answers, by idempotency key.
    pub(super) answers: BTreeMap<SmolStr, Bytes>,
    /// The targets marked as leaving in the instance list.
    pub(super) leaving: BTreeSet<SmolStr>,
    /// The number of claim appends that failed.
    pub(super) failed_claims: u64,
    /// The last number used for a request id or a round-robin turn.
    counter: usize,
}

impl RouterState {
    /// Creates the state of a router that listens at this address.
    pub(super) fn new(options: NaiveOptions, address: SocketAddr) -> Self {
        Self {
            options,
            client: JsonClient::new(options.try_timeout),
            name: format_smolstr!("naive-{}", address.port()),
            tables: Mutex::default(),
        }
    }

    /// Locks the mutable state; a poisoned lock is still used.
    pub(super) fn tables(&self) -> MutexGuard<'_, RouterTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a new request id.
    pub(super) fn next_request(&self) -> SmolStr {
        let number = self.tables().next_turn();
        format_smolstr!("{}.{number}", self.name)
    }

    /// Returns the next replica of a service, round robin.
    pub(super) fn next_replica(&self, service: &str) -> Option<SocketAddr> {
        let mut tables = self.tables();
        let turn = tables.next_turn();
        let replicas = tables.live_targets(|role| match role {
            TargetRole::Service { service: name } => (name.as_str() == service).then_some(()),
            TargetRole::Engine { .. } => None,
        });
        let (_, address) = replicas.get(turn % replicas.len().max(1))?;
        Some(*address)
    }

    /// Returns the engines of a model, grouped by their layers.
    pub(super) fn engines(&self, model: &str) -> BTreeMap<LayerRange, Vec<SocketAddr>> {
        let engines = self.tables().live_targets(|role| match role {
            TargetRole::Engine { model: name, layers, .. } => {
                (name.as_str() == model).then_some(*layers)
            }
            TargetRole::Service { .. } => None,
        });
        let mut stages: BTreeMap<LayerRange, Vec<SocketAddr>> = BTreeMap::new();
        for (layers, address) in engines {
            stages.entry(layers).or_default().push(address);
        }
        stages
    }
}

impl RouterTables {
    fn next_turn(&mut self) -> usize {
        self.counter += 1;
        self.counter
    }

    /// Returns the targets that `select` accepts and that the cached list does not mark as leaving.
    fn live_targets<T>(&self, select: impl Fn(&TargetRole) -> Option<T>) -> Vec<(T, SocketAddr)> {
        let targets = self.declaration.targets.iter();
        let live = targets.filter(|(name, _)| !self.leaving.contains(name.as_str()));
        live.filter_map(|(_, spec)| Some((select(&spec.role)?, spec.address))).collect()
    }
}
