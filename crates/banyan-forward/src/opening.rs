//! Opens a stream at a chain of engines: [`StreamOpener`].

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use http::StatusCode;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Limited;
use tokio::time::Instant;

use crate::answer::NotRunCause;
use crate::answer::Refusal;
use crate::edges::AnswerFacts;
use crate::edges::Dispatch;
use crate::edges::Platform;
use crate::events::EventBatch;
use crate::events::EventSplitter;
use crate::link::LinkBody;
use crate::link::LinkError;
use crate::link::send_request;
use crate::logs;
use crate::probes::probe_targets;
use crate::relay::LoadLease;
use crate::relay::lease_chain;
use crate::relay::lease_reading;
use crate::serve::NO_ROOM_TIME;
use crate::serve::NO_TARGET_TIME;
use crate::state::ForwardState;
use crate::ticket::RequestTicket;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::chain::RequestSize;
use banyan_core::pipeline::chain::TargetChain;
use banyan_core::units::TokenCount;

/// The largest failure that is read whole, in bytes.
const FAILURE_LIMIT_BYTES: usize = 1 << 20;
/// The part of the latency target after which a chain that has given no event is checked.
const FIRST_EVENT_PART: f64 = 0.2;
/// How many times the latency target a chain may take for its first event while others are open.
const TOO_LONG_FACTOR: f64 = 3.0;
/// The time between two checks of a chain that goes on giving no event.
const CHECK_PAUSE: Duration = Duration::from_millis(30);
/// The time without any event of any stream after which an engine counts as silent.
const SILENCE: Duration = Duration::from_millis(70);
/// Tokens that a request is taken to have where it does not say.
const DEFAULT_TOKENS: TokenCount = TokenCount(1_000);
/// Chains that are opened side by side at most.
const OPEN_AT_ONCE: usize = 2;

/// A chain that has begun to answer.
pub struct OpenedStream {
    /// The chain.
    pub chain: Arc<TargetChain>,
    /// The head of the answer.
    pub head: Parts,
    /// The rest of its body.
    pub body: LinkBody,
    /// The events read so far.
    pub splitter: EventSplitter,
    /// The first whole events, or `None` if the stream ended before any.
    pub first: Option<EventBatch>,
    _lease: LoadLease,
}

/// Why a chain gave no stream.
enum OpenFailure {
    /// An engine stated that the request has not run.
    NotRun(AnswerFacts),
    /// No connection to the first engine came about.
    NotSent,
    /// The engine answered with a failure of its own.
    Failed(Box<Parts>, Bytes),
    /// Anything else: the request may have run.
    MaybeRun(&'static str),
}

/// How an attempt to open a chain ended.
type OpenEnd = (Arc<TargetChain>, Result<OpenedStream, OpenFailure>);

/// Opens chains for one request, one after the other or side by side.
pub struct StreamOpener<P: Platform> {
    state: Arc<ForwardState<P>>,
    ticket: Arc<RequestTicket>,
    last_event: Option<u64>,
    /// Whether the caller has been sent a part of the stream.
    resuming: bool,
    /// Engines that are not used again for this request.
    avoided: Vec<TargetId>,
    /// Attempts that may have reached an engine.
    attempts: u32,
    maybe_run: bool,
    failure: Option<(Parts, Bytes)>,
    running: FuturesUnordered<BoxFuture<'static, OpenEnd>>,
    chains: Vec<Arc<TargetChain>>,
}

impl<P: Platform> StreamOpener<P> {
    /// An opener for a request that was not sent anywhere yet.
    pub fn new(state: Arc<ForwardState<P>>, ticket: Arc<RequestTicket>) -> Self {
        Self {
            state,
            last_event: ticket.caller.last_event,
            resuming: false,
            ticket,
            avoided: Vec::new(),
            attempts: 0,
            maybe_run: false,
            failure: None,
            running: FuturesUnordered::new(),
            chains: Vec::new(),
        }
    }

    /// The attempts that may have reached an engine.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// An engine's own failure, if that is what remains of all attempts.
    pub fn take_failure(&mut self) -> Option<(Parts, Bytes)> {
        self.failure.take()
    }

    /// Whether the stream may go on at another chain.
    pub fn can_resume(&self) -> bool {
        self.ticket.route.kind.may_repeat() && self.attempts < self.ticket.route.max_attempts
    }

    /// Opens the next chain behind an event that the caller has.
    pub fn resume_after(&mut self, last_event: Option<u64>) {
        self.last_event = last_event;
        self.resuming = true;
    }

    /// Probes the engines of a chain that no stream has heard of for `silence`.
    pub fn probe_silent(&self, chain: &TargetChain, silence: Duration) {
        let now = self.state.now();
        let targets = chain.parts.iter().map(|part| &part.target);
        let silent = self.state.tables().suspicions.silent(targets, silence, now);
        probe_targets(&self.state, &silent);
    }

    /// Doubts and avoids the engines of a chain that do not answer probes; tells whether there are any.
    pub fn doubt_unanswering(&mut self, chain: &TargetChain) -> bool {
        let now = self.state.now();
        let targets = chain.parts.iter().map(|part| &part.target);
        let mut tables = self.state.tables();
        let failing = tables.suspicions.unanswering(targets, now);
        for id in &failing {
            tables.suspicions.note_failure(id, now);
        }
        drop(tables);
        for id in &failing {
            logs::doubted(&self.ticket.token, id, "no answer to a probe");
        }
        let any = !failing.is_empty();
        self.avoided.extend(failing);
        any
    }

    /// Avoids a chain that gives nothing although its engines answer.
    pub fn avoid_chain(&mut self, chain: &TargetChain) {
        self.avoided.push(chain.parts[0].target.clone());
    }

    /// Uses engines again that were avoided, if they are trusted by now.
    pub fn forgive(&mut self) {
        let now = self.state.now();
        let tables = self.state.tables();
        self.avoided.retain(|id| tables.suspicions.is_doubted(id, now));
    }

    /// Opens a chain and waits for its first event.
    pub async fn open(&mut self) -> Result<OpenedStream, Refusal> {
        self.start()?;
        let limit = self.state.clock.instant(self.ticket.limit);
        let first_wait = self.ticket.route.latency_target.mul_f64(FIRST_EVENT_PART);
        let begun = Instant::now();
        let mut check = begun + first_wait;
        let may_repeat = self.ticket.route.kind.may_repeat();
        loop {
            tokio::select! {
                Some((chain, end)) = self.running.next() => {
                    self.chains.retain(|running| !Arc::ptr_eq(running, &chain));
                    match end {
                        Ok(opened) => return Ok(self.settle(opened)),
                        Err(failure) => self.note_failure(&chain, failure),
                    }
                    if self.running.is_empty() {
                        self.start_again()?;
                    }
                }
                () = tokio::time::sleep_until(check), if may_repeat => {
                    check = Instant::now() + CHECK_PAUSE;
                    if self.running.len() < OPEN_AT_ONCE && self.can_resume() {
                        self.check_opening(begun.elapsed());
                    }
                }
                () = tokio::time::sleep_until(limit) => {
                    self.running.clear();
                    return Err(self.refusal_for(Refusal::TimedOut));
                }
            }
        }
    }

    /// Opens another chain beside one whose engines do not answer, or that takes far too long.
    fn check_opening(&mut self, waited: Duration) {
        let Some(chain) = self.chains.last().cloned() else { return };
        self.probe_silent(&chain, SILENCE);
        let mut failing = self.doubt_unanswering(&chain);
        if !failing && waited >= self.ticket.route.latency_target.mul_f64(TOO_LONG_FACTOR) {
            self.avoid_chain(&chain);
            failing = true;
        }
        if failing {
            // Without another chain the one that is silent may still answer.
            let _ = self.start();
        }
    }

    /// Takes the first chain that answered and lets go of the others.
    fn settle(&mut self, opened: OpenedStream) -> OpenedStream {
        self.running.clear();
        self.chains.clear();
        note_progress(&self.state, &opened.chain);
        opened
    }

    /// Starts an attempt at the best chain that uses no avoided engine.
    fn start(&mut self) -> Result<(), Refusal> {
        let now = self.state.now();
        let settings = self.state.settings();
        let size = self.size();
        let service = &self.ticket.service.id;
        let mut tables = self.state.tables();
        let choice = tables.choose_chain(service, &settings, size, &self.avoided, now);
        let Some(choice) = choice else {
            let empty = tables.pools.get(service).is_none_or(|pool| pool.chains().is_empty());
            let (cause, wait) = if empty {
                (NotRunCause::NoTarget, NO_TARGET_TIME)
            } else {
                (NotRunCause::NoRoom, NO_ROOM_TIME)
            };
            let after = tables.comebacks.next(now + wait, now);
            drop(tables);
            return Err(self.refusal_for(Refusal::NotRun(cause, after)));
        };
        let bounds = &settings.bounds.retries;
        if self.attempts > 0 && !tables.retries.take(service, bounds, now) {
            let after = tables.comebacks.next(now + NO_ROOM_TIME, now);
            drop(tables);
            return Err(self.refusal_for(Refusal::NotRun(NotRunCause::NoRoom, after)));
        }
        drop(tables);
        logs::chain_chosen(&self.ticket.token, &choice, self.attempts, self.last_event);
        let chain = choice.chain;
        self.attempts += 1;
        self.chains.push(chain.clone());
        let lease = lease_chain(&self.state, &chain, size.total);
        let reading = lease_reading(&self.state, &chain, size.prompt);
        let opening = open_chain(
            self.state.clone(),
            self.ticket.clone(),
            chain.clone(),
            self.last_event,
            self.resuming,
            lease,
        );
        self.running.push(Box::pin(async move {
            let end = opening.await;
            drop(reading);
            (chain, end)
        }));
        Ok(())
    }

    /// Starts the next attempt after all others have failed, if one may be made.
    fn start_again(&mut self) -> Result<(), Refusal> {
        let repeat = self.ticket.route.kind.may_repeat() || !self.maybe_run;
        if !repeat || self.attempts >= self.ticket.route.max_attempts {
            let now = self.state.now();
            let after = self.state.tables().comebacks.next(now + NO_TARGET_TIME, now);
            return Err(self.refusal_for(Refusal::NotRun(NotRunCause::TargetRefused, after)));
        }
        self.start()
    }

    /// The refusal that is true after the attempts made: 'not run' only where nothing may have run.
    fn refusal_for(&self, refusal: Refusal) -> Refusal {
        let maybe_run = self.maybe_run || !self.running.is_empty();
        match refusal {
            Refusal::NotRun(..) if maybe_run => Refusal::OutcomeUnknown,
            Refusal::TimedOut if self.attempts == 0 => {
                Refusal::NotRun(NotRunCause::NoTime, NO_TARGET_TIME)
            }
            other => other,
        }
    }

    fn note_failure(&mut self, chain: &Arc<TargetChain>, failure: OpenFailure) {
        let now = self.state.now();
        let first = chain.parts[0].target.clone();
        let (at_fault, cause) = match failure {
            OpenFailure::NotRun(facts) => {
                let tables = self.state.tables();
                let named = facts.at_fault.and_then(|address| tables.fleet.at_address(address));
                (named.cloned().unwrap_or(first), "it refused the request")
            }
            OpenFailure::NotSent => {
                self.attempts -= 1;
                (first, "no connection")
            }
            OpenFailure::Failed(head, body) => {
                self.maybe_run = true;
                self.failure = Some((*head, body));
                (first, "it failed the request")
            }
            OpenFailure::MaybeRun(cause) => {
                self.maybe_run = true;
                (first, cause)
            }
        };
        logs::attempt_failed(&self.ticket.token, &at_fault, cause);
        self.state.tables().suspicions.note_failure(&at_fault, now);
        self.avoided.push(at_fault);
    }

    /// The tokens that the request is expected to be about.
    fn size(&self) -> RequestSize {
        let Some(demand) = self.ticket.caller.demand else {
            return RequestSize { prompt: DEFAULT_TOKENS, total: DEFAULT_TOKENS };
        };
        let usual = self.ticket.service.model.as_ref().map(|model| model.usual_answer);
        let answer = demand.answer_hint.or(usual).unwrap_or(demand.answer_limit);
        let answer = answer.0.min(demand.answer_limit.0);
        RequestSize { prompt: demand.prompt, total: TokenCount(demand.prompt.0 + answer) }
    }
}

/// Notes that all engines of a chain have just passed a token on.
pub fn note_progress<P>(state: &ForwardState<P>, chain: &TargetChain) {
    let now = state.now();
    let mut tables = state.tables();
    for part in &chain.parts {
        tables.suspicions.note_progress(&part.target, now);
    }
}

async fn open_chain<P: Platform>(
    state: Arc<ForwardState<P>>,
    ticket: Arc<RequestTicket>,
    chain: Arc<TargetChain>,
    last_event: Option<u64>,
    resuming: bool,
    lease: LoadLease,
) -> Result<OpenedStream, OpenFailure> {
    let first = &chain.parts[0];
    let dispatch = Dispatch {
        target: &first.target,
        time_left: ticket.limit.since(state.now()),
        workspace: ticket.workspace.as_ref(),
        chain: &chain.parts,
        last_event,
        urgent: resuming,
    };
    let request = ticket.dispatch(&state.platform, &dispatch);
    let (head, mut body) = match send_request(first.address, request).await {
        Ok(answer) => answer,
        Err(LinkError::NotSent(_)) => return Err(OpenFailure::NotSent),
        Err(LinkError::MaybeRun(_)) => {
            return Err(OpenFailure::MaybeRun("the connection ended"));
        }
    };
    let facts = state.platform.read_answer(head.status, &head.headers);
    let success = head.status.is_success();
    if !ticket.accepts(&facts, &head.headers, success) || (success && !facts.receipt) {
        return Err(OpenFailure::MaybeRun("the answer is not this request's"));
    }
    if facts.not_run {
        return Err(OpenFailure::NotRun(facts));
    }
    if head.status != StatusCode::OK {
        return Err(read_failure(head, body).await);
    }
    let mut splitter = EventSplitter::after(last_event);
    let first = first_events(&mut body, &mut splitter).await?;
    Ok(OpenedStream { chain, head, body, splitter, first, _lease: lease })
}

async fn first_events(
    body: &mut LinkBody,
    splitter: &mut EventSplitter,
) -> Result<Option<EventBatch>, OpenFailure> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| OpenFailure::MaybeRun("its connection broke off"))?;
        let bytes = frame.into_data().unwrap_or_default();
        let batch = splitter.push(bytes);
        match batch.map_err(|_| OpenFailure::MaybeRun("its events are damaged"))? {
            Some(batch) => return Ok(Some(batch)),
            None => continue,
        }
    }
    if splitter.has_partial() {
        return Err(OpenFailure::MaybeRun("it ended within an event"));
    }
    Ok(None)
}

/// A failure of an engine's own; one that promises what the engine did not state is none.
async fn read_failure(head: Parts, body: LinkBody) -> OpenFailure {
    if crate::call::promises_not_run(head.status) {
        return OpenFailure::MaybeRun("it failed without stating that the request has not run");
    }
    match Limited::new(body, FAILURE_LIMIT_BYTES).collect().await {
        Ok(collected) => OpenFailure::Failed(Box::new(head), collected.to_bytes()),
        Err(_) => OpenFailure::MaybeRun("its failure broke off"),
    }
}
