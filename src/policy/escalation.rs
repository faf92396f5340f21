//! Whether a cascade passes an answer on or escalates the request to its largest model.
//!
//! The decision rests on the model's own confidence. Below the threshold a request goes straight to the
//! largest model: the middle one costs half as much and is seldom good enough where the smallest was not
//! (docs/decisions/0008 has the figures). The largest model is also ten times slower, and its prefills delay
//! all other answers of its server. The threshold therefore falls with the wait that is currently expected
//! there, first for the least urgent requests (docs/decisions/0012).

use std::time::Duration;

/// Thresholds of the escalation; settings under `cascade`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EscalationConfig {
    /// Confidence, 0 to 100, from which an answer is passed on.
    pub confident: f64,
    /// The threshold under full pressure.
    pub confident_under_pressure: f64,
    /// The threshold where the largest model's answer would be late because of its own prefill alone.
    pub confident_if_late: f64,
    /// Expected wait for the largest model, as a fraction of the objective, at which pressure begins.
    pub pressure_from: f64,
    /// Expected wait, as a fraction of the objective, at which pressure is full.
    pub pressure_full: f64,
}

impl Default for EscalationConfig {
    fn default() -> Self {
        Self {
            // The best of 45, 52, 60 and 75 in trials on both first sites (docs/decisions/0008).
            confident: 52.0,
            // A late answer is worth about a third of one in time. An answer that is right one time
            // in five is worth less, but does not delay others.
            confident_under_pressure: 20.0,
            // For both users, a late answer is worth 0.3 of one in time.
            confident_if_late: 30.0,
            // Limits escalations to the rate at which the largest model can start them: in an overload of
            // three times the load with a third of the servers lost, 0.88 of the answers are in time instead
            // of 0.78 without pressure (tests/play/overload.rs). Other ranges: docs/decisions/0012.
            pressure_from: 0.05,
            pressure_full: 0.25,
        }
    }
}

/// Queueing time, as a fraction of the objective, from which a server counts as busy. When the prefill time
/// counted in full on idle servers, too, fewer answers were escalated even on quiet days
/// (docs/decisions/0012).
const BUSY_WAIT_FRACTION: f64 = 0.05;
/// Priorities over which the reduction of the threshold is spread; the most urgent has the smallest one.
const PRIORITY_LEVELS: f64 = 3.0;
/// Minimum time that must be left for the largest model; with less time, any answer is better than none.
const MIN_TIME_LEFT: Duration = Duration::from_secs(1);

/// Fraction of the time left within which the largest model has to begin its answer; the rest is for its
/// events, which take about as long as the prefill.
const MAX_START_TIME_FRACTION: f64 = 0.5;
/// Number of objectives after a request's arrival within which the largest model has to begin its answer.
/// Until then a better answer is worth the wait; readers of a stream leave after about four objectives.
const MAX_START_OBJECTIVES: f64 = 2.0;

/// What is known about a request when the response head of a stage has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageAnswer {
    /// Stage that answered, from 0.
    pub stage: usize,
    /// Number of stages of the cascade.
    pub stages: usize,
    /// Confidence of the model in its answer; none if it reported none.
    pub confidence: Option<u8>,
    /// Number of attempts that the request may still make.
    pub attempts_left: u32,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// The operator's objective for the time to the first event.
    pub objective: Duration,
    /// Expected time until the largest model's first event, if the best server is asked now.
    pub expected_first_event: Duration,
    /// The same if that server had no other prompts to prefill before.
    pub expected_idle_first_event: Duration,
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
}

impl StageAnswer {
    /// Expected time for which the request would queue for the largest model.
    pub fn queueing(&self) -> Duration {
        self.expected_first_event.saturating_sub(self.expected_idle_first_event)
    }
}

/// The stage to escalate to, or none to pass the answer on.
pub fn escalate(answer: &StageAnswer, config: &EscalationConfig) -> Option<usize> {
    escalate_below(threshold(answer, config), answer)
}

/// The stage to escalate to if the confidence is below the threshold and an escalation is possible.
pub fn escalate_below(threshold: f64, answer: &StageAnswer) -> Option<usize> {
    let largest = answer.stages.checked_sub(1)?;
    let confidence = f64::from(answer.confidence?);
    let is_allowed = answer.attempts_left > 0 && answer.time_left >= MIN_TIME_LEFT;
    (answer.stage < largest && confidence < threshold && is_allowed).then_some(largest)
}

/// How long the largest model may take to begin while this answer is held back. Without a limit, a caller
/// whose deadline passes meanwhile would get nothing although an answer was available.
pub fn escalation_timeout(answer: &StageAnswer) -> Duration {
    let by_objective =
        answer.objective.mul_f64(MAX_START_OBJECTIVES).saturating_sub(answer.elapsed);
    by_objective.min(answer.time_left.mul_f64(MAX_START_TIME_FRACTION))
}

/// Confidence from which the answer is passed on if the largest model's answer would be late; none if it would not.
pub fn late_threshold(answer: &StageAnswer, config: &EscalationConfig) -> Option<f64> {
    let is_late = answer.elapsed + answer.expected_first_event > answer.objective;
    // On a busy server a late answer takes capacity from those that could still be in time. On two days
    // with three times the load for 12 s and a third of the servers lost, 0.60 and 0.62 of the possible
    // score was reached instead of 0.35 and 0.40 (docs/decisions/0012).
    let threshold = if queueing_fraction(answer) < BUSY_WAIT_FRACTION {
        config.confident_if_late.min(config.confident)
    } else {
        0.0
    };
    is_late.then_some(threshold)
}

/// Expected queueing time as a fraction of the objective.
fn queueing_fraction(answer: &StageAnswer) -> f64 {
    answer.queueing().as_secs_f64() / answer.objective.as_secs_f64().max(1e-3)
}

/// Confidence from which the answer is passed on.
pub fn threshold(answer: &StageAnswer, config: &EscalationConfig) -> f64 {
    if let Some(threshold) = late_threshold(answer, config) {
        return threshold;
    }
    let objective = answer.objective.as_secs_f64().max(1e-3);
    let queueing = queueing_fraction(answer);
    let prefill = answer.expected_idle_first_event.as_secs_f64() / objective;
    // Prefill delays others only where others wait.
    let wait = queueing + prefill * (queueing / BUSY_WAIT_FRACTION).min(1.0);
    let pressure = ((wait - config.pressure_from)
        / (config.pressure_full - config.pressure_from).max(1e-3))
    .clamp(0.0, 1.0);
    let priority_share = (f64::from(answer.priority) + 1.0).min(PRIORITY_LEVELS) / PRIORITY_LEVELS;
    config.confident
        - (config.confident - config.confident_under_pressure) * pressure * priority_share
}
