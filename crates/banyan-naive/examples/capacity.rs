//! Prints the throughput and latency of overloaded engines for several stream limits.

use std::time::Duration;

use banyan_core::ids::LayerRange;
use banyan_core::serving::capacity::capacity_share;
use banyan_core::serving::decisions::DecisionSet;
use banyan_naive::batch_model::BatchModel;
use banyan_naive::batch_model::ModelInput;
use banyan_naive::batch_model::ModelOutput;
use banyan_naive::fixtures::mixed_splits;
use banyan_naive::fixtures::model_name;
use banyan_naive::fixtures::token_bound;

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    let declaration = mixed_splits(4);
    let model = model_name(0);
    let cuts = [LayerRange { first: 0, end: 24 }, LayerRange { first: 24, end: 48 }];
    let bound = token_bound(&declaration, &model, &cuts);
    let instances = 7;
    let share = capacity_share(&declaration, instances);
    for percent in [50, 75, 100, 150, 200, u32::MAX] {
        let stream_limit = if percent == u32::MAX { u32::MAX } else { share * percent / 100 };
        let tokens = 50;
        let input = ModelInput {
            declaration: declaration.clone(),
            model: model.clone(),
            instances: instances as usize,
            rate: bound * 3.0 / f64::from(tokens),
            tokens,
            report_every: Duration::from_millis(200),
            report_lag: Duration::from_millis(250),
            duration: Duration::from_secs(20),
            warm_up: Duration::from_secs(6),
            slow_links: Vec::new(),
            exchange: true,
            stream_limit,
            prompts: None,
            seed,
        };
        let output = BatchModel::run(input, DecisionSet::product());
        let limit = if percent == u32::MAX { "no limit".to_owned() } else { format!("{percent}%") };
        println!(
            "seed {seed}: demand 3x, streams {limit} of capacity_share ({share} an instance): {:>5.1}% of the bound; between tokens p50 {:>8} p95 {:>8} us",
            output.token_rate / bound * 100.0,
            ModelOutput::percentile(&output.between_tokens, 50),
            ModelOutput::percentile(&output.between_tokens, 95),
        );
    }
}
