//! `banyan-entry`: the daemon that runs on each entry instance.

use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use banyan_config::settings::EntrySettings;
use banyan_config::settings::check_settings_file;
use banyan_config::settings::load_settings;
use banyan_config::settings::settings_command;
use banyan_core::serving::decisions::DecisionSet;
use banyan_entry::daemon;
use banyan_entry::metric;

/// The exit code for invalid flags or settings.
const SETTINGS_EXIT: i32 = 2;

fn main() -> eyre::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let matches = settings_command().get_matches();
    let file =
        matches.subcommand_matches("check").and_then(|check| check.get_one::<String>("file"));
    if let Some(file) = file {
        return check(file);
    }
    let settings = match load_settings(&matches) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("banyan-entry: {error}");
            std::process::exit(SETTINGS_EXIT);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run(settings))
}

/// Checks a settings file; prints every error with its location and remedy.
fn check(file: &str) -> eyre::Result<()> {
    if let Err(error) = check_settings_file(file) {
        eprintln!("{error}");
        std::process::exit(SETTINGS_EXIT);
    }
    println!("{file}: the settings can be used");
    Ok(())
}

async fn run(settings: EntrySettings) -> eyre::Result<()> {
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
    // Later signals are ignored, so that they do not interrupt the graceful shutdown.
    running.shutdown().await;
    Ok(())
}
