//! Compares the product's admission under overload with first come, first served.

use std::time::Duration;

use banyan_core::serving::admission::AdmissionQueue;
use banyan_naive::admission::AdmissionModel;
use banyan_naive::admission::ArrivalQueue;
use banyan_naive::admission::OverloadInput;
use banyan_naive::admission::OverloadOutput;
use banyan_naive::admission::run_overload;
use banyan_naive::fixtures::workspace_name;

const CAPACITY: u32 = 40;
const QUEUE_LIMIT: u32 = 1000;

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    for overload in [0.9, 1.5, 3.0] {
        println!(
            "seed {seed}: demand of {overload} times the capacity, 80% of it from one workspace"
        );
        let input = OverloadInput {
            capacity: CAPACITY,
            service: Duration::from_secs(1),
            request_timeout: Duration::from_secs(5),
            overload,
            large_workspace_share: 0.8,
            duration: Duration::from_secs(120),
            seed,
        };
        let capacity = CAPACITY;
        let queue_limit = QUEUE_LIMIT;
        let product = AdmissionQueue { capacity, queue_limit, ..AdmissionQueue::default() };
        let naive = ArrivalQueue { capacity, queue_limit, ..ArrivalQueue::default() };
        print("product", run_overload(input, AdmissionModel::Product(Box::new(product))));
        print("arrival order", run_overload(input, AdmissionModel::Naive(naive)));
    }
}

fn print(name: &str, output: OverloadOutput) {
    let (mut offered, mut in_time) = (0, 0);
    for (workspace, (requested, completed)) in &output.workspaces {
        if *workspace != workspace_name(0) {
            offered += requested;
            in_time += completed;
        }
    }
    println!(
        "  {name:<14} goodput {:>5.1}%; small workspaces served {:>5.1}%; accepted and missed {:>6.2}%; refused at once {}",
        output.goodput * 100.0,
        in_time as f64 * 100.0 / offered as f64,
        output.missed as f64 * 100.0 / output.accepted as f64,
        output.refused,
    );
}
