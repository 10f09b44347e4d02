//! The specification of claims: a call that may run at most once, called through several instances.
//!
//! Callers repeat one key through instances that read the log at their own pace. An append may be
//! sent again, may land at any later time or never, and its answer says nothing. An instance may
//! stop between any two steps for as long as anything else may happen, which is how a pause is
//! modelled, and may crash and start anew. The main type is [`ClaimsState`].

use crate::claims_fold::ClaimEntry;
use crate::claims_fold::ClaimFact;
use crate::claims_fold::ClaimTimes;
use crate::claims_fold::KeyState;
use crate::claims_fold::KeyVerdict;
use crate::search::Specification;

/// A rule that is removed, to show that the search would see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimsMutant {
    /// A claimant dispatches when its append is answered, without reading its claim back.
    DispatchOnAnswer,
    /// Another instance dispatches an open claim, as the key's new owner.
    PassOn,
    /// A claim is released, and its claimant may still send.
    ReleaseKeepsSend,
    /// The caller is told not-run at a time limit, and the claimant goes on.
    RefuseKeepsSend,
    /// A claimant sends again when no answer came.
    RetryAfterSend,
    /// An open claim is forgotten like a closed one.
    ForgetOpen,
    /// An instance starts from what the log still holds, without the state before it.
    StartFromRest,
    /// A claim may land however late after the key was seen free.
    NoWindow,
    /// Outcomes are remembered no longer than a claim may be late.
    ShortMemory,
    /// The id of a released claim is not remembered.
    ForgetReleased,
    /// A later claim takes the key from the one that holds it.
    LastClaimWins,
    /// An instance releases the claim of another that it takes for dead.
    ReleaseForAnother,
    /// An instance closes the claim of another that it takes for dead.
    CloseForAnother,
    /// A key is claimed however old the time is that it carries.
    AcceptOldKeys,
    /// The outcome of a key that carries a time is forgotten within its window.
    ForgetAtMemory,
    /// Who waits for another's claim takes a key that is free again for one that was released.
    ClaimWhenForgotten,
    /// Who waits for another's claim takes one of which a copy landed late for one that was released.
    ClaimWhenVoid,
}

/// How far the search goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimsBounds {
    /// The number of instances.
    pub instances: u8,
    /// The number of attempts of callers.
    pub claims: u8,
    /// The greatest number of entries that an instance has not read yet.
    pub unread: u8,
    /// The last time.
    pub time: u8,
    /// How often an instance may crash.
    pub crashes: u8,
    /// How often each claim may be sent again.
    pub retries: u8,
    /// Whether claimants may give up.
    pub gives_up: bool,
    /// The lengths of the rules.
    pub times: ClaimTimes,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ClaimStage {
    /// It has not been made.
    Idle,
    /// The key was held by another claim, and the caller waits for how that ends.
    Behind(u8),
    /// The claim was sent to the log.
    Waiting,
    /// The claim was read back as the winner; nothing is sent yet.
    Decided,
    /// The call was sent to the target.
    Dispatched,
    /// The attempt ended without a dispatch, and none can follow.
    Ended,
}

/// An attempt of a caller, with the claim made for it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimAttempt {
    /// How far it has come.
    pub stage: ClaimStage,
    /// The instance that it came to.
    pub instance: u8,
    /// The time of the fold in which that instance saw the key free.
    pub seen: u8,
    /// How often that fold had forgotten the key.
    pub generation: u8,
    /// Copies of the claim that are under way to the log.
    pub copies: u8,
    /// Copies that may still be sent.
    pub retries: u8,
    /// The release or the close that was sent to the log.
    pub ending: Option<ClaimFact>,
    /// Whether that has landed.
    pub ended: bool,
    /// Whether the caller was told that it was not run.
    pub told_not_run: bool,
    /// How often the call was sent.
    pub dispatches: u8,
}

/// An instance.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimsReader {
    /// What it knows of the key.
    pub known: KeyState,
    /// The number of entries of [`ClaimsState::unread`] that it has folded.
    pub next: u8,
}

/// The state of everything.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimsState {
    /// The platform's time.
    pub time: u8,
    /// What one knows who has folded the whole stream.
    pub whole: KeyState,
    /// The end of the stream, from the first entry on that some instance has not folded.
    pub unread: Vec<ClaimEntry>,
    /// The instances.
    pub readers: Vec<ClaimsReader>,
    /// The attempts.
    pub attempts: Vec<ClaimAttempt>,
    /// Crashes that may still happen.
    pub crashes: u8,
}

/// A step; numbers are those of attempts and instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimsStep {
    /// Time passes.
    Tick,
    /// An entry about another key lands.
    LandOther,
    /// A caller makes an attempt at an instance, which sees the key free and sends a claim.
    Attempt(u8, u8),
    /// A caller makes an attempt at an instance, which sees that the key is held.
    Wait(u8, u8),
    /// The instance sees that the claim it waited for was released, and sends a claim.
    Continue(u8),
    /// The claim is sent again, its answer being lost.
    SendAgain(u8),
    /// A copy of the claim lands.
    Land(u8),
    /// The release or close of an attempt lands.
    LandEnding(u8),
    /// An instance folds the next entry.
    Read(u8),
    /// The claimant reads its own claim back as the winner.
    Decide(u8),
    /// The claimant reads that its claim did not win.
    Lose(u8),
    /// The claimant sends the call.
    Dispatch(u8),
    /// The claimant gives the send up for good, tells not-run and releases the claim.
    GiveUp(u8),
    /// The claimant has an outcome and closes the claim.
    Close(u8),
    /// An instance crashes and starts anew, from the state that another one or itself had.
    Crash(u8, u8),
    /// An instance acts on the claim of another one. Only mutants do.
    Interfere(u8, u8),
}

/// The specification, with all its rules or with one removed.
pub fn specification(
    bounds: ClaimsBounds,
    mutant: Option<ClaimsMutant>,
) -> Specification<ClaimsState, ClaimsStep> {
    let attempt = ClaimAttempt {
        stage: ClaimStage::Idle,
        instance: 0,
        seen: 0,
        generation: 0,
        copies: 0,
        retries: bounds.retries,
        ending: None,
        ended: false,
        told_not_run: false,
        dispatches: 0,
    };
    let initial = ClaimsState {
        time: 0,
        whole: KeyState::default(),
        unread: Vec::new(),
        readers: vec![
            ClaimsReader { known: KeyState::default(), next: 0 };
            bounds.instances as usize
        ],
        attempts: vec![attempt; bounds.claims as usize],
        crashes: bounds.crashes,
    };
    let model = ClaimsModel { bounds, mutant };
    Specification {
        initial,
        successors: Box::new(move |state| model.successors(state)),
        violation: Box::new(move |state| model.violation(state)),
    }
}

#[derive(Clone, Copy)]
struct ClaimsModel {
    bounds: ClaimsBounds,
    mutant: Option<ClaimsMutant>,
}

impl ClaimsModel {
    fn successors(&self, state: &ClaimsState) -> Vec<(ClaimsStep, ClaimsState)> {
        let mut steps = Vec::new();
        if state.time < self.bounds.time {
            steps.push((ClaimsStep::Tick, ClaimsState { time: state.time + 1, ..state.clone() }));
        }
        // An entry that adds neither time nor facts changes nothing.
        if state.whole.time < state.time {
            self.land(&mut steps, state, ClaimsStep::LandOther, ClaimFact::Other, |_| {});
        }
        for instance in 0..self.bounds.instances {
            self.instance_steps(&mut steps, state, instance);
        }
        for attempt in 0..self.bounds.claims {
            self.attempt_steps(&mut steps, state, attempt);
        }
        for (_, state) in &mut steps {
            self.normalise(state);
        }
        steps
    }

    /// Makes states equal that differ only in what can have no effect any more.
    fn normalise(&self, state: &mut ClaimsState) {
        let read_by_all = state.readers.iter().map(|reader| reader.next).min().unwrap_or(0);
        state.unread.drain(..read_by_all as usize);
        for reader in &mut state.readers {
            reader.next -= read_by_all;
        }
        for attempt in &mut state.attempts {
            if matches!(
                attempt.stage,
                ClaimStage::Decided | ClaimStage::Dispatched | ClaimStage::Ended
            ) {
                attempt.retries = 0;
            }
            if attempt.copies == 0 && attempt.retries == 0 {
                attempt.seen = 0;
            }
            if !is_underway(attempt.stage) && self.mutant.is_none() {
                attempt.instance = 0;
            }
            if attempt.stage == ClaimStage::Ended && attempt.dispatches == 0 {
                attempt.generation = 0;
            }
        }
    }

    fn land(
        &self,
        steps: &mut Vec<(ClaimsStep, ClaimsState)>,
        state: &ClaimsState,
        step: ClaimsStep,
        fact: ClaimFact,
        change: impl Fn(&mut ClaimsState),
    ) {
        if state.unread.len() >= self.bounds.unread as usize {
            return;
        }
        let mut next = state.clone();
        let entry = ClaimEntry { at: state.time, fact };
        next.whole.fold(&entry, &self.bounds.times, self.mutant);
        next.unread.push(entry);
        change(&mut next);
        steps.push((step, next));
    }

    fn instance_steps(
        &self,
        steps: &mut Vec<(ClaimsStep, ClaimsState)>,
        state: &ClaimsState,
        instance: u8,
    ) {
        let reader = &state.readers[instance as usize];
        if let Some(entry) = state.unread.get(reader.next as usize) {
            let mut next = state.clone();
            let reader = &mut next.readers[instance as usize];
            reader.known.fold(entry, &self.bounds.times, self.mutant);
            reader.next += 1;
            steps.push((ClaimsStep::Read(instance), next));
        }
        if state.crashes > 0 {
            for source in 0..self.bounds.instances {
                let next = self.crash(state, instance, source);
                steps.push((ClaimsStep::Crash(instance, source), next));
            }
        }
        self.interfere(steps, state, instance);
        let Some(idle) = state.attempts.iter().position(|a| a.stage == ClaimStage::Idle) else {
            return;
        };
        let known = &reader.known;
        // All instances are alike, so the first attempt may as well come to the first one.
        if idle == 0 && instance > 0 {
            return;
        }
        let mut next = state.clone();
        let attempt = &mut next.attempts[idle];
        attempt.instance = instance;
        attempt.generation = known.forgotten;
        if let Some(holder) = known.holder {
            attempt.stage = ClaimStage::Behind(holder.claim);
            steps.push((ClaimsStep::Wait(idle as u8, instance), next));
            return;
        }
        attempt.stage = ClaimStage::Waiting;
        attempt.seen = known.time;
        attempt.copies = 1;
        steps.push((ClaimsStep::Attempt(idle as u8, instance), next));
    }

    fn crash(&self, state: &ClaimsState, instance: u8, source: u8) -> ClaimsState {
        let mut next = state.clone();
        next.crashes -= 1;
        let checkpoint = &state.readers[source as usize];
        let landed = checkpoint.known.holder.map_or(state.time, |holder| holder.landed);
        let retained = landed + self.bounds.times.memory > state.time;
        let mut reader = checkpoint.clone();
        if self.mutant == Some(ClaimsMutant::StartFromRest) && !retained {
            reader.known = KeyState::default();
        }
        next.readers[instance as usize] = reader;
        for attempt in next.attempts.iter_mut().filter(|a| a.instance == instance) {
            if is_underway(attempt.stage) {
                attempt.stage = ClaimStage::Ended;
            }
        }
        next
    }

    fn interfere(
        &self,
        steps: &mut Vec<(ClaimsStep, ClaimsState)>,
        state: &ClaimsState,
        instance: u8,
    ) {
        let acts = matches!(
            self.mutant,
            Some(
                ClaimsMutant::PassOn
                    | ClaimsMutant::ReleaseForAnother
                    | ClaimsMutant::CloseForAnother
            )
        );
        let known = &state.readers[instance as usize].known;
        let Some(holder) = known.holder.filter(|_| acts) else { return };
        let claim = holder.claim;
        let other = &state.attempts[claim as usize];
        if holder.closed.is_some() || other.instance == instance || other.ending.is_some() {
            return;
        }
        let mut next = state.clone();
        let attempt = &mut next.attempts[claim as usize];
        match self.mutant {
            Some(ClaimsMutant::ReleaseForAnother) => {
                attempt.ending = Some(ClaimFact::Release { claim });
            }
            Some(ClaimsMutant::CloseForAnother) => {
                attempt.ending = Some(ClaimFact::Close { claim, own: false });
            }
            _ => attempt.dispatches += 1,
        }
        steps.push((ClaimsStep::Interfere(instance, claim), next));
    }

    fn attempt_steps(
        &self,
        steps: &mut Vec<(ClaimsStep, ClaimsState)>,
        state: &ClaimsState,
        claim: u8,
    ) {
        let index = claim as usize;
        let attempt = &state.attempts[index];
        let mut change = |step: ClaimsStep, alter: &dyn Fn(&mut ClaimAttempt)| {
            let mut next = state.clone();
            alter(&mut next.attempts[index]);
            steps.push((step, next));
        };
        let known = &state.readers[attempt.instance as usize].known;
        if let ClaimStage::Behind(holder) = attempt.stage
            && known.holder.is_none()
            && self.may_continue(known, holder)
        {
            change(ClaimsStep::Continue(claim), &|a| {
                a.stage = ClaimStage::Waiting;
                a.seen = known.time;
                a.copies = 1;
            });
        }
        let waiting = attempt.stage == ClaimStage::Waiting;
        if waiting && attempt.retries > 0 {
            change(ClaimsStep::SendAgain(claim), &|a| {
                a.retries -= 1;
                a.copies += 1;
            });
        }
        if waiting {
            match known.verdict(claim) {
                KeyVerdict::Won => {
                    change(ClaimsStep::Decide(claim), &|a| a.stage = ClaimStage::Decided);
                }
                KeyVerdict::Lost | KeyVerdict::Void => {
                    change(ClaimsStep::Lose(claim), &|a| a.stage = ClaimStage::Ended);
                }
                KeyVerdict::Unseen => {}
            }
        }
        if attempt.stage == ClaimStage::Decided || self.may_send_again(attempt) {
            change(ClaimsStep::Dispatch(claim), &|a| {
                a.stage = ClaimStage::Dispatched;
                a.dispatches += 1;
            });
        }
        let may_give_up = waiting || attempt.stage == ClaimStage::Decided;
        if self.bounds.gives_up && may_give_up && !attempt.told_not_run {
            change(ClaimsStep::GiveUp(claim), &|a| self.give_up(a, claim));
        }
        if attempt.stage == ClaimStage::Dispatched && attempt.ending.is_none() {
            change(ClaimsStep::Close(claim), &|a| {
                a.ending = Some(ClaimFact::Close { claim, own: true });
            });
        }
        self.landings(steps, state, claim);
    }

    /// Whether the key of a claim that was waited for may be claimed anew.
    fn may_continue(&self, known: &KeyState, holder: u8) -> bool {
        match self.mutant {
            Some(ClaimsMutant::ClaimWhenForgotten) => true,
            Some(ClaimsMutant::ClaimWhenVoid) => known.verdict(holder) == KeyVerdict::Void,
            _ => known.is_released(holder),
        }
    }

    fn may_send_again(&self, attempt: &ClaimAttempt) -> bool {
        let sent = attempt.stage == ClaimStage::Dispatched;
        sent && self.mutant == Some(ClaimsMutant::RetryAfterSend)
    }

    fn give_up(&self, attempt: &mut ClaimAttempt, claim: u8) {
        attempt.told_not_run = true;
        match self.mutant {
            Some(ClaimsMutant::RefuseKeepsSend) => return,
            Some(ClaimsMutant::ReleaseKeepsSend) => {}
            _ => attempt.stage = ClaimStage::Ended,
        }
        attempt.ending = Some(ClaimFact::Release { claim });
    }

    fn landings(&self, steps: &mut Vec<(ClaimsStep, ClaimsState)>, state: &ClaimsState, claim: u8) {
        let index = claim as usize;
        let attempt = &state.attempts[index];
        if attempt.copies > 0 {
            let fact = ClaimFact::Claim { claim, seen: attempt.seen };
            self.land(steps, state, ClaimsStep::Land(claim), fact, |next| {
                let attempt = &mut next.attempts[index];
                attempt.copies -= 1;
                let answered = self.mutant == Some(ClaimsMutant::DispatchOnAnswer);
                if answered && attempt.stage == ClaimStage::Waiting {
                    attempt.stage = ClaimStage::Decided;
                }
            });
        }
        if let Some(fact) = attempt.ending.filter(|_| !attempt.ended) {
            self.land(steps, state, ClaimsStep::LandEnding(claim), fact, |next| {
                next.attempts[index].ended = true;
            });
        }
    }

    fn violation(&self, state: &ClaimsState) -> Option<&'static str> {
        let refused = |a: &ClaimAttempt| a.told_not_run && a.dispatches > 0;
        if state.attempts.iter().any(refused) {
            return Some("an attempt that was told not-run is never dispatched");
        }
        let timed = self.bounds.times.key_window.is_some();
        for generation in 0..=self.bounds.claims {
            let counted = |a: &&ClaimAttempt| timed || a.generation == generation;
            let sent: u8 = state.attempts.iter().filter(counted).map(|a| a.dispatches).sum();
            if sent > 1 {
                return Some("a key is dispatched at most once while it is remembered");
            }
        }
        let holder = state.whole.holder.filter(|holder| holder.closed.is_none())?;
        let attempt = &state.attempts[holder.claim as usize];
        let released = matches!(attempt.ending, Some(ClaimFact::Release { .. }));
        (released && attempt.ended).then_some("a released claim never holds its key again")
    }
}

/// Whether an attempt still does something of its own accord.
fn is_underway(stage: ClaimStage) -> bool {
    matches!(stage, ClaimStage::Behind(_) | ClaimStage::Waiting | ClaimStage::Decided)
}
