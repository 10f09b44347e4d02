//! What the router knows: [`RouterState`].

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

/// What the router's tasks share.
#[derive(Debug)]
pub(super) struct RouterState {
    /// How it behaves.
    pub(super) options: NaiveOptions,
    /// Its client, whose connections are shared by all calls.
    pub(super) client: JsonClient,
    /// Its name in request ids.
    name: SmolStr,
    tables: Mutex<RouterTables>,
}

/// What the router knows.
#[derive(Debug, Default)]
pub(super) struct RouterTables {
    /// The text of each file, as proposed last.
    pub(super) files: BTreeMap<FileId, Arc<str>>,
    /// The declaration of the files.
    pub(super) declaration: Declaration,
    /// The next offset of the configuration.
    pub(super) next: u64,
    /// The answers given, by key.
    pub(super) answers: BTreeMap<SmolStr, Bytes>,
    /// The targets that the instance list named as leaving.
    pub(super) leaving: BTreeSet<SmolStr>,
    /// Appends of claims that were not answered.
    pub(super) failed_claims: u64,
    /// Counts requests and turns.
    counter: usize,
}

impl RouterState {
    /// The state of a router at this address.
    pub(super) fn new(options: NaiveOptions, address: SocketAddr) -> Self {
        Self {
            options,
            client: JsonClient::new(options.try_timeout),
            name: format_smolstr!("naive-{}", address.port()),
            tables: Mutex::default(),
        }
    }

    /// What the router knows.
    pub(super) fn tables(&self) -> MutexGuard<'_, RouterTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A request id.
    pub(super) fn next_request(&self) -> SmolStr {
        let number = self.tables().next_turn();
        format_smolstr!("{}.{number}", self.name)
    }

    /// The next replica of a service, in turn.
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

    /// The engines of a model, by the layers that they hold.
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

    /// The targets that `select` picks and that the cached list does not name as leaving.
    fn live_targets<T>(&self, select: impl Fn(&TargetRole) -> Option<T>) -> Vec<(T, SocketAddr)> {
        let targets = self.declaration.targets.iter();
        let live = targets.filter(|(name, _)| !self.leaving.contains(name.as_str()));
        live.filter_map(|(_, spec)| Some((select(&spec.role)?, spec.address))).collect()
    }
}
