//! Long prompts among short ones: [`run_long_prompts`].

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::emulate::fleet_file::FleetFile;
use crate::emulate::fleet_file::TrafficEntry;
use crate::emulate::instances::DecisionKind;
use crate::emulate::patterns::LENGTH;
use crate::emulate::patterns::LoadPattern;
use crate::emulate::report::PatternTally;
use crate::emulate::world::EmulatedWorld;
use crate::report::ExperimentLine;
use crate::report::rounded;
use banyan_core::pipeline::prompt_order::PromptPolicy;
use banyan_core::pipeline::routes::RouteKind;
use banyan_core::pipeline::routes::RouteSpec;
use banyan_core::pipeline::routes::ServiceShare;

/// The largest p99 of the first events of short prompts, as a multiple of that without long ones.
const MAX_SHORT_FACTOR: f64 = 1.3;
/// The length of a long prompt as a multiple of the usual one.
const LONG_TIMES: u64 = 10;

/// Arrivals, as a multiple of the usual rate. At the usual one prompts hardly meet at an engine; at
/// 1.5 of it the bursts exceed what the engines can read.
const RATE_FACTOR: f64 = 1.25;

/// Which prompts of a pattern are long.
#[derive(Clone, Copy, Debug)]
pub struct LongPrompts {
    /// One in this many arrivals is long.
    pub one_in: u64,
    /// The length as a multiple of the usual one; zero leaves these arrivals out.
    pub times: u64,
    /// The time at the start of each period in which there are any, and the period.
    pub within_ms: (u64, u64),
}

impl LongPrompts {
    /// Whether an arrival is long.
    pub fn is_long(&self, arrival: u64, at_ms: u64) -> bool {
        let (within, period) = self.within_ms;
        at_ms % period < within && arrival.is_multiple_of(self.one_in)
    }
}

/// The policy of a service with two routes that differ in their pause target alone.
pub fn usual_policy(traffic: &TrafficEntry) -> Arc<PromptPolicy> {
    let route = |name: &'static str, pause_ms: u64| RouteSpec {
        name: SmolStr::new_static(name),
        host: SmolStr::new_static("emulated"),
        prefix: format_smolstr!("/{name}/"),
        kind: RouteKind::ResumableStream,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_millis(traffic.first_event_ms),
        pause_target: Some(Duration::from_millis(pause_ms)),
        max_attempts: 2,
        priority: 0,
        open: true,
        shares: vec![ServiceShare { service: "engines".parse().expect("a valid name"), weight: 1 }],
    };
    let routes = [route("chat", traffic.pause_ms), route("batch", 2 * traffic.pause_ms)];
    let mut policies = PromptPolicy::of_routes(&routes, &BTreeSet::new());
    policies.pop_first().expect("routes that differ").1
}

/// Plays each mix with and without an order of the prompts, and the first two also without their long
/// prompts.
pub fn run_long_prompts(file: &FleetFile, seed: u64) -> ExperimentLine {
    let target = "short prompts' p99 at most 1.3 of that without long ones; no fewer long ones on \
                  time than without an order";
    let unit = "short prompts' p99 with one in ten long, of that without";
    let mut line = ExperimentLine::new("long-prompts", seed, unit, target);
    let always = (1, 1);
    let one_in_ten = LongPrompts { one_in: 10, times: LONG_TIMES, within_ms: always };
    let bursts = LongPrompts { one_in: 4, within_ms: (2_000, 10_000), ..one_in_ten };
    let all = LongPrompts { one_in: 1, ..one_in_ten };
    let play = |long, kind| EmulatedWorld::new(file.clone(), kind, seed).play(&pattern(long));
    for (name, long) in [("one_in_ten", one_in_ten), ("bursts", bursts), ("all", all)] {
        let product = play(long, DecisionKind::Product);
        let unordered = play(long, DecisionKind::Unordered);
        product.add_prompt_figures(&format_smolstr!("{name}_product"), &mut line);
        unordered.add_prompt_figures(&format_smolstr!("{name}_unordered"), &mut line);
        let kept = product.prompts_on_time(true) >= unordered.prompts_on_time(true);
        line.check(kept, format!("{name}: long prompts on time"));
        if long.one_in == 1 {
            continue;
        }
        let without = play(LongPrompts { times: 0, ..long }, DecisionKind::Unordered);
        without.add_prompt_figures(&format_smolstr!("{name}_none"), &mut line);
        let factor = |tally: &PatternTally| {
            tally.short_first_p99() as f64 / without.short_first_p99().max(1) as f64
        };
        line.check(factor(&product) <= MAX_SHORT_FACTOR, format!("{name}: short prompts' p99"));
        if line.baseline.is_none() {
            line.figure = rounded(factor(&product));
            line.baseline = Some(rounded(factor(&unordered)));
        }
    }
    line
}

fn pattern(long: LongPrompts) -> LoadPattern {
    let length_ms = LENGTH.as_millis() as u64;
    let burst = Some((0, length_ms, RATE_FACTOR));
    LoadPattern { length_ms, burst, faults: Vec::new(), long: Some(long) }
}
