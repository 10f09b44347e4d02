//! Discovers and calls the other instances: [`run_peers`].
//!
//! Each round exchanges digests with a few peers: the active requests, the unreachable targets, and
//! how far each instance has read the platform's store. An instance that lags behind its peers, or
//! that started while the platform was unavailable and has no data, requests a peer's snapshot.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::edges::Platform;
use crate::peers::digests::apply_digest;
use crate::peers::digests::apply_snapshot;
use crate::peers::digests::own_digest;
use crate::peers::peer_link::call_context;
use crate::peers::peer_link::connect_or_reuse;
use crate::state::ForwardState;
use crate::store::call_outcomes;
use banyan_core::ids::InstanceId;
use banyan_core::pipeline::group::LISTING_CONFIRMATION;
use banyan_core::pipeline::log_position::LogPosition;
use banyan_core::units::Moment;
use banyan_wire::forward::ForwardDigest;
use banyan_wire::forward::ForwardServiceClient;
use banyan_wire::forward::ForwardSnapshot;

/// The time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// The largest number of peers that are called in one round.
const PEERS_PER_ROUND: usize = 8;
/// The timeout of one exchange, including connecting to the peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(350);
/// The timeout of a request for a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The time for which a peer that did not answer is not called.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_millis(1_200);
/// The time between two reads of the list of peers.
const LISTING_INTERVAL: Duration = Duration::from_secs(20);
/// The delay before the list of peers is read again after a failure.
const LISTING_RETRY_DELAY: Duration = Duration::from_millis(1_500);
/// The age of the targets from which on a peer's newer ones count as ahead. A follower's are up to
/// one interval of its reader and one request for an update old, and in every round some peer has
/// asked more recently.
const MAX_FLEET_AGE: Duration = Duration::from_millis(2_200);
/// The time for which an instance may lag behind a peer before it requests the peer's snapshot.
const MAX_LAG: Duration = Duration::from_millis(900);

/// The known peers and the connections to them.
#[derive(Debug, Default)]
struct PeerSet {
    /// The addresses of all known peers, including seeds.
    addresses: BTreeSet<SocketAddr>,
    links: BTreeMap<SocketAddr, ForwardServiceClient>,
    /// Peers that did not answer, with the time until which they are not called.
    paused_until: BTreeMap<SocketAddr, Moment>,
    /// The index among the peers at which the next round starts.
    next_index: usize,
    /// When the list of peers is read next.
    next_listing: Moment,
    /// Whether the platform knows this instance's address.
    announced: bool,
    /// Since when a peer has been ahead of this instance in each round.
    lagging_since: Option<Moment>,
}

/// Exchanges digests with peers until the daemon stops.
pub async fn run_peers<P: Platform>(state: Arc<ForwardState<P>>) {
    let mut peers = PeerSet::default();
    let settings = state.settings();
    peers.addresses.extend(settings.seeds.iter().copied());
    peers.addresses.remove(&settings.peer_address);
    loop {
        exchange_round(&state, &mut peers).await;
        read_listing(&state, &mut peers).await;
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

/// Announces this instance's address to the platform and reads the addresses of the other
/// instances.
async fn read_listing<P: Platform>(state: &Arc<ForwardState<P>>, peers: &mut PeerSet) {
    let now = state.now();
    let settings = state.settings();
    if now < peers.next_listing {
        return;
    }
    peers.next_listing = now + LISTING_RETRY_DELAY;
    if !peers.announced {
        match state.platform.announce(&settings.instance, settings.peer_address).await {
            Ok(()) => {
                call_outcomes::record_store_success(state, "announcement");
                peers.announced = true;
            }
            Err(error) => {
                return call_outcomes::record_store_failure(state, "announcement", &error);
            }
        }
    }
    match state.platform.peers().await {
        Ok(listed) => {
            call_outcomes::record_store_success(state, "peers");
            let names: BTreeSet<InstanceId> = listed.keys().cloned().collect();
            peers.addresses.extend(listed.into_values());
            peers.addresses.remove(&settings.peer_address);
            let mut tables = state.tables();
            tables.set_peers(peers.addresses.len());
            tables.group.set_announced(names, now);
            let reads_again = tables.passes_statements_on(now)
                && tables.group.needs_confirmation(&settings.own_instance());
            let interval = if reads_again { LISTING_CONFIRMATION } else { LISTING_INTERVAL };
            peers.next_listing = now + interval;
        }
        Err(error) => call_outcomes::record_store_failure(state, "peers", &error),
    }
}

/// Exchanges digests with the next few peers, and requests a snapshot if this instance lags behind.
async fn exchange_round<P: Platform>(state: &Arc<ForwardState<P>>, peers: &mut PeerSet) {
    let now = state.now();
    peers.paused_until.retain(|_, until| now < *until);
    add_digest_addresses(state, peers);
    let available: Vec<SocketAddr> =
        peers.addresses.iter().filter(|at| !peers.paused_until.contains_key(at)).copied().collect();
    if available.is_empty() {
        return;
    }
    let rounds = peers.addresses.len().div_ceil(PEERS_PER_ROUND) as u32;
    state.tables().readers.set_exchange_cycle((ROUND_INTERVAL + EXCHANGE_TIMEOUT) * rounds);
    let count = available.len().min(PEERS_PER_ROUND);
    let chosen: Vec<SocketAddr> =
        (0..count).map(|step| available[(peers.next_index + step) % available.len()]).collect();
    peers.next_index = (peers.next_index + count) % available.len();
    let digest = own_digest(state);
    let exchanges: FuturesUnordered<_> = chosen
        .into_iter()
        .map(|address| {
            let link = peers.links.remove(&address);
            let digest = digest.clone();
            async move { (address, exchange(address, link, digest).await) }
        })
        .collect();
    let answers: Vec<_> = exchanges.collect().await;
    let mut peer_ahead = None;
    for (address, answer) in answers {
        match answer {
            Some((link, digest)) => {
                peers.links.insert(address, link);
                if is_ahead(state, &digest) {
                    peer_ahead = Some(address);
                }
                apply_digest(state, digest);
            }
            None => {
                let now = state.now();
                peers.paused_until.insert(address, now + UNRESPONSIVE_PAUSE);
                state.tables().readers.note_unanswered(address, now);
            }
        }
    }
    state.tables().loads.set_baseline();
    state.tables().crashes.expire(now);
    state.tables().limits.expire(now);
    state.tables().fleet.expire_leaving(now);
    let Some(address) = peer_ahead else {
        peers.lagging_since = None;
        return;
    };
    let since = *peers.lagging_since.get_or_insert(now);
    let has_no_data = state.tables().configuration.is_none() || !state.tables().fleet_known;
    if (has_no_data || now.since(since) >= MAX_LAG)
        && let Some(link) = peers.links.get(&address)
        && let Some(snapshot) = request_snapshot(link).await
    {
        apply_snapshot(state, address, snapshot);
    }
}

/// Adds the addresses of peers that sent digests. An instance that started earlier learns in this
/// way of those that started later and called it.
fn add_digest_addresses<P>(state: &ForwardState<P>, peers: &mut PeerSet) {
    let own_address = state.settings().peer_address;
    let mut tables = state.tables();
    peers.addresses.extend(tables.readers.addresses().filter(|address| *address != own_address));
    // Before the first listing the number of instances is unknown, since there may be many more.
    if tables.peers_listed.is_some() {
        tables.set_peers(peers.addresses.len());
    }
}

/// Exchanges digests with one peer. Returns `None` if it failed or timed out.
async fn exchange(
    address: SocketAddr,
    link: Option<ForwardServiceClient>,
    digest: ForwardDigest,
) -> Option<(ForwardServiceClient, ForwardDigest)> {
    let call = async {
        let link = connect_or_reuse(address, link).await?;
        let answer = link.exchange(call_context(EXCHANGE_TIMEOUT), digest).await.ok()?;
        Some((link, answer))
    };
    // On a timeout the connection is dropped, because it may be dead.
    tokio::time::timeout(EXCHANGE_TIMEOUT, call).await.ok().flatten()
}

async fn request_snapshot(link: &ForwardServiceClient) -> Option<ForwardSnapshot> {
    let call = link.snapshot(call_context(SNAPSHOT_TIMEOUT));
    match tokio::time::timeout(SNAPSHOT_TIMEOUT, call).await {
        Ok(Ok(snapshot)) => Some(snapshot),
        Ok(Err(error)) => {
            tracing::info!(part = "peers", %error, "A request to a peer for a snapshot failed.");
            None
        }
        Err(_) => None,
    }
}

/// Whether a peer has read newer data from the platform's store. Newer targets count only if this
/// instance's own are older than `MAX_FLEET_AGE`.
fn is_ahead<P>(state: &ForwardState<P>, digest: &ForwardDigest) -> bool {
    let tables = state.tables();
    let version = tables.configuration.as_ref().map_or(0, |record| record.table.version);
    let next = tables.history.next().unwrap_or_default();
    let stale = state.now().since(tables.fleet_read_at) >= MAX_FLEET_AGE;
    digest.configuration > version || (stale && LogPosition::from(digest.fleet_next) > next)
}
