//! How often a server failed of late, so that one that fails part of its requests gets fewer.
//!
//! A server that fails everything is taken out by [`crate::policy::outlier`]; one that fails a few
//! in ten never fails often enough in a row for that.

use std::time::Duration;

/// Weight of a new outcome.
const SMOOTHING_FACTOR: f64 = 0.15;
/// Time in which half of the rate is forgotten, so that a server that gets nothing is tried again.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Moving rate of failures, 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureRate {
    rate: f64,
    updated_at: Duration,
}

impl FailureRate {
    /// Notes an outcome.
    pub fn record(&mut self, is_failure: bool, now: Duration) {
        let before = self.get(now);
        let outcome = if is_failure { 1.0 } else { 0.0 };
        self.rate = before + (outcome - before) * SMOOTHING_FACTOR;
        self.updated_at = now;
    }

    /// The rate now.
    pub fn get(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate * 0.5f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
