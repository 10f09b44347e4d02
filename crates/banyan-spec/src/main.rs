//! Runs the searches: `banyan-spec --all`.

use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;

use banyan_spec::catalogue::SearchCase;
use banyan_spec::catalogue::SearchSize;
use banyan_spec::catalogue::SpecificationCase;
use banyan_spec::catalogue::specifications;
use banyan_spec::search::SearchOutcome;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let size = if matches.get_flag("small") { SearchSize::Small } else { SearchSize::Full };
    if let Some(name) = matches.get_one::<String>("trace") {
        return trace(size, name);
    }
    let wanted = wanted(&matches);
    let chosen: Vec<SpecificationCase> = specifications(size)
        .into_iter()
        .filter(|case| wanted.as_ref().is_none_or(|name| name == case.name))
        .collect();
    if chosen.is_empty() {
        eprintln!("spec: no specification has that name; --list prints them");
        return ExitCode::from(2);
    }
    if matches.get_flag("list") {
        chosen.iter().for_each(list);
        return ExitCode::SUCCESS;
    }
    // Every report is printed, also behind one that is not as it must be.
    let verdicts: Vec<bool> = chosen.iter().map(report).collect();
    let kept = verdicts.into_iter().all(|kept| kept);
    println!("{}", if kept { "all hold, all mutants caught" } else { "NOT as specified" });
    if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn command() -> Command {
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
    };
    Command::new("banyan-spec")
        .about("Searches the specifications of the core protocols exhaustively")
        .arg_required_else_help(true)
        .arg(flag("all", "Search every specification and every mutant"))
        .arg(flag("list", "Print the names, without a search"))
        .arg(flag("small", "Use the small bounds of the tests"))
        .arg(Arg::new("spec").long("spec").value_name("NAME").help("Search only this one"))
        .arg(
            Arg::new("trace")
                .long("trace")
                .value_name("MUTANT")
                .help("Print the shortest counterexample of a mutant or limit"),
        )
}

fn wanted(matches: &ArgMatches) -> Option<String> {
    matches.get_one::<String>("spec").cloned()
}

fn list(case: &SpecificationCase) {
    println!("{}", case.name);
    for mutant in &case.mutants {
        println!("  mutant {}", mutant.name);
    }
    for limit in &case.limits {
        println!("  limit {}", limit.name);
    }
}

/// Prints what the searches of a specification find, and says whether it is as it must be.
fn report(case: &SpecificationCase) -> bool {
    println!("{}", case.name);
    let mut kept = true;
    for search in &case.searches {
        let outcome = search.run();
        let holds = outcome.counterexample.is_none();
        kept &= holds;
        println!("  bounds   {}", search.bounds);
        println!("  states   {}", outcome.states);
        println!("  verdict  {}", if holds { "holds" } else { "BROKEN" });
        print_steps(&outcome);
    }
    for mutant in &case.mutants {
        kept &= report_removed("mutant", "caught", mutant);
    }
    for limit in &case.limits {
        kept &= report_removed("limit", "remains possible", limit);
    }
    kept
}

fn report_removed(kind: &str, found: &str, case: &SearchCase) -> bool {
    let outcome = case.run();
    match &outcome.counterexample {
        Some(example) => {
            let steps = example.steps.len();
            println!(
                "  {kind:<8} {:<24} {found} in {steps} steps: {}",
                case.name, example.property
            );
        }
        None => println!("  {kind:<8} {:<24} NOT FOUND in {} states", case.name, outcome.states),
    }
    outcome.counterexample.is_some()
}

fn print_steps(outcome: &SearchOutcome) {
    let Some(example) = &outcome.counterexample else { return };
    println!("  {}", example.property);
    for (number, step) in (1..).zip(&example.steps) {
        println!("  {number:>4}  {step}");
    }
}

fn trace(size: SearchSize, name: &str) -> ExitCode {
    for case in specifications(size) {
        let mut removed = case.mutants.iter().chain(&case.limits);
        let Some(found) = removed.find(|removed| removed.name == name) else { continue };
        println!("{} without the rule of {}: {}", case.name, found.name, found.bounds);
        print_steps(&found.run());
        return ExitCode::SUCCESS;
    }
    eprintln!("spec: no mutant has the name {name}; --list prints them");
    ExitCode::from(2)
}
