//! Checks that `docs/EVENTS.md` and `docs/METRICS.md` match the code.

use std::collections::BTreeSet;

use mintmoor::telemetry::{
    Metrics,
    event::CATALOGUE,
    metrics::{AttemptLabels, RequestLabels, ServiceLabels, StageLabels},
};

#[test]
fn event_page_matches_the_catalogue() {
    let page = std::fs::read_to_string("docs/EVENTS.md").unwrap();
    let rows: Vec<Vec<&str>> = page
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .map(|line| line.split('|').map(str::trim).collect())
        .collect();
    assert_eq!(rows.len(), CATALOGUE.len());
    for (row, kind) in rows.iter().zip(CATALOGUE) {
        assert_eq!(row[1], kind.code.to_string());
        assert_eq!(row[2], kind.name);
        assert_eq!(row[3], kind.level.as_str().to_lowercase());
        assert_eq!(row[4], kind.meaning);
    }
}

#[test]
fn event_numbers_are_unique_and_ascending() {
    assert!(CATALOGUE.windows(2).all(|pair| pair[0].code < pair[1].code));
}

#[test]
fn metrics_page_lists_every_metric() {
    let page = std::fs::read_to_string("docs/METRICS.md").unwrap();
    let metrics = Metrics::default();
    create_labelled_metrics(&metrics);
    let rendered = metrics.render();
    let named: BTreeSet<&str> = rendered
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE ")?.split(' ').next())
        .collect();
    let listed: BTreeSet<&str> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| mintmoor_")?.split(' ').next())
        .collect();
    let named: BTreeSet<&str> =
        named.iter().map(|name| name.strip_prefix("mintmoor_").unwrap()).collect();
    assert_eq!(listed, named);
}

/// Records a value of every metric with labels, since they are rendered only after that.
fn create_labelled_metrics(metrics: &Metrics) {
    let requests = RequestLabels { organisation: "o".into(), code: "ok".into() };
    metrics.requests.get_or_create(&requests).inc();
    let attempts = AttemptLabels { version: "v".into(), outcome: "done".into() };
    metrics.attempts.get_or_create(&attempts).inc();
    let stages = StageLabels { model: "m".into(), outcome: "passed".into() };
    metrics.stages.get_or_create(&stages).inc();
    metrics.count_limited_send("first");
    metrics.repeats_left.get_or_create(&ServiceLabels { service: "s".into() }).set(1);
    metrics.set_evidence("s", "r", "new", [("answers", 1), ("failures", 0), ("slow", 0)]);
    metrics.count_retry("s", true);
    metrics.count_unavailable_send("draining", "first");
    metrics.count_avoided_servers("paused", 1);
    metrics.count_caller_cut("memory");
    metrics.set_server_speeds(&[0.55]);
    metrics.count_held_back(0, "reserved");
    metrics.count_speed_reports("own", 1);
    metrics.count_unread_header("x-new");
    metrics.count_usage_report("accepted");
    metrics.count_store_call("c");
    metrics.count_store_error("c");
    metrics.count_task_restart("t");
}
