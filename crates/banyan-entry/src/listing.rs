//! Polls the platform's instance list for peers and leaving targets: [`run_listing`].

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

/// The interval at which the list is read.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Consecutive stale lists, about ten minutes of reads, after which the platform is assumed to have
/// reset its list version. Before that, a stale list must not undo that a target is leaving.
const STALE_LIST_LIMIT: u32 = 1_200;

/// Distinguishes current lists from stale ones by their version.
#[derive(Debug, Default)]
struct ListVersion {
    newest: u64,
    stale_reads: u32,
}

/// Polls the instance list for as long as the daemon runs.
pub async fn run_listing(state: Arc<EntryState>) {
    let mut version = ListVersion::default();
    let mut ticks = tokio::time::interval(LIST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match state.platform.instances().await {
            Ok(reply) if version.accept(reply.version) => apply_list(&state, &reply),
            Ok(reply) => log::debug!("platform: The list of version {} is stale.", reply.version),
            Err(error) => log::debug!("platform: The list could not be read: {error}."),
        }
    }
}

impl ListVersion {
    fn accept(&mut self, version: u64) -> bool {
        if version < self.newest && self.stale_reads < STALE_LIST_LIMIT {
            self.stale_reads += 1;
            return false;
        }
        self.newest = version;
        self.stale_reads = 0;
        true
    }
}

fn apply_list(state: &EntryState, reply: &InstancesReply) {
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
