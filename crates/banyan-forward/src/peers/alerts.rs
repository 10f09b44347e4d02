//! Calls that pass on news to a few peers at once: [`choose_peers`] and [`call_peer`].
//!
//! Each instance that learns something new passes it on once, so that all know it after a few hops
//! however many they are.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tarpc::client::RpcError;
use tarpc::context::Context;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::peers::peer_link::call_context;
use crate::state::ForwardState;
use banyan_wire::forward::ForwardServiceClient;

/// The number of peers to which an instance passes on what it learned.
const ALERTED_PEERS: usize = 8;
/// The time limit of one call, including connecting to the peer.
const ALERT_TIMEOUT: Duration = Duration::from_millis(250);

/// A random choice of the known peers, which differs between instances.
pub fn choose_peers<P>(state: &ForwardState<P>) -> Vec<SocketAddr> {
    let instance = state.settings().instance.clone();
    let mut tables = state.tables();
    let seed = xxh3_64(instance.as_str().as_bytes()) ^ tables.next_random();
    let mut addresses: Vec<SocketAddr> = tables.readers.addresses().collect();
    drop(tables);
    addresses.sort_by_cached_key(|address| xxh3_64_with_seed(address.to_string().as_bytes(), seed));
    addresses.truncate(ALERTED_PEERS);
    addresses
}

/// Makes one call to a peer. Returns `None` if it failed; digests will tell the peer later.
pub async fn call_peer<P, T, F>(
    state: &ForwardState<P>,
    address: SocketAddr,
    call: impl FnOnce(ForwardServiceClient, Context) -> F,
) -> Option<T>
where
    F: Future<Output = Result<T, RpcError>>,
{
    let answer = async {
        let link = state.peer_links.get(address).await?;
        call(link, call_context(ALERT_TIMEOUT)).await.ok()
    };
    let answer = tokio::time::timeout(ALERT_TIMEOUT, answer).await.ok().flatten();
    if answer.is_none() {
        tracing::debug!(part = "peers", %address, "A peer did not take an alert.");
        state.peer_links.remove(address);
    }
    answer
}
