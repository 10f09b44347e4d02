//! The program `banyan-standin`: one stand-in as a process, see the library.
//!
//! Prints one JSON line with its addresses when it is ready, and runs until it is ended.

mod cli;

use std::net::SocketAddr;

use clap::ArgMatches;
use eyre::bail;
use serde::Serialize;
use smol_str::SmolStr;

use banyan_standin::announce::announce_instance;
use banyan_standin::engine;
use banyan_standin::platform;
use banyan_standin::service;
use banyan_wire::platform::InstanceRole;
use banyan_wire::platform::InstanceState;
use banyan_wire::platform::InstanceWire;

/// The line that is printed when a stand-in is ready.
#[derive(Debug, Serialize)]
struct ReadyLine {
    name: SmolStr,
    address: SocketAddr,
    control_address: SocketAddr,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    env_logger::init();
    let matches = cli::command().get_matches();
    match matches.subcommand() {
        Some(("platform", matches)) => run_platform(matches).await,
        Some(("engine", matches)) => run_engine(matches).await,
        Some(("service", matches)) => run_service(matches).await,
        _ => bail!("name a stand-in: platform, engine or service"),
    }
}

async fn run_platform(matches: &ArgMatches) -> eyre::Result<()> {
    let handle = platform::start(cli::platform_options(matches)).await?;
    let (address, control_address) = (handle.address, handle.control_address);
    print_ready(ReadyLine { name: SmolStr::new_static("platform"), address, control_address })?;
    wait_for_end().await
}

async fn run_engine(matches: &ArgMatches) -> eyre::Result<()> {
    let options = cli::engine_options(matches);
    let name = options.name.clone();
    let handle = engine::start(options).await?;
    announce(matches, &name).await?;
    let (address, control_address) = (handle.address, handle.control_address);
    print_ready(ReadyLine { name, address, control_address })?;
    wait_for_end().await
}

async fn run_service(matches: &ArgMatches) -> eyre::Result<()> {
    let options = cli::service_options(matches);
    let name = options.name.clone();
    let handle = service::start(options).await?;
    announce(matches, &name).await?;
    let (address, control_address) = (handle.address, handle.control_address);
    print_ready(ReadyLine { name, address, control_address })?;
    wait_for_end().await
}

async fn announce(matches: &ArgMatches, name: &SmolStr) -> eyre::Result<()> {
    let Some(platform) = matches.get_one::<SocketAddr>(cli::PLATFORM) else { return Ok(()) };
    let zone = matches.get_one::<String>(cli::ZONE).map(SmolStr::new).unwrap_or_default();
    let row = InstanceWire {
        name: name.clone(),
        role: InstanceRole::Target,
        state: InstanceState::Live,
        zone,
        caller_address: None,
        peer_address: None,
        operator_address: None,
    };
    announce_instance(*platform, &row).await
}

fn print_ready(line: ReadyLine) -> eyre::Result<()> {
    println!("{}", serde_json::to_string(&line)?);
    Ok(())
}

async fn wait_for_end() -> eyre::Result<()> {
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    Ok(())
}
