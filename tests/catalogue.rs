//! Checks that `docs/EVENTS.md`, `docs/METRICS.md` and the section of `docs/OPERATIONS.md` on ends match the code.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
};

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
    metrics.count_misdirected("itself");
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

/// Directories and files of which `mintmoor route` consists.
const ROUTE_SOURCES: [&str; 14] = [
    "src/router",
    "src/platform",
    "src/control",
    "src/policy",
    "src/routing",
    "src/telemetry",
    "src/clock.rs",
    "src/sync.rs",
    "src/protocol",
    "src/settings",
    "src/bin/mintmoor/main.rs",
    "src/bin/mintmoor/app.rs",
    "src/bin/mintmoor/process.rs",
    "src/bin/mintmoor/signals.rs",
];
/// What panics or ends the process when it is reached. Tests of `debug_assert` don't run in a release.
const PANICKING: [&str; 10] = [
    ".expect(",
    ".expect_err(",
    ".unwrap()",
    ".unwrap_err()",
    "panic!(",
    "unreachable!(",
    "todo!(",
    "unimplemented!(",
    "process::exit(",
    "process::abort(",
];

/// Contents of a source file, or of all those below a directory, by path.
fn sources(path: &Path) -> Vec<(String, String)> {
    if path.is_dir() {
        let entries = std::fs::read_dir(path).unwrap().map(|entry| entry.unwrap().path());
        return entries.flat_map(|entry| sources(&entry)).collect();
    }
    vec![(path.to_str().unwrap().to_owned(), std::fs::read_to_string(path).unwrap())]
}

/// Cells of the rows of the section on ends whose table has this number of columns.
fn rows_on_ends(page: &str, columns: usize) -> Vec<Vec<&str>> {
    let (_, section) = page.split_once("## Ways in which a process ends").unwrap();
    let rows = section.lines().filter_map(|line| line.strip_prefix("| ")?.strip_suffix(" |"));
    let rows = rows.filter(|row| !row.starts_with("---"));
    let cells = rows.map(|row| row.split(" | ").collect::<Vec<_>>());
    cells.filter(|cells| cells.len() == columns).skip(1).collect()
}

/// Texts between backquotes.
fn quoted(cell: &str) -> impl Iterator<Item = &str> {
    cell.split('`').skip(1).step_by(2)
}

#[test]
fn page_on_ends_names_tests_and_events_that_exist() {
    let page = std::fs::read_to_string("docs/OPERATIONS.md").unwrap();
    let tests = sources(Path::new("tests"));
    let has_test = |name: &str| {
        let (test, async_test) = (format!("#[test]\nfn {name}()"), format!("async fn {name}()"));
        tests.iter().any(|(_, text)| text.contains(&test) || text.contains(&async_test))
    };

    let rows = rows_on_ends(&page, 5);

    assert!(rows.len() > 20);
    for row in &rows {
        let [_, _, event, _, test] = row[..] else { unreachable!("filtered by length") };
        let is_known = CATALOGUE.iter().any(|kind| kind.code.to_string() == event);
        assert!(event == "no" || is_known, "event of {row:?}");
        assert!(test.starts_with("none: ") || quoted(test).count() > 0, "test of {row:?}");
        for name in quoted(test) {
            assert!(has_test(name), "no test {name}");
        }
    }
}

#[test]
fn page_on_ends_counts_all_calls_that_panic() {
    let page = std::fs::read_to_string("docs/OPERATIONS.md").unwrap();
    let listed: BTreeMap<String, usize> = rows_on_ends(&page, 3)
        .into_iter()
        .map(|row| (row[0].to_owned(), row[1].parse().unwrap()))
        .collect();
    let code = |text: &str| {
        let lines = text.lines().filter(|line| !line.trim_start().starts_with("//"));
        lines
            .map(|line| PANICKING.iter().map(|call| line.matches(call).count()).sum::<usize>())
            .sum()
    };

    let found: BTreeMap<String, usize> = ROUTE_SOURCES
        .iter()
        .flat_map(|path| sources(Path::new(path)))
        .map(|(path, text)| (path, code(&text)))
        .filter(|(_, calls)| *calls > 0)
        .collect();

    assert_eq!(listed, found);
}
