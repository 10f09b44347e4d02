//! The command line: [`command`].

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;

use banyan_config::settings::settings_command;
use banyan_load::emulate::patterns::PATTERNS;
use banyan_load::experiments::EXPERIMENTS;
use banyan_load::plan::DecisionChoice;

/// The whole command line.
pub(crate) fn command() -> Command {
    Command::new("banyan-load")
        .version(clap::crate_version!())
        .about("Open-loop load and experiments; every answer is checked")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(experiment_command())
        .subcommand(emulate_command())
        .subcommand(naive_entry_command())
}

fn experiment_command() -> Command {
    let names = EXPERIMENTS.map(|(name, _)| name);
    let rows = EXPERIMENTS.map(|(name, about)| format!("  {name:<12}{about}"));
    Command::new("experiment")
        .about("Runs one experiment on processes of its own, in under two minutes")
        .after_help(format!("Experiments:\n{}", rows.join("\n")))
        .arg(
            Arg::new("name")
                .value_name("NAME")
                .required(true)
                .value_parser(PossibleValuesParser::new(names))
                .help("The experiment"),
        )
        .arg(seed_flag())
        .arg(flag("json", "Prints the result as one JSON line"))
        .arg(flag("baseline", "Runs the naive decisions alone and reports their figure"))
}

fn emulate_command() -> Command {
    let rows = PATTERNS.map(|(name, about)| format!("  {name:<12}{about}"));
    Command::new("emulate")
        .about("Plays a load pattern against the product's decisions in virtual time")
        .after_help(format!("Patterns:\n{}", rows.join("\n")))
        .arg(
            Arg::new("pattern")
                .value_name("PATTERN")
                .required_unless_present("list")
                .value_parser(PossibleValuesParser::new(PATTERNS.map(|(name, _)| name)))
                .help("The pattern"),
        )
        .arg(
            Arg::new("fleet")
                .long("fleet")
                .value_name("FILE")
                .default_value("examples/emulate/sedlar.jsonc")
                .help("The deployment, in JSON with comments"),
        )
        .arg(seed_flag())
        .arg(flag("list", "Lists the patterns"))
        .arg(flag("json", "Prints the result as one JSON line"))
}

/// The entry with naive decisions, which only experiments start.
fn naive_entry_command() -> Command {
    let names = DecisionChoice::NAIVE.map(DecisionChoice::name);
    settings_command().name("naive-entry").hide(true).arg(
        Arg::new("decisions")
            .long("decisions")
            .required(true)
            .value_parser(PossibleValuesParser::new(names)),
    )
}

fn seed_flag() -> Arg {
    Arg::new("seed")
        .long("seed")
        .value_name("NUMBER")
        .default_value("1")
        .value_parser(value_parser!(u64))
        .help("The seed of the load; the same seed gives the same requests")
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}
