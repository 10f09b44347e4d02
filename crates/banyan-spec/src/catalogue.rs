//! All specifications with their bounds and mutants: [`specifications`].

use std::fmt::Debug;
use std::hash::Hash;

use crate::claims;
use crate::claims::ClaimsBounds;
use crate::claims::ClaimsMutant;
use crate::claims_fold::ClaimTimes;
use crate::configuration;
use crate::configuration::ConfigurationBounds;
use crate::configuration::ConfigurationMutant;
use crate::leases;
use crate::leases::LeasesBounds;
use crate::leases::LeasesMutant;
use crate::search::SearchOutcome;
use crate::search::Specification;
use crate::search::search;

/// How large the bounds are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SearchSize {
    /// Small enough for an unoptimised test.
    Small,
    /// As large as a command may take a minute for.
    Full,
}

/// A search that can be run, with what it is called and how far it goes.
pub struct SearchCase {
    /// The name of the specification or of the mutant.
    pub name: String,
    /// The bounds, in words.
    pub bounds: String,
    run: Box<dyn Fn() -> SearchOutcome>,
}

impl SearchCase {
    fn new<S, L>(
        name: String,
        bounds: &impl Debug,
        make: impl Fn() -> Specification<S, L> + 'static,
    ) -> Self
    where
        S: Clone + Eq + Hash + 'static,
        L: Debug + 'static,
    {
        let bounds = format!("{bounds:?}");
        Self { name, bounds, run: Box::new(move || search(&make())) }
    }

    /// Runs the search.
    pub fn run(&self) -> SearchOutcome {
        (self.run)()
    }
}

/// A specification with everything that is searched for it.
pub struct SpecificationCase {
    /// Its name.
    pub name: &'static str,
    /// Searches of all its rules, each within bounds of its own. None may find a counterexample.
    pub searches: Vec<SearchCase>,
    /// The specification with one rule removed each. All must find a counterexample.
    pub mutants: Vec<SearchCase>,
    /// The specification with one assumption removed each. What they find remains possible.
    pub limits: Vec<SearchCase>,
}

/// All specifications.
pub fn specifications(size: SearchSize) -> Vec<SpecificationCase> {
    vec![
        claims_case(size),
        timed_claims_case(size),
        configuration_case(size),
        fencing_case(size),
        waiting_case(size),
    ]
}

fn claims_case(size: SearchSize) -> SpecificationCase {
    let small = ClaimsBounds {
        instances: 2,
        claims: 2,
        unread: 2,
        time: 2,
        crashes: 0,
        retries: 0,
        gives_up: true,
        times: ClaimTimes { window: 0, memory: 1, released: 1, key_window: None },
    };
    let crashes = ClaimsBounds { time: 1, crashes: 1, retries: 1, ..small };
    let three = ClaimsBounds { instances: 2, claims: 3, time: 1, ..small };
    let long = ClaimsBounds { unread: 3, time: 3, crashes: 1, ..small };
    let again = ClaimsBounds { unread: 3, crashes: 1, retries: 1, ..small };
    let all = match size {
        SearchSize::Small => vec![small, crashes],
        SearchSize::Full => vec![small, crashes, three, long, again],
    };
    let mutants = [
        (ClaimsMutant::DispatchOnAnswer, small),
        (ClaimsMutant::PassOn, small),
        (ClaimsMutant::ReleaseKeepsSend, small),
        (ClaimsMutant::RefuseKeepsSend, small),
        (ClaimsMutant::RetryAfterSend, small),
        (ClaimsMutant::ForgetOpen, small),
        (ClaimsMutant::StartFromRest, ClaimsBounds { crashes: 1, time: 1, ..small }),
        (ClaimsMutant::NoWindow, ClaimsBounds { gives_up: false, ..small }),
        (ClaimsMutant::ShortMemory, small),
        (ClaimsMutant::ForgetReleased, small),
        (ClaimsMutant::LastClaimWins, small),
        (ClaimsMutant::ReleaseForAnother, small),
        (ClaimsMutant::CloseForAnother, ClaimsBounds { retries: 1, ..small }),
        (ClaimsMutant::ClaimWhenForgotten, ClaimsBounds { gives_up: false, ..small }),
        (ClaimsMutant::ClaimWhenVoid, ClaimsBounds { gives_up: false, ..crashes }),
    ];
    claims_of("claims", all, &mutants)
}

fn timed_claims_case(size: SearchSize) -> SpecificationCase {
    let small = ClaimsBounds {
        instances: 2,
        claims: 2,
        unread: 2,
        time: 3,
        crashes: 0,
        retries: 0,
        gives_up: true,
        times: ClaimTimes { window: 0, memory: 1, released: 1, key_window: Some(1) },
    };
    let all = match size {
        SearchSize::Small => vec![small],
        SearchSize::Full => {
            vec![small, ClaimsBounds { unread: 3, crashes: 1, ..small }]
        }
    };
    // Within a window of two, an outcome that is remembered for one is forgotten too early.
    let times = ClaimTimes { key_window: Some(2), ..small.times };
    let mutants = [
        (ClaimsMutant::AcceptOldKeys, small),
        (ClaimsMutant::ForgetAtMemory, ClaimsBounds { times, retries: 1, ..small }),
    ];
    claims_of("claims-of-timed-keys", all, &mutants)
}

fn claims_of(
    name: &'static str,
    all: Vec<ClaimsBounds>,
    mutants: &[(ClaimsMutant, ClaimsBounds)],
) -> SpecificationCase {
    let case = |bounds: ClaimsBounds, mutant: Option<ClaimsMutant>| {
        let name = mutant.map_or(name.to_string(), |mutant| format!("{mutant:?}"));
        SearchCase::new(name, &bounds, move || claims::specification(bounds, mutant))
    };
    SpecificationCase {
        name,
        searches: all.into_iter().map(|bounds| case(bounds, None)).collect(),
        mutants: mutants.iter().map(|(mutant, bounds)| case(*bounds, Some(*mutant))).collect(),
        limits: Vec::new(),
    }
}

fn configuration_case(size: SearchSize) -> SpecificationCase {
    let small = ConfigurationBounds {
        instances: 2,
        proposals: 2,
        entries: 3,
        checkpoints: 1,
        restarts: 1,
        retries: 0,
    };
    let racing =
        ConfigurationBounds { proposals: 3, entries: 3, checkpoints: 0, retries: 1, ..small };
    let copies = ConfigurationBounds { entries: 4, retries: 1, ..small };
    let parts = ConfigurationBounds { entries: 4, checkpoints: 2, ..small };
    let joining = ConfigurationBounds { instances: 3, ..small };
    let all = match size {
        SearchSize::Small => vec![small],
        SearchSize::Full => vec![small, racing, copies, parts, joining],
    };
    let four = ConfigurationBounds { entries: 4, ..small };
    let mutants = [
        (ConfigurationMutant::AcceptAnyBase, ConfigurationBounds { checkpoints: 0, ..racing }),
        (ConfigurationMutant::ApplyInPart, small),
        (ConfigurationMutant::JudgeCopies, ConfigurationBounds { retries: 1, ..small }),
        (ConfigurationMutant::ForceOnAnswer, small),
        (ConfigurationMutant::StartFromAnyCheckpoint, four),
        (ConfigurationMutant::StartFromPart, small),
        (ConfigurationMutant::MixParts, parts),
        (ConfigurationMutant::StartFromRest, small),
        (ConfigurationMutant::SkipGap, small),
        (ConfigurationMutant::AdoptCheckpoints, small),
        (ConfigurationMutant::AdoptOlder, small),
    ];
    let case = |bounds: ConfigurationBounds, mutant: Option<ConfigurationMutant>| {
        let name = mutant.map_or("configuration".to_string(), |mutant| format!("{mutant:?}"));
        SearchCase::new(name, &bounds, move || configuration::specification(bounds, mutant))
    };
    SpecificationCase {
        name: "configuration",
        searches: all.into_iter().map(|bounds| case(bounds, None)).collect(),
        mutants: mutants.iter().map(|(mutant, bounds)| case(*bounds, Some(*mutant))).collect(),
        limits: Vec::new(),
    }
}

fn fencing_case(size: SearchSize) -> SpecificationCase {
    let small = LeasesBounds {
        time: 2,
        grants: 2,
        orders: 2,
        term: 1,
        target_checks: true,
        pause: 0,
        delay: 0,
    };
    let full = LeasesBounds { time: 3, grants: 3, orders: 3, ..small };
    let all = match size {
        SearchSize::Small => vec![small],
        SearchSize::Full => vec![small, full],
    };
    let mutants =
        [LeasesMutant::TargetIgnores, LeasesMutant::TargetForgets, LeasesMutant::OwnNumbers];
    leases_of("leases-with-fencing", all, small, &mutants, &[])
}

fn waiting_case(size: SearchSize) -> SpecificationCase {
    let small = LeasesBounds {
        time: 4,
        grants: 2,
        orders: 2,
        term: 1,
        target_checks: false,
        pause: 1,
        delay: 1,
    };
    let long = LeasesBounds { time: 7, ..small };
    let more = LeasesBounds { time: 5, grants: 3, ..small };
    let all = match size {
        SearchSize::Small => vec![small],
        SearchSize::Full => vec![small, long, more],
    };
    let mutants = [
        LeasesMutant::NoWait,
        LeasesMutant::WaitTermOnly,
        LeasesMutant::CheckOnce,
        LeasesMutant::TermFromRead,
        LeasesMutant::GrantAnyBase,
    ];
    let limits = [LeasesMutant::LongPause, LeasesMutant::LongDelay];
    leases_of("leases-without-fencing", all, small, &mutants, &limits)
}

fn leases_of(
    name: &'static str,
    all: Vec<LeasesBounds>,
    small: LeasesBounds,
    mutants: &[LeasesMutant],
    limits: &[LeasesMutant],
) -> SpecificationCase {
    let case = |bounds: LeasesBounds, mutant: Option<LeasesMutant>| {
        let name = mutant.map_or(name.to_string(), |mutant| format!("{mutant:?}"));
        SearchCase::new(name, &bounds, move || leases::specification(bounds, mutant))
    };
    let without = |removed: &[LeasesMutant]| {
        removed.iter().map(|mutant| case(small, Some(*mutant))).collect()
    };
    SpecificationCase {
        name,
        searches: all.into_iter().map(|bounds| case(bounds, None)).collect(),
        mutants: without(mutants),
        limits: without(limits),
    }
}
