//! Opens a stream on one of a service's chains of engines: [`StreamOpener`].

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use http::response::Parts;
use tokio::time::Instant;

use crate::callers::answer::NO_ROOM_RETRY_AFTER;
use crate::callers::answer::NO_TARGET_RETRY_AFTER;
use crate::callers::answer::NotRunCause;
use crate::callers::answer::Refusal;
use crate::callers::routed_request::RoutedRequest;
use crate::decisions::admission::AdmissionDecision;
use crate::decisions::admission::RoomQuery;
use crate::decisions::tables::ForwardTables;
use crate::edges::OrderAnswer;
use crate::edges::OrderOutcome;
use crate::edges::Platform;
use crate::edges::with_time_limit;
use crate::engines::attempt_watch::watch_attempt;
use crate::engines::chain_attempt::OpenFailure;
use crate::engines::chain_attempt::OpenedStream;
use crate::engines::chain_attempt::open_chain;
use crate::engines::checks::check_targets;
use crate::engines::crash_watch::LostConnection;
use crate::engines::crash_watch::examine_loss;
use crate::engines::crash_watch::refuse_if_blocked;
use crate::engines::exchange::CONNECTION_LOST;
use crate::engines::leases::RequestLease;
use crate::engines::leases::lease_chain;
use crate::engines::leases::lease_prefill;
use crate::engines::leaving;
use crate::engines::probes::probe_targets;
use crate::engines::queueing::QueuedStream;
use crate::logs;
use crate::state::ForwardState;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::chain::ChainChoice;
use banyan_core::pipeline::chain::RequestSize;
use banyan_core::pipeline::prompt_order::PromptRequest;
use banyan_core::pipeline::target_chain::TargetChain;
use banyan_core::units::Moment;
use banyan_core::units::TokenCount;

/// The fraction of the latency target after which the engines of a chain without an event are first
/// checked.
const FIRST_CHECK_FRACTION: f64 = 0.2;
/// A chain whose engines answer probes may take this many latency targets for its first event
/// before another chain is opened beside it.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 3.0;
/// The interval between two checks whether the engines of a chain without an event still respond.
const CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// The time without an event on any of its streams after which an engine is probed.
const SILENCE_THRESHOLD: Duration = Duration::from_millis(70);
/// The time limit for the first engine of a chain to accept a reroute order.
const REROUTE_TIMEOUT: Duration = Duration::from_millis(60);
/// The token count assumed for a request without token headers.
const DEFAULT_REQUEST_TOKENS: TokenCount = TokenCount(1_000);
/// The maximum number of chains that are opened concurrently for one request.
const MAX_CONCURRENT_ATTEMPTS: usize = 2;

/// An attempt to open a stream on a chain.
#[derive(Clone)]
struct OpenAttempt {
    chain: Arc<TargetChain>,
    started: Moment,
}

/// An attempt and its result.
type OpenResult = (OpenAttempt, Result<OpenedStream, OpenFailure>);

/// Opens streams for one request, on one chain after another or on several concurrently.
pub struct StreamOpener<P: Platform> {
    state: Arc<ForwardState<P>>,
    request: Arc<RoutedRequest>,
    last_event: Option<u64>,
    /// Whether part of the stream has already been sent to the caller.
    resuming: bool,
    /// Engines that are excluded for this request. [`Self::readmit_recovered`] removes them again.
    avoided: Vec<TargetId>,
    /// The number of attempts that may have reached an engine.
    attempts: u32,
    /// Whether the request was found to be one that may be sent to engines.
    admitted: bool,
    /// Whether an engine may have run the request.
    maybe_run: bool,
    /// The last error answer of an engine.
    error_answer: Option<(Parts, Bytes)>,
    running: FuturesUnordered<BoxFuture<'static, OpenResult>>,
    running_chains: Vec<Arc<TargetChain>>,
}

impl<P: Platform> StreamOpener<P> {
    /// An opener for a request that has not been sent to any engine.
    pub fn new(state: Arc<ForwardState<P>>, request: Arc<RoutedRequest>) -> Self {
        Self {
            state,
            last_event: request.caller.last_event,
            resuming: false,
            request,
            avoided: Vec::new(),
            attempts: 0,
            admitted: false,
            maybe_run: false,
            error_answer: None,
            running: FuturesUnordered::new(),
            running_chains: Vec::new(),
        }
    }

    /// How many attempts may have reached an engine.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// The last error answer of an engine, if any attempt ended with one.
    pub fn take_error_answer(&mut self) -> Option<(Parts, Bytes)> {
        self.error_answer.take()
    }

    /// Whether another chain may be tried.
    pub fn may_try_another(&self) -> bool {
        self.request.route.kind.may_repeat() && self.attempts < self.request.route.max_attempts
    }

    /// Makes the next chain continue after `last_event`, the last one sent to the caller.
    pub fn resume_after(&mut self, last_event: Option<u64>) {
        self.last_event = last_event;
        self.resuming = true;
    }

    /// Has the engines of a chain checked that have shown no progress on any stream for `silence`.
    pub fn check_silent(&self, chain: &TargetChain, silence: Duration) {
        let now = self.state.now();
        let targets = chain.parts.iter().map(|part| &part.target);
        let silent = self.state.tables().suspicions.silent(targets, silence, now);
        check_targets(&self.state, &silent);
    }

    /// Marks the engines of a chain that do not answer probes as suspect and avoids them. Returns
    /// whether there are any.
    pub fn suspect_unresponsive(&mut self, chain: &TargetChain) -> bool {
        let now = self.state.now();
        let targets = chain.parts.iter().map(|part| &part.target);
        let mut tables = self.state.tables();
        let failing = tables.suspicions.unresponsive(targets, now);
        let newly_failing: Vec<TargetId> =
            failing.iter().filter(|id| !self.avoided.contains(*id)).cloned().collect();
        for id in &newly_failing {
            tables.suspicions.note_failure(id, now);
        }
        drop(tables);
        for id in &newly_failing {
            logs::target_suspected(&self.request.token, id, "no answer to a probe");
        }
        self.avoided.extend(newly_failing);
        !failing.is_empty()
    }

    /// Orders the first engine of a running stream to replace the engines of the chain that are
    /// suspect, avoided or unloading its layers. Returns the new chain, or `None` if the stream was
    /// not rerouted.
    pub async fn reroute(
        &mut self,
        chain: &TargetChain,
    ) -> Option<(Arc<TargetChain>, RequestLease)> {
        let now = self.state.now();
        let total = self.size().total;
        let service = &self.request.service.id;
        let rerouted =
            self.state.tables().reroute_chain(service, chain, total, &self.avoided, now)?;
        let lease = lease_chain(&self.state, &rerouted, total);
        let order = self.state.platform.reroute(&self.request.token, &rerouted.parts);
        let answer = with_time_limit(REROUTE_TIMEOUT, order).await;
        if matches!(answer, Ok(OrderAnswer { leaving: true, .. })) {
            leaving::note_answer(&self.state, &chain.parts[0].target);
        }
        let outcome = answer.map(|answer| answer.outcome);
        let accepted = matches!(outcome, Ok(OrderOutcome::Taken));
        logs::stream_rerouted(&self.request.token, chain, &rerouted, &outcome, accepted);
        accepted.then_some((rerouted, lease))
    }

    /// Avoids the first engine of a chain that sends no events although its engines answer probes.
    pub fn avoid_first_engine(&mut self, chain: &TargetChain) {
        let first_engine = &chain.parts[0].target;
        if !self.avoided.contains(first_engine) {
            self.avoided.push(first_engine.clone());
        }
    }

    /// Avoids a chain as a whole: its first engine, unless another engine of it is avoided already.
    pub fn avoid_chain(&mut self, chain: &TargetChain) {
        if !chain.uses_any(&self.avoided) {
            self.avoid_first_engine(chain);
        }
    }

    /// Stops avoiding the engines that are no longer suspect.
    pub fn readmit_recovered(&mut self) {
        let now = self.state.now();
        let tables = self.state.tables();
        self.avoided.retain(|id| tables.suspicions.is_suspect(id, now));
    }

    /// Opens a stream and waits for its first event. Makes further attempts after failed ones, if
    /// the route and the retry budget allow it.
    pub async fn open(&mut self) -> Result<OpenedStream, Refusal> {
        self.start_first().await?;
        let deadline = self.state.clock.instant(self.request.deadline);
        let check_after = self.request.route.latency_target.mul_f64(FIRST_CHECK_FRACTION);
        let started = Instant::now();
        let mut next_check = started + check_after;
        let may_repeat = self.request.route.kind.may_repeat();
        loop {
            tokio::select! {
                Some((attempt, result)) = self.running.next() => {
                    self.running_chains.retain(|running| !Arc::ptr_eq(running, &attempt.chain));
                    match result {
                        Ok(opened) => return Ok(self.accept_opened(opened)),
                        Err(failure) => self.handle_failure(&attempt, failure).await,
                    }
                    if self.running.is_empty() {
                        self.start_next()?;
                    }
                }
                () = tokio::time::sleep_until(next_check), if may_repeat => {
                    next_check = Instant::now() + CHECK_INTERVAL;
                    if self.running.len() < MAX_CONCURRENT_ATTEMPTS && self.may_try_another() {
                        self.check_newest_attempt(started.elapsed());
                    }
                }
                () = tokio::time::sleep_until(deadline) => {
                    self.running.clear();
                    return Err(self.refusal_for(Refusal::TimedOut));
                }
            }
        }
    }

    /// Opens another chain concurrently if the newest one has unresponsive engines or takes too
    /// long.
    fn check_newest_attempt(&mut self, elapsed: Duration) {
        let Some(chain) = self.running_chains.last().cloned() else { return };
        self.check_silent(&chain, SILENCE_THRESHOLD);
        let mut failing = self.suspect_unresponsive(&chain);
        if !failing
            && elapsed >= self.request.route.latency_target.mul_f64(FIRST_EVENT_TIMEOUT_FACTOR)
        {
            self.avoid_first_engine(&chain);
            failing = true;
        }
        if failing {
            // If no other chain is available, the running attempt may still succeed.
            let _ = self.start();
        }
    }

    /// Keeps the first stream that opened and cancels the other attempts.
    fn accept_opened(&mut self, opened: OpenedStream) -> OpenedStream {
        self.running.clear();
        self.running_chains.clear();
        record_progress(&self.state, &opened.chain);
        opened
    }

    /// Whether the next attempt is the first of a request of which the caller has no part yet.
    /// Others use all room: they precede new requests, and refusing them wastes what has run.
    fn is_first_attempt(&self) -> bool {
        self.attempts == 0 && self.avoided.is_empty() && !self.resuming && self.last_event.is_none()
    }

    /// Starts an attempt on the best chain. The first one of a request may wait for room.
    async fn start_first(&mut self) -> Result<(), Refusal> {
        let may_queue = self.is_first_attempt();
        let Some((queued, decision)) = self.start_or_queue(may_queue)? else { return Ok(()) };
        logs::admission_queued(&self.request, &decision, &queued.place);
        if let Some((choice, lease)) = queued.wait().await {
            logs::admitted(&self.request, &decision, self.state.now());
            self.start_on(choice, lease);
            return Ok(());
        }
        let now = self.state.now();
        Err(self.refuse_without_room(&mut self.state.tables(), &decision, now))
    }

    /// Starts an attempt on the best chain without avoided engines.
    fn start(&mut self) -> Result<(), Refusal> {
        self.start_or_queue(false).map(|_| ())
    }

    /// Like [`Self::start`], but a request without room is queued if `may_queue` and if it can still
    /// be on time.
    fn start_or_queue(
        &mut self,
        may_queue: bool,
    ) -> Result<Option<(QueuedStream<P>, AdmissionDecision)>, Refusal> {
        refuse_if_blocked(&self.state, &self.request, self.admitted)
            .map_err(|refusal| self.refusal_for(refusal))?;
        let now = self.state.now();
        let settings = self.state.settings();
        let size = self.size();
        let service = &self.request.service.id;
        let mut tables = self.state.tables();
        if !self.admitted {
            tables.note_prompt(service, size.prompt);
        }
        self.admitted = true;
        let rank = self.is_first_attempt().then(|| self.request.rank());
        let query = RoomQuery { service, size, avoided: &self.avoided, rank };
        let (choice, decision) = if self.resuming {
            (tables.choose_chain_to_resume(service, &settings, size, &self.avoided, now), None)
        } else {
            tables.admit_to_chain(&query, &settings, now)
        };
        let Some(choice) = choice else {
            let no_chains = tables.pools.get(service).is_none_or(|pool| pool.chains().is_empty());
            let limit_wait = tables.limit_wait(service, &settings, now);
            let (cause, wait) = match limit_wait {
                _ if no_chains => (NotRunCause::NoTarget, NO_TARGET_RETRY_AFTER),
                Some(wait) => (NotRunCause::TargetLimited, wait),
                None => (NotRunCause::NoRoom, NO_ROOM_RETRY_AFTER),
            };
            if let Some(decision) = decision.filter(|_| cause == NotRunCause::NoRoom) {
                let workspace = self.request.workspace.as_ref();
                let due = self.request.received + self.request.route.latency_target;
                let due = due.min(self.request.deadline);
                if may_queue
                    && let Some(place) =
                        tables.queue_stream(&query, workspace, &decision, due, &settings, now)
                {
                    let (state, service) = (self.state.clone(), service.clone());
                    let queued = QueuedStream { state, service, place, tokens: size.total };
                    return Ok(Some((queued, decision)));
                }
                return Err(self.refuse_without_room(&mut tables, &decision, now));
            }
            let refusal = tables.not_run_refusal(cause, wait, now);
            drop(tables);
            return Err(self.refusal_for(refusal));
        };
        let bounds = &settings.bounds.retries;
        if self.attempts > 0 && !tables.retries.try_take(service, bounds, now) {
            let refusal = tables.not_run_refusal(NotRunCause::NoRoom, NO_ROOM_RETRY_AFTER, now);
            drop(tables);
            return Err(self.refusal_for(refusal));
        }
        drop(tables);
        if let Some(decision) = &decision {
            logs::admitted(&self.request, decision, now);
        }
        let lease = lease_chain(&self.state, &choice.chain, size.total);
        self.start_on(choice, lease);
        Ok(None)
    }

    /// The refusal of a request for which no chain had room, with the time of its return.
    fn refuse_without_room(
        &self,
        tables: &mut ForwardTables,
        decision: &AdmissionDecision,
        now: Moment,
    ) -> Refusal {
        let service = &self.request.service.id;
        let rank = Some(decision.rank);
        let query = RoomQuery { service, size: self.size(), avoided: &self.avoided, rank };
        let time_left = self.request.deadline.since(now);
        let planned = tables.plan_return(&query, decision, time_left, now);
        logs::admission_refused(&self.request, decision, &planned, now);
        self.refusal_for(Refusal::NotRun(NotRunCause::NoRoom, planned.wait))
    }

    /// Starts an attempt on a chain at which `lease` reserves room.
    fn start_on(&mut self, choice: ChainChoice, lease: RequestLease) {
        let now = self.state.now();
        let mut tables = self.state.tables();
        tables.limits.note_sent(&choice.chain.parts[0].target);
        let service = &self.request.service.id;
        let urgency = tables.urgency(service, &self.prompt_request(now), &choice);
        drop(tables);
        logs::chain_chosen(&self.request.token, &choice, self.attempts, self.last_event, urgency);
        let chain = choice.chain;
        self.attempts += 1;
        self.running_chains.push(chain.clone());
        let prefill_lease = lease_prefill(&self.state, &chain, self.size().prompt);
        let opening = open_chain(
            self.state.clone(),
            self.request.clone(),
            chain.clone(),
            self.last_event,
            urgency,
            lease,
        );
        let watch = watch_attempt(&self.state, &self.request, &chain.parts[0].target);
        let attempt = OpenAttempt { chain, started: now };
        self.running.push(Box::pin(async move {
            let mut result = opening.await;
            drop(prefill_lease);
            match &mut result {
                Ok(opened) => opened.watch = Some(watch),
                Err(OpenFailure::ConnectionLost) => drop(watch),
                Err(_) => watch.close(),
            }
            (attempt, result)
        }));
    }

    /// Starts the next attempt after all earlier ones have failed, if another is allowed.
    fn start_next(&mut self) -> Result<(), Refusal> {
        let may_retry = self.request.route.kind.may_repeat() || !self.maybe_run;
        if !may_retry || self.attempts >= self.request.route.max_attempts {
            let now = self.state.now();
            let mut tables = self.state.tables();
            let refusal =
                tables.not_run_refusal(NotRunCause::TargetRefused, NO_TARGET_RETRY_AFTER, now);
            drop(tables);
            return Err(self.refusal_for(refusal));
        }
        self.start()
    }

    /// The refusal to report after the attempts made: [`Refusal::NotRun`] becomes
    /// [`Refusal::OutcomeUnknown`] if an attempt may have run, and [`Refusal::TimedOut`] becomes
    /// [`Refusal::NotRun`] if there was no attempt.
    fn refusal_for(&self, refusal: Refusal) -> Refusal {
        let maybe_run = self.maybe_run || !self.running.is_empty();
        match refusal {
            Refusal::NotRun(..) if maybe_run => Refusal::OutcomeUnknown,
            Refusal::TimedOut if self.attempts == 0 => {
                Refusal::NotRun(NotRunCause::NoTime, NO_TARGET_RETRY_AFTER)
            }
            other => other,
        }
    }

    /// Records a failed attempt, and whether the first engine crashed under it.
    async fn handle_failure(&mut self, attempt: &OpenAttempt, failure: OpenFailure) {
        let connection_lost = matches!(failure, OpenFailure::ConnectionLost);
        self.record_failure(&attempt.chain, failure);
        if connection_lost {
            let loss = LostConnection {
                target: &attempt.chain.parts[0].target,
                sent: attempt.started,
                written: Duration::ZERO,
            };
            examine_loss(&self.state, &self.request, &loss).await;
        }
    }

    fn record_failure(&mut self, chain: &TargetChain, failure: OpenFailure) {
        let now = self.state.now();
        let first_engine = chain.parts[0].target.clone();
        let refused = matches!(failure, OpenFailure::NotRun(_));
        let (at_fault, cause) = match failure {
            OpenFailure::NotRun(facts) => {
                let tables = self.state.tables();
                let reported_target =
                    facts.at_fault.and_then(|address| tables.fleet.at_address(address));
                (reported_target.cloned().unwrap_or(first_engine), "it refused the request")
            }
            OpenFailure::NotSent => {
                self.attempts -= 1;
                (first_engine, "no connection")
            }
            OpenFailure::Failed(head, body) => {
                self.maybe_run = true;
                self.error_answer = Some((*head, body));
                (first_engine, "it answered with an error")
            }
            OpenFailure::ConnectionLost => {
                self.maybe_run = true;
                (first_engine, CONNECTION_LOST)
            }
            OpenFailure::MaybeRun(cause) => {
                self.maybe_run = true;
                (first_engine, cause)
            }
        };
        logs::attempt_failed(&self.request, &at_fault, cause);
        if refused {
            self.state.tables().suspicions.note_refusal(&at_fault, now);
            // The probe reads which layers it holds now, or finds that it no longer runs.
            probe_targets(&self.state, std::slice::from_ref(&at_fault));
        } else {
            self.state.tables().suspicions.note_failure(&at_fault, now);
        }
        self.avoided.push(at_fault);
    }

    /// The expected prompt and total tokens. The answer's length is the caller's hint or else the
    /// model's usual length, and never above the caller's limit.
    fn size(&self) -> RequestSize {
        let Some(demand) = self.request.caller.demand else {
            return RequestSize { prompt: DEFAULT_REQUEST_TOKENS, total: DEFAULT_REQUEST_TOKENS };
        };
        let usual_answer = self.request.service.model.as_ref().map(|model| model.usual_answer);
        let answer = demand.answer_hint.or(usual_answer).unwrap_or(demand.answer_limit);
        let answer = answer.0.min(demand.answer_limit.0);
        RequestSize { prompt: demand.prompt, total: TokenCount(demand.prompt.0 + answer) }
    }

    /// What the urgency of the request depends on beside its chain.
    fn prompt_request(&self, now: Moment) -> PromptRequest {
        PromptRequest {
            prompt: self.size().prompt,
            priority: self.request.priority.0,
            latency_target: self.request.route.latency_target,
            waited: now.since(self.request.received),
            resuming: self.resuming,
        }
    }
}

/// Records progress for all engines of a chain, since an event has passed through each of them.
pub fn record_progress<P>(state: &ForwardState<P>, chain: &TargetChain) {
    let now = state.now();
    let mut tables = state.tables();
    for part in &chain.parts {
        tables.suspicions.note_progress(&part.target, now);
    }
}
