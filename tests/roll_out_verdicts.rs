//! Verdicts on simulated roll-outs: no bad version is completed, none gets more requests than allowed, and a good one
//! with enough traffic is completed in time.

use std::time::Duration;

use mintmoor::{
    load::{SimulatedService, VersionFault, roll_out_point},
    policy::{
        exposure::{ExposureConfig, request_share, session_share},
        route_evidence::{MAX_ROUTES, OTHER_ROUTES, RouteEvidence, VersionCounts, route_key},
        run_outcome::RunOutcome,
        trial_budget::{TrialBudget, budget_part},
        version_verdict::{VerdictConfig, VersionVerdict},
    },
};

const FAULTS: [VersionFault; 4] = [
    VersionFault::Errors,
    VersionFault::ErrorsOnOneRoute,
    VersionFault::Slow,
    VersionFault::SlowOnOneRoute,
];

/// A service with a route that fails one request in seven by itself, and one that hardly ever fails. The bad route is
/// the last one.
fn service(rate: f64, entries: usize, is_bad_route_flaky: bool) -> SimulatedService {
    let (flaky, sound) = ((0.45, 0.14), (0.55, 0.004));
    let routes = if is_bad_route_flaky { vec![sound, flaky] } else { vec![flaky, sound] };
    SimulatedService { rate, routes, entries }
}

#[test]
fn no_bad_version_is_completed_or_gets_more_requests_than_allowed() {
    for (service, seconds) in [
        (service(5.0, 3, true), 15.0),
        (service(13.0, 3, false), 8.0),
        (service(13.0, 3, true), 15.0),
        (service(45.0, 4, true), 8.0),
        (service(45.0, 385, true), 15.0),
    ] {
        for fault in FAULTS {
            let point = roll_out_point(&service, seconds, fault, &VerdictConfig::DEFAULT, 0..150);

            assert_eq!(point.completed, 0, "{service:?}, {seconds} s, {fault:?}: {point}");
            assert_eq!(point.over_limit, 0, "{service:?}, {seconds} s, {fault:?}: {point}");
        }
    }
}

#[test]
fn good_versions_with_enough_traffic_are_completed_in_time() {
    for entries in [4, 385] {
        let service = service(45.0, entries, true);

        let point =
            roll_out_point(&service, 24.0, VersionFault::None, &VerdictConfig::DEFAULT, 0..150);

        assert!(point.completed >= 135, "{entries} entries: {point}");
    }
}

/// Records a number of answers, one in `every` of which fails.
fn record(evidence: &mut RouteEvidence, route: &str, is_new: bool, answers: u32, every: u32) {
    for i in 1..=answers {
        let outcome = if i % every == 0 { RunOutcome::Failed } else { RunOutcome::Good };
        evidence.record(route_key(route), is_new, outcome);
    }
}

#[test]
fn a_version_that_turns_bad_after_many_good_answers_is_no_longer_shown_to_be_good() {
    let config = VerdictConfig::DEFAULT;
    let (mut evidence, mut verdict) = (RouteEvidence::default(), VersionVerdict::default());
    record(&mut evidence, "r", false, 1_000, 200);
    record(&mut evidence, "r", true, 300, 1_000);
    verdict.observe(&evidence, &config);
    assert!(verdict.is_no_worse(&config));

    record(&mut evidence, "r", true, 2, 1);
    verdict.observe(&evidence, &config);

    assert!(!verdict.is_no_worse(&config), "risk {}", verdict.risk());
}

#[test]
fn fourteen_good_answers_are_too_few_and_those_of_two_entries_are_enough() {
    let config = VerdictConfig::DEFAULT;
    let is_no_worse = |entries: u32| {
        let (mut evidence, mut verdict) = (RouteEvidence::default(), VersionVerdict::default());
        record(&mut evidence, "r", false, 20 * entries, 1_000);
        record(&mut evidence, "r", true, 14 * entries, 1_000);
        verdict.observe(&evidence, &config);
        verdict.is_no_worse(&config)
    };

    assert!(!is_no_worse(1));
    assert!(is_no_worse(2));
}

#[test]
fn a_route_without_answers_of_the_new_version_prevents_completion() {
    let config = VerdictConfig::DEFAULT;
    let (mut evidence, mut verdict) = (RouteEvidence::default(), VersionVerdict::default());
    record(&mut evidence, "a", false, 500, 1_000);
    record(&mut evidence, "b", false, 500, 1_000);
    record(&mut evidence, "a", true, 400, 1_000);

    verdict.observe(&evidence, &config);

    assert!(!verdict.is_no_worse(&config));
    assert!(!verdict.is_worse());
}

#[test]
fn evidence_of_more_routes_than_are_counted_separately_is_kept_together() {
    let mut evidence = RouteEvidence::default();

    for i in 0..3 * MAX_ROUTES {
        record(&mut evidence, &format!("r-{i}"), true, 2, 2);
    }

    let VersionCounts { new, .. } = evidence.total();
    assert_eq!((new.answers, new.failures), (6 * MAX_ROUTES as u64, 3 * MAX_ROUTES as u64));
    assert!(evidence.iter().count() <= MAX_ROUTES + 1);
    assert!(evidence.iter().any(|(route, _)| route == OTHER_ROUTES));
}

#[test]
fn trials_of_many_entries_use_no_more_than_the_tolerated_number_together() {
    for entries in [1, 3, 30, 385] {
        let part = budget_part(30.0, entries);
        let mut used = 0;
        for entry in 0..entries {
            let mut budget = TrialBudget::new(f64::from(entry) / f64::from(entries));
            for step in 0..100 {
                let is_new = budget.has_left(f64::from(step) / 99.0, 0.0, part);
                budget.record(is_new);
                used += u32::from(is_new);
            }
        }
        assert!((10..=30).contains(&used), "{entries} entries use {used}");
    }
}

#[test]
fn a_route_that_always_fails_does_not_prevent_completion() {
    let config = VerdictConfig::DEFAULT;
    let (mut evidence, mut verdict) = (RouteEvidence::default(), VersionVerdict::default());
    record(&mut evidence, "sound", false, 900, 1_000);
    record(&mut evidence, "broken", false, 100, 1);
    record(&mut evidence, "sound", true, 90, 1_000);
    record(&mut evidence, "broken", true, 10, 1);

    verdict.observe(&evidence, &config);

    assert!(verdict.is_no_worse(&config), "risk {}", verdict.risk());
}

#[test]
fn a_version_gets_no_more_than_the_share_that_the_deployment_allows() {
    let duration = Duration::from_secs(100);
    for allowed in [0.15, 0.0975, 0.05] {
        let config = ExposureConfig::default().within(allowed);
        let mean = |share: fn(Duration, Duration, &ExposureConfig) -> f64| {
            let at = |step: u64| share(Duration::from_millis(100 * step), duration, &config);
            (0..1_000).map(at).sum::<f64>() / 1_000.0
        };

        assert!(mean(request_share) <= allowed, "{allowed}: {}", mean(request_share));
        assert!(mean(session_share) <= allowed, "{allowed}: {}", mean(session_share));
    }
}
