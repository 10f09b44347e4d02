//! An entry that runs with naive decisions, for baselines: [`run`].

use clap::ArgMatches;
use eyre::bail;
use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use banyan_config::settings::load_settings;
use banyan_core::serving::decisions::DecisionSet;
use banyan_entry::daemon;
use banyan_entry::metric;
use banyan_naive::choice;

/// Runs the entry until it is asked to stop, and then stops it as the product's does.
pub(crate) async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let settings = load_settings(matches)?;
    let metrics = PrometheusBuilder::new().install_recorder()?;
    metric::describe();
    let running = daemon::start(settings, decisions(matches)?, Some(metrics)).await?;
    let ready = serde_json::json!({
        "caller_address": running.caller_address,
        "operator_address": running.operator_address,
    });
    println!("{ready}");
    signal(SignalKind::terminate())?.recv().await;
    running.shutdown().await;
    Ok(())
}

fn decisions(matches: &ArgMatches) -> eyre::Result<DecisionSet> {
    match matches.get_one::<String>("decisions").map(String::as_str) {
        Some("random") => Ok(choice::random()),
        Some("round-robin") => Ok(choice::round_robin()),
        Some("least-reported") => Ok(choice::least_reported()),
        _ => bail!("name naive decisions: see --help"),
    }
}
