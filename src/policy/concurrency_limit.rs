//! Adaptive limit on the attempts that an agent runs concurrently on its engine.

use std::time::Duration;

/// Factor of the multiplicative decrease.
const DECREASE: f64 = 0.9;
/// Lower bound of the limit.
const MIN_LIMIT: f64 = 1.0;

/// A concurrency limit with additive increase and multiplicative decrease, controlled by the time
/// between tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdaptiveConcurrencyLimit {
    limit: f64,
    max: f64,
    target: Duration,
}

impl AdaptiveConcurrencyLimit {
    /// Creates a limit that starts at `max` and decreases when the time between tokens exceeds
    /// `target`.
    pub fn new(max: u32, target: Duration) -> Self {
        Self { limit: f64::from(max), max: f64::from(max), target }
    }

    /// Number of attempts that may run concurrently.
    pub fn get(&self) -> usize {
        self.limit as usize
    }

    /// Adjusts the limit by the mean time between the tokens of a finished answer.
    pub fn observe(&mut self, between_tokens: Duration) {
        if between_tokens > self.target {
            self.limit = (self.limit * DECREASE).max(MIN_LIMIT);
            return;
        }
        self.limit = (self.limit + 1.0 / self.limit).min(self.max);
    }
}
