//! Serves streams from chains of engines: [`serve_stream`].
//!
//! The head of the answer is held back until the first event arrives, so that a chain without one
//! can be replaced without the caller noticing. After that, complete events are relayed as they
//! arrive. If a stream that may be resumed stalls or is cut off, the relay continues on another
//! chain after the last event that was sent to the caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::time::Instant;

use crate::callers::answer::AnswerBody;
use crate::callers::answer::AnswerInterrupted;
use crate::callers::answer::relay_response;
use crate::callers::answer::whole_body;
use crate::callers::routed_request::RoutedRequest;
use crate::edges::Platform;
use crate::engines::chain_attempt::OpenedStream;
use crate::engines::crash_watch::LostConnection;
use crate::engines::crash_watch::examine_loss;
use crate::engines::crash_watch::note_survival;
use crate::engines::events::EventBatch;
use crate::engines::events::EventStreamError;
use crate::engines::exchange::CONNECTION_LOST;
use crate::engines::leases::RequestLease;
use crate::engines::stream_opener::StreamOpener;
use crate::engines::stream_opener::record_progress;
use crate::logs;
use crate::state::ForwardState;
use banyan_core::pipeline::crashes::SURVIVAL_TIME;

/// The fraction of the pause target after which a stream without events is checked.
const STALL_CHECK_FRACTION: f64 = 0.35;
/// A chain whose engines answer probes may stall for this many times the check delay before the
/// stream is resumed on another chain.
const STALL_TIMEOUT_FACTOR: f64 = 10.0;
/// The check delay on routes without a pause target.
const DEFAULT_STALL_CHECK: Duration = Duration::from_millis(500);
/// The time after its last event for which an interrupted stream tries to resume on another chain.
/// Callers wait for at least two seconds.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_600);
/// The interval between attempts to resume a stream.
const RESUME_RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// The time over which streams move away from an engine that unloads layers. Spreading them lets
/// the engine that takes over prefill one prompt after another, so that no stream waits long.
const REROUTE_SPREAD: Duration = Duration::from_millis(300);
/// The number of steps into which [`REROUTE_SPREAD`] is divided.
const REROUTE_STEPS: u64 = 64;
/// The cause of an interruption after which the stream still runs on its chain.
const STALLED: &str = "it stalled";
/// The interval between checks of a stream that remains stalled.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(27);

/// Serves a stream: opens it on a chain and relays its events.
pub async fn serve_stream<P: Platform>(
    state: Arc<ForwardState<P>>,
    request: RoutedRequest,
    active: RequestLease,
) -> Response<AnswerBody> {
    let request = Arc::new(request);
    let mut opener = StreamOpener::new(state.clone(), request.clone());
    let opened = match opener.open().await {
        Ok(opened) => opened,
        Err(refusal) => {
            let elapsed = state.now().since(request.received);
            if let Some((head, body)) = opener.take_error_answer() {
                logs::answered(&request, head.status, None, opener.attempts(), elapsed);
                return relay_response(head, whole_body(body));
            }
            logs::refused(Some(&request.token), refusal, Some(elapsed));
            return refusal.response("no chain of engines gave a stream");
        }
    };
    logs::stream_opened(&request, &opened.chain, state.now().since(request.received));
    let head = opened.head.clone();
    let relay = StreamRelay::new(state, request, opener, opened, active);
    let frames = futures::stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    relay_response(head, StreamBody::new(frames).boxed_unsync())
}

/// Relays a stream's events to the caller and moves the stream to other chains when necessary.
struct StreamRelay<P: Platform> {
    state: Arc<ForwardState<P>>,
    request: Arc<RoutedRequest>,
    opener: StreamOpener<P>,
    opened: OpenedStream,
    first: Option<EventBatch>,
    /// When the last event arrived, or when the stream was last resumed.
    last_event_at: Instant,
    stall_check_after: Duration,
    longest_gap: Duration,
    ended: bool,
    /// Whether the stream stalled and could not move, so that it waits for its chain.
    keeps_chain: bool,
    resumed: u32,
    /// The revision of the target table at the last check for engines that unload layers.
    checked_revision: u64,
    /// When to reroute around the engines that this check found, if any.
    reroute_at: Option<Instant>,
    _active: RequestLease,
}

/// What the relay handles next: data, a malformed event, the end or failure of the stream, or a
/// timer.
enum RelayInput {
    Bytes(Bytes),
    Malformed(EventStreamError),
    End,
    ConnectionLost,
    Failed(&'static str),
    CheckDue,
    DeadlinePassed,
}

impl<P: Platform> StreamRelay<P> {
    fn new(
        state: Arc<ForwardState<P>>,
        request: Arc<RoutedRequest>,
        opener: StreamOpener<P>,
        mut opened: OpenedStream,
        active: RequestLease,
    ) -> Self {
        let stall_check_after = request
            .route
            .pause_target
            .map_or(DEFAULT_STALL_CHECK, |target| target.mul_f64(STALL_CHECK_FRACTION));
        let first = opened.first.take();
        Self {
            state,
            request,
            opener,
            opened,
            first,
            last_event_at: Instant::now(),
            stall_check_after,
            longest_gap: Duration::ZERO,
            ended: false,
            keeps_chain: false,
            resumed: 0,
            checked_revision: 0,
            reroute_at: None,
            _active: active,
        }
    }

    /// The next events, `None` after the end of the stream, or an error if it cannot be continued.
    async fn next(&mut self) -> Option<Result<Bytes, AnswerInterrupted>> {
        if self.ended {
            return None;
        }
        if let Some(first) = self.first.take() {
            return Some(Ok(first.bytes));
        }
        let mut next_check = self.last_event_at + self.stall_check_after;
        loop {
            match self.next_input(next_check).await {
                RelayInput::Bytes(bytes) => match self.opened.splitter.push(bytes) {
                    Ok(Some(batch)) => {
                        self.record_event();
                        record_progress(&self.state, &self.opened.chain);
                        self.check_survival();
                        self.leave_unloading_engines().await;
                        return Some(Ok(batch.bytes));
                    }
                    Ok(None) => {}
                    Err(fault) => {
                        if let Some(error) = self.leave_malformed_stream(fault).await {
                            return Some(Err(error));
                        }
                    }
                },
                RelayInput::Malformed(fault) => {
                    if let Some(error) = self.leave_malformed_stream(fault).await {
                        return Some(Err(error));
                    }
                }
                RelayInput::End => {
                    self.ended = true;
                    self.note_survival();
                    self.log_end(logs::COMPLETE);
                    return None;
                }
                RelayInput::ConnectionLost => {
                    self.examine_loss().await;
                    if let Some(error) = self.resume_or_fail(CONNECTION_LOST).await {
                        return Some(Err(error));
                    }
                }
                RelayInput::Failed(cause) => {
                    if let Some(error) = self.resume_or_fail(cause).await {
                        return Some(Err(error));
                    }
                }
                RelayInput::CheckDue => {
                    next_check = Instant::now() + STALL_CHECK_INTERVAL;
                    if !self.keeps_chain && self.is_stalled() && !self.reroute().await {
                        self.leave_stalled_chain().await;
                    }
                }
                RelayInput::DeadlinePassed => return Some(Err(self.fail("time_over"))),
            }
            if let Some(first) = self.first.take() {
                return Some(Ok(first.bytes));
            }
        }
    }

    async fn next_input(&mut self, next_check: Instant) -> RelayInput {
        if let Some(fault) = self.opened.splitter.fault() {
            return RelayInput::Malformed(fault);
        }
        let deadline = self.state.clock.instant(self.request.deadline);
        tokio::select! {
            biased;
            () = tokio::time::sleep_until(deadline) => RelayInput::DeadlinePassed,
            frame = self.opened.body.frame() => match frame {
                Some(Ok(frame)) => RelayInput::Bytes(frame.into_data().unwrap_or_default()),
                Some(Err(_)) => RelayInput::ConnectionLost,
                None if self.opened.splitter.has_partial() => {
                    RelayInput::Failed("it ended in the middle of an event")
                }
                None => RelayInput::End,
            },
            () = tokio::time::sleep_until(next_check) => RelayInput::CheckDue,
        }
    }

    /// Whether the stream should move to another chain: an engine of its chain does not answer
    /// probes, or the chain has sent nothing for so long that the caller is about to give up.
    fn is_stalled(&mut self) -> bool {
        self.opener.check_silent(&self.opened.chain, self.stall_check_after);
        if self.opener.suspect_unresponsive(&self.opened.chain) {
            return true;
        }
        let timed_out = self.opener.may_try_another()
            && self.last_event_at.elapsed() >= self.stall_check_after.mul_f64(STALL_TIMEOUT_FACTOR);
        if timed_out {
            self.opener.avoid_first_engine(&self.opened.chain);
        }
        timed_out
    }

    /// Reroutes around engines that were ordered to unload layers of the chain, because they load
    /// no other layers while a stream passes through them. A random delay spreads the streams.
    async fn leave_unloading_engines(&mut self) {
        let now = Instant::now();
        match self.reroute_at {
            Some(at) if at <= now => {
                self.reroute_at = None;
                self.reroute().await;
            }
            Some(_) => {}
            None => {
                let mut tables = self.state.tables();
                let revision = tables.fleet.revision;
                if revision == self.checked_revision {
                    return;
                }
                self.checked_revision = revision;
                if tables.has_unloading_engine(&self.opened.chain) {
                    let step = tables.next_random() % REROUTE_STEPS;
                    self.reroute_at =
                        Some(now + REROUTE_SPREAD.mul_f64(step as f64 / REROUTE_STEPS as f64));
                }
            }
        }
    }

    /// Replaces engines of the chain without interrupting the stream. Returns whether that
    /// succeeded.
    async fn reroute(&mut self) -> bool {
        let Some((chain, lease)) = self.opener.reroute(&self.opened.chain).await else {
            return false;
        };
        self.opened.chain = chain;
        self.opened.lease = lease;
        true
    }

    /// Continues a stalled stream on another chain. If none could be opened in time, the stream
    /// keeps its chain, whose engines may only be slow or silent for a while.
    async fn leave_stalled_chain(&mut self) {
        if self.opener.may_try_another() {
            self.keeps_chain = self.resume(STALLED).await.is_err();
        }
    }

    /// Replaces the chain of the stream by the one that was opened.
    fn continue_on(&mut self, mut opened: OpenedStream) {
        self.first = opened.first.take();
        self.opened = opened;
        self.record_event();
        self.resumed += 1;
    }

    /// Continues a stream with a malformed event on another chain, if possible one that begins at
    /// another engine. The events before the malformed one were passed on.
    async fn leave_malformed_stream(
        &mut self,
        fault: EventStreamError,
    ) -> Option<AnswerInterrupted> {
        let first_engine = &self.opened.chain.parts[0].target;
        logs::attempt_failed(&self.request, first_engine, &fault.to_string());
        self.opener.avoid_first_engine(&self.opened.chain);
        self.resume_or_fail("its events are malformed").await
    }

    /// Continues the stream on another chain, or ends it with an error if that is impossible.
    async fn resume_or_fail(&mut self, cause: &'static str) -> Option<AnswerInterrupted> {
        self.resume(cause).await.err().map(|reason| self.fail(reason))
    }

    /// Continues the stream on another chain. Returns the reason if that is impossible.
    async fn resume(&mut self, cause: &'static str) -> Result<(), &'static str> {
        let last_event = self.opened.splitter.last_id();
        let written = self.opened.opened_at.elapsed();
        logs::stream_interrupted(&self.request, &self.opened.chain, written, last_event, cause);
        if !self.opener.may_try_another() || last_event.is_none() {
            return Err(cause);
        }
        self.opener.resume_after(last_event);
        let give_up_at = self.last_event_at + RESUME_TIMEOUT;
        loop {
            match self.opener.open().await {
                Ok(opened) => {
                    self.continue_on(opened);
                    return Ok(());
                }
                // Layers may be loading, so a chain can become usable while the caller still waits.
                Err(_) if self.opener.may_try_another() && Instant::now() < give_up_at => {
                    tokio::time::sleep(RESUME_RETRY_INTERVAL).await;
                    self.opener.readmit_recovered();
                    if cause == STALLED {
                        // The stream still runs there, and must not run twice on one chain.
                        self.opener.avoid_chain(&self.opened.chain);
                    }
                }
                Err(refusal) => return Err(refusal.as_str()),
            }
        }
    }

    /// Finds out whether the first engine crashed, and whether that was under this request.
    async fn examine_loss(&mut self) {
        let loss = LostConnection {
            target: &self.opened.chain.parts[0].target,
            sent: self.opened.sent,
            written: self.opened.opened_at.elapsed(),
        };
        examine_loss(&self.state, &self.request, &loss).await;
    }

    /// Records that the request is sound once its answer has been written for long enough.
    fn check_survival(&mut self) {
        let is_watched = self.opened.watch.is_some();
        if is_watched && self.opened.opened_at.elapsed() >= SURVIVAL_TIME {
            self.note_survival();
        }
    }

    fn note_survival(&mut self) {
        if let Some(watch) = self.opened.watch.take() {
            watch.close();
        }
        note_survival(&self.state, &self.request);
    }

    fn record_event(&mut self) {
        let now = Instant::now();
        self.longest_gap = self.longest_gap.max(now - self.last_event_at);
        self.last_event_at = now;
        self.keeps_chain = false;
    }

    fn fail(&mut self, cause: &'static str) -> AnswerInterrupted {
        self.ended = true;
        self.log_end(cause);
        AnswerInterrupted(cause)
    }

    fn log_end(&self, outcome: &'static str) {
        let elapsed = self.state.now().since(self.request.received);
        let last = self.opened.splitter.last_id();
        logs::stream_ended(&self.request, outcome, last, self.resumed, self.longest_gap, elapsed);
    }
}
