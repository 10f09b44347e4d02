//! Exhaustive search of a specification's states: [`search`].

use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// Every step that may be taken in a state, with the state behind it.
pub type StepsOf<S, L> = Box<dyn Fn(&S) -> Vec<(L, S)>>;

/// The property that a state breaks, if it breaks one.
pub type ViolationOf<S> = Box<dyn Fn(&S) -> Option<&'static str>>;

/// A specification: a first state, what may happen next, and what must never be.
pub struct Specification<S, L> {
    /// The state in which everything begins.
    pub initial: S,
    /// Every step that may be taken in a state, with the state behind it.
    pub successors: StepsOf<S, L>,
    /// The property that a state breaks, if it breaks one.
    pub violation: ViolationOf<S>,
}

/// The shortest way to a state that breaks a property.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Counterexample {
    /// The property.
    pub property: &'static str,
    /// The steps, in words.
    pub steps: Vec<String>,
}

/// What a search found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SearchOutcome {
    /// The number of states that were expanded; all that can be reached, where none breaks a
    /// property.
    pub states: u64,
    /// The shortest counterexample, if there is any.
    pub counterexample: Option<Counterexample>,
}

/// Visits every state that can be reached, breadth first, until one breaks a property.
pub fn search<S, L>(specification: &Specification<S, L>) -> SearchOutcome
where
    S: Clone + Eq + Hash,
    L: Debug,
{
    let Specification { initial, successors, violation } = specification;
    let states = Cell::new(0);
    let expand = |state: &S| {
        states.set(states.get() + 1);
        successors(state).into_iter().map(|(_, next)| next).collect::<Vec<S>>()
    };
    let path = bfs(initial, expand, |state| violation(state).is_some());
    let counterexample = path.and_then(|path| describe(specification, &path));
    SearchOutcome { states: states.get(), counterexample }
}

fn describe<S: Eq, L: Debug>(
    specification: &Specification<S, L>,
    path: &[S],
) -> Option<Counterexample> {
    let property = (specification.violation)(path.last()?)?;
    let step = |pair: &[S]| {
        let mut steps = (specification.successors)(&pair[0]).into_iter();
        let taken = steps.find(|(_, next)| *next == pair[1]);
        taken.map(|(label, _)| format!("{label:?}")).unwrap_or_default()
    };
    Some(Counterexample { property, steps: path.windows(2).map(step).collect() })
}
