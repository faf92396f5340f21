//! Roll-outs of model versions: which version a new session gets, and when the guard holds or advances one.

use crate::{
    policy::exposure::is_in_share,
    resources::{Guard, RollOut, RollOutState},
};
use serde::{Deserialize, Serialize};

/// Outcome counts of one version; they only grow until the agent restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Evidence {
    /// Answers, complete or failed.
    pub answers: u64,
    /// Answers that failed.
    pub failures: u64,
    /// Answers that were rated.
    pub rated: u64,
    /// Answers rated as poor.
    pub poor: u64,
}

impl Evidence {
    /// Adds the counts of another agent.
    #[must_use]
    pub fn plus(self, other: Evidence) -> Evidence {
        Evidence {
            answers: self.answers + other.answers,
            failures: self.failures + other.failures,
            rated: self.rated + other.rated,
            poor: self.poor + other.poor,
        }
    }

    /// Counts since an earlier reading; zero, not negative, after a restart of an agent, which counts from zero.
    #[must_use]
    pub fn since(self, earlier: Evidence) -> Evidence {
        Evidence {
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            rated: self.rated.saturating_sub(earlier.rated),
            poor: self.poor.saturating_sub(earlier.poor),
        }
    }

    fn upper_failure_rate(self) -> f64 {
        upper_rate_estimate(self.failures, self.answers)
    }

    fn upper_poor_rate(self) -> f64 {
        upper_rate_estimate(self.poor, self.rated)
    }
}

/// Number of standard errors added to the old version's rate. That rate is an estimate, too; taken as
/// exact, 36 of 1,000 good versions were held in `tests/policy.rs`.
const OLD_RATE_MARGIN: f64 = 1.0;

/// The margin raises a rate at most to this value: a new version that always fails must be found even without
/// any evidence about the old one.
const MAX_RATE_WITH_MARGIN: f64 = 0.5;

/// Upper estimate of a rate, never 0 or 1.
fn upper_rate_estimate(bad: u64, all: u64) -> f64 {
    let n = all as f64 + 1.5;
    let rate = (bad as f64 + 0.5) / n;
    let error = (rate * (1.0 - rate) / n).sqrt();
    let raised = (rate + OLD_RATE_MARGIN * error).min(MAX_RATE_WITH_MARGIN);
    rate.max(raised).min(0.99)
}

/// What the evidence shows about a new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Finding {
    /// Not enough evidence yet.
    Undecided,
    /// No worse, as far as this step can show.
    NoWorse,
    /// Worse.
    Worse,
}

/// Number of independent chances of a false hold in a roll-out of a thousand answers. Calibrated with
/// `mintmoor load --guard-curve`: a setting of 0.01 held 7 of 1,000 good versions.
const FALSE_HOLD_CHANCES: f64 = 100.0;
/// Rate increases that are tested for, as multiples of the tolerated one: a test that expects a large
/// increase finds it sooner.
const RISE_FACTORS: [f64; 3] = [1.0, 2.0, 4.0];

/// Fraction of the decision bound from which a version is suspicious. A completed roll-out can't be reverted,
/// while not completing one costs little.
pub(crate) const SUSPICION_FRACTION: f64 = 0.4;

/// Cumulative-sum (CUSUM) test of a new version against the old one.
///
/// The log-likelihood ratio of "worse" against "the same" is summed over failures and over ratings, for each
/// of the `RISE_FACTORS`. Sums never fall below zero, so that good answers before a version turns bad do not
/// hide it. The version is found worse when a sum reaches the bound given by the false-hold rate. For the old
/// version an upper estimate of the rate is used, see `OLD_RATE_MARGIN`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct VersionTest {
    seen: Evidence,
    failure_sums: [f64; RISE_FACTORS.len()],
    poor_sums: [f64; RISE_FACTORS.len()],
    is_worse: bool,
}

impl VersionTest {
    /// Adds the evidence since the last call; a version once found worse stays so.
    pub fn observe(&mut self, old: Evidence, new: Evidence, guard: &Guard) {
        let added = new.since(self.seen);
        self.seen = new;
        let bound = decision_bound(guard);
        for (i, factor) in RISE_FACTORS.into_iter().enumerate() {
            let rise = guard.tolerated_rise * factor;
            let failing =
                log_likelihood_ratio(added.failures, added.answers, old.upper_failure_rate(), rise);
            let poor = log_likelihood_ratio(added.poor, added.rated, old.upper_poor_rate(), rise);
            self.failure_sums[i] = (self.failure_sums[i] + failing).max(0.0);
            self.poor_sums[i] = (self.poor_sums[i] + poor).max(0.0);
            self.is_worse |= self.failure_sums[i].max(self.poor_sums[i]) >= bound;
        }
    }

    /// Largest of the sums.
    pub fn max_sum(&self) -> f64 {
        self.failure_sums.iter().chain(&self.poor_sums).fold(0.0, |a: f64, b| a.max(*b))
    }

    /// Whether the evidence suggests that the version is worse, even if it does not prove it.
    pub fn is_suspicious(&self, guard: &Guard) -> bool {
        self.is_worse || self.max_sum() >= decision_bound(guard) * SUSPICION_FRACTION
    }

    /// Result of the test so far.
    pub fn finding(&self, guard: &Guard) -> Finding {
        if self.is_worse {
            return Finding::Worse;
        }
        let enough = self.seen.answers >= guard.step_samples;
        if enough { Finding::NoWorse } else { Finding::Undecided }
    }
}

/// Sum from which a version counts as worse.
pub(crate) fn decision_bound(guard: &Guard) -> f64 {
    (FALSE_HOLD_CHANCES / guard.false_hold.max(1e-9)).ln()
}

/// Log-likelihood ratio of the rate `base + rise` against `base`, given `bad` of `all` answers.
fn log_likelihood_ratio(bad: u64, all: u64, base: f64, rise: f64) -> f64 {
    let worse = (base + rise).min(0.999);
    let bad_part = bad as f64 * (worse / base).ln();
    let good_part = (all - bad.min(all)) as f64 * ((1.0 - worse) / (1.0 - base)).ln();
    bad_part + good_part
}

/// Change that the guard makes to a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GuardStep {
    /// No change.
    Stay,
    /// Hold the new version.
    Hold,
    /// Go to the next step, or finish after the last one.
    Advance,
}

/// Determines the guard's next change to a roll-out.
pub fn guard_step(roll_out: &RollOut, finding: Finding) -> GuardStep {
    match (roll_out.state, finding) {
        (RollOutState::Running | RollOutState::Paused, Finding::Worse) => GuardStep::Hold,
        (RollOutState::Running, Finding::NoWorse) => GuardStep::Advance,
        _ => GuardStep::Stay,
    }
}

/// The roll-out after a change by the guard.
pub fn apply_step(roll_out: &RollOut, step: GuardStep) -> RollOut {
    let mut next = roll_out.clone();
    match step {
        GuardStep::Stay => {}
        GuardStep::Hold => next.state = RollOutState::Held,
        GuardStep::Advance if next.step + 1 < next.steps.len() => next.step += 1,
        GuardStep::Advance => next.state = RollOutState::Finished,
    }
    next
}

/// Whether a new session gets the new version.
///
/// The hash of a session never changes, so a growing share only adds sessions.
pub fn takes_new_version(roll_out: &RollOut, session: &str, held: bool) -> bool {
    if held {
        return false;
    }
    is_in_share(session, &roll_out.to, roll_out.share())
}
