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
/// Rate of failures or slow answers from which a route can't be tested, and has little to lose.
const MAX_TESTABLE_RATE: f64 = 0.9;
/// Smallest part of the greatest sample that a route gets: a route that was shown to be good may turn bad.
const MIN_SAMPLE_PART: f64 = 0.2;
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
        completion_risk: 0.004,
    };
}

/// Bad and all answers of one version on a route.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    bad: u64,
    all: u64,
}

impl Counts {
    fn failures(evidence: Evidence) -> Self {
        Self { bad: evidence.failures, all: evidence.answers }
    }

    fn slow(evidence: Evidence) -> Self {
        Self { bad: evidence.poor, all: evidence.rated }
    }

    /// Estimate of the rate, never 0 or 1.
    fn rate(self) -> f64 {
        (self.bad as f64 + 0.5) / (self.all as f64 + 1.5)
    }
}

/// Shows that a rate has not risen.
#[derive(Clone, Copy, Debug, Default)]
struct NoRiseTest {
    seen: Counts,
    /// Log-likelihood ratio of the old rate against a risen one, from 0 to a maximum: a version that turns bad soon
    /// uses up what its good answers have added.
    sum: f64,
    /// Part that a risen rate has in the risk before any answer, see [`VersionVerdict::risk`].
    weight: f64,
    /// How many answers are needed until the part in the risk is small enough, on average.
    needed: f64,
}

impl NoRiseTest {
    /// Adds the answers of the new version since the last call. `weight` is that of a fault that concerns all answers of
    /// the route, and `max_risk` what each test may leave of the risk.
    fn observe(&mut self, old: Counts, new: Counts, weight: f64, max_risk: f64, rise: f64) {
        let base = old.rate();
        if base > MAX_TESTABLE_RATE {
            (self.weight, self.needed) = (0.0, 0.0);
            return;
        }
        let risen = base + rise * (1.0 - base);
        let (bad_ratio, good_ratio) = ((base / risen).ln(), ((1.0 - base) / (1.0 - risen)).ln());
        self.weight = weight * (1.0 - base);
        let goal = (self.weight / max_risk).ln().max(0.0);
        let bad = new.bad.saturating_sub(self.seen.bad) as f64;
        let good = new.all.saturating_sub(self.seen.all) as f64 - bad;
        self.seen = new;
        self.sum += good * good_ratio + bad * bad_ratio;
        self.sum = self.sum.clamp(0.0, goal + MAX_SURPLUS);
        let information = base * bad_ratio + (1.0 - base) * good_ratio;
        self.needed = (goal - self.sum).max(0.0) / information;
    }

    /// What remains of the risk.
    fn risk(&self) -> f64 {
        self.weight * (-self.sum).exp()
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
}

impl RouteTest {
    fn observe(&mut self, counts: VersionCounts, all: u64, max_risk: f64, config: &VerdictConfig) {
        let VersionCounts { old, new } = counts;
        let share = |answers: u64| answers as f64 / all as f64;
        self.share = share(old.answers + new.answers);
        if old.answers < MIN_OLD_ANSWERS {
            // Nothing is known of its rates, so all of it is at risk.
            self.failures.weight = self.share.powi(2);
            return;
        }
        self.worse.observe(old, new, &config.guard);
        let (failures, slow) = (Counts::failures, Counts::slow);
        let rise = config.detectable_rise;
        let weight = self.share.powi(2);
        self.failures.observe(failures(old), failures(new), weight, max_risk, rise);
        let weight = share(old.rated + new.rated).powi(2);
        self.pace.observe(slow(old), slow(new), weight, max_risk, rise);
    }

    fn risk(&self) -> f64 {
        self.failures.risk() + self.pace.risk()
    }

    /// How many answers of the new version are needed for each request of the route.
    fn need(&self) -> f64 {
        self.failures.needed.max(self.pace.needed) / self.share.max(f64::EPSILON)
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
        // An overdue attempt is rated before it is an answer.
        let all = (old.answers + new.answers).max(1);
        let max_risk = config.completion_risk / (2.0 * evidence.iter().count() as f64);
        for (route, counts) in evidence.iter() {
            self.routes.entry(route).or_default().observe(counts, all, max_risk, config);
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
        let greatest = self.routes.values().map(RouteTest::need).fold(0.0, f64::max);
        let Some(route) = self.routes.get(&route) else {
            return max;
        };
        let need = if greatest > 0.0 { route.need() / greatest } else { 1.0 };
        max * need.max(MIN_SAMPLE_PART)
    }

    /// Whether the version was shown to be no worse.
    pub fn is_no_worse(&self, config: &VerdictConfig) -> bool {
        self.strength(config) < SUSPICION_FRACTION && self.risk() <= config.completion_risk
    }

    /// Risk of completing the version: the share of the requests that a bad version would affect, times the probability
    /// ratio that remains for it, summed over what may be bad. The share counts twice: for how likely a fault concerns
    /// a route, and for what it would do.
    pub fn risk(&self) -> f64 {
        if self.routes.is_empty() {
            return 1.0;
        }
        self.routes.values().map(RouteTest::risk).sum()
    }
}
