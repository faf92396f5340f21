//! Whether a cascade's answer is passed on or asked again of a larger model.
//!
//! The model's own confidence decides. An answer below the threshold goes straight to the largest
//! model: the middle one costs half as much and is seldom good enough where the smallest was not
//! (docs/decisions/0008 has the figures). The largest model is also ten times slower, so when its
//! answers come late the threshold falls, first for what is least urgent.

use std::time::Duration;

/// Confidence, 0 to 100, from which an answer is passed on. Of 45, 60, 75 and 90 the best in a
/// trial on both first sites (docs/decisions/0008).
const CONFIDENT: f64 = 60.0;
/// Threshold under full pressure: a late answer earns about a third of one in time, so an answer
/// that is right one time in five is still worth less than a late one, but costs others nothing.
const CONFIDENT_UNDER_PRESSURE: f64 = 20.0;
/// Mean wait for the largest model, as a part of the objective, at which pressure begins.
const PRESSURE_FROM: f64 = 0.3;
/// Mean wait at which pressure is full.
const PRESSURE_FULL: f64 = 0.8;
/// Ranks over which the fall of the threshold is spread; the most urgent takes the least of it.
const RANKS: f64 = 3.0;
/// Least time that must be left for the largest model; below it any answer beats none.
const LEAST_TIME: Duration = Duration::from_secs(1);

/// What is known when an answer's head is here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageAnswer {
    /// Stage that answered, from 0.
    pub stage: usize,
    /// Stages of the cascade.
    pub stages: usize,
    /// The model's opinion of its answer; none if it gave none.
    pub confidence: Option<u8>,
    /// Runs that the request may still cause.
    pub runs_left: u32,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Time to the first event that the operator aims at.
    pub objective: Duration,
    /// Mean wait for the largest model of late; none before its first answer.
    pub largest_wait: Option<Duration>,
    /// Rank of the request, 0 the most urgent.
    pub priority: u8,
}

/// The stage to ask instead, or none to pass the answer on.
pub fn escalate(answer: &StageAnswer) -> Option<usize> {
    let largest = answer.stages.checked_sub(1)?;
    let confidence = f64::from(answer.confidence?);
    let may = answer.runs_left > 0 && answer.time_left >= LEAST_TIME;
    (answer.stage < largest && confidence < threshold(answer) && may).then_some(largest)
}

/// Confidence from which the answer is passed on.
pub fn threshold(answer: &StageAnswer) -> f64 {
    let objective = answer.objective.as_secs_f64().max(1e-3);
    let wait = answer.largest_wait.unwrap_or_default().as_secs_f64() / objective;
    let pressure = ((wait - PRESSURE_FROM) / (PRESSURE_FULL - PRESSURE_FROM)).clamp(0.0, 1.0);
    let part = (f64::from(answer.priority) + 1.0).min(RANKS) / RANKS;
    CONFIDENT - (CONFIDENT - CONFIDENT_UNDER_PRESSURE) * pressure * part
}
