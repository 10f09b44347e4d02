//! The experiments by name: [`run_experiment`].

mod throughput;

use eyre::bail;

use crate::control;
use crate::report::ExperimentLine;

/// What is asked of an experiment.
#[derive(Clone, Copy, Debug)]
pub struct ExperimentOrder {
    /// The seed of the load.
    pub seed: u64,
    /// Whether only the naive decisions run, and their figure is reported.
    pub naive_only: bool,
}

/// The experiments with what each measures, in the order in which they matter.
pub const EXPERIMENTS: [(&str, &str); 2] = [
    ("throughput", "share of the engines' bound reached at saturation"),
    ("control", "cost of the control work alone at growing sizes"),
];

/// Runs an experiment by its name.
pub async fn run_experiment(name: &str, order: ExperimentOrder) -> eyre::Result<ExperimentLine> {
    match name {
        "throughput" => throughput::run(order).await,
        "control" => control::run(order.seed).await,
        _ => bail!("no experiment '{name}': see banyan-load experiment --help"),
    }
}
