//! How verdicts on new versions turn out: simulated roll-outs of good and bad versions.

use std::{fmt, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::policy::{
    exposure::{
        ExposureConfig, MAX_SAMPLE_SHARE, hash_fraction, may_complete, request_share,
        trial_progress,
    },
    route_evidence::{RouteEvidence, RouteKey},
    run_outcome::RunOutcome,
    trial_budget::{TrialBudget, budget_part},
    version_verdict::{VerdictConfig, VersionVerdict},
};

/// Interval at which entries report their evidence, in seconds.
const REPORT_INTERVAL_S: f64 = 0.4;
/// Share of its requests that a bad version fails or delays.
const BAD_SHARE: f64 = 0.5;
/// Progress from which a version that turns bad late is bad.
const LATE_FROM: f64 = 0.6;
/// Share of the answers that are slow by themselves.
const SLOW_SHARE: f64 = 0.015;

/// What is wrong with a simulated version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionFault {
    /// Nothing.
    None,
    /// It fails requests of all routes.
    Errors,
    /// It fails requests of one route.
    ErrorsOnOneRoute,
    /// It is slow.
    Slow,
    /// It is slow on one route.
    SlowOnOneRoute,
    /// It fails requests of one route from 0.6 of the roll-out on.
    LateOnOneRoute,
}

/// A simulated service: requests per second of all entries, and share and failure rate of each route.
#[derive(Clone, Debug)]
pub struct SimulatedService {
    /// Requests per second.
    pub rate: f64,
    /// Share of the requests and failure rate of each route.
    pub routes: Vec<(f64, f64)>,
    /// Entries, each of which reports at its own times.
    pub entries: usize,
}

/// Outcomes of simulated roll-outs of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct RollOutPoint {
    /// Roll-outs.
    pub roll_outs: u32,
    /// Completed in time.
    pub completed: u32,
    /// Found worse before the deadline; the others are undecided.
    pub found: u32,
    /// Most requests that one of them sent to the new version.
    pub max_exposed: u32,
    /// Roll-outs that exposed more requests than allowed.
    pub over_limit: u32,
}

impl fmt::Display for RollOutPoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = |count: u32| f64::from(count) / f64::from(self.roll_outs.max(1));
        write!(
            f,
            "completed {:.4}, found worse {:.3}, at most {} requests exposed, over the limit {:.4}",
            share(self.completed),
            share(self.found),
            self.max_exposed,
            share(self.over_limit)
        )
    }
}

/// Bounds of the users' platform: share and number of requests that a bad version may get.
const EXPOSURE_SHARE: f64 = 0.15;
const EXPOSURE_TOLERANCE: f64 = 30.0;

/// Simulates a number of roll-outs of this duration with seeded requests. Entries report their evidence each
/// [`REPORT_INTERVAL_S`], each at a time of its own; a version that was found worse gets no more requests.
pub fn roll_out_point(
    service: &SimulatedService,
    seconds: f64,
    fault: VersionFault,
    config: &VerdictConfig,
    seeds: std::ops::Range<u64>,
) -> RollOutPoint {
    let mut point = RollOutPoint::default();
    for seed in seeds {
        let end = RollOut::new(service, seconds, fault, seed).run(config);
        let limit = EXPOSURE_SHARE * f64::from(end.requests) + EXPOSURE_TOLERANCE;
        point.roll_outs += 1;
        point.completed += u32::from(end.is_completed);
        point.found += u32::from(end.is_worse);
        point.max_exposed = point.max_exposed.max(end.exposed);
        // All requests after the completion are meant for the new version.
        point.over_limit +=
            u32::from(fault != VersionFault::None && f64::from(end.exposed) > limit);
    }
    point
}

/// How a simulated roll-out ended.
struct End {
    is_completed: bool,
    is_worse: bool,
    /// Requests of the service until the deadline, and those of them that the new version got.
    requests: u32,
    exposed: u32,
}

/// One entry: its evidence, and its part of the additional requests.
struct SimulatedEntry {
    /// Evidence that is not reported yet.
    evidence: RouteEvidence,
    budget: TrialBudget,
    next_report: f64,
}

struct RollOut<'a> {
    service: &'a SimulatedService,
    seconds: f64,
    fault: VersionFault,
    rng: ChaCha8Rng,
    entries: Vec<SimulatedEntry>,
    /// Index of the entry that reports next.
    next_entry: usize,
    exposure: ExposureConfig,
}

impl<'a> RollOut<'a> {
    fn new(service: &'a SimulatedService, seconds: f64, fault: VersionFault, seed: u64) -> Self {
        let entry = |i: usize| SimulatedEntry {
            evidence: RouteEvidence::default(),
            budget: TrialBudget::new(hash_fraction(&format!("{seed}-{i}"), "budget")),
            next_report: REPORT_INTERVAL_S * (i as f64 / service.entries as f64),
        };
        Self {
            service,
            seconds,
            fault,
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: (0..service.entries).map(entry).collect(),
            next_entry: 0,
            exposure: ExposureConfig::default(),
        }
    }

    /// Plays the requests until the version is completed or found worse, or the deadline has passed.
    fn run(mut self, config: &VerdictConfig) -> End {
        let mut end = End { is_completed: false, is_worse: false, requests: 0, exposed: 0 };
        let (mut verdict, mut reported) = (VersionVerdict::default(), RouteEvidence::default());
        let duration = Duration::from_secs_f64(self.seconds);
        let mut now = 0.0;
        loop {
            now -= (1.0 - self.rng.random::<f64>()).ln() / self.service.rate;
            if now >= self.seconds {
                return end;
            }
            let elapsed = Duration::from_secs_f64(now);
            end.requests += 1;
            let is_old = end.is_worse || end.is_completed;
            end.exposed +=
                u32::from(!is_old && self.serve_request(now, elapsed, duration, &verdict));
            if self.collect_reports(now, &mut reported) {
                verdict.observe(&reported, config);
            }
            end.is_worse |= verdict.is_worse();
            let is_proven = verdict.is_no_worse(config);
            let may_end = may_complete(elapsed, duration, &self.exposure);
            end.is_completed |= !end.is_worse && may_end && is_proven;
        }
    }

    /// Serves one request at a random entry. Returns whether the new version got it.
    fn serve_request(
        &mut self,
        now: f64,
        elapsed: Duration,
        duration: Duration,
        verdict: &VersionVerdict,
    ) -> bool {
        let route = self.draw_route();
        let entries = self.entries.len();
        let entry = &mut self.entries[self.rng.random_range(0..entries)];
        let draw: f64 = self.rng.random();
        let share = request_share(elapsed, duration, &self.exposure);
        let progress = trial_progress(elapsed, duration, &self.exposure);
        let sample_share = verdict.sample_share(route as RouteKey + 1, MAX_SAMPLE_SHARE);
        let part = budget_part(EXPOSURE_TOLERANCE, entries as u32);
        let has_left = entry.budget.has_left(progress, self.exposure.trial_share, part);
        let is_new = draw < share || has_left && draw < sample_share;
        entry.budget.record(is_new);
        let progress = now / self.seconds;
        let is_hit = is_new && self.rng.random_bool(BAD_SHARE);
        let outcome = self
            .fault
            .outcome(route, self.service.routes.len(), progress, is_hit)
            .unwrap_or_else(|| {
                if self.rng.random_bool(self.service.routes[route].1) {
                    RunOutcome::Failed
                } else if self.rng.random_bool(SLOW_SHARE) {
                    RunOutcome::Slow
                } else {
                    RunOutcome::Good
                }
            });
        entry.evidence.record(route as RouteKey + 1, is_new, outcome);
        is_new
    }

    fn draw_route(&mut self) -> usize {
        let mut draw: f64 = self.rng.random();
        let is_route = |(share, _): &(f64, f64)| {
            draw -= share;
            draw < 0.0
        };
        self.service.routes.iter().position(is_route).unwrap_or(0)
    }

    /// Adds the evidence of the entries whose report is due; returns whether there is any. Entries report in turn.
    fn collect_reports(&mut self, now: f64, reported: &mut RouteEvidence) -> bool {
        let mut has_report = false;
        loop {
            let entry = &mut self.entries[self.next_entry];
            if entry.next_report > now {
                return has_report;
            }
            reported.add_all(&std::mem::take(&mut entry.evidence));
            entry.next_report += REPORT_INTERVAL_S;
            self.next_entry = (self.next_entry + 1) % self.entries.len();
            has_report = true;
        }
    }
}

impl VersionFault {
    /// Outcome of a request that the fault concerns; the bad route is the last one.
    fn outcome(
        self,
        route: usize,
        routes: usize,
        progress: f64,
        is_hit: bool,
    ) -> Option<RunOutcome> {
        let is_bad_route = route + 1 == routes;
        let outcome = match self {
            Self::Errors => RunOutcome::Failed,
            Self::ErrorsOnOneRoute if is_bad_route => RunOutcome::Failed,
            Self::LateOnOneRoute if is_bad_route && progress > LATE_FROM => RunOutcome::Failed,
            Self::Slow => RunOutcome::Slow,
            Self::SlowOnOneRoute if is_bad_route => RunOutcome::Slow,
            _ => return None,
        };
        is_hit.then_some(outcome)
    }
}

/// Simulates this number of roll-outs of each kind of service, duration and fault, and passes a line on each to `print`.
pub fn roll_out_curve(config: &VerdictConfig, roll_outs: u64, print: impl Fn(&str)) {
    use VersionFault as F;
    let faults =
        [F::None, F::Errors, F::ErrorsOnOneRoute, F::Slow, F::SlowOnOneRoute, F::LateOnOneRoute];
    for service in simulated_services() {
        let SimulatedService { rate, routes, entries } = &service;
        for seconds in [8.0, 15.0, 24.0, 60.0] {
            let routes = routes.len();
            print(&format!("{rate} requests/s, {routes} routes, {entries} entries, {seconds} s"));
            for fault in faults {
                let point = roll_out_point(&service, seconds, fault, config, 0..roll_outs);
                print(&format!("  {fault:?}: {point}"));
            }
        }
    }
}

/// Services from small to large, with routes that fail at different rates by themselves.
pub fn simulated_services() -> Vec<SimulatedService> {
    let two = vec![(0.45, 0.14), (0.55, 0.004)];
    let two_swapped = vec![(0.55, 0.004), (0.45, 0.14)];
    let five = vec![(0.3, 0.004), (0.25, 0.0), (0.2, 0.05), (0.05, 0.0), (0.2, 0.2)];
    // With a route that always fails, and rare ones.
    let uneven =
        vec![(0.38, 0.004), (0.12, 0.0), (0.08, 1.0), (0.03, 0.0), (0.01, 0.0), (0.38, 0.14)];
    let service =
        |rate, routes: &Vec<_>, entries| SimulatedService { rate, routes: routes.clone(), entries };
    vec![
        service(5.0, &two, 3),
        service(13.0, &two, 3),
        service(13.0, &two_swapped, 3),
        service(16.0, &uneven, 3),
        service(45.0, &two_swapped, 4),
        service(45.0, &five, 30),
        service(165.0, &five, 385),
    ]
}
