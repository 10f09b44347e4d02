//! The experiments by name: [`run_experiment`].

mod affinity;
mod join;
mod overload;
mod poison;
mod recovery;
mod silent;
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
pub const EXPERIMENTS: [(&str, &str); 8] = [
    ("throughput", "share of the engines' bound reached at saturation"),
    ("recovery", "time until requests are served as before, after each of several failures"),
    ("overload", "three times the bound, one large workspace against nine small ones"),
    ("poison", "a request that kills each engine that runs it, sent again and again"),
    ("silent", "connections that go silent without a sign"),
    ("affinity", "prompt tokens saved by shared prefixes, at no loss of balance"),
    ("join", "unfairness and latency while entries and engines join and leave"),
    ("control", "cost of the control work alone at growing sizes"),
];

/// Runs an experiment by its name.
pub async fn run_experiment(name: &str, order: ExperimentOrder) -> eyre::Result<ExperimentLine> {
    match name {
        "throughput" => throughput::run(order).await,
        "recovery" => recovery::run(order).await,
        "overload" => overload::run(order).await,
        "poison" => poison::run(order).await,
        "silent" => silent::run(order).await,
        "affinity" => affinity::run(order).await,
        "join" => join::run(order).await,
        "control" => control::run(order.seed).await,
        _ => bail!("no experiment '{name}': see banyan-load experiment --help"),
    }
}
