//! Which stage of a cascade a request starts at, and whether an answer is good enough.

use std::collections::HashMap;

use crate::ids::ObjectId;

/// Weight of a new rating in the running mean.
const RATING_WEIGHT: f64 = 0.02;
/// Ratings after which the declared quality no longer counts.
const FULL_TRUST_RATINGS: f64 = 20.0;
/// Quality above the target that can be saved up, in whole answers: a bound on how many poor
/// answers in a row good ones before them can pay for.
const MAX_CREDIT: f64 = 3.0;
/// Estimates that kept no ratings for this many answers drift to the safe side.
const UNRATED_DECAY: f64 = 0.002;

/// What one estimate is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EstimateKey {
    /// Full name of the cascade.
    pub cascade: ObjectId,
    /// Organisation.
    pub organisation: ObjectId,
    /// Task the caller named, or empty.
    pub task: Box<str>,
    /// Size class of the prompt: log2 of its tokens.
    pub size_class: u32,
    /// Index of the stage.
    pub stage: usize,
}

/// A stage as the decision sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageOutlook {
    /// Expected cost of one answer.
    pub cost: f64,
    /// Chance that its answer passes, 0 to 1.
    pub pass: f64,
}

/// Running estimates of one entry.
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

/// Quality one cascade has reached and what it has saved up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QualityBalance {
    /// Sum of delivered ratings less the target, bounded; what may be spent on poor answers.
    pub credit: f64,
    /// Running mean of delivered ratings.
    pub mean_rating: f64,
}

impl CascadeEstimates {
    /// Chance that a stage's answer passes; `prior` is the version's declared quality.
    pub fn pass_probability(&self, key: &EstimateKey, prior: f64) -> f64 {
        let Some(estimate) = self.pass.get(key) else {
            return prior;
        };
        let trust = (estimate.ratings / FULL_TRUST_RATINGS).min(1.0);
        prior * (1.0 - trust) + estimate.mean * trust
    }

    /// Notes whether a stage's answer passed.
    pub fn record_pass(&mut self, key: EstimateKey, passed: bool) {
        let value = if passed { 1.0 } else { 0.0 };
        let fresh = Estimate { mean: value, ratings: 0.0 };
        let estimate = self.pass.entry(key).or_insert(fresh);
        estimate.ratings += 1.0;
        let step = RATING_WEIGHT.max(1.0 / estimate.ratings);
        estimate.mean += (value - estimate.mean) * step;
    }

    /// Notes that an answer could not be rated: trust in its estimate fades.
    pub fn record_unrated(&mut self, key: &EstimateKey) {
        if let Some(estimate) = self.pass.get_mut(key) {
            estimate.mean *= 1.0 - UNRATED_DECAY;
        }
    }

    /// Quality of a cascade so far.
    pub fn quality_balance(&self, cascade: &str, target: f64) -> QualityBalance {
        let start = QualityBalance { credit: 0.0, mean_rating: target };
        self.quality.get(cascade).copied().unwrap_or(start)
    }

    /// Notes that an answer with this rating was delivered.
    pub fn record_delivered(&mut self, cascade: &ObjectId, target: f64, rating: f64) {
        let mut balance = self.quality_balance(cascade, target);
        balance.mean_rating += (rating - balance.mean_rating) * RATING_WEIGHT;
        balance.credit = (balance.credit + rating - target).clamp(-MAX_CREDIT, MAX_CREDIT);
        self.quality.insert(cascade.clone(), balance);
    }

    /// Estimates held.
    pub fn len(&self) -> usize {
        self.pass.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.pass.is_empty()
    }
}

/// Stage to start at: lowest expected cost among the starts that meet the target.
///
/// Starting at a stage costs that stage and, as often as its answer does not pass, the stages
/// after it. A request that may run only once, or whose deadline holds one stage only, has no
/// stage after the first and must meet the target there.
pub fn start_stage(stages: &[StageOutlook], target: f64, one_stage_only: bool) -> usize {
    let last = stages.len().saturating_sub(1);
    if one_stage_only {
        return stages.iter().position(|stage| stage.pass >= target).unwrap_or(last);
    }
    (0..stages.len())
        .min_by(|a, b| expected_cost(&stages[*a..]).total_cmp(&expected_cost(&stages[*b..])))
        .unwrap_or(last)
}

/// Expected cost of going through the stages in order until one passes.
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
/// Below the target it is passed on only as far as better answers before it have paid for it, so
/// the mean stays at the target and nothing is spent on reaching more.
pub fn is_good_enough(rating: f64, target: f64, balance: QualityBalance) -> bool {
    rating >= target || balance.credit + rating - target >= 0.0
}
