//! The other instances: [`run_peers`] finds and asks them, [`serve_peers`] answers them.
//!
//! Each round exchanges digests with a few peers: what is under way, which targets do not answer, and
//! how far each has read what the platform keeps. An instance that lags behind its peers, or knows
//! nothing since it started while the platform was away, takes a peer's snapshot.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bincode::DefaultOptions;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tarpc::client;
use tarpc::context;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::Framed;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::digests::own_digest;
use crate::digests::own_snapshot;
use crate::digests::take_digest;
use crate::digests::take_snapshot;
use crate::edges::Platform;
use crate::feeds;
use crate::news;
use crate::state::ForwardState;
use banyan_core::units::Moment;
use banyan_wire::forward::FeedPosition;
use banyan_wire::forward::FeedUpdate;
use banyan_wire::forward::ForwardDigest;
use banyan_wire::forward::ForwardService;
use banyan_wire::forward::ForwardServiceClient;
use banyan_wire::forward::ForwardSnapshot;

/// The time between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(400);
/// The peers that are asked in one round at most.
const PEERS_A_ROUND: usize = 8;
/// The time that a connection or an exchange may take.
const EXCHANGE_LIMIT: Duration = Duration::from_millis(350);
/// The time that a snapshot may take.
const SNAPSHOT_LIMIT: Duration = Duration::from_millis(1_500);
/// The time for which a peer that did not answer is not asked.
const SILENT_PAUSE: Duration = Duration::from_millis(1_200);
/// The time between two readings of the list of peers.
const LISTING_PAUSE: Duration = Duration::from_secs(20);
/// The time after a failed reading of the list.
const LISTING_RETRY: Duration = Duration::from_millis(1_500);
/// The time for which an instance may lag behind a peer before it takes the peer's snapshot.
const LAG_LIMIT: Duration = Duration::from_millis(900);
/// The longest message, in bytes.
const FRAME_LIMIT_BYTES: usize = 32 << 20;

/// The peers that are known, and the connections to them.
#[derive(Debug, Default)]
struct PeerDesk {
    /// Where each peer answers. Seeds stand under the address alone until they say who they are.
    addresses: BTreeSet<SocketAddr>,
    links: BTreeMap<SocketAddr, ForwardServiceClient>,
    silent: BTreeMap<SocketAddr, Moment>,
    /// Where the next round goes on.
    turn: usize,
    /// When the list is read next.
    listing: Moment,
    announced: bool,
    lagging: Option<Moment>,
}

/// Exchanges digests with peers until the daemon ends.
pub async fn run_peers<P: Platform>(state: Arc<ForwardState<P>>) {
    let mut desk = PeerDesk::default();
    let settings = state.settings();
    desk.addresses.extend(settings.seeds.iter().copied());
    desk.addresses.remove(&settings.peer_address);
    loop {
        exchange_round(&state, &mut desk).await;
        read_listing(&state, &mut desk).await;
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

/// Tells the platform where this instance answers, and reads where the others do.
async fn read_listing<P: Platform>(state: &Arc<ForwardState<P>>, desk: &mut PeerDesk) {
    let now = state.now();
    let settings = state.settings();
    if now < desk.listing {
        return;
    }
    desk.listing = now + LISTING_RETRY;
    if !desk.announced {
        match state.platform.announce(&settings.instance, settings.peer_address).await {
            Ok(()) => {
                feeds::note_answer(state, "announcement");
                desk.announced = true;
            }
            Err(error) => return feeds::note_trouble(state, "announcement", &error),
        }
    }
    match state.platform.peers().await {
        Ok(peers) => {
            feeds::note_answer(state, "peers");
            desk.addresses.extend(peers.into_values());
            desk.addresses.remove(&settings.peer_address);
            desk.listing = now + LISTING_PAUSE;
            state.tables().set_peers(desk.addresses.len());
        }
        Err(error) => feeds::note_trouble(state, "peers", &error),
    }
}

async fn exchange_round<P: Platform>(state: &Arc<ForwardState<P>>, desk: &mut PeerDesk) {
    let now = state.now();
    desk.silent.retain(|_, until| now < *until);
    take_addresses(state, desk);
    let awake: Vec<SocketAddr> =
        desk.addresses.iter().filter(|at| !desk.silent.contains_key(at)).copied().collect();
    if awake.is_empty() {
        return;
    }
    let count = awake.len().min(PEERS_A_ROUND);
    let chosen: Vec<SocketAddr> =
        (0..count).map(|step| awake[(desk.turn + step) % awake.len()]).collect();
    desk.turn = (desk.turn + count) % awake.len();
    let digest = own_digest(state);
    let asking: FuturesUnordered<_> = chosen
        .into_iter()
        .map(|address| {
            let link = desk.links.remove(&address);
            let digest = digest.clone();
            async move { (address, exchange(address, link, digest).await) }
        })
        .collect();
    let answers: Vec<_> = asking.collect().await;
    let mut ahead = None;
    for (address, answer) in answers {
        match answer {
            Some((link, digest)) => {
                desk.links.insert(address, link);
                if is_ahead(state, &digest) {
                    ahead = Some(address);
                }
                take_digest(state, digest);
            }
            None => {
                desk.silent.insert(address, state.now() + SILENT_PAUSE);
            }
        }
    }
    state.tables().loads.set_baseline();
    let Some(address) = ahead else {
        desk.lagging = None;
        return;
    };
    let since = *desk.lagging.get_or_insert(now);
    let knows_nothing = state.tables().routes.is_none() || !state.tables().fleet_known;
    if (knows_nothing || now.since(since) >= LAG_LIMIT)
        && let Some(link) = desk.links.get(&address)
        && let Some(snapshot) = ask_snapshot(link).await
    {
        take_snapshot(state, address, snapshot);
    }
}

/// Takes in where peers answer that were heard: whoever starts later calls the others.
fn take_addresses<P>(state: &ForwardState<P>, desk: &mut PeerDesk) {
    let own = state.settings().peer_address;
    let mut tables = state.tables();
    desk.addresses.extend(tables.readers.addresses().filter(|address| *address != own));
    // Until they were listed once, there may be many more.
    if tables.peers_listed.is_some() {
        tables.set_peers(desk.addresses.len());
    }
}

async fn exchange(
    address: SocketAddr,
    link: Option<ForwardServiceClient>,
    digest: ForwardDigest,
) -> Option<(ForwardServiceClient, ForwardDigest)> {
    let work = async {
        let link = linked(address, link).await?;
        let answer = link.exchange(call_context(EXCHANGE_LIMIT), digest).await.ok()?;
        Some((link, answer))
    };
    // A connection that did not answer in time may have gone silent for good: it is let go.
    tokio::time::timeout(EXCHANGE_LIMIT, work).await.ok().flatten()
}

async fn ask_snapshot(link: &ForwardServiceClient) -> Option<ForwardSnapshot> {
    let asking = link.snapshot(call_context(SNAPSHOT_LIMIT));
    match tokio::time::timeout(SNAPSHOT_LIMIT, asking).await {
        Ok(Ok(snapshot)) => Some(snapshot),
        Ok(Err(error)) => {
            tracing::info!(part = "peers", %error, "No snapshot came.");
            None
        }
        Err(_) => None,
    }
}

/// The connection to a peer that was kept, or a new one.
pub async fn linked(
    address: SocketAddr,
    kept: Option<ForwardServiceClient>,
) -> Option<ForwardServiceClient> {
    match kept {
        Some(link) => Some(link),
        None => connect(address).await.ok(),
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<ForwardServiceClient> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let transport = serde_transport::new(Framed::new(stream, frames()), format());
    Ok(ForwardServiceClient::new(client::Config::default(), transport).spawn())
}

/// Numbers as short as they are: most of a digest is small numbers.
fn format<Received, Sent>() -> Bincode<Received, Sent, DefaultOptions> {
    Bincode::from(DefaultOptions::new())
}

fn frames() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT_BYTES).new_codec()
}

/// The context of a call that may take `limit`.
pub fn call_context(limit: Duration) -> Context {
    let mut context = context::current();
    context.deadline = (tokio::time::Instant::now() + limit).into_std();
    context
}

/// Whether a peer has read more of what the platform keeps than this instance.
fn is_ahead<P>(state: &ForwardState<P>, digest: &ForwardDigest) -> bool {
    let tables = state.tables();
    let version = tables.routes.as_ref().map_or(0, |record| record.table.version);
    let next = tables.history.next().map_or(0, |next| next.0);
    let stale = state.now().since(tables.fleet_read) >= LAG_LIMIT;
    digest.configuration > version || (stale && digest.fleet_next > next)
}

/// Answers one peer's calls.
struct PeerAnswerer<P> {
    state: Arc<ForwardState<P>>,
}

impl<P> Clone for PeerAnswerer<P> {
    fn clone(&self) -> Self {
        Self { state: self.state.clone() }
    }
}

impl<P: Platform> ForwardService for PeerAnswerer<P> {
    async fn exchange(self, _: Context, digest: ForwardDigest) -> ForwardDigest {
        take_digest(&self.state, digest);
        own_digest(&self.state)
    }

    async fn snapshot(self, _: Context) -> ForwardSnapshot {
        own_snapshot(&self.state)
    }

    async fn news(self, _: Context, behind: FeedPosition) -> FeedUpdate {
        news::wait_for_news(&self.state, behind).await
    }
}

/// Answers peers until the daemon ends.
pub async fn serve_peers<P: Platform>(state: Arc<ForwardState<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_peer(state.clone(), stream));
            }
            Err(error) => {
                tracing::warn!(part = "peers", %error, "A connection was not accepted.");
                tokio::time::sleep(ROUND_PAUSE).await;
            }
        }
    }
}

async fn serve_peer<P: Platform>(state: Arc<ForwardState<P>>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(part = "peers", %error, "A connection keeps its delay.");
    }
    crate::link::limit_unacknowledged(&stream, SILENT_PAUSE);
    let transport = serde_transport::new(Framed::new(stream, frames()), format());
    let channel = BaseChannel::with_defaults(transport);
    let answers = channel.execute(PeerAnswerer { state }.serve());
    answers.for_each_concurrent(None, |answer| answer).await;
}
