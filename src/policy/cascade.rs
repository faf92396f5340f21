//! Cascades: at which stage a request starts, and whether an answer is good enough to be passed on.

use std::collections::HashMap;

use crate::ids::ObjectId;

/// Weight of a new rating in a running mean.
const RATING_WEIGHT: f64 = 0.02;
/// Number of ratings after which a version's declared quality no longer counts.
const FULL_TRUST_RATINGS: f64 = 20.0;
/// Maximum quality credit, in answers: bounds how many poor answers in a row earlier good ones can offset.
const MAX_CREDIT: f64 = 3.0;
/// Fraction by which a pass estimate falls, towards the safe side, for each answer that could not be rated.
const UNRATED_DECAY: f64 = 0.002;

/// Key of a pass estimate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EstimateKey {
    /// Full name of the cascade.
    pub cascade: ObjectId,
    /// Organisation of the caller.
    pub organisation: ObjectId,
    /// Task that the caller named, or empty.
    pub task: Box<str>,
    /// Size class of the prompt: log2 of its tokens.
    pub size_class: u32,
    /// Index of the stage.
    pub stage: usize,
}

/// Expected cost and quality of a stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageOutlook {
    /// Expected cost of one answer.
    pub cost: f64,
    /// Probability that its answer passes, 0 to 1.
    pub pass: f64,
}

/// Running estimates of one entry: pass probabilities of stages and quality balances of cascades.
#[derive(Clone, Debug, Default)]
pub struct CascadeEstimates {
    pass: HashMap<EstimateKey, Estimate>,
    quality: HashMap<ObjectId, QualityBalance>,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    ratings: f64,
}

/// Quality that a cascade has reached, and its credit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QualityBalance {
    /// Sum of the differences between delivered ratings and the target, bounded; offsets poor answers.
    pub credit: f64,
    /// Running mean of delivered ratings.
    pub mean_rating: f64,
}

impl CascadeEstimates {
    /// Probability that a stage's answer passes; `prior` is the version's declared quality.
    pub fn pass_probability(&self, key: &EstimateKey, prior: f64) -> f64 {
        let Some(estimate) = self.pass.get(key) else {
            return prior;
        };
        let trust = (estimate.ratings / FULL_TRUST_RATINGS).min(1.0);
        prior * (1.0 - trust) + estimate.mean * trust
    }

    /// Records whether a stage's answer passed.
    pub fn record_pass(&mut self, key: EstimateKey, passed: bool) {
        let value = if passed { 1.0 } else { 0.0 };
        let fresh = Estimate { mean: value, ratings: 0.0 };
        let estimate = self.pass.entry(key).or_insert(fresh);
        estimate.ratings += 1.0;
        let step = RATING_WEIGHT.max(1.0 / estimate.ratings);
        estimate.mean += (value - estimate.mean) * step;
    }

    /// Records that an answer could not be rated, which lowers the estimate of its stage.
    pub fn record_unrated(&mut self, key: &EstimateKey) {
        if let Some(estimate) = self.pass.get_mut(key) {
            estimate.mean *= 1.0 - UNRATED_DECAY;
        }
    }

    /// Quality balance of a cascade; before the first rating it is neutral.
    pub fn quality_balance(&self, cascade: &str, target: f64) -> QualityBalance {
        let start = QualityBalance { credit: 0.0, mean_rating: target };
        self.quality.get(cascade).copied().unwrap_or(start)
    }

    /// Records that an answer with this rating was delivered.
    pub fn record_delivered(&mut self, cascade: &ObjectId, target: f64, rating: f64) {
        let mut balance = self.quality_balance(cascade, target);
        balance.mean_rating += (rating - balance.mean_rating) * RATING_WEIGHT;
        balance.credit = (balance.credit + rating - target).clamp(-MAX_CREDIT, MAX_CREDIT);
        self.quality.insert(cascade.clone(), balance);
    }

    /// Number of pass estimates.
    pub fn len(&self) -> usize {
        self.pass.len()
    }

    /// Whether there are no pass estimates.
    pub fn is_empty(&self) -> bool {
        self.pass.is_empty()
    }
}

/// Stage to start at: the one with the lowest expected cost.
///
/// Starting at a stage costs that stage and, as often as its answer does not pass, the stages
/// after it. A request that may run only once, or whose deadline leaves time for one stage only, can't
/// continue with later stages and starts at the first stage that is expected to meet the target.
pub fn start_stage(stages: &[StageOutlook], target: f64, one_stage_only: bool) -> usize {
    let last = stages.len().saturating_sub(1);
    if one_stage_only {
        return stages.iter().position(|stage| stage.pass >= target).unwrap_or(last);
    }
    (0..stages.len())
        .min_by(|a, b| expected_cost(&stages[*a..]).total_cmp(&expected_cost(&stages[*b..])))
        .unwrap_or(last)
}

/// Expected cost of running the stages in order until an answer passes.
pub fn expected_cost(stages: &[StageOutlook]) -> f64 {
    let mut reach_probability = 1.0;
    let mut cost = 0.0;
    for stage in stages {
        cost += reach_probability * stage.cost;
        reach_probability *= 1.0 - stage.pass;
    }
    cost
}

/// Whether an answer with this rating is passed on rather than escalated.
///
/// An answer below the target is passed on only if the credit from earlier, better answers covers the
/// difference, so that the mean stays at the target and nothing is spent on exceeding it.
pub fn is_good_enough(rating: f64, target: f64, balance: QualityBalance) -> bool {
    rating >= target || balance.credit + rating - target >= 0.0
}
