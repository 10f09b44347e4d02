//! The specification of leases: one actor at a time gives orders to a target.
//!
//! A grant names the grant before it and wins only if that is still the latest; its number is its
//! place in the log. Two ways to keep orders of an older grant from taking effect after those of a
//! newer one are searched: targets that check the number, under any pause and delay, and targets
//! that ignore it, where pauses and delays are bounded and the successor waits for longer than both.
//! The main type is [`LeaseState`].

use crate::search::Specification;

/// A rule that is removed, to show that the search would see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeasesMutant {
    /// The target takes orders whatever their number.
    TargetIgnores,
    /// The target forgets the greatest number that it has seen.
    TargetForgets,
    /// The number counts the holder's own grants.
    OwnNumbers,
    /// A successor asks at once.
    NoWait,
    /// A successor waits for the term, and not for what may still be under way.
    WaitTermOnly,
    /// The holder checks its term when it is granted, and not before each order.
    CheckOnce,
    /// The holder counts its term from when it reads the grant.
    TermFromRead,
    /// A grant wins although another one came between.
    GrantAnyBase,
    /// The holder is paused between check and send for longer than is assumed.
    LongPause,
    /// An order is under way for longer than is assumed.
    LongDelay,
}

/// How far the search goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeasesBounds {
    /// The last time.
    pub time: u8,
    /// The greatest number of grants in the log.
    pub grants: u8,
    /// The greatest number of orders.
    pub orders: u8,
    /// How long a grant lasts from when it was asked for.
    pub term: u8,
    /// Whether the target checks numbers; then nothing is assumed about pauses and delays.
    pub target_checks: bool,
    /// The longest pause between check and send.
    pub pause: u8,
    /// The longest time for which an order is under way.
    pub delay: u8,
}

/// A grant in the log.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseGrant {
    /// Who asked.
    pub holder: u8,
    /// When it was asked for.
    pub asked: u8,
    /// The latest grant that the holder had read, counted from one.
    pub base: u8,
}

/// An instance that wants the lease.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct LeaseHolder {
    /// The grant that is on its way to the log.
    pub asking: Option<LeaseGrant>,
    /// The number of entries read.
    pub read: u8,
    /// The latest winning grant that was read, from one on, and when.
    pub latest: (u8, u8),
    /// The own grant and the end of its term.
    pub held: Option<(u8, u8)>,
    /// The grant and the time of a check that was passed and not used yet.
    pub checked: Option<(u8, u8)>,
    /// The number of own grants.
    pub own: u8,
}

/// An order under way.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeaseOrder {
    /// The grant that it was given under.
    pub grant: u8,
    /// The number that it carries.
    pub number: u8,
    /// When it was sent.
    pub sent: u8,
}

/// The state of everything.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseState {
    /// The time; all clocks run at the same rate.
    pub time: u8,
    /// The log.
    pub grants: Vec<LeaseGrant>,
    /// The instances.
    pub holders: [LeaseHolder; 2],
    /// The orders under way.
    pub orders: Vec<LeaseOrder>,
    /// Orders that may still be sent.
    pub left: u8,
    /// The greatest number that the target has seen.
    pub greatest: u8,
    /// The grant of the order that took effect last.
    pub applied: u8,
    /// Whether an order took effect after one of a newer grant.
    pub stale: bool,
}

/// A step; numbers are those of holders and orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Time passes.
    Tick,
    /// An instance asks for the lease.
    Ask(u8),
    /// Its grant lands in the log.
    Land(u8),
    /// An instance reads the next entry.
    Read(u8),
    /// The holder sees that its term has not ended.
    Check(u8),
    /// The holder sends an order.
    Send(u8),
    /// The holder stops before it sends.
    Skip(u8),
    /// An order arrives.
    Arrive(u8),
    /// An order is lost.
    Lose(u8),
    /// The target starts anew. Only mutants forget by it.
    Forget,
}

/// The specification, with all its rules or with one removed.
pub fn specification(
    bounds: LeasesBounds,
    mutant: Option<LeasesMutant>,
) -> Specification<LeaseState, LeaseStep> {
    let initial = LeaseState {
        time: 0,
        grants: Vec::new(),
        holders: [LeaseHolder::default(); 2],
        orders: Vec::new(),
        left: bounds.orders,
        greatest: 0,
        applied: 0,
        stale: false,
    };
    let model = LeasesModel { bounds, mutant };
    Specification {
        initial,
        successors: Box::new(move |state| model.successors(state)),
        violation: Box::new(|state| {
            state.stale.then_some("no order takes effect after one of a newer grant")
        }),
    }
}

#[derive(Clone, Copy)]
struct LeasesModel {
    bounds: LeasesBounds,
    mutant: Option<LeasesMutant>,
}

impl LeasesModel {
    fn has(&self, mutant: LeasesMutant) -> bool {
        self.mutant == Some(mutant)
    }

    fn successors(&self, state: &LeaseState) -> Vec<(LeaseStep, LeaseState)> {
        let mut steps = Vec::new();
        if state.time < self.bounds.time && !self.is_overdue(state) {
            steps.push((LeaseStep::Tick, LeaseState { time: state.time + 1, ..state.clone() }));
        }
        for holder in 0..2 {
            self.holder_steps(&mut steps, state, holder);
        }
        for order in 0..state.orders.len() {
            self.order_steps(&mut steps, state, order);
        }
        if self.has(LeasesMutant::TargetForgets) && state.greatest > 0 {
            steps.push((LeaseStep::Forget, LeaseState { greatest: 0, ..state.clone() }));
        }
        for (_, state) in &mut steps {
            self.normalise(state);
        }
        steps
    }

    /// Makes states equal that differ only in what can have no effect any more.
    fn normalise(&self, state: &mut LeaseState) {
        let time = state.time;
        for holder in &mut state.holders {
            if time >= holder.latest.1 + self.wait() {
                holder.latest.1 = 0;
            }
            let ended = holder.held.is_some_and(|(_, until)| time >= until);
            if ended && !self.has(LeasesMutant::CheckOnce) {
                holder.held = None;
            }
            if !self.has(LeasesMutant::OwnNumbers) {
                holder.own = 0;
            }
            if let Some((_, at)) = holder.checked.as_mut().filter(|_| self.bounds.target_checks) {
                *at = 0;
            }
        }
        if self.bounds.target_checks {
            state.orders.iter_mut().for_each(|order| order.sent = 0);
            state.orders.sort_unstable();
        }
    }

    /// Whether time cannot pass without breaking what is assumed of pauses and delays.
    fn is_overdue(&self, state: &LeaseState) -> bool {
        if self.bounds.target_checks {
            return false;
        }
        let paused = |holder: &LeaseHolder| {
            holder.checked.is_some_and(|(_, at)| state.time >= at + self.bounds.pause)
        };
        let delayed = |order: &LeaseOrder| state.time >= order.sent + self.bounds.delay;
        let pauses = state.holders.iter().any(paused) && !self.has(LeasesMutant::LongPause);
        let delays = state.orders.iter().any(delayed) && !self.has(LeasesMutant::LongDelay);
        pauses || delays
    }

    fn wait(&self) -> u8 {
        let LeasesBounds { term, pause, delay, target_checks, .. } = self.bounds;
        match self.mutant {
            Some(LeasesMutant::NoWait) => 0,
            Some(LeasesMutant::WaitTermOnly) => term,
            // The number alone must do where it is checked.
            _ if target_checks => 0,
            _ => term + pause + delay,
        }
    }

    fn holder_steps(
        &self,
        steps: &mut Vec<(LeaseStep, LeaseState)>,
        state: &LeaseState,
        index: u8,
    ) {
        let holder = state.holders[index as usize];
        let mut change = |step: LeaseStep, alter: &dyn Fn(&mut LeaseState, &mut LeaseHolder)| {
            let mut next = state.clone();
            let mut row = holder;
            alter(&mut next, &mut row);
            next.holders[index as usize] = row;
            steps.push((step, next));
        };
        let time = state.time;
        let (latest, seen) = holder.latest;
        let waited = latest == 0 || time >= seen + self.wait();
        let idle = holder.asking.is_none() && holder.held.is_none() && holder.checked.is_none();
        if idle && waited {
            let grant = LeaseGrant { holder: index, asked: time, base: latest };
            change(LeaseStep::Ask(index), &|_, row| row.asking = Some(grant));
        }
        if let Some(grant) = holder.asking
            && state.grants.len() < self.bounds.grants as usize
        {
            change(LeaseStep::Land(index), &|next, row| {
                next.grants.push(grant);
                row.asking = None;
            });
        }
        if let Some(grant) = state.grants.get(holder.read as usize) {
            change(LeaseStep::Read(index), &|next, row| self.read(row, *grant, index, next.time));
        }
        if let Some((grant, until)) = holder.held
            && holder.checked.is_none()
            && state.left > 0
            && (time < until || self.has(LeasesMutant::CheckOnce))
        {
            change(LeaseStep::Check(index), &|_, row| row.checked = Some((grant, time)));
        }
        if let Some((grant, _)) = holder.checked {
            change(LeaseStep::Skip(index), &|_, row| row.checked = None);
            let own = self.has(LeasesMutant::OwnNumbers);
            let number = if own { holder.own } else { grant };
            change(LeaseStep::Send(index), &|next, row| {
                row.checked = None;
                next.left = next.left.saturating_sub(1);
                next.orders.push(LeaseOrder { grant, number, sent: time });
                next.orders.sort_unstable();
            });
        }
    }

    fn read(&self, row: &mut LeaseHolder, grant: LeaseGrant, index: u8, time: u8) {
        row.read += 1;
        if grant.base != row.latest.0 && !self.has(LeasesMutant::GrantAnyBase) {
            return;
        }
        row.latest = (row.read, time);
        row.held = None;
        if grant.holder == index {
            let from = if self.has(LeasesMutant::TermFromRead) { time } else { grant.asked };
            row.held = Some((row.read, from + self.bounds.term));
            row.own += 1;
        }
    }

    fn order_steps(
        &self,
        steps: &mut Vec<(LeaseStep, LeaseState)>,
        state: &LeaseState,
        index: usize,
    ) {
        let order = state.orders[index];
        let mut next = state.clone();
        next.orders.remove(index);
        steps.push((LeaseStep::Lose(index as u8), next.clone()));
        let checks = self.bounds.target_checks && !self.has(LeasesMutant::TargetIgnores);
        if !checks || order.number >= state.greatest {
            next.greatest = state.greatest.max(order.number);
            next.stale = order.grant < state.applied;
            next.applied = order.grant;
        }
        steps.push((LeaseStep::Arrive(index as u8), next));
    }
}
