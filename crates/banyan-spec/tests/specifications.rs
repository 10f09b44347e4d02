//! Every specification holds within the small bounds, and every mutant is caught.

use banyan_spec::catalogue::SearchSize;
use banyan_spec::catalogue::specifications;

fn check(name: &str) {
    let case = specifications(SearchSize::Small).into_iter().find(|case| case.name == name);
    let case = case.expect("the specification is in the catalogue");
    for search in &case.searches {
        let outcome = search.run();
        assert_eq!(outcome.counterexample, None, "{} within {}", search.name, search.bounds);
        assert!(outcome.states > 10_000, "{name} reaches only {} states", outcome.states);
    }
    for removed in case.mutants.iter().chain(&case.limits) {
        let outcome = removed.run();
        assert!(outcome.counterexample.is_some(), "{} is not caught", removed.name);
    }
}

#[test]
fn claims_hold_and_their_mutants_are_caught() {
    check("claims");
}

#[test]
fn claims_of_timed_keys_hold_and_their_mutants_are_caught() {
    check("claims-of-timed-keys");
}

#[test]
fn the_configuration_holds_and_its_mutants_are_caught() {
    check("configuration");
}

#[test]
fn leases_with_fencing_hold_and_their_mutants_are_caught() {
    check("leases-with-fencing");
}

#[test]
fn leases_without_fencing_hold_and_their_mutants_are_caught() {
    check("leases-without-fencing");
}

#[test]
fn every_specification_is_checked() {
    assert_eq!(specifications(SearchSize::Small).len(), 5);
}
