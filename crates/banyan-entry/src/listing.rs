//! Reads the platform's instance list: [`run_listing`] learns of peers and of leaving targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::MissedTickBehavior;

use crate::state::EntryState;
use banyan_core::ids::InstanceId;
use banyan_wire::platform::InstanceRole;
use banyan_wire::platform::InstanceState;
use banyan_wire::platform::InstanceWire;
use banyan_wire::platform::InstancesReply;

/// The time between two reads of the list.
const LIST_PAUSE: Duration = Duration::from_millis(500);
/// The number of older lists in a row, ten minutes of them, after which the list is taken to have
/// begun anew. Until then an old list must not take back that a target is leaving.
const OLDER_LIMIT: u32 = 1_200;

/// Tells new lists from stale ones.
#[derive(Debug, Default)]
struct ListVersion {
    newest: u64,
    older: u32,
}

/// Reads the instance list for as long as the daemon runs.
pub async fn run_listing(state: Arc<EntryState>) {
    let mut version = ListVersion::default();
    let mut ticks = tokio::time::interval(LIST_PAUSE);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match state.platform.instances().await {
            Ok(reply) if version.accept(reply.version) => take_list(&state, &reply),
            Ok(reply) => log::debug!("platform: The list of version {} is stale.", reply.version),
            Err(error) => log::debug!("platform: The list was not read: {error}."),
        }
    }
}

impl ListVersion {
    fn accept(&mut self, version: u64) -> bool {
        if version < self.newest && self.older < OLDER_LIMIT {
            self.older += 1;
            return false;
        }
        self.newest = version;
        self.older = 0;
        true
    }
}

fn take_list(state: &EntryState, reply: &InstancesReply) {
    let own = &state.settings.instance;
    let mut peers: BTreeMap<InstanceId, (Option<SocketAddr>, bool)> = BTreeMap::new();
    let mut targets: Vec<&InstanceWire> = Vec::new();
    for row in &reply.instances {
        match row.role {
            InstanceRole::Target => targets.push(row),
            InstanceRole::Entry => {
                let Ok(instance) = row.name.parse::<InstanceId>() else { continue };
                if instance == *own {
                    continue;
                }
                let address = row.peer_address.as_ref().and_then(|text| text.parse().ok());
                peers.insert(instance, (address, row.state == InstanceState::Leaving));
            }
        }
    }
    let now = state.now();
    let mut tables = state.tables();
    tables.peers.note_listed(peers, now);
    tables.leaving.note_list(&targets);
}
