//! The guard's trade-off: false holds of good versions against answers of bad ones let through.

use std::fmt;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::{
    policy::roll_out::{Evidence, Finding, VersionTest},
    resources::Guard,
};

const ROLL_OUTS: usize = 1_000;
/// Answers of the new version in one roll-out.
const ANSWERS: usize = 1_000;
/// Answers of the new version before it turns bad.
const GOOD_FIRST: usize = 100;
/// Answers of the old version for each of the new one: a roll-out at 20 %.
const OLD_PER_NEW: usize = 4;
/// Answers between two looks at the evidence.
const LOOK: usize = 5;
const POOR: f64 = 0.25;
const POOR_WHEN_BAD: f64 = 0.625;

/// One setting of the guard.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct GuardPoint {
    /// The setting `false_hold`.
    pub false_hold: f64,
    /// Holds in a thousand roll-outs of a version as good as the old one.
    pub false_holds: f64,
    /// Mean answers of a version that turned bad until it was found.
    pub exposed: f64,
}

impl fmt::Display for GuardPoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "false_hold {:7}: {:5.1} false holds in 1,000 roll-outs, {:5.1} answers until found",
            self.false_hold, self.false_holds, self.exposed
        )
    }
}

/// Drives the production test with seeded answers.
pub fn guard_point(false_hold: f64, seed: u64) -> GuardPoint {
    let guard = Guard { false_hold, step_samples: u64::MAX, ..Guard::default() };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut held = 0;
    let mut exposed = 0;
    for _ in 0..ROLL_OUTS {
        held += usize::from(answers_until_found(&guard, &mut rng, ANSWERS).is_some());
        let found = answers_until_found(&guard, &mut rng, GOOD_FIRST);
        exposed += found.map_or(ANSWERS, |at| at.saturating_sub(GOOD_FIRST));
    }
    let per = |count: usize| count as f64 / ROLL_OUTS as f64;
    GuardPoint { false_hold, false_holds: per(held) * 1_000.0, exposed: per(exposed) }
}

/// Answers until a version that turns bad after `good` is found worse.
fn answers_until_found(guard: &Guard, rng: &mut ChaCha8Rng, good: usize) -> Option<usize> {
    let mut test = VersionTest::default();
    let (mut old, mut new) = (Evidence::default(), Evidence::default());
    for answer in 1..=ANSWERS {
        for _ in 0..OLD_PER_NEW {
            add(&mut old, rng.random_bool(POOR));
        }
        let poor = if answer > good { POOR_WHEN_BAD } else { POOR };
        add(&mut new, rng.random_bool(poor));
        if answer % LOOK == 0 {
            test.observe(old, new, guard);
        }
        if test.finding(guard) == Finding::Worse {
            return Some(answer);
        }
    }
    None
}

fn add(sums: &mut Evidence, poor: bool) {
    sums.answers += 1;
    sums.rated += 1;
    sums.poor += u64::from(poor);
}

/// The curve over settings from careless to careful.
pub fn guard_curve(seed: u64) -> Vec<GuardPoint> {
    [1.0, 0.1, 0.01, 0.001].map(|false_hold| guard_point(false_hold, seed)).to_vec()
}
