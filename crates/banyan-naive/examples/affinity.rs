//! Compares target choice with prefix affinity, without it, and round robin.

use std::time::Duration;

use banyan_core::ids::LayerRange;
use banyan_core::serving::chain_query::ChainQuery;
use banyan_core::serving::choice;
use banyan_core::serving::decisions::DecisionSet;
use banyan_naive::batch_model::BatchModel;
use banyan_naive::batch_model::ModelInput;
use banyan_naive::batch_model::ModelOutput;
use banyan_naive::batch_model::PromptInput;
use banyan_naive::fixtures::mixed_splits;
use banyan_naive::fixtures::model_name;
use banyan_naive::fixtures::token_bound;

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    for percent in [50, 80, 100] {
        for lost_percent in [0, 30] {
            compare(seed, percent, lost_percent);
        }
    }
}

fn compare(seed: u64, percent: u32, lost_percent: u64) {
    let declaration = mixed_splits(4);
    let model = model_name(0);
    let cuts = [LayerRange { first: 0, end: 24 }, LayerRange { first: 24, end: 48 }];
    let bound = token_bound(&declaration, &model, &cuts);
    let tokens = 20;
    let lag = Duration::from_millis(500);
    let prompts = PromptInput { kinds: 64, cached: 16, weight: 6, lag, lost_percent };
    let input = ModelInput {
        declaration,
        model,
        instances: 7,
        rate: bound * f64::from(percent) / 100.0 / f64::from(tokens),
        tokens,
        report_every: Duration::from_millis(200),
        report_lag: Duration::from_millis(250),
        duration: Duration::from_secs(20),
        warm_up: Duration::from_secs(6),
        slow_links: Vec::new(),
        exchange: true,
        stream_limit: u32::MAX,
        prompts: Some(prompts),
        seed,
    };
    println!(
        "seed {seed}: load {percent}% of {bound:.0} tokens/s, {lost_percent}% of the events lost"
    );
    let without = DecisionSet {
        choose_chain: |table, query| {
            choice::choose_chain(table, &ChainQuery { prefixes: &[], ..query.clone() })
        },
        ..DecisionSet::product()
    };
    print("product", bound, BatchModel::run(input.clone(), DecisionSet::product()));
    print("no affinity", bound, BatchModel::run(input.clone(), without));
    print("round robin", bound, BatchModel::run(input, banyan_naive::choice::round_robin()));
}

fn print(name: &str, bound: f64, output: ModelOutput) {
    let (prompts, found) = output.prompts;
    println!(
        "  {name:<12} {:>5.1}% of prompts found cached; {:>5.1}% of the bound; first token p95 {:>7} us; between tokens p95 {:>7} us",
        found as f64 * 100.0 / prompts as f64,
        output.token_rate / bound * 100.0,
        ModelOutput::percentile(&output.first_token, 95),
        ModelOutput::percentile(&output.between_tokens, 95),
    );
}
