//! The cost of the control work alone: [`run`].

use eyre::bail;

use crate::report::ExperimentLine;

/// Measures the control work of one daemon at several sizes.
pub async fn run(_seed: u64) -> eyre::Result<ExperimentLine> {
    bail!("the experiment 'control' is not built yet: run another one, see --help")
}
