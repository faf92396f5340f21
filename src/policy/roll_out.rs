//! Roll-outs: which version a new session gets, and when a version is held or moved on.

use crate::{
    policy::exposure::is_in_share,
    resources::{Guard, RollOut, RollOutState},
};
use serde::{Deserialize, Serialize};

/// Outcomes of one version, as sums that only grow within one agent's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Evidence {
    /// Answers, whole or failed.
    pub answers: u64,
    /// Answers that failed.
    pub failures: u64,
    /// Answers that were rated.
    pub rated: u64,
    /// Answers rated as poor.
    pub poor: u64,
}

impl Evidence {
    /// Adds another agent's sums.
    #[must_use]
    pub fn plus(self, other: Evidence) -> Evidence {
        Evidence {
            answers: self.answers + other.answers,
            failures: self.failures + other.failures,
            rated: self.rated + other.rated,
            poor: self.poor + other.poor,
        }
    }

    /// What came after an earlier reading; an agent that started anew counts from zero.
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

/// Standard errors added to the old version's rate: it is an estimate too, and taking it as
/// exact held 36 of 1,000 good versions in `tests/policy.rs`.
const OLD_RATE_MARGIN: f64 = 1.0;

/// The margin alone lifts a rate no further: without any evidence about the old version, a new
/// one that fails everything must still be found.
const MAX_RATE_WITH_MARGIN: f64 = 0.5;

/// Upper estimate of a rate, never 0 or 1.
fn upper_rate_estimate(bad: u64, all: u64) -> f64 {
    let n = all as f64 + 1.5;
    let rate = (bad as f64 + 0.5) / n;
    let error = (rate * (1.0 - rate) / n).sqrt();
    let raised = (rate + OLD_RATE_MARGIN * error).min(MAX_RATE_WITH_MARGIN);
    rate.max(raised).min(0.99)
}

/// What the evidence says about a new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Finding {
    /// Not enough yet.
    Undecided,
    /// No worse, as far as this step can show.
    NoWorse,
    /// Worse.
    Worse,
}

/// Independent chances of a false hold in a roll-out of a thousand answers. Calibrated with
/// `mintmoor load --guard-curve`: a setting of 0.01 held 7 of 1,000 good versions.
const FALSE_HOLD_CHANCES: f64 = 100.0;
/// Rises looked for, as multiples of the tolerated one: a large rise is found sooner by a test
/// that expects it.
const RISE_FACTORS: [f64; 3] = [1.0, 2.0, 4.0];

/// Part of the bound from which a version is suspicious. A completed roll-out can't be taken back,
/// and one that is not completed costs little.
const SUSPICION_FRACTION: f64 = 0.4;

/// Cumulative-sum test of a new version against the old one.
///
/// The log-likelihood ratio of "worse" against "the same" is summed over failures and over
/// ratings, for each of the rises; a sum below zero starts anew, so that good answers before a
/// version turns bad do not hide it. Crossing the bound set by the false-hold rate finds it worse.
/// The old version's rate is taken from its upper side, see [`OLD_RATE_MARGIN`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct VersionTest {
    seen: Evidence,
    failure_sums: [f64; RISE_FACTORS.len()],
    poor_sums: [f64; RISE_FACTORS.len()],
    is_worse: bool,
}

impl VersionTest {
    /// Takes in what has come since the last time; a version once found worse stays so.
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

    /// Whether the evidence points to a worse version, though it does not prove one.
    pub fn is_suspicious(&self, guard: &Guard) -> bool {
        let max = self.failure_sums.iter().chain(&self.poor_sums).fold(0.0, |a: f64, b| a.max(*b));
        self.is_worse || max >= decision_bound(guard) * SUSPICION_FRACTION
    }

    /// What has been found.
    pub fn finding(&self, guard: &Guard) -> Finding {
        if self.is_worse {
            return Finding::Worse;
        }
        let enough = self.seen.answers >= guard.step_samples;
        if enough { Finding::NoWorse } else { Finding::Undecided }
    }
}

/// Sum from which a version is found worse.
fn decision_bound(guard: &Guard) -> f64 {
    (FALSE_HOLD_CHANCES / guard.false_hold.max(1e-9)).ln()
}

fn log_likelihood_ratio(bad: u64, all: u64, base: f64, rise: f64) -> f64 {
    let worse = (base + rise).min(0.999);
    let bad_part = bad as f64 * (worse / base).ln();
    let good_part = (all - bad.min(all)) as f64 * ((1.0 - worse) / (1.0 - base)).ln();
    bad_part + good_part
}

/// What the guard writes, if anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GuardStep {
    /// Nothing.
    Stay,
    /// Hold the new version.
    Hold,
    /// Go to the next step, or finish after the last.
    Advance,
}

/// Decides the guard's next write for a roll-out.
pub fn guard_step(roll_out: &RollOut, finding: Finding) -> GuardStep {
    match (roll_out.state, finding) {
        (RollOutState::Running | RollOutState::Paused, Finding::Worse) => GuardStep::Hold,
        (RollOutState::Running, Finding::NoWorse) => GuardStep::Advance,
        _ => GuardStep::Stay,
    }
}

/// The roll-out after the guard's write.
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
/// The same session always draws the same number, so a growing share only ever adds sessions.
pub fn takes_new_version(roll_out: &RollOut, session: &str, held: bool) -> bool {
    if held {
        return false;
    }
    is_in_share(session, &roll_out.to, roll_out.share())
}
