//! Streams from chains of engines: [`serve_stream`].
//!
//! The head of the answer is held until the first event is there, so that a chain that gives none can
//! be replaced unseen. After that whole events are passed on as they come; where a stream may be
//! resumed and stands still or breaks off, a relay goes on at another chain behind the last
//! event that the caller was sent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::time::Instant;

use crate::answer::AnswerBody;
use crate::answer::AnswerBroken;
use crate::answer::relayed;
use crate::answer::whole_body;
use crate::chain_attempt::OpenedStream;
use crate::edges::Platform;
use crate::events::EventBatch;
use crate::leases::RequestLease;
use crate::logs;
use crate::opening::StreamOpener;
use crate::opening::note_progress;
use crate::state::ForwardState;
use crate::ticket::RequestTicket;

/// The part of the pause target after which a stream that stands still is checked.
const PAUSE_PART: f64 = 0.35;
/// How many times that long a chain may stand still whose engines answer.
const TOO_LONG_FACTOR: f64 = 10.0;
/// The pause after which a stream is checked where its route has no pause target.
const DEFAULT_PAUSE: Duration = Duration::from_millis(500);
/// The time after the last event for which a stream without a chain waits for one. Callers wait for two
/// seconds at least.
const RESUME_PATIENCE: Duration = Duration::from_millis(1_600);
/// The time between two tries of a stream that waits for a chain.
const RESUME_PAUSE: Duration = Duration::from_millis(60);
/// The time over which streams leave an engine that gives up layers, so that the engine that takes them
/// over reads one prompt after the other and none waits long.
const LEAVE_SPREAD: Duration = Duration::from_millis(300);
/// Steps in which that time is handed out.
const LEAVE_STEPS: u64 = 64;
/// The time between two checks of a stream that goes on standing still.
const CHECK_PAUSE: Duration = Duration::from_millis(27);

/// Serves a stream: opens a chain and relays what it sends.
pub async fn serve_stream<P: Platform>(
    state: Arc<ForwardState<P>>,
    ticket: RequestTicket,
    active: RequestLease,
) -> Response<AnswerBody> {
    let ticket = Arc::new(ticket);
    let mut opener = StreamOpener::new(state.clone(), ticket.clone());
    let opened = match opener.open().await {
        Ok(opened) => opened,
        Err(refusal) => {
            let took = state.now().since(ticket.received);
            if let Some((head, body)) = opener.take_failure() {
                logs::answered(&ticket, head.status, None, opener.attempts(), took);
                return relayed(head, whole_body(body));
            }
            logs::refused(Some(&ticket.token), refusal, Some(took));
            return refusal.response("no chain of engines gave a stream");
        }
    };
    logs::stream_opened(&ticket, &opened.chain, state.now().since(ticket.received));
    let head = opened.head.clone();
    let relay = StreamRelay::new(state, ticket, opener, opened, active);
    let frames = futures::stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    relayed(head, StreamBody::new(frames).boxed_unsync())
}

/// Passes a stream's events on to the caller and goes on elsewhere where it must.
struct StreamRelay<P: Platform> {
    state: Arc<ForwardState<P>>,
    ticket: Arc<RequestTicket>,
    opener: StreamOpener<P>,
    opened: OpenedStream,
    first: Option<EventBatch>,
    /// When the last event came.
    moved: Instant,
    pause: Duration,
    longest_pause: Duration,
    ended: bool,
    resumed: u32,
    /// The revision of the table of targets at the last look for engines that give up layers.
    fleet_seen: u64,
    /// When engines are left that were found then.
    leave_at: Option<Instant>,
    _active: RequestLease,
}

/// What happened to a stream that is being relayed.
enum StreamTurn {
    Bytes(Bytes),
    End,
    Broken(&'static str),
    Check,
    TimeOver,
}

impl<P: Platform> StreamRelay<P> {
    fn new(
        state: Arc<ForwardState<P>>,
        ticket: Arc<RequestTicket>,
        opener: StreamOpener<P>,
        mut opened: OpenedStream,
        active: RequestLease,
    ) -> Self {
        let pause = ticket.route.pause_target.map_or(DEFAULT_PAUSE, |t| t.mul_f64(PAUSE_PART));
        let first = opened.first.take();
        Self {
            state,
            ticket,
            opener,
            opened,
            first,
            moved: Instant::now(),
            pause,
            longest_pause: Duration::ZERO,
            ended: false,
            resumed: 0,
            fleet_seen: 0,
            leave_at: None,
            _active: active,
        }
    }

    /// The next events, `None` at the end of the whole stream, or an error where it must break off.
    async fn next(&mut self) -> Option<Result<Bytes, AnswerBroken>> {
        if self.ended {
            return None;
        }
        if let Some(first) = self.first.take() {
            return Some(Ok(first.bytes));
        }
        let mut check = self.moved + self.pause;
        loop {
            match self.turn(check).await {
                StreamTurn::Bytes(bytes) => match self.opened.splitter.push(bytes) {
                    Ok(Some(batch)) => {
                        self.note_move();
                        note_progress(&self.state, &self.opened.chain);
                        self.leave_given_up().await;
                        return Some(Ok(batch.bytes));
                    }
                    Ok(None) => {}
                    Err(fault) => {
                        logs::attempt_failed(
                            &self.ticket.token,
                            &self.opened.chain.parts[0].target,
                            &fault.to_string(),
                        );
                        if let Some(broken) = self.resume("its events are damaged").await {
                            return Some(Err(broken));
                        }
                    }
                },
                StreamTurn::End => {
                    self.ended = true;
                    self.log_end(logs::COMPLETE);
                    return None;
                }
                StreamTurn::Broken(cause) => {
                    if let Some(broken) = self.resume(cause).await {
                        return Some(Err(broken));
                    }
                }
                StreamTurn::Check => {
                    check = Instant::now() + CHECK_PAUSE;
                    if self.stands_still()
                        && !self.reroute().await
                        && self.opener.can_resume()
                        && let Some(broken) = self.resume("it stands still").await
                    {
                        return Some(Err(broken));
                    }
                }
                StreamTurn::TimeOver => return Some(Err(self.break_off("time_over"))),
            }
            if let Some(first) = self.first.take() {
                return Some(Ok(first.bytes));
            }
        }
    }

    async fn turn(&mut self, check: Instant) -> StreamTurn {
        let limit = self.state.clock.instant(self.ticket.limit);
        tokio::select! {
            biased;
            frame = self.opened.body.frame() => match frame {
                Some(Ok(frame)) => StreamTurn::Bytes(frame.into_data().unwrap_or_default()),
                Some(Err(_)) => StreamTurn::Broken("its connection broke off"),
                None if self.opened.splitter.has_partial() => {
                    StreamTurn::Broken("it ended within an event")
                }
                None => StreamTurn::End,
            },
            () = tokio::time::sleep_until(limit) => StreamTurn::TimeOver,
            () = tokio::time::sleep_until(check) => StreamTurn::Check,
        }
    }

    /// Whether the stream should go on elsewhere: an engine of its chain does not answer, or the chain
    /// has given nothing for so long that the caller is about to give up.
    fn stands_still(&mut self) -> bool {
        self.opener.probe_silent(&self.opened.chain, self.pause);
        if self.opener.doubt_unanswering(&self.opened.chain) {
            return true;
        }
        let too_long =
            self.opener.can_resume() && self.moved.elapsed() >= self.pause.mul_f64(TOO_LONG_FACTOR);
        if too_long {
            self.opener.avoid_chain(&self.opened.chain);
        }
        too_long
    }

    /// Leaves engines that were ordered to give up layers of the chain, since they load nothing else as
    /// long as a stream passes through them.
    async fn leave_given_up(&mut self) {
        let now = Instant::now();
        match self.leave_at {
            Some(at) if at <= now => {
                self.leave_at = None;
                self.reroute().await;
            }
            Some(_) => {}
            None => {
                let mut tables = self.state.tables();
                let revision = tables.fleet.revision;
                if revision == self.fleet_seen {
                    return;
                }
                self.fleet_seen = revision;
                if tables.is_losing_layers(&self.opened.chain) {
                    let place = tables.draw() % LEAVE_STEPS;
                    self.leave_at =
                        Some(now + LEAVE_SPREAD.mul_f64(place as f64 / LEAVE_STEPS as f64));
                }
            }
        }
    }

    /// Leaves engines of the chain while the stream runs on; tells whether it does.
    async fn reroute(&mut self) -> bool {
        let Some((chain, lease)) = self.opener.reroute(&self.opened.chain).await else {
            return false;
        };
        self.opened.chain = chain;
        self.opened.lease = lease;
        true
    }

    /// Goes on at another chain; gives an error if there is none that will.
    async fn resume(&mut self, cause: &'static str) -> Option<AnswerBroken> {
        let after = self.opened.splitter.last_id();
        logs::stream_interrupted(&self.ticket, &self.opened.chain, after, cause);
        if !self.opener.can_resume() || after.is_none() {
            return Some(self.break_off(cause));
        }
        self.opener.resume_after(after);
        let patience = self.moved + RESUME_PATIENCE;
        loop {
            match self.opener.open().await {
                Ok(mut opened) => {
                    self.first = opened.first.take();
                    self.opened = opened;
                    self.note_move();
                    self.resumed += 1;
                    return None;
                }
                // A chain may come back while the caller still waits: layers are being loaded.
                Err(_) if self.opener.can_resume() && Instant::now() < patience => {
                    tokio::time::sleep(RESUME_PAUSE).await;
                    self.opener.forgive();
                }
                Err(refusal) => return Some(self.break_off(refusal.as_str())),
            }
        }
    }

    fn note_move(&mut self) {
        let now = Instant::now();
        self.longest_pause = self.longest_pause.max(now - self.moved);
        self.moved = now;
    }

    fn break_off(&mut self, cause: &'static str) -> AnswerBroken {
        self.ended = true;
        self.log_end(cause);
        AnswerBroken(cause)
    }

    fn log_end(&self, outcome: &'static str) {
        let took = self.state.now().since(self.ticket.received);
        let last = self.opened.splitter.last_id();
        logs::stream_ended(&self.ticket, outcome, last, self.resumed, self.longest_pause, took);
    }
}
