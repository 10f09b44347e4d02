//! The load patterns: [`PATTERNS`], and [`run_pattern`], which plays one.

use std::time::Duration;

use eyre::bail;

use crate::emulate::decisions::measure_decisions;
use crate::emulate::fleet_file::FleetFile;
use crate::emulate::instances::DecisionKind;
use crate::emulate::long_prompts::LongPrompts;
use crate::emulate::long_prompts::run_long_prompts;
use crate::emulate::report::PatternTally;
use crate::emulate::world::EmulatedWorld;
use crate::report::ExperimentLine;
use crate::report::rounded;

/// An engine that fails.
#[derive(Clone, Copy, Debug)]
pub struct PatternFault {
    /// When, from the start of the load.
    pub at_ms: u64,
    /// In which zone, by its place in the order of names.
    pub zone_index: usize,
    /// When it is back, empty; `None` is never.
    pub back_after_ms: Option<u64>,
}

/// What happens in a run.
#[derive(Clone, Debug)]
pub struct LoadPattern {
    /// How long the load lasts.
    pub length_ms: u64,
    /// The span in which more callers come, and how many times as many.
    pub burst: Option<(u64, u64, f64)>,
    /// Engines that fail.
    pub faults: Vec<PatternFault>,
    /// Which prompts are long, if any are.
    pub long: Option<LongPrompts>,
}

impl LoadPattern {
    /// How many times the usual rate callers come at a moment.
    pub fn factor(&self, at_ms: u64) -> f64 {
        match self.burst {
            Some((from, until, factor)) if (from..until).contains(&at_ms) => factor,
            _ => 1.0,
        }
    }
}

/// The patterns with what each measures.
pub const PATTERNS: [(&str, &str); 6] = [
    ("steady", "the usual load: the share that is served on time"),
    ("lost-stage", "an engine is lost for good: how long moved streams pause"),
    ("two-lost", "an engine is lost in two zones at once, and comes back empty"),
    ("decisions", "the time that decisions take at 40, 400 and 5,300 engines"),
    ("long-prompts", "long prompts among short ones: their first events, with and without order"),
    ("burst", "three times the load for ten seconds: goodput, and small workspaces"),
];

/// The length of each run.
pub(super) const LENGTH: Duration = Duration::from_secs(30);

/// Plays a pattern with the product's and with the naive decisions.
pub fn run_pattern(name: &str, file: &FleetFile, seed: u64) -> eyre::Result<ExperimentLine> {
    if name == "decisions" {
        return Ok(measure_decisions(file));
    }
    if name == "long-prompts" {
        return Ok(run_long_prompts(file, seed));
    }
    let pattern = pattern(name)?;
    let play = |kind| EmulatedWorld::new(file.clone(), kind, seed).play(&pattern);
    let product = play(DecisionKind::Product);
    let naive = play(DecisionKind::Naive);
    let mut line = match name {
        "steady" => steady_line(seed, &product, &naive),
        "burst" => burst_line(seed, &product, &naive),
        "lost-stage" => moved_line("lost-stage", seed, &product, &naive),
        _ => moved_line("two-lost", seed, &product, &naive),
    };
    product.add_figures("product", &mut line);
    naive.add_figures("naive", &mut line);
    Ok(line)
}

fn pattern(name: &str) -> eyre::Result<LoadPattern> {
    let length_ms = LENGTH.as_millis() as u64;
    let fault =
        |at_ms, zone_index, back_after_ms| PatternFault { at_ms, zone_index, back_after_ms };
    let calm = LoadPattern { length_ms, burst: None, faults: Vec::new(), long: None };
    Ok(match name {
        "steady" => calm,
        "lost-stage" => LoadPattern { faults: vec![fault(10_000, 0, None)], ..calm },
        "two-lost" => {
            let faults = vec![fault(10_000, 0, Some(4_000)), fault(10_000, 1, Some(4_000))];
            LoadPattern { faults, ..calm }
        }
        "burst" => LoadPattern { burst: Some((10_000, 20_000, 3.0)), ..calm },
        _ => bail!("no pattern '{name}': see banyan-load emulate --list"),
    })
}

fn steady_line(seed: u64, product: &PatternTally, naive: &PatternTally) -> ExperimentLine {
    let target = "at least 0.95 of the requests served on time";
    let mut line = ExperimentLine::new("steady", seed, "share on time", target);
    line.figure = rounded(product.on_time_share());
    line.baseline = Some(rounded(naive.on_time_share()));
    line.check(product.on_time_share() >= 0.95, "served on time");
    line
}

fn moved_line(
    name: &'static str,
    seed: u64,
    product: &PatternTally,
    naive: &PatternTally,
) -> ExperimentLine {
    let target = "moved streams pause for at most 500 ms";
    let mut line =
        ExperimentLine::new(name, seed, "ms, the longest pause of a moved stream", target);
    line.figure = product.longest_moved_pause() as f64;
    line.baseline = Some(naive.longest_moved_pause() as f64);
    line.check(product.longest_moved_pause() <= 500, "the longest pause of a moved stream");
    line
}

fn burst_line(seed: u64, product: &PatternTally, naive: &PatternTally) -> ExperimentLine {
    let target = "goodput in the burst at least 0.95 of its peak before it; each small workspace \
                  at least 0.9; late at most 1 in 100 of those accepted";
    let mut line =
        ExperimentLine::new("burst", seed, "goodput in the burst, of that before", target);
    let gain = |tally: &PatternTally| {
        let before = tally.on_time_rate(2_000, 10_000);
        if before > 0.0 { tally.on_time_rate(12_000, 20_000) / before } else { 0.0 }
    };
    line.figure = rounded(gain(product));
    line.baseline = Some(rounded(gain(naive)));
    line.check(gain(product) >= 0.95, "goodput in the burst");
    line.check(product.worst_small_workspace() >= 0.9, "the worst small workspace");
    line.check(product.late_share() <= 0.01, "late among accepted");
    line
}
