//! `banyan-entry`: the daemon on each entry instance.

use clap::Arg;
use clap::Command;
use eyre::WrapErr;
use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use banyan_config::settings::parse_settings;
use banyan_core::serving::decisions::DecisionSet;
use banyan_entry::daemon;
use banyan_entry::metric;

fn main() -> eyre::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let matches =
        Command::new("banyan-entry")
            .about("Serves callers: admits, routes and dispatches their requests to targets")
            .arg(
                Arg::new("settings").long("settings").value_name("FILE").required(true).help(
                    "The daemon's settings, JSON with comments; see docs/operators/settings.md",
                ),
            )
            .get_matches();
    let path = matches.get_one::<String>("settings").cloned().unwrap_or_default();
    let text = std::fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))?;
    let settings = parse_settings(&path, &text)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run(settings))
}

async fn run(settings: banyan_config::settings::EntrySettings) -> eyre::Result<()> {
    let metrics = PrometheusBuilder::new().install_recorder()?;
    metric::describe();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let running = daemon::start(settings, DecisionSet::product(), Some(metrics)).await?;
    let ready = serde_json::json!({
        "caller_address": running.caller_address,
        "operator_address": running.operator_address,
        "peer_address": running.peer_address,
    });
    println!("{ready}");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    // Further signals change nothing: a stop under way cuts no request.
    running.shutdown().await;
    Ok(())
}
