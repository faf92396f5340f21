//! Verdict on a new version from the outcomes of both versions, route by route.
//!
//! Two kinds of sequential test with a bound each, as in Wald's sequential probability ratio test (1945): one finds a
//! version that is worse, the other one shows that it is not. A version about which neither has decided is neither
//! rolled back nor completed. Each route is compared with its own rates under the old version, since routes differ
//! (docs/decisions/0022).

use std::collections::BTreeMap;

use crate::{
    policy::{
        roll_out::{Evidence, SUSPICION_FRACTION, VersionTest, decision_bound},
        route_evidence::{RouteEvidence, RouteKey, VersionCounts},
    },
    resources::Guard,
};

/// Answers of the old version on a route from which its rates are known well enough to compare with.
const MIN_OLD_ANSWERS: u64 = 10;
/// Bound of the sums that show that a version is not worse, beyond what completion needs. It limits how many good
/// answers can hide that a version has turned bad.
const MAX_SURPLUS: f64 = 1.0;

/// Settings of the verdict.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VerdictConfig {
    /// Settings of the test that finds a worse version.
    pub guard: Guard,
    /// Share of a route's requests which a bad version fails or delays and that must be ruled out, 0 to 1.
    pub detectable_rise: f64,
    /// Highest risk with which a version is completed, see [`VersionVerdict::risk`].
    pub completion_risk: f64,
}

impl VerdictConfig {
    /// Bad versions affect a third of their requests or more. Rolling back a good version costs a roll-out, while finding
    /// a bad one late breaks a service promise, so the probability of a false finding is not set very low. A completed
    /// version can't be rolled back, so the risk of completing a bad one is.
    pub const DEFAULT: Self = Self {
        guard: Guard { step_samples: 1, tolerated_rise: 0.15, false_hold: 0.1 },
        detectable_rise: 0.35,
        completion_risk: 0.002,
    };
}

/// Shows that a rate has not risen.
#[derive(Clone, Copy, Debug, Default)]
struct NoRiseTest {
    bad: u64,
    all: u64,
    /// Log-likelihood ratio of the old rate against a risen one, from 0 to a maximum: a version that turns bad soon
    /// uses up what its good answers have added.
    sum: f64,
}

impl NoRiseTest {
    /// Adds the answers of the new version since the last call; both are counts of bad and of all answers.
    fn observe(&mut self, old: (u64, u64), new: (u64, u64), max: f64, config: &VerdictConfig) {
        let bad = new.0.saturating_sub(self.bad) as f64;
        let good = new.1.saturating_sub(self.all) as f64 - bad;
        (self.bad, self.all) = new;
        let base = (old.0 as f64 + 0.5) / (old.1 as f64 + 1.5);
        let risen = base + config.detectable_rise * (1.0 - base);
        let ratio = good * ((1.0 - base) / (1.0 - risen)).ln() - bad * (risen / base).ln();
        self.sum = (self.sum + ratio).clamp(0.0, max);
    }

    /// How many answers of a version that is not worse bring the sum to `max`, on average.
    fn answers_needed(&self, old: (u64, u64), max: f64, config: &VerdictConfig) -> f64 {
        let base = (old.0 as f64 + 0.5) / (old.1 as f64 + 1.5);
        let risen = base + config.detectable_rise * (1.0 - base);
        let information =
            base * (base / risen).ln() + (1.0 - base) * ((1.0 - base) / (1.0 - risen)).ln();
        (max - self.sum).max(0.0) / information.max(f64::EPSILON)
    }

    /// Probability ratio that remains for a risen rate.
    fn remaining(&self) -> f64 {
        (-self.sum).exp()
    }
}

/// Tests of one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteTest {
    worse: VersionTest,
    failures: NoRiseTest,
    pace: NoRiseTest,
    /// Its share of the answers.
    share: f64,
    /// How many answers of the new version are still needed to complete it, on average.
    needed: f64,
}

impl RouteTest {
    /// `max` bounds the sums that show that the version is not worse.
    fn observe(&mut self, counts: VersionCounts, max: f64, config: &VerdictConfig) {
        let VersionCounts { old, new } = counts;
        if old.answers < MIN_OLD_ANSWERS {
            return;
        }
        self.worse.observe(old, new, &config.guard);
        let failures = |e: Evidence| (e.failures, e.answers);
        self.failures.observe(failures(old), failures(new), max, config);
        let pace = |e: Evidence| (e.poor, e.rated);
        self.pace.observe(pace(old), pace(new), max, config);
        let needed = self.failures.answers_needed(failures(old), max, config);
        self.needed = needed.max(self.pace.answers_needed(pace(old), max, config));
    }

    /// Weight of the route in the risk.
    fn weight(&self) -> f64 {
        self.share.powi(2)
    }
}

/// Tests of a new version on the evidence of all routes.
#[derive(Clone, Debug, Default)]
pub struct VersionVerdict {
    /// Test on all routes together, which finds a version that is bad everywhere sooner.
    total: VersionTest,
    routes: BTreeMap<RouteKey, RouteTest>,
    is_worse: bool,
}

impl VersionVerdict {
    /// Adds the evidence since the last call; a version once found worse stays so.
    pub fn observe(&mut self, evidence: &RouteEvidence, config: &VerdictConfig) {
        let VersionCounts { old, new } = evidence.total();
        self.total.observe(old, new, &config.guard);
        let (all, routes) = ((old.answers + new.answers) as f64, evidence.iter().count() as f64);
        for (key, counts) in evidence.iter() {
            let route = self.routes.entry(key).or_default();
            route.share = (counts.old.answers + counts.new.answers) as f64 / all;
            let needed = (route.weight() * 2.0 * routes / config.completion_risk).ln().max(0.0);
            route.observe(counts, needed + MAX_SURPLUS, config);
        }
        self.is_worse |= self.strength(config) >= 1.0;
    }

    /// Whether the version was found worse.
    pub fn is_worse(&self) -> bool {
        self.is_worse
    }

    /// How much speaks for a worse version, as a fraction of what is needed to find it worse. The probability of a false
    /// finding is divided among the routes and their total.
    pub fn strength(&self, config: &VerdictConfig) -> f64 {
        let bound = decision_bound(&config.guard) + (1.0 + self.routes.len() as f64).ln();
        let routes = self.routes.values().map(|route| route.worse.max_sum());
        routes.fold(self.total.max_sum(), f64::max) / bound
    }

    /// Share of a route's requests, up to `max`, that the trial should sample: more where more answers are needed, so that
    /// all routes are decided at the same time.
    pub fn sample_share(&self, route: RouteKey, max: f64) -> f64 {
        let need = |r: &RouteTest| r.needed / r.share.max(f64::EPSILON);
        let greatest = self.routes.values().map(need).fold(0.0, f64::max);
        let Some(route) = self.routes.get(&route).filter(|_| greatest > 0.0) else {
            return max;
        };
        max * need(route) / greatest
    }

    /// Whether the version was shown to be no worse.
    pub fn is_no_worse(&self, config: &VerdictConfig) -> bool {
        self.strength(config) < SUSPICION_FRACTION && self.risk() <= config.completion_risk
    }

    /// Risk of completing the version: the share of the requests that a bad version would affect, times the probability
    /// ratio that remains for it, summed over routes that may be bad. Each is weighted by its share of the requests
    /// twice: for how likely a fault concerns it, and for what the fault would do.
    pub fn risk(&self) -> f64 {
        if self.routes.is_empty() {
            return 1.0;
        }
        let risk = |r: &RouteTest| r.weight() * (r.failures.remaining() + r.pace.remaining());
        self.routes.values().map(risk).sum()
    }
}
