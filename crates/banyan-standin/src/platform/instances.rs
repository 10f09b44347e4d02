//! The instance list, which may lag: [`InstanceTable`].

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use banyan_wire::platform::InstanceWire;
use banyan_wire::platform::InstancesReply;

/// The most versions of the list that are kept for readers that lag.
const VERSION_LIMIT: usize = 4096;

/// The rows and the versions of the list that a reader may still see.
#[derive(Debug)]
pub(super) struct InstanceTable {
    rows: BTreeMap<SmolStr, InstanceWire>,
    version: u64,
    /// Versions with the time from which they held, oldest first; never empty.
    versions: VecDeque<(Instant, InstancesReply)>,
    lag: Duration,
}

impl InstanceTable {
    /// An empty list.
    pub(super) fn new(lag: Duration) -> Self {
        let versions = VecDeque::from([(Instant::now(), InstancesReply::default())]);
        Self { rows: BTreeMap::new(), version: 0, versions, lag }
    }

    /// Changes how old the list is.
    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Adds or replaces a row.
    pub(super) fn put(&mut self, row: InstanceWire) {
        if self.rows.get(&row.name) == Some(&row) {
            return;
        }
        self.rows.insert(row.name.clone(), row);
        self.publish();
    }

    /// Takes a row off.
    pub(super) fn remove(&mut self, name: &str) {
        if self.rows.remove(name).is_some() {
            self.publish();
        }
    }

    /// The list as a reader sees it now.
    pub(super) fn view(&self) -> InstancesReply {
        let now = Instant::now();
        let seen = self.versions.iter().rev().find(|(from, _)| *from + self.lag <= now);
        let oldest = self.versions.front();
        seen.or(oldest).map(|(_, reply)| reply.clone()).unwrap_or_default()
    }

    fn publish(&mut self) {
        self.version += 1;
        let instances = self.rows.values().cloned().collect();
        let reply = InstancesReply { version: self.version, instances };
        self.versions.push_back((Instant::now(), reply));
        if self.versions.len() > VERSION_LIMIT {
            self.versions.pop_front();
        }
    }
}
