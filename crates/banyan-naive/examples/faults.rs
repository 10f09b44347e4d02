//! Compares suspicion, retry budgets and quarantine with their naive counterparts.

use std::time::Duration;

use banyan_naive::faults::run_outage;
use banyan_naive::faults::run_poison;
use banyan_naive::faults::run_silence;

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    for delay in [2, 50, 150, 300] {
        let mean = Duration::from_millis(delay);
        for (name, adaptive) in [("product", true), ("fixed limit", false)] {
            let output = run_silence(mean, adaptive, seed);
            println!(
                "seed {seed}: signs of life over a link of {delay} ms: {name:<12} {:>4} false alarms in 600 s; failure detected after {:?}",
                output.false_alarms, output.detection
            );
        }
    }
    for requests in [1000, 30_000] {
        println!(
            "outage over {requests} requests: attempts per request: product {:.3}, three retries each {:.3}",
            run_outage(requests, Some(20)),
            run_outage(requests, None)
        );
    }
    for merge_every in [1, 5, 20] {
        for (name, quarantine) in [("product", true), ("no quarantine", false)] {
            let output = run_poison(quarantine, merge_every, seed);
            println!(
                "seed {seed}: poison request retried through 7 instances, exchange every {merge_every} steps: {name:<14} {} target crashes; harmless requests served {}, lost {}",
                output.crashes, output.served, output.lost
            );
        }
    }
}
