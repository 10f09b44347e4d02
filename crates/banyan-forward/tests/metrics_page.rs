//! The metrics page can be parsed by a Prometheus client library.

use std::collections::BTreeMap;

use metrics_exporter_prometheus::PrometheusBuilder;
use prometheus_parse::Scrape;
use prometheus_parse::Value;

use banyan_forward::callers::answer::NotRunCause;
use banyan_forward::callers::answer::Refusal;
use banyan_forward::logs;
use banyan_forward::metric;

#[test]
fn the_page_parses_with_counters_gauges_and_histograms() {
    let recorder = metric::configure(PrometheusBuilder::new()).expect("buckets").build_recorder();
    let page = recorder.handle();
    metrics::with_local_recorder(&recorder, || {
        metric::describe();
        let refusal = Refusal::NotRun(NotRunCause::NoRoom, std::time::Duration::from_millis(400));
        logs::refused(None, refusal, None);
        metrics::histogram!("banyan_first_event_seconds").record(0.042);
        metrics::histogram!("banyan_first_event_seconds").record(0.9);
        metrics::gauge!("banyan_configuration_version").set(7.0);
    });
    let lines = page.render().lines().map(|line| Ok(line.to_owned())).collect::<Vec<_>>();
    let scrape = Scrape::parse(lines.into_iter()).expect("a page in the usual format");
    let samples: BTreeMap<&str, &prometheus_parse::Sample> =
        scrape.samples.iter().map(|sample| (sample.metric.as_str(), sample)).collect();
    let refusals = samples["banyan_refusals_total"];
    assert_eq!(refusals.labels.get("cause"), Some("no_room"));
    assert!(matches!(refusals.value, Value::Counter(1.0)), "{refusals:?}");
    let Value::Histogram(buckets) = &samples["banyan_first_event_seconds"].value else {
        panic!("not a histogram: {samples:?}");
    };
    assert!(buckets.iter().any(|bucket| bucket.less_than == 0.5 && bucket.count == 1.0));
    assert!(matches!(samples["banyan_configuration_version"].value, Value::Gauge(7.0)));
    assert!(scrape.docs.contains_key("banyan_refusals_total"), "{:?}", scrape.docs);
}
