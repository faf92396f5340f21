//! The adaptive limit of attempts an agent hands to its engine at a time.

use std::time::Duration;

const DECREASE: f64 = 0.9;
const MIN_LIMIT: f64 = 1.0;

/// Additive increase, multiplicative decrease on the time between tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdaptiveConcurrencyLimit {
    limit: f64,
    max: f64,
    target: Duration,
}

impl AdaptiveConcurrencyLimit {
    /// A limit that starts at `max` and gives way when tokens come slower than `target`.
    pub fn new(max: u32, target: Duration) -> Self {
        Self { limit: f64::from(max), max: f64::from(max), target }
    }

    /// Attempts that may run at a time.
    pub fn get(&self) -> usize {
        self.limit as usize
    }

    /// Notes the mean time between tokens of one ended answer.
    pub fn observe(&mut self, between_tokens: Duration) {
        if between_tokens > self.target {
            self.limit = (self.limit * DECREASE).max(MIN_LIMIT);
            return;
        }
        self.limit = (self.limit + 1.0 / self.limit).min(self.max);
    }
}
