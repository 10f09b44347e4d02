//! Answers the calls of other instances: [`serve_peers`].

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use smol_str::SmolStr;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_util::codec::Framed;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::edges::Platform;
use crate::engines::checks;
use crate::engines::link::set_unacknowledged_timeout;
use crate::peers::crash_alerts;
use crate::peers::digests::apply_digest;
use crate::peers::digests::own_digest;
use crate::peers::digests::own_snapshot;
use crate::peers::limit_alerts;
use crate::peers::news;
use crate::peers::peer_link::frame_codec;
use crate::peers::peer_link::message_format;
use crate::state::ForwardState;
use banyan_http::connection_slots::ConnectionSlot;
use banyan_http::connection_slots::ConnectionSlots;
use banyan_http::connection_slots::RequestGuard;
use banyan_http::observed_stream::ObservedStream;
use banyan_wire::forward::CheckWire;
use banyan_wire::forward::ClearedWire;
use banyan_wire::forward::FeedPosition;
use banyan_wire::forward::FeedUpdate;
use banyan_wire::forward::ForwardDigest;
use banyan_wire::forward::ForwardService;
use banyan_wire::forward::ForwardSnapshot;
use banyan_wire::forward::LimitWire;
use banyan_wire::forward::SuspectWire;

/// The delay before the next connection is accepted after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(400);
/// The time after which a peer's connection is closed when the peer acknowledges nothing.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The server side of the calls between instances.
struct PeerService<P> {
    state: Arc<ForwardState<P>>,
}

impl<P> Clone for PeerService<P> {
    fn clone(&self) -> Self {
        Self { state: self.state.clone() }
    }
}

impl<P: Platform> ForwardService for PeerService<P> {
    async fn exchange(self, _: Context, digest: ForwardDigest) -> ForwardDigest {
        apply_digest(&self.state, digest);
        own_digest(&self.state)
    }

    async fn snapshot(self, _: Context) -> ForwardSnapshot {
        own_snapshot(&self.state)
    }

    async fn check(self, _: Context, targets: Vec<SmolStr>) -> Vec<CheckWire> {
        checks::answer_check(&self.state, targets).await
    }

    async fn report_suspects(self, _: Context, suspects: Vec<SuspectWire>) -> Vec<ClearedWire> {
        crash_alerts::answer_alert(&self.state, suspects)
    }

    async fn report_limits(self, _: Context, limits: Vec<LimitWire>) {
        limit_alerts::apply_alert(&self.state, limits);
    }

    async fn news(self, _: Context, position: FeedPosition) -> FeedUpdate {
        news::wait_for_update(&self.state, position).await
    }
}

/// Accepts and serves connections of peers until the daemon stops.
pub async fn serve_peers<P: Platform>(state: Arc<ForwardState<P>>, listener: TcpListener) {
    let machine = state.settings().machine;
    let slots = ConnectionSlots::new("peers", machine.peer_connections(), machine.peer_bytes());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(slot) = slots.admit(|| false).await {
                    tokio::spawn(serve_peer(state.clone(), slot, stream));
                }
            }
            Err(error) => {
                tracing::warn!(part = "peers", %error, "Accepting a connection failed.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_peer<P: Platform>(
    state: Arc<ForwardState<P>>,
    slot: Arc<ConnectionSlot>,
    stream: TcpStream,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(part = "peers", %error, "Setting TCP_NODELAY failed.");
    }
    set_unacknowledged_timeout(&stream, UNACKNOWLEDGED_TIMEOUT);
    let stream = ObservedStream::new(stream, slot.clone());
    let transport = serde_transport::new(Framed::new(stream, frame_codec()), message_format());
    let channel = BaseChannel::with_defaults(transport);
    let answers = channel.execute(PeerService { state }.serve());
    let serving = answers.for_each_concurrent(None, |answer| {
        let request_guard = RequestGuard::begin(slot.clone());
        async {
            answer.await;
            drop(request_guard);
        }
    });
    tokio::select! {
        () = serving => {}
        () = slot.must_end() => {}
    }
}
