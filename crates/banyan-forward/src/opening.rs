//! Opens a stream at a chain of engines: [`StreamOpener`].

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use http::response::Parts;
use tokio::time::Instant;

use crate::answer::NotRunCause;
use crate::answer::Refusal;
use crate::chain_attempt::OpenFailure;
use crate::chain_attempt::OpenedStream;
use crate::chain_attempt::open_chain;
use crate::edges::OrderOutcome;
use crate::edges::Platform;
use crate::edges::with_time_limit;
use crate::leases::RequestLease;
use crate::leases::lease_chain;
use crate::leases::lease_reading;
use crate::logs;
use crate::probes::probe_targets;
use crate::serve::NO_ROOM_TIME;
use crate::serve::NO_TARGET_TIME;
use crate::state::ForwardState;
use crate::ticket::RequestTicket;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::chain::RequestSize;
use banyan_core::pipeline::chain::TargetChain;
use banyan_core::units::TokenCount;

/// The part of the latency target after which a chain that has given no event is checked.
const FIRST_EVENT_PART: f64 = 0.2;
/// How many times the latency target a chain may take for its first event while others are open.
const TOO_LONG_FACTOR: f64 = 3.0;
/// The time between two checks of a chain that goes on giving no event.
const CHECK_PAUSE: Duration = Duration::from_millis(30);
/// The time without any event of any stream after which an engine counts as silent.
const SILENCE: Duration = Duration::from_millis(70);
/// The time within which the first engine of a chain takes an order to leave some of the others.
const REROUTE_LIMIT: Duration = Duration::from_millis(60);
/// Tokens that a request is taken to have where it does not say.
const DEFAULT_TOKENS: TokenCount = TokenCount(1_000);
/// Chains that are opened side by side at most.
const OPEN_AT_ONCE: usize = 2;

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
        let news: Vec<TargetId> =
            failing.iter().filter(|id| !self.avoided.contains(*id)).cloned().collect();
        for id in &news {
            tables.suspicions.note_failure(id, now);
        }
        drop(tables);
        for id in &news {
            logs::doubted(&self.ticket.token, id, "no answer to a probe");
        }
        self.avoided.extend(news);
        !failing.is_empty()
    }

    /// Has a running stream go on without the engines of its chain that are doubted or give its layers
    /// up; gives the chain that it runs on from now, or `None` where it must be opened anew.
    pub async fn reroute(
        &mut self,
        chain: &TargetChain,
    ) -> Option<(Arc<TargetChain>, RequestLease)> {
        let now = self.state.now();
        let total = self.size().total;
        let service = &self.ticket.service.id;
        let rerouted =
            self.state.tables().reroute_chain(service, chain, total, &self.avoided, now)?;
        let lease = lease_chain(&self.state, &rerouted, total);
        let ordering = self.state.platform.reroute(&self.ticket.token, &rerouted.parts);
        let outcome = with_time_limit(REROUTE_LIMIT, ordering).await;
        let taken = matches!(outcome, Ok(OrderOutcome::Taken));
        logs::stream_rerouted(&self.ticket.token, chain, &rerouted, &outcome, taken);
        taken.then_some((rerouted, lease))
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
            let refusal = tables.not_run(cause, wait, now);
            drop(tables);
            return Err(self.refusal_for(refusal));
        };
        let bounds = &settings.bounds.retries;
        if self.attempts > 0 && !tables.retries.take(service, bounds, now) {
            let refusal = tables.not_run(NotRunCause::NoRoom, NO_ROOM_TIME, now);
            drop(tables);
            return Err(self.refusal_for(refusal));
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
            let mut tables = self.state.tables();
            let refusal = tables.not_run(NotRunCause::TargetRefused, NO_TARGET_TIME, now);
            drop(tables);
            return Err(self.refusal_for(refusal));
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
        let refused = matches!(failure, OpenFailure::NotRun(_));
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
        if refused {
            self.state.tables().suspicions.note_refusal(&at_fault, now);
            // It tells what it holds now, or that it is gone.
            probe_targets(&self.state, std::slice::from_ref(&at_fault));
        } else {
            self.state.tables().suspicions.note_failure(&at_fault, now);
        }
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
