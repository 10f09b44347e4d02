//! What an experiment prints: [`ExperimentLine`].

use std::collections::BTreeMap;

use serde::Serialize;
use smol_str::SmolStr;

/// The result of one experiment, printed as one JSON line.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentLine {
    /// The experiment's name.
    pub experiment: SmolStr,
    /// The seed.
    pub seed: u64,
    /// What was aimed at, in words.
    pub target: SmolStr,
    /// What the figure is, with its unit.
    pub unit: SmolStr,
    /// The main figure of what the product decides.
    pub figure: f64,
    /// The same figure of the naive decisions under the same load and seed, where they were run.
    pub baseline: Option<f64>,
    /// Whether the target was met. With the naive decisions alone: whether they would have met it.
    pub met: bool,
    /// The figures behind.
    pub figures: BTreeMap<SmolStr, f64>,
    /// What a reader must know: what was not run, and each part of the target that was missed.
    pub notes: Vec<String>,
}

impl ExperimentLine {
    /// A line without figures, whose target counts as met until a check fails.
    pub fn new(
        experiment: &'static str,
        seed: u64,
        unit: &'static str,
        target: &'static str,
    ) -> Self {
        Self {
            experiment: SmolStr::new_static(experiment),
            seed,
            target: SmolStr::new_static(target),
            unit: SmolStr::new_static(unit),
            figure: 0.0,
            baseline: None,
            met: true,
            figures: BTreeMap::new(),
            notes: Vec::new(),
        }
    }

    /// Adds a figure.
    pub fn add(&mut self, name: impl Into<SmolStr>, figure: f64) {
        self.figures.insert(name.into(), rounded(figure));
    }

    /// Checks a part of the target and notes it where it is missed.
    pub fn check(&mut self, holds: bool, part: impl Into<String>) {
        if !holds {
            self.met = false;
            self.notes.push(format!("missed: {}", part.into()));
        }
    }
}

/// A figure with four digits behind the point.
pub fn rounded(figure: f64) -> f64 {
    (figure * 10_000.0).round() / 10_000.0
}
