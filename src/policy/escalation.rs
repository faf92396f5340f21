//! Whether a cascade's answer is passed on or asked again of a larger model.
//!
//! The model's own confidence decides. An answer below the threshold goes straight to the largest
//! model: the middle one costs half as much and is seldom good enough where the smallest was not
//! (docs/decisions/0008 has the figures). The largest model is also ten times slower, and what it reads
//! holds up all other answers of its server. So the threshold falls with the wait that is expected
//! there now, first for what is least urgent (docs/decisions/0012).

use std::time::Duration;

/// When an answer is good enough; settings under `cascade`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EscalationConfig {
    /// Confidence, 0 to 100, from which an answer is passed on.
    pub confident: f64,
    /// The same under full pressure.
    pub confident_under_pressure: f64,
    /// The same where the larger model's answer would be late for its prompt alone.
    pub confident_if_late: f64,
    /// Expected wait for the largest model, as a part of the objective, at which pressure begins.
    pub pressure_from: f64,
    /// Expected wait at which pressure is full.
    pub pressure_full: f64,
}

impl Default for EscalationConfig {
    fn default() -> Self {
        Self {
            // Of 45, 52, 60 and 75 the best in trials on both first sites (docs/decisions/0008).
            confident: 52.0,
            // A late answer earns about a third of one in time: an answer that is right one time
            // in five is worth less, but costs others nothing.
            confident_under_pressure: 20.0,
            // A late answer earns 0.3 of one in time at both users.
            confident_if_late: 30.0,
            // The largest model is asked only as fast as it can begin: in an overload of three times the
            // load with a third of the servers away, 0.88 of the answers are in time instead of 0.78
            // without pressure (tests/play/overload.rs). Other ranges: docs/decisions/0012.
            pressure_from: 0.05,
            pressure_full: 0.25,
        }
    }
}

/// Wait behind others, as a part of the objective, from which a server counts as busy. With the reading
/// counted in full everywhere, fewer answers are asked again on quiet days, too (docs/decisions/0012).
const BUSY_WAIT_FRACTION: f64 = 0.05;
/// Ranks over which the fall of the threshold is spread; the most urgent takes the least of it.
const PRIORITY_LEVELS: f64 = 3.0;
/// Least time that must be left for the largest model; below it any answer beats none.
const MIN_TIME_LEFT: Duration = Duration::from_secs(1);

/// Part of the time left in which the larger model has to begin; the rest is for its events, which take
/// it about as long as reading the prompt.
const MAX_START_TIME_FRACTION: f64 = 0.5;
/// Objectives after a request's arrival by which the larger model has to begin: up to there a better
/// answer is worth the wait, and readers of a stream leave after about four.
const MAX_START_OBJECTIVES: f64 = 2.0;

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
    pub attempts_left: u32,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Time to the first event that the operator aims at.
    pub objective: Duration,
    /// Time until the largest model's first event, if it is asked now at the best server.
    pub expected_first_event: Duration,
    /// The same if nothing else were to be read there before.
    pub expected_idle_first_event: Duration,
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Rank of the request, 0 the most urgent.
    pub priority: u8,
}

/// The stage to ask instead, or none to pass the answer on.
pub fn escalate(answer: &StageAnswer, config: &EscalationConfig) -> Option<usize> {
    let largest = answer.stages.checked_sub(1)?;
    let confidence = f64::from(answer.confidence?);
    let is_allowed = answer.attempts_left > 0 && answer.time_left >= MIN_TIME_LEFT;
    (answer.stage < largest && confidence < threshold(answer, config) && is_allowed)
        .then_some(largest)
}

/// How long the larger model may take to begin while this answer is kept in hand. Without an end to
/// that wait, a caller whose deadline passes meanwhile gets nothing though an answer was there.
pub fn escalation_timeout(answer: &StageAnswer) -> Duration {
    let by_objective =
        answer.objective.mul_f64(MAX_START_OBJECTIVES).saturating_sub(answer.elapsed);
    by_objective.min(answer.time_left.mul_f64(MAX_START_TIME_FRACTION))
}

/// Confidence from which the answer is passed on.
pub fn threshold(answer: &StageAnswer, config: &EscalationConfig) -> f64 {
    let objective = answer.objective.as_secs_f64().max(1e-3);
    let queueing =
        answer.expected_first_event.saturating_sub(answer.expected_idle_first_event).as_secs_f64()
            / objective;
    if answer.elapsed + answer.expected_first_event > answer.objective {
        // Where others wait, an answer that comes late takes from them what they could have in time. On
        // two days of three times the load for 12 s, with a third of the servers away, 0.60 and 0.62 of
        // the worth was earned instead of 0.35 and 0.40 (docs/decisions/0012).
        return if queueing < BUSY_WAIT_FRACTION {
            config.confident_if_late.min(config.confident)
        } else {
            0.0
        };
    }
    let prefill = answer.expected_idle_first_event.as_secs_f64() / objective;
    // Reading takes from others only where others wait.
    let wait = queueing + prefill * (queueing / BUSY_WAIT_FRACTION).min(1.0);
    let pressure = ((wait - config.pressure_from)
        / (config.pressure_full - config.pressure_from).max(1e-3))
    .clamp(0.0, 1.0);
    let priority_share = (f64::from(answer.priority) + 1.0).min(PRIORITY_LEVELS) / PRIORITY_LEVELS;
    config.confident
        - (config.confident - config.confident_under_pressure) * pressure * priority_share
}
