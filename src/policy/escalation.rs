//! Whether a cascade's answer is passed on or asked again of a larger model.
//!
//! The model's own confidence decides. An answer below the threshold goes straight to the largest
//! model: the middle one costs half as much and is seldom good enough where the smallest was not
//! (docs/decisions/0008 has the figures).

use std::time::Duration;

/// Confidence, 0 to 100, from which an answer is passed on. Of 45, 60, 75 and 90 the best in a
/// trial on both first sites (docs/decisions/0008).
pub const CONFIDENT: u8 = 60;
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
}

/// The stage to ask instead, or none to pass the answer on.
pub fn escalate(answer: &StageAnswer) -> Option<usize> {
    let largest = answer.stages.checked_sub(1)?;
    let confidence = answer.confidence?;
    let may = answer.runs_left > 0 && answer.time_left >= LEAST_TIME;
    (answer.stage < largest && confidence < CONFIDENT && may).then_some(largest)
}
