//! The program `banyan-load`: experiments on real processes, see the library.

mod command;
mod naive_entry;

use std::path::Path;

use clap::ArgMatches;

use banyan_load::emulate::fleet_file::FleetFile;
use banyan_load::emulate::patterns::PATTERNS;
use banyan_load::emulate::patterns::run_pattern;
use banyan_load::experiments::ExperimentOrder;
use banyan_load::experiments::run_experiment;
use banyan_load::report::ExperimentLine;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    env_logger::init();
    let matches = command::command().get_matches();
    match matches.subcommand() {
        Some(("naive-entry", matches)) => naive_entry::run(matches).await,
        Some(("emulate", matches)) => emulate(matches),
        Some(("experiment", matches)) => {
            let name = matches.get_one::<String>("name").map_or("", String::as_str);
            let order = ExperimentOrder {
                seed: matches.get_one::<u64>("seed").copied().unwrap_or_default(),
                naive_only: matches.get_flag("baseline"),
            };
            let line = run_experiment(name, order).await?;
            print_line(&line, matches.get_flag("json"))
        }
        _ => eyre::bail!("name a command: see --help"),
    }
}

fn emulate(matches: &ArgMatches) -> eyre::Result<()> {
    if matches.get_flag("list") {
        for (name, about) in PATTERNS {
            println!("{name:<12}{about}");
        }
        return Ok(());
    }
    let name = matches.get_one::<String>("pattern").map_or("", String::as_str);
    let fleet = matches.get_one::<String>("fleet").map_or("", String::as_str);
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or_default();
    let file = FleetFile::read(Path::new(fleet))?;
    print_line(&run_pattern(name, &file, seed)?, matches.get_flag("json"))
}

fn print_line(line: &ExperimentLine, json: bool) -> eyre::Result<()> {
    if json {
        println!("{}", serde_json::to_string(line)?);
        return Ok(());
    }
    println!("{} with seed {}", line.experiment, line.seed);
    println!("  target:   {}", line.target);
    println!("  figure:   {} ({})", line.figure, line.unit);
    if let Some(baseline) = line.baseline {
        println!("  baseline: {baseline}");
    }
    println!("  met:      {}", if line.met { "yes" } else { "no" });
    for (name, figure) in &line.figures {
        println!("  {name}: {figure}");
    }
    for note in &line.notes {
        println!("  note: {note}");
    }
    Ok(())
}
