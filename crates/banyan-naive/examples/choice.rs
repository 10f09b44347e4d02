//! Compares the product's target choice on mixed engines with naive algorithms.

use std::time::Duration;

use banyan_core::ids::LayerRange;
use banyan_core::serving::decisions::DecisionSet;
use banyan_core::units::Moment;
use banyan_naive::batch_model::BatchModel;
use banyan_naive::batch_model::ModelInput;
use banyan_naive::batch_model::ModelOutput;
use banyan_naive::choice;
use banyan_naive::fixtures::mixed_splits;
use banyan_naive::fixtures::model_name;
use banyan_naive::fixtures::target_name;
use banyan_naive::fixtures::token_bound;

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    for (members, instances) in [(4, 7), (16, 60)] {
        println!("seed {seed}, {} engines, {instances} instances", members * 6);
        for percent in [60, 95, 110] {
            compare(seed, members, instances, percent, false);
        }
        compare(seed, members, instances, 60, true);
    }
}

fn compare(seed: u64, members: u32, instances: usize, percent: u32, slow_links: bool) {
    let declaration = mixed_splits(members);
    let model = model_name(0);
    let cuts = [LayerRange { first: 0, end: 24 }, LayerRange { first: 24, end: 48 }];
    let bound = token_bound(&declaration, &model, &cuts);
    let tokens = 50;
    let slow = (0..members as usize).map(|number| (target_name(number), Moment(4_000_000), 100));
    let input = ModelInput {
        declaration,
        model,
        instances,
        rate: bound * f64::from(percent) / 100.0 / f64::from(tokens),
        tokens,
        report_every: Duration::from_millis(200),
        report_lag: Duration::from_millis(250),
        duration: Duration::from_secs(20),
        warm_up: Duration::from_secs(6),
        slow_links: if slow_links { slow.collect() } else { Vec::new() },
        exchange: true,
        stream_limit: u32::MAX,
        prompts: None,
        seed,
    };
    let links = if slow_links { "; a sixth of the links a hundred times slower" } else { "" };
    println!("load {percent}% of {bound:.0} tokens/s{links}");
    print("product", bound, BatchModel::run(input.clone(), DecisionSet::product()));
    let alone = ModelInput { exchange: false, ..input.clone() };
    print("product alone", bound, BatchModel::run(alone, DecisionSet::product()));
    print("random", bound, BatchModel::run(input.clone(), choice::random()));
    print("round robin", bound, BatchModel::run(input.clone(), choice::round_robin()));
    print("least reported", bound, BatchModel::run(input, choice::least_reported()));
}

fn print(name: &str, bound: f64, output: ModelOutput) {
    println!(
        "  {name:<15} {:>5.1}% of the bound; first token p95 {:>7} us; between tokens p50 {:>7} p95 {:>7} p99 {:>7} us",
        output.token_rate / bound * 100.0,
        ModelOutput::percentile(&output.first_token, 95),
        ModelOutput::percentile(&output.between_tokens, 50),
        ModelOutput::percentile(&output.between_tokens, 95),
        ModelOutput::percentile(&output.between_tokens, 99),
    );
}
